#include "cli.h"

#include <stdlib.h>
#include <string.h>

#include "address.h"
#include "schema.h"

#define DEFAULT_WAIT_TIMEOUT_S 60
#define ENV_PLATFORM	       "JUJUBESTAGE_PLATFORM"
#define ENV_TEMPLATES	       "JUJUBESTAGE_TEMPLATES"
#define ENV_FLEET_KEY	       "JUJUBESTAGE_FLEET_KEY"
#define ENV_AUTHOR	       "JUJUBESTAGE_AUTHOR"

void cli_init(struct cli *cli, const char *name, const char *help, unsigned int options)
{
	*cli = (struct cli){ .name = name, .help = help };
	cli->help_flag = cli_add(cli, arg_lit0("h", "help", "describe this command"));
	cli->json = cli_add(cli, arg_lit0(NULL, "json", "print JSON on standard output"));
	if (options & CLI_PLATFORM)
		cli->platform = cli_add(cli, arg_str0(NULL, "platform", "ADDRESS:PORT",
						      "the platform, default $" ENV_PLATFORM));
	if (options & CLI_KEY) {
		cli->key = cli_add(cli, arg_file0(NULL, "key", "FILE", "signing key (.key)"));
		cli->old_key = cli_add(
			cli,
			arg_file0(NULL, "old-key", "FILE",
				  "public key that signed the last version, for a key rotation"));
		cli->author = cli_add(cli, arg_str0(NULL, "author", "NAME",
						    "author of the change, default $" ENV_AUTHOR
						    " or $USER"));
	}
	if (options & CLI_FLEET_KEY)
		cli->fleet_key = cli_add(cli, arg_file0(NULL, "fleet-key", "FILE",
							"public key of the fleet operator, "
							"default $" ENV_FLEET_KEY));
	if (options & CLI_VERSION)
		cli->if_version = cli_add(cli, arg_str0(NULL, "if-version", "VERSION",
							"replace only this version, default "
							"the one just read"));
	if (options & CLI_TEMPLATES)
		cli->templates =
			cli_add(cli, arg_file0(NULL, "templates", "DIR",
					       "directory of templates, default $" ENV_TEMPLATES
					       " or " DEFAULT_TEMPLATES));
	if (options & CLI_WAIT) {
		cli->wait = cli_add(
			cli, arg_lit0(NULL, "wait", "wait until all instances have the change"));
		cli->timeout = cli_add(cli, arg_int0(NULL, "timeout", "SECONDS",
						     "time limit of --wait, default 60"));
		cli->timeout->ival[0] = DEFAULT_WAIT_TIMEOUT_S;
	}
}

void *cli_add(struct cli *cli, void *arg)
{
	g_assert_cmpuint(cli->nr, <, CLI_MAX_ARGS - 1);
	cli->args[cli->nr++] = arg;
	return arg;
}

static void print_usage(const struct cli *cli, FILE *out)
{
	fprintf(out, "usage: jujubestage %s", cli->name);
	arg_print_syntax(out, (void **)cli->args, "\n");
	fprintf(out, "%s\n", cli->help);
	arg_print_glossary(out, (void **)cli->args, "  %-28s %s\n");
}

bool cli_parse(struct cli *cli, int argc, char **argv, int *exit_code)
{
	gchar *name = g_strconcat("jujubestage ", cli->name, NULL);
	int errors;

	cli->end = cli_add(cli, arg_end(8));
	errors = arg_parse(argc, argv, cli->args);
	if (cli->help_flag->count) {
		print_usage(cli, stdout);
		*exit_code = EXIT_DONE;
	} else if (errors) {
		arg_print_errors(stderr, cli->end, name);
		fprintf(stderr, "%s --help describes the command\n", name);
		*exit_code = EXIT_USAGE;
	}
	g_free(name);
	return !errors && !cli->help_flag->count;
}

void cli_error(const struct cli *cli, const char *format, ...)
{
	va_list ap;

	fprintf(stderr, "jujubestage %s: ", cli->name);
	va_start(ap, format);
	vfprintf(stderr, format, ap);
	va_end(ap);
	fputc('\n', stderr);
}

void cli_print_faults(const struct faults *faults)
{
	faults_print(faults, stderr);
}

const char *cli_author(const struct cli *cli)
{
	const char *name = cli->author && cli->author->count ? cli->author->sval[0] : NULL;

	if (!name)
		name = getenv(ENV_AUTHOR);
	if (!name)
		name = getenv("USER");
	return name && *name ? name : "unknown";
}

static const char *file_or_env(const struct arg_file *arg, const char *env)
{
	if (arg && arg->count)
		return arg->filename[0];
	return env ? getenv(env) : NULL;
}

const char *cli_templates(const struct cli *cli)
{
	const char *dir = file_or_env(cli->templates, ENV_TEMPLATES);

	return dir ? dir : DEFAULT_TEMPLATES;
}

