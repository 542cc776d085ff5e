/* Shares of members and borrowers, and the load that targets get from their credits. */
#include "credit/allocator-internal.h"

/* An idle member can serve its first openings at once. */
#define IDLE_FLOOR 0.03
/* Lower priorities are not starved when the important ones need all slots. */
#define LOWER_SHARE_MIN 0.05
/* Slots in use beyond this share make openings wait: the rest is missing. */
#define USABLE_SHARE 0.85
/* Data centres whose ratios of demand to capacity differ by less do not lend to one another. */
#define LEND_RATIO 1.1
/* With 0.25, five lenders swung by 5 of 32 slots at one of six loads. */
#define LEND_STEP 0.17
/* Demand of one member or borrower that counts, in times all slots. */
#define DEMAND_MAX 2
/* Sums of the excess load of targets cover about 12 s, at four rounds a second. */
#define EXCESS_DECAY 0.98

double allocator_sum_credits(const struct allocator *al, enum credit_kind kind, bool own)
{
	double sum = 0;

	for (size_t i = 0; i < al->targets->len; i++) {
		const struct pool *pool = al->targets->pdata[i];

		if (!own || !pool->lent)
			sum += (double)pool->credits[kind]->len * pool->speed_permille;
	}
	return sum;
}

static void sum_demand(const struct allocator *al, double *high, double *low)
{
	*high = *low = 0;
	for (size_t i = 0; i < al->members->len; i++) {
		const struct holder *holder = al->members->pdata[i];

		*high += holder->demand_high;
		*low += holder->demand_low;
	}
}

/*
 * Limits the demand of each member to twice all slots, or to that of all others together if it is
 * larger: one that reports nonsense must not take the shares of the others.
 */
static void limit_demands(struct allocator *al, double most)
{
	double high;
	double low;

	sum_demand(al, &high, &low);
	for (size_t i = 0; al->members->len > 1 && i < al->members->len; i++) {
		struct holder *holder = al->members->pdata[i];

		holder->demand_high =
			MIN(holder->demand_high, MAX(most, high - holder->demand_high));
		holder->demand_low = MIN(holder->demand_low, MAX(most, low - holder->demand_low));
	}
}

/* Common share of the lower priorities, so that all demand together is the capacity. */
static double lower_share(double capacity, double high, double low)
{
	if (low <= 0)
		return 1;
	return CLAMP((capacity - high) / low, LOWER_SHARE_MIN, 1.0);
}

static void weigh_members(struct allocator *al, double share, double sum)
{
	double nr = al->members->len;
	double floor_weight = sum > 0 ? sum / nr * IDLE_FLOOR : 1;

	for (size_t i = 0; i < al->members->len; i++) {
		struct holder *holder = al->members->pdata[i];

		holder->weight = holder->demand_high + share * holder->demand_low;
		holder->weight = MAX(holder->weight, floor_weight);
	}
}

/*
 * Several lenders answer the same request, so each approaches its part by steps in both directions:
 * when five lenders took back at once what others had begun to lend, a borrower had 25 and 35 slots
 * in turn. @most, what the own important class leaves, is kept to at once.
 */
static double next_lent(const struct holder *holder, double part, double most)
{
	return MIN(holder->lent + (part - holder->lent) * LEND_STEP, most);
}

/*
 * Slots that can be lent. The important class of the own members keeps what it needs, however many
 * openings of lower classes borrowers have. If the important classes of all do not fit together,
 * each data centre serves the same part of its own.
 */
static double slots_to_lend(const struct allocator *al, double important, double capacity)
{
	double sum_important = important;
	double sum_capacity = capacity;

	for (size_t i = 0; i < al->borrowers->len; i++) {
		const struct holder *holder = al->borrowers->pdata[i];

		if (holder->wanted <= 0)
			continue;
		sum_important += holder->important;
		sum_capacity += holder->capacity;
	}
	return MAX(capacity - important / MAX(sum_important / sum_capacity, USABLE_SHARE), 0);
}

/*
 * Limits what borrowers state to twice the slots of both data centres: a nonsensical demand must
 * not take all slots.
 */
static void limit_borrowers(struct allocator *al, double capacity)
{
	for (size_t i = 0; i < al->borrowers->len; i++) {
		struct holder *holder = al->borrowers->pdata[i];
		double most = (capacity + holder->capacity) * DEMAND_MAX;

		holder->demand = MIN(holder->demand, most);
		holder->important = MIN(holder->important, most);
	}
}

/*
 * Lends to borrowers so that demand and capacity come to the same ratio here and there, as far as
 * theirs is clearly higher. Returns the slots that are lent.
 */
