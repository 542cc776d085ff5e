#include "builtin.h"

#include <stdio.h>

int cmd_help(int argc, char **argv)
{
	(void)argc;
	(void)argv;
	printf("usage: jujubestage COMMAND [ARGUMENTS]\n\ncommands:\n");
	for (unsigned int i = 0; i < nr_builtins; i++)
		printf("  %-10s %s\n", builtins[i].name, builtins[i].summary);
	printf("\n\"jujubestage COMMAND --help\" describes one command\n");
	return EXIT_DONE;
}

int cmd_version(int argc, char **argv)
{
	(void)argc;
	(void)argv;
	printf("jujubestage %s\n", JUJUBESTAGE_VERSION);
	return EXIT_DONE;
}
