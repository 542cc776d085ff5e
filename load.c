/* Load of targets: own counts, reports weighted by age, shedding, and the choice of a target. */
#include "target-internal.h"

#define PERMILLE 1000

/*
 * Limit of an instance for flows of a target: its even part times this factor, because shards and
 * openings do not divide evenly over a few instances.
 */
#define INSTANCE_LIMIT_FACTOR_PERMILLE 1250
#define INSTANCE_LIMIT_MIN_FLOWS       2

/* Unanswered openings that a target may have for each of its slots; more mean a growing queue. */
#define UNANSWERED_MAX_PER_SLOT 32

/* A load that stayed the same in so many reports is ignored when own counts differ by this much. */
#define FROZEN_LOAD_REPORTS	      10
#define FROZEN_LOAD_MISMATCH_PERMILLE 200 /* of the limit */

/* The alternate is preferred when its load is lower by this, in 1/1000 of the limit. */
#define ALTERNATE_MARGIN_PERMILLE 100

#define SHED_BACKOFF_MIN_MS 200
#define SHED_BACKOFF_MAX_MS 5000

/* Sheds in a row, by a target below this load in 1/1000, that show a cold start. */
#define COLD_START_SHEDS	     3
#define COLD_START_MAX_LOAD_PERMILLE 500
#define COLD_START_SHED_GAP_MS	     1000

/*
 * Resets of open flows within the window, without another answer between them, that show that a
 * target lost its flows. A single one is normal: the target closed the flow or never had it.
 */
#define COLD_START_RESETS	    3
#define COLD_START_RESETS_WINDOW_MS 1000

#define PASSIVE_DOWN_AFTER_MS 1000
#define PASSIVE_DOWN_MIN_MS   2000
#define PASSIVE_DOWN_MAX_MS   30000

/* A charge expires after this time: by then, the instance that sent the opening counts the flow. */
#define CHARGE_MAX_AGE_MS 1000

static uint32_t own_flows(const struct target *tgt, struct timespec now)
{
	return tgt->flows +
	       (ts_diff_ms(now, tgt->charges_at) < CHARGE_MAX_AGE_MS ? tgt->charges : 0);
}

/* Part of the target's flow limit that this instance may use. */
static uint32_t instance_limit(const struct targets *tgs, const struct target *tgt)
{
	uint32_t homes = MAX(members_count(tgs->mem), 1);
	uint64_t part =
		(uint64_t)tgt->max_flows * INSTANCE_LIMIT_FACTOR_PERMILLE / PERMILLE / homes;

	if (homes == 1)
		return tgt->max_flows;
	return (uint32_t)MIN(MAX(part, INSTANCE_LIMIT_MIN_FLOWS), tgt->max_flows);
}

/* Load in 1/1000 by own flows times members, as the fabric spreads openings evenly. */
static uint32_t own_permille(const struct targets *tgs, const struct target *tgt,
			     struct timespec now)
{
	uint64_t total = (uint64_t)own_flows(tgt, now) * MAX(members_count(tgs->mem), 1);

	return (uint32_t)MIN(total * PERMILLE / MAX(tgt->max_flows, 1), UINT16_MAX);
}

/* The latest report unless own counts contradict it. */
static const struct report *credible_report(const struct targets *tgs, const struct target *tgt,
					    struct timespec now)
{
	const struct report *report = health_load(tgt, now);
	int64_t mismatch;

	if (!report)
		return NULL;
	mismatch = (int64_t)report->load_permille - own_permille(tgs, tgt, now);
	if (report->same_reports >= FROZEN_LOAD_REPORTS &&
	    ABS(mismatch) > FROZEN_LOAD_MISMATCH_PERMILLE)
		return NULL;
	return report;
}

uint32_t load_estimate(const struct targets *tgs, const struct target *tgt, struct timespec now)
{
	const struct report *report = credible_report(tgs, tgt, now);
	uint32_t own = own_permille(tgs, tgt, now);
	uint32_t reported, min_load;
	int64_t weight;

	if (!report)
		return own;
	/* The target has at least the flows that this instance opened, whatever it reports. */
	min_load = (uint32_t)((uint64_t)own_flows(tgt, now) * PERMILLE / MAX(tgt->max_flows, 1));
	reported =
		MAX(report->load_permille, min_load) +
		(uint32_t)((uint64_t)tgt->opened_since_report * PERMILLE / MAX(tgt->max_flows, 1));
	weight = LOAD_REPORT_MAX_AGE_MS - ts_diff_ms(now, report->at);
	weight = CLAMP(weight, 0, LOAD_REPORT_MAX_AGE_MS);
	return (uint32_t)((own * (2 * LOAD_REPORT_MAX_AGE_MS - weight) + reported * weight) /
			  (2 * LOAD_REPORT_MAX_AGE_MS));
}

