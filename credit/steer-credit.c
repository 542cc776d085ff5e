#include "credit/steer-credit.h"

#include "credit/account.h"
#include "credit/steer-credit-internal.h"

/* Interval at which waiting openings are tried; a request takes a target 15 ms or more. */
#define PASS_INTERVAL_MS 20
/* Interval of the search for overdue requests, half of the time after which one is overdue. */
#define OVERDUE_INTERVAL_MS 100
#define FIGURES_LEN	    160

/* It is empty: all flows have been removed. */
static void free_queue(void *arg)
{
	g_queue_free(arg);
}

void steer_credit_init(struct steer *st)
{
	if (!st->opts.credit)
		return;
	st->credit = g_new0(struct steer_credit, 1);
	st->credit->account = st->opts.credit;
	st->credit->backlog = backlog_new();
	g_queue_init(&st->credit->limited);
	st->credit->charged = g_hash_table_new_full(NULL, NULL, NULL, free_queue);
}

void steer_credit_release(struct steer *st)
{
	g_hash_table_unref(st->credit->charged);
	backlog_free(st->credit->backlog);
	g_free(st->credit);
}

static uint32_t service_of(const struct route_rule *rule, uint64_t flow_digest)
{
	return placing_service(rule, flow_digest)->service;
}

static uint32_t nr_waiting(const struct steer_credit *sc, uint32_t service)
{
	uint32_t nr = 0;

	for (uint32_t i = 0; i < CREDIT_PRIORITIES; i++)
		nr += backlog_waiting(sc->backlog, service, i);
	return nr;
}

uint32_t steer_credit_waiting_count(const struct steer *st, uint32_t priority)
{
	return st->credit ? backlog_waiting_all(st->credit->backlog, priority) : 0;
}

static void update_waiting(struct steer_credit *sc, uint32_t service)
{
	credit_set_waiting(sc->account, service, nr_waiting(sc, service));
}

void steer_credit_stop_waiting(struct steer *st, struct steer_flow *flow)
{
	struct backlog_item *item = &flow->credit->item;

	if (!item->queued)
		return;
	backlog_remove(st->credit->backlog, item);
	update_waiting(st->credit, item->service);
}

void steer_credit_remove(struct steer *st, struct steer_flow *flow, struct timespec now)
{
	steer_credit_end(st, flow, false, now);
	g_free(flow->credit);
	flow->credit = NULL;
}

/* An estimate of the wait and its figures, for a decision and its log line. */
struct wait_figures {
	struct credit_status status;
	int64_t limit_ms;
	int64_t predicted_ms; /* INT64_MAX when no credits come back */
	uint32_t waiting;
};

static struct wait_figures get_figures(const struct steer_credit *sc, uint32_t service,
				       const struct admission_class *cls, struct timespec now)
{
	struct wait_figures figures = {
		.limit_ms = cls ? backlog_limit_ms(cls) : 0,
		.waiting = nr_waiting(sc, service),
	};

	credit_status(sc->account, service, now, &figures.status);
	figures.predicted_ms = backlog_predict_ms(sc->backlog, service, cls ? cls->priority : 0,
						  figures.status.returned_per_s);
	return figures;
}

/* Before the first answer, nothing is predicted: openings wait for their limit at most. */
static bool is_too_long(const struct wait_figures *fig)
{
	return !fig->limit_ms ||
	       (fig->predicted_ms != INT64_MAX && fig->predicted_ms > fig->limit_ms);
}

static long long shown_ms(int64_t predicted_ms)
{
	return predicted_ms == INT64_MAX ? -1 : (long long)predicted_ms;
}

static void refuse_no_room(struct steer *st, const struct flow_addr *addr, uint32_t seq,
			   uint32_t service, struct timespec now)
{
	const struct route_rule *rule = routing_find(st->opts.routing, addr->service);
	char text[FIGURES_LEN] = "";

	if (decision_is_logged(DECISION_REFUSE, now)) {
		struct wait_figures fig =
			get_figures(st->credit, service, rule ? &rule->admission : NULL, now);

		g_snprintf(text, sizeof(text),
			   " waiting=%u predicted_ms=%lld limit_ms=%lld credits=%u in_use=%u "
			   "credit_age_ms=%lld",
			   fig.waiting, shown_ms(fig.predicted_ms), (long long)fig.limit_ms,
			   fig.status.held, fig.status.in_use, (long long)fig.status.age_ms);
	}
	steer_refuse_with(st, addr, seq, RESET_NO_ROOM, NULL, text, now);
}

