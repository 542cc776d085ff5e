/*
 * Simulated fleet: several instances of home.h on one simulated clock, connected by an in-memory
 * network that loses, repeats and delays messages; with simple stand-ins for member.h and target.h.
 */
#ifndef FLEET_H
#define FLEET_H

#include <glib.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "home.h"

#define NODES_MAX	 8
#define TARGETS_MAX	 8
#define SIM_HEARTBEAT_MS 500

struct fleet;

struct members {
	struct fleet *fleet;
	uint32_t self;
	enum member_state state;
	int64_t last_heartbeat[NODES_MAX + 1]; /* newest heartbeat, direct or relayed; 0 unknown */
	enum member_state reported_state[NODES_MAX + 1];
	int64_t dead_at[NODES_MAX + 1];
	int64_t last_contact;
};

struct targets {
	struct fleet *fleet;
	uint32_t flows[TARGETS_MAX];
	uint32_t outcomes[TARGETS_MAX][FLOW_TERMINATED + 1];
	uint32_t refused;
};

struct node {
	uint32_t id;
	bool up;
	bool paused;
	struct members mem;
	struct targets tgs;
	struct counters counters;
	struct config *cfg;
	struct flowtab *tab;
	struct homes *homes;
};

struct message {
	int64_t at;
	uint32_t src, dst;
	enum action_type type; /* PEER_SEND, PEER_CALL or PEER_REPLY */
	uint64_t call_id;
	GBytes *bytes;
};

struct pending_call {
	uint32_t src, dst;
	uint64_t call_id;
	uint32_t tries;
	uint32_t timeout_ms;
	int64_t next_at;
	GBytes *bytes;
};

/* Bytes of a simulated packet or answer. */
struct sim_bytes {
	uint32_t flow;
	uint32_t kind;
	uint32_t opening_id;
	uint32_t payload_len;
	uint32_t target; /* of an answer, with its kind */
	uint32_t answer_kind;
};

struct fleet {
	int64_t now_ms;
	struct node nodes[NODES_MAX + 1]; /* by id, from 1 */
	uint32_t nr;
	GArray *messages;      /* struct message */
	GArray *pending_calls; /* struct pending_call */
	struct seeded_random random;
	uint32_t loss_permille, dup_permille, delay_ms;
	bool other_side[NODES_MAX + 1]; /* of a partition */
	bool listed_gone[NODES_MAX + 1];
	bool eligible[TARGETS_MAX], usable[TARGETS_MAX], full[TARGETS_MAX];
	uint64_t targets_version;
	uint32_t retries; /* remaining budget of target_take_retry() */
	uint32_t target_dc[TARGETS_MAX];
	/* Called for FORWARD, ANSWER and REFUSE. */
	void (*on_packet)(struct fleet *fleet, struct node *node, const struct action *act,
			  const struct sim_bytes *sim);
	void *arg;
};

static inline uint32_t fleet_random(struct fleet *fleet, uint32_t bound)
{
	return random_below(&fleet->random.random, bound);
}

/* --- member.h --- */

enum member_state members_state(const struct members *mem, uint32_t id)
{
	int64_t age;

	if (id == mem->self)
		return mem->state;
	if (id == MEMBER_NONE || id > NODES_MAX || !mem->last_heartbeat[id] ||
	    (mem->fleet->listed_gone[id] && !mem->fleet->nodes[id].up))
		return MEMBER_DEAD;
	age = mem->fleet->now_ms - mem->last_heartbeat[id];
	if (age > MEMBER_DEAD_AFTER_MS)
		return MEMBER_DEAD;
	if (mem->reported_state[id] != MEMBER_LIVE)
		return mem->reported_state[id];
	return age > ROUTING_LEASE_MIN_MS ? MEMBER_SUSPECT : MEMBER_LIVE;
}

static bool sim_candidate(const struct members *mem, uint32_t id)
{
	enum member_state state = members_state(mem, id);

	return state == MEMBER_LIVE || state == MEMBER_SUSPECT;
}

uint64_t members_version(const struct members *mem)
{
	uint64_t version = 0;

	for (uint32_t id = 1; id <= NODES_MAX; id++)
		version = version * 2 + sim_candidate(mem, id);
	return version;
}

