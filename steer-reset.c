/* Resets of openings and flows. */
#include "steer-internal.h"

const char *reset_reason_name(enum reset_reason reason)
{
	static const char *const names[] = {
		[RESET_NO_ROUTE] = "no_route",
		[RESET_NO_TARGET] = "no_target",
		[RESET_OVERLOADED] = "overloaded",
		[RESET_NO_ROOM] = "no_room",
		[RESET_ROUTE_WITHDRAWN] = "route_withdrawn",
		[RESET_TARGET_DEAD] = "target_dead",
		[RESET_TARGET_GONE] = "target_gone",
		[RESET_TARGET_RESTARTED] = "target_reborn",
	};

	return names[reason];
}

static uint64_t *reset_counter(struct edge_counters *cnt, enum reset_reason reason)
{
	switch (reason) {
	case RESET_NO_ROUTE:
		return &cnt->refused_no_route;
	case RESET_NO_TARGET:
		return &cnt->refused_no_target;
	case RESET_OVERLOADED:
		return &cnt->refused_overloaded;
	case RESET_NO_ROOM:
		return &cnt->refused_no_room;
	case RESET_ROUTE_WITHDRAWN:
		return &cnt->resets_route_withdrawn;
	case RESET_TARGET_DEAD:
		return &cnt->resets_target_dead;
	case RESET_TARGET_GONE:
		return &cnt->resets_target_gone;
	case RESET_TARGET_RESTARTED:
		break;
	}
	return &cnt->resets_target_reborn;
}

void steer_refuse_with(struct steer *st, const struct flow_addr *addr, uint32_t seq,
		       enum reset_reason reason, const struct reg_target *tgt, const char *figures,
		       struct timespec now)
{
	const struct route_rule *rule = routing_find(st->opts.routing, addr->service);
	char text[FLOW_TEXT_LEN];

	(*reset_counter(st->opts.counters, reason))++;
	st->opts.out->ops->reset(st->opts.out, addr, seq);
	decision_log(
		DECISION_REFUSE, now,
		"flow=%s reason=%s target=%s response_ms=%u goal_ms=%u priority=%u config=%llu "
		"config_age_ms=%lld%s",
		flow_text(addr, text), reset_reason_name(reason), tgt ? tgt->id->str : "",
		tgt ? response_time_ms(&tgt->responses, now) : 0,
		rule ? rule->admission.goal_ms : 0, rule ? rule->admission.priority : 0,
		(unsigned long long)routing_version(st->opts.routing),
		(long long)ts_diff_ms(now, routing_commit_time(st->opts.routing)), figures);
}

void steer_refuse(struct steer *st, const struct flow_addr *addr, uint32_t seq,
		  enum reset_reason reason, const struct reg_target *tgt, struct timespec now)
{
	steer_refuse_with(st, addr, seq, reason, tgt, "", now);
}

static bool target_failed(enum reset_reason reason)
{
	return reason == RESET_TARGET_DEAD || reason == RESET_TARGET_GONE ||
	       reason == RESET_TARGET_RESTARTED;
}

void steer_reset_flow(struct steer *st, struct steer_flow *flow, enum reset_reason reason,
		      struct timespec now)
{
	char text[FLOW_TEXT_LEN];

	if (flow->state == FLOW_CLOSED)
		return;
	(*reset_counter(st->opts.counters, reason))++;
	st->opts.out->ops->reset(st->opts.out, &flow->addr, flow->ack);
	decision_log(DECISION_RESET, now,
		     "flow=%s request=%s reason=%s target=%s age_ms=%lld idle_ms=%lld busy=%d "
		     "target_silent_ms=%lld config=%llu",
		     flow_text(&flow->addr, text), flow->request, reset_reason_name(reason),
		     flow->target ? flow->target->id->str : "",
		     (long long)ts_diff_ms(now, flow->started),
		     (long long)ts_diff_ms(now, flow->last_packet), flow->busy,
		     (long long)target_silent_ms(flow->target, now),
		     (unsigned long long)routing_version(st->opts.routing));
	if (flow->credit)
		steer_credit_end(st, flow, target_failed(reason), now);
	steer_flow_drop_opening(st, flow);
	flow->was_reset = true;
	steer_flow_set_state(st, flow, FLOW_CLOSED);
	steer_flow_touch(st, flow, now);
}

void steer_reset_target_flows(struct steer *st, struct reg_target *tgt, enum reset_reason reason,
			      struct timespec now)
{
	GList *next;

	if (!st->opts.resets)
		return;
	for (GList *link = tgt->flows.head; link; link = next) {
		struct steer_flow *flow = link->data;

		next = link->next;
		/* Openings are retried on other targets; only established flows are reset. */
		if (flow->state == FLOW_OPEN)
			steer_reset_flow(st, flow, reason, now);
	}
}
