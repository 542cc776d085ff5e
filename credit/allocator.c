#include "credit/allocator.h"

#include <math.h>

#include "timeutil.h"

/* Random tenures: credits given in one round do not all change their holders in one round. */
#define TENURE_MIN_MS	 500
#define TENURE_SPREAD_MS 1001
/* Weight of past deficits; without them the remainder of the division stays with its holders. */
#define PAST_DECAY  0.9
#define PAST_WEIGHT 0.3
/* An idle member can serve its first openings at once. */
#define IDLE_FLOOR 0.03
/* Lower priorities are not starved when the important ones need all slots. */
#define LOWER_SHARE_MIN 0.05
#define QUEUE_PER_SLOT	3
#define MEMBER_CREDITS	2
/* Slots in use beyond this share make openings wait; only what is below it can be lent. */
#define USABLE_SHARE 0.85
#define SLOTS_MAX    1024
#define SPEED_MIN    250
#define SPEED_MAX    2000
/* Shares above a whole credit by less than this are rounding errors, not a claim to another one. */
#define CREDIT_SLACK 0.05

enum credit_kind {
	KIND_SLOT,
	KIND_QUEUE,
	KINDS,
};

/* Amounts are in thousandths of a slot of a target of mean speed. */
struct holder {
	uint32_t id;
	uint32_t round; /* the last one that listed it */
	bool borrower;
	double wanted; /* of a borrower */
	double demand_high;
	double demand_low;
	double weight;
	double share[KINDS];
	double held[KINDS];
	double past[KINDS]; /* decayed sum of the deficits of past rounds */
	double rank;
	GArray *entries; /* struct credit_entry */
};

struct credit {
	struct holder *holder;
	int64_t until_ms; /* end of the tenure */
};

/* The credits of one target. */
struct pool {
	uint64_t key;
	uint32_t round;
	uint32_t slots; /* in part, if it is left out in part */
	uint32_t speed_permille;
	uint32_t capacity_permille;
	bool cold_limited;
	bool lent;
	GArray *credits[KINDS]; /* struct credit */
};

/* A credit to be given in this round. */
struct free_credit {
	struct pool *pool;
	uint32_t index;
};

struct allocator {
	struct random *random;
	GHashTable *pools;    /* key to struct pool */
	GHashTable *holders;  /* identifier to struct holder */
	GPtrArray *targets;   /* pools in the order of the round */
	GPtrArray *members;   /* holders in the order of the round */
	GPtrArray *borrowers; /* likewise */
	GPtrArray *heap;      /* members by rank, the highest first */
	GArray *released;     /* struct free_credit */
	uint32_t round;
	int64_t now_ms;
	int64_t shortage_milli;
};

static void free_holder(void *arg)
{
	struct holder *holder = arg;

	g_array_unref(holder->entries);
	g_free(holder);
}

static void free_pool(void *arg)
{
	struct pool *pool = arg;

	for (size_t kind = 0; kind < KINDS; kind++)
		g_array_unref(pool->credits[kind]);
	g_free(pool);
}

struct allocator *allocator_new(struct random *random)
{
	struct allocator *al = g_new0(struct allocator, 1);

	al->random = random;
	al->pools = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_pool);
	al->holders = g_hash_table_new_full(NULL, NULL, NULL, free_holder);
	al->targets = g_ptr_array_new();
	al->members = g_ptr_array_new();
	al->borrowers = g_ptr_array_new();
	al->heap = g_ptr_array_new();
	al->released = g_array_new(FALSE, FALSE, sizeof(struct free_credit));
	return al;
}

void allocator_free(struct allocator *al)
{
	if (!al)
		return;
	g_hash_table_unref(al->pools);
	g_hash_table_unref(al->holders);
	g_ptr_array_unref(al->targets);
	g_ptr_array_unref(al->members);
	g_ptr_array_unref(al->borrowers);
	g_ptr_array_unref(al->heap);
	g_array_unref(al->released);
	g_free(al);
}

