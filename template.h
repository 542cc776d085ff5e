/* Templates: parameters with types, ranges and defaults, expanded into services and targets. */
#ifndef TEMPLATE_H
#define TEMPLATE_H

#include "jsontext.h"

#define TEMPLATE_MAX_SERVERS 4096

/*
 * Reads and checks @dir/@name.json. Initialises @text, which the caller releases in any case.
 * Returns 0, or -EINVAL with entries in @faults.
 */
int template_read(struct json_text *text, const char *dir, const char *name, struct faults *faults);

/* Converts a parameter's text from the command line; template_complete() checks its type. */
json_object *template_parse_value(json_object *tmpl, const char *name, const char *value);

/*
 * Checks the parameters in @given.root under @prefix ("" for the root itself) and returns a copy
 * with the defaults, or NULL with entries in @faults.
 */
json_object *template_complete(json_object *tmpl, const struct json_text *given, const char *prefix,
			       struct faults *faults);

/*
 * Services for complete parameters, in the form of an organisation's document, or NULL with entries
 * in @faults that name the template's file.
 */
json_object *template_expand(const struct json_text *tmpl, json_object *params,
			     struct faults *faults);

#endif
