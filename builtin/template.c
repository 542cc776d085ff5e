#include "template.h"

#include <string.h>

#include "cli.h"

static int by_name(const void *a, const void *b)
{
	json_object *const *x = a;
	json_object *const *y = b;

	return strcmp(json_str(*x, "template"), json_str(*y, "template"));
}

static int template_list(int argc, char **argv)
{
	struct cli cli;
	struct faults faults;
	struct json_text text;
	GDir *dir = NULL;
	const char *file;
	json_object *all = json_object_new_array();
	int exit_code;

	cli_init(&cli, "template list", "lists the templates of the folder", CLI_TEMPLATES);
	faults_init(&faults);
	if (!cli_parse(&cli, argc, argv, &exit_code))
		goto cleanup;
	dir = g_dir_open(cli_templates(&cli), 0, NULL);
	exit_code = EXIT_USAGE;
	if (!dir) {
		cli_error(&cli, "cannot read %s", cli_templates(&cli));
		goto cleanup;
	}
	while ((file = g_dir_read_name(dir))) {
		gchar *name;

		if (!g_str_has_suffix(file, ".json"))
			continue;
		name = g_strndup(file, strlen(file) - strlen(".json"));
		if (!template_read(&text, cli_templates(&cli), name, &faults))
			json_object_array_add(all, json_object_get(text.root));
		json_text_release(&text);
		g_free(name);
	}
	json_object_array_sort(all, by_name);
	for (size_t i = 0; i < json_object_array_length(all) && !cli.json->count; i++)
		printf("%s  %s\n", json_str(json_object_array_get_idx(all, i), "template"),
		       json_str(json_object_array_get_idx(all, i), "help"));
	if (cli.json->count)
		cli_print_json(json_object_get(all));
	cli_print_faults(&faults);
	exit_code = faults.list->len ? EXIT_USAGE : EXIT_DONE;
cleanup:
	if (dir)
		g_dir_close(dir);
	json_object_put(all);
	faults_release(&faults);
	cli_release(&cli);
	return exit_code;
}

static void print_parameter(json_object *param)
{
	json_object *def = json_object_object_get(param, "default");
	json_object *max = json_object_object_get(param, "max");

	printf("  %s  %s", json_str(param, "name"), json_str(param, "type"));
	if (*json_str(param, "choices"))
		printf(" %s", json_str(param, "choices"));
	if (max)
		printf(" %u..%u", (unsigned int)json_num(param, "min"),
		       (unsigned int)json_num(param, "max"));
	if (*json_str(param, "unit"))
		printf(" %s", json_str(param, "unit"));
	if (def)
		printf(", default %s", json_object_to_json_string_ext(def, JSON_C_TO_STRING_PLAIN));
	printf("\n      %s\n", json_str(param, "help"));
}

static int template_show(int argc, char **argv)
{
	struct cli cli;
	struct faults faults;
	struct json_text text;
	struct arg_str *name;
	int exit_code;

	cli_init(&cli, "template show", "shows a template's parameters", CLI_TEMPLATES);
	name = cli_add(&cli, arg_str1(NULL, NULL, "NAME", "name of the template"));
	faults_init(&faults);
	if (!cli_parse(&cli, argc, argv, &exit_code))
		goto cleanup;
	exit_code = EXIT_USAGE;
	if (!template_read(&text, cli_templates(&cli), name->sval[0], &faults)) {
		exit_code = EXIT_DONE;
		if (cli.json->count) {
			cli_print_json(json_object_get(text.root));
		} else {
			printf("%s: %s\n", json_str(text.root, "template"),
			       json_str(text.root, "help"));
			for (size_t i = 0; i < json_len(text.root, "parameters"); i++)
				print_parameter(json_item(text.root, "parameters", i));
		}
	}
	json_text_release(&text);
	cli_print_faults(&faults);
cleanup:
	faults_release(&faults);
	cli_release(&cli);
	return exit_code;
}

int cmd_template(int argc, char **argv)
{
	static const struct cli_verb verbs[] = {
		{ "list", "list the templates", template_list },
		{ "show", "show a template's parameters", template_show },
	};

	return cli_run_verb("template", verbs, G_N_ELEMENTS(verbs), argc, argv);
}