static double share_with_borrowers(struct allocator *al, double demand, double important,
				   double capacity)
{
	double sum_demand = demand;
	double sum_capacity = capacity;
	double wanted = 0;
	double lent = 0;
	double part = 0;
	double most;
	double level;

	limit_borrowers(al, capacity);
	for (size_t i = 0; i < al->borrowers->len; i++) {
		struct holder *holder = al->borrowers->pdata[i];

		if (holder->demand * capacity <= demand * holder->capacity * LEND_RATIO)
			holder->wanted = 0;
		if (holder->wanted <= 0)
			continue;
		sum_demand += holder->demand;
		sum_capacity += holder->capacity;
	}
	if (sum_capacity <= 0 || capacity <= 0)
		return 0;
	level = sum_demand / sum_capacity;
	for (size_t i = 0; i < al->borrowers->len; i++) {
		struct holder *holder = al->borrowers->pdata[i];

		holder->wanted =
			MIN(holder->wanted, MAX(holder->demand - level * holder->capacity, 0));
		wanted += holder->wanted;
	}
	/* Above a level of 1, both serve the same part of their demand. */
	most = slots_to_lend(al, important, capacity);
	if (wanted > 0) {
		part = CLAMP((level * capacity - demand) / wanted, 0, 1) / MAX(level, 1);
		part = MIN(part, most / wanted);
	}
	for (size_t i = 0; i < al->borrowers->len; i++) {
		struct holder *holder = al->borrowers->pdata[i];

		holder->lent = next_lent(holder, holder->wanted * part, most - lent);
		holder->share[KIND_SLOT] = holder->lent;
		lent += holder->lent;
	}
	return lent;
}

/* Queue credits of borrowers, in proportion to their slots. */
static double share_queue(struct allocator *al, double slots, double queue)
{
	double sum = 0;

	for (size_t i = 0; slots > 0 && i < al->borrowers->len; i++) {
		struct holder *holder = al->borrowers->pdata[i];

		holder->share[KIND_QUEUE] = holder->share[KIND_SLOT] * queue / slots;
		sum += holder->share[KIND_QUEUE];
	}
	return sum;
}

void allocator_set_shares(struct allocator *al, const struct alloc_round *round)
{
	double own = allocator_sum_credits(al, KIND_SLOT, true) * USABLE_SHARE;
	double total[KINDS];
	double weights = 0;
	double high;
	double low;
	double share = 1;
	double lent;

	for (enum credit_kind kind = 0; kind < KINDS; kind++)
		total[kind] = allocator_sum_credits(al, kind, false);
	if (round->service_time_us)
		limit_demands(al, total[KIND_SLOT] * DEMAND_MAX);
	sum_demand(al, &high, &low);
	al->shortage_milli = 0;
	al->spare = 0;
	al->demand_milli = (int64_t)(high + low);
	al->important_milli = (int64_t)high;
	al->capacity_milli = (int64_t)(own / USABLE_SHARE);
	/* Demand is unknown while the service time is: nothing is lent or borrowed. */
	if (round->service_time_us || high + low <= 0) {
		al->shortage_milli = (int64_t)(high + low - own);
		share = lower_share(total[KIND_SLOT], high, low);
		al->spare = own - high - low;
		lent = share_with_borrowers(al, high + low, high, own / USABLE_SHARE);
		al->spare -= lent;
		total[KIND_QUEUE] -= share_queue(al, own / USABLE_SHARE, total[KIND_QUEUE]);
		/* What is left free is missing from all shares alike. */
		total[KIND_SLOT] -= lent + MIN(al->left_free, MAX(al->spare, 0));
	}
	al->left_free = 0;
	weigh_members(al, share, high + share * low);
	for (size_t i = 0; i < al->members->len; i++)
		weights += ((struct holder *)al->members->pdata[i])->weight;
	for (size_t i = 0; i < al->members->len; i++) {
		struct holder *holder = al->members->pdata[i];

		for (enum credit_kind kind = 0; kind < KINDS; kind++)
			holder->share[kind] = total[kind] * holder->weight / weights;
	}
}

/* A member spreads its openings over its slot credits by speed, or over its queue credits. */
static double expected_load(const struct pool *pool)
{
	double load = 0;

	for (enum credit_kind kind = 0; kind < KINDS; kind++) {
		for (uint32_t i = 0; i < pool->credits[kind]->len; i++) {
			const struct holder *holder = credit_at(pool, kind, i)->holder;

			if (holder && !holder->borrower &&
			    (kind == KIND_SLOT || holder->held[KIND_SLOT] <= 0))
				load += holder->weight / holder->held[kind];
		}
	}
	return load / pool->slots;
}

void allocator_note_loads(struct allocator *al)
{
	double sum = 0;

	for (size_t i = 0; i < al->targets->len; i++) {
		struct pool *pool = al->targets->pdata[i];

		pool->load = expected_load(pool);
		sum += pool->load;
	}
	for (size_t i = 0; i < al->targets->len && sum > 0; i++) {
		struct pool *pool = al->targets->pdata[i];

		pool->excess =
			EXCESS_DECAY * pool->excess + pool->load * al->targets->len / sum - 1;
	}
}
