/*
 * Routes of the configuration in force: the weighted services of each service address. A
 * configuration replaces the previous one as a whole; an older version is rejected.
 */
#ifndef ROUTING_H
#define ROUTING_H

#include <glib.h>
#include <stdbool.h>
#include <time.h>

#include "admission.h"
#include "packet.h"
#include "symbol.h"

#define ROUTE_MAX_SERVICES 8

struct route_service {
	uint32_t service; /* symbol */
	uint32_t weight;
	bool cold_rate_limited; /* it configures a limit on the request rate of a cold target */
};

struct route_rule {
	struct endpoint address;
	struct route_service services[ROUTE_MAX_SERVICES];
	size_t nr_services;
	uint32_t weight_sum;
	struct admission_class admission;
};

struct routing;

struct routing *routing_new(void);
void routing_free(struct routing *rt);

/*
 * Reads a new configuration: begin, add each part, commit. routing_begin() returns false when
 * @version is not newer than the one in force.
 */
bool routing_begin(struct routing *rt, uint64_t version);
void routing_add_route(struct routing *rt, const struct route_rule *rule);
void routing_set_idle_timeout(struct routing *rt, uint32_t ms);
void routing_commit(struct routing *rt, struct timespec now);
void routing_abort(struct routing *rt);

/* Whether a configuration is in force. */
bool routing_ready(const struct routing *rt);
uint64_t routing_version(const struct routing *rt);
/* When the configuration in force was committed. */
struct timespec routing_commit_time(const struct routing *rt);
uint32_t routing_count(const struct routing *rt);
/* How long a flow may be idle, in milliseconds. */
uint32_t routing_idle_timeout(const struct routing *rt);

/* Calls @fn for each route in force. */
void routing_each(const struct routing *rt, void (*fn)(const struct route_rule *rule, void *arg),
		  void *arg);

/* The route of @address, or NULL when no flow may be opened to it. */
const struct route_rule *routing_find(const struct routing *rt, struct endpoint address);
/* Whether an earlier version had @address and the one in force does not. */
bool routing_withdrawn(const struct routing *rt, struct endpoint address);

#endif
