#include "steer.h"

#include <stddef.h>
#include <string.h>

#include "steer-internal.h"

#define SWEEP_INTERVAL_MS 1000
/*
 * Shorter answers are no samples of the response time: they may be rejections, which a full target
 * sends at once. An HTTP answer without a body takes some 200 bytes.
 */
#define SHORT_ANSWER_BYTES 256
/* Data repeated sooner than this is no retransmission; callers retransmit after 200 ms. */
#define RETRANSMIT_MIN_MS 150
/*
 * Targets that are gone are kept for as long as a flow may last (max_flow_s is 60 in deployments),
 * so that the marks of their flows can still be resolved.
 */
#define GONE_TARGET_KEEP_MS 60000

static void send_to(struct steer *st, const struct reg_target *tgt, struct endpoint service,
		    const uint8_t *bytes, size_t size)
{
	st->opts.counters->packets_forwarded++;
	st->opts.out->ops->forward(st->opts.out, tgt, registry_mark(tgt, service), bytes, size);
}

static void refuse_packet(struct steer *st, const struct caller_packet *pkt,
			  enum reset_reason reason, const struct reg_target *tgt,
			  struct timespec now)
{
	struct flow_addr addr = { pkt->caller, pkt->service };

	steer_refuse(st, &addr, pkt->ack, reason, tgt, now);
}

static void queue_verify(struct steer *st, struct steer_flow *flow, struct timespec now)
{
	struct opening *op = flow->opening;

	op->verify_link.data = flow;
	op->verify_due = ts_add_ms(now, st->opts.verify_ms);
	op->verify_queued = true;
	g_queue_push_tail_link(&st->unverified, &op->verify_link);
}

void steer_send_opening_with(struct steer *st, struct steer_flow *flow, struct reg_target *tgt,
			     const char *why, const char *figures, struct timespec now)
{
	struct opening *op = flow->opening;
	char text[FLOW_TEXT_LEN];

	op->tried[op->nr_tried] = tgt;
	op->sent[op->nr_tried++] = now;
	tgt->unaccepted++;
	if (!flow->target)
		steer_flow_set_target(flow, tgt);
	if (st->credit)
		steer_credit_sent(st, flow, tgt, now);
	decision_log(DECISION_OPEN, now,
		     "flow=%s target=%s why=%s try=%zu open=%u busy=%u response_ms=%u trust=%s "
		     "config=%llu target_age_ms=%lld%s",
		     flow_text(&flow->addr, text), tgt->id->str, why, op->nr_tried, tgt->open_flows,
		     tgt->busy_flows, response_time_ms(&tgt->responses, now),
		     target_trust_name(tgt->trust),
		     (unsigned long long)routing_version(st->opts.routing),
		     (long long)ts_diff_ms(now, tgt->changed), figures);
	send_to(st, tgt, flow->addr.service, op->bytes, op->size);
	if (op->nr_tried == 1 && st->opts.verify_ms)
		queue_verify(st, flow, now);
}

void steer_send_opening(struct steer *st, struct steer_flow *flow, struct reg_target *tgt,
			const char *why, struct timespec now)
{
	steer_send_opening_with(st, flow, tgt, why, "", now);
}

void steer_send_untracked(struct steer *st, const struct caller_packet *pkt,
			  const struct reg_target *tgt)
{
	/* Later packets are forwarded by their mark alone. */
	st->opts.counters->flows_untracked++;
	send_to(st, tgt, pkt->service, pkt->bytes, pkt->size);
}

/* Sends the opening to a target not yet tried. Returns false when there is none. */
static bool try_target(struct steer *st, struct steer_flow *flow, const struct route_rule *rule,
		       const char *why, struct timespec now)
{
	const struct opening *op = flow->opening;
	struct placing_request req = { .rule = rule, .now = now };
	struct reg_target *tgt;

	if (op->nr_tried == PLACING_MAX_TRIED)
		return false;
	memcpy(req.tried, op->tried, sizeof(req.tried));
	req.nr_tried = op->nr_tried;
	req.flow_digest = steer_flow_digest(&flow->addr);
	tgt = placing_choose(st->opts.placing, &req);
	if (tgt)
		steer_send_opening(st, flow, tgt, why, now);
	return tgt;
}

