/* Edits of an organisation's document: services, draining, withdrawal, and its history. */
#ifndef ORG_H
#define ORG_H

#include "document.h"

#define ORG_HISTORY_MAX_ENTRIES 20
/* The platform's limit is 1 MB; the document is a JSON string in it, with two bytes per quote. */
#define ORG_MAX_BYTES 700000

/* Metadata of a change, stored in the document and its history. */
struct change_info {
	const char *author;
	const char *action;
	char request_id[17];
	char time[21];
};

/* Sets a random request id and the current time in UTC. */
void change_info_init(struct change_info *info, const char *author, const char *action);

/* An organisation without services, generation 0. */
json_object *org_new(const char *name);

/*
 * Replaces template, parameters and services; takes references to the latter two. A target stays
 * draining when the new services have it with the same service, name and address.
 */
void org_set_services(json_object *org, const char *template, json_object *params,
		      json_object *services);

/* Return 0, -ENOENT when there is no such target, or -EALREADY when nothing would change. */
int org_drain(json_object *org, const char *service, const char *target, bool draining);
int org_withdraw(json_object *org, const char *dc, bool withdrawn);

/*
 * Increments the generation and adds an entry to the history. Removes the oldest entries beyond
 * ORG_HISTORY_MAX_ENTRIES, and while the document is longer than ORG_MAX_BYTES. Returns 0, or
 * -E2BIG when it is still longer with one entry.
 */
int org_next_generation(json_object *org, const struct change_info *info);

/* The entry of a generation in the history, or NULL. */
json_object *org_history_entry(json_object *org, uint64_t generation);
/* Parameters as of a generation; sets *template. NULL when it is not in the history. */
json_object *org_history_parameters(json_object *org, uint64_t generation, const char **template);

/*
 * Differences of two documents of any kind, one "path: old -> new" line each. Array elements that
 * have names are matched by name. The metadata of changes and the history are left out. NULL counts
 * as an empty document.
 */
GPtrArray *document_diff(json_object *from, json_object *to);

#endif
