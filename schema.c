#include "schema.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include "address.h"

struct check {
	const struct schema *schema;
	struct json_text *text;
	struct faults *faults;
};

static const char *const type_names[] = {
	[SCHEMA_UINT] = "an integer",
	[SCHEMA_BOOL] = "true or false",
	[SCHEMA_STRING] = "a string",
	[SCHEMA_NAME] = "a name (lower-case letters, digits, \"-\", \"_\" and \".\")",
	[SCHEMA_ENDPOINT] = "an IPv4 address and port, such as 192.0.2.1:7000",
	[SCHEMA_PREFIX] = "an IPv4 prefix, such as 192.0.2.0/28",
	[SCHEMA_HEX] = "a hexadecimal string",
	[SCHEMA_TIME] = "a UTC time, such as 2026-12-04T05:00:00Z",
	[SCHEMA_ENUM] = "one of",
	[SCHEMA_OBJECT] = "an object",
	[SCHEMA_ARRAY] = "an array",
	[SCHEMA_MAP] = "an object",
	[SCHEMA_ANY] = "a value",
};

bool schema_is_name(const char *text)
{
	if (!*text || *text == '.')
		return false;
	for (; *text; text++) {
		if (!g_ascii_islower(*text) && !g_ascii_isdigit(*text) && !strchr("-_.", *text))
			return false;
	}
	return true;
}

/* False for control characters and for NUL, which json-c accepts as an escape. */
static bool is_printable(json_object *value)
{
	const char *text = json_object_get_string(value);
	size_t len = (size_t)json_object_get_string_len(value);

	if (strlen(text) != len || !g_utf8_validate(text, (gssize)len, NULL))
		return false;
	for (; *text; text++) {
		if ((unsigned char)*text < ' ' || *text == 127)
			return false;
	}
	return true;
}

static bool is_time(const char *text)
{
	static const char pattern[] = "dddd-dd-ddTdd:dd:ddZ";

	if (strlen(text) != strlen(pattern))
		return false;
	for (size_t i = 0; pattern[i]; i++) {
		if (pattern[i] == 'd' ? !g_ascii_isdigit(text[i]) : text[i] != pattern[i])
			return false;
	}
	return true;
}

static bool is_choice(const char *choices, const char *text)
{
	gchar **list = g_strsplit(choices, ",", -1);
	bool found = g_strv_contains((const gchar *const *)list, text);

	g_strfreev(list);
	return found;
}

static bool string_matches(const struct schema_key *key, json_object *value)
{
	const char *text = json_object_get_string(value);
	struct endpoint ep;
	struct prefix pfx;

	if (!is_printable(value))
		return false;
	switch (key->type) {
	case SCHEMA_NAME:
		return schema_is_name(text);
	case SCHEMA_ENDPOINT:
		return endpoint_parse(text, &ep);
	case SCHEMA_PREFIX:
		return prefix_parse(text, &pfx);
	case SCHEMA_HEX:
		return strlen(text) % 2 == 0 &&
		       strspn(text, "0123456789abcdefABCDEF") == strlen(text);
	case SCHEMA_TIME:
		return is_time(text);
	case SCHEMA_ENUM:
		return is_choice(key->choices, text);
	default:
		return true;
	}
}

static bool type_matches(const struct schema_key *key, json_object *value)
{
	switch (key->type) {
	case SCHEMA_UINT:
		return json_object_is_type(value, json_type_int);
	case SCHEMA_BOOL:
		return json_object_is_type(value, json_type_boolean);
	case SCHEMA_OBJECT:
	case SCHEMA_MAP:
		return json_object_is_type(value, json_type_object);
	case SCHEMA_ARRAY:
		return json_object_is_type(value, json_type_array);
	case SCHEMA_ANY:
		return true;
	default:
		return json_object_is_type(value, json_type_string) && string_matches(key, value);
	}
}

/* Gets the size that min and max limit, and its unit. Returns false when the type has no range. */
static bool bounded_size(const struct schema_key *key, json_object *value, uint64_t *size,
			 const char **unit_name)
{
	*unit_name = key->unit ? key->unit : "";
	switch (key->type) {
	case SCHEMA_UINT:
		*size = json_object_get_uint64(value);
		return true;
	case SCHEMA_STRING:
	case SCHEMA_NAME:
		*unit_name = "characters";
		*size = (uint64_t)json_object_get_string_len(value);
		return true;
	case SCHEMA_HEX:
		*unit_name = "bytes";
		*size = (uint64_t)json_object_get_string_len(value) / 2;
		return true;
	case SCHEMA_ARRAY:
		*unit_name = "elements";
		*size = json_object_array_length(value);
		return true;
	default:
		return false;
	}
}