/* The target for a new opening, or NULL. Adds overloaded targets to req->tried. */
static struct reg_target *admit(struct steer *st, struct placing_request *req)
{
	struct reg_target *tgt;

	while (req->nr_tried < PLACING_MAX_TRIED) {
		tgt = placing_choose(st->opts.placing, req);
		if (!tgt || !admission_refuses(&req->rule->admission,
					       response_time_ms(&tgt->responses, req->now),
					       req->flow_digest))
			return tgt;
		req->tried[req->nr_tried++] = tgt;
	}
	return NULL;
}

/* NULL while the opening waits for a usable target. */
static struct reg_target *last_tried(const struct opening *op)
{
	return op->nr_tried ? op->tried[op->nr_tried - 1] : NULL;
}

static void suspect_last_tried(struct steer *st, const struct opening *op, struct timespec now)
{
	suspicion_note_stall(st, last_tried(op), op->sent[op->nr_tried - 1], now);
}

/*
 * While the store is unreachable, a target that accepts connections but has not answered any flow
 * since the opening was sent may be a different one that reuses the address.
 */
static bool may_be_replaced(const struct steer *st, const struct opening *op,
			    const struct reg_target *tgt)
{
	return st->store_lost && ts_cmp(tgt->last_answer, op->sent[op->nr_tried - 1]) < 0;
}

/* Sends a retransmitted opening to the same target, or to another one if that has become unfit. */
static void resend_opening(struct steer *st, struct steer_flow *flow, const struct route_rule *rule,
			   struct timespec now)
{
	struct opening *op = flow->opening;
	struct reg_target *tgt = last_tried(op);

	st->opts.counters->opening_copies++;
	steer_flow_touch(st, flow, now);
	if (!tgt)
		return;
	suspect_last_tried(st, op, now);
	if ((tgt->trust != TRUST_ALIVE || tgt->phase != TARGET_READY ||
	     may_be_replaced(st, op, tgt)) &&
	    try_target(st, flow, rule, "copy", now)) {
		st->opts.counters->openings_moved++;
		return;
	}
	send_to(st, last_tried(op), flow->addr.service, op->bytes, op->size);
}

void steer_move_openings(struct steer *st, struct reg_target *tgt, struct timespec now)
{
	for (GList *link = st->by_state[FLOW_OPENING].head; link; link = link->next) {
		struct steer_flow *flow = link->data;
		const struct route_rule *rule;

		if (last_tried(flow->opening) != tgt)
			continue;
		rule = routing_find(st->opts.routing, flow->addr.service);
		if (rule && try_target(st, flow, rule, "moved", now))
			st->opts.counters->openings_moved++;
	}
}

void steer_place_uncredited(struct steer *st, struct steer_flow *flow,
			    const struct route_rule *rule, struct timespec now)
{
	struct placing_request req = {
		.rule = rule,
		.now = now,
		.flow_digest = steer_flow_digest(&flow->addr),
	};
	struct reg_target *tgt = NULL;

	if (!steer_wait_has_queue(st, flow->addr.service))
		tgt = admit(st, &req);
	if (tgt) {
		steer_wait_end_outage(st, flow->addr.service, now);
		steer_send_opening(st, flow, tgt, "waited", now);
		return;
	}
	if (!req.nr_tried && steer_wait_begin(st, flow, rule, now))
		return;
	steer_refuse(st, &flow->addr, flow->ack, req.nr_tried ? RESET_OVERLOADED : RESET_NO_TARGET,
		     req.nr_tried ? req.tried[req.nr_tried - 1] : NULL, now);
	steer_flow_remove(st, flow, now);
}

