/*
 * Instances that exchange credits in memory, in simulated time, with targets that have slots and
 * queues. Messages are encoded and decoded as in the relay, and may be lost, late or repeated.
 */
#ifndef EXCHANGE_SIM_H
#define EXCHANGE_SIM_H

#include <glib.h>
#include <string.h>

#include "beliefs.h"
#include "credit/exchange.h"
#include "random.h"
#include "t/silent-out.h"
#include "timeutil.h"
#include "view.h"

#define EXSIM_STEP_MS	  10
#define EXSIM_START_MS	  1000000
#define EXSIM_SELF_IP	  0x0a000001u
#define EXSIM_MAX_NODES	  128
#define EXSIM_INTERVAL_MS 250
#define EXSIM_SERVICE	  "web"
/* A datagram's bytes besides the message: UDP and IPv4 headers, RPC header and seal. */
#define EXSIM_OVERHEAD_BYTES (28 + PEER_RPC_HEADER_BYTES + SEAL_OVERHEAD_BYTES)
#define EXSIM_LINK_MS	     10

struct exsim;

struct exsim_target {
	char id[16];
	const char *data_centre;
	uint32_t slots;
	int64_t free_ms[8]; /* when each slot is free */
	bool dead;
};

struct exsim_request {
	unsigned int node;
	struct exsim_target *target;
	int64_t taken_ms;
	int64_t done_ms;
};

struct exsim_message {
	int64_t due_ms;
	unsigned int src, dst;
	GBytes *bytes;
};

struct exsim_node {
	struct exchange_out out; /* first member */
	struct steer_out steer_out;
	struct exsim *sim;
	unsigned int nr;
	bool up, paused;
	struct control_state cs;
	struct exchange *ex;
	unsigned int reader; /* the node that it follows */
	uint32_t per_s;	     /* openings */
	uint32_t reused_per_s;
	uint32_t due_openings, due_reused; /* in thousandths */
	unsigned int placed, unplaced;	   /* openings with and without a credit */
	uint64_t bytes_out;
	unsigned int largest;
	unsigned int lists;	/* calls of list_readers */
	bool list_due;		/* the latest one has no answer yet */
	GHashTable *granted;	/* digests of the latest grant sent to this node */
	GBytes *last_report;	/* encoded, as sent */
	GBytes *last_grant;	/* likewise, sent to this node */
	int64_t report_sent_ms; /* latest one */
};

struct exsim {
	struct exsim_node nodes[EXSIM_MAX_NODES];
	unsigned int nr;
	struct exsim_target targets[1200];
	unsigned int nr_targets;
	struct seeded_random random;
	int64_t now_ms;
	int64_t service_ms;
	GPtrArray *sent;  /* struct exsim_message */
	GArray *requests; /* struct exsim_request */
	unsigned int loss_percent, late_percent, repeat_percent;
	bool no_goal;
	struct exchange_reader readers[8];
	size_t nr_readers;
};

static struct timespec exsim_now(const struct exsim *sim)
{
	return ts_from_ms(EXSIM_START_MS + sim->now_ms);
}

static void exsim_free_message(gpointer data)
{
	g_bytes_unref(((struct exsim_message *)data)->bytes);
	g_free(data);
}

static void exsim_queue(struct exsim *sim, unsigned int src, unsigned int dst, GBytes *bytes,
			int64_t delay_ms)
{
	struct exsim_message *msg = g_new(struct exsim_message, 1);

	*msg = (struct exsim_message){ sim->now_ms + delay_ms, src, dst, g_bytes_ref(bytes) };
	g_ptr_array_add(sim->sent, msg);
}

/* Sends a message as the relay does, and returns it encoded. */
static GBytes *exsim_send(struct exsim_node *node, unsigned int dst, const peer_msg *msg)
{
	struct exsim *sim = node->sim;
	struct random *random = &sim->random.random;
	GByteArray *encoded = g_byte_array_new();
	int64_t delay = EXSIM_LINK_MS;
	GBytes *bytes;

	g_assert_cmpint(peer_msg_encode(msg, encoded), ==, 0);
	/* Larger messages are not sent by the relay. */
	g_assert_cmpuint(encoded->len, <=, VIEW_MAX_MESSAGE_BYTES);
	node->bytes_out += encoded->len + EXSIM_OVERHEAD_BYTES;
	node->largest = MAX(node->largest, encoded->len);
	bytes = g_byte_array_free_to_bytes(encoded);
	if (random_below(random, 100) < sim->late_percent)
		delay += random_below(random, 600);
	if (random_below(random, 100) >= sim->loss_percent)
		exsim_queue(sim, node->nr, dst, bytes, delay);
	if (random_below(random, 100) < sim->repeat_percent)
		exsim_queue(sim, node->nr, dst, bytes, delay + 300);
	return bytes;
}

