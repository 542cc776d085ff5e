/*
 * In-memory network of instances for tests and measurements, in simulated time: messages take
 * 5 or 10 ms or are lost with a given probability; calls are retried and time out as in peer.c.
 */
#ifndef SIMNET_H
#define SIMNET_H

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "ctx.h"
#include "member.h"

#define SIM_STEP_MS	   5
#define SIM_SLOTS	   64  /* steps that a message can be in transit */
#define SIM_OVERHEAD_BYTES 125 /* see DATAGRAM_OVERHEAD_BYTES in member-internal.h */
#define SIM_NODES_MAX	   256
#define SIM_NAMES_PER_DC   64

struct sim_message {
	enum action_type type; /* PEER_SEND, PEER_CALL or PEER_REPLY */
	uint32_t src, dst, xid;
	GBytes *bytes;
};

struct sim_call {
	uint32_t xid, dst, tries, timeout_ms;
	uint64_t call_id;
	int64_t due_ms;
	GBytes *bytes;
};

struct sim_node {
	uint32_t id;
	struct members *mem;
	struct counters counters;
	struct seeded_random random;
	struct actions out;
	bool down;
	int64_t paused_until; /* handles no events before */
	GPtrArray *queued;    /* struct sim_message that arrived during a pause */
	GArray *calls;	      /* struct sim_call */
	int partition;	      /* of a partition: messages reach nodes of the same side only */
	uint64_t bytes_in, bytes_out, largest;
	void *user;
};

struct simnet {
	struct timespec now;
	struct sim_node nodes[SIM_NODES_MAX];
	uint32_t nr;
	GPtrArray *slots[SIM_SLOTS];
	struct seeded_random random;
	uint32_t loss_permille;
	uint32_t next_xid;
	struct instance_info infos[SIM_NODES_MAX];
	/* Optional hooks for the other modules of a node. */
	void (*on_message)(struct simnet *net, struct sim_node *node, struct ctx *ctx, uint32_t src,
			   uint32_t xid, const peer_msg *msg);
	void (*on_reply)(struct simnet *net, struct sim_node *node, struct ctx *ctx, uint32_t src,
			 uint64_t call_id, enum call_status status, const peer_msg *msg);
	void (*on_timer)(struct simnet *net, struct sim_node *node, struct ctx *ctx);
	void (*on_action)(struct simnet *net, struct sim_node *node, const struct action *act);
	void *user;
};

static inline void sim_message_free(gpointer data)
{
	struct sim_message *sm = data;

	g_bytes_unref(sm->bytes);
	g_free(sm);
}

static inline int64_t sim_ms(const struct simnet *net)
{
	return ts_to_ms(net->now);
}

static inline struct ctx sim_ctx(struct simnet *net, struct sim_node *node)
{
	return (struct ctx){
		.now = net->now,
		.out = &node->out,
		.random = &node->random.random,
		.counters = &node->counters,
	};
}

static inline struct sim_node *sim_node(struct simnet *net, uint32_t id)
{
	for (uint32_t i = 0; i < net->nr; i++) {
		if (net->nodes[i].id == id)
			return &net->nodes[i];
	}
	return NULL;
}

/* Group hash in the heartbeats of node @i. */
static inline unsigned int sim_group_hash(const struct simnet *net, uint32_t i)
{
	return (unsigned int)XXH3_64bits(net->infos[i].group, strlen(net->infos[i].group));
}

/* @nr instances in groups of @group_size and data centres of @dc_size. */
static inline struct simnet *simnet_new(uint64_t seed, uint32_t nr, uint32_t group_size,
					uint32_t dc_size)
{
	struct simnet *net = g_new0(struct simnet, 1);

	net->now = ts_from_ms(1000000);
	net->nr = nr;
	net->next_xid = 1;
	seeded_random_init(&net->random, seed);
	for (int i = 0; i < SIM_SLOTS; i++)
		net->slots[i] = g_ptr_array_new_with_free_func(sim_message_free);
	for (uint32_t i = 0; i < nr; i++) {
		struct instance_info *info = &net->infos[i];

		info->id = i + 1;
		info->peer = (struct endpoint){ 0x7f000001 + i, 7100 };
		g_snprintf(info->name, sizeof(info->name), "i-%u", i + 1);
		g_snprintf(info->group, sizeof(info->group), "g-%u", i / group_size);
		g_snprintf(info->data_centre, sizeof(info->data_centre), "dc-%u", i / dc_size);
	}
	return net;
}