static void refuse_waiting(struct steer *st, struct steer_flow *flow, enum reset_reason reason,
			   struct timespec now)
{
	if (reason == RESET_NO_ROOM)
		refuse_no_room(st, &flow->addr, flow->ack, flow->credit->item.service, now);
	else
		steer_refuse(st, &flow->addr, flow->ack, reason, NULL, now);
	steer_flow_remove(st, flow, now);
}

static void send_credited(struct steer *st, struct steer_flow *flow, struct reg_target *tgt,
			  struct timespec now)
{
	char text[FIGURES_LEN] = "";

	if (decision_is_logged(DECISION_OPEN, now)) {
		struct credit_status status;

		credit_status(st->credit->account, tgt->service, now, &status);
		g_snprintf(text, sizeof(text),
			   " held=%u in_use=%u credit_age_ms=%lld waited_ms=%lld", status.held,
			   status.in_use, (long long)status.age_ms,
			   (long long)ts_diff_ms(now, flow->started));
	}
	steer_send_opening_with(st, flow, tgt, "credit", text, now);
}

/* Queues the opening, if necessary in place of a less important one, which is refused. */
static bool enqueue(struct steer *st, struct backlog_item *item, struct timespec now)
{
	struct steer_credit *sc = st->credit;
	struct backlog_item *other;

	if (backlog_add(sc->backlog, item))
		return true;
	if (backlog_has_share(sc->backlog, item))
		return false;
	other = backlog_latest_below(sc->backlog, item->priority);
	if (!other)
		return false;
	refuse_waiting(st, other->link.data, RESET_NO_ROOM, now);
	return backlog_add(sc->backlog, item);
}

/* Returns false if the opening must be refused. */
static bool begin_wait(struct steer *st, struct steer_flow *flow, const struct route_rule *rule,
		       const struct wait_figures *fig, struct timespec now)
{
	struct backlog_item *item = &steer_charge_get(flow)->item;
	struct steer_credit *sc = st->credit;
	char text[FLOW_TEXT_LEN];

	item->service = service_of(rule, steer_flow_digest(&flow->addr));
	item->priority = rule->admission.priority;
	item->caller = flow->addr.caller.ip;
	item->size = sizeof(*flow) + sizeof(*flow->credit) + sizeof(*flow->opening) +
		     flow->opening->size;
	item->since = flow->started;
	item->limit_ms = fig->limit_ms;
	if (!enqueue(st, item, now))
		return false;
	update_waiting(sc, item->service);
	if (backlog_count(sc->backlog) == 1)
		sc->next_pass = ts_add_ms(now, PASS_INTERVAL_MS);
	st->opts.counters->openings_waited_credit++;
	decision_log(DECISION_WAIT, now,
		     "flow=%s reason=no_credit limit_ms=%lld predicted_ms=%lld priority=%u "
		     "waiting=%u held=%u in_use=%u credit_age_ms=%lld config=%llu",
		     flow_text(&flow->addr, text), (long long)fig->limit_ms,
		     shown_ms(fig->predicted_ms), item->priority, fig->waiting + 1,
		     fig->status.held, fig->status.in_use, (long long)fig->status.age_ms,
		     (unsigned long long)routing_version(st->opts.routing));
	return true;
}

/* A target with a free credit for the flow; see credit_choose(). */
static struct reg_target *choose(struct steer *st, uint32_t service, const struct route_rule *rule,
				 uint64_t flow_digest, bool *usable, struct timespec now)
{
	struct placing_request req = { .rule = rule, .now = now, .flow_digest = flow_digest };

	return credit_choose(st->credit->account, service, st->opts.placing, &req, usable);
}

/* The route of a waiting opening leads to another service now. */
static void change_service(struct steer *st, struct steer_flow *flow, const struct route_rule *rule,
			   struct timespec now)
{
	struct steer_credit *sc = st->credit;
	uint32_t service = service_of(rule, steer_flow_digest(&flow->addr));
	struct wait_figures fig;