bool load_has_capacity(const struct targets *tgs, const struct target *tgt, struct timespec now)
{
	const struct report *report;
	uint32_t part = instance_limit(tgs, tgt);
	uint64_t headroom;

	if (ts_cmp(now, tgt->backoff_end) < 0 || own_flows(tgt, now) >= part)
		return false;
	if (tgt->unanswered >= MAX(tgt->slots, 1) * UNANSWERED_MAX_PER_SLOT &&
	    ts_diff_ms(now, tgt->first_unanswered) < PASSIVE_DOWN_MAX_MS)
		return false;
	report = credible_report(tgs, tgt, now);
	if (!report)
		return true;
	if (report->load_permille >= PERMILLE)
		return false;
	/* Until the next report, the members divide the capacity that the last one left free. */
	headroom = (uint64_t)(PERMILLE - report->load_permille) * part / PERMILLE;
	return tgt->opened_since_report < MAX(headroom, 1);
}

static bool can_take_flow(struct targets *tgs, struct target *tgt, struct timespec now)
{
	return tgt && tgt->eligible && load_has_capacity(tgs, tgt, now) &&
	       slow_start_admits(tgs, tgt, now);
}

static void charge(struct target *tgt, struct timespec now)
{
	if (ts_diff_ms(now, tgt->charges_at) >= CHARGE_MAX_AGE_MS) {
		tgt->charges = 0;
		tgt->charges_at = now;
	}
	tgt->charges++;
	slow_start_charge(tgt);
}

uint32_t target_choose(struct targets *tgs, struct ctx *ctx, uint32_t current, uint32_t alternate)
{
	struct target *cur = target_find(tgs, current);
	struct target *alt = alternate == current ? NULL : target_find(tgs, alternate);
	struct target *chosen;
	bool cur_ok, alt_ok;

	if (cur)
		slow_start_offered(cur, ctx->now);
	cur_ok = can_take_flow(tgs, cur, ctx->now);
	alt_ok = can_take_flow(tgs, alt, ctx->now);
	chosen = cur_ok ? cur : NULL;
	if (alt_ok && (!cur_ok || (!alt->slow.active && load_estimate(tgs, cur, ctx->now) >
								load_estimate(tgs, alt, ctx->now) +
									ALTERNATE_MARGIN_PERMILLE)))
		chosen = alt;
	if (!chosen)
		return TARGET_NONE;
	charge(chosen, ctx->now);
	return chosen->index;
}

static void record_answer(struct target *tgt, struct timespec now)
{
	tgt->last_answer = now;
	tgt->unanswered = 0;
}

void target_opened(struct targets *tgs, struct ctx *ctx, uint32_t target)
{
	struct target *tgt = target_find(tgs, target);
	struct service_state *svc;
	struct service *conf;

	if (!tgt)
		return;
	tgt->flows++;
	tgt->opened_since_report++;
	if (tgt->charges)
		tgt->charges--;
	if (!tgt->unanswered++)
		tgt->first_unanswered = ctx->now;
	svc = tgt->svc;
	if (svc && config_target_by_index(tgs->cfg, target, &conf))
		budget_add(&svc->retries, (int64_t)BUDGET_TOKEN * conf->retry_permille / PERMILLE,
			   RETRY_BURST_TOKENS * BUDGET_TOKEN);
	/*
	 * Answers may come back through any member, so one member sees a part of them. With five
	 * openings for each member, it is unlikely that all answers went to other members.
	 */
	if (tgt->passive_down ||
	    tgt->unanswered < OPENINGS_UNANSWERED_DOWN * MAX(members_count(tgs->mem), 1) ||
	    ts_diff_ms(ctx->now, tgt->first_unanswered) < PASSIVE_DOWN_AFTER_MS)
		return;
	tgt->passive_down = true;
	tgt->passive_ms = CLAMP(tgt->passive_ms * 2, PASSIVE_DOWN_MIN_MS, PASSIVE_DOWN_MAX_MS);
	tgt->passive_end = ts_add_ms(ctx->now, tgt->passive_ms);
	targets_changed(tgs);
}