static void exsim_out_report(struct exchange_out *out, const peer_msg *msg)
{
	struct exsim_node *node = (struct exsim_node *)out;

	g_clear_pointer(&node->last_report, g_bytes_unref);
	node->last_report = exsim_send(node, node->reader, msg);
	node->report_sent_ms = node->sim->now_ms;
}

static void exsim_note_granted(struct exsim_node *node, const peer_credit_grant *grant)
{
	g_hash_table_remove_all(node->granted);
	for (u_int i = 0; i < grant->entries.entries_len; i++)
		g_hash_table_add(node->granted,
				 g_memdup2(&grant->entries.entries_val[i].target, 8));
	for (u_int i = 0; i < grant->lent.lent_len; i++)
		g_hash_table_add(node->granted, g_memdup2(&grant->lent.lent_val[i].target, 8));
}

static void exsim_out_grant(struct exchange_out *out, uint32_t id, const peer_msg *msg)
{
	struct exsim_node *node = (struct exsim_node *)out;
	struct exsim_node *dst;

	g_assert_cmpuint(id - EXSIM_SELF_IP, <, EXSIM_MAX_NODES);
	dst = &node->sim->nodes[id - EXSIM_SELF_IP];
	if (dst->up)
		exsim_note_granted(dst, &msg->peer_msg_u.credit_grant);
	g_clear_pointer(&dst->last_grant, g_bytes_unref);
	dst->last_grant = exsim_send(node, dst->nr, msg);
}

static void exsim_out_list(struct exchange_out *out)
{
	((struct exsim_node *)out)->lists++;
	((struct exsim_node *)out)->list_due = true;
}

static void exsim_out_borrow(struct exchange_out *out, const struct reader_entry *reader,
			     const peer_msg *msg)
{
	g_bytes_unref(exsim_send((struct exsim_node *)out, reader->ep.ip - EXSIM_SELF_IP, msg));
}

static const struct exchange_out_ops exsim_out_ops = {
	exsim_out_report,
	exsim_out_grant,
	exsim_out_list,
	exsim_out_borrow,
};

static void exsim_put_target(struct exsim_node *node, const struct exsim_target *tgt)
{
	struct target_info info = {
		.id = tgt->id,
		.ep = { 0x0a800001, 80 },
		.service = symbols_intern(&node->cs.symbols, EXSIM_SERVICE),
		.data_centre = symbols_intern(&node->cs.symbols, tgt->data_centre),
		.slots = tgt->slots,
		.born_ms = 5,
		.revision = store_version_make(0, 1),
	};

	control_state_put_target(&node->cs, &info, exsim_now(node->sim));
}

static void exsim_configure(struct exsim_node *node)
{
	struct route_rule rule = {
		.address = { 0xc6120001u, 80 },
		.nr_services = 1,
		.weight_sum = 1,
		.admission = { .goal_ms = node->sim->no_goal ? 0 : 500, .timeout_ms = 4000 },
	};

	rule.services[0] = (struct route_service){
		.service = symbols_intern(&node->cs.symbols, EXSIM_SERVICE),
		.weight = 1,
	};
	g_assert_true(routing_begin(node->cs.routing, 1));
	routing_add_route(node->cs.routing, &rule);
	control_state_commit_config(&node->cs, exsim_now(node->sim));
}

/* Starts the next node, which knows the targets that exist. */
static struct exsim_node *exsim_add_node(struct exsim *sim, const char *data_centre,
					 unsigned int reader, enum exchange_role role,
					 uint32_t per_s)
{
	unsigned int nr = sim->nr++;
	struct exsim_node *node = &sim->nodes[nr];
	struct control_state_options cs = {
		.data_centre = data_centre,
		.max_flows = 1024,
		.random = &sim->random.random,
		.out = &node->steer_out,
		.credits = true,
	};
	struct exchange_options opts = {
		.control_state = &node->cs,
		.out = &node->out,
		.random = &sim->random.random,
		.self = EXSIM_SELF_IP + nr,
		.incarnation = 1,
		.interval_ms = EXSIM_INTERVAL_MS,
	};

	g_assert_cmpuint(nr, <, EXSIM_MAX_NODES);
	*node = (struct exsim_node){
		.out = { &exsim_out_ops },
		.steer_out = { &null_out_ops },
		.sim = sim,
		.nr = nr,
		.up = true,
		.reader = reader,
		.per_s = per_s,
		.granted = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL),
	};
	control_state_init(&node->cs, &cs);
	for (unsigned int i = 0; i < sim->nr_targets; i++)
		exsim_put_target(node, &sim->targets[i]);
	exsim_configure(node);
	opts.account = node->cs.credit;
	node->ex = exchange_new(&opts);
	exchange_set_role(node->ex, role, exsim_now(sim));
	return node;
}

