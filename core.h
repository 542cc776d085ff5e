/*
 * The decision core of one instance: all state and all decisions, without I/O, clock or globals.
 * The same core runs in the event loop of an instance and in replay.
 */
#ifndef CORE_H
#define CORE_H

#include "config.h"
#include "counters.h"
#include "event.h"
#include "home.h"
#include "member.h"
#include "random.h"
#include "target.h"

struct core;

struct core_options {
	struct members_options members;
	size_t max_flows; /* size of the flow cache */
	unsigned char flow_key[FLOW_KEY_BYTES];
	const uint8_t *fleet_key; /* see config_new() */
	struct random *random;
	struct timespec start;
};

struct core *core_new(const struct core_options *opts);
void core_free(struct core *core);

/* Handles one event; appends the resulting actions to @out in order. */
void core_handle(struct core *core, const struct event *ev, struct actions *out);

/*
 * Prefetch the parts of the flow cache that core_handle() will read for a flow, in two steps with
 * other work between them: a batch of packets waits for memory once instead of once per packet. The
 * result of core_handle() does not depend on them. core_prefetch() returns the flow's hash for the
 * event.
 */
uint64_t core_prefetch(struct core *core, const struct flow_key *key);
void core_prefetch_flow(struct core *core, uint64_t hash);

struct counters *core_counters(struct core *core);
struct config *core_config(struct core *core);
struct members *core_members(struct core *core);
struct targets *core_targets(struct core *core);
struct homes *core_homes(struct core *core);
struct flowtab *core_flows(struct core *core);

#endif
