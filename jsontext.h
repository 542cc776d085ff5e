/*
 * JSON files with comments: json-c parses them; a scanner adds what json-c does not report,
 * the line of each key and duplicate keys.
 */
#ifndef JSONTEXT_H
#define JSONTEXT_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "fault.h"

#define JSON_MAX_DEPTH 16
#define JSON_MAX_BYTES 1048576 /* the platform's limit for a value */

struct json_text {
	GString *file;
	GString *bytes;
	json_object *root;
	GHashTable *lines; /* dotted path, such as "seeds[0].id", to its line */
};

void json_text_init(struct json_text *text, const char *file);
void json_text_release(struct json_text *text);

/*
 * Reads the file, or parses @bytes. Return 0, or -EINVAL with entries in @faults; duplicate keys
 * are faults.
 */
int json_text_read(struct json_text *text, struct faults *faults);
int json_text_parse(struct json_text *text, const char *bytes, size_t len, struct faults *faults);

/* Line of a dotted path, or of the nearest object or array around it. */
unsigned int json_text_line(const struct json_text *text, const char *path);

/* String at a key of an object, or "" when there is none. */
const char *json_str(json_object *obj, const char *key);
/* Unsigned number at a key of an object, or 0. */
uint64_t json_num(json_object *obj, const char *key);
/* Element @i of the array at a key, or NULL; json_len() is the number of elements. */
json_object *json_item(json_object *obj, const char *key, size_t i);
size_t json_len(json_object *obj, const char *key);
/* The element of the array at @key whose @name_key is @name, or NULL. */
json_object *json_find(json_object *obj, const char *key, const char *name_key, const char *name);

#endif
