#include "credit/allocator-internal.h"

#include <math.h>

#include "timeutil.h"

/* Random tenures: credits given in one round do not all change their holders in one round. */
#define TENURE_MIN_MS	 500
#define TENURE_SPREAD_MS 1001
/* Weight of past deficits; without them the remainder of the division stays with its holders. */
#define PAST_DECAY  0.9
#define PAST_WEIGHT 0.3
/*
 * By how many credits another member's deficit must be larger for a credit to move at the end of
 * its tenure. A credit that moves under scarcity is in use twice while grants are old: in the
 * simulation of t/allocator-sim.h, 0.901 of the important class were in time without a margin,
 * 0.948 with one of 1.5 and 0.963 with 3. Mean deficits then differ by (3 + 1) / (1 + PAST_WEIGHT /
 * (1 - PAST_DECAY)), one credit.
 */
#define KEEP_MARGIN	   0.5
#define KEEP_MARGIN_SCARCE 3.0
/* A member that has just joined does not wait for its deficit to grow. */
#define JOIN_MS	       2000
#define QUEUE_PER_SLOT 3
#define GOAL_DIVISOR   4
#define MEMBER_CREDITS 2
#define SLOTS_MAX      1024
#define SPEED_MIN      250
#define SPEED_MAX      2000
/* Shares above a whole credit by less than this are rounding errors, not a claim to another one. */
#define CREDIT_SLACK 0.05

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

static struct holder *get_holder(struct allocator *al, uint32_t id)
{
	struct holder *holder = g_hash_table_lookup(al->holders, GUINT_TO_POINTER(id));

