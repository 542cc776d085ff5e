#include "change.h"

#include <inttypes.h>
#include <string.h>

#include "org.h"

#define READ_BACK_TRIES	      5
#define READ_BACK_INTERVAL_MS 500
#define WRITE_TRIES	      3

const char *change_version(const struct cli *cli, const char *read)
{
	return cli->if_version && cli->if_version->count ? cli->if_version->sval[0] : read;
}

/* Whether a document contains the change, possibly followed by later ones. */
static bool has_request(json_object *doc, const char *request_id)
{
	return !strcmp(json_str(doc, "request_id"), request_id) ||
	       json_find(doc, "history", "request_id", request_id);
}

static int print_outcome(struct cli *cli, const struct change *change, const char *outcome,
			 const char *version, int exit_code)
{
	json_object *obj;

	if (!cli->json->count)
		return exit_code;
	obj = json_object_new_object();
	json_object_object_add(obj, "outcome", json_object_new_string(outcome));
	json_object_object_add(obj, "kind", json_object_new_string(change->kind));
	json_object_object_add(obj, "name", json_object_new_string(change->name));
	json_object_object_add(
		obj, "generation",
		json_object_new_int64((int64_t)json_num(change->next, "generation")));
	json_object_object_add(obj, "version", json_object_new_string(version));
	json_object_object_add(obj, "request_id",
			       json_object_new_string(json_str(change->next, "request_id")));
	cli_print_json(obj);
	return exit_code;
}

static int print_written(struct cli *cli, const struct change *change, const char *version)
{
	if (!cli->json->count)
		printf("%s/%s: generation %" PRIu64 " written, version %s, request id %s\n",
		       change->kind, change->name, json_num(change->next, "generation"), version,
		       json_str(change->next, "request_id"));
	fflush(stdout);
	return print_outcome(cli, change, "written", version, EXIT_DONE);
}

/* Leaves out services if parameters differ: services are derived from parameters. */
static void print_diff(json_object *from, json_object *to)
{
	GPtrArray *lines = document_diff(from, to);
	bool parameters_differ = false;

	for (guint i = 0; i < lines->len; i++)
		parameters_differ |= g_str_has_prefix(g_ptr_array_index(lines, i), "parameters.");
	for (guint i = 0; i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);

		if (!parameters_differ || !g_str_has_prefix(line, "services."))
			fprintf(stderr, "    %s\n", line);
	}
	if (!lines->len)
		fprintf(stderr, "    (no difference)\n");
	g_ptr_array_unref(lines);
}

/* Prints the parameters that a change in the history modified, if any. */
static void print_entry_diff(json_object *doc, uint64_t generation)
{
	const char *unused;
	json_object *before = org_history_parameters(doc, generation - 1, &unused);
	json_object *after = org_history_parameters(doc, generation, &unused);
	GPtrArray *lines = before && after ? document_diff(before, after) : NULL;

	for (guint i = 0; lines && i < lines->len; i++)
		fprintf(stderr, "    parameters.%s\n", (char *)g_ptr_array_index(lines, i));
	if (lines)
		g_ptr_array_unref(lines);
}

static void print_change(const char *whose, json_object *entry)
{
	const char *action = json_str(entry, "action");

	fprintf(stderr, "  %s: generation %" PRIu64 " by %s at %s%s%s\n", whose,
		json_num(entry, "generation"), json_str(entry, "author"), json_str(entry, "time"),
		*action ? ": " : "", action);
}

