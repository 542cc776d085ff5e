/*
 * Credits of flows: taken when an opening is sent, returned when the answer begins or the flow
 * ends. Also finds overdue requests, and credits that are held too long.
 */
#include "credit/account.h"
#include "credit/steer-credit-internal.h"

/*
 * A FIN comes from a caller that still awaits its answer as well as from one that has given up. The
 * target still works on the request in both cases; most take less than this many times the mean.
 */
#define HALF_CLOSED_MEANS 2

struct flow_credit *steer_charge_get(struct steer_flow *flow)
{
	if (!flow->credit) {
		flow->credit = g_new0(struct flow_credit, 1);
		flow->credit->link.data = flow;
		flow->credit->item.link.data = flow;
	}
	return flow->credit;
}

static void dequeue_charged(struct steer_credit *sc, struct flow_credit *fc)
{
	if (!fc->queue)
		return;
	g_queue_unlink(fc->queue, &fc->link);
	fc->queue = NULL;
	sc->nr_queued--;
}

/* The opening or the request is sent at @now. */
static void restart_clock(struct steer_credit *sc, struct flow_credit *fc, struct timespec now)
{
	gpointer key = GUINT_TO_POINTER(fc->charged->service);
	GQueue *queue = g_hash_table_lookup(sc->charged, key);

	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(sc->charged, key, queue);
	}
	dequeue_charged(sc, fc);
	fc->since = now;
	fc->queue = queue;
	g_queue_push_tail_link(queue, &fc->link);
	sc->nr_queued++;
}

/* Returns the credit at @when, unless the request is answered or the flow ends before. */
static void limit_charge(struct steer_credit *sc, struct flow_credit *fc, struct timespec when)
{
	dequeue_charged(sc, fc);
	fc->return_at = when;
	fc->queue = &sc->limited;
	g_queue_push_tail_link(&sc->limited, &fc->link);
	sc->nr_queued++;
}

static void charge(struct steer_credit *sc, struct flow_credit *fc, struct reg_target *tgt,
		   struct timespec now)
{
	credit_take(sc->account, tgt, now);
	fc->charged = tgt;
	fc->taken = now;
	restart_clock(sc, fc, now);
}

/*
 * What is not the time of the request at the target: the handshake, and its way and back. A target
 * that has accepted a flow is not busy until the request comes.
 */
static int64_t path_ms(const struct flow_credit *fc, int64_t held_ms)
{
	const struct steer_flow *flow = fc->link.data;

	if (fc->requests)
		return ts_diff_ms(fc->since, fc->taken) + fc->accept_ms;
	return flow->state == FLOW_OPEN ? held_ms : 0;
}

static void uncharge(struct steer_credit *sc, struct flow_credit *fc, enum credit_outcome outcome,
		     struct timespec now)
{
	int64_t held_ms = ts_diff_ms(now, fc->taken);

	dequeue_charged(sc, fc);
	credit_return(sc->account, fc->charged, outcome, held_ms, path_ms(fc, held_ms), now);
	fc->charged = NULL;
	sc->pass_due = backlog_count(sc->backlog) > 0;
}

/* Also without a grant, so that the first one finds the number of requests in progress. */
static bool is_chargeable(const struct steer *st, const struct steer_flow *flow,
			  const struct reg_target *tgt, struct timespec now)
{
	const struct route_rule *rule = routing_find(st->opts.routing, flow->addr.service);

	return (rule && rule->admission.goal_ms) ||
	       credit_active(st->credit->account, tgt->service, now);
}

void steer_credit_sent(struct steer *st, struct steer_flow *flow, struct reg_target *tgt,
		       struct timespec now)
{
	if (flow->credit && flow->credit->charged)
		uncharge(st->credit, flow->credit, CREDIT_MOVED, now);
	else if (!is_chargeable(st, flow, tgt, now))
		return;
	charge(st->credit, steer_charge_get(flow), tgt, now);
}

void steer_credit_accepted(struct steer *st, struct steer_flow *flow, struct reg_target *tgt,
			   struct timespec sent, struct timespec now)
{
	struct flow_credit *fc = flow->credit;

	if (!fc->charged)
		return;
	fc->accept_ms = ts_diff_ms(now, sent);
	if (fc->charged != tgt) {
		uncharge(st->credit, fc, CREDIT_MOVED, now);
		charge(st->credit, fc, tgt, now);
	}
	restart_clock(st->credit, fc, now);
}

