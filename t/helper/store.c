#include "store.h"

#include <inttypes.h>
#include <string.h>

static void change_free(gpointer data)
{
	struct change *change = data;

	g_free(change->kind);
	g_free(change->name);
	json_object_put(change->obj);
	g_free(change);
}

void store_init(struct store *store)
{
	*store = (struct store){ .changes = g_ptr_array_new_with_free_func(change_free) };
}

void store_release(struct store *store)
{
	g_ptr_array_unref(store->changes);
}

json_object *store_get(const struct store *store, const char *kind, const char *name, int64_t at_ms)
{
	for (guint i = store->changes->len; i-- > 0;) {
		const struct change *change = g_ptr_array_index(store->changes, i);

		if (change->at_ms <= at_ms && !strcmp(change->kind, kind) &&
		    !strcmp(change->name, name))
			return change->deleted ? NULL : change->obj;
	}
	return NULL;
}

static void append(struct store *store, const char *kind, const char *name, json_object *obj,
		   bool deleted, int64_t now)
{
	struct change *change = g_new0(struct change, 1);
	char version[24];
	json_object *meta = json_object_new_object();

	g_snprintf(version, sizeof(version), "%" PRIu64, ++store->version);
	json_object_object_add(meta, "name", json_object_new_string(name));
	json_object_object_add(meta, "resourceVersion", json_object_new_string(version));
	json_object_object_add(obj, "metadata", meta);
	*change = (struct change){
		store->version, now, g_strdup(kind), g_strdup(name), deleted, obj
	};
	g_ptr_array_add(store->changes, change);
}

static const char *version_of(json_object *obj)
{
	return json_object_get_string(
		json_object_object_get(json_object_object_get(obj, "metadata"), "resourceVersion"));
}

int store_put(struct store *store, const char *kind, const char *name, const char *version,
	      json_object *obj, int64_t now)
{
	json_object *old = store_get(store, kind, name, INT64_MAX);
	int status = old ? 200 : 201;

	if (old && strcmp(version, version_of(old)) != 0)
		status = 409;
	else if (!old && *version)
		status = 404;
	if (status >= 400)
		json_object_put(obj);
	else
		append(store, kind, name, obj, false, now);
	return status;
}

void store_delete(struct store *store, const char *kind, const char *name, int64_t now)
{
	json_object *old = store_get(store, kind, name, INT64_MAX);
	json_object *copy = NULL;

	if (old && !json_object_deep_copy(old, &copy, NULL))
		append(store, kind, name, copy, true, now);
}

json_object *store_list(const struct store *store, const char *kind, const char *group,
			int64_t at_ms)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	json_object *items = json_object_new_array();
	json_object *list = json_object_new_object();
	json_object *meta = json_object_new_object();
	char version[24];

	for (guint i = store->changes->len; i-- > 0;) {
		struct change *change = g_ptr_array_index(store->changes, i);
		const char *field;

		if (change->at_ms > at_ms || strcmp(change->kind, kind) != 0 ||
		    !g_hash_table_add(seen, change->name) || change->deleted)
			continue;
		field = json_object_get_string(json_object_object_get(change->obj, "group"));
		if (!group || !g_strcmp0(group, field))
			json_object_array_add(items, json_object_get(change->obj));
	}
	g_snprintf(version, sizeof(version), "%" PRIu64, store->version);
	json_object_object_add(meta, "resourceVersion", json_object_new_string(version));
	json_object_object_add(list, "metadata", meta);
	json_object_object_add(list, "items", items);
	g_hash_table_unref(seen);
	return list;
}
