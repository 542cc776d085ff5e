#include <string.h>

#include "cli.h"
#include "org.h"
#include "settings.h"
#include "template.h"

static const char *const kind_names[] = {
	[DOCUMENT_UNKNOWN] = "unknown",		[DOCUMENT_SETTINGS] = "settings",
	[DOCUMENT_GRANTS] = "grants",		[DOCUMENT_ORGANISATION] = "organisation",
	[DOCUMENT_DATA_CENTRE] = "data centre", [DOCUMENT_REQUEST] = "request",
	[DOCUMENT_TEMPLATE] = "template",
};

/* Expands a request as "org create --from" would and checks the result. */
static void check_request(struct cli *cli, const struct json_text *text, json_object *grants,
			  struct faults *faults)
{
	const char *template = json_str(text->root, "template");
	json_object *params = NULL;
	json_object *services = NULL;
	json_object *org = org_new(json_str(text->root, "organisation"));
	struct change_info info;
	struct json_text tmpl;
	struct json_text out;
	const char *bytes;

	json_text_init(&out, text->file->str);
	if (!template_read(&tmpl, cli_templates(cli), template, faults))
		params = template_complete(tmpl.root, text, "parameters", faults);
	if (params)
		services = template_expand(&tmpl, params, faults);
	if (services) {
		org_set_services(org, template, params, services);
		change_info_init(&info, "check", "check");
		org_next_generation(org, &info);
		bytes = json_object_to_json_string_ext(org, JSON_C_TO_STRING_PLAIN);
		if (!json_text_parse(&out, bytes, strlen(bytes), faults) &&
		    !document_check(&out, DOCUMENT_ORGANISATION, faults) && grants)
			document_check_grant(&out, grants, faults);
	}
	json_object_put(params);
	json_object_put(services);
	json_object_put(org);
	json_text_release(&tmpl);
	json_text_release(&out);
}

static enum document_kind check_file(struct cli *cli, const char *path, json_object **grants,
				     struct faults *faults)
{
	enum document_kind kind = DOCUMENT_UNKNOWN;
	struct json_text text;
	struct settings set;

	json_text_init(&text, path);
	if (json_text_read(&text, faults))
		goto cleanup;
	kind = document_kind(text.root);
	if (kind == DOCUMENT_SETTINGS) {
		settings_init(&set);
		settings_read(&set, path, faults);
		settings_release(&set);
	} else if (!document_check(&text, kind, faults)) {
		if (kind == DOCUMENT_GRANTS) {
			json_object_put(*grants);
			*grants = json_object_get(text.root);
		} else if (kind == DOCUMENT_REQUEST) {
			check_request(cli, &text, *grants, faults);
		} else if (kind == DOCUMENT_ORGANISATION && *grants) {
			document_check_grant(&text, *grants, faults);
		}
	}
cleanup:
	json_text_release(&text);
	return kind;
}

static json_object *faults_json(const struct faults *faults)
{
	json_object *array = json_object_new_array();

	for (guint i = 0; i < faults->list->len; i++) {
		const struct fault *fault = g_ptr_array_index(faults->list, i);
		json_object *obj = json_object_new_object();

		json_object_object_add(obj, "file", json_object_new_string(fault->file->str));
		json_object_object_add(obj, "line", json_object_new_int64(fault->line));
		json_object_object_add(obj, "key", json_object_new_string(fault->key->str));
		json_object_object_add(obj, "text", json_object_new_string(fault->text->str));
		json_object_array_add(array, obj);
	}
	return array;
}

int cmd_check(int argc, char **argv)
{
	struct cli cli;
	struct arg_file *files;
	struct faults faults;
	json_object *grants = NULL;
	int exit_code;

	cli_init(&cli, "check",
		 "checks settings, documents, templates and requests; after a grants file, "
		 "organisations are checked against it",
		 CLI_TEMPLATES);
	files = cli_add(&cli, arg_filen(NULL, NULL, "FILE", 1, 1000, "files in this order"));
	faults_init(&faults);
	if (!cli_parse(&cli, argc, argv, &exit_code))
		goto cleanup;
	for (int i = 0; i < files->count; i++) {
		guint before = faults.list->len;
		enum document_kind kind = check_file(&cli, files->filename[i], &grants, &faults);

		if (faults.list->len == before && !cli.json->count)
			printf("%s: %s is valid\n", files->filename[i], kind_names[kind]);
	}
	if (cli.json->count)
		cli_print_json(faults_json(&faults));
	else
		cli_print_faults(&faults);
	exit_code = faults.list->len ? EXIT_USAGE : EXIT_DONE;
cleanup:
	json_object_put(grants);
	faults_release(&faults);
	cli_release(&cli);
	return exit_code;
}