static void place_opening(struct steer *st, const struct caller_packet *pkt,
			  const struct route_rule *rule, struct timespec now)
{
	struct flow_addr addr = { pkt->caller, pkt->service };
	struct placing_request req = {
		.rule = rule,
		.now = now,
		.flow_digest = steer_flow_digest(&addr),
	};
	struct reg_target *tgt = NULL;
	struct steer_flow *flow;

	st->opts.counters->openings++;
	histogram_add(&st->target_list_ages, ts_diff_ms(now, *st->opts.targets_confirmed));
	if (st->credit && steer_credit_place(st, pkt, rule, now))
		return;
	if (!steer_wait_has_queue(st, pkt->service))
		tgt = admit(st, &req);
	if (!tgt && req.nr_tried) {
		refuse_packet(st, pkt, RESET_OVERLOADED, req.tried[req.nr_tried - 1], now);
		return;
	}
	flow = steer_flow_add_opening(st, pkt, now);
	if (tgt) {
		steer_wait_end_outage(st, pkt->service, now);
		if (flow)
			steer_send_opening(st, flow, tgt, "first", now);
		else
			steer_send_untracked(st, pkt, tgt);
	} else if (!flow || !steer_wait_begin(st, flow, rule, now)) {
		refuse_packet(st, pkt, RESET_NO_TARGET, NULL, now);
		if (flow)
			steer_flow_remove(st, flow, now);
	}
}

static void handle_opening(struct steer *st, struct steer_flow *flow,
			   const struct caller_packet *pkt, struct timespec now)
{
	const struct route_rule *rule = routing_find(st->opts.routing, pkt->service);

	if (flow && flow->opening_seq == pkt->seq && flow->state == FLOW_OPENING && rule) {
		resend_opening(st, flow, rule, now);
		return;
	}
	if (flow && flow->opening_seq == pkt->seq && flow->state == FLOW_OPEN) {
		/* A late copy: the flow is open, so it may only go to the flow's own target. */
		send_to(st, flow->target, pkt->service, pkt->bytes, pkt->size);
		return;
	}
	if (flow)
		steer_flow_remove(st, flow, now);
	if (rule)
		place_opening(st, pkt, rule, now);
	else
		refuse_packet(st, pkt, RESET_NO_ROUTE, NULL, now);
}

/* The caller's next packet shows which of the tried targets accepted the opening. */
static void accept(struct steer *st, struct steer_flow *flow, struct reg_target *tgt,
		   struct timespec now)
{
	struct timespec sent = flow->started;
	struct opening *op = flow->opening;
	char text[FLOW_TEXT_LEN];

	for (size_t i = 0; op && i < op->nr_tried; i++) {
		if (op->tried[i] == tgt)
			sent = op->sent[i];
	}
	st->opts.counters->flows_accepted++;
	histogram_add(&st->accept_times, ts_diff_ms(now, flow->started));
	decision_log(DECISION_ACCEPT, now,
		     "flow=%s target=%s tries=%zu after_ms=%lld target_ms=%lld",
		     flow_text(&flow->addr, text), tgt->id->str, op ? op->nr_tried : 0,
		     (long long)ts_diff_ms(now, flow->started), (long long)ts_diff_ms(now, sent));
	steer_flow_drop_opening(st, flow);
	steer_flow_set_target(flow, tgt);
	if (flow->credit)
		steer_credit_accepted(st, flow, tgt, sent, now);
	steer_flow_set_state(st, flow, FLOW_OPEN);
	suspicion_note_answer(st, tgt, now);
}

static struct reg_target *only_tried(const struct steer_flow *flow)
{
	return flow->opening && flow->opening->nr_tried == 1 ? flow->opening->tried[0] : NULL;
}

/* Adds a flow that another instance opened, or whose entry this one no longer has. */
static struct steer_flow *adopt(struct steer *st, const struct caller_packet *pkt,
				struct reg_target *tgt, struct timespec now)
{
	struct flow_addr addr = { pkt->caller, pkt->service };
	struct steer_flow *flow = steer_flow_add(st, &addr, FLOW_OPEN, now);
	char text[FLOW_TEXT_LEN];

	st->opts.counters->flows_adopted++;
	if (!flow) {
		st->opts.counters->flows_untracked++;
		return NULL;
	}
	flow->opening_seq = pkt->seq - 1;
	flow->seq_end = pkt->seq;
	steer_flow_set_target(flow, tgt);
	decision_log(DECISION_ADOPT, now,
		     "flow=%s request=%.*s target=%s mark=%08x phase=%s trust=%s",
		     flow_text(&addr, text), (int)MIN(pkt->request_len, (size_t)REQUEST_ID_BYTES),
		     pkt->request ? pkt->request : "", tgt->id->str, pkt->mark,
		     target_phase_name(tgt->phase), target_trust_name(tgt->trust));
	if (pkt->len)
		suspicion_note_adoption(st, tgt, now);
	return flow;
}