static struct credit *credit_at(const struct pool *pool, enum credit_kind kind, uint32_t index)
{
	return &g_array_index(pool->credits[kind], struct credit, index);
}

static struct holder *get_holder(struct allocator *al, uint32_t id)
{
	struct holder *holder = g_hash_table_lookup(al->holders, GUINT_TO_POINTER(id));

	if (holder)
		return holder;
	holder = g_new0(struct holder, 1);
	holder->id = id;
	holder->entries = g_array_new(FALSE, FALSE, sizeof(struct credit_entry));
	g_hash_table_insert(al->holders, GUINT_TO_POINTER(id), holder);
	return holder;
}

static struct pool *get_pool(struct allocator *al, uint64_t key)
{
	struct pool *pool = g_hash_table_lookup(al->pools, &key);

	if (pool)
		return pool;
	pool = g_new0(struct pool, 1);
	pool->key = key;
	for (size_t kind = 0; kind < KINDS; kind++)
		pool->credits[kind] = g_array_new(FALSE, TRUE, sizeof(struct credit));
	g_hash_table_insert(al->pools, &pool->key, pool);
	return pool;
}

/* In thousandths of a slot; in openings while the service time is unknown. */
static double demand_of(const struct alloc_member *mem, uint32_t first, uint32_t end,
			uint32_t service_time_us)
{
	double openings = 0;

	for (uint32_t prio = first; prio < end; prio++)
		openings += (double)mem->openings_milli_per_s[prio];
	return service_time_us ? openings * service_time_us / G_USEC_PER_SEC : openings;
}

static void list_members(struct allocator *al, const struct alloc_round *round)
{
	g_ptr_array_set_size(al->members, 0);
	g_ptr_array_set_size(al->borrowers, 0);
	for (size_t i = 0; i < round->nr_members; i++) {
		const struct alloc_member *mem = &round->members[i];
		struct holder *holder = get_holder(al, mem->id);

		if (holder->round == al->round)
			continue;
		holder->round = al->round;
		holder->borrower = mem->borrower;
		holder->wanted = mem->borrower ? mem->wanted_milli : 0;
		holder->demand_high = demand_of(mem, 0, 2, round->service_time_us);
		holder->demand_low = demand_of(mem, 2, CREDIT_PRIORITIES, round->service_time_us);
		g_array_set_size(holder->entries, 0);
		for (size_t kind = 0; kind < KINDS; kind++)
			holder->share[kind] = holder->held[kind] = 0;
		g_ptr_array_add(mem->borrower ? al->borrowers : al->members, holder);
	}
}

static void list_targets(struct allocator *al, const struct alloc_round *round)
{
	g_ptr_array_set_size(al->targets, 0);
	for (size_t i = 0; i < round->nr_targets; i++) {
		const struct alloc_target *tgt = &round->targets[i];
		struct pool *pool;

		if (!tgt->slots)
			continue;
		pool = get_pool(al, tgt->key);
		if (pool->round == al->round)
			continue;
		pool->round = al->round;
		pool->slots = MIN(tgt->slots, SLOTS_MAX);
		pool->speed_permille = CLAMP(tgt->speed_permille, SPEED_MIN, SPEED_MAX);
		pool->capacity_permille = MIN(tgt->capacity_permille, 1000);
		pool->cold_limited = tgt->cold_limited;
		pool->lent = tgt->lent;
		g_ptr_array_add(al->targets, pool);
	}
}

static gboolean pool_is_absent(void *key, void *value, void *arg)
{
	(void)key;
	return ((struct pool *)value)->round != ((struct allocator *)arg)->round;
}

static gboolean holder_is_absent(void *key, void *value, void *arg)
{
	(void)key;
	return ((struct holder *)value)->round != ((struct allocator *)arg)->round;
}

/* Whether a member may hold credits of this kind at this target at all. */
static bool may_hold(const struct holder *holder, const struct pool *pool, enum credit_kind kind)
{
	return !holder->borrower || (kind == KIND_SLOT && !pool->lent && !pool->cold_limited);
}