static inline void simnet_start(struct simnet *net, uint32_t i, uint32_t incarnation)
{
	struct sim_node *node = &net->nodes[i];
	struct members_options opts = {
		.self = net->infos[i].id,
		.group = net->infos[i].group,
		.data_centre = net->infos[i].data_centre,
		.incarnation = incarnation,
		.peer = net->infos[i].peer,
		.seeds = net->infos,
		.nr_seeds = net->nr,
	};

	if (!node->queued) {
		node->queued = g_ptr_array_new_with_free_func(sim_message_free);
		node->calls = g_array_new(FALSE, FALSE, sizeof(struct sim_call));
		actions_init(&node->out);
		seeded_random_init(&node->random, random_below(&net->random.random, 1u << 31));
	}
	members_free(node->mem);
	node->id = net->infos[i].id;
	node->mem = members_new(&opts);
	members_set_own_state(node->mem, MEMBER_LIVE);
	node->down = false;
}

static inline void simnet_free(struct simnet *net)
{
	for (uint32_t i = 0; i < net->nr; i++) {
		struct sim_node *node = &net->nodes[i];

		if (!node->queued)
			continue;
		for (guint c = 0; c < node->calls->len; c++)
			g_bytes_unref(g_array_index(node->calls, struct sim_call, c).bytes);
		g_array_unref(node->calls);
		g_ptr_array_unref(node->queued);
		actions_release(&node->out);
		members_free(node->mem);
	}
	for (int i = 0; i < SIM_SLOTS; i++)
		g_ptr_array_unref(net->slots[i]);
	g_free(net);
}

static inline void sim_send(struct simnet *net, struct sim_node *node, enum action_type type,
			    uint32_t dst, uint32_t xid, GBytes *bytes)
{
	struct sim_node *to = sim_node(net, dst);
	size_t size = g_bytes_get_size(bytes) + SIM_OVERHEAD_BYTES;
	struct sim_message *sm;
	uint32_t delay;

	node->bytes_out += size;
	node->largest = MAX(node->largest, size);
	if (!to || to->down || to->partition != node->partition ||
	    random_below(&net->random.random, 1000) < net->loss_permille)
		return;
	sm = g_new(struct sim_message, 1);
	*sm = (struct sim_message){ type, node->id, dst, xid, g_bytes_ref(bytes) };
	delay = 1 + random_below(&net->random.random, 2);
	g_ptr_array_add(net->slots[(sim_ms(net) / SIM_STEP_MS + delay) % SIM_SLOTS], sm);
}

/* Executes the queued actions of a node. */
static inline void sim_run_actions(struct simnet *net, struct sim_node *node)
{
	for (size_t i = 0; i < node->out.list->len; i++) {
		const struct action *act = actions_at(&node->out, i);
		GBytes *bytes;

		if (act->type < ACTION_PEER_SEND || act->type > ACTION_PEER_REPLY) {
			if (net->on_action)
				net->on_action(net, node, act);
			continue;
		}
		bytes = g_bytes_new(action_bytes(&node->out, act), act->len);
		if (act->type == ACTION_PEER_CALL) {
			struct sim_call call = {
				.xid = net->next_xid++,
				.dst = act->dst,
				.tries = act->tries - 1,
				.timeout_ms = act->timeout_ms,
				.call_id = act->call_id,
				.due_ms = sim_ms(net) + act->timeout_ms,
				.bytes = g_bytes_ref(bytes),
			};

			g_array_append_val(node->calls, call);
			sim_send(net, node, act->type, act->dst, call.xid, bytes);
		} else {
			sim_send(net, node, act->type, act->dst, act->xid, bytes);
		}
		g_bytes_unref(bytes);
	}
	actions_reset(&node->out);
}

