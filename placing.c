#include "placing.h"

#include "timeutil.h"

/* Order of preference; a worse tier is used only when the better ones are empty. */
enum tier {
	TIER_WARM,
	TIER_COLD,
	TIER_SUSPECTED,
	TIER_NONE,
};

/* Weight of a request in progress against an open flow: most open flows are idle. */
#define BUSY_WEIGHT 2

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

static bool was_tried(const struct placing_request *req, const struct reg_target *tgt)
{
	for (size_t i = 0; i < req->nr_tried; i++) {
		if (req->tried[i] == tgt)
			return true;
	}
	return false;
}

static enum tier tier_of(const struct placing *pl, const struct placing_request *req,
			 const struct reg_target *tgt)
{
	if (tgt->phase != TARGET_READY || tgt->trust == TRUST_DEAD || was_tried(req, tgt) ||
	    placing_is_withdrawn(pl, tgt->data_centre))
		return TIER_NONE;
	if (ts_cmp(req->now, tgt->warm_at) < 0)
		return ts_diff_ms(req->now, tgt->cold_opened) < pl->opts.cold_gap_ms ? TIER_NONE
										     : TIER_COLD;
	return tgt->trust == TRUST_SUSPECTED ? TIER_SUSPECTED : TIER_WARM;
}

/* Lower is better: flows and requests for each slot, more for targets in other data centres. */
static uint64_t load_of(const struct placing *pl, const struct reg_target *tgt)
{
	uint64_t load =
		(1000ull * (tgt->open_flows + 1 + BUSY_WEIGHT * tgt->busy_flows)) / tgt->slots;

	if (tgt->data_centre != pl->opts.data_centre)
		load = load * pl->opts.remote_percent / 100;
	return load;
}

struct candidate {
	struct reg_target *tgt;
	enum tier tier;
	uint64_t load;
	uint32_t ties;
};

static void consider(struct placing *pl, const struct placing_request *req, struct reg_target *tgt,
		     struct candidate *best)
{
	enum tier tier = tier_of(pl, req, tgt);
	uint64_t load;

	if (tier == TIER_NONE || tier > best->tier)
		return;
	load = load_of(pl, tgt);
	if (tier == best->tier && load > best->load)
		return;
	if (tier == best->tier && load == best->load) {
		/* Each of n equal candidates is kept with probability 1/n. */
		if (random_below(pl->opts.random, ++best->ties))
			return;
		best->tgt = tgt;
		return;
	}
	*best = (struct candidate){ .tgt = tgt, .tier = tier, .load = load, .ties = 1 };
}

static struct reg_target *choose_of_service(struct placing *pl, const GPtrArray *list,
					    const struct placing_request *req, enum tier *tier)
{
	struct candidate best = { .tier = TIER_NONE };

	for (guint i = 0; list && i < list->len; i++)
		consider(pl, req, g_ptr_array_index(list, i), &best);
	*tier = best.tier;
	return best.tgt;
}

/* The service that a weighted draw falls on. */
static size_t draw_service(const struct placing *pl, const struct route_rule *rule)
{
	uint32_t point;

	if (!rule->weight_sum)
		return 0;
	point = random_below(pl->opts.random, rule->weight_sum);
	for (size_t i = 0; i < rule->nr_services; i++) {
		if (point < rule->services[i].weight)
			return i;
		point -= rule->services[i].weight;
	}
	return 0;
}

struct reg_target *placing_choose(struct placing *pl, const struct placing_request *req)
{
	const struct route_rule *rule = req->rule;
	size_t first = draw_service(pl, rule);
	struct reg_target *best = NULL;
	enum tier best_tier = TIER_NONE;

	/* The drawn service goes first; another one of the route only when it has no target. */
	for (size_t i = 0; i < rule->nr_services && best_tier == TIER_NONE; i++) {
		const struct route_service *svc = &rule->services[(first + i) % rule->nr_services];

		if (svc->weight)
			best = choose_of_service(
				pl, registry_by_service(pl->opts.registry, svc->service), req,
				&best_tier);
	}
	if (best && best_tier == TIER_COLD)
		best->cold_opened = req->now;
	return best;
}