static void drop_absent(struct allocator *al)
{
	g_hash_table_foreach_remove(al->pools, pool_is_absent, al);
	for (size_t i = 0; i < al->targets->len; i++) {
		struct pool *pool = al->targets->pdata[i];

		for (enum credit_kind kind = 0; kind < KINDS; kind++) {
			for (uint32_t j = 0; j < pool->credits[kind]->len; j++) {
				struct credit *credit = credit_at(pool, kind, j);

				if (credit->holder && (credit->holder->round != al->round ||
						       !may_hold(credit->holder, pool, kind)))
					credit->holder = NULL;
			}
		}
	}
	g_hash_table_foreach_remove(al->holders, holder_is_absent, al);
}

/* Credits without a holder go first. */
static void resize_credits(struct pool *pool, enum credit_kind kind, uint32_t nr)
{
	GArray *credits = pool->credits[kind];

	for (uint32_t i = credits->len; i-- > 0 && credits->len > nr;)
		if (!credit_at(pool, kind, i)->holder)
			g_array_remove_index_fast(credits, i);
	g_array_set_size(credits, nr);
}

static uint32_t slot_credits(const struct pool *pool)
{
	if (pool->cold_limited)
		return 1;
	return MAX((pool->slots * pool->capacity_permille + 500) / 1000, 1);
}

/* Queue credits of the service when no target is left out, at one to three for each slot. */
static uint64_t queue_credits_total(const struct allocator *al, uint64_t slots)
{
	uint64_t most = (uint64_t)al->members->len * MEMBER_CREDITS;

	return CLAMP(most > slots ? most - slots : 0, slots, slots * QUEUE_PER_SLOT);
}

static void resize_targets(struct allocator *al)
{
	uint64_t slots = 0;
	uint64_t queue;

	for (size_t i = 0; i < al->targets->len; i++)
		slots += ((struct pool *)al->targets->pdata[i])->slots;
	queue = queue_credits_total(al, slots);
	for (size_t i = 0; i < al->targets->len; i++) {
		struct pool *pool = al->targets->pdata[i];
		uint64_t nr = (pool->slots * queue + slots / 2) / slots;

		resize_credits(pool, KIND_SLOT, slot_credits(pool));
		if (pool->cold_limited || pool->lent)
			nr = 0;
		resize_credits(pool, KIND_QUEUE, (uint32_t)(nr * pool->capacity_permille / 1000));
	}
}

/* Sum of the credits of a kind; only those of the data centre's own targets with @own. */
static double sum_credits(const struct allocator *al, enum credit_kind kind, bool own)
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

static void set_shares(struct allocator *al, const struct alloc_round *round)
{
	double own = sum_credits(al, KIND_SLOT, true) * USABLE_SHARE;
	double total[KINDS];
	double weights = 0;
	double high;
	double low;
	double share = 1;

	for (enum credit_kind kind = 0; kind < KINDS; kind++)
		total[kind] = sum_credits(al, kind, false);
	sum_demand(al, &high, &low);
	al->shortage_milli = 0;
	/* Demand is unknown while the service time is: nothing is lent or borrowed. */
	if (round->service_time_us || high + low <= 0) {
		al->shortage_milli = (int64_t)(high + low - own);
		share = lower_share(total[KIND_SLOT], high, low);
		total[KIND_SLOT] -= share_surplus(al, own - high - low);
	}
	weigh_members(al, share, high + share * low);
	for (size_t i = 0; i < al->members->len; i++)
		weights += ((struct holder *)al->members->pdata[i])->weight;
	for (size_t i = 0; i < al->members->len; i++) {
		struct holder *holder = al->members->pdata[i];

		for (enum credit_kind kind = 0; kind < KINDS; kind++)
			holder->share[kind] = total[kind] * holder->weight / weights;
	}
}

static void count_held(struct allocator *al, enum credit_kind kind)
{
	for (size_t i = 0; i < al->targets->len; i++) {
		const struct pool *pool = al->targets->pdata[i];

		for (uint32_t j = 0; j < pool->credits[kind]->len; j++) {
			struct holder *holder = credit_at(pool, kind, j)->holder;

			if (holder)
				holder->held[kind] += pool->speed_permille;
		}
	}
}

