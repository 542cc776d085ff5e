/*
 * Guards against credits that do not pass the relay: reports and grants between a reader and its
 * followers, and loans between the readers of two data centres, in sealed datagrams. Also against
 * messages of instances without credits, and against forged ones.
 */
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "edge-metrics.h"
#include "metrics.h"
#include "random.h"
#include "relay.h"
#include "t/silent-out.h"
#include "timeutil.h"

#define NODES		4
#define NODES_PER_DC	2
#define STEP_MS		10
#define START_MS	1000000
#define SELF_IP		0x0a000001u
#define PORT		7000
#define TARGETS_PER_DC	4
#define SERVICE		"web"
#define MAX_IN_PROGRESS 200

struct sim;

struct node {
	struct relay_out out; /* first member */
	struct upstream upstream;
	struct steer_out steer_out;
	struct sim *sim;
	unsigned int nr, data_centre;
	struct control_state cs;
	struct relay *relay;
	bool running, informed, lookup_pending, claim_pending, list_pending;
	struct reader_entry claim;
	uint32_t per_s, due;
	uint64_t sent; /* datagrams */
};

struct datagram {
	int64_t due_ms;
	unsigned int src, dst;
	GBytes *bytes;
};

struct sim {
	struct node nodes[NODES];
	struct seeded_random random;
	int64_t now_ms;
	int64_t revision;
	struct reader_entry entries[NODES / NODES_PER_DC];
	GPtrArray *sent;
	int64_t slot_free_ms[2 * TARGETS_PER_DC][2];
	struct {
		struct node *node;
		struct reg_target *tgt;
		int64_t done_ms;
	} in_progress[MAX_IN_PROGRESS];
};

static const char *const data_centres[] = { "dc-a", "dc-b" };

static struct timespec sim_now(const struct sim *sim)
{
	return ts_from_ms(START_MS + sim->now_ms);
}

static void free_datagram(gpointer data)
{
	g_bytes_unref(((struct datagram *)data)->bytes);
	g_free(data);
}

static void out_send(struct relay_out *out, struct endpoint dst, const uint8_t *bytes, size_t len)
{
	struct node *node = (struct node *)out;
	struct datagram *dg = g_new(struct datagram, 1);

	g_assert_cmpuint(dst.ip - SELF_IP, <, NODES);
	*dg = (struct datagram){ node->sim->now_ms + STEP_MS, node->nr, dst.ip - SELF_IP,
				 g_bytes_new(bytes, len) };
	g_ptr_array_add(node->sim->sent, dg);
	node->sent++;
}

static const struct relay_out_ops out_ops = { out_send };

static struct node *node_of(struct upstream *up)
{
	return (struct node *)((char *)up - offsetof(struct node, upstream));
}

static void up_run(struct upstream *up)
{
	node_of(up)->running = true;
}

static void up_pause(struct upstream *up)
{
	node_of(up)->running = false;
}

static void up_refresh(struct upstream *up)
{
	(void)up;
}

static void up_fetch(struct upstream *up, enum control_kind kind)
{
	(void)kind;
	node_of(up)->informed = false;
}

static void up_lookup_reader(struct upstream *up, bool fresh)
{
	(void)fresh;
	node_of(up)->lookup_pending = true;
}

static void up_claim(struct upstream *up, const struct reader_entry *entry)
{
	node_of(up)->claim = *entry;
	node_of(up)->claim_pending = true;
}

static void up_list_readers(struct upstream *up)
{
	node_of(up)->list_pending = true;
}

static const struct upstream_ops upstream_ops = {
	up_run, up_pause, up_refresh, up_fetch, up_lookup_reader, up_claim, up_list_readers,
};

