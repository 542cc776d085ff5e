/* Stand-ins for what surrounds a balancer; test helpers only. */
#include "standin.h"

#include <stdio.h>
#include <string.h>

static const struct {
	const char *name;
	int (*run)(int argc, char **argv);
} commands[] = {
	{ "caller", standin_caller },
	{ "fabric", standin_fabric },
	{ "platform", standin_platform },
	{ "target", standin_target },
};

int main(int argc, char **argv)
{
	standin_init();
	for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++) {
		if (!strcmp(commands[i].name, argv[1]))
			return commands[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr, "usage: standin COMMAND [OPTIONS]\n");
	return 2;
}
