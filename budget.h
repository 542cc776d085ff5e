/* Token buckets in thousandths of a token, filled by time or by events, with a bounded burst. */
#ifndef BUDGET_H
#define BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "timeutil.h"

#define BUDGET_TOKEN 1000 /* one token, in thousandths */

struct budget {
	int64_t milli;
	struct timespec filled; /* only for budgets that fill by time */
};

static inline void budget_add(struct budget *bud, int64_t milli, int64_t max_milli)
{
	bud->milli = MIN(bud->milli + milli, max_milli);
}

/* Adds @milli_per_s for the time since the last call. */
static inline void budget_fill(struct budget *bud, struct timespec now, int64_t milli_per_s,
			       int64_t max_milli)
{
	int64_t ms = ts_diff_ms(now, bud->filled);
	int64_t add = MIN(ms, 60 * MSEC_PER_SEC) * milli_per_s / MSEC_PER_SEC;

	if (add <= 0)
		return;
	budget_add(bud, add, max_milli);
	bud->filled = now;
}

static inline bool budget_has(const struct budget *bud)
{
	return bud->milli >= BUDGET_TOKEN;
}

static inline bool budget_take(struct budget *bud)
{
	if (!budget_has(bud))
		return false;
	bud->milli -= BUDGET_TOKEN;
	return true;
}

#endif
