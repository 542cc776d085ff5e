/* Entry point: finds the subcommand and runs it. */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "builtin/builtin.h"

/* Maps --help, -h and --version to their subcommands. */
static const char *command_name(const char *arg)
{
	if (!strcmp(arg, "--help") || !strcmp(arg, "-h"))
		return "help";
	if (!strcmp(arg, "--version"))
		return "version";
	return arg;
}

int main(int argc, char **argv)
{
	const char *name;

	if (sodium_init() < 0) {
		fprintf(stderr, "jujubestage: cannot initialise libsodium\n");
		return EXIT_REFUSED;
	}
	if (argc < 2) {
		fprintf(stderr, "jujubestage: no command given, see \"jujubestage help\"\n");
		return EXIT_USAGE;
	}
	name = command_name(argv[1]);
	for (unsigned int i = 0; i < nr_builtins; i++) {
		if (!strcmp(builtins[i].name, name))
			return builtins[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr, "jujubestage: unknown command \"%s\", see \"jujubestage help\"\n", argv[1]);
	return EXIT_USAGE;
}
