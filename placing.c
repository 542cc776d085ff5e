#include "placing.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "timeutil.h"

/* Cost of a request in progress, relative to an open flow: most open flows are idle. */
#define BUSY_WEIGHT 2
/* Shortens ranks so that they can be multiplied by remote_percent without overflow. */
#define RANK_SHIFT 16
/*
 * The upper half of a flow's digest chooses the service of a split route; the lower one decides
 * whether the opening is refused under overload.
 */
#define DIGEST_HALF_BITS 32

void placing_init(struct placing *pl, const struct placing_options *opts)
{
	pl->opts = *opts;
	pl->withdrawn = g_hash_table_new(NULL, NULL);
}

void placing_release(struct placing *pl)
{
	g_hash_table_unref(pl->withdrawn);
}

void placing_withdraw(struct placing *pl, uint32_t data_centre, bool withdrawn)
{
	if (withdrawn)
		g_hash_table_add(pl->withdrawn, GUINT_TO_POINTER(data_centre));
	else
		g_hash_table_remove(pl->withdrawn, GUINT_TO_POINTER(data_centre));
}

bool placing_is_withdrawn(const struct placing *pl, uint32_t data_centre)
{
	return g_hash_table_contains(pl->withdrawn, GUINT_TO_POINTER(data_centre));
}

/* A choice among the targets of one service. */
struct search {
	const struct placing *pl;
	const struct placing_request *req;
	bool cold_rate_limited; /* the service configures a rate limit for cold targets */
	bool ranked;		/* candidates are given in rank order; the first wins a tie */
};

static bool was_tried(const struct placing_request *req, const struct reg_target *tgt)
{
	for (size_t i = 0; i < req->nr_tried; i++) {
		if (req->tried[i] == tgt)
			return true;
	}
	return false;
}

enum placing_tier placing_tier(const struct placing *pl, const struct placing_request *req,
			       const struct reg_target *tgt, bool cold_rate_limited)
{
	if (tgt->phase != TARGET_READY || tgt->trust == TRUST_DEAD || was_tried(req, tgt) ||
	    placing_is_withdrawn(pl, tgt->data_centre))
		return TIER_NONE;
	if (ts_cmp(req->now, tgt->warm_at) >= 0)
		return tgt->trust == TRUST_SUSPECTED ? TIER_SUSPECTED : TIER_WARM;
	if (cold_rate_limited &&
	    ts_diff_ms(req->now, tgt->last_cold_opening) < pl->opts.cold_gap_ms)
		return TIER_NONE;
	return TIER_COLD;
}

static enum placing_tier target_tier(const struct search *srch, const struct reg_target *tgt)
{
	return placing_tier(srch->pl, srch->req, tgt, srch->cold_rate_limited);
}

/* Rank of a target for a flow, equal on all instances; lower is better. */
static uint64_t target_rank(const struct placing_request *req, const struct reg_target *tgt)
{
	return XXH64(&req->flow_digest, sizeof(req->flow_digest), tgt->digest) >> RANK_SHIFT;
}

/* Lower is better: the load per slot in thousandths, or the rank for rendezvous hashing. */
static uint64_t target_cost(const struct search *srch, const struct reg_target *tgt)
{
	const struct placing *pl = srch->pl;
	uint64_t cost;

	if (pl->opts.policy == PLACING_RENDEZVOUS)
		cost = target_rank(srch->req, tgt);
	else
		cost = 1000ull * (tgt->open_flows + 1 + BUSY_WEIGHT * tgt->busy_flows) / tgt->slots;
	if (tgt->data_centre != pl->opts.data_centre)
		cost = cost * pl->opts.remote_percent / 100;
	return cost;
}

struct candidate {
	struct reg_target *tgt;
	enum placing_tier tier;
	uint64_t cost;
	uint32_t ties;
};

static void consider(const struct search *srch, struct reg_target *tgt, struct candidate *best)
{
	enum placing_tier tier = target_tier(srch, tgt);
	uint64_t cost;

	if (tier == TIER_NONE || tier > best->tier)
		return;
	cost = target_cost(srch, tgt);
	if (tier == best->tier && cost > best->cost)
		return;
	if (tier == best->tier && cost == best->cost && srch->ranked)
		return;
	if (tier == best->tier && cost == best->cost) {
		/* Each of n equal candidates is kept with probability 1/n. */
		if (random_below(srch->pl->opts.random, ++best->ties))
			return;
		best->tgt = tgt;
		return;
	}
	*best = (struct candidate){ .tgt = tgt, .tier = tier, .cost = cost, .ties = 1 };
}

static struct reg_target *choose_among(const struct search *srch, const GPtrArray *list,
				       enum placing_tier *tier)
{
	struct candidate best = { .tier = TIER_NONE };