static void start_node(struct sim *sim, unsigned int nr, bool credits)
{
	struct node *node = &sim->nodes[nr];
	struct control_state_options cs = {
		.data_centre = data_centres[nr / NODES_PER_DC],
		.max_flows = 1024,
		.random = &sim->random.random,
		.out = &node->steer_out,
		.credits = credits,
	};
	struct relay_options relay = {
		.control_state = &node->cs,
		.upstream = &node->upstream,
		.out = &node->out,
		.self = { SELF_IP + nr, PORT },
		.incarnation = 1,
		.random = &sim->random.random,
		.credit_interval_ms = 250,
	};

	*node = (struct node){
		.out = { &out_ops },
		.upstream = { &upstream_ops },
		.steer_out = { &null_out_ops },
		.sim = sim,
		.nr = nr,
		.data_centre = nr / NODES_PER_DC,
	};
	control_state_init(&node->cs, &cs);
	relay.account = node->cs.credit;
	node->relay = relay_new(&relay);
	relay_start(node->relay, sim_now(sim));
}

static void report_targets(struct node *node)
{
	struct symbols *syms = &node->cs.symbols;

	control_state_targets_begin(&node->cs);
	for (unsigned int i = 0; i < 2 * TARGETS_PER_DC; i++) {
		const char *data_centre = data_centres[i / TARGETS_PER_DC];
		char id[16];
		struct target_info info = {
			.id = id,
			.ep = { 0x0a800001, 80 },
			.service = symbols_intern(syms, SERVICE),
			.data_centre = symbols_intern(syms, data_centre),
			.slots = 2,
			.born_ms = 5,
			.revision = store_version_make(0, 1),
		};

		g_snprintf(id, sizeof(id), "t-%u", i);
		control_state_put_target(&node->cs, &info, sim_now(node->sim));
	}
	control_state_targets_end(&node->cs, sim_now(node->sim));
}

static void report_config(struct node *node)
{
	struct route_rule rule = {
		.address = { 0xc6120001u, 80 },
		.nr_services = 1,
		.weight_sum = 1,
		.admission = { .goal_ms = 500, .timeout_ms = 4000 },
	};

	rule.services[0].service = symbols_intern(&node->cs.symbols, SERVICE);
	rule.services[0].weight = 1;
	if (!routing_begin(node->cs.routing, 3))
		return;
	routing_add_route(node->cs.routing, &rule);
	control_state_commit_config(&node->cs, sim_now(node->sim));
}

/* Watches are answered every 100 ms, with everything the first time. */
static void serve_watches(struct node *node, struct timespec now)
{
	struct control_state *cs = &node->cs;

	if (node->sim->now_ms % 100 || !node->running)
		return;
	control_state_begin_answer(cs, store_version_make(0, 1), now);
	if (!node->informed) {
		report_targets(node);
		report_config(node);
	}
	node->informed = true;
	for (int i = 0; i < CONTROL_KINDS; i++) {
		control_state_store_answered(cs, (enum control_kind)i, now);
		control_state_complete(cs, (enum control_kind)i, store_version_make(0, 1));
		control_state_received(cs, (enum control_kind)i, now);
	}
	relay_control_state_changed(node->relay, now);
}

static void serve_entries(struct node *node, struct timespec now)
{
	struct sim *sim = node->sim;
	struct reader_entry *entry = &sim->entries[node->data_centre];
	struct exchange_reader readers[G_N_ELEMENTS(sim->entries)];

	if (node->lookup_pending) {
		node->lookup_pending = false;
		relay_lookup_done(node->relay, true,
				  store_version_known(entry->revision) ? entry : NULL, now);
	}
	if (node->claim_pending) {
		bool done = !store_version_cmp(entry->revision, node->claim.revision);

		node->claim_pending = false;
		if (done) {
			*entry = node->claim;
			entry->revision = store_version_make(0, ++sim->revision);
		}
		relay_claim_done(node->relay, done, now);
	}
	if (!node->list_pending)
		return;
	node->list_pending = false;
	for (size_t i = 0; i < G_N_ELEMENTS(readers); i++)
		readers[i] = (struct exchange_reader){ data_centres[i], sim->entries[i] };
	relay_readers_listed(node->relay, readers, G_N_ELEMENTS(readers), now);
}

/* Adds a request of 50 ms to the slot of the target that is free first; when it ends. */
static int64_t run_request(struct sim *sim, const struct reg_target *tgt)
{
	int64_t *slots = sim->slot_free_ms[g_ascii_strtoull(tgt->id->str + 2, NULL, 10)];
	int64_t *slot = slots[1] < slots[0] ? &slots[1] : &slots[0];

	*slot = MAX(*slot, sim->now_ms) + 50;
	return *slot;
}

