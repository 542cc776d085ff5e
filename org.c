#include "org.h"

#include <errno.h>
#include <string.h>
#include <time.h>

#include "address.h"

#define REQUEST_ID_BYTES 8

void change_info_init(struct change_info *info, const char *author, const char *action)
{
	uint8_t id[REQUEST_ID_BYTES];
	time_t now = time(NULL);
	struct tm tm;

	*info = (struct change_info){ .author = author, .action = action };
	randombytes_buf(id, sizeof(id));
	hex_format(id, sizeof(id), info->request_id);
	gmtime_r(&now, &tm);
	strftime(info->time, sizeof(info->time), "%Y-%m-%dT%H:%M:%SZ", &tm);
}

json_object *org_new(const char *name)
{
	json_object *org = json_object_new_object();

	json_object_object_add(org, "organisation", json_object_new_string(name));
	json_object_object_add(org, "generation", json_object_new_int64(0));
	json_object_object_add(org, "withdrawn", json_object_new_array());
	json_object_object_add(org, "services", json_object_new_array());
	json_object_object_add(org, "history", json_object_new_array());
	return org;
}

/* Draining belongs to the server: a target that keeps its name at a new address is not draining. */
static void keep_draining(json_object *old, json_object *services)
{
	for (size_t i = 0; i < json_object_array_length(services); i++) {
		json_object *svc = json_object_array_get_idx(services, i);
		json_object *old_svc = json_find(old, "services", "name", json_str(svc, "name"));

		for (size_t j = 0; j < json_len(svc, "targets"); j++) {
			json_object *tgt = json_item(svc, "targets", j);
			json_object *old_tgt =
				json_find(old_svc, "targets", "name", json_str(tgt, "name"));

			if (old_tgt &&
			    !strcmp(json_str(old_tgt, "address"), json_str(tgt, "address")) &&
			    json_object_get_boolean(json_object_object_get(old_tgt, "draining")))
				json_object_object_add(tgt, "draining",
						       json_object_new_boolean(true));
		}
	}
}

void org_set_services(json_object *org, const char *template, json_object *params,
		      json_object *services)
{
	keep_draining(org, services);
	json_object_object_add(org, "template", json_object_new_string(template));
	json_object_object_add(org, "parameters", json_object_get(params));
	json_object_object_add(org, "services", json_object_get(services));
}

int org_drain(json_object *org, const char *service, const char *target, bool draining)
{
	json_object *svc = json_find(org, "services", "name", service);
	json_object *tgt = json_find(svc, "targets", "name", target);

	if (!tgt)
		return -ENOENT;
	if (json_object_get_boolean(json_object_object_get(tgt, "draining")) == draining)
		return -EALREADY;
	json_object_object_add(tgt, "draining", json_object_new_boolean(draining));
	return 0;
}

int org_withdraw(json_object *org, const char *dc, bool withdrawn)
{
	json_object *list = json_object_new_array();
	bool found = false;

	for (size_t i = 0; i < json_len(org, "withdrawn"); i++) {
		json_object *item = json_item(org, "withdrawn", i);

		if (!strcmp(json_object_get_string(item), dc))
			found = true;
		else
			json_object_array_add(list, json_object_get(item));
	}
	if (found == withdrawn) {
		json_object_put(list);
		return -EALREADY;
	}
	if (withdrawn)
		json_object_array_add(list, json_object_new_string(dc));
	json_object_object_add(org, "withdrawn", list);
	return 0;
}

json_object *org_history_entry(json_object *org, uint64_t generation)
{
	for (size_t i = 0; i < json_len(org, "history"); i++) {
		json_object *entry = json_item(org, "history", i);

		if (json_num(entry, "generation") == generation)
			return entry;
	}
	return NULL;
}

json_object *org_history_parameters(json_object *org, uint64_t generation, const char **template)
{
	json_object *params = NULL;

	if (!org_history_entry(org, generation))
		return NULL;
	/* An entry without parameters has those of the entry before it. */
	for (size_t i = 0; i < json_len(org, "history"); i++) {
		json_object *entry = json_item(org, "history", i);

		if (json_num(entry, "generation") > generation)
			break;
		if (json_object_object_get_ex(entry, "parameters", NULL)) {
			params = json_object_object_get(entry, "parameters");
			*template = json_str(entry, "template");
		}
	}
	return params;
}

static void drop_oldest(json_object *history)
{
	json_object *first = json_object_array_get_idx(history, 0);
	json_object *next = json_object_array_get_idx(history, 1);
	json_object *value;

	if (next && !json_object_object_get_ex(next, "parameters", NULL) &&
	    json_object_object_get_ex(first, "parameters", &value)) {
		json_object_object_add(next, "parameters", json_object_get(value));
		if (json_object_object_get_ex(first, "template", &value))
			json_object_object_add(next, "template", json_object_get(value));
	}
	json_object_array_del_idx(history, 0, 1);
}

