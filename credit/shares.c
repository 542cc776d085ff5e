/* Shares of members and borrowers, and the load that targets get from their credits. */
#include "credit/allocator-internal.h"

/* An idle member can serve its first openings at once. */
#define IDLE_FLOOR 0.03
/* Lower priorities are not starved when the important ones need all slots. */
#define LOWER_SHARE_MIN 0.05
/* Slots in use beyond this share make openings wait; only what is below it can be lent. */
#define USABLE_SHARE 0.85
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

/* Divides what the members leave in proportion to what the borrowers want. */
static double share_surplus(struct allocator *al, double surplus)
{
	double wanted = 0;
	double sum = 0;

	for (size_t i = 0; i < al->borrowers->len; i++)
		wanted += ((struct holder *)al->borrowers->pdata[i])->wanted;
	if (surplus <= 0 || wanted <= 0)
		return 0;
	for (size_t i = 0; i < al->borrowers->len; i++) {
		struct holder *holder = al->borrowers->pdata[i];

		holder->share[KIND_SLOT] = holder->wanted * MIN(surplus / wanted, 1);
		sum += holder->share[KIND_SLOT];
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
	sum_demand(al, &high, &low);
	al->shortage_milli = 0;
	al->spare = 0;
	/* Demand is unknown while the service time is: nothing is lent or borrowed. */
	if (round->service_time_us || high + low <= 0) {
		al->shortage_milli = (int64_t)(high + low - own);
		share = lower_share(total[KIND_SLOT], high, low);
		al->spare = own - high - low;
		lent = share_surplus(al, al->spare);
		al->spare -= lent;
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