static inline void sim_deliver(struct simnet *net, struct sim_node *node,
			       const struct sim_message *sm)
{
	struct ctx ctx = sim_ctx(net, node);
	gsize len;
	const uint8_t *data = g_bytes_get_data(sm->bytes, &len);
	peer_msg msg;

	node->bytes_in += len + SIM_OVERHEAD_BYTES;
	g_assert_cmpint(peer_msg_decode(&msg, data, len), ==, 0);
	if (sm->type == ACTION_PEER_REPLY) {
		for (guint c = 0; c < node->calls->len; c++) {
			struct sim_call call = g_array_index(node->calls, struct sim_call, c);

			if (call.xid != sm->xid)
				continue;
			g_array_remove_index(node->calls, c);
			g_bytes_unref(call.bytes);
			if (net->on_reply)
				net->on_reply(net, node, &ctx, sm->src, call.call_id, CALL_OK,
					      &msg);
			break;
		}
	} else {
		if (msg.type == PEER_HEARTBEAT)
			members_receive_heartbeat(node->mem, &ctx, sm->src,
						  &msg.peer_msg_u.heartbeat);
		if (net->on_message)
			net->on_message(net, node, &ctx, sm->src, sm->xid, &msg);
	}
	peer_msg_release(&msg);
	sim_run_actions(net, node);
}

static inline void sim_run_calls(struct simnet *net, struct sim_node *node)
{
	for (guint c = 0; c < node->calls->len; c++) {
		struct sim_call *call = &g_array_index(node->calls, struct sim_call, c);
		struct ctx ctx = sim_ctx(net, node);

		if (call->due_ms > sim_ms(net))
			continue;
		if (call->tries) {
			call->tries--;
			call->due_ms = sim_ms(net) + call->timeout_ms;
			sim_send(net, node, ACTION_PEER_CALL, call->dst, call->xid, call->bytes);
		} else {
			struct sim_call done = *call;

			g_array_remove_index(node->calls, c--);
			g_bytes_unref(done.bytes);
			if (net->on_reply)
				net->on_reply(net, node, &ctx, done.dst, done.call_id, CALL_TIMEOUT,
					      NULL);
			sim_run_actions(net, node);
		}
	}
}

static inline void sim_step(struct simnet *net)
{
	GPtrArray *slot;

	net->now = ts_add_ms(net->now, SIM_STEP_MS);
	slot = net->slots[sim_ms(net) / SIM_STEP_MS % SIM_SLOTS];
	for (guint i = 0; i < slot->len; i++) {
		struct sim_message *sm = g_ptr_array_index(slot, i);
		struct sim_node *node = sim_node(net, sm->dst);

		if (node->down)
			continue;
		if (node->paused_until > sim_ms(net)) {
			struct sim_message *copy = g_new(struct sim_message, 1);

			*copy = *sm;
			g_bytes_ref(copy->bytes);
			g_ptr_array_add(node->queued, copy);
			continue;
		}
		sim_deliver(net, node, sm);
	}
	g_ptr_array_set_size(slot, 0);
	for (uint32_t i = 0; i < net->nr; i++) {
		struct sim_node *node = &net->nodes[i];
		struct ctx ctx = sim_ctx(net, node);

		if (node->down || !node->mem || node->paused_until > sim_ms(net))
			continue;
		/* Messages that were queued during a pause are delivered before the next timer. */
		for (guint h = 0; h < node->queued->len; h++)
			sim_deliver(net, node, g_ptr_array_index(node->queued, h));
		g_ptr_array_set_size(node->queued, 0);
		if ((sim_ms(net) / SIM_STEP_MS + i) % (TIMER_INTERVAL_MS / SIM_STEP_MS))
			continue;
		members_timer(node->mem, &ctx);
		if (net->on_timer)
			net->on_timer(net, node, &ctx);
		sim_run_actions(net, node);
		sim_run_calls(net, node);
	}
}

static inline void sim_run(struct simnet *net, int64_t ms)
{
	for (int64_t end = sim_ms(net) + ms; sim_ms(net) < end;)
		sim_step(net);
}

#endif
