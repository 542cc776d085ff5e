#include "flowtab.h"

#include <glib.h>
#include <string.h>

/*
 * Sets of eight slots with 16-bit tags in an array of their own, so that a lookup that misses reads
 * one cache line. A full set overflows to the set FLOWTAB_CLASSES further on: all entries with the
 * same hash modulo FLOWTAB_CLASSES are in every FLOWTAB_CLASSES-th set and can be visited alone.
 */
#define SLOTS_PER_SET	 8u
#define MIN_SETS	 4096u
#define MAX_PROBED_SETS	 8u
#define MAX_FILL_PERCENT 85u /* percent of the slots in use; above it, lookups probe many sets */

/* An entry unused for this long may be evicted for a new flow of its organisation. */
#define EVICT_IDLE_MS 60000u
/* Slots searched for an idle entry when an organisation is at its quota. */
#define EVICT_SCAN_SLOTS 256u

struct flowtab {
	struct flow *slots;
	uint16_t *tags;	   /* 0 for a free slot */
	uint8_t *overflow; /* entries placed beyond this set; stays at 255 once reached */
	size_t sets;
	size_t used;
	size_t limit;
	size_t sweep_pos;
	uint32_t held;	     /* found by the last complete sweep */
	uint32_t sweep_held; /* found by the sweep in progress */
	size_t evict_pos;
	GArray *org_used; /* uint32_t by organisation */
	struct timespec start;
	void (*on_evict)(const struct flow *flow, struct ctx *ctx, void *arg);
	void *on_evict_arg;
};

_Static_assert(sizeof(struct flow) + sizeof(uint16_t) + 1 <= 40, "at most 40 bytes a flow");

struct flowtab *flowtab_new(size_t max, struct timespec start)
{
	struct flowtab *tab = g_new0(struct flowtab, 1);

	tab->sets = MIN_SETS;
	while (tab->sets * SLOTS_PER_SET * MAX_FILL_PERCENT / 100 < max)
		tab->sets *= 2;
	tab->slots = g_new0(struct flow, tab->sets * SLOTS_PER_SET);
	tab->tags = g_new0(uint16_t, tab->sets * SLOTS_PER_SET);
	tab->overflow = g_new0(uint8_t, tab->sets);
	tab->limit = MAX(max, 1);
	tab->org_used = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	tab->start = start;
	return tab;
}

void flowtab_free(struct flowtab *tab)
{
	if (!tab)
		return;
	g_free(tab->slots);
	g_free(tab->tags);
	g_free(tab->overflow);
	g_array_unref(tab->org_used);
	g_free(tab);
}

static uint16_t tag_of(uint64_t hash)
{
	return (uint16_t)(hash >> 48) | 1;
}

static size_t probes(const struct flowtab *tab)
{
	return MIN(MAX_PROBED_SETS, tab->sets / FLOWTAB_CLASSES);
}

static size_t probe_set(const struct flowtab *tab, uint64_t hash, size_t probe)
{
	return (size_t)(hash + probe * FLOWTAB_CLASSES) & (tab->sets - 1);
}

static uint32_t *org_used(struct flowtab *tab, uint16_t org)
{
	if (org >= tab->org_used->len)
		g_array_set_size(tab->org_used, org + 1u);
	return &g_array_index(tab->org_used, uint32_t, org);
}

struct flow *flowtab_find(struct flowtab *tab, uint64_t hash)
{
	uint16_t tag = tag_of(hash);

	for (size_t p = 0; p < probes(tab); p++) {
		size_t set = probe_set(tab, hash, p);

		for (size_t i = set * SLOTS_PER_SET; i < (set + 1) * SLOTS_PER_SET; i++)
			if (tab->tags[i] == tag && tab->slots[i].hash == hash)
				return &tab->slots[i];
		if (!tab->overflow[set])
			return NULL;
	}
	return NULL;
}

