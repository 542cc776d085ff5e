#include "jsondepth.h"

#include <glib.h>
#include <string.h>

/* json-c counts a scalar as a level, and its limit is one above the deepest level that it takes. */
#define JSON_C_EXTRA_DEPTH 2

/* Returns the end of the string that begins at @at, with its quotes; @len if it does not end. */
static size_t string_end(const char *bytes, size_t len, size_t at)
{
	for (at++; at < len; at++) {
		if (bytes[at] == '\\')
			at++;
		else if (bytes[at] == '"')
			return at + 1;
	}
	return len;
}

/* Returns the end of the array or object that begins at @at; @len if it does not end. */
static size_t container_end(const char *bytes, size_t len, size_t at)
{
	size_t depth = 0;

	while (at < len) {
		switch (bytes[at]) {
		case '"':
			at = string_end(bytes, len, at);
			continue;
		case '[':
		case '{':
			depth++;
			break;
		case ']':
		case '}':
			if (!--depth)
				return at + 1;
			break;
		default:
			break;
		}
		at++;
	}
	return len;
}

/* Returns a copy with null in place of what is nested too deeply, or NULL if nothing is. */
static GString *replace_deep(const char *bytes, size_t len, unsigned int max_depth)
{
	GString *out = NULL;
	unsigned int depth = 0;
	size_t copied = 0;
	size_t at = 0;

	while (at < len) {
		char c = bytes[at];

		if (c == '"') {
			at = string_end(bytes, len, at);
			continue;
		}
		if ((c == '[' || c == '{') && depth == max_depth) {
			if (!out)
				out = g_string_sized_new(len);
			g_string_append_len(out, bytes + copied, (gssize)(at - copied));
			g_string_append(out, "null");
			at = copied = container_end(bytes, len, at);
			continue;
		}
		if (c == '[' || c == '{')
			depth++;
		else if ((c == ']' || c == '}') && depth)
			depth--;
		at++;
	}
	if (out)
		g_string_append_len(out, bytes + copied, (gssize)(len - copied));
	return out;
}

json_object *json_parse_depth(const char *bytes, size_t len, unsigned int max_depth)
{
	GString *copy = replace_deep(bytes, len, max_depth);
	json_tokener *tok = json_tokener_new_ex((int)max_depth + JSON_C_EXTRA_DEPTH);
	json_object *obj;

	if (copy) {
		bytes = copy->str;
		len = copy->len;
	}
	obj = json_tokener_parse_ex(tok, bytes, (int)len);
	if (json_tokener_get_error(tok) != json_tokener_success ||
	    !json_object_is_type(obj, json_type_object)) {
		json_object_put(obj);
		obj = NULL;
	}
	json_tokener_free(tok);
	if (copy)
		g_string_free(copy, TRUE);
	return obj;
}
