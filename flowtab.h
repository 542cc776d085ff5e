/*
 * Flow cache: 64-bit flow hash to target, for flows that this instance routed. Open addressing,
 * bounded, with a quota for each organisation; evicts the longest unused entries first.
 */
#ifndef FLOWTAB_H
#define FLOWTAB_H

#include <stdbool.h>
#include <stdint.h>

#include "ctx.h"

/* Flags of an entry; pins in messages have the same values. */
enum flow_flags {
	FLOW_ESTABLISHED = PIN_ESTABLISHED, /* an accepting answer was seen */
	FLOW_PAYLOAD = PIN_PAYLOAD,	    /* payload was forwarded to the target */
	FLOW_CLOSED = PIN_CLOSED,	    /* closed or reset by either side */
	FLOW_BASE = PIN_BASE,		    /* target is the base of its bucket */
	FLOW_HELD = PIN_HELD,		    /* a copy of a pin: never evicted for space */
	FLOW_FIN_CALLER = PIN_FIN_CALLER,   /* the caller closed its direction */
	FLOW_FIN_TARGET = PIN_FIN_TARGET,   /* the target closed its direction */
	FLOW_COUNTED = 128,		    /* not in pins: in this instance's load estimate */
};

#define FLOW_TICK_MS 64 /* unit of the 16-bit times of a flow, which wrap after 70 minutes */

/* At most 40 bytes with the table's tag and overflow count. */
struct flow {
	uint64_t hash;
	uint32_t target;      /* interned index of the target */
	uint32_t opening_id;  /* sequence number of the opening, 0 if it was not seen */
	uint32_t used_ms;     /* times in ms as of flowtab_ms(), which wrap after 49 days */
	uint32_t answered_ms; /* last answer seen, 0 for none */
	uint16_t opened;      /* ticks: when the opening was last seen */
	uint16_t waiting;     /* ticks: first payload since the last answer, 0 for none */
	uint16_t org;
	uint8_t flags;
};

struct flowtab;

/* Table for up to @max flows (rounded up to a power of two of sets of slots, 32768 at least). */
struct flowtab *flowtab_new(size_t max, struct timespec start);
void flowtab_free(struct flowtab *tab);

/* Entry of a flow, or NULL. Valid until the next flowtab_put() or flowtab_sweep(). */
struct flow *flowtab_find(struct flowtab *tab, uint64_t hash);
/*
 * Entry of a flow, made when missing. Returns NULL when organisation @org has used up its @quota
 * and none of its own entries is idle; another organisation's entry is never evicted for it.
 */
struct flow *flowtab_put(struct flowtab *tab, struct ctx *ctx, uint64_t hash, uint16_t org,
			 uint32_t quota);
/* Sets a function that is called for every entry that is evicted or expires, before its removal. */
void flowtab_set_evict_handler(struct flowtab *tab,
			       void (*fn)(const struct flow *flow, struct ctx *ctx, void *arg),
			       void *arg);
/* First and second step of core_prefetch(): the tags of the set, then the entry that they find. */
void flowtab_prefetch_tags(const struct flowtab *tab, uint64_t hash);
void flowtab_prefetch_flow(const struct flowtab *tab, uint64_t hash);
void flowtab_remove(struct flowtab *tab, uint64_t hash);
/* Visits the next @slots slots of the table and removes the entries for which @expired is true. */
void flowtab_sweep(struct flowtab *tab, struct ctx *ctx, size_t slots,
		   bool (*expired)(const struct flow *flow, uint32_t now_ms, void *arg), void *arg);
void flowtab_each(struct flowtab *tab, void (*fn)(struct flow *flow, void *arg), void *arg);
/*
 * Entries whose hash is @bucket modulo FLOWTAB_CLASSES, of all services: returns the next one from
 * *pos on and advances *pos (0 to begin), or NULL. Costs 1/FLOWTAB_CLASSES of a full scan.
 */
#define FLOWTAB_CLASSES 1024
struct flow *flowtab_next(struct flowtab *tab, uint32_t bucket, size_t *pos);
size_t flowtab_count(const struct flowtab *tab);
/* Slots of the table, free ones as well; entries with FLOW_HELD, counted by the last sweeps. */
size_t flowtab_slots(const struct flowtab *tab);
uint32_t flowtab_held(const struct flowtab *tab);
/* Ticks of a time in ms; never 0. */
static inline uint16_t flow_ticks(uint32_t ms)
{
	return (uint16_t)(ms / FLOW_TICK_MS) | 1;
}

/* Age of a time in ticks, at a precision of two ticks. */
static inline uint32_t flow_ticks_age_ms(uint16_t ticks, uint32_t now_ms)
{
	return (uint32_t)(uint16_t)(flow_ticks(now_ms) - ticks) * FLOW_TICK_MS;
}

/* @now in ms since the table's start. */
uint32_t flowtab_ms(const struct flowtab *tab, struct timespec now);

#endif