uint32_t members_home(const struct members *mem, struct service_addr addr, uint32_t shard,
		      uint32_t rank)
{
	uint32_t order[NODES_MAX];
	uint32_t nr = 0;

	for (uint32_t id = 1; id <= NODES_MAX; id++) {
		uint64_t w = (addr.ep.ip * 31ULL + shard * 7919ULL + id * 104729ULL) *
				     0x9e3779b97f4a7c15ULL >>
			     40;
		uint32_t pos = nr;

		if (!sim_candidate(mem, id))
			continue;
		while (pos > 0 &&
		       ((addr.ep.ip * 31ULL + shard * 7919ULL + order[pos - 1] * 104729ULL) *
				0x9e3779b97f4a7c15ULL >>
			40) < w) {
			order[pos] = order[pos - 1];
			pos--;
		}
		order[pos] = id;
		nr++;
	}
	return rank < nr ? order[rank] : MEMBER_NONE;
}

static bool contact_within(const struct members *mem, struct timespec now, int64_t ms)
{
	for (uint32_t id = 1; id <= NODES_MAX; id++)
		if (id != mem->self && members_state(mem, id) != MEMBER_DEAD)
			return ts_to_ms(now) - mem->last_contact <= ms;
	return true;
}

bool members_lease_fresh(const struct members *mem, struct timespec now)
{
	return contact_within(mem, now, ROUTING_LEASE_MIN_MS);
}

bool members_home_lease_fresh(const struct members *mem, struct timespec now)
{
	return contact_within(mem, now, 2 * ROUTING_LEASE_MIN_MS);
}

bool members_may_route(const struct members *mem, uint32_t id, struct timespec now)
{
	return id == mem->self || (members_state(mem, id) != MEMBER_DEAD &&
				   ts_to_ms(now) - mem->last_heartbeat[id] <= ROUTING_LEASE_MIN_MS);
}

static uint32_t sim_dc(uint32_t id)
{
	return id % 2;
}

bool members_maybe_partitioned(const struct members *mem)
{
	for (uint32_t dc = 0; dc < 2; dc++) {
		bool any = false, out = true;

		for (uint32_t id = 1; id <= mem->fleet->nr; id++) {
			if (sim_dc(id) != dc || mem->fleet->listed_gone[id] ||
			    (id != mem->self && !mem->last_heartbeat[id]))
				continue;
			any = true;
			out &= members_state(mem, id) == MEMBER_DEAD;
		}
		if (any && out)
			return true;
	}
	return false;
}

uint32_t members_lost_since(const struct members *mem, struct timespec since)
{
	uint32_t lost = 0;

	for (uint32_t id = 1; id <= NODES_MAX; id++)
		lost += mem->dead_at[id] && mem->dead_at[id] >= ts_to_ms(since);
	return lost;
}

uint32_t members_self(const struct members *mem)
{
	return mem->self;
}

void members_set_own_state(struct members *mem, enum member_state state)
{
	mem->state = state;
}

void members_for_each(const struct members *mem, void (*fn)(uint32_t id, void *arg), void *arg)
{
	for (uint32_t id = 1; id <= NODES_MAX; id++)
		if (id != mem->self && members_state(mem, id) != MEMBER_DEAD)
			fn(id, arg);
}

bool members_in_dc(const struct members *mem, const char *name)
{
	(void)mem;
	(void)name;
	return true;
}

/* --- target.h --- */

uint64_t targets_version(const struct targets *tgs)
{
	return tgs->fleet->targets_version;
}

bool target_eligible(const struct targets *tgs, uint32_t target)
{
	return target < TARGETS_MAX && tgs->fleet->eligible[target];
}

uint32_t target_weight(const struct targets *tgs, uint32_t target)
{
	return target_eligible(tgs, target) ? 100 : 0;
}

bool target_usable(const struct targets *tgs, uint32_t target)
{
	return target < TARGETS_MAX && tgs->fleet->usable[target];
}

bool target_reachable(const struct targets *tgs, uint32_t target)
{
	return target_usable(tgs, target);
}

