/* Subcommands of the jujubestage binary; one file each in builtin/. */
#ifndef BUILTIN_H
#define BUILTIN_H

#define JUJUBESTAGE_VERSION "0.1.0"

/* Exit codes of every subcommand. */
enum exit_code {
	EXIT_DONE = 0,
	EXIT_REFUSED = 1, /* refused or failed */
	EXIT_USAGE = 2,	  /* wrong usage or invalid input */
};

struct builtin {
	const char *name;
	const char *summary;
	/* @argv[0] is the subcommand's name. Returns an enum exit_code. */
	int (*run)(int argc, char **argv);
};

/* All subcommands, in the order that "jujubestage help" prints. */
extern const struct builtin builtins[];
extern const unsigned int nr_builtins;

int cmd_burn(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_dc(int argc, char **argv);
int cmd_edge(int argc, char **argv);
int cmd_explain(int argc, char **argv);
int cmd_grants(int argc, char **argv);
int cmd_help(int argc, char **argv);
int cmd_instance(int argc, char **argv);
int cmd_keygen(int argc, char **argv);
int cmd_org(int argc, char **argv);
int cmd_replay(int argc, char **argv);
int cmd_run(int argc, char **argv);
int cmd_status(int argc, char **argv);
int cmd_target(int argc, char **argv);
int cmd_template(int argc, char **argv);
int cmd_version(int argc, char **argv);

#endif
