/*
 * Slow start: detects starts of targets, ramps up the share of the load that a started target may
 * get, and limits its openings to that share.
 */
#include "target-internal.h"

#define PERMILLE 1000

/*
 * Limits the rate of openings to a starting target: its share of the rate that would fill a warm
 * target in this time. Sessions are long, so a burst of flows on a cold target does not drain.
 */
#define WARM_FILL_S 10

/* Maximum burst of openings to a starting target. */
#define START_BURST_OPENINGS 2

/* A reported start that is later than the known one by less than this is the same start. */
#define SAME_START_MS 2000

/*
 * A marker that changes more often than this within the window is not taken for a start marker: a
 * faulty health endpoint must not keep its target at a tenth of its load permanently.
 */
#define MARKER_CHANGES_MAX 3
#define MARKER_WINDOW_MS   (10 * 60 * MSEC_PER_SEC)

/* Evidence of a start this soon after a known start belongs to that one. */
#define NEXT_START_MIN_MS 5000

uint32_t slow_start_share(const struct target *tgt, struct timespec now)
{
	int64_t elapsed;

	if (!tgt->slow.active || !tgt->warmup_ms)
		return PERMILLE;
	elapsed = ts_diff_ms(now, tgt->slow.began);
	if (elapsed >= tgt->warmup_ms)
		return PERMILLE;
	return SLOW_START_MIN_PERMILLE +
	       (uint32_t)((PERMILLE - SLOW_START_MIN_PERMILLE) * MAX(elapsed, 0) / tgt->warmup_ms);
}

void slow_start_begin(struct targets *tgs, struct ctx *ctx, struct target *tgt, struct timespec at)
{
	struct slow_start *slow = &tgt->slow;

	if (!tgt->warmup_ms || ts_diff_ms(ctx->now, at) >= tgt->warmup_ms)
		return;
	slow->active = true;
	slow->began = at;
	slow->flows_before = tgt->flows;
	/* A random initial credit keeps the homes from all sending their first opening at once. */
	slow->credit.milli = random_below(ctx->random, BUDGET_TOKEN);
	slow->rate.milli = BUDGET_TOKEN;
	slow->rate.filled = ctx->now;
	tgt->opened_since_report = 0;
	ctx->counters->cold_starts++;
	health_make_urgent(tgs, ctx, tgt);
	/* Homes make the target's buckets shared now rather than at the next refresh. */
	targets_changed(tgs);
}

bool slow_start_marker(struct targets *tgs, struct ctx *ctx, struct target *tgt, uint32_t marker,
		       struct timespec at)
{
	struct slow_start *slow = &tgt->slow;

	if (!marker || marker == slow->marker)
		return false;
	if (!slow->marker) {
		slow->marker = marker;
		slow->marker_at = at;
		return false;
	}
	/* A late report may still carry the previous marker. */
	if (ts_cmp(at, slow->marker_at) <= 0 ||
	    (marker == slow->previous_marker &&
	     ts_diff_ms(at, slow->marker_at) < STATE_REPORT_MAX_AGE_MS))
		return false;
	slow->previous_marker = slow->marker;
	slow->marker = marker;
	slow->marker_at = at;
	if (!slow->marker_changes || ts_diff_ms(ctx->now, slow->marker_window) > MARKER_WINDOW_MS) {
		slow->marker_window = ctx->now;
		slow->marker_changes = 0;
	}
	if (++slow->marker_changes > MARKER_CHANGES_MAX)
		return false;
	slow_start_begin(tgs, ctx, tgt, at);
	return true;
}

void slow_start_assume(struct targets *tgs, struct ctx *ctx, struct target *tgt)
{
	struct slow_start *slow = &tgt->slow;

	/* For a while after a known start, flows of the previous process are still reset. */
	if (slow->active && ts_diff_ms(ctx->now, slow->began) < NEXT_START_MIN_MS)
		return;
	if (!slow->assumed || ts_diff_ms(ctx->now, slow->assumed_window) > MARKER_WINDOW_MS) {
		slow->assumed_window = ctx->now;
		slow->assumed = 0;
	}
	if (slow->assumed >= MARKER_CHANGES_MAX)
		return;
	slow->assumed++;
	slow_start_begin(tgs, ctx, tgt, ctx->now);
}

void slow_start_apply_share(struct targets *tgs, struct ctx *ctx, struct target *tgt,
			    uint32_t warm_percent)
{
	uint32_t least = SLOW_START_MIN_PERMILLE / 10;
	struct timespec began;
	int64_t elapsed;

	if (warm_percent >= 100 || warm_percent < least || !tgt->warmup_ms)
		return;
	elapsed = (int64_t)tgt->warmup_ms * (warm_percent - least) / (100 - least);
	began = ts_add_ms(ctx->now, -elapsed);
	if (ts_diff_ms(began, tgt->slow.began) < SAME_START_MS + (int64_t)tgt->warmup_ms / 20)
		return;
	slow_start_begin(tgs, ctx, tgt, began);
}

void slow_start_offered(struct target *tgt, struct timespec now)
{
	if (tgt->slow.active)
		budget_add(&tgt->slow.credit, slow_start_share(tgt, now),
			   START_BURST_OPENINGS * BUDGET_TOKEN);
}

bool slow_start_admits(struct targets *tgs, struct target *tgt, struct timespec now)
{
	uint32_t share = slow_start_share(tgt, now);
	uint32_t homes = MAX(members_count(tgs->mem), 1);
	uint64_t instance_limit = (uint64_t)tgt->max_flows * share / homes;
	uint32_t flows = tgt->flows - MIN(tgt->flows, tgt->slow.flows_before) + tgt->charges;

	if (share == PERMILLE)
		return true;
	budget_fill(&tgt->slow.rate, now, (int64_t)instance_limit / WARM_FILL_S,
		    START_BURST_OPENINGS * BUDGET_TOKEN);
	return budget_has(&tgt->slow.credit) && budget_has(&tgt->slow.rate) &&
	       (uint64_t)flows * PERMILLE < MAX(instance_limit, PERMILLE);
}

void slow_start_charge(struct target *tgt)
{
	if (!tgt->slow.active)
		return;
	tgt->slow.credit.milli -= BUDGET_TOKEN;
	tgt->slow.rate.milli -= BUDGET_TOKEN;
}

void slow_start_shed(struct target *tgt, struct timespec now)
{
	int64_t elapsed = ts_diff_ms(now, tgt->slow.began);

	if (tgt->slow.active && elapsed > 0)
		tgt->slow.began = ts_add_ms(now, -elapsed / 2);
}