void change_print_conflict(struct cli *cli, const struct change *change, json_object *current)
{
	uint64_t seen = change->base ? json_num(change->base, "generation") : 0;
	bool listed = false;

	cli_error(cli, "conflict: %s/%s has changed since version %s, nothing was written",
		  change->kind, change->name, *change->version ? change->version : "(none)");
	/* With --if-version, @base is not the document of that version: show the last change. */
	if (seen == json_num(current, "generation") && seen)
		seen--;
	for (size_t i = 0; i < json_len(current, "history"); i++) {
		json_object *entry = json_item(current, "history", i);

		if (json_num(entry, "generation") > seen) {
			print_change("theirs", entry);
			print_entry_diff(current, json_num(entry, "generation"));
			listed = true;
		}
	}
	if (!listed && current) {
		print_change("theirs", current);
		print_diff(change->base, current);
	}
	print_change("yours", change->next);
	print_diff(change->base, change->next);
	fprintf(stderr, "  look at theirs and repeat your command to apply it on top\n");
}

enum read_back_result {
	READ_OURS,	/* our change took effect */
	READ_UNCHANGED, /* the object still has the version that our change replaces */
	READ_OTHER,	/* another change took effect */
	READ_FAILED,
};

/* Determines the outcome of a write. Sets *current to the present document, or NULL. */
static enum read_back_result read_back(struct cli *cli, const struct change *change,
				       unsigned int tries, json_object **current, GString *version)
{
	struct sync_result res;
	enum read_back_result found = READ_FAILED;

	sync_result_init(&res);
	for (unsigned int i = 0; i < tries && found == READ_FAILED; i++) {
		if (i)
			platform_sync_wait(cli->sync, READ_BACK_INTERVAL_MS);
		platform_sync_get(cli->sync, change->kind, change->name, &res);
		if (res.status == CALL_OK) {
			*current = document_verify(res.body, NULL);
			g_string_assign(version, res.version->str);
			if (has_request(*current, json_str(change->next, "request_id")))
				found = READ_OURS;
			else
				found = strcmp(version->str, change->version) ? READ_OTHER
									      : READ_UNCHANGED;
		} else if (res.status == CALL_NOT_FOUND) {
			found = *change->version ? READ_OTHER : READ_UNCHANGED;
		}
	}
	sync_result_release(&res);
	return found;
}

static int print_unknown(struct cli *cli, const struct change *change)
{
	cli_error(cli,
		  "the answer was lost and the platform does not answer: the change with request "
		  "id %s may or may not have been accepted, read %s/%s before you repeat it",
		  json_str(change->next, "request_id"), change->kind, change->name);
	return print_outcome(cli, change, "unknown", "", EXIT_REFUSED);
}

int change_write(struct cli *cli, const struct change *change)
{
	json_object *obj = document_sign(change->next, &cli->signing);
	json_object *current = NULL;
	GString *version = g_string_new(NULL);
	struct sync_result res;
	bool sent = false; /* an earlier try may have taken effect */
	int exit_code = -1;

	sync_result_init(&res);
	for (unsigned int i = 0; i < WRITE_TRIES && exit_code < 0; i++) {
		platform_sync_put(cli->sync, change->kind, change->name, change->version, obj,
				  &res);
		if (res.status == CALL_OK) {
			exit_code = print_written(cli, change, res.version->str);
			break;
		}
		if (res.status == CALL_FAILED && !sent) {
			cli_error(cli, "the platform does not answer, nothing was changed");
			exit_code = print_outcome(cli, change, "refused", "", EXIT_REFUSED);
			break;
		}
		sent = sent || res.status == CALL_TIMEOUT;
		json_object_put(current);
		current = NULL;
		switch (read_back(cli, change, READ_BACK_TRIES, &current, version)) {
		case READ_OURS:
			exit_code = print_written(cli, change, version->str);
			break;
		case READ_OTHER:
			change_print_conflict(cli, change, current);
			exit_code =
				print_outcome(cli, change, "conflict", version->str, EXIT_REFUSED);
			break;
		case READ_UNCHANGED: /* retried on that version: applied at most once */
			break;
		case READ_FAILED:
			exit_code = print_unknown(cli, change);
			break;
		}
	}
	if (exit_code < 0)
		exit_code = print_unknown(cli, change);
	json_object_put(current);
	g_string_free(version, TRUE);
	sync_result_release(&res);
	json_object_put(obj);
	return exit_code;
}