/* An opening, which is sent to a target if there is a credit for it. */
static void open_one(struct node *node, struct timespec now)
{
	struct sim *sim = node->sim;
	uint32_t service = symbols_find(&node->cs.symbols, SERVICE);
	struct placing_request req = {
		.rule = routing_find(node->cs.routing, (struct endpoint){ 0xc6120001u, 80 }),
		.now = now,
		.flow_digest = random_below(&sim->random.random, UINT32_MAX),
	};
	struct reg_target *tgt;
	bool usable;

	if (!req.rule)
		return;
	credit_note_opening(node->cs.credit, service, 1);
	tgt = credit_choose(node->cs.credit, service, &node->cs.placing, &req, &usable);
	for (size_t i = 0; tgt && i < MAX_IN_PROGRESS; i++) {
		if (sim->in_progress[i].tgt)
			continue;
		credit_take(node->cs.credit, tgt, now);
		sim->in_progress[i].node = node;
		sim->in_progress[i].tgt = tgt;
		sim->in_progress[i].done_ms = run_request(sim, tgt);
		break;
	}
}

static void end_requests(struct sim *sim)
{
	for (size_t i = 0; i < MAX_IN_PROGRESS; i++) {
		if (!sim->in_progress[i].tgt || sim->in_progress[i].done_ms > sim->now_ms)
			continue;
		credit_return(sim->in_progress[i].node->cs.credit, sim->in_progress[i].tgt,
			      CREDIT_ANSWERED, 50, 0, sim_now(sim));
		sim->in_progress[i].tgt = NULL;
	}
}

static void deliver(struct sim *sim)
{
	for (guint i = 0; i < sim->sent->len;) {
		struct datagram *dg = g_ptr_array_index(sim->sent, i);
		gsize len;
		const uint8_t *bytes = g_bytes_get_data(dg->bytes, &len);

		if (dg->due_ms > sim->now_ms) {
			i++;
			continue;
		}
		relay_receive(sim->nodes[dg->dst].relay,
			      (struct endpoint){ SELF_IP + dg->src, PORT }, bytes, len,
			      sim_now(sim));
		g_ptr_array_remove_index(sim->sent, i);
	}
}

static void run(struct sim *sim, int64_t ms)
{
	for (int64_t end = sim->now_ms + ms; sim->now_ms < end;) {
		struct timespec now;

		sim->now_ms += STEP_MS;
		now = sim_now(sim);
		deliver(sim);
		end_requests(sim);
		for (unsigned int i = 0; i < NODES; i++) {
			struct node *node = &sim->nodes[i];

			serve_entries(node, now);
			serve_watches(node, now);
			node->due += node->per_s * STEP_MS;
			for (; node->due >= MSEC_PER_SEC; node->due -= MSEC_PER_SEC)
				open_one(node, now);
			if (relay_due_ms(node->relay, now) <= STEP_MS)
				relay_timer(node->relay, now);
		}
	}
}

static struct sim *sim_new(bool credits)
{
	struct sim *sim = g_new0(struct sim, 1);

	seeded_random_init(&sim->random, 1);
	sim->sent = g_ptr_array_new_with_free_func(free_datagram);
	sim->revision = 1;
	for (unsigned int i = 0; i < NODES; i++)
		start_node(sim, i, credits);
	return sim;
}

static void sim_free(struct sim *sim)
{
	for (unsigned int i = 0; i < NODES; i++) {
		relay_free(sim->nodes[i].relay);
		control_state_release(&sim->nodes[i].cs);
	}
	g_ptr_array_unref(sim->sent);
	g_free(sim);
}

static void set_demand(struct sim *sim, unsigned int data_centre, uint32_t per_s)
{
	for (unsigned int i = 0; i < NODES_PER_DC; i++)
		sim->nodes[data_centre * NODES_PER_DC + i].per_s = per_s;
}

static struct node *reader_of(struct sim *sim, unsigned int data_centre)
{
	struct node *node = &sim->nodes[data_centre * NODES_PER_DC];

