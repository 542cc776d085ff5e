/* Changes of an organisation's document: new services, drains, withdrawals, and its history. */
#ifndef ORG_H
#define ORG_H

#include "document.h"

#define ORG_HISTORY 20
/* The platform holds 1 MB; the document is a string inside JSON, where each quote takes two. */
#define ORG_MAX_BYTES 700000

/* Who changes what, for the document and its history. */
struct change_info {
	const char *author;
	const char *action;
	char request_id[17];
	char time[21];
};

/* Sets a random request id and the time of the system's clock. */
void change_info_init(struct change_info *info, const char *author, const char *action);

/* An organisation without services, generation 0. */
json_object *org_new(const char *name);

/*
 * Replaces template, parameters and services, of which references are taken. A target that is
 * draining stays so when one of its name and address is among the new ones.
 */
void org_set_services(json_object *org, const char *template, json_object *params,
		      json_object *services);

/* Return 0, -ENOENT when there is no such target, or -EALREADY when nothing would change. */
int org_drain(json_object *org, const char *service, const char *target, bool draining);
int org_withdraw(json_object *org, const char *dc, bool withdrawn);

/*
 * Makes the next generation and adds it to the history, of which the oldest entries go when there
 * are too many or the document gets too long. Returns 0, or -E2BIG when it is too long anyway.
 */
int org_stamp(json_object *org, const struct change_info *info);

/* The entry of a generation in the history, or NULL. */
json_object *org_history_entry(json_object *org, uint64_t generation);
/* Parameters after that generation; *template gets the template. NULL when not known any more. */
json_object *org_history_parameters(json_object *org, uint64_t generation, const char **template);

/*
 * Differences of two documents of any kind, one "path: old -> new" line each, elements with names
 * matched by them. Keys that every change sets are left out. NULL counts as empty.
 */
GPtrArray *document_diff(json_object *from, json_object *to);

#endif