bool schema_check_value(const struct schema_key *key, json_object *value,
			const struct json_text *text, const char *path, struct faults *faults)
{
	const char *file = text->file->str;
	unsigned int line = json_text_line(text, path);
	const char *unit_name;
	uint64_t size;

	if (!type_matches(key, value)) {
		faults_add(faults, file, line, path, "must be %s%s%s", type_names[key->type],
			   key->choices ? " " : "", key->choices ? key->choices : "");
		return false;
	}
	if (!bounded_size(key, value, &size, &unit_name))
		return true;
	/* json_object_get_uint64() returns 0 for a negative number. */
	if (size < key->min || size > key->max ||
	    (key->type == SCHEMA_UINT && size == 0 && json_object_get_int64(value) < 0)) {
		if (key->min == key->max)
			faults_add(faults, file, line, path, "must be %" PRIu64 "%s%s", key->min,
				   *unit_name ? " " : "", unit_name);
		else
			faults_add(faults, file, line, path,
				   "must be from %" PRIu64 " to %" PRIu64 "%s%s", key->min,
				   key->max, *unit_name ? " " : "", unit_name);
		return false;
	}
	return true;
}

static const struct schema_key *find_key(const struct check *ck, const char *path)
{
	for (size_t i = 0; i < ck->schema->nr; i++) {
		if (!strcmp(ck->schema->keys[i].path, path))
			return &ck->schema->keys[i];
	}
	return NULL;
}

static void check_object(const struct check *ck, json_object *obj, GString *pattern, GString *path);

/* @pattern is @path with "[]" for each index, as in the table. */
static void check_value(const struct check *ck, const struct schema_key *key, json_object *value,
			GString *pattern, GString *path)
{
	const struct schema_key *item;
	gsize pattern_len = pattern->len;
	gsize path_len = path->len;

	if (!schema_check_value(key, value, ck->text, path->str, ck->faults))
		return;
	if (key->type == SCHEMA_OBJECT)
		check_object(ck, value, pattern, path);
	if (key->type != SCHEMA_ARRAY)
		return;
	g_string_append(pattern, "[]");
	item = find_key(ck, pattern->str);
	for (size_t i = 0; item && i < json_object_array_length(value); i++) {
		g_string_append_printf(path, "[%zu]", i);
		check_value(ck, item, json_object_array_get_idx(value, i), pattern, path);
		g_string_truncate(path, path_len);
	}
	g_string_truncate(pattern, pattern_len);
}

/* Adds defaults and reports keys that are missing from @obj. */
static void check_missing(const struct check *ck, json_object *obj, const GString *pattern,
			  const GString *path)
{
	for (size_t i = 0; i < ck->schema->nr; i++) {
		const struct schema_key *key = &ck->schema->keys[i];
		const char *name = key->path;
		gchar *full;

		if (pattern->len) {
			if (strncmp(name, pattern->str, pattern->len) != 0 ||
			    name[pattern->len] != '.')
				continue;
			name += pattern->len + 1;
		}
		if (strpbrk(name, ".[") || json_object_object_get_ex(obj, name, NULL))
			continue;
		if (key->def) {
			json_object_object_add(obj, name, json_tokener_parse(key->def));
		} else if (key->required) {
			full = g_strdup_printf("%s%s%s", path->str, path->len ? "." : "", name);
			faults_add(ck->faults, ck->text->file->str, json_text_line(ck->text, full),
				   full, "is missing");
			g_free(full);
		}
	}
}

static void check_object(const struct check *ck, json_object *obj, GString *pattern, GString *path)
{
	gsize pattern_len = pattern->len;
	gsize path_len = path->len;

	json_object_object_foreach(obj, name, value)
	{
		const struct schema_key *key;

		g_string_append_printf(pattern, "%s%s", pattern_len ? "." : "", name);
		g_string_append_printf(path, "%s%s", path_len ? "." : "", name);
		key = find_key(ck, pattern->str);
		if (key)
			check_value(ck, key, value, pattern, path);
		else
			faults_add(ck->faults, ck->text->file->str,
				   json_text_line(ck->text, path->str), path->str, "unknown key");
		g_string_truncate(pattern, pattern_len);
		g_string_truncate(path, path_len);
	}
	check_missing(ck, obj, pattern, path);
}

int schema_check(const struct schema *schema, struct json_text *text, struct faults *faults)
{
	struct check ck = { schema, text, faults };
	GString *pattern = g_string_new(NULL);
	GString *path = g_string_new(NULL);
	guint before = faults->list->len;

	if (json_object_is_type(text->root, json_type_object))
		check_object(&ck, text->root, pattern, path);
	else
		faults_add(faults, text->file->str, 1, "", "must be an object");
	g_string_free(pattern, TRUE);
	g_string_free(path, TRUE);
	return faults->list->len > before ? -EINVAL : 0;
}
