/* The flow table of steer.c. */
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <string.h>

#include "steer-internal.h"

/* Closed flows are kept for late packets: retransmissions of callers are at most 1.6 s apart. */
#define CLOSED_FLOW_KEEP_MS 3000
/* A caller gives up an opening after 1.4 s. */
#define OPENING_KEEP_MS 2000

uint64_t steer_flow_digest(const struct flow_addr *addr)
{
	uint64_t words[2] = {
		(uint64_t)addr->caller.ip << 16 | addr->caller.port,
		(uint64_t)addr->service.ip << 16 | addr->service.port,
	};

	return XXH3_64bits(words, sizeof(words));
}

static guint addr_hash(gconstpointer key)
{
	return (guint)steer_flow_digest(key);
}

static gboolean addr_equal(gconstpointer a, gconstpointer b)
{
	const struct flow_addr *x = a;
	const struct flow_addr *y = b;

	return endpoint_equal(x->caller, y->caller) && endpoint_equal(x->service, y->service);
}

void steer_flows_init(struct steer *st)
{
	st->flows = g_hash_table_new(addr_hash, addr_equal);
}

struct steer_flow *steer_flow_find(const struct steer *st, const struct flow_addr *addr)
{
	return g_hash_table_lookup(st->flows, addr);
}

/* Evicts the least recently used closed flow, or else the least recently used opening. */
static bool make_room(struct steer *st, struct timespec now)
{
	struct steer_flow *flow = g_queue_peek_head(&st->by_state[FLOW_CLOSED]);

	if (!flow)
		flow = g_queue_peek_head(&st->by_state[FLOW_OPENING]);
	if (!flow)
		return false;
	steer_flow_remove(st, flow, now);
	return true;
}

struct steer_flow *steer_flow_add(struct steer *st, const struct flow_addr *addr,
				  enum flow_state state, struct timespec now)
{
	struct steer_flow *flow;

	if (g_hash_table_size(st->flows) >= st->opts.max_flows && !make_room(st, now))
		return NULL;
	flow = g_new0(struct steer_flow, 1);
	flow->addr = *addr;
	flow->state = state;
	flow->started = now;
	flow->last_packet = now;
	flow->target_link.data = flow;
	flow->state_link.data = flow;
	g_queue_push_tail_link(&st->by_state[state], &flow->state_link);
	g_hash_table_insert(st->flows, flow, flow);
	return flow;
}

struct steer_flow *steer_flow_add_opening(struct steer *st, const struct caller_packet *pkt,
					  struct timespec now)
{
	struct flow_addr addr = { pkt->caller, pkt->service };
	struct steer_flow *flow = steer_flow_add(st, &addr, FLOW_OPENING, now);

	if (!flow)
		return NULL;
	flow->opening = g_malloc0(sizeof(struct opening) + pkt->size);
	flow->opening->size = pkt->size;
	memcpy(flow->opening->bytes, pkt->bytes, pkt->size);
	flow->opening_seq = pkt->seq;
	return flow;
}

void steer_flow_touch(struct steer *st, struct steer_flow *flow, struct timespec now)
{
	flow->last_packet = now;
	g_queue_unlink(&st->by_state[flow->state], &flow->state_link);
	g_queue_push_tail_link(&st->by_state[flow->state], &flow->state_link);
}

void steer_flow_set_busy(struct steer_flow *flow, bool busy)
{
	if (flow->busy == busy)
		return;
	flow->busy = busy;
	if (!flow->counted)
		return;
	if (busy)
		flow->target->busy_flows++;
	else
		flow->target->busy_flows--;
}

static void set_counted(struct steer_flow *flow, bool counted)
{
	if (flow->counted == counted || !flow->target)
		return;
	flow->counted = counted;
	if (counted) {
		flow->target->open_flows++;
		flow->target->busy_flows += flow->busy;
	} else {
		flow->target->open_flows--;
		flow->target->busy_flows -= flow->busy;
	}
}

void steer_flow_set_state(struct steer *st, struct steer_flow *flow, enum flow_state state)
{
	g_queue_unlink(&st->by_state[flow->state], &flow->state_link);
	flow->state = state;
	g_queue_push_tail_link(&st->by_state[state], &flow->state_link);
	set_counted(flow, state != FLOW_CLOSED);
}

void steer_flow_set_target(struct steer_flow *flow, struct reg_target *tgt)
{
	if (flow->target == tgt)
		return;
	if (flow->target) {
		set_counted(flow, false);
		g_queue_unlink(&flow->target->flows, &flow->target_link);
	}
	flow->target = tgt;
	if (tgt) {
		g_queue_push_tail_link(&tgt->flows, &flow->target_link);
		set_counted(flow, flow->state != FLOW_CLOSED);
	}
}

void steer_flow_drop_opening(struct steer *st, struct steer_flow *flow)
{
	if (!flow->opening)
		return;
	if (flow->opening->verify_queued)
		g_queue_unlink(&st->unverified, &flow->opening->verify_link);
	waiting_remove(&st->waiting, &flow->opening->waiting);
	if (flow->credit)
		steer_credit_stop_waiting(st, flow);
	for (size_t i = 0; i < flow->opening->nr_tried; i++)
		flow->opening->tried[i]->unaccepted--;
	g_free(flow->opening);
	flow->opening = NULL;
}

void steer_flow_remove(struct steer *st, struct steer_flow *flow, struct timespec now)
{
	steer_flow_drop_opening(st, flow);
	if (flow->credit)
		steer_credit_remove(st, flow, now);
	steer_flow_set_target(flow, NULL);
	g_queue_unlink(&st->by_state[flow->state], &flow->state_link);
	g_hash_table_remove(st->flows, &flow->addr);
	g_free(flow);
}

static void expire_state(struct steer *st, enum flow_state state, int64_t keep_ms,
			 uint64_t *counter, struct timespec now)
{
	struct steer_flow *flow;

	while ((flow = g_queue_peek_head(&st->by_state[state])) &&
	       ts_diff_ms(now, flow->last_packet) >= keep_ms) {
		if (counter)
			(*counter)++;
		steer_flow_remove(st, flow, now);
	}
}

void steer_flows_expire(struct steer *st, struct timespec now)
{
	expire_state(st, FLOW_CLOSED, CLOSED_FLOW_KEEP_MS, NULL, now);
	expire_state(st, FLOW_OPENING, OPENING_KEEP_MS, &st->opts.counters->openings_unanswered,
		     now);
	expire_state(st, FLOW_OPEN, routing_idle_timeout(st->opts.routing),
		     &st->opts.counters->flows_expired, now);
}