uint32_t target_choose(struct targets *tgs, struct ctx *ctx, uint32_t current, uint32_t alternate)
{
	(void)ctx;
	if (target_eligible(tgs, current) && !tgs->fleet->full[current])
		return current;
	if (target_eligible(tgs, alternate) && !tgs->fleet->full[alternate])
		return alternate;
	return TARGET_NONE;
}

bool target_take_retry(struct targets *tgs, struct ctx *ctx, const struct service *svc)
{
	(void)ctx;
	(void)svc;
	if (!tgs->fleet->retries)
		return false;
	tgs->fleet->retries--;
	return true;
}

void target_opened(struct targets *tgs, struct ctx *ctx, uint32_t target)
{
	(void)ctx;
	tgs->flows[target]++;
}

void target_closed(struct targets *tgs, struct ctx *ctx, uint32_t target)
{
	(void)ctx;
	g_assert_cmpuint(tgs->flows[target], >, 0);
	tgs->flows[target]--;
}

void target_outcome(struct targets *tgs, uint32_t target, enum flow_outcome outcome)
{
	tgs->outcomes[target][outcome]++;
}

void targets_count_refused(struct targets *tgs, const struct service *svc)
{
	(void)svc;
	tgs->refused++;
}

void target_accepted(struct targets *tgs, struct ctx *ctx, uint32_t target)
{
	(void)tgs;
	(void)ctx;
	(void)target;
}

void target_reset(struct targets *tgs, struct ctx *ctx, uint32_t target)
{
	target_accepted(tgs, ctx, target);
}

void target_shed(struct targets *tgs, struct ctx *ctx, uint32_t target)
{
	target_accepted(tgs, ctx, target);
}

void target_answered(struct targets *tgs, struct ctx *ctx, uint32_t target)
{
	target_accepted(tgs, ctx, target);
}

struct timespec target_last_answer(const struct targets *tgs, uint32_t target)
{
	(void)target;
	return ts_from_ms(tgs->fleet->now_ms);
}

void target_get_status(const struct targets *tgs, uint32_t target, struct timespec now,
		       struct target_status *st)
{
	(void)now;
	*st = (struct target_status){ .load_permille = tgs->fleet->full[target] ? 1000 : 0 };
}

/* --- configuration: service 1 of organisation a (TCP), service 2 of organisation b (UDP) --- */

static const struct service_addr tcp_service = { { 0xc0000201, 443 }, IPPROTO_TCP };
static const struct service_addr udp_service = { { 0xc0000211, 53 }, IPPROTO_UDP };

static inline void fleet_object(struct node *node, peer_object_kind kind, const char *name,
				uint64_t generation, const char *doc)
{
	struct object obj = {
		.kind = kind,
		.name = name,
		.generation = generation,
		.document = (const uint8_t *)doc,
		.len = strlen(doc),
	};

	g_assert_cmpint(config_apply(node->cfg, &obj), ==, 1);
}

static inline char *fleet_targets(int first, int nr, const char *addr)
{
	GString *str = g_string_new(NULL);

	for (int i = first; i < first + nr; i++)
		g_string_append_printf(str,
				       "%s{\"name\":\"t%d\",\"address\":\"%s%d:6080\","
				       "\"data_centre\":\"dc%d\",\"health\":\"%s%d:8080\"}",
				       i > first ? "," : "", i, addr, i + 1, i % 2, addr, i + 1);
	return g_string_free(str, FALSE);
}

