#include "jsontext.h"

#include <errno.h>
#include <string.h>

/* Scans a text that json-c has accepted, so it checks for the end but not the grammar. */
struct scanner {
	struct json_text *text;
	struct faults *faults;
	const char *pos;
	const char *end;
	unsigned int line;
};

static bool scan_comment(struct scanner *sc)
{
	if (sc->end - sc->pos < 2 || sc->pos[0] != '/')
		return false;
	if (sc->pos[1] == '/') {
		while (sc->pos < sc->end && *sc->pos != '\n')
			sc->pos++;
		return true;
	}
	if (sc->pos[1] != '*')
		return false;
	sc->pos += 2;
	while (sc->end - sc->pos >= 2 && (sc->pos[0] != '*' || sc->pos[1] != '/')) {
		if (*sc->pos == '\n')
			sc->line++;
		sc->pos++;
	}
	sc->pos = sc->end - sc->pos < 2 ? sc->end : sc->pos + 2;
	return true;
}

/* Skips space and comments; returns the next character or 0 at the end. */
static char scan_next(struct scanner *sc)
{
	while (sc->pos < sc->end) {
		if (scan_comment(sc))
			continue;
		if (!strchr(" \t\r\n", *sc->pos))
			return *sc->pos;
		if (*sc->pos++ == '\n')
			sc->line++;
	}
	return 0;
}

/* Appends a string in single or double quotes to @out; escapes are not decoded. */
static void scan_string(struct scanner *sc, GString *out)
{
	char quote = *sc->pos++;

	while (sc->pos < sc->end && *sc->pos != quote) {
		if (*sc->pos == '\n')
			sc->line++;
		if (*sc->pos == '\\' && sc->end - sc->pos > 1)
			g_string_append_c(out, *sc->pos++);
		g_string_append_c(out, *sc->pos++);
	}
	if (sc->pos < sc->end)
		sc->pos++;
}

static void scan_value(struct scanner *sc, GString *path, unsigned int depth);

static void scan_object(struct scanner *sc, GString *path, unsigned int depth)
{
	GString *key = g_string_new(NULL);
	gsize len = path->len;
	unsigned int line;
	char c;

	while ((c = scan_next(sc)) && c != '}') {
		if (c != '"' && c != '\'') {
			sc->pos++;
			continue;
		}
		line = sc->line;
		g_string_truncate(key, 0);
		scan_string(sc, key);
		g_string_append_printf(path, "%s%s", len ? "." : "", key->str);
		/* Escapes are not decoded, so a duplicate key could be missed. */
		if (strchr(key->str, '\\'))
			faults_add(sc->faults, sc->text->file->str, line, path->str,
				   "escape in the name of a key");
		else if (g_hash_table_contains(sc->text->lines, path->str))
			faults_add(sc->faults, sc->text->file->str, line, path->str,
				   "duplicate key, first on line %u",
				   json_text_line(sc->text, path->str));
		else
			g_hash_table_insert(sc->text->lines, g_strdup(path->str),
					    GUINT_TO_POINTER(line));
		if (scan_next(sc) == ':')
			sc->pos++;
		scan_value(sc, path, depth + 1);
		g_string_truncate(path, len);
	}
	if (c)
		sc->pos++;
	g_string_free(key, TRUE);
}

static void scan_array(struct scanner *sc, GString *path, unsigned int depth)
{
	gsize len = path->len;
	unsigned int nr = 0;
	char c;

	while ((c = scan_next(sc)) && c != ']') {
		if (c == ',') {
			sc->pos++;
			continue;
		}
		g_string_append_printf(path, "[%u]", nr++);
		g_hash_table_insert(sc->text->lines, g_strdup(path->str),
				    GUINT_TO_POINTER(sc->line));
		scan_value(sc, path, depth + 1);
		g_string_truncate(path, len);
	}
	if (c)
		sc->pos++;
}

static void scan_value(struct scanner *sc, GString *path, unsigned int depth)
{
	char c = scan_next(sc);
	GString *ignored;

	if (!c)
		return;
	if (depth > JSON_MAX_DEPTH) {
		/* Skips to the end; otherwise scan_array() would loop here forever. */
		faults_add(sc->faults, sc->text->file->str, sc->line, path->str,
			   "nested too deeply");
		sc->pos = sc->end;
		return;
	}
	if (c == '{' || c == '[') {
		sc->pos++;
		(c == '{' ? scan_object : scan_array)(sc, path, depth);
	} else if (c == '"' || c == '\'') {
		ignored = g_string_new(NULL);
		scan_string(sc, ignored);
		g_string_free(ignored, TRUE);
	} else {
		do
			sc->pos++;
		while (sc->pos < sc->end && !strchr(",]}/ \t\r\n", *sc->pos));
	}
}