/*
 * Whether the holder has to return a credit before the end of its tenure. A share that is not a
 * whole number of credits is rounded up: members take turns at the remainder, and a turn lasts for
 * a tenure.
 */
static bool exceeds_share(const struct holder *holder, enum credit_kind kind, double credit,
			  double mean)
{
	double share = holder->share[kind];

	if (holder->borrower)
		return holder->held[kind] > MIN(share + credit / 2, holder->wanted);
	return holder->held[kind] - credit / 2 > ceil(share / mean - CREDIT_SLACK) * mean;
}

static void release(struct allocator *al, struct pool *pool, enum credit_kind kind, uint32_t index)
{
	struct free_credit fc = { .pool = pool, .index = index };
	struct credit *credit = credit_at(pool, kind, index);

	if (credit->holder)
		credit->holder->held[kind] -= pool->speed_permille;
	credit->holder = NULL;
	g_array_append_val(al->released, fc);
}

static void release_ended(struct allocator *al, enum credit_kind kind)
{
	for (size_t i = 0; i < al->targets->len; i++) {
		struct pool *pool = al->targets->pdata[i];

		for (uint32_t j = 0; j < pool->credits[kind]->len; j++) {
			const struct credit *credit = credit_at(pool, kind, j);

			if (!credit->holder || credit->until_ms <= al->now_ms)
				release(al, pool, kind, j);
		}
	}
}

static void release_excess(struct allocator *al, enum credit_kind kind)
{
	double mean = 0;

	for (size_t i = 0; i < al->targets->len; i++)
		mean += ((struct pool *)al->targets->pdata[i])->credits[kind]->len;
	mean = mean > 0 ? sum_credits(al, kind, false) / mean : 1;
	for (size_t i = 0; i < al->targets->len; i++) {
		struct pool *pool = al->targets->pdata[i];

		for (uint32_t j = 0; j < pool->credits[kind]->len; j++) {
			const struct holder *holder = credit_at(pool, kind, j)->holder;

			if (holder && exceeds_share(holder, kind, pool->speed_permille, mean))
				release(al, pool, kind, j);
		}
	}
}

static void shuffle_released(struct allocator *al)
{
	struct free_credit *fcs = (struct free_credit *)(void *)al->released->data;

	for (uint32_t i = al->released->len; i > 1; i--) {
		uint32_t j = random_below(al->random, i);
		struct free_credit tmp = fcs[i - 1];

		fcs[i - 1] = fcs[j];
		fcs[j] = tmp;
	}
}

static void set_rank(struct holder *holder, enum credit_kind kind)
{
	holder->rank = holder->share[kind] - holder->held[kind] + PAST_WEIGHT * holder->past[kind];
}

static void sift_down(GPtrArray *heap, size_t pos)
{
	for (;;) {
		size_t best = pos;
		void *tmp = heap->pdata[pos];

		for (size_t child = 2 * pos + 1; child <= 2 * pos + 2 && child < heap->len; child++)
			if (((struct holder *)heap->pdata[child])->rank >
			    ((struct holder *)heap->pdata[best])->rank)
				best = child;
		if (best == pos)
			return;
		heap->pdata[pos] = heap->pdata[best];
		heap->pdata[best] = tmp;
		pos = best;
	}
}

static void build_heap(struct allocator *al, enum credit_kind kind)
{
	g_ptr_array_set_size(al->heap, 0);
	for (size_t i = 0; i < al->members->len; i++) {
		set_rank(al->members->pdata[i], kind);
		g_ptr_array_add(al->heap, al->members->pdata[i]);
	}
	for (size_t i = al->heap->len / 2; i-- > 0;)
		sift_down(al->heap, i);
	for (size_t i = 0; i < al->borrowers->len; i++)
		set_rank(al->borrowers->pdata[i], kind);
}

/* The borrower with the largest deficit that the credit does not take beyond its share. */
static struct holder *first_borrower(const struct allocator *al, const struct pool *pool,
				     enum credit_kind kind)
{
	struct holder *best = NULL;