void target_accepted(struct targets *tgs, struct ctx *ctx, uint32_t target)
{
	struct target *tgt = target_find(tgs, target);

	if (!tgt)
		return;
	record_answer(tgt, ctx->now);
	tgt->last_accept = ctx->now;
	tgt->sheds = 0;
	tgt->backoff_ms = 0;
	tgt->passive_ms = 0;
}

/*
 * Whether most other targets of the service do not shed. When all of them do, the load is too high;
 * slow starts would then cut the capacity to a tenth when it is needed most.
 */
static bool others_accept(const struct targets *tgs, const struct target *tgt, struct timespec now)
{
	uint32_t all = 0, shedding = 0;

	for (guint i = 0; i < tgs->list->len; i++) {
		const struct target *other = g_ptr_array_index(tgs->list, i);

		if (!other || other == tgt || !other->eligible || other->svc != tgt->svc)
			continue;
		all++;
		shedding += (other->last_shed.tv_sec || other->last_shed.tv_nsec) &&
			    ts_diff_ms(now, other->last_shed) < SHED_BACKOFF_MAX_MS;
	}
	return shedding * 3 <= all;
}

void target_shed(struct targets *tgs, struct ctx *ctx, uint32_t target)
{
	struct target *tgt = target_find(tgs, target);
	struct timespec now = ctx->now;

	if (!tgt)
		return;
	record_answer(tgt, now);
	if (tgt->slow.active && ts_diff_ms(now, tgt->last_shed) >= COLD_START_SHED_GAP_MS)
		slow_start_shed(tgt, now);
	tgt->last_shed = now;
	tgt->sheds++;
	/* Sheds of openings that were in flight together count once. */
	if (ts_cmp(now, tgt->backoff_end) < 0)
		return;
	tgt->backoff_ms = CLAMP(tgt->backoff_ms * 2, SHED_BACKOFF_MIN_MS, SHED_BACKOFF_MAX_MS);
	tgt->backoff_end =
		ts_add_ms(now, tgt->backoff_ms / 2 + random_below(ctx->random, tgt->backoff_ms));
	if (tgt->sheds >= COLD_START_SHEDS && !tgt->slow.active &&
	    own_permille(tgs, tgt, now) < COLD_START_MAX_LOAD_PERMILLE &&
	    others_accept(tgs, tgt, now))
		slow_start_begin(tgs, ctx, tgt, now);
	targets_changed(tgs);
}

void target_closed(struct targets *tgs, struct ctx *ctx, uint32_t target)
{
	struct target *tgt = target_find(tgs, target);

	(void)ctx;
	if (tgt && tgt->flows)
		tgt->flows--;
}

void target_answered(struct targets *tgs, struct ctx *ctx, uint32_t target)
{
	struct target *tgt = target_find(tgs, target);

	if (!tgt)
		return;
	record_answer(tgt, ctx->now);
	tgt->resets = 0;
}

void target_reset(struct targets *tgs, struct ctx *ctx, uint32_t target)
{
	struct target *tgt = target_find(tgs, target);

	if (!tgt)
		return;
	record_answer(tgt, ctx->now);
	if (!tgt->resets || ts_diff_ms(ctx->now, tgt->first_reset) > COLD_START_RESETS_WINDOW_MS) {
		tgt->resets = 0;
		tgt->first_reset = ctx->now;
	}
	if (++tgt->resets >= COLD_START_RESETS)
		slow_start_assume(tgs, ctx, tgt);
}

void target_outcome(struct targets *tgs, uint32_t target, enum flow_outcome outcome)
{
	struct target *tgt = target_find(tgs, target);

	if (!tgt)
		return;
	if (outcome == FLOW_GOOD && tgt->good_to_skip)
		tgt->good_to_skip--;
	else if (outcome == FLOW_GOOD)
		tgt->good++;
	else if (outcome != FLOW_SHED)
		/* Bounded, as stray packets can end flows that were never counted as good. */
		tgt->good_to_skip = MIN(tgt->good_to_skip + 1, tgt->good);
	if (outcome == FLOW_SHED || outcome == FLOW_TERMINATED)
		tgt->bad++;
}

struct timespec target_last_answer(const struct targets *tgs, uint32_t target)
{
	const struct target *tgt = target_find(tgs, target);

	return tgt ? tgt->last_answer : (struct timespec){ 0, 0 };
}