static size_t json_bytes(json_object *obj)
{
	return strlen(json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN));
}

static void add_text(json_object *obj, const char *key, const char *text)
{
	json_object_object_add(obj, key, json_object_new_string(text));
}

static json_object *get_history(json_object *org)
{
	json_object *history = json_object_object_get(org, "history");

	if (!history) {
		history = json_object_new_array();
		json_object_object_add(org, "history", history);
	}
	return history;
}

int org_next_generation(json_object *org, const struct change_info *info)
{
	json_object *history = get_history(org);
	json_object *entry = json_object_new_object();
	uint64_t generation = json_num(org, "generation");
	json_object *params = json_object_object_get(org, "parameters");
	const char *old_template = "";
	json_object *old = org_history_parameters(org, generation, &old_template);

	generation++;
	json_object_object_add(org, "generation", json_object_new_int64((int64_t)generation));
	add_text(org, "request_id", info->request_id);
	add_text(org, "author", info->author);
	add_text(org, "time", info->time);
	add_text(org, "action", info->action);
	json_object_object_add(entry, "generation", json_object_new_int64((int64_t)generation));
	add_text(entry, "request_id", info->request_id);
	add_text(entry, "author", info->author);
	add_text(entry, "time", info->time);
	add_text(entry, "action", info->action);
	if (params && (!old || !json_object_equal(old, params) ||
		       strcmp(old_template, json_str(org, "template")) != 0)) {
		add_text(entry, "template", json_str(org, "template"));
		json_object_object_add(entry, "parameters", json_object_get(params));
	}
	json_object_array_add(history, entry);
	while (json_object_array_length(history) > 1 &&
	       (json_object_array_length(history) > ORG_HISTORY_MAX_ENTRIES ||
		json_bytes(org) > ORG_MAX_BYTES))
		drop_oldest(history);
	return json_bytes(org) > ORG_MAX_BYTES ? -E2BIG : 0;
}

/* Adds path and text of each scalar in @value to @out. */
static void flatten(json_object *value, GString *path, GHashTable *out)
{
	gsize len = path->len;

	if (json_object_is_type(value, json_type_object)) {
		json_object_object_foreach(value, name, child)
		{
			g_string_append_printf(path, "%s%s", len ? "." : "", name);
			flatten(child, path, out);
			g_string_truncate(path, len);
		}
	} else if (json_object_is_type(value, json_type_array)) {
		for (size_t i = 0; i < json_object_array_length(value); i++) {
			json_object *child = json_object_array_get_idx(value, i);
			const char *name = json_str(child, "name");

			if (*name)
				g_string_append_printf(path, ".%s", name);
			else
				g_string_append_printf(path, "[%zu]", i);
			flatten(child, path, out);
			g_string_truncate(path, len);
		}
	} else {
		g_hash_table_insert(
			out, g_strdup(path->str),
			g_strdup(json_object_to_json_string_ext(
				value, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)));
	}
}

static GHashTable *flatten_document(json_object *doc)
{
	static const char *const skipped[] = { "generation", "request_id", "author", "time",
					       "action" };
	GHashTable *out = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GString *path = g_string_new(NULL);
	GHashTableIter iter;
	gpointer key;

	if (doc)
		flatten(doc, path, out);
	for (size_t i = 0; i < G_N_ELEMENTS(skipped); i++)
		g_hash_table_remove(out, skipped[i]);
	g_hash_table_iter_init(&iter, out);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (g_str_has_prefix(key, "history"))
			g_hash_table_iter_remove(&iter);
	}
	g_string_free(path, TRUE);
	return out;
}

static gint compare_text(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *document_diff(json_object *from, json_object *to)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	GHashTable *old = flatten_document(from);
	GHashTable *new = flatten_document(to);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, old);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const char *other = g_hash_table_lookup(new, key);

		if (g_strcmp0(other, value) != 0)
			g_ptr_array_add(lines,
					g_strdup_printf("%s: %s -> %s", (char *)key, (char *)value,
							other ? other : "(none)"));
	}
	g_hash_table_iter_init(&iter, new);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (!g_hash_table_contains(old, key))
			g_ptr_array_add(lines, g_strdup_printf("%s: (none) -> %s", (char *)key,
							       (char *)value));
	}
	g_ptr_array_sort(lines, compare_text);
	g_hash_table_unref(old);
	g_hash_table_unref(new);
	return lines;
}
