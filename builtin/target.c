#include <errno.h>

#include "fleet.h"
#include "orgedit.h"

static int drain(struct cli *cli, gchar **path, bool draining)
{
	struct orgedit ed;
	struct flow_filter flows = { path[0], path[1], path[2], NULL };
	struct wait_condition what = {
		.kind = PLATFORM_KIND_ORGS,
		.name = path[0],
		.flows = draining ? &flows : NULL,
	};
	const char *verb = draining ? "drain" : "undrain";
	gchar *action;
	int exit_code;
	int rc;

	if (!orgedit_read(cli, &ed, path[0], &exit_code))
		return exit_code;
	exit_code = EXIT_REFUSED;
	rc = org_drain(ed.next, path[1], path[2], draining);
	if (rc == -ENOENT) {
		cli_error(cli, "there is no target %s/%s/%s", path[0], path[1], path[2]);
	} else if (rc) {
		cli_error(cli, "%s/%s/%s is %s already", path[0], path[1], path[2],
			  draining ? "draining" : "serving");
	} else {
		action = g_strdup_printf("%s %s/%s", verb, path[1], path[2]);
		exit_code = orgedit_write(cli, &ed, action);
		what.generation = json_num(ed.next, "generation");
		if (exit_code == EXIT_DONE && cli->wait->count)
			exit_code = fleet_wait(cli, &what);
		g_free(action);
	}
	orgedit_release(&ed);
	return exit_code;
}

static int target_set(int argc, char **argv, bool draining)
{
	struct cli cli;
	struct arg_str *name;
	gchar **path = NULL;
	int exit_code;

	cli_init(&cli, draining ? "target drain" : "target undrain",
		 draining ? "gives a target no new flows; its existing flows continue"
			  : "lets a target take new flows again",
		 CLI_PLATFORM | CLI_KEY | CLI_FLEET_KEY | CLI_VERSION | CLI_WAIT);
	name = cli_add(&cli, arg_str1(NULL, NULL, "ORG/SERVICE/TARGET", "the target"));
	if (!cli_parse(&cli, argc, argv, &exit_code))
		goto cleanup;
	path = g_strsplit(name->sval[0], "/", -1);
	exit_code = EXIT_USAGE;
	if (g_strv_length(path) != 3)
		cli_error(&cli, "\"%s\" is not ORG/SERVICE/TARGET", name->sval[0]);
	else if (cli_open(&cli, &exit_code))
		exit_code = drain(&cli, path, draining);
cleanup:
	g_strfreev(path);
	cli_release(&cli);
	return exit_code;
}

static int target_drain(int argc, char **argv)
{
	return target_set(argc, argv, true);
}

static int target_undrain(int argc, char **argv)
{
	return target_set(argc, argv, false);
}

int cmd_target(int argc, char **argv)
{
	static const struct cli_verb verbs[] = {
		{ "drain", "give a target no new flows", target_drain },
		{ "undrain", "let a target take new flows again", target_undrain },
	};

	return cli_run_verb("target", verbs, G_N_ELEMENTS(verbs), argc, argv);
}
