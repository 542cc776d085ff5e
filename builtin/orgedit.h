/* Changes of one organisation's document, from reading to writing. */
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

/* Reads grants and organisation. Returns false with *exit_code and a message. */
bool orgedit_read(struct cli *cli, struct orgedit *ed, const char *name, int *exit_code);
void orgedit_release(struct orgedit *ed);

/*
 * Stamps @ed->next, checks it against the schema and the grants and writes it. Returns an enum
 * exit_code.
 */
int orgedit_write(struct cli *cli, struct orgedit *ed, const char *action);

/*
 * Puts the template expanded with @params into @ed->next. @given names the file of the parameters
 * for messages. Returns false with faults printed.
 */
bool orgedit_expand(struct cli *cli, struct orgedit *ed, const char *template,
		    const struct json_text *given, const char *prefix);

#endif