static inline void fleet_config(struct node *node, uint32_t max_flows)
{
	char key[65];
	char *targets = fleet_targets(0, 4, "198.51.100.");
	char *others = fleet_targets(4, 2, "198.51.101.");
	char *doc;

	memset(key, 'a', 64);
	key[64] = 0;
	doc = g_strdup_printf(
		"{\"grants\":\"fleet\",\"generation\":1,\"organisations\":["
		"{\"name\":\"a\",\"key\":\"%s\",\"max_flows\":%u,\"addresses\":[\"192.0.2.0/28\"],"
		"\"targets\":[\"198.51.100.0/24\"]},{\"name\":\"b\",\"key\":\"%s\","
		"\"max_flows\":%u,\"addresses\":[\"192.0.2.16/28\"],"
		"\"targets\":[\"198.51.101.0/24\"]}]}",
		key, max_flows, key, max_flows);
	fleet_object(node, PEER_OBJECT_GRANTS, "fleet", 1, doc);
	g_free(doc);
	doc = g_strdup_printf("{\"organisation\":\"a\",\"generation\":1,\"services\":[{\"name\":"
			      "\"s\",\"address\":\"192.0.2.1:443\",\"protocol\":\"tcp\","
			      "\"idle_timeout_ms\":120000,\"silence_ms\":15000,\"targets\":[%s]}]}",
			      targets);
	fleet_object(node, PEER_OBJECT_ORGANISATION, "a", 1, doc);
	g_free(doc);
	doc = g_strdup_printf("{\"organisation\":\"b\",\"generation\":1,\"services\":[{\"name\":"
			      "\"u\",\"address\":\"192.0.2.17:53\",\"protocol\":\"udp\","
			      "\"idle_timeout_ms\":120000,\"targets\":[%s]}]}",
			      others);
	fleet_object(node, PEER_OBJECT_ORGANISATION, "b", 1, doc);
	g_free(doc);
	g_free(targets);
	g_free(others);
}

/* --- events and actions --- */

static inline bool fleet_reaches(const struct fleet *fleet, uint32_t a, uint32_t b)
{
	return fleet->nodes[a].up && fleet->nodes[b].up &&
	       fleet->other_side[a] == fleet->other_side[b];
}

static inline void fleet_send(struct fleet *fleet, uint32_t src, uint32_t dst,
			      enum action_type type, uint64_t call_id, GBytes *bytes)
{
	uint32_t copies = 1 + (fleet_random(fleet, 1000) < fleet->dup_permille);

	if (!fleet_reaches(fleet, src, dst))
		return;
	for (uint32_t i = 0; i < copies; i++) {
		struct message message = {
			.at = fleet->now_ms + 1 + fleet_random(fleet, fleet->delay_ms),
			.src = src,
			.dst = dst,
			.type = type,
			.call_id = call_id,
			.bytes = g_bytes_ref(bytes),
		};

		if (fleet_random(fleet, 1000) < fleet->loss_permille)
			g_bytes_unref(message.bytes);
		else
			g_array_append_val(fleet->messages, message);
	}
}

static inline void fleet_perform(struct fleet *fleet, struct node *node, struct actions *acts)
{
	for (size_t i = 0; i < acts->list->len; i++) {
		const struct action *act = actions_at(acts, i);
		GBytes *bytes = g_bytes_new(action_bytes(acts, act), act->len);
		struct pending_call pending_call = {
			.src = node->id,
			.dst = act->dst,
			.call_id = act->call_id,
			.tries = act->tries,
			.timeout_ms = act->timeout_ms,
			.next_at = fleet->now_ms,
		};

		switch (act->type) {
		case ACTION_FORWARD:
		case ACTION_ANSWER:
		case ACTION_REFUSE:
			if (fleet->on_packet)
				fleet->on_packet(fleet, node, act,
						 (const struct sim_bytes *)action_bytes(acts, act));
			break;
		case ACTION_PEER_SEND:
			fleet_send(fleet, node->id, act->dst, act->type, 0, bytes);
			break;
		case ACTION_PEER_REPLY:
			/* The xid of a call is its call id, see fleet_deliver(). */
			fleet_send(fleet, node->id, act->dst, act->type, act->xid, bytes);
			break;
		case ACTION_PEER_CALL:
			pending_call.bytes = g_bytes_ref(bytes);
			g_array_append_val(fleet->pending_calls, pending_call);
			break;
		default:
			break;
		}
		g_bytes_unref(bytes);
	}
}

static inline struct ctx fleet_ctx(struct fleet *fleet, struct node *node, struct actions *acts)
{
	actions_init(acts);
	return (struct ctx){
		.now = ts_from_ms(fleet->now_ms),
		.out = acts,
		.random = &fleet->random.random,
		.counters = &node->counters,
	};
}

static inline void fleet_finish_event(struct fleet *fleet, struct node *node, struct actions *acts)
{
	fleet_perform(fleet, node, acts);
	actions_release(acts);
}

