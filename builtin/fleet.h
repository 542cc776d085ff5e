/* The instances as operators see them: the platform's list and the status of each. */
#ifndef FLEET_H
#define FLEET_H

#include "cli.h"
#include "event.h"

struct fleet_instance {
	struct instance_info info;
	struct endpoint admin;
	json_object *status; /* of /status.json, NULL when it did not answer */
};

struct fleet {
	GArray *list; /* struct fleet_instance, by name */
};

void fleet_init(struct fleet *fleet);
void fleet_release(struct fleet *fleet);

/* Reads the list without those that are gone. Returns false with a message when it cannot. */
bool fleet_read(struct cli *cli, struct fleet *fleet);
/* Reads the status of each; those that do not answer keep NULL. */
void fleet_read_status(struct cli *cli, struct fleet *fleet);

static inline struct fleet_instance *fleet_at(const struct fleet *fleet, guint i)
{
	return &g_array_index(fleet->list, struct fleet_instance, i);
}

/* Generation of an object that an instance has in force, 0 for none. */
uint64_t status_generation(json_object *status, const char *kind, const char *name);

/* Which flows to count; NULL for any. */
struct flow_filter {
	const char *organisation;
	const char *service;
	const char *target;
	const char *data_centre;
};
uint64_t status_flows(json_object *status, const struct flow_filter *filter);

/* What a change waits for. */
struct wait_for {
	const char *kind;
	const char *name;
	uint64_t generation;
	const struct flow_filter *flows; /* NULL: only the generation */
};

/*
 * Prints progress on standard error until all instances have the generation or a higher one and no
 * such flow is left, or until --timeout has passed; then names those that lag. Returns an enum
 * exit_code.
 */
int fleet_wait(struct cli *cli, const struct wait_for *what);

#endif