void flowtab_prefetch_tags(const struct flowtab *tab, uint64_t hash)
{
	__builtin_prefetch(&tab->tags[probe_set(tab, hash, 0) * SLOTS_PER_SET]);
}

void flowtab_prefetch_flow(const struct flowtab *tab, uint64_t hash)
{
	size_t first = probe_set(tab, hash, 0) * SLOTS_PER_SET;
	uint16_t tag = tag_of(hash);

	for (size_t i = first; i < first + SLOTS_PER_SET; i++) {
		const char *slot = (const char *)&tab->slots[i];

		if (tab->tags[i] != tag)
			continue;
		/* An entry may lie across two cache lines; it will be written. */
		__builtin_prefetch(slot, 1);
		__builtin_prefetch(slot + sizeof(struct flow) - 1, 1);
		return;
	}
	__builtin_prefetch(&tab->overflow[probe_set(tab, hash, 0)]);
}

static void remove_slot(struct flowtab *tab, size_t slot)
{
	struct flow *flow = &tab->slots[slot];

	for (size_t p = 0; probe_set(tab, flow->hash, p) != slot / SLOTS_PER_SET; p++) {
		uint8_t *over = &tab->overflow[probe_set(tab, flow->hash, p)];

		if (*over < UINT8_MAX)
			(*over)--;
	}
	(*org_used(tab, flow->org))--;
	tab->tags[slot] = 0;
	tab->used--;
}

void flowtab_set_evict_handler(struct flowtab *tab,
			       void (*fn)(const struct flow *flow, struct ctx *ctx, void *arg),
			       void *arg)
{
	tab->on_evict = fn;
	tab->on_evict_arg = arg;
}

static void evict_slot(struct flowtab *tab, struct ctx *ctx, size_t slot)
{
	if (tab->on_evict)
		tab->on_evict(&tab->slots[slot], ctx, tab->on_evict_arg);
	remove_slot(tab, slot);
}

void flowtab_remove(struct flowtab *tab, uint64_t hash)
{
	struct flow *flow = flowtab_find(tab, hash);

	if (flow)
		remove_slot(tab, (size_t)(flow - tab->slots));
}

static bool evictable(const struct flowtab *tab, size_t slot, uint16_t org, uint32_t now_ms)
{
	const struct flow *flow = &tab->slots[slot];

	if (!tab->tags[slot] || flow->org != org || (flow->flags & FLOW_HELD))
		return false;
	return (flow->flags & FLOW_CLOSED) || now_ms - flow->used_ms >= EVICT_IDLE_MS;
}

/* Removes the longest unused of the idle entries of @org among the next slots. */
static bool evict_idle(struct flowtab *tab, struct ctx *ctx, uint16_t org)
{
	uint32_t now_ms = flowtab_ms(tab, ctx->now);
	size_t total = tab->sets * SLOTS_PER_SET;
	size_t best = total;
	size_t i;

	for (size_t n = 0; n < MIN(EVICT_SCAN_SLOTS, total); n++) {
		i = tab->evict_pos;
		tab->evict_pos = (i + 1) % total;
		if (evictable(tab, i, org, now_ms) &&
		    (best == total ||
		     now_ms - tab->slots[i].used_ms > now_ms - tab->slots[best].used_ms))
			best = i;
	}
	if (best == total)
		return false;
	evict_slot(tab, ctx, best);
	ctx->counters->cache_evicted++;
	return true;
}