void json_text_init(struct json_text *text, const char *file)
{
	*text = (struct json_text){
		.file = g_string_new(file),
		.bytes = g_string_new(NULL),
		.lines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	};
}

void json_text_release(struct json_text *text)
{
	g_string_free(text->file, TRUE);
	g_string_free(text->bytes, TRUE);
	g_hash_table_unref(text->lines);
	json_object_put(text->root);
	*text = (struct json_text){ 0 };
}

static unsigned int count_lines(const char *bytes, size_t len)
{
	unsigned int lines = 1;

	for (size_t i = 0; i < len; i++)
		lines += bytes[i] == '\n';
	return lines;
}

int json_text_parse(struct json_text *text, const char *bytes, size_t len, struct faults *faults)
{
	json_tokener *tok;
	struct scanner sc;
	GString *path;
	size_t used;
	int rc = -EINVAL;
	guint before = faults->list->len;

	if (len > JSON_MAX_BYTES || memchr(bytes, 0, len)) {
		faults_add(faults, text->file->str, 1, "",
			   len > JSON_MAX_BYTES ? "longer than 1 MB" : "contains a NUL byte");
		return -EINVAL;
	}
	g_string_append_len(text->bytes, bytes, (gssize)len);
	tok = json_tokener_new_ex(JSON_MAX_DEPTH);
	text->root = json_tokener_parse_ex(tok, text->bytes->str, (int)len + 1);
	used = json_tokener_get_parse_end(tok);
	if (json_tokener_get_error(tok) != json_tokener_success || !text->root) {
		faults_add(faults, text->file->str,
			   count_lines(text->bytes->str, MIN(used, (size_t)len)), "", "%s",
			   json_tokener_error_desc(json_tokener_get_error(tok)));
		goto cleanup;
	}
	sc = (struct scanner){ text, faults, text->bytes->str, text->bytes->str + len, 1 };
	path = g_string_new(NULL);
	scan_value(&sc, path, 0);
	g_string_free(path, TRUE);
	if (scan_next(&sc))
		faults_add(faults, text->file->str, sc.line, "", "text after the document");
	rc = faults->list->len > before ? -EINVAL : 0;
cleanup:
	json_tokener_free(tok);
	return rc;
}

int json_text_read(struct json_text *text, struct faults *faults)
{
	GError *error = NULL;
	gchar *bytes;
	gsize len;
	int rc;

	if (!g_file_get_contents(text->file->str, &bytes, &len, &error)) {
		faults_add(faults, text->file->str, 1, "", "%s", error->message);
		g_error_free(error);
		return -EINVAL;
	}
	rc = json_text_parse(text, bytes, len, faults);
	g_free(bytes);
	return rc;
}

unsigned int json_text_line(const struct json_text *text, const char *path)
{
	gchar *part = g_strdup(path);
	unsigned int line = 1;
	gpointer found;
	gsize len = strlen(part);

	while (len) {
		if (g_hash_table_lookup_extended(text->lines, part, NULL, &found)) {
			line = GPOINTER_TO_UINT(found);
			break;
		}
		while (len && part[len - 1] != '.' && part[len - 1] != '[')
			len--;
		if (len)
			part[--len] = 0;
	}
	g_free(part);
	return line;
}

static json_object *get_field(json_object *obj, const char *key, json_type type)
{
	json_object *value = NULL;

	if (!obj || !json_object_is_type(obj, json_type_object) ||
	    !json_object_object_get_ex(obj, key, &value) || !json_object_is_type(value, type))
		return NULL;
	return value;
}

const char *json_str(json_object *obj, const char *key)
{
	json_object *value = get_field(obj, key, json_type_string);

	return value ? json_object_get_string(value) : "";
}

uint64_t json_num(json_object *obj, const char *key)
{
	json_object *value = get_field(obj, key, json_type_int);

	return value && json_object_get_int64(value) > 0 ? json_object_get_uint64(value) : 0;
}

size_t json_len(json_object *obj, const char *key)
{
	json_object *value = get_field(obj, key, json_type_array);

	return value ? json_object_array_length(value) : 0;
}

json_object *json_item(json_object *obj, const char *key, size_t i)
{
	return i < json_len(obj, key)
		       ? json_object_array_get_idx(get_field(obj, key, json_type_array), i)
		       : NULL;
}

json_object *json_find(json_object *obj, const char *key, const char *name_key, const char *name)
{
	for (size_t i = 0; i < json_len(obj, key); i++) {
		json_object *item = json_item(obj, key, i);

		if (!strcmp(json_str(item, name_key), name))
			return item;
	}
	return NULL;
}