static bool read_keys(struct cli *cli, struct faults *faults)
{
	const char *fleet = file_or_env(cli->fleet_key, ENV_FLEET_KEY);

	if (cli->key) {
		if (!cli->key->count) {
			cli_error(cli, "option --key is needed to sign the change");
			return false;
		}
		if (keys_read_secret(cli->key->filename[0], &cli->signing, faults))
			return false;
		memcpy(cli->verify_key, cli->signing.public, PUBLIC_KEY_BYTES);
		if (cli->old_key->count &&
		    keys_read_public(cli->old_key->filename[0], cli->verify_key, faults))
			return false;
	}
	if (cli->fleet_key && fleet) {
		cli->has_fleet = true;
		return !keys_read_public(fleet, cli->fleet, faults);
	}
	return true;
}

bool cli_open(struct cli *cli, int *exit_code)
{
	const char *text = cli->platform->count ? cli->platform->sval[0] : getenv(ENV_PLATFORM);
	struct endpoint server;
	struct faults faults;
	bool ok;

	*exit_code = EXIT_USAGE;
	if (!text) {
		cli_error(cli, "option --platform is needed");
		return false;
	}
	if (!endpoint_parse(text, &server)) {
		cli_error(cli, "\"%s\" is not an IPv4 address and port", text);
		return false;
	}
	faults_init(&faults);
	ok = read_keys(cli, &faults);
	cli_print_faults(&faults);
	faults_release(&faults);
	if (!ok)
		return false;
	cli->sync = platform_sync_new(server);
	if (!cli->sync) {
		cli_error(cli, "cannot start libwebsockets");
		*exit_code = EXIT_REFUSED;
	}
	return cli->sync != NULL;
}

void cli_release(struct cli *cli)
{
	platform_sync_free(cli->sync);
	sodium_memzero(&cli->signing, sizeof(cli->signing));
	arg_freetable(cli->args, cli->nr);
}

void cli_print_json(json_object *obj)
{
	printf("%s\n", json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PRETTY |
								   JSON_C_TO_STRING_SPACED |
								   JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(obj);
}

bool cli_read_object(struct cli *cli, const char *kind, const char *name, const uint8_t *key,
		     json_object **doc, gchar **version, bool *found, int *exit_code)
{
	struct sync_result res;
	bool ok = true;

	*doc = NULL;
	*version = NULL;
	*found = false;
	/* The name becomes part of a path. */
	if (!schema_is_name(name)) {
		cli_error(cli, "\"%s\" is no name", name);
		*exit_code = EXIT_USAGE;
		return false;
	}
	sync_result_init(&res);
	platform_sync_get(cli->sync, kind, name, &res);
	switch (res.status) {
	case CALL_OK:
		*doc = document_verify(res.body, key);
		*version = g_strdup(res.version->str);
		*found = true;
		if (!*doc) {
			cli_error(cli, "the signature of %s/%s does not verify with this key%s",
				  kind, name,
				  cli->old_key ? ", see --old-key for a key rotation" : "");
			*exit_code = EXIT_REFUSED;
			ok = false;
		}
		break;
	case CALL_NOT_FOUND:
		break;
	default:
		cli_error(cli, "the platform does not answer, nothing was changed");
		*exit_code = EXIT_REFUSED;
		ok = false;
	}
	sync_result_release(&res);
	return ok;
}

json_object *cli_read_grants(struct cli *cli, int *exit_code)
{
	json_object *grants;
	gchar *version;
	bool found;

	if (!cli_read_object(cli, PLATFORM_KIND_GRANTS, "fleet", cli->has_fleet ? cli->fleet : NULL,
			     &grants, &version, &found, exit_code))
		grants = NULL;
	else if (!found) {
		cli_error(cli, "the platform has no grants, see \"jujubestage grants set\"");
		*exit_code = EXIT_REFUSED;
	}
	g_free(version);
	return grants;
}

int cli_run_verb(const char *command, const struct cli_verb *verbs, size_t nr, int argc,
		 char **argv)
{
	bool help = argc > 1 && (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"));
	FILE *out = help ? stdout : stderr;

	for (size_t i = 0; argc > 1 && i < nr; i++) {
		if (!strcmp(argv[1], verbs[i].name))
			return verbs[i].run(argc - 1, argv + 1);
	}
	if (argc > 1 && !help)
		fprintf(out, "jujubestage %s: unknown command \"%s\"\n", command, argv[1]);
	fprintf(out, "usage: jujubestage %s COMMAND [ARGUMENTS]\n\ncommands:\n", command);
	for (size_t i = 0; i < nr; i++)
		fprintf(out, "  %-10s %s\n", verbs[i].name, verbs[i].help);
	return help ? EXIT_DONE : EXIT_USAGE;
}