	if (holder)
		return holder;
	holder = g_new0(struct holder, 1);
	holder->id = id;
	holder->joined_ms = al->now_ms;
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
		holder->demand = mem->borrower ? mem->demand_milli : 0;
		holder->important = mem->borrower ? mem->important_milli : 0;
		holder->capacity = mem->borrower ? mem->capacity_milli : 0;
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
		pool->queue = MIN(tgt->queue, SLOTS_MAX);
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
	(void)kind;
	return !holder->borrower || (!pool->lent && !pool->cold_limited);
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

/*
 * Queue credits that keep a request in the queue for at most a quarter of the goal. They let an
 * instance whose demand exceeds its part for a moment use what others leave.
 */
static uint32_t queue_by_goal(const struct pool *pool, const struct alloc_round *round)
{
	uint64_t time_us = (uint64_t)round->service_time_us * 1000 / pool->speed_permille;
	uint64_t room_us = (uint64_t)round->goal_ms * 1000 / GOAL_DIVISOR;
	uint64_t nr;

	if (!time_us || pool->cold_limited || pool->lent)
		return 0;
	nr = MIN(pool->slots * room_us / time_us, (uint64_t)pool->slots * QUEUE_PER_SLOT);
	return (uint32_t)(nr * pool->capacity_permille / 1000);
}

/*
 * A target's part of the queue credits is in proportion to its speed: a place in the queue of a
 * slow target costs its request more time.
 */
static uint32_t queue_credits(const struct pool *pool, double per_unit)
{
	double nr = pool->slots * pool->speed_permille * per_unit;

	if (pool->lent)
		return pool->queue;
	if (pool->cold_limited)
		return 0;
	nr = CLAMP(nr, 1, (double)pool->slots * QUEUE_PER_SLOT);
	return (uint32_t)(round(nr) * pool->capacity_permille / 1000);
}

/*
 * Queue credits grow by one a target and round: when half of the targets die, the others would get
 * twice as many at the moment at which all members send them the requests of the dead ones.
 */
static void resize_targets(struct allocator *al, const struct alloc_round *round)
{
	uint64_t slots = 0;
	double units = 0;

	for (size_t i = 0; i < al->targets->len; i++) {
		const struct pool *pool = al->targets->pdata[i];

		slots += pool->slots;
		units += (double)pool->slots * pool->speed_permille;
	}
	for (size_t i = 0; i < al->targets->len; i++) {
		struct pool *pool = al->targets->pdata[i];
		double per_unit = (double)queue_credits_total(al, slots) / units;
		uint32_t queue;

		resize_credits(pool, KIND_SLOT, slot_credits(pool));
		queue = queue_credits(pool, per_unit);
		queue = MAX(queue, queue_by_goal(pool, round));
		resize_credits(pool, KIND_QUEUE,
			       pool->lent ? queue : MIN(queue, pool->credits[KIND_QUEUE]->len + 1));
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
 * Whether @held is too much, the last credit of it being one of @credit. A share that is not a
 * whole number of credits is rounded up: members take turns at the remainder, and a turn lasts for
 * a tenure.
 */
static bool exceeds_share(const struct allocator *al, const struct holder *holder,
			  enum credit_kind kind, double held, double credit)
{
	double share = holder->share[kind];
	double mean = al->mean_credit;

	if (holder->borrower)
		return held > share + credit / 2;
	return held - credit / 2 > ceil(share / mean - CREDIT_SLACK) * mean;
}

static void release(struct allocator *al, struct pool *pool, enum credit_kind kind, uint32_t index)
{
	struct credit *credit = credit_at(pool, kind, index);
	struct free_credit fc = { .pool = pool, .previous = credit->holder, .index = index };

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

static void set_mean_credit(struct allocator *al, enum credit_kind kind)
{
	double nr = 0;

	for (size_t i = 0; i < al->targets->len; i++)
		nr += ((struct pool *)al->targets->pdata[i])->credits[kind]->len;
	al->mean_credit = nr > 0 ? allocator_sum_credits(al, kind, false) / nr : 1;
}

/* Returns credits before the end of their tenure. */
static void release_excess(struct allocator *al, enum credit_kind kind)
{
	for (size_t i = 0; i < al->targets->len; i++) {
		struct pool *pool = al->targets->pdata[i];

		for (uint32_t j = 0; j < pool->credits[kind]->len; j++) {
			const struct holder *holder = credit_at(pool, kind, j)->holder;

			if (holder && exceeds_share(al, holder, kind, holder->held[kind],
						    pool->speed_permille))
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
	holder->rank = holder->share[kind] - holder->held[kind];
	if (!holder->full)
		holder->rank += PAST_WEIGHT * holder->past[kind];
	/* Queue credits go first to members that have fewer slots than their share. */
	if (kind == KIND_QUEUE)
		holder->rank += holder->share[KIND_SLOT] - holder->held[KIND_SLOT];
}

static void set_heap(GPtrArray *heap, size_t pos, struct holder *holder)
{
	heap->pdata[pos] = holder;
	holder->pos = pos;
}

static void sift_down(GPtrArray *heap, size_t pos)
{
	for (;;) {
		size_t best = pos;
		struct holder *moved = heap->pdata[pos];

		for (size_t child = 2 * pos + 1; child <= 2 * pos + 2 && child < heap->len; child++)
			if (((struct holder *)heap->pdata[child])->rank >
			    ((struct holder *)heap->pdata[best])->rank)
				best = child;
		if (best == pos)
			return;
		set_heap(heap, pos, heap->pdata[best]);
		set_heap(heap, best, moved);
		pos = best;
	}
}

static void build_heap(struct allocator *al, enum credit_kind kind)
{
	g_ptr_array_set_size(al->heap, 0);
	for (size_t i = 0; i < al->members->len; i++) {
		struct holder *holder = al->members->pdata[i];

		holder->full = false;
		set_rank(holder, kind);
		g_ptr_array_add(al->heap, NULL);
		set_heap(al->heap, i, holder);
	}
	for (size_t i = al->heap->len / 2; i-- > 0;)
		sift_down(al->heap, i);
	for (size_t i = 0; i < al->borrowers->len; i++)
		set_rank(al->borrowers->pdata[i], kind);
}

/* Whether a borrower may hold one more credit of this target within its share. */
static bool fits_borrower(const struct holder *holder, const struct pool *pool,
			  enum credit_kind kind)
{
	return may_hold(holder, pool, kind) &&
	       holder->held[kind] + pool->speed_permille <= holder->share[kind];
}

/* The borrower with the largest deficit that can have the credit. */
static struct holder *first_borrower(const struct allocator *al, const struct pool *pool,
				     enum credit_kind kind)
{
	struct holder *best = NULL;

	for (size_t i = 0; i < al->borrowers->len; i++) {
		struct holder *holder = al->borrowers->pdata[i];

		if (fits_borrower(holder, pool, kind) && (!best || holder->rank > best->rank))
			best = holder;
	}
	return best;
}

/* How much larger than the holder's a member's deficit must be to take over a credit. */
static double keep_margin(const struct allocator *al, const struct holder *first,
			  enum credit_kind kind)
{
	bool is_new = first->held[kind] <= 0 && al->now_ms - first->joined_ms < JOIN_MS;

	return al->shortage_milli > 0 && !is_new ? KEEP_MARGIN_SCARCE : KEEP_MARGIN;
}

static bool may_take(const struct allocator *al, const struct holder *holder,
		     const struct pool *pool, enum credit_kind kind)
{
	double credit = pool->speed_permille;

	if (holder->borrower)
		return fits_borrower(holder, pool, kind);
	return !exceeds_share(al, holder, kind, holder->held[kind] + credit, credit);
}

/*
 * The member with the largest deficit. One that had nothing for long may have a large deficit
 * beyond its present share. It would have to return what exceeds the share in the next round, so
 * that its past then does not count.
 */
static struct holder *first_member(struct allocator *al, const struct pool *pool,
				   enum credit_kind kind)
{
	while (al->heap->len) {
		struct holder *first = al->heap->pdata[0];

		if (first->full || may_take(al, first, pool, kind))
			return first;
		first->full = true;
		set_rank(first, kind);
		sift_down(al->heap, 0);
	}
	return NULL;
}

/* The previous holder, or another member whose deficit is larger by the margin. */
static struct holder *next_holder(struct allocator *al, const struct free_credit *fc,
				  enum credit_kind kind)
{
	struct holder *first = first_member(al, fc->pool, kind);
	struct holder *borrower = first_borrower(al, fc->pool, kind);
	struct holder *previous = fc->previous;
	double margin;

	if (borrower && (!first || borrower->rank > first->rank))
		first = borrower;
	if (!first || !previous || !may_take(al, previous, fc->pool, kind))
		return first;
	margin = fc->pool->speed_permille * keep_margin(al, first, kind);
	/* What is lent comes from the surplus, so that no member waits for it. */
	if (previous->borrower || first->rank - previous->rank < margin)
		return previous;
	return first;
}

/*
 * A slot credit that exceeds everybody's share, or of a target that had more load than the mean,
 * goes to nobody while slots are to spare. Members with a single credit send all their openings to
 * its target, whatever its speed: with one slot for each member and speeds of 0.55 and 1.2, the
 * slow targets had 1.2 times the mean load.
 */
static bool is_left_free(struct allocator *al, const struct pool *pool, const struct holder *next)
{
	if ((pool->excess <= 0 && !next->full) || pool->lent || pool->cold_limited ||
	    pool->capacity_permille < 1000 || al->spare < pool->speed_permille)
		return false;
	al->spare -= pool->speed_permille;
	al->left_free += pool->speed_permille;
	return true;
}

static void give(struct allocator *al, const struct free_credit *fc, enum credit_kind kind)
{
	struct holder *holder = next_holder(al, fc, kind);
	struct credit *credit = credit_at(fc->pool, kind, fc->index);

	if (!holder)
		return;
	if (kind == KIND_SLOT && !holder->borrower && is_left_free(al, fc->pool, holder))
		return;
	credit->holder = holder;
	credit->until_ms = al->now_ms + TENURE_MIN_MS + random_below(al->random, TENURE_SPREAD_MS);
	holder->held[kind] += fc->pool->speed_permille;
	set_rank(holder, kind);
	if (!holder->borrower)
		sift_down(al->heap, holder->pos);
}

/* The deficit of a member without any credit does not decay, so that its turn comes. */
static void note_deficits(const GPtrArray *holders, enum credit_kind kind)
{
	for (size_t i = 0; i < holders->len; i++) {
		struct holder *holder = holders->pdata[i];
		double decay = holder->held[kind] > 0 ? PAST_DECAY : 1;

		holder->past[kind] =
			decay * holder->past[kind] + holder->share[kind] - holder->held[kind];
	}
}

static void divide(struct allocator *al, enum credit_kind kind)
{
	g_array_set_size(al->released, 0);
	set_mean_credit(al, kind);
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
	resize_targets(al, round);
	allocator_set_shares(al, round);
	for (enum credit_kind kind = 0; kind < KINDS; kind++)
		divide(al, kind);
	allocator_note_loads(al);
	build_entries(al);
}

const GArray *allocator_credits(const struct allocator *al, uint32_t member)
{
	const struct holder *holder = g_hash_table_lookup(al->holders, GUINT_TO_POINTER(member));

	return holder && holder->entries->len ? holder->entries : NULL;
}

int64_t allocator_demand_milli(const struct allocator *al)
{
	return al->demand_milli;
}

int64_t allocator_important_milli(const struct allocator *al)
{
	return al->important_milli;
}

int64_t allocator_capacity_milli(const struct allocator *al)
{
	return al->capacity_milli;
}

int64_t allocator_shortage_milli(const struct allocator *al)
{
	return al->shortage_milli;
}