	return relay_role(node->relay) == RELAY_READING ? node : node + 1;
}

static struct exchange_status status_of(const struct node *node)
{
	struct exchange_status status;

	exchange_status(relay_exchange(node->relay), sim_now(node->sim), &status);
	return status;
}

static void check_clean(const struct sim *sim)
{
	for (unsigned int i = 0; i < NODES; i++) {
		const struct counters *cnt = relay_counters(sim->nodes[i].relay);

		g_assert_cmpuint(cnt->peer_bad, ==, 0);
		g_assert_cmpuint(cnt->peer_unauthentic, ==, 0);
		g_assert_cmpuint(cnt->peer_replayed, ==, 0);
		g_assert_cmpuint(cnt->peer_unsent, ==, 0);
		g_assert_cmpuint(sim->nodes[i].cs.counters.credit_dropped, ==, 0);
	}
}

/* The first reader borrows, stops, and borrows again over the same channel. */
static void test_lending(void)
{
	struct sim *sim = sim_new(true);

	run(sim, 6000);
	set_demand(sim, 0, 30);
	set_demand(sim, 1, 15);
	run(sim, 3000);
	for (unsigned int i = 0; i < NODES; i++)
		g_assert_cmpuint(status_of(&sim->nodes[i]).held, >, 0);
	g_assert_cmpuint(status_of(reader_of(sim, 0)).members, ==, NODES_PER_DC);
	g_assert_cmpuint(status_of(reader_of(sim, 0)).borrowed, ==, 0);
	for (int time = 0; time < 2; time++) {
		/* 200 openings a second need 10 slots, and 6.8 of 8 are usable. */
		set_demand(sim, 0, 100);
		run(sim, 4000);
		g_assert_cmpuint(status_of(reader_of(sim, 0)).borrowed, >=, 2);
		g_assert_cmpuint(status_of(reader_of(sim, 1)).lent, >=, 2);
		set_demand(sim, 0, 30);
		run(sim, 5000);
		g_assert_cmpuint(status_of(reader_of(sim, 0)).borrowed, ==, 0);
		g_assert_cmpuint(status_of(reader_of(sim, 1)).lent, ==, 0);
	}
	/* The other way, while the channel of the first loan is still open. */
	set_demand(sim, 1, 100);
	run(sim, 4000);
	g_assert_cmpuint(status_of(reader_of(sim, 1)).borrowed, >=, 2);
	check_clean(sim);
	sim_free(sim);
}

static void check_metric(const GString *page, const char *name, uint64_t least, uint64_t most)
{
	char *line = g_strdup_printf("\n" METRICS_PREFIX "%s ", name);
	const char *at = strstr(page->str, line);
	uint64_t value;

	g_test_message("%s", name);
	g_assert_nonnull(at);
	value = g_ascii_strtoull(at + strlen(line), NULL, 10);
	g_assert_cmpuint(value, >=, least);
	g_assert_cmpuint(value, <=, most);
	g_free(line);
}

static GString *metrics_of(struct node *node)
{
	GString *page = g_string_new("\n");
	struct histogram delays = { 0 };
	struct edge_status status = {
		.control_state = &node->cs,
		.relay = node->relay,
		.loop_delays = &delays,
		.now = sim_now(node->sim),
		.started = ts_from_ms(START_MS),
	};

	edge_metrics_write(page, &status);
	return page;
}