static inline void fleet_reply(struct fleet *fleet, const struct pending_call *pending_call,
			       enum call_status status, const peer_msg *msg)
{
	struct node *node = &fleet->nodes[pending_call->src];
	struct actions acts;
	struct ctx ctx;

	if (!node->up)
		return;
	ctx = fleet_ctx(fleet, node, &acts);
	homes_reply(node->homes, &ctx, pending_call->dst, pending_call->call_id, status, msg);
	fleet_finish_event(fleet, node, &acts);
}

/* Removes the pending call that a reply answers; false for late and repeated replies. */
static inline bool fleet_take_pending(struct fleet *fleet, uint32_t src, uint64_t call_id,
				      struct pending_call *out)
{
	for (guint i = 0; i < fleet->pending_calls->len; i++) {
		struct pending_call *p =
			&g_array_index(fleet->pending_calls, struct pending_call, i);

		if (p->src != src || (uint32_t)p->call_id != (uint32_t)call_id)
			continue;
		*out = *p;
		g_array_remove_index(fleet->pending_calls, i);
		return true;
	}
	return false;
}

static inline void fleet_deliver(struct fleet *fleet, const struct message *message)
{
	struct node *node = &fleet->nodes[message->dst];
	gsize len;
	const uint8_t *bytes = g_bytes_get_data(message->bytes, &len);
	struct pending_call pending_call;
	struct actions acts;
	struct ctx ctx;
	peer_msg msg;

	if (!fleet_reaches(fleet, message->src, message->dst))
		return;
	g_assert_cmpint(peer_msg_decode(&msg, bytes, len), ==, 0);
	if (message->type == ACTION_PEER_REPLY) {
		if (fleet_take_pending(fleet, message->dst, message->call_id, &pending_call)) {
			fleet_reply(fleet, &pending_call, CALL_OK, &msg);
			g_bytes_unref(pending_call.bytes);
		}
	} else {
		ctx = fleet_ctx(fleet, node, &acts);
		homes_peer(node->homes, &ctx, message->src, (uint32_t)message->call_id, &msg);
		fleet_finish_event(fleet, node, &acts);
	}
	peer_msg_release(&msg);
}

/* Messages to a suspended process are delivered when it resumes. */
static inline void fleet_deliver_due(struct fleet *fleet)
{
	for (guint i = 0; i < fleet->messages->len;) {
		struct message message = g_array_index(fleet->messages, struct message, i);

		if (message.at > fleet->now_ms || fleet->nodes[message.dst].paused) {
			i++;
			continue;
		}
		g_array_remove_index(fleet->messages, i);
		fleet_deliver(fleet, &message);
		g_bytes_unref(message.bytes);
	}
}

static inline void fleet_retry_due(struct fleet *fleet)
{
	for (guint i = 0; i < fleet->pending_calls->len;) {
		struct pending_call *p =
			&g_array_index(fleet->pending_calls, struct pending_call, i);
		struct pending_call copy = *p;

		if (p->next_at > fleet->now_ms || fleet->nodes[p->src].paused) {
			i++;
		} else if (p->tries && fleet->nodes[p->src].up) {
			p->tries--;
			p->next_at = fleet->now_ms + p->timeout_ms;
			fleet_send(fleet, copy.src, copy.dst, ACTION_PEER_CALL, copy.call_id,
				   copy.bytes);
			i++;
		} else {
			g_array_remove_index(fleet->pending_calls, i);
			fleet_reply(fleet, &copy, CALL_TIMEOUT, NULL);
			g_bytes_unref(copy.bytes);
		}
	}
}