static void log_stall(const struct steer *st, const struct steer_flow *flow, struct timespec now)
{
	char text[FLOW_TEXT_LEN];

	decision_log(
		DECISION_STALL, now,
		"flow=%s request=%s target=%s unanswered_ms=%lld target_silent_ms=%lld trust=%s "
		"phase=%s config=%llu",
		flow_text(&flow->addr, text), flow->request, flow->target->id->str,
		(long long)ts_diff_ms(now, flow->unanswered_since),
		(long long)target_silent_ms(flow->target, now),
		target_trust_name(flow->target->trust), target_phase_name(flow->target->phase),
		(unsigned long long)routing_version(st->opts.routing));
}

/* Updates the flow from a packet: progress of the target, new data or retransmitted data. */
static void track_progress(struct steer *st, struct steer_flow *flow,
			   const struct caller_packet *pkt, struct timespec now)
{
	uint32_t end = pkt->seq + pkt->len;

	if (!flow->has_ack || (int32_t)(pkt->ack - flow->ack) > 0) {
		if (flow->has_ack)
			suspicion_note_answer(st, flow->target, now);
		if (flow->busy && flow->credit)
			steer_credit_answered(st, flow, pkt->ack - flow->ack < SHORT_ANSWER_BYTES,
					      now);
		if (flow->busy && pkt->ack - flow->ack >= SHORT_ANSWER_BYTES)
			response_time_add(&flow->target->responses,
					  ts_diff_ms(now, flow->unanswered_since), now);
		else
			flow->seq_end = pkt->seq;
		if (flow->busy && flow->has_ack && pkt->ack - flow->ack < SHORT_ANSWER_BYTES)
			suspicion_note_rejection(st, flow->target, now);
		flow->has_ack = true;
		flow->ack = pkt->ack;
		steer_flow_set_busy(flow, false);
	}
	if (!pkt->len)
		return;
	if (pkt->request)
		g_snprintf(flow->request, sizeof(flow->request), "%.*s", (int)pkt->request_len,
			   pkt->request);
	if ((int32_t)(end - flow->seq_end) > 0) {
		flow->seq_end = end;
		if (!flow->busy && flow->credit)
			steer_credit_request(st, flow, now);
		if (!flow->busy)
			flow->unanswered_since = now;
		steer_flow_set_busy(flow, true);
	} else if (flow->busy && ts_diff_ms(now, flow->unanswered_since) >= RETRANSMIT_MIN_MS) {
		log_stall(st, flow, now);
		suspicion_note_stall(st, flow->target, flow->unanswered_since, now);
		flow->unanswered_since = now;
	}
}

static void drop(struct steer *st, const struct caller_packet *pkt, const char *reason,
		 struct timespec now)
{
	struct flow_addr addr = { pkt->caller, pkt->service };
	char text[FLOW_TEXT_LEN];

	st->opts.counters->packets_dropped++;
	decision_log(DECISION_DROP, now, "flow=%s request=%.*s reason=%s mark=%08x config=%llu",
		     flow_text(&addr, text), (int)MIN(pkt->request_len, (size_t)REQUEST_ID_BYTES),
		     pkt->request ? pkt->request : "", reason, pkt->mark,
		     (unsigned long long)routing_version(st->opts.routing));
}

/*
 * Resets a flow whose route was withdrawn. A route that was never configured may belong to a newer
 * configuration than this instance has: such packets are still forwarded by their mark.
 */
static bool reset_withdrawn(struct steer *st, struct steer_flow *flow,
			    const struct caller_packet *pkt, struct timespec now)
{
	if (!routing_withdrawn(st->opts.routing, pkt->service))
		return false;
	if (flow)
		steer_reset_flow(st, flow, RESET_ROUTE_WITHDRAWN, now);
	else if (!pkt->rst)
		refuse_packet(st, pkt, RESET_ROUTE_WITHDRAWN, NULL, now);
	return true;
}

/* The target of a packet other than an opening, and its flow in *flow; NULL if unknown. */
static struct reg_target *find_target(struct steer *st, struct steer_flow **flow,
				      const struct caller_packet *pkt, struct timespec now)
{
	struct reg_target *marked = registry_by_mark(st->opts.registry, pkt->mark, pkt->service);

	if (*flow && (*flow)->state != FLOW_OPENING)
		return (*flow)->target;
	if (*flow) {
		if (!marked)
			marked = only_tried(*flow);
		if (marked)
			accept(st, *flow, marked, now);
	} else if (marked) {
		*flow = adopt(st, pkt, marked, now);
	}
	return marked;
}

