/* Shared by the operators' commands: options, the connection to the platform, messages. */
#ifndef CLI_H
#define CLI_H

#include <argtable2.h>
#include <stdbool.h>
#include <stdio.h>

#include "builtin.h"
#include "document.h"
#include "platform-sync.h"

#define CLI_MAX_ARGS	  24
#define DEFAULT_TEMPLATES "examples/templates"

/* Options shared by several commands, for cli_init(). */
enum cli_option {
	CLI_PLATFORM = 1 << 0,
	CLI_KEY = 1 << 1,	/* signing key and author */
	CLI_FLEET_KEY = 1 << 2, /* to verify grants and data centres */
	CLI_VERSION = 1 << 3,
	CLI_TEMPLATES = 1 << 4,
	CLI_WAIT = 1 << 5,
};

struct cli {
	const char *name; /* for messages, such as "org set" */
	const char *help;
	void *args[CLI_MAX_ARGS];
	size_t nr;

	struct arg_lit *help_flag;
	struct arg_lit *json;
	struct arg_str *platform;
	struct arg_file *key;
	struct arg_file *old_key;
	struct arg_str *author;
	struct arg_file *fleet_key;
	struct arg_str *if_version;
	struct arg_file *templates;
	struct arg_lit *wait;
	struct arg_int *timeout;
	struct arg_end *end;

	/* Set by cli_open(). */
	struct platform_sync *sync;
	struct signing_key signing;
	uint8_t verify_key[PUBLIC_KEY_BYTES]; /* of documents that are read, changed and signed */
	uint8_t fleet[PUBLIC_KEY_BYTES];
	bool has_fleet;
};

/* @options is a set of enum cli_option. */
void cli_init(struct cli *cli, const char *name, const char *help, unsigned int options);
/* Adds a command's own argument, in the order of the command line. */
void *cli_add(struct cli *cli, void *arg);
/* Returns false with *exit_code after --help or wrong usage. */
bool cli_parse(struct cli *cli, int argc, char **argv, int *exit_code);
/* Reads the keys and connects to the platform. Returns false with *exit_code and a message. */
bool cli_open(struct cli *cli, int *exit_code);
void cli_release(struct cli *cli);

/* "jujubestage NAME: text" on standard error. */
void cli_error(const struct cli *cli, const char *format, ...) G_GNUC_PRINTF(2, 3);
void cli_print_faults(const struct faults *faults);
const char *cli_author(const struct cli *cli);
const char *cli_templates(const struct cli *cli);

/* Prints @obj as indented JSON on standard output and releases it. */
void cli_print_json(json_object *obj);

/*
 * Reads an object from the platform. Returns true with *found false when it does not exist. Returns
 * false with *exit_code and a message when the platform cannot be reached, the name is invalid or
 * the signature does not verify with @key; NULL skips this check. The caller releases *doc with
 * json_object_put() and *version with g_free().
 */
bool cli_read_object(struct cli *cli, const char *kind, const char *name, const uint8_t *key,
		     json_object **doc, gchar **version, bool *found, int *exit_code);

/*
 * Reads the grants and, when the fleet key is given, verifies them. Returns NULL with *exit_code
 * and a message on failure.
 */
json_object *cli_read_grants(struct cli *cli, int *exit_code);

/* A verb of a command, such as "set" in "org set". */
struct cli_verb {
	const char *name;
	const char *help;
	int (*run)(int argc, char **argv);
};
/* Runs the verb that argv[1] names. Returns an enum exit_code. */
int cli_run_verb(const char *command, const struct cli_verb *verbs, size_t nr, int argc,
		 char **argv);

#endif
