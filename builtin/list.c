#include "builtin.h"

const struct builtin builtins[] = {
	{ "help", "list the commands", cmd_help },
	{ "replay", "run a recorded trace through the decision core", cmd_replay },
	{ "version", "print the version", cmd_version },
};

const unsigned int nr_builtins = sizeof(builtins) / sizeof(builtins[0]);
