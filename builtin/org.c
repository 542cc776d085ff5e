#include <inttypes.h>
#include <string.h>

#include "fleet.h"
#include "orgedit.h"
#include "template.h"

#define MAX_SET_ARGS 64

/* Arguments of create, set and diff. */
struct set_args {
	struct arg_str *name;
	struct arg_str *template;
	struct arg_str *set;
	struct arg_file *from;
};

static void add_set_args(struct cli *cli, struct set_args *args)
{
	args->template = cli_add(cli, arg_str0(NULL, "template", "NAME", "template to expand"));
	args->set = cli_add(cli, arg_strn(NULL, "set", "KEY=VALUE", 0, MAX_SET_ARGS,
					  "parameter of the template, may be repeated"));
	args->from = cli_add(
		cli, arg_file0(NULL, "from", "FILE", "request with template and parameters"));
	args->name = cli_add(cli, arg_str1(NULL, NULL, "NAME", "name of the organisation"));
}

/* After a successful write, waits for the instances if --wait was given. */
static int wait_if_requested(struct cli *cli, const struct orgedit *ed, int exit_code,
			     const struct flow_filter *flows)
{
	struct wait_condition what = {
		.kind = PLATFORM_KIND_ORGS,
		.name = ed->name,
		.generation = json_num(ed->next, "generation"),
		.flows = flows,
	};

	if (exit_code == EXIT_DONE && cli->wait && cli->wait->count)
		return fleet_wait(cli, &what);
	return exit_code;
}

/* Reads the request of --from. Returns false with faults printed. */
static bool read_request(struct cli *cli, const struct set_args *args, struct json_text *text)
{
	struct faults faults;
	bool ok;

	faults_init(&faults);
	json_text_init(text, args->from->filename[0]);
	ok = !json_text_read(text, &faults) && !document_check(text, DOCUMENT_REQUEST, &faults);
	if (ok && strcmp(json_str(text->root, "organisation"), args->name->sval[0]) != 0) {
		cli_error(cli, "%s is for organisation %s", text->file->str,
			  json_str(text->root, "organisation"));
		ok = false;
	}
	cli_print_faults(&faults);
	faults_release(&faults);
	return ok;
}

/* Sets the parameters of the KEY=VALUE arguments. */
static bool apply_set_args(struct cli *cli, const struct set_args *args, json_object *tmpl,
			   json_object *params)
{
	for (int i = 0; i < args->set->count; i++) {
		const char *text = args->set->sval[i];
		const char *eq = strchr(text, '=');
		gchar *key;

		if (!eq || eq == text) {
			cli_error(cli, "\"%s\" is not KEY=VALUE", text);
			return false;
		}
		key = g_strndup(text, (gsize)(eq - text));
		json_object_object_add(params, key, template_parse_value(tmpl, key, eq + 1));
		g_free(key);
	}
	return true;
}

/* Sets the services of @ed->next from the arguments. Returns an enum exit_code. */
static int apply_args(struct cli *cli, const struct set_args *args, struct orgedit *ed)
{
	struct json_text request;
	struct json_text given;
	struct json_text tmpl;
	struct faults faults;
	const char *template = json_str(ed->next, "template");
	json_object *old = json_object_object_get(ed->next, "parameters");
	int exit_code = EXIT_USAGE;

	faults_init(&faults);
	json_text_init(&given, "--set");
	json_text_init(&request, "");
	if (args->from->count) {
		json_text_release(&request);
		if (!read_request(cli, args, &request))
			goto cleanup;
		template = json_str(request.root, "template");
		old = json_object_object_get(request.root, "parameters");
		g_string_assign(given.file, request.file->str);
	}
	if (args->template->count) {
		/* Parameters of another template do not apply to this one. */
		if (strcmp(template, args->template->sval[0]) != 0 && !args->from->count)
			old = NULL;
		template = args->template->sval[0];
	}
	if (!*template) {
		cli_error(cli, "option --template or --from is needed");
		goto cleanup;
	}
	if (old)
		json_object_deep_copy(old, &given.root, NULL);
	else
		given.root = json_object_new_object();
	if (!template_read(&tmpl, cli_templates(cli), template, &faults) &&
	    apply_set_args(cli, args, tmpl.root, given.root) &&
	    orgedit_expand(cli, ed, template, &given, ""))
		exit_code = EXIT_DONE;
	json_text_release(&tmpl);
cleanup:
	cli_print_faults(&faults);
	faults_release(&faults);
	json_text_release(&given);
	json_text_release(&request);
	return exit_code;
}