/* Resets a flow, as adopted from another instance, whose target was found dead before. */
static bool reset_dead(struct steer *st, struct steer_flow *flow, const struct caller_packet *pkt,
		       struct timespec now)
{
	if (flow->target->trust != TRUST_DEAD || !st->opts.resets || pkt->rst)
		return false;
	steer_reset_flow(st, flow, RESET_TARGET_DEAD, now);
	return true;
}

static void end_credit(struct steer *st, struct steer_flow *flow, const struct caller_packet *pkt,
		       struct timespec now)
{
	if (pkt->rst)
		steer_credit_end(st, flow, false, now);
	else
		steer_credit_half_closed(st, flow, now);
}

/* The credit of a request that was in progress when the caller closed its side of the flow. */
static void track_half_closed(struct steer *st, struct steer_flow *flow,
			      const struct caller_packet *pkt, struct timespec now)
{
	if (pkt->rst)
		steer_credit_end(st, flow, false, now);
	else if ((int32_t)(pkt->ack - flow->ack) > 0)
		steer_credit_answered(st, flow, pkt->ack - flow->ack < SHORT_ANSWER_BYTES, now);
}

static void handle_packet(struct steer *st, struct steer_flow *flow,
			  const struct caller_packet *pkt, struct timespec now)
{
	struct reg_target *tgt;

	if (flow && flow->was_reset) {
		/* The reset was lost, or this packet was sent before it arrived. */
		if (!pkt->rst)
			st->opts.out->ops->reset(st->opts.out, &flow->addr, pkt->ack);
		return;
	}
	if (!routing_find(st->opts.routing, pkt->service) && reset_withdrawn(st, flow, pkt, now))
		return;
	tgt = find_target(st, &flow, pkt, now);
	if (!tgt) {
		if (pkt->mark)
			st->opts.counters->marks_unknown++;
		drop(st, pkt, pkt->mark ? "unknown_mark" : "no_mark", now);
		return;
	}
	if (flow) {
		if (flow->state == FLOW_OPEN)
			track_progress(st, flow, pkt, now);
		else if (flow->credit)
			track_half_closed(st, flow, pkt, now);
		if (flow->state == FLOW_OPEN && reset_dead(st, flow, pkt, now))
			return;
		if ((pkt->fin || pkt->rst) && flow->state == FLOW_OPEN) {
			st->opts.counters->flows_closed++;
			if (flow->credit)
				end_credit(st, flow, pkt, now);
			steer_flow_set_busy(flow, false);
			steer_flow_set_state(st, flow, FLOW_CLOSED);
		}
		steer_flow_touch(st, flow, now);
	}
	send_to(st, tgt, pkt->service, pkt->bytes, pkt->size);
}

void steer_packet(struct steer *st, const struct caller_packet *pkt, struct timespec now)
{
	struct flow_addr addr = { pkt->caller, pkt->service };
	struct steer_flow *flow = steer_flow_find(st, &addr);

	st->opts.counters->packets++;
	if (pkt->syn)
		handle_opening(st, flow, pkt, now);
	else
		handle_packet(st, flow, pkt, now);
	if (st->credit)
		steer_credit_flush(st, now);
}

static void verify_openings(struct steer *st, struct timespec now)
{
	struct steer_flow *flow;

	while ((flow = g_queue_peek_head(&st->unverified)) &&
	       ts_cmp(flow->opening->verify_due, now) <= 0) {
		g_queue_unlink(&st->unverified, &flow->opening->verify_link);
		flow->opening->verify_queued = false;
		suspect_last_tried(st, flow->opening, now);
	}
}

void steer_timer(struct steer *st, struct timespec now)
{
	verify_openings(st, now);
	if (st->untrusted->len)
		suspicion_timer(st, now);
	steer_wait_timer(st, now);
	if (st->credit)
		steer_credit_timer(st, now);
	if (ts_cmp(now, st->next_sweep) >= 0) {
		st->next_sweep = ts_add_ms(now, SWEEP_INTERVAL_MS);
		steer_flows_expire(st, now);
		registry_sweep(st->opts.registry, now, GONE_TARGET_KEEP_MS);
	}
}

