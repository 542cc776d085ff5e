/*
 * Choice of the target for an opening. Takes account of the load of targets, of targets that have
 * just started (cold) or are suspected to have crashed, and of withdrawn data centres. Targets in
 * the instance's own data centre are preferred: others may be cut off.
 */
#ifndef PLACING_H
#define PLACING_H

#include "random.h"
#include "registry.h"
#include "routing.h"

#define PLACING_MAX_TRIED 4

/* How a target is chosen among the candidates of the best tier. */
enum placing_policy {
	PLACING_LEAST_LOADED,
	PLACING_TWO_CHOICES, /* the less loaded of the two that the hash ranks first */
	PLACING_RENDEZVOUS,  /* by a hash of flow and target, the same on all instances */
};

/* Order of preference; a worse tier is used only when the better ones are empty. */
enum placing_tier {
	TIER_WARM,
	TIER_COLD,
	TIER_SUSPECTED,
	TIER_NONE,
};

struct placing_options {
	enum placing_policy policy;
	struct registry *registry;
	uint32_t data_centre; /* symbol of the instance's own */
	/* Factor on the cost of targets in other data centres, in percent; 100: no preference. */
	uint32_t remote_percent;
	/*
	 * Minimum interval of this instance's openings to a cold target, for services that
	 * configure a rate limit for cold targets.
	 */
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
	struct reg_target *tried[PLACING_MAX_TRIED]; /* excluded from the choice */
	size_t nr_tried;
	uint64_t flow_digest; /* ranks targets for the flow */
};

void placing_init(struct placing *pl, const struct placing_options *opts);
void placing_release(struct placing *pl);

void placing_withdraw(struct placing *pl, uint32_t data_centre, bool withdrawn);
bool placing_is_withdrawn(const struct placing *pl, uint32_t data_centre);

/*
 * Whether a target of the route is listed, and its data centre not withdrawn, so that it could take
 * openings as soon as it answers.
 */
bool placing_has_listed(const struct placing *pl, const struct route_rule *rule);

/*
 * The service of a route that gets the opening while it has targets, by weight. It depends on the
 * flow only, so that a copy of an opening gets the same service on another instance: targets of two
 * services must not both accept the opening.
 */
const struct route_service *placing_service(const struct route_rule *rule, uint64_t flow_digest);
/* The tier of a target for the opening. */
enum placing_tier placing_tier(const struct placing *pl, const struct placing_request *req,
			       const struct reg_target *tgt, bool cold_rate_limited);
/* Returns NULL when no target can take the opening. */
struct reg_target *placing_choose(struct placing *pl, const struct placing_request *req);

#endif
