/* The instances for operators' commands: the platform's list and the status of each. */
#ifndef FLEET_H
#define FLEET_H

#include "cli.h"
#include "event.h"

struct fleet_instance {
	struct instance_info info;
	struct endpoint admin;
	json_object *status; /* /status.json, NULL when the instance did not answer */
};

struct fleet {
	GArray *list; /* struct fleet_instance, by name */
};

void fleet_init(struct fleet *fleet);
void fleet_release(struct fleet *fleet);

/* Reads the list, without instances in phase gone. Returns false with a message on failure. */
bool fleet_read(struct cli *cli, struct fleet *fleet);
/* Reads the status of each instance; NULL for those that do not answer. */
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

/* What fleet_wait() waits for. */
struct wait_condition {
	const char *kind;
	const char *name;
	uint64_t generation;
	const struct flow_filter *flows; /* that must have ended; NULL for none */
};

/*
 * Waits until all instances have the generation or a higher one and no flow of @what->flows is
 * left, for at most --timeout. Prints progress on standard error and, after a time-out, the
 * instances that lag or the number of flows left. Returns an enum exit_code.
 */
int fleet_wait(struct cli *cli, const struct wait_condition *what);

#endif
