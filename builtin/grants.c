#include <inttypes.h>

#include "change.h"
#include "org.h"

static void add_text(json_object *obj, const char *key, const char *text)
{
	json_object_object_add(obj, key, json_object_new_string(text));
}

/* Returns the document of @text as the generation that follows @base. */
static json_object *next_grants(struct cli *cli, const struct json_text *text, json_object *base)
{
	struct change_info info;
	json_object *next = json_object_get(text->root);
	uint64_t generation = base ? json_num(base, "generation") : 0;

	change_info_init(&info, cli_author(cli), "");
	json_object_object_add(next, "generation", json_object_new_int64((int64_t)generation + 1));
	add_text(next, "request_id", info.request_id);
	add_text(next, "author", info.author);
	add_text(next, "time", info.time);
	return next;
}

static int grants_set(int argc, char **argv)
{
	struct cli cli;
	struct arg_file *file;
	struct json_text text = { 0 };
	struct faults faults;
	struct change change = { .kind = PLATFORM_KIND_GRANTS, .name = "fleet" };
	gchar *version = NULL;
	bool found;
	int exit_code;

	cli_init(&cli, "grants set",
		 "signs and writes the grants of FILE; the generation is set here",
		 CLI_PLATFORM | CLI_KEY | CLI_VERSION);
	file = cli_add(&cli, arg_file1(NULL, NULL, "FILE", "grants document"));
	faults_init(&faults);
	if (!cli_parse(&cli, argc, argv, &exit_code))
		goto cleanup;
	json_text_init(&text, file->filename[0]);
	exit_code = EXIT_USAGE;
	if (json_text_read(&text, &faults) || document_check(&text, DOCUMENT_GRANTS, &faults))
		goto cleanup;
	if (!cli_open(&cli, &exit_code) ||
	    !cli_read_object(&cli, change.kind, change.name, cli.verify_key, &change.base, &version,
			     &found, &exit_code))
		goto cleanup;
	change.version = change_version(&cli, version ? version : "");
	change.next = next_grants(&cli, &text, change.base);
	exit_code = change_write(&cli, &change);
cleanup:
	cli_print_faults(&faults);
	faults_release(&faults);
	json_object_put(change.base);
	json_object_put(change.next);
	if (text.file)
		json_text_release(&text);
	g_free(version);
	cli_release(&cli);
	return exit_code;
}

static void print_ranges(json_object *org, const char *key)
{
	printf("  %s:", key);
	for (size_t i = 0; i < json_len(org, key); i++)
		printf(" %s", json_object_get_string(json_item(org, key, i)));
	printf("\n");
}

static int grants_show(int argc, char **argv)
{
	struct cli cli;
	json_object *grants = NULL;
	int exit_code;

	cli_init(&cli, "grants show", "shows what each organisation may use",
		 CLI_PLATFORM | CLI_FLEET_KEY);
	if (!cli_parse(&cli, argc, argv, &exit_code) || !cli_open(&cli, &exit_code))
		goto cleanup;
	grants = cli_read_grants(&cli, &exit_code);
	if (!grants)
		goto cleanup;
	exit_code = EXIT_DONE;
	if (cli.json->count) {
		cli_print_json(json_object_get(grants));
		goto cleanup;
	}
	printf("generation %" PRIu64 ", signature %s\n", json_num(grants, "generation"),
	       cli.has_fleet ? "valid" : "not checked (no --fleet-key)");
	for (size_t i = 0; i < json_len(grants, "organisations"); i++) {
		json_object *org = json_item(grants, "organisations", i);

		printf("%s, at most %" PRIu64 " flows in an instance, key %s\n",
		       json_str(org, "name"), json_num(org, "max_flows"), json_str(org, "key"));
		print_ranges(org, "addresses");
		print_ranges(org, "targets");
	}
cleanup:
	json_object_put(grants);
	cli_release(&cli);
	return exit_code;
}

int cmd_grants(int argc, char **argv)
{
	static const struct cli_verb verbs[] = {
		{ "set", "sign and write the grants", grants_set },
		{ "show", "show what each organisation may use", grants_show },
	};

	return cli_run_verb("grants", verbs, G_N_ELEMENTS(verbs), argc, argv);
}
