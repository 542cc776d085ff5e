#include <string.h>

#include "address.h"
#include "cli.h"

#define MAX_RANDOM_BYTES 64

static int print_random(struct cli *cli, int bytes)
{
	uint8_t key[MAX_RANDOM_BYTES];
	char text[2 * MAX_RANDOM_BYTES + 1];

	if (bytes < 1 || bytes > MAX_RANDOM_BYTES) {
		cli_error(cli, "--random must be from 1 to %d", MAX_RANDOM_BYTES);
		return EXIT_USAGE;
	}
	randombytes_buf(key, (size_t)bytes);
	hex_format(key, (size_t)bytes, text);
	printf("%s\n", text);
	sodium_memzero(key, sizeof(key));
	sodium_memzero(text, sizeof(text));
	return EXIT_DONE;
}

int cmd_keygen(int argc, char **argv)
{
	struct cli cli;
	struct arg_int *random;
	struct arg_file *base;
	int exit_code;
	int rc;

	cli_init(&cli, "keygen",
		 "makes a signing key: NAME.key is the secret part, NAME.pub the public one", 0);
	random = cli_add(&cli, arg_int0(NULL, "random", "BYTES",
					"print random bytes instead: 16 for a flow key, 32 for "
					"a peer key"));
	base = cli_add(&cli, arg_file0(NULL, NULL, "NAME", "path without .key and .pub"));
	if (!cli_parse(&cli, argc, argv, &exit_code))
		goto cleanup;
	if (random->count) {
		exit_code = print_random(&cli, random->ival[0]);
		goto cleanup;
	}
	exit_code = EXIT_USAGE;
	if (!base->count) {
		cli_error(&cli, "a NAME or --random is needed");
		goto cleanup;
	}
	rc = keys_generate(base->filename[0]);
	if (rc) {
		cli_error(&cli, "%s: %s", base->filename[0], strerror(-rc));
		exit_code = EXIT_REFUSED;
		goto cleanup;
	}
	printf("wrote %s.key and %s.pub\n", base->filename[0], base->filename[0]);
	exit_code = EXIT_DONE;
cleanup:
	cli_release(&cli);
	return exit_code;
}
