#include <errno.h>
#include <string.h>

#include "fleet.h"
#include "orgedit.h"
#include "schema.h"

static void add_text(json_object *obj, const char *key, const char *text)
{
	json_object_object_add(obj, key, json_object_new_string(text));
}

static json_object *next_dc(struct cli *cli, const char *name, json_object *base, bool withdrawn)
{
	struct change_info info;
	json_object *next = json_object_new_object();
	uint64_t generation = base ? json_num(base, "generation") : 0;

	change_info_init(&info, cli_author(cli), "");
	add_text(next, "data_centre", name);
	json_object_object_add(next, "generation", json_object_new_int64((int64_t)generation + 1));
	add_text(next, "state", withdrawn ? "withdrawn" : "serving");
	add_text(next, "request_id", info.request_id);
	add_text(next, "author", info.author);
	add_text(next, "time", info.time);
	return next;
}

/* Waits until all instances have the change and, after a withdrawal, for the flows to end. */
static int wait_for_dc(struct cli *cli, const char *kind, const char *object, uint64_t generation,
		       const struct flow_filter *flows, int exit_code)
{
	struct wait_condition what = {
		.kind = kind,
		.name = object,
		.generation = generation,
		.flows = flows,
	};

	return exit_code == EXIT_DONE && cli->wait->count ? fleet_wait(cli, &what) : exit_code;
}

/* For all organisations: the data centre's own object, signed by the fleet operator. */
static int set_for_all_orgs(struct cli *cli, const char *name, bool withdrawn)
{
	struct change change = { .kind = PLATFORM_KIND_DCS, .name = name };
	struct flow_filter flows = { .data_centre = name };
	gchar *version = NULL;
	bool found;
	int exit_code = EXIT_REFUSED;

	if (!cli_read_object(cli, change.kind, name, cli->verify_key, &change.base, &version,
			     &found, &exit_code))
		goto cleanup;
	if (!strcmp(found ? json_str(change.base, "state") : "serving",
		    withdrawn ? "withdrawn" : "serving")) {
		cli_error(cli, "%s is %s already", name, withdrawn ? "withdrawn" : "serving");
		exit_code = EXIT_REFUSED;
		goto cleanup;
	}
	change.version = change_version(cli, version ? version : "");
	change.next = next_dc(cli, name, change.base, withdrawn);
	exit_code = wait_for_dc(cli, change.kind, name, json_num(change.next, "generation"),
				withdrawn ? &flows : NULL, change_write(cli, &change));
cleanup:
	json_object_put(change.base);
	json_object_put(change.next);
	g_free(version);
	return exit_code;
}

/* For one organisation: a field of its document. */
static int set_for_org(struct cli *cli, const char *name, const char *org, bool withdrawn)
{
	struct orgedit ed;
	struct flow_filter flows = { .organisation = org, .data_centre = name };
	int exit_code;
	gchar *action;

	if (!orgedit_read(cli, &ed, org, &exit_code))
		return exit_code;
	exit_code = EXIT_REFUSED;
	if (!ed.base) {
		cli_error(cli, "there is no organisation %s", org);
	} else if (org_withdraw(ed.next, name, withdrawn)) {
		cli_error(cli, "%s is %s already for %s", name, withdrawn ? "withdrawn" : "serving",
			  org);
	} else {
		action = g_strdup_printf("%s %s", withdrawn ? "withdraw" : "restore", name);
		exit_code = orgedit_write(cli, &ed, action);
		exit_code =
			wait_for_dc(cli, PLATFORM_KIND_ORGS, org, json_num(ed.next, "generation"),
				    withdrawn ? &flows : NULL, exit_code);
		g_free(action);
	}
	orgedit_release(&ed);
	return exit_code;
}

static int dc_set(int argc, char **argv, bool withdrawn)
{
	struct cli cli;
	struct arg_str *org;
	struct arg_str *name;
	int exit_code;

	cli_init(&cli, withdrawn ? "dc withdraw" : "dc restore",
		 withdrawn
			 ? "stops all packets to a data centre; flows to its targets are abandoned"
			 : "lets a data centre serve again; its targets go through slow start",
		 CLI_PLATFORM | CLI_KEY | CLI_FLEET_KEY | CLI_VERSION | CLI_WAIT);
	org = cli_add(&cli,
		      arg_str0(NULL, "org", "NAME", "for this organisation alone, with its key"));
	name = cli_add(&cli, arg_str1(NULL, NULL, "NAME", "name of the data centre"));
	if (!cli_parse(&cli, argc, argv, &exit_code))
		goto cleanup;
	exit_code = EXIT_USAGE;
	if (!schema_is_name(name->sval[0]))
		cli_error(&cli, "\"%s\" is no name", name->sval[0]);
	else if (cli_open(&cli, &exit_code))
		exit_code = org->count ? set_for_org(&cli, name->sval[0], org->sval[0], withdrawn)
				       : set_for_all_orgs(&cli, name->sval[0], withdrawn);
cleanup:
	cli_release(&cli);
	return exit_code;
}

static int dc_withdraw(int argc, char **argv)
{
	return dc_set(argc, argv, true);
}

static int dc_restore(int argc, char **argv)
{
	return dc_set(argc, argv, false);
}

int cmd_dc(int argc, char **argv)
{
	static const struct cli_verb verbs[] = {
		{ "withdraw", "stop all packets to a data centre", dc_withdraw },
		{ "restore", "let a data centre serve again", dc_restore },
	};

	return cli_run_verb("dc", verbs, G_N_ELEMENTS(verbs), argc, argv);
}