/* An operator must see what is allocated, lent and dropped; without credits there is no gauge. */
static void test_metrics(void)
{
	struct sim *sim = sim_new(true);
	struct sim *off = sim_new(false);
	struct node *reader;
	GString *page;

	run(sim, 6000);
	set_demand(sim, 0, 100);
	set_demand(sim, 1, 15);
	run(sim, 5000);
	reader = reader_of(sim, 0);
	page = metrics_of(reader);
	check_metric(page, "credit_members", NODES_PER_DC, NODES_PER_DC);
	check_metric(page, "credit_services", 1, 1);
	check_metric(page, "credit_targets_left_out", 0, 0);
	check_metric(page, "credits_borrowed", 2, 8);
	check_metric(page, "credits_lent", 0, 0);
	check_metric(page, "credits_held", 4, 40);
	check_metric(page, "credits_in_use", 1, 40);
	check_metric(page, "credit_grant_in_force", 1, 1);
	check_metric(page, "credit_grant_age_milliseconds", 0, 250);
	check_metric(page, "credit_reports_in_total", 15, 60);
	check_metric(page, "credit_reports_out_total", 5, 20);
	check_metric(page, "credit_grants_in_total", 5, 20);
	check_metric(page, "credit_grants_out_total", 8, 40);
	check_metric(page, "credit_dropped_total", 0, 0);
	g_string_free(page, TRUE);
	page = metrics_of(reader_of(sim, 1));
	check_metric(page, "credits_lent", 2, 8);
	g_string_free(page, TRUE);
	page = metrics_of(&off->nodes[0]);
	g_assert_null(strstr(page->str, "credits_held"));
	g_string_free(page, TRUE);
	sim_free(sim);
	sim_free(off);
}

/* Grants end at a planned stop of the reader, and after a suspension. */
static void test_ends(void)
{
	struct sim *sim = sim_new(true);
	struct node *follower;

	run(sim, 6000);
	set_demand(sim, 0, 30);
	run(sim, 3000);
	follower = reader_of(sim, 0) == &sim->nodes[0] ? &sim->nodes[1] : &sim->nodes[0];
	g_assert_cmpint(status_of(follower).age_ms, >=, 0);
	relay_process_resumed(follower->relay, sim_now(sim));
	g_assert_cmpint(status_of(follower).age_ms, ==, -1);
	run(sim, 1500);
	g_assert_cmpint(status_of(follower).age_ms, >=, 0);
	relay_stop(reader_of(sim, 0)->relay, sim_now(sim));
	run(sim, 50);
	g_assert_cmpint(relay_role(follower->relay), ==, RELAY_ALONE);
	g_assert_cmpint(status_of(follower).age_ms, ==, -1);
	sim_free(sim);
}

/* Without credits there is no exchange, and its messages have no effect. */
static void test_off(void)
{
	struct sim *sim = sim_new(false);
	struct node *reader;
	uint64_t sent;

	run(sim, 6000);
	reader = reader_of(sim, 0);
	g_assert_null(relay_exchange(reader->relay));
	sent = reader->sent;
	run(sim, 5000);
	/* A heartbeat every 500 ms, and the answers to the follower's request each second. */
	g_assert_cmpuint(reader->sent - sent, <=, 16);
	relay_readers_listed(reader->relay, NULL, 0, sim_now(sim));
	relay_stop(reader->relay, sim_now(sim));
	check_clean(sim);
	sim_free(sim);
}

/* A datagram with the first byte of a lender's key, from its address, but forged. */
static void test_forged(void)
{
	struct sim *sim = sim_new(true);
	struct node *reader;
	uint8_t bytes[200];
	uint32_t borrowed;

	run(sim, 6000);
	set_demand(sim, 0, 100);
	set_demand(sim, 1, 15);
	run(sim, 5000);
	reader = reader_of(sim, 0);
	borrowed = status_of(reader).borrowed;
	g_assert_cmpuint(borrowed, >=, 2);
	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = (uint8_t)random_below(&sim->random.random, 256);
	bytes[0] = sim->entries[1].key[0];
	for (size_t len = 0; len < sizeof(bytes); len++)
		relay_receive(reader->relay, sim->entries[1].ep, bytes, len, sim_now(sim));
	g_assert_cmpuint(relay_counters(reader->relay)->peer_unauthentic +
				 relay_counters(reader->relay)->peer_bad,
			 ==, sizeof(bytes));
	g_assert_cmpuint(status_of(reader).borrowed, ==, borrowed);
	sim_free(sim);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (sodium_init() < 0)
		return 1;
	g_test_add_func("/relay-credit/lending", test_lending);
	g_test_add_func("/relay-credit/metrics", test_metrics);
	g_test_add_func("/relay-credit/ends", test_ends);
	g_test_add_func("/relay-credit/off", test_off);
	g_test_add_func("/relay-credit/forged", test_forged);
	return g_test_run();
}