static inline void fleet_heartbeat(struct fleet *fleet, struct node *src)
{
	for (uint32_t id = 1; id <= NODES_MAX; id++) {
		struct node *dst = &fleet->nodes[id];

		if (id == src->id || !fleet_reaches(fleet, src->id, id) || dst->paused ||
		    fleet_random(fleet, 1000) < fleet->loss_permille)
			continue;
		for (uint32_t k = 1; k <= NODES_MAX; k++) {
			if (k == id || (k != src->id &&
					src->mem.last_heartbeat[k] <= dst->mem.last_heartbeat[k]))
				continue;
			dst->mem.last_heartbeat[k] =
				k == src->id ? fleet->now_ms : src->mem.last_heartbeat[k];
			dst->mem.reported_state[k] =
				k == src->id ? src->mem.state : src->mem.reported_state[k];
			dst->mem.dead_at[k] = 0;
		}
		dst->mem.last_contact = fleet->now_ms;
		if (dst->mem.state == MEMBER_JOINING)
			dst->mem.state = MEMBER_LIVE;
	}
}

static inline void fleet_node_timer(struct fleet *fleet, struct node *node)
{
	struct actions acts;
	struct ctx ctx = fleet_ctx(fleet, node, &acts);

	for (uint32_t id = 1; id <= NODES_MAX; id++)
		if (node->mem.last_heartbeat[id] && !node->mem.dead_at[id] &&
		    node->mem.reported_state[id] != MEMBER_LEAVING &&
		    members_state(&node->mem, id) == MEMBER_DEAD)
			node->mem.dead_at[id] = fleet->now_ms;
	homes_timer(node->homes, &ctx);
	fleet_finish_event(fleet, node, &acts);
}

static inline void fleet_run(struct fleet *fleet, int64_t ms)
{
	int64_t end = fleet->now_ms + ms;

	while (fleet->now_ms < end) {
		fleet->now_ms++;
		fleet_deliver_due(fleet);
		fleet_retry_due(fleet);
		for (uint32_t id = 1; id <= NODES_MAX; id++) {
			struct node *node = &fleet->nodes[id];

			if (!node->up || node->paused)
				continue;
			if ((fleet->now_ms + id * 61) % SIM_HEARTBEAT_MS == 0)
				fleet_heartbeat(fleet, node);
			if ((fleet->now_ms + id * 7) % TIMER_INTERVAL_MS == 0)
				fleet_node_timer(fleet, node);
		}
	}
}

static inline void fleet_start_node(struct fleet *fleet, uint32_t id, enum member_state state)
{
	struct node *node = &fleet->nodes[id];
	struct actions acts;
	struct ctx ctx;

	*node = (struct node){ .id = id, .up = true };
	node->mem = (struct members){ .fleet = fleet, .self = id, .state = state };
	node->tgs.fleet = fleet;
	node->cfg = config_new(NULL);
	fleet_config(node, 100000);
	node->tab = flowtab_new(1000, ts_from_ms(fleet->now_ms - 1));
	node->homes = homes_new(&(struct homes_deps){
		.cfg = node->cfg,
		.mem = &node->mem,
		.tgs = &node->tgs,
		.tab = node->tab,
	});
	ctx = fleet_ctx(fleet, node, &acts);
	homes_config_changed(node->homes, &ctx);
	fleet_finish_event(fleet, node, &acts);
	fleet->listed_gone[id] = false;
}

static inline void fleet_kill(struct fleet *fleet, uint32_t id)
{
	struct node *node = &fleet->nodes[id];

	if (!node->up)
		return;
	node->up = false;
	homes_free(node->homes);
	flowtab_free(node->tab);
	config_free(node->cfg);
	for (guint i = fleet->messages->len; i-- > 0;) {
		struct message *message = &g_array_index(fleet->messages, struct message, i);

		if (message->dst == id) {
			g_bytes_unref(message->bytes);
			g_array_remove_index(fleet->messages, i);
		}
	}
	/* Replies to calls of this process must not reach the one that replaces it. */
	for (guint i = fleet->pending_calls->len; i-- > 0;) {
		struct pending_call *p =
			&g_array_index(fleet->pending_calls, struct pending_call, i);

		if (p->src == id) {
			g_bytes_unref(p->bytes);
			g_array_remove_index(fleet->pending_calls, i);
		}
	}
}