void steer_credit_request(struct steer *st, struct steer_flow *flow, struct timespec now)
{
	struct flow_credit *fc = flow->credit;

	if (fc->requests < 2 && ++fc->requests == 2)
		credit_note_reuse(st->credit->account, flow->target->service);
	if (fc->lapsed && fc->requests == 1)
		charge(st->credit, fc, flow->target, now);
	else if (fc->charged)
		restart_clock(st->credit, fc, now);
}

void steer_credit_answered(struct steer *st, struct steer_flow *flow, bool short_answer,
			   struct timespec now)
{
	if (flow->credit->charged)
		uncharge(st->credit, flow->credit, short_answer ? CREDIT_REJECTED : CREDIT_ANSWERED,
			 now);
}

static bool is_overdue(const struct steer_credit *sc, const struct flow_credit *fc,
		       struct timespec now)
{
	return fc->overdue ||
	       ts_diff_ms(now, fc->since) >= credit_overdue_ms(sc->account, fc->charged->service);
}

void steer_credit_end(struct steer *st, struct steer_flow *flow, bool target_failed,
		      struct timespec now)
{
	struct flow_credit *fc = flow->credit;
	bool outstanding = flow->busy || flow->state == FLOW_OPENING;

	if (!fc->charged)
		return;
	/* A caller that closes early says nothing about the target. */
	if (target_failed || (outstanding && is_overdue(st->credit, fc, now)))
		uncharge(st->credit, fc, CREDIT_FAILED, now);
	else
		uncharge(st->credit, fc, CREDIT_MOVED, now);
}

void steer_credit_half_closed(struct steer *st, struct steer_flow *flow, struct timespec now)
{
	struct steer_credit *sc = st->credit;
	struct flow_credit *fc = flow->credit;
	struct timespec end;

	if (!fc->charged)
		return;
	end = ts_add_ms(fc->since,
			HALF_CLOSED_MEANS * credit_mean_ms(sc->account, fc->charged->service));
	if (!flow->busy || ts_cmp(now, end) >= 0) {
		steer_credit_end(st, flow, false, now);
		return;
	}
	fc->half_closed = true;
	limit_charge(sc, fc, end);
}

static void note_overdue(struct steer *st, struct steer_flow *flow, struct timespec now)
{
	const struct route_rule *rule = routing_find(st->opts.routing, flow->addr.service);
	struct steer_credit *sc = st->credit;
	struct flow_credit *fc = flow->credit;

	dequeue_charged(sc, fc);
	if (flow->state == FLOW_OPEN && !fc->requests) {
		/* Callers that send no request must not hold credits that others could use. */
		fc->lapsed = true;
		uncharge(sc, fc, CREDIT_MOVED, now);
		return;
	}
	if (!fc->overdue) {
		fc->overdue = true;
		credit_note_overdue(sc->account, fc->charged);
	}
	/* By then the caller has left, perhaps without a packet. */
	if (rule && rule->admission.timeout_ms)
		limit_charge(sc, fc, ts_add_ms(fc->since, rule->admission.timeout_ms));
}

static void sweep_limited(struct steer_credit *sc, struct timespec now)
{
	GList *next;

	for (GList *link = sc->limited.head; link; link = next) {
		struct steer_flow *flow = link->data;

		next = link->next;
		if (ts_cmp(now, flow->credit->return_at) >= 0)
			uncharge(sc, flow->credit,
				 flow->credit->half_closed ? CREDIT_MOVED : CREDIT_FAILED, now);
	}
}

void steer_charge_sweep(struct steer *st, struct timespec now)
{
	struct steer_credit *sc = st->credit;
	GHashTableIter iter;
	gpointer service;
	gpointer queue;

	g_hash_table_iter_init(&iter, sc->charged);
	while (g_hash_table_iter_next(&iter, &service, &queue)) {
		int64_t limit_ms = credit_overdue_ms(sc->account, GPOINTER_TO_UINT(service));
		struct steer_flow *flow;

		while ((flow = g_queue_peek_head(queue)) &&
		       ts_diff_ms(now, flow->credit->since) >= limit_ms)
			note_overdue(st, flow, now);
	}
	sweep_limited(sc, now);
}