/* The entry for the history: @verb with its arguments, shortened if too long. */
static gchar *format_action(const struct set_args *args, const char *verb)
{
	GString *text = g_string_new(verb);

	if (args->from->count)
		g_string_append_printf(text, " from %s", args->from->basename[0]);
	for (int i = 0; i < args->set->count; i++)
		g_string_append_printf(text, " %s", args->set->sval[i]);
	if (text->len > 200) {
		g_string_truncate(text, 197);
		g_string_append(text, "...");
	}
	return g_string_free(text, FALSE);
}

static int create_or_set(struct cli *cli, int argc, char **argv, bool create)
{
	struct set_args args;
	struct orgedit ed = { 0 };
	int exit_code;
	gchar *action;

	add_set_args(cli, &args);
	if (!cli_parse(cli, argc, argv, &exit_code) || !cli_open(cli, &exit_code) ||
	    !orgedit_read(cli, &ed, args.name->sval[0], &exit_code))
		goto cleanup;
	exit_code = EXIT_REFUSED;
	if (create && ed.base) {
		cli_error(cli, "%s exists already, see \"jujubestage org set\"", ed.name);
	} else if (!create && !ed.base) {
		cli_error(cli, "there is no organisation %s", ed.name);
	} else {
		exit_code = apply_args(cli, &args, &ed);
		if (exit_code == EXIT_DONE) {
			action = format_action(&args, create ? "create" : "set");
			exit_code =
				wait_if_requested(cli, &ed, orgedit_write(cli, &ed, action), NULL);
			g_free(action);
		}
	}
cleanup:
	orgedit_release(&ed);
	cli_release(cli);
	return exit_code;
}

#define EDIT_OPTIONS                                                                               \
	(CLI_PLATFORM | CLI_KEY | CLI_FLEET_KEY | CLI_VERSION | CLI_TEMPLATES | CLI_WAIT)

static int org_create(int argc, char **argv)
{
	struct cli cli;

	cli_init(&cli, "org create", "makes an organisation's services from a template",
		 EDIT_OPTIONS);
	return create_or_set(&cli, argc, argv, true);
}

static int org_set(int argc, char **argv)
{
	struct cli cli;

	cli_init(&cli, "org set", "changes parameters; those not named stay as they are",
		 EDIT_OPTIONS);
	return create_or_set(&cli, argc, argv, false);
}

static int org_rollback(int argc, char **argv)
{
	struct cli cli;
	struct arg_int *to;
	struct arg_str *name;
	struct orgedit ed = { 0 };
	struct json_text given;
	const char *template = NULL;
	json_object *params;
	gchar *action;
	int exit_code;

	cli_init(&cli, "org rollback",
		 "writes the parameters of an earlier generation as a new one", EDIT_OPTIONS);
	to = cli_add(&cli, arg_int1(NULL, "to", "GENERATION", "see \"jujubestage org history\""));
	name = cli_add(&cli, arg_str1(NULL, NULL, "NAME", "name of the organisation"));
	if (!cli_parse(&cli, argc, argv, &exit_code) || !cli_open(&cli, &exit_code) ||
	    !orgedit_read(&cli, &ed, name->sval[0], &exit_code))
		goto cleanup;
	params = org_history_parameters(ed.next, (uint64_t)to->ival[0], &template);
	exit_code = EXIT_REFUSED;
	if (!params) {
		cli_error(&cli, "%s has no generation %d in its history", ed.name, to->ival[0]);
		goto cleanup;
	}
	action = g_strdup_printf("rollback to generation %d", to->ival[0]);
	json_text_init(&given, "history");
	given.root = json_object_get(params);
	if (orgedit_expand(&cli, &ed, template, &given, ""))
		exit_code = wait_if_requested(&cli, &ed, orgedit_write(&cli, &ed, action), NULL);
	json_text_release(&given);
	g_free(action);
cleanup:
	orgedit_release(&ed);
	cli_release(&cli);
	return exit_code;
}

