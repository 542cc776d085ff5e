#include "steer-internal.h"

/* Interval at which waiting openings are tried; a request takes a target 15 ms or more. */
#define PASS_INTERVAL_MS 20
/* Openings without a free target after which a pass ends, to bound its work. */
#define PASS_MISSES_MAX 8
/*
 * Openings and requests in progress for each slot of a target up to which this instance sends it
 * waiting openings, so that the first target to return is not flooded.
 */
#define WAITING_PER_SLOT 2

uint32_t steer_waiting_count(const struct steer *st)
{
	return st->waiting.count;
}

bool steer_wait_has_queue(const struct steer *st, struct endpoint service)
{
	return waiting_for(&st->waiting, service);
}

void steer_wait_end_outage(struct steer *st, struct endpoint service, struct timespec now)
{
	waiting_end_outage(&st->waiting, service, now);
}

static void refuse_waiting(struct steer *st, struct steer_flow *flow, enum reset_reason reason,
			   struct timespec now)
{
	steer_refuse(st, &flow->addr, flow->ack, reason, NULL, now);
	steer_flow_remove(st, flow, now);
}

/* Queues the opening, if necessary in place of a less important one, which is refused. */
static bool enqueue(struct steer *st, struct waiting_item *item, struct timespec now)
{
	struct steer_flow *other;

	if (waiting_add(&st->waiting, item))
		return true;
	other = waiting_latest_below(&st->waiting, item->priority);
	if (!other)
		return false;
	refuse_waiting(st, other, RESET_NO_TARGET, now);
	return waiting_add(&st->waiting, item);
}

bool steer_wait_begin(struct steer *st, struct steer_flow *flow, const struct route_rule *rule,
		      struct timespec now)
{
	const struct outage *outage = waiting_outage(&st->waiting, flow->addr.service, now);
	int64_t outage_ms = ts_diff_ms(now, outage->since);
	struct waiting_item *item = &flow->opening->waiting;
	char text[FLOW_TEXT_LEN];

	*item = (struct waiting_item){
		.link = { .data = flow },
		.service = flow->addr.service,
		.priority = rule->admission.priority,
		.size = sizeof(*flow) + sizeof(*flow->opening) + flow->opening->size,
		.since = flow->started,
	};
	if (!placing_has_listed(st->opts.placing, rule) ||
	    !waiting_is_worthwhile(&rule->admission, outage_ms) || !enqueue(st, item, now))
		return false;
	st->opts.counters->openings_waited++;
	if (st->waiting.count == 1)
		st->next_waiting_pass = ts_add_ms(now, PASS_INTERVAL_MS);
	decision_log(DECISION_WAIT, now,
		     "flow=%s outage_ms=%lld limit_ms=%lld priority=%u waiting=%u config=%llu",
		     flow_text(&flow->addr, text), (long long)outage_ms,
		     (long long)waiting_limit_ms(&rule->admission), item->priority,
		     st->waiting.count, (unsigned long long)routing_version(st->opts.routing));
	return true;
}

static bool has_room(const struct reg_target *tgt)
{
	return tgt->unaccepted + tgt->busy_flows < WAITING_PER_SLOT * tgt->slots;
}

/* Sends the opening to a target with room. Returns false if there is none for it. */
static bool place_waiting(struct steer *st, struct steer_flow *flow, const struct route_rule *rule,
			  struct timespec now)
{
	struct placing_request req = {
		.rule = rule,
		.now = now,
		.flow_digest = steer_flow_digest(&flow->addr),
	};
	struct reg_target *tgt = placing_choose(st->opts.placing, &req);

	if (!tgt || !has_room(tgt))
		return false;
	waiting_remove(&st->waiting, &flow->opening->waiting);
	waiting_end_outage(&st->waiting, flow->addr.service, now);
	st->opts.counters->openings_placed_late++;
	steer_send_opening(st, flow, tgt, "waited", now);
	return true;
}

/* Whether the opening is past its limit, or the outage has become so long that it has no chance. */
static bool wait_is_over(struct steer *st, const struct steer_flow *flow,
			 const struct route_rule *rule, struct timespec now)
{
	const struct outage *outage = waiting_outage(&st->waiting, flow->addr.service, now);

	return !placing_has_listed(st->opts.placing, rule) ||
	       ts_diff_ms(now, flow->opening->waiting.since) >=
		       waiting_limit_ms(&rule->admission) ||
	       !waiting_is_worthwhile(&rule->admission, ts_diff_ms(now, outage->since));
}

static void waiting_pass(struct steer *st, struct timespec now)
{
	unsigned int misses = 0;
	GList *next;

	for (size_t i = 0; i < WAITING_PRIORITIES; i++) {
		for (GList *link = st->waiting.by_priority[i].tail; link; link = next) {
			struct steer_flow *flow = link->data;
			const struct route_rule *rule =
				routing_find(st->opts.routing, flow->addr.service);

			next = link->prev;
			if (!rule)
				refuse_waiting(st, flow, RESET_NO_ROUTE, now);
			else if (wait_is_over(st, flow, rule, now))
				refuse_waiting(st, flow, RESET_NO_TARGET, now);
			else if (misses < PASS_MISSES_MAX && !place_waiting(st, flow, rule, now))
				misses++;
		}
	}
}

void steer_stop(struct steer *st, struct timespec now)
{
	if (st->credit)
		steer_credit_stop(st, now);
	for (size_t i = 0; i < WAITING_PRIORITIES; i++) {
		struct steer_flow *flow;

		while ((flow = g_queue_peek_head(&st->waiting.by_priority[i])))
			refuse_waiting(st, flow, RESET_NO_TARGET, now);
	}
}

int64_t steer_wait_due_ms(const struct steer *st, struct timespec now)
{
	return st->waiting.count ? ts_diff_ms(st->next_waiting_pass, now) : INT64_MAX;
}

void steer_wait_timer(struct steer *st, struct timespec now)
{
	if (!st->waiting.count || ts_cmp(now, st->next_waiting_pass) < 0)
		return;
	st->next_waiting_pass = ts_add_ms(now, PASS_INTERVAL_MS);
	waiting_pass(st, now);
}
