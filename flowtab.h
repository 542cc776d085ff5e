/*
 * Flow cache: 64-bit flow hash to target, for what this instance routed. Open addressing, bounded,
 * with a quota for each organisation; entries that were not used for longest go first.
 */
#ifndef FLOWTAB_H
#define FLOWTAB_H

#include <stdbool.h>
#include <stdint.h>

#include "ctx.h"

/* Flags of an entry; the same values travel in pins. */
enum flow_flags {
	FLOW_ESTABLISHED = PIN_ESTABLISHED, /* an accepting answer was seen */
	FLOW_PAYLOAD = PIN_PAYLOAD,	    /* payload was forwarded to the target */
	FLOW_CLOSED = PIN_CLOSED,	    /* closed or reset by either side */
	FLOW_BASE = PIN_BASE,		    /* target is the base of its bucket */
};

/* At most 40 bytes. */
struct flow {
	uint64_t hash;
	uint32_t target;     /* interned index of the target */
	uint32_t opening_id; /* sequence number of the opening, 0 if it was not seen */
	uint32_t opened_ms;  /* times in ms since the table's start, wrapping after 49 days */
	uint32_t used_ms;
	uint32_t answered_ms; /* last answer seen, 0 for none */
	uint16_t org;
	uint8_t flags;
};

struct flowtab;

/* Table for up to @max flows (rounded up to a power of two of slots). */
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
void flowtab_remove(struct flowtab *tab, uint64_t hash);
/* Visits a part of the table in each call and removes entries idle for @idle_ms(org's service). */
void flowtab_sweep(struct flowtab *tab, struct ctx *ctx, size_t slots,
		   bool (*expired)(const struct flow *flow, uint32_t now_ms, void *arg), void *arg);
void flowtab_each(struct flowtab *tab, void (*fn)(struct flow *flow, void *arg), void *arg);
size_t flowtab_count(const struct flowtab *tab);
uint32_t flowtab_ms(const struct flowtab *tab, struct timespec now);

#endif