static void print_lines(GPtrArray *lines)
{
	for (guint i = 0; i < lines->len; i++)
		printf("%s\n", (char *)g_ptr_array_index(lines, i));
}

static json_object *lines_json(GPtrArray *lines)
{
	json_object *array = json_object_new_array();

	for (guint i = 0; i < lines->len; i++)
		json_object_array_add(array, json_object_new_string(g_ptr_array_index(lines, i)));
	return array;
}

/* Reads one organisation without changing it. */
static bool read_org(struct cli *cli, const char *name, json_object **doc, gchar **version,
		     int *exit_code)
{
	bool found;

	if (!cli_read_object(cli, PLATFORM_KIND_ORGS, name, NULL, doc, version, &found, exit_code))
		return false;
	if (!found) {
		cli_error(cli, "there is no organisation %s", name);
		*exit_code = EXIT_REFUSED;
	}
	return found;
}

static int org_diff(int argc, char **argv)
{
	struct cli cli;
	struct set_args args;
	struct arg_int *gens;
	struct orgedit ed = { 0 };
	const char *unused;
	GPtrArray *lines = NULL;
	int exit_code;
	bool found;

	cli_init(&cli, "org diff",
		 "shows what \"org set\" with the same options would change or, with two "
		 "--generation options, the parameters that differ between them",
		 CLI_PLATFORM | CLI_TEMPLATES);
	gens = cli_add(&cli,
		       arg_intn(NULL, "generation", "GENERATION", 0, 2, "one of two to compare"));
	add_set_args(&cli, &args);
	if (!cli_parse(&cli, argc, argv, &exit_code) || !cli_open(&cli, &exit_code))
		goto cleanup;
	ed.name = args.name->sval[0];
	if (!cli_read_object(&cli, PLATFORM_KIND_ORGS, ed.name, NULL, &ed.base, &ed.version, &found,
			     &exit_code))
		goto cleanup;
	if (ed.base)
		json_object_deep_copy(ed.base, &ed.next, NULL);
	else
		ed.next = org_new(ed.name);
	exit_code = EXIT_DONE;
	if (gens->count == 2)
		lines = document_diff(
			org_history_parameters(ed.base, (uint64_t)gens->ival[0], &unused),
			org_history_parameters(ed.base, (uint64_t)gens->ival[1], &unused));
	else
		exit_code = apply_args(&cli, &args, &ed);
	if (exit_code != EXIT_DONE)
		goto cleanup;
	if (!lines)
		lines = document_diff(ed.base, ed.next);
	if (cli.json->count)
		cli_print_json(lines_json(lines));
	else
		print_lines(lines);
cleanup:
	if (lines)
		g_ptr_array_unref(lines);
	orgedit_release(&ed);
	cli_release(&cli);
	return exit_code;
}

