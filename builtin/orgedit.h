/* Reads, changes and writes one organisation's document. */
#ifndef ORGEDIT_H
#define ORGEDIT_H

#include "change.h"
#include "org.h"

struct orgedit {
	const char *name;
	json_object *grants;
	json_object *base; /* NULL when there is no such organisation */
	json_object *next; /* copy of @base to change, or a new organisation */
	gchar *version;
};

/* Reads grants and organisation. Returns false with *exit_code and a message on failure. */
bool orgedit_read(struct cli *cli, struct orgedit *ed, const char *name, int *exit_code);
void orgedit_release(struct orgedit *ed);

/*
 * Stamps @ed->next, checks it against the schema and the grants and writes it. Returns an enum
 * exit_code.
 */
int orgedit_write(struct cli *cli, struct orgedit *ed, const char *action);

/*
 * Expands the template with the parameters in @given, which stand under @prefix there ("" for the
 * root), and sets the services of @ed->next. Returns false with faults printed.
 */
bool orgedit_expand(struct cli *cli, struct orgedit *ed, const char *template,
		    const struct json_text *given, const char *prefix);

#endif
