/*
 * Checks JSON texts against the tables that scripts/generate makes from the .schema files in
 * proto/: unknown and missing keys, types, ranges. Reports all faults.
 */
#ifndef SCHEMA_H
#define SCHEMA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "jsontext.h"

enum schema_type {
	SCHEMA_UINT, /* min and max limit the value */
	SCHEMA_BOOL,
	SCHEMA_STRING,	 /* printable; min and max limit the length in bytes */
	SCHEMA_NAME,	 /* string of lower-case letters, digits, "-", "_" and "." */
	SCHEMA_ENDPOINT, /* IPv4 address and port */
	SCHEMA_PREFIX,	 /* IPv4 prefix */
	SCHEMA_HEX,	 /* min and max limit the decoded length */
	SCHEMA_TIME,	 /* UTC time such as 2026-12-04T05:00:00Z */
	SCHEMA_ENUM,	 /* one of the choices */
	SCHEMA_OBJECT,	 /* its keys have entries of their own */
	SCHEMA_ARRAY,	 /* min and max limit the number of elements */
	SCHEMA_MAP,	 /* object with any keys; the schema does not limit its values */
	SCHEMA_ANY,
};

struct schema_key {
	const char *path; /* dotted, "[]" for each element of an array */
	enum schema_type type;
	bool required;
	uint64_t min;
	uint64_t max;
	const char *unit;
	const char *def;     /* default as JSON, or NULL */
	const char *choices; /* separated by commas */
};

struct schema {
	const char *name;
	const struct schema_key *keys;
	size_t nr;
};

/*
 * Checks @text and adds the defaults of missing keys to its root. Returns 0, or -EINVAL with
 * entries in @faults.
 */
int schema_check(const struct schema *schema, struct json_text *text, struct faults *faults);

/* Checks one value against @key, which need not be in a table; faults name @path. */
bool schema_check_value(const struct schema_key *key, json_object *value,
			const struct json_text *text, const char *path, struct faults *faults);

/* Whether @text is a name in the sense of SCHEMA_NAME. */
bool schema_is_name(const char *text);

#endif