int64_t steer_due_ms(const struct steer *st, struct timespec now)
{
	int64_t due = ts_diff_ms(st->next_sweep, now);
	struct steer_flow *flow = g_queue_peek_head((GQueue *)&st->unverified);

	if (flow)
		due = MIN(due, ts_diff_ms(flow->opening->verify_due, now));
	due = MIN(due, suspicion_due_ms(st, now));
	due = MIN(due, steer_wait_due_ms(st, now));
	if (st->credit)
		due = MIN(due, steer_credit_due_ms(st, now));
	return MAX(due, 1);
}

void steer_routes_changed(struct steer *st, struct timespec now)
{
	GList *next;

	for (GList *link = st->by_state[FLOW_OPEN].head; link; link = next) {
		struct steer_flow *flow = link->data;

		next = link->next;
		if (!routing_find(st->opts.routing, flow->addr.service) &&
		    routing_withdrawn(st->opts.routing, flow->addr.service))
			steer_reset_flow(st, flow, RESET_ROUTE_WITHDRAWN, now);
	}
	if (st->credit)
		steer_credit_routes_changed(st, now);
}

static void target_changed(struct registry_listener *listener, struct reg_target *tgt,
			   enum target_phase before, bool restarted, struct timespec now)
{
	struct steer *st = (struct steer *)((char *)listener - offsetof(struct steer, listener));

	/* The targets of the first list are not logged one by one, only their number. */
	if (st->log_target_changes)
		decision_log(DECISION_TARGET, now,
			     "target=%s belief=%s was=%s reborn=%d flows=%u silent_ms=%lld",
			     tgt->id->str, target_phase_name(tgt->phase), target_phase_name(before),
			     restarted, tgt->open_flows, (long long)target_silent_ms(tgt, now));
	if (restarted) {
		suspicion_clear(st, tgt);
		steer_reset_target_flows(st, tgt, RESET_TARGET_RESTARTED, now);
	}
	if (tgt->phase == TARGET_GONE && tgt->open_flows)
		suspicion_verify(st, tgt, now);
	else if (tgt->phase == TARGET_READY && before == TARGET_GONE)
		suspicion_clear(st, tgt);
}

struct steer *steer_new(const struct steer_options *opts)
{
	struct steer *st = g_new0(struct steer, 1);

	st->opts = *opts;
	st->untrusted = g_ptr_array_new();
	st->latest_deaths = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	st->latest_rejections = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	st->listener.changed = target_changed;
	for (size_t i = 0; i < FLOW_STATES; i++)
		g_queue_init(&st->by_state[i]);
	g_queue_init(&st->unverified);
	waiting_init(&st->waiting);
	steer_flows_init(st);
	steer_credit_init(st);
	registry_set_listener(opts->registry, &st->listener);
	return st;
}

void steer_free(struct steer *st)
{
	if (!st)
		return;
	for (size_t i = 0; i < FLOW_STATES; i++) {
		struct steer_flow *flow;

		while ((flow = g_queue_peek_head(&st->by_state[i])))
			steer_flow_remove(st, flow, flow->last_packet);
	}
	if (st->credit)
		steer_credit_release(st);
	registry_set_listener(st->opts.registry, NULL);
	waiting_release(&st->waiting);
	g_hash_table_unref(st->flows);
	g_ptr_array_unref(st->untrusted);
	g_hash_table_unref(st->latest_deaths);
	g_hash_table_unref(st->latest_rejections);
	g_free(st);
}

void steer_set_verify_ms(struct steer *st, uint32_t verify_ms)
{
	st->opts.verify_ms = verify_ms;
}

void steer_set_store_lost(struct steer *st, bool lost)
{
	st->store_lost = lost;
}

void steer_log_target_changes(struct steer *st)
{
	st->log_target_changes = true;
}

uint32_t steer_flow_count(const struct steer *st)
{
	return g_hash_table_size(st->flows);
}

const struct histogram *steer_accept_times(const struct steer *st)
{
	return &st->accept_times;
}

const struct histogram *steer_target_list_ages(const struct steer *st)
{
	return &st->target_list_ages;
}
