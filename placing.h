/*
 * Choice of the target for an opening. Answers these loads: targets of unequal load, targets that
 * have just started, targets that seem to have crashed, and data centres that are withdrawn or cut
 * off, for which a target in the instance's own data centre is the first choice.
 */
#ifndef PLACING_H
#define PLACING_H

#include "random.h"
#include "registry.h"
#include "routing.h"

#define PLACING_MAX_TRIED 4

/* How the target is chosen among those of the best tier. */
enum placing_policy {
	PLACING_LEAST_LOADED,
	PLACING_TWO_CHOICES, /* the less loaded of the two that the hash ranks first */
	PLACING_RENDEZVOUS,  /* by a hash of flow and target: the same on all instances */
};

struct placing_options {
	enum placing_policy policy;
	struct registry *registry;
	uint32_t data_centre; /* symbol of the instance's own */
	/* A target elsewhere counts as this many times as loaded, in percent; 100 for no
	 * preference. */
	uint32_t remote_percent;
	/* Between openings of one instance to a cold target of a service that states a bound. */
	uint32_t cold_gap_ms;
	struct random *random;
};

struct placing {
	struct placing_options opts;
	GHashTable *withdrawn; /* set of data centre symbols */
};

struct placing_request {
	const struct route_rule *rule;
	struct timespec now;
	struct reg_target *tried[PLACING_MAX_TRIED]; /* not to be chosen again */
	size_t nr_tried;
	uint64_t flow_digest; /* ranks targets for the flow */
};

void placing_init(struct placing *pl, const struct placing_options *opts);
void placing_release(struct placing *pl);

void placing_withdraw(struct placing *pl, uint32_t data_centre, bool withdrawn);
bool placing_is_withdrawn(const struct placing *pl, uint32_t data_centre);

/* NULL when no target may take the opening. */
struct reg_target *placing_choose(struct placing *pl, const struct placing_request *req);

#endif