static inline void fleet_init(struct fleet *fleet, uint32_t nr, uint64_t seed)
{
	*fleet = (struct fleet){
		.now_ms = 100000,
		.nr = nr,
		.delay_ms = 4,
		.retries = 1000,
		.targets_version = 1,
	};
	seeded_random_init(&fleet->random, seed);
	fleet->messages = g_array_new(FALSE, FALSE, sizeof(struct message));
	fleet->pending_calls = g_array_new(FALSE, FALSE, sizeof(struct pending_call));
	for (uint32_t t = 0; t < 6; t++)
		fleet->eligible[t] = fleet->usable[t] = true;
	for (uint32_t id = 1; id <= nr; id++) {
		fleet_start_node(fleet, id, MEMBER_LIVE);
		for (uint32_t k = 1; k <= nr; k++) {
			fleet->nodes[id].mem.last_heartbeat[k] = fleet->now_ms;
			fleet->nodes[id].mem.reported_state[k] = MEMBER_LIVE;
		}
		fleet->nodes[id].mem.last_contact = fleet->now_ms;
	}
}

static inline void fleet_release(struct fleet *fleet)
{
	for (uint32_t id = 1; id <= NODES_MAX; id++)
		fleet_kill(fleet, id);
	for (guint i = 0; i < fleet->messages->len; i++)
		g_bytes_unref(g_array_index(fleet->messages, struct message, i).bytes);
	for (guint i = 0; i < fleet->pending_calls->len; i++)
		g_bytes_unref(g_array_index(fleet->pending_calls, struct pending_call, i).bytes);
	g_array_unref(fleet->messages);
	g_array_unref(fleet->pending_calls);
}

static inline void fleet_eligible(struct fleet *fleet, uint32_t target, bool eligible)
{
	fleet->eligible[target] = eligible;
	fleet->targets_version++;
}

static const unsigned char fleet_key[FLOW_KEY_BYTES] = { 9 };

static inline struct flow_key fleet_flow_key(struct service_addr addr, uint32_t flow)
{
	return (struct flow_key){ .caller = { 0x0a000000 + flow, 40000 }, .service = addr };
}

static inline uint64_t fleet_hash(struct service_addr addr, uint32_t flow)
{
	struct flow_key key = fleet_flow_key(addr, flow);

	return flow_hash(&key, fleet_key);
}

static inline void fleet_packet(struct fleet *fleet, uint32_t id, struct service_addr addr,
				const struct sim_bytes *sim)
{
	struct node *node = &fleet->nodes[id];
	struct packet pkt = {
		.key = fleet_flow_key(addr, sim->flow),
		.kind = (enum packet_kind)sim->kind,
		.opening_id = sim->kind == PACKET_OPENING ? sim->opening_id : 0,
		.payload_len = sim->payload_len,
		.deadline_ms = NO_DEADLINE,
		.bytes = (const uint8_t *)sim,
		.len = sizeof(*sim),
	};
	struct actions acts;
	struct ctx ctx;

	if (!node->up || node->paused)
		return;
	ctx = fleet_ctx(fleet, node, &acts);
	homes_packet(node->homes, &ctx, config_service(node->cfg, addr),
		     fleet_hash(addr, sim->flow), &pkt);
	fleet_finish_event(fleet, node, &acts);
}

static inline void fleet_answer(struct fleet *fleet, uint32_t id, struct service_addr addr,
				uint32_t target, enum answer_kind kind, const struct sim_bytes *sim)
{
	struct node *node = &fleet->nodes[id];
	struct answer ans = {
		.key = fleet_flow_key(addr, sim->flow),
		.kind = kind,
		.opening_id = sim->opening_id,
		.payload_len = sim->payload_len,
		.bytes = (const uint8_t *)sim,
		.len = sizeof(*sim),
	};
	struct actions acts;
	struct ctx ctx;

	if (!node->up || node->paused)
		return;
	ans.target = (struct endpoint){ (target < 4 ? 0xc6336400 : 0xc6336500) + target + 1, 6080 };
	ctx = fleet_ctx(fleet, node, &acts);
	homes_answer(node->homes, &ctx, config_service(node->cfg, addr),
		     fleet_hash(addr, sim->flow), &ans);
	fleet_finish_event(fleet, node, &acts);
}

/* Index of the target that an action names, as in the configuration above. */
static inline uint32_t fleet_target(const struct action *act)
{
	return (act->target.ip & 0xff) - 1;
}

#endif