/* Ends an instance without notice. */
static void exsim_kill(struct exsim_node *node)
{
	if (!node->up)
		return;
	for (guint i = node->sim->requests->len; i-- > 0;) {
		if (g_array_index(node->sim->requests, struct exsim_request, i).node == node->nr)
			g_array_remove_index_fast(node->sim->requests, i);
	}
	exchange_free(node->ex);
	control_state_release(&node->cs);
	g_hash_table_unref(node->granted);
	node->up = false;
}

static void exsim_init(struct exsim *sim)
{
	*sim = (struct exsim){ .service_ms = 50 };
	seeded_random_init(&sim->random, 1);
	sim->sent = g_ptr_array_new_with_free_func(exsim_free_message);
	sim->requests = g_array_new(FALSE, FALSE, sizeof(struct exsim_request));
}

static void exsim_release(struct exsim *sim)
{
	for (unsigned int i = 0; i < sim->nr; i++) {
		exsim_kill(&sim->nodes[i]);
		g_clear_pointer(&sim->nodes[i].last_report, g_bytes_unref);
		g_clear_pointer(&sim->nodes[i].last_grant, g_bytes_unref);
	}
	g_ptr_array_unref(sim->sent);
	g_array_unref(sim->requests);
	g_free(sim);
}

static void exsim_add_targets(struct exsim *sim, const char *data_centre, unsigned int nr)
{
	for (unsigned int i = 0; i < nr; i++) {
		struct exsim_target *tgt = &sim->targets[sim->nr_targets++];

		*tgt = (struct exsim_target){ .data_centre = data_centre, .slots = 2 };
		g_snprintf(tgt->id, sizeof(tgt->id), "%.4s-%x", data_centre, i);
	}
}

static inline struct exsim_target *exsim_target(struct exsim *sim, const char *id)
{
	for (unsigned int i = 0; i < sim->nr_targets; i++) {
		if (!strcmp(sim->targets[i].id, id))
			return &sim->targets[i];
	}
	g_error("no target %s", id);
}

static uint32_t exsim_service(const struct exsim_node *node)
{
	return symbols_find(&node->cs.symbols, EXSIM_SERVICE);
}

static inline bool exsim_active(const struct exsim_node *node)
{
	return credit_active(node->cs.credit, exsim_service(node), exsim_now(node->sim));
}

static inline uint32_t exsim_held(const struct exsim_node *node)
{
	struct credit_status status;

	credit_status(node->cs.credit, exsim_service(node), exsim_now(node->sim), &status);
	return status.held;
}

/* Sum of the credits of all instances of a range that run. */
static inline uint32_t exsim_held_by(const struct exsim *sim, unsigned int first, unsigned int end)
{
	uint32_t sum = 0;

	for (unsigned int i = first; i < end; i++)
		sum += sim->nodes[i].up ? exsim_held(&sim->nodes[i]) : 0;
	return sum;
}

static inline struct exchange_status exsim_status(const struct exsim_node *node)
{
	struct exchange_status status;

	exchange_status(node->ex, exsim_now(node->sim), &status);
	return status;
}

/* Passes an encoded message to a node, as if it came from @src. */
static inline void exsim_receive(struct exsim_node *node, unsigned int src, GBytes *bytes)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(bytes, &len);
	struct timespec now = exsim_now(node->sim);
	peer_msg msg;

	g_assert_cmpint(peer_msg_decode(&msg, data, len), ==, 0);
	if (msg.type == PEER_CREDIT_REPORT)
		exchange_receive_report(node->ex, EXSIM_SELF_IP + src,
					&msg.peer_msg_u.credit_report, now);
	else if (src == node->reader || node->reader == node->nr)
		exchange_receive_grant(node->ex, EXSIM_SELF_IP + src, &msg.peer_msg_u.credit_grant,
				       now);
	peer_msg_release(&msg);
}

