#include "builtin.h"

const struct builtin builtins[] = {
	{ "run", "run a balancer", cmd_run },
	{ "help", "list the commands", cmd_help },
	{ "replay", "run a recorded trace through the decision core", cmd_replay },
	{ "version", "print the version", cmd_version },
};

const unsigned int nr_builtins = sizeof(builtins) / sizeof(builtins[0]);
