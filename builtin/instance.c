#include <string.h>

#include "change.h"
#include "feed.h"
#include "fleet.h"
#include "org.h"
#include "schema.h"

#define DRAIN_TRIES	 3 /* a write fails if the instance renews its entry at the same time */
#define POLL_INTERVAL_MS 500

static void add_text(json_object *obj, const char *key, const char *text)
{
	json_object_object_add(obj, key, json_object_new_string(text));
}

/*
 * Returns a copy of the entry with an order to drain. The order contains the request id of the
 * instance's own last write, so that it is not valid for a later process of the same name.
 */
static json_object *copy_with_order(struct cli *cli, const char *name, json_object *entry)
{
	struct change_info info;
	json_object *order = json_object_new_object();
	json_object *next = NULL;

	change_info_init(&info, cli_author(cli), "");
	add_text(order, "drain", name);
	add_text(order, "entry", json_str(entry, "request_id"));
	add_text(order, "author", info.author);
	add_text(order, "time", info.time);
	json_object_deep_copy(entry, &next, NULL);
	json_object_object_add(next, "order", document_sign(order, &cli->signing));
	json_object_put(order);
	return next;
}

/* Returns an enum exit_code. */
static int write_order(struct cli *cli, const char *name)
{
	struct sync_result res;
	int exit_code = -1;

	sync_result_init(&res);
	for (int i = 0; i < DRAIN_TRIES && exit_code < 0; i++) {
		json_object *next;
		gchar *version;

		platform_sync_get(cli->sync, PLATFORM_KIND_INSTS, name, &res);
		if (res.status != CALL_OK) {
			cli_error(cli,
				  res.status == CALL_NOT_FOUND
					  ? "the platform lists no such instance"
					  : "the platform does not answer, nothing was changed");
			exit_code = EXIT_REFUSED;
			break;
		}
		next = copy_with_order(cli, name, res.body);
		version = g_strdup(res.version->str);
		platform_sync_put(cli->sync, PLATFORM_KIND_INSTS, name, version, next, &res);
		if (res.status == CALL_OK)
			exit_code = EXIT_DONE;
		json_object_put(next);
		g_free(version);
	}
	if (exit_code < 0) {
		cli_error(cli,
			  "the order could not be confirmed; repeat the command, a second order "
			  "to drain has no further effect");
		exit_code = EXIT_REFUSED;
	}
	sync_result_release(&res);
	return exit_code;
}

/* Waits until the instance has left the list or its entry has phase gone. */
static int wait_until_gone(struct cli *cli, const char *name)
{
	struct timespec end =
		ts_add_ms(clock_now(system_clock()), (int64_t)cli->timeout->ival[0] * MSEC_PER_SEC);
	struct sync_result res;
	const char *last = "";
	int exit_code = -1;

	sync_result_init(&res);
	while (exit_code < 0) {
		const char *phase = NULL;

		platform_sync_get(cli->sync, PLATFORM_KIND_INSTS, name, &res);
		if (res.status == CALL_NOT_FOUND)
			phase = "gone";
		else if (res.status == CALL_OK)
			phase = g_intern_string(json_str(res.body, "phase"));
		if (phase && strcmp(phase, last) != 0) {
			cli_error(cli, "%s is %s", name, phase);
			last = phase;
		}
		if (phase && !strcmp(phase, "gone")) {
			exit_code = EXIT_DONE;
		} else if (ts_cmp(clock_now(system_clock()), end) >= 0) {
			cli_error(cli, "%s has not left yet", name);
			exit_code = EXIT_REFUSED;
		} else {
			platform_sync_wait(cli->sync, POLL_INTERVAL_MS);
		}
	}
	sync_result_release(&res);
	return exit_code;
}

static int instance_drain(int argc, char **argv)
{
	struct cli cli;
	struct arg_str *name;
	int exit_code;

	cli_init(&cli, "instance drain",
		 "orders an instance to hand over its shards and to stop; it reads the order when "
		 "it renews its entry, within 35 s",
		 CLI_PLATFORM | CLI_KEY | CLI_WAIT);
	name = cli_add(&cli, arg_str1(NULL, NULL, "NAME", "name of the instance"));
	if (!cli_parse(&cli, argc, argv, &exit_code))
		goto cleanup;
	exit_code = EXIT_USAGE;
	if (!schema_is_name(name->sval[0])) {
		cli_error(&cli, "\"%s\" is no name", name->sval[0]);
		goto cleanup;
	}
	if (!cli_open(&cli, &exit_code))
		goto cleanup;
	exit_code = write_order(&cli, name->sval[0]);
	if (exit_code != EXIT_DONE)
		goto cleanup;
	if (!cli.json->count)
		printf("%s is ordered to drain\n", name->sval[0]);
	fflush(stdout);
	if (cli.wait->count)
		exit_code = wait_until_gone(&cli, name->sval[0]);
cleanup:
	cli_release(&cli);
	return exit_code;
}

int cmd_instance(int argc, char **argv)
{
	static const struct cli_verb verbs[] = {
		{ "drain", "order an instance to hand over and to stop", instance_drain },
	};

	return cli_run_verb("instance", verbs, G_N_ELEMENTS(verbs), argc, argv);
}