	steer_credit_stop_waiting(st, flow);
	if (!credit_active(sc->account, service, now) || !rule->admission.goal_ms) {
		steer_place_uncredited(st, flow, rule, now);
		return;
	}
	fig = get_figures(sc, service, &rule->admission, now);
	sc->pass_due = true;
	if (is_too_long(&fig) || !begin_wait(st, flow, rule, &fig, now))
		refuse_waiting(st, flow, RESET_NO_ROOM, now);
}

/* Returns false if the opening keeps waiting. Otherwise it does not wait for @service any more. */
static bool place_waiting(struct steer *st, struct steer_flow *flow, uint32_t service,
			  struct timespec now)
{
	const struct route_rule *rule = routing_find(st->opts.routing, flow->addr.service);
	uint64_t digest = steer_flow_digest(&flow->addr);
	struct steer_credit *sc = st->credit;
	struct reg_target *tgt = NULL;
	bool usable;

	if (!rule) {
		refuse_waiting(st, flow, RESET_NO_ROUTE, now);
		return true;
	}
	if (backlog_is_expired(&flow->credit->item, now)) {
		refuse_waiting(st, flow, RESET_NO_ROOM, now);
		return true;
	}
	if (service_of(rule, digest) != service) {
		change_service(st, flow, rule, now);
		return true;
	}
	tgt = choose(st, service, rule, digest, &usable, now);
	if (!tgt && usable)
		return false;
	backlog_placed(sc->backlog, &flow->credit->item);
	update_waiting(sc, service);
	if (tgt) {
		steer_wait_end_outage(st, flow->addr.service, now);
		st->opts.counters->openings_placed_credit++;
		send_credited(st, flow, tgt, now);
	} else {
		steer_place_uncredited(st, flow, rule, now);
	}
	return true;
}

static void place_service(struct steer *st, uint32_t service, struct timespec now)
{
	struct backlog_item *item;

	while ((item = backlog_next(st->credit->backlog, service))) {
		if (!place_waiting(st, item->link.data, service, now))
			return;
	}
}

struct pass {
	struct steer *st;
	struct timespec now;
};

static void pass_service(uint32_t service, void *arg)
{
	struct pass *pass = arg;

	place_service(pass->st, service, pass->now);
}

static void place_all(struct steer *st, struct timespec now)
{
	struct pass pass = { st, now };

	st->credit->pass_due = false;
	backlog_each_service(st->credit->backlog, pass_service, &pass);
}

void steer_credit_flush(struct steer *st, struct timespec now)
{
	if (st->credit->pass_due)
		place_all(st, now);
}

void steer_credits_changed(struct steer *st, struct timespec now)
{
	if (st->credit)
		place_all(st, now);
}

/* Whether openings of the service that must not be overtaken by one of @priority wait. */
static bool has_queue(const struct steer_credit *sc, uint32_t service, uint32_t priority)
{
	for (uint32_t i = 0; i <= credit_priority(priority); i++) {
		if (backlog_waiting(sc->backlog, service, i))
			return true;
	}
	return false;
}

static void send_new(struct steer *st, const struct caller_packet *pkt, struct reg_target *tgt,
		     struct timespec now)
{
	struct steer_flow *flow = steer_flow_add_opening(st, pkt, now);

	steer_wait_end_outage(st, pkt->service, now);
	if (flow)
		send_credited(st, flow, tgt, now);
	else
		steer_send_untracked(st, pkt, tgt);
}

static void wait_or_refuse(struct steer *st, const struct caller_packet *pkt,
			   const struct route_rule *rule, uint32_t service, struct timespec now)
{
	struct wait_figures fig = get_figures(st->credit, service, &rule->admission, now);
	struct flow_addr addr = { pkt->caller, pkt->service };
	struct steer_flow *flow = NULL;

	if (!is_too_long(&fig))
		flow = steer_flow_add_opening(st, pkt, now);
	if (flow && begin_wait(st, flow, rule, &fig, now))
		return;
	refuse_no_room(st, &addr, pkt->ack, service, now);
	if (flow)
		steer_flow_remove(st, flow, now);
}

