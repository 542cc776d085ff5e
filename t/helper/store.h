/* Objects of the platform stand-in: versions, history of changes, and the lag of the list. */
#ifndef STORE_H
#define STORE_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

struct change {
	uint64_t version;
	int64_t at_ms;
	char *kind;
	char *name;
	bool deleted;
	json_object *obj; /* as it was after the change; before it when deleted */
};

struct store {
	uint64_t version;
	uint64_t oldest;    /* versions below it are no longer known to watches */
	GPtrArray *changes; /* struct change, all of them */
};

void store_init(struct store *store);
void store_release(struct store *store);

/* Newest state of an object at @at_ms, or NULL. */
json_object *store_get(const struct store *store, const char *kind, const char *name,
		       int64_t at_ms);
/*
 * Writes over @version ("" for none). Takes @obj and sets its metadata. Returns 200, 201, 404 or
 * 409.
 */
int store_put(struct store *store, const char *kind, const char *name, const char *version,
	      json_object *obj, int64_t now);
void store_delete(struct store *store, const char *kind, const char *name, int64_t now);
/* The list as it was at @at_ms; @group limits it to objects with that field unless NULL. */
json_object *store_list(const struct store *store, const char *kind, const char *group,
			int64_t at_ms);

#endif
