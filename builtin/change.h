/*
 * Conditional writes of signed documents. A change is applied at most once: its request id tells
 * whether a write whose answer was lost took effect.
 */
#ifndef CHANGE_H
#define CHANGE_H

#include "cli.h"

struct change {
	const char *kind;
	const char *name;
	const char *version; /* that the change replaces; "" when there was none */
	json_object *base;   /* the document of that version, NULL when there was none */
	json_object *next;   /* with the request id and the next generation */
};

/*
 * Writes @change->next and prints the outcome. Returns an enum exit_code; EXIT_REFUSED for a
 * conflict, for a platform that does not answer and for an unknown outcome.
 */
int change_write(struct cli *cli, const struct change *change);

/* Prints both sides of a conflict: the changes since @change->version, and @change. */
void change_print_conflict(struct cli *cli, const struct change *change, json_object *current);

/* The version of the --if-version option, or @read without it. */
const char *change_version(const struct cli *cli, const char *read);

#endif