/* A free slot for @hash, or SIZE_MAX. Evicts an idle entry of @org if the probed sets are full. */
static size_t free_slot(struct flowtab *tab, struct ctx *ctx, uint64_t hash, uint16_t org)
{
	uint32_t now_ms = flowtab_ms(tab, ctx->now);

	for (size_t p = 0; p < probes(tab); p++) {
		size_t set = probe_set(tab, hash, p);

		for (size_t i = set * SLOTS_PER_SET; i < (set + 1) * SLOTS_PER_SET; i++)
			if (!tab->tags[i])
				return i;
	}
	for (size_t p = 0; p < probes(tab); p++) {
		size_t set = probe_set(tab, hash, p);

		for (size_t i = set * SLOTS_PER_SET; i < (set + 1) * SLOTS_PER_SET; i++)
			if (evictable(tab, i, org, now_ms)) {
				evict_slot(tab, ctx, i);
				ctx->counters->cache_evicted++;
				return i;
			}
	}
	return SIZE_MAX;
}

struct flow *flowtab_put(struct flowtab *tab, struct ctx *ctx, uint64_t hash, uint16_t org,
			 uint32_t quota)
{
	struct flow *flow = flowtab_find(tab, hash);
	size_t slot;

	if (flow)
		return flow;
	if ((*org_used(tab, org) >= quota || tab->used >= tab->limit) && !evict_idle(tab, ctx, org))
		return NULL;
	slot = free_slot(tab, ctx, hash, org);
	if (slot == SIZE_MAX)
		return NULL;
	for (size_t p = 0; probe_set(tab, hash, p) != slot / SLOTS_PER_SET; p++) {
		uint8_t *over = &tab->overflow[probe_set(tab, hash, p)];

		if (*over < UINT8_MAX)
			(*over)++;
	}
	(*org_used(tab, org))++;
	tab->tags[slot] = tag_of(hash);
	tab->used++;
	flow = &tab->slots[slot];
	*flow = (struct flow){
		.hash = hash,
		.target = UINT32_MAX,
		.opened = flow_ticks(flowtab_ms(tab, ctx->now)),
		.used_ms = flowtab_ms(tab, ctx->now),
		.org = org,
	};
	return flow;
}

void flowtab_sweep(struct flowtab *tab, struct ctx *ctx, size_t slots,
		   bool (*expired)(const struct flow *flow, uint32_t now_ms, void *arg), void *arg)
{
	uint32_t now_ms = flowtab_ms(tab, ctx->now);
	size_t total = tab->sets * SLOTS_PER_SET;

	for (size_t n = 0; n < MIN(slots, total); n++) {
		size_t i = tab->sweep_pos;

		tab->sweep_pos = (i + 1) % total;
		if (tab->tags[i] && expired(&tab->slots[i], now_ms, arg))
			evict_slot(tab, ctx, i);
		else if (tab->tags[i] && (tab->slots[i].flags & FLOW_HELD))
			tab->sweep_held++;
		if (!tab->sweep_pos) {
			tab->held = tab->sweep_held;
			tab->sweep_held = 0;
		}
	}
}

void flowtab_each(struct flowtab *tab, void (*fn)(struct flow *flow, void *arg), void *arg)
{
	for (size_t i = 0; i < tab->sets * SLOTS_PER_SET; i++)
		if (tab->tags[i])
			fn(&tab->slots[i], arg);
}

struct flow *flowtab_next(struct flowtab *tab, uint32_t bucket, size_t *pos)
{
	for (;;) {
		size_t set = bucket % FLOWTAB_CLASSES + *pos / SLOTS_PER_SET * FLOWTAB_CLASSES;
		size_t slot = set * SLOTS_PER_SET + *pos % SLOTS_PER_SET;

		if (set >= tab->sets)
			return NULL;
		(*pos)++;
		if (tab->tags[slot])
			return &tab->slots[slot];
	}
}

size_t flowtab_count(const struct flowtab *tab)
{
	return tab->used;
}

uint32_t flowtab_ms(const struct flowtab *tab, struct timespec now)
{
	return (uint32_t)ts_diff_ms(now, tab->start);
}

size_t flowtab_slots(const struct flowtab *tab)
{
	return tab->sets * SLOTS_PER_SET;
}

uint32_t flowtab_held(const struct flowtab *tab)
{
	return tab->held;
}