static void print_org(json_object *doc, const char *version)
{
	json_object *params = json_object_object_get(doc, "parameters");
	json_object *none = json_object_new_object();

	printf("organisation %s, generation %" PRIu64 ", version %s\n",
	       json_str(doc, "organisation"), json_num(doc, "generation"), version);
	printf("last change: %s by %s: %s\n", json_str(doc, "time"), json_str(doc, "author"),
	       json_str(doc, "action"));
	for (size_t i = 0; i < json_len(doc, "withdrawn"); i++)
		printf("withdrawn: %s\n", json_object_get_string(json_item(doc, "withdrawn", i)));
	printf("template %s\n", json_str(doc, "template"));
	json_object_object_foreach(params ? params : none, key, value)
	{
		printf("  %s = %s\n", key,
		       json_object_to_json_string_ext(
			       value, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	}
	for (size_t i = 0; i < json_len(doc, "services"); i++) {
		json_object *svc = json_item(doc, "services", i);

		printf("service %s at %s/%s\n", json_str(svc, "name"), json_str(svc, "address"),
		       json_str(svc, "protocol"));
		for (size_t j = 0; j < json_len(svc, "targets"); j++) {
			json_object *tgt = json_item(svc, "targets", j);

			printf("  %s at %s in %s%s\n", json_str(tgt, "name"),
			       json_str(tgt, "address"), json_str(tgt, "data_centre"),
			       json_object_get_boolean(json_object_object_get(tgt, "draining"))
				       ? ", draining"
				       : "");
		}
	}
	json_object_put(none);
}

static int org_show(int argc, char **argv)
{
	struct cli cli;
	struct arg_str *name;
	json_object *doc = NULL;
	gchar *version = NULL;
	int exit_code;

	cli_init(&cli, "org show", "shows an organisation's parameters, services and targets",
		 CLI_PLATFORM);
	name = cli_add(&cli, arg_str1(NULL, NULL, "NAME", "name of the organisation"));
	if (cli_parse(&cli, argc, argv, &exit_code) && cli_open(&cli, &exit_code) &&
	    read_org(&cli, name->sval[0], &doc, &version, &exit_code)) {
		exit_code = EXIT_DONE;
		if (cli.json->count)
			cli_print_json(json_object_get(doc));
		else
			print_org(doc, version);
	}
	json_object_put(doc);
	g_free(version);
	cli_release(&cli);
	return exit_code;
}

static int org_history(int argc, char **argv)
{
	struct cli cli;
	struct arg_str *name;
	json_object *doc = NULL;
	gchar *version = NULL;
	int exit_code;

	cli_init(&cli, "org history", "lists the last changes, the newest last", CLI_PLATFORM);
	name = cli_add(&cli, arg_str1(NULL, NULL, "NAME", "name of the organisation"));
	if (!cli_parse(&cli, argc, argv, &exit_code) || !cli_open(&cli, &exit_code) ||
	    !read_org(&cli, name->sval[0], &doc, &version, &exit_code))
		goto cleanup;
	exit_code = EXIT_DONE;
	if (cli.json->count) {
		cli_print_json(json_object_get(json_object_object_get(doc, "history")));
		goto cleanup;
	}
	for (size_t i = 0; i < json_len(doc, "history"); i++) {
		json_object *entry = json_item(doc, "history", i);

		printf("%" PRIu64 "  %s  %s  %s  %s\n", json_num(entry, "generation"),
		       json_str(entry, "time"), json_str(entry, "request_id"),
		       json_str(entry, "author"), json_str(entry, "action"));
	}
cleanup:
	json_object_put(doc);
	g_free(version);
	cli_release(&cli);
	return exit_code;
}

static int org_list(int argc, char **argv)
{
	struct cli cli;
	struct sync_result res;
	json_object *all = json_object_new_array();
	int exit_code;

	cli_init(&cli, "org list", "lists the organisations", CLI_PLATFORM);
	sync_result_init(&res);
	if (!cli_parse(&cli, argc, argv, &exit_code) || !cli_open(&cli, &exit_code))
		goto cleanup;
	platform_sync_list(cli.sync, PLATFORM_KIND_ORGS, &res);
	exit_code = res.status == CALL_OK ? EXIT_DONE : EXIT_REFUSED;
	if (exit_code != EXIT_DONE)
		cli_error(&cli, "the platform does not answer");
	for (size_t i = 0; i < json_len(res.body, "items"); i++) {
		json_object *doc = document_verify(json_item(res.body, "items", i), NULL);

		if (!doc)
			continue;
		if (cli.json->count)
			json_object_array_add(all, json_object_get(doc));
		else
			printf("%s  generation %" PRIu64 "  %zu services  %s by %s\n",
			       json_str(doc, "organisation"), json_num(doc, "generation"),
			       json_len(doc, "services"), json_str(doc, "time"),
			       json_str(doc, "author"));
		json_object_put(doc);
	}
	if (cli.json->count && exit_code == EXIT_DONE)
		cli_print_json(json_object_get(all));
cleanup:
	json_object_put(all);
	sync_result_release(&res);
	cli_release(&cli);
	return exit_code;
}

int cmd_org(int argc, char **argv)
{
	static const struct cli_verb verbs[] = {
		{ "create", "make an organisation's services from a template", org_create },
		{ "set", "change parameters", org_set },
		{ "show", "show parameters, services and targets", org_show },
		{ "list", "list the organisations", org_list },
		{ "diff", "show what a change would do, or what changed", org_diff },
		{ "history", "list the last changes", org_history },
		{ "rollback", "write earlier parameters as a new generation", org_rollback },
	};

	return cli_run_verb("org", verbs, G_N_ELEMENTS(verbs), argc, argv);
}