bool steer_credit_place(struct steer *st, const struct caller_packet *pkt,
			const struct route_rule *rule, struct timespec now)
{
	struct flow_addr addr = { pkt->caller, pkt->service };
	const struct admission_class *cls = &rule->admission;
	uint64_t digest = steer_flow_digest(&addr);
	uint32_t service = service_of(rule, digest);
	struct steer_credit *sc = st->credit;
	bool active = credit_active(sc->account, service, now);
	struct reg_target *tgt;
	bool usable = true;

	if (active || cls->goal_ms)
		credit_note_opening(sc->account, service, cls->priority);
	/* Also after the end of the grant, those that wait come first. */
	if (backlog_count(sc->backlog))
		place_service(st, service, now);
	/* So do those that wait for a usable target. */
	if (!active || steer_wait_has_queue(st, pkt->service))
		return false;
	if (!has_queue(sc, service, cls->priority)) {
		tgt = choose(st, service, rule, digest, &usable, now);
		if (tgt) {
			send_new(st, pkt, tgt, now);
			return true;
		}
	}
	/* Without a goal, no wait is too long, and openings are refused no more than without
	 * credits. */
	if (!usable || !cls->goal_ms)
		return false;
	wait_or_refuse(st, pkt, rule, service, now);
	return true;
}

void steer_credit_timer(struct steer *st, struct timespec now)
{
	struct steer_credit *sc = st->credit;
	struct backlog_item *item;

	if (sc->nr_queued && ts_cmp(now, sc->next_sweep) >= 0) {
		sc->next_sweep = ts_add_ms(now, OVERDUE_INTERVAL_MS);
		steer_charge_sweep(st, now);
	}
	if (backlog_count(sc->backlog) && ts_cmp(now, sc->next_pass) >= 0) {
		sc->next_pass = ts_add_ms(now, PASS_INTERVAL_MS);
		place_all(st, now);
		while ((item = backlog_expired(sc->backlog, now)))
			refuse_waiting(st, item->link.data, RESET_NO_ROOM, now);
	}
	steer_credit_flush(st, now);
}

int64_t steer_credit_due_ms(const struct steer *st, struct timespec now)
{
	const struct steer_credit *sc = st->credit;
	int64_t due = INT64_MAX;

	if (sc->pass_due)
		return 0;
	if (backlog_count(sc->backlog))
		due = ts_diff_ms(sc->next_pass, now);
	if (sc->nr_queued)
		due = MIN(due, ts_diff_ms(sc->next_sweep, now));
	return due;
}

/* Addresses of all flows that wait for a credit: struct flow_addr. */
static GArray *waiting_flows(const struct steer *st)
{
	GArray *addrs = g_array_new(FALSE, FALSE, sizeof(struct flow_addr));

	for (GList *link = st->by_state[FLOW_OPENING].head; link; link = link->next) {
		const struct steer_flow *flow = link->data;

		if (flow->credit && flow->credit->item.queued)
			g_array_append_val(addrs, flow->addr);
	}
	return addrs;
}

void steer_credit_routes_changed(struct steer *st, struct timespec now)
{
	GArray *addrs;

	if (!backlog_count(st->credit->backlog))
		return;
	addrs = waiting_flows(st);
	for (guint i = 0; i < addrs->len; i++) {
		const struct flow_addr *addr = &g_array_index(addrs, struct flow_addr, i);
		const struct route_rule *rule = routing_find(st->opts.routing, addr->service);
		/* It may have been refused in favour of one that was handled before it. */
		struct steer_flow *flow = steer_flow_find(st, addr);

		if (!flow || !flow->credit || !flow->credit->item.queued)
			continue;
		if (!rule)
			refuse_waiting(st, flow, RESET_NO_ROUTE, now);
		else if (service_of(rule, steer_flow_digest(addr)) != flow->credit->item.service)
			change_service(st, flow, rule, now);
	}
	g_array_unref(addrs);
	steer_credit_flush(st, now);
}

void steer_credit_stop(struct steer *st, struct timespec now)
{
	struct backlog_item *item;

	while ((item = backlog_first(st->credit->backlog)))
		refuse_waiting(st, item->link.data, RESET_NO_ROOM, now);
}