	for (guint i = 0; i < list->len; i++)
		consider(srch, g_ptr_array_index(list, i), &best);
	*tier = best.tier;
	return best.tgt;
}

/* The two best-ranked targets for a flow. */
struct top_two {
	struct reg_target *picks[2];
	uint64_t ranks[2];
};

static void top_two_add(struct top_two *top_two, struct reg_target *tgt, uint64_t rank)
{
	if (!top_two->picks[0] || rank < top_two->ranks[0]) {
		top_two->picks[1] = top_two->picks[0];
		top_two->ranks[1] = top_two->ranks[0];
		top_two->picks[0] = tgt;
		top_two->ranks[0] = rank;
	} else if (!top_two->picks[1] || rank < top_two->ranks[1]) {
		top_two->picks[1] = tgt;
		top_two->ranks[1] = rank;
	}
}

/*
 * The least loaded of the two best-ranked targets of the own data centre and the best-ranked one
 * elsewhere, or of two elsewhere when the own has none. If the least loaded of all were chosen, a
 * new target, or one whose flows have ended because it fails, would get every opening of every
 * instance.
 */
static struct reg_target *choose_by_two_choices(struct search *srch, const GPtrArray *list,
						enum placing_tier *tier)
{
	struct candidate best = { .tier = TIER_NONE };
	struct top_two own = { 0 };
	struct top_two other = { 0 };

	for (guint i = 0; i < list->len; i++) {
		struct reg_target *tgt = g_ptr_array_index(list, i);

		if (target_tier(srch, tgt) == TIER_WARM)
			top_two_add(tgt->data_centre == srch->pl->opts.data_centre ? &own : &other,
				    tgt, target_rank(srch->req, tgt));
	}
	srch->ranked = true;
	for (int i = 0; i < 2 && own.picks[i]; i++)
		consider(srch, own.picks[i], &best);
	for (int i = 0; i < (own.picks[0] ? 1 : 2) && other.picks[i]; i++)
		consider(srch, other.picks[i], &best);
	srch->ranked = false;
	*tier = best.tier;
	return best.tgt;
}

static struct reg_target *choose_in_service(struct placing *pl, const struct placing_request *req,
					    const struct route_service *svc,
					    enum placing_tier *tier)
{
	struct search srch = { .pl = pl, .req = req, .cold_rate_limited = svc->cold_rate_limited };
	const GPtrArray *list = registry_by_service(pl->opts.registry, svc->service);
	struct reg_target *tgt = NULL;

	*tier = TIER_NONE;
	if (!list)
		return NULL;
	if (pl->opts.policy == PLACING_TWO_CHOICES)
		tgt = choose_by_two_choices(&srch, list, tier);
	/* Without a warm target, the least loaded of the others is chosen. */
	return tgt ? tgt : choose_among(&srch, list, tier);
}

static size_t route_service_index(const struct route_rule *rule, uint64_t flow_digest)
{
	uint32_t point;

	if (!rule->weight_sum)
		return 0;
	point = (uint32_t)((flow_digest >> DIGEST_HALF_BITS) % rule->weight_sum);
	for (size_t i = 0; i < rule->nr_services; i++) {
		if (point < rule->services[i].weight)
			return i;
		point -= rule->services[i].weight;
	}
	return 0;
}

const struct route_service *placing_service(const struct route_rule *rule, uint64_t flow_digest)
{
	return &rule->services[route_service_index(rule, flow_digest)];
}

struct reg_target *placing_choose(struct placing *pl, const struct placing_request *req)
{
	const struct route_rule *rule = req->rule;
	size_t first = route_service_index(rule, req->flow_digest);
	struct reg_target *best = NULL;
	enum placing_tier best_tier = TIER_NONE;

	/* Other services of the route are used only if that of the flow has no target. */
	for (size_t i = 0; i < rule->nr_services && best_tier == TIER_NONE; i++) {
		const struct route_service *svc = &rule->services[(first + i) % rule->nr_services];

		if (svc->weight)
			best = choose_in_service(pl, req, svc, &best_tier);
	}
	if (best && best_tier == TIER_COLD)
		best->last_cold_opening = req->now;
	return best;
}

bool placing_has_listed(const struct placing *pl, const struct route_rule *rule)
{
	for (size_t i = 0; i < rule->nr_services; i++) {
		const GPtrArray *list = NULL;

		if (rule->services[i].weight)
			list = registry_by_service(pl->opts.registry, rule->services[i].service);
		for (guint j = 0; list && j < list->len; j++) {
			const struct reg_target *tgt = g_ptr_array_index(list, j);

			if (tgt->phase == TARGET_READY &&
			    !placing_is_withdrawn(pl, tgt->data_centre))
				return true;
		}
	}
	return false;
}
