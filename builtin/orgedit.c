#include "orgedit.h"

#include <string.h>

#include "address.h"
#include "template.h"

bool orgedit_read(struct cli *cli, struct orgedit *ed, const char *name, int *exit_code)
{
	bool found;

	*ed = (struct orgedit){ .name = name };
	ed->grants = cli_read_grants(cli, exit_code);
	if (!ed->grants || !cli_read_object(cli, PLATFORM_KIND_ORGS, name, cli->verify_key,
					    &ed->base, &ed->version, &found, exit_code)) {
		orgedit_release(ed);
		return false;
	}
	if (ed->base)
		json_object_deep_copy(ed->base, &ed->next, NULL);
	else
		ed->next = org_new(name);
	if (!ed->version)
		ed->version = g_strdup("");
	return true;
}

void orgedit_release(struct orgedit *ed)
{
	json_object_put(ed->grants);
	json_object_put(ed->base);
	json_object_put(ed->next);
	g_free(ed->version);
	*ed = (struct orgedit){ 0 };
}

bool orgedit_expand(struct cli *cli, struct orgedit *ed, const char *template,
		    const struct json_text *given, const char *prefix)
{
	json_object *params = NULL;
	json_object *services = NULL;
	struct json_text tmpl;
	struct faults faults;

	faults_init(&faults);
	if (!template_read(&tmpl, cli_templates(cli), template, &faults))
		params = template_complete(tmpl.root, given, prefix, &faults);
	if (params)
		services = template_expand(&tmpl, params, &faults);
	if (services)
		org_set_services(ed->next, template, params, services);
	cli_print_faults(&faults);
	json_object_put(params);
	json_object_put(services);
	json_text_release(&tmpl);
	faults_release(&faults);
	return services != NULL;
}

/* Checks the serialised document by the same rules as "jujubestage check". */
static bool check_next(const struct orgedit *ed)
{
	const char *bytes = json_object_to_json_string_ext(ed->next, JSON_C_TO_STRING_PRETTY);
	struct json_text text;
	struct faults faults;
	bool ok;

	faults_init(&faults);
	json_text_init(&text, ed->name);
	ok = !json_text_parse(&text, bytes, strlen(bytes), &faults) &&
	     !document_check(&text, DOCUMENT_ORGANISATION, &faults) &&
	     !document_check_grant(&text, ed->grants, &faults);
	cli_print_faults(&faults);
	json_text_release(&text);
	faults_release(&faults);
	return ok;
}

int orgedit_write(struct cli *cli, struct orgedit *ed, const char *action)
{
	struct change_info info;
	struct change change = {
		.kind = PLATFORM_KIND_ORGS,
		.name = ed->name,
		.version = change_version(cli, ed->version),
		.base = ed->base,
		.next = ed->next,
	};
	char key[2 * PUBLIC_KEY_BYTES + 1];

	change_info_init(&info, cli_author(cli), action);
	if (org_next_generation(ed->next, &info)) {
		cli_error(cli, "the document of %s is longer than %d bytes", ed->name,
			  ORG_MAX_BYTES);
		return EXIT_USAGE;
	}
	if (!check_next(ed))
		return EXIT_REFUSED;
	hex_format(cli->signing.public, PUBLIC_KEY_BYTES, key);
	if (g_ascii_strcasecmp(key, json_str(document_grant(ed->grants, ed->name), "key")) != 0) {
		cli_error(cli,
			  "the grants name another key for %s, instances would refuse this "
			  "signature",
			  ed->name);
		return EXIT_REFUSED;
	}
	return change_write(cli, &change);
}