	for (size_t i = 0; i < al->borrowers->len; i++) {
		struct holder *holder = al->borrowers->pdata[i];

		if (may_hold(holder, pool, kind) &&
		    holder->held[kind] + pool->speed_permille <= holder->share[kind] &&
		    (!best || holder->rank > best->rank))
			best = holder;
	}
	return best;
}

static void give(struct allocator *al, const struct free_credit *fc, enum credit_kind kind)
{
	struct holder *holder = al->heap->len ? al->heap->pdata[0] : NULL;
	struct holder *borrower = first_borrower(al, fc->pool, kind);
	struct credit *credit = credit_at(fc->pool, kind, fc->index);

	if (borrower && (!holder || borrower->rank > holder->rank))
		holder = borrower;
	if (!holder)
		return;
	credit->holder = holder;
	credit->until_ms = al->now_ms + TENURE_MIN_MS + random_below(al->random, TENURE_SPREAD_MS);
	holder->held[kind] += fc->pool->speed_permille;
	set_rank(holder, kind);
	if (!holder->borrower)
		sift_down(al->heap, 0);
}

static void note_deficits(const GPtrArray *holders, enum credit_kind kind)
{
	for (size_t i = 0; i < holders->len; i++) {
		struct holder *holder = holders->pdata[i];

		holder->past[kind] =
			PAST_DECAY * holder->past[kind] + holder->share[kind] - holder->held[kind];
	}
}

static void divide(struct allocator *al, enum credit_kind kind)
{
	g_array_set_size(al->released, 0);
	count_held(al, kind);
	release_ended(al, kind);
	release_excess(al, kind);
	shuffle_released(al);
	build_heap(al, kind);
	for (uint32_t i = 0; i < al->released->len; i++)
		give(al, &g_array_index(al->released, struct free_credit, i), kind);
	note_deficits(al->members, kind);
	note_deficits(al->borrowers, kind);
}

static void add_to_entries(GArray *entries, const struct pool *pool, enum credit_kind kind)
{
	struct credit_entry entry = {
		.target = pool->key,
		.speed_permille = (uint16_t)pool->speed_permille,
		.lent = pool->lent,
	};
	struct credit_entry *last;

	if (!entries->len ||
	    g_array_index(entries, struct credit_entry, entries->len - 1).target != pool->key)
		g_array_append_val(entries, entry);
	last = &g_array_index(entries, struct credit_entry, entries->len - 1);
	if (kind == KIND_SLOT && last->slots < UINT8_MAX)
		last->slots++;
	else if (kind == KIND_QUEUE && last->queue < UINT8_MAX)
		last->queue++;
}

/* Entries are built target by target, so that a target is only ever the last entry of a member. */
static void build_entries(struct allocator *al)
{
	for (size_t i = 0; i < al->targets->len; i++) {
		const struct pool *pool = al->targets->pdata[i];

		for (enum credit_kind kind = 0; kind < KINDS; kind++) {
			for (uint32_t j = 0; j < pool->credits[kind]->len; j++) {
				struct holder *holder = credit_at(pool, kind, j)->holder;

				if (holder)
					add_to_entries(holder->entries, pool, kind);
			}
		}
	}
}

void allocator_run(struct allocator *al, const struct alloc_round *round)
{
	al->round++;
	al->now_ms = ts_to_ms(round->now);
	list_members(al, round);
	list_targets(al, round);
	drop_absent(al);
	resize_targets(al);
	set_shares(al, round);
	for (enum credit_kind kind = 0; kind < KINDS; kind++)
		divide(al, kind);
	build_entries(al);
}

const GArray *allocator_credits(const struct allocator *al, uint32_t member)
{
	const struct holder *holder = g_hash_table_lookup(al->holders, GUINT_TO_POINTER(member));

	return holder && holder->entries->len ? holder->entries : NULL;
}

int64_t allocator_shortage_milli(const struct allocator *al)
{
	return al->shortage_milli;
}