static void exsim_deliver(struct exsim *sim)
{
	for (guint i = 0; i < sim->sent->len;) {
		struct exsim_message *msg = g_ptr_array_index(sim->sent, i);
		struct exsim_node *dst = &sim->nodes[msg->dst];

		if (msg->due_ms > sim->now_ms || dst->paused) {
			i++;
			continue;
		}
		if (dst->up)
			exsim_receive(dst, msg->src, msg->bytes);
		g_ptr_array_remove_index(sim->sent, i);
	}
}

static void exsim_end_requests(struct exsim *sim)
{
	for (guint i = sim->requests->len; i-- > 0;) {
		struct exsim_request *req = &g_array_index(sim->requests, struct exsim_request, i);
		struct exsim_node *node = &sim->nodes[req->node];

		if (req->done_ms > sim->now_ms || req->target->dead || node->paused)
			continue;
		credit_return(node->cs.credit, registry_by_id(node->cs.registry, req->target->id),
			      CREDIT_ANSWERED, sim->now_ms - req->taken_ms, 0, exsim_now(sim));
		g_array_remove_index_fast(sim->requests, i);
	}
}

/* Adds the request to the slot of its target that is free first. */
static int64_t exsim_run_request(struct exsim *sim, struct exsim_target *tgt)
{
	uint32_t best = 0;

	for (uint32_t i = 1; i < tgt->slots; i++) {
		if (tgt->free_ms[i] < tgt->free_ms[best])
			best = i;
	}
	tgt->free_ms[best] = MAX(tgt->free_ms[best], sim->now_ms) + sim->service_ms;
	return tgt->free_ms[best];
}

static void exsim_open(struct exsim_node *node)
{
	struct exsim *sim = node->sim;
	struct timespec now = exsim_now(sim);
	struct placing_request req = {
		.rule = routing_find(node->cs.routing, (struct endpoint){ 0xc6120001u, 80 }),
		.now = now,
		.flow_digest = random_below(&sim->random.random, UINT32_MAX),
	};
	struct exsim_request open = { .node = node->nr, .taken_ms = sim->now_ms };
	struct reg_target *tgt;
	bool usable;

	credit_note_opening(node->cs.credit, exsim_service(node), 1);
	tgt = credit_choose(node->cs.credit, exsim_service(node), &node->cs.placing, &req, &usable);
	node->placed += tgt != NULL;
	node->unplaced += !tgt;
	if (!tgt)
		return;
	credit_take(node->cs.credit, tgt, now);
	open.target = exsim_target(sim, tgt->id->str);
	open.done_ms = exsim_run_request(sim, open.target);
	g_array_append_val(sim->requests, open);
}

static void exsim_step_node(struct exsim_node *node)
{
	struct exsim *sim = node->sim;
	struct timespec now = exsim_now(sim);

	node->due_openings += node->per_s * EXSIM_STEP_MS;
	node->due_reused += node->reused_per_s * EXSIM_STEP_MS;
	for (; node->due_openings >= MSEC_PER_SEC; node->due_openings -= MSEC_PER_SEC)
		exsim_open(node);
	for (; node->due_reused >= MSEC_PER_SEC; node->due_reused -= MSEC_PER_SEC)
		credit_note_reuse(node->cs.credit, exsim_service(node));
	if (exchange_due_ms(node->ex, now) <= 0)
		exchange_timer(node->ex, now);
	if (node->list_due)
		exchange_readers(node->ex, sim->readers, sim->nr_readers, now);
	node->list_due = false;
}

static void exsim_run(struct exsim *sim, int64_t ms)
{
	for (int64_t end = sim->now_ms + ms; sim->now_ms < end;) {
		sim->now_ms += EXSIM_STEP_MS;
		exsim_deliver(sim);
		exsim_end_requests(sim);
		for (unsigned int i = 0; i < sim->nr; i++) {
			if (sim->nodes[i].up && !sim->nodes[i].paused)
				exsim_step_node(&sim->nodes[i]);
		}
	}
}

/* Decodes a captured message; what a test puts in the copy is not freed with it. */
static inline void exsim_decode(GBytes *bytes, peer_msg *msg, peer_msg *copy)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(bytes, &len);

	g_assert_cmpint(peer_msg_decode(msg, data, len), ==, 0);
	*copy = *msg;
}

#endif
