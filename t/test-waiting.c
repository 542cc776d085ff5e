/*
 * Tests the queue of openings without a usable target, and what callers get from it. The simulated
 * load: one service whose targets are all unreachable for some time, and callers that repeat an
 * opening after 200 and 600 ms, give it up after 1.4 s, and try three times within their deadline.
 */
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "beliefs.h"
#include "random.h"
#include "timeutil.h"
#include "waiting.h"

#define SERVICE_IP   0xc6120001u
#define CALLER_IP    0x64400000u
#define CALLER_PORT  40000
#define TARGETS	     4
#define TARGET_SLOTS 2
#define TRIES	     3
#define BACKOFF_MS   20
#define GIVE_UP_MS   1400
#define OUTAGE_AT_MS 1000
#define PROBE_MS     100 /* an unanswered probe ends after this */
#define WORK_MS	     20

enum caller_state {
	CALLER_OPENING,
	CALLER_ACCEPTED,
	CALLER_WORKING, /* its request is at the target */
	CALLER_SERVED,
	CALLER_FAILED,
};

struct sim_caller {
	struct flow_addr addr;
	enum caller_state state;
	struct reg_target *target;
	unsigned int tries;
	int64_t first_ms; /* first try */
	int64_t try_ms;	  /* this try */
	int64_t end_ms;	  /* answered, or all tries spent */
};

struct sim_probe {
	struct reg_target *tgt;
	int64_t due_ms;
};

struct sim {
	struct steer_out out; /* first member */
	struct control_state control_state;
	struct seeded_random random;
	GPtrArray *callers; /* struct sim_caller */
	GArray *probes;	    /* struct sim_probe */
	int64_t now_ms;
	int64_t outage_end_ms;
	int64_t deadline_ms;
	unsigned int at_target[TARGETS];
	unsigned int most_at_target; /* when an opening that has waited reaches it */
};

static struct timespec sim_now(const struct sim *sim)
{
	return ts_from_ms(1000000 + sim->now_ms);
}

static bool is_outage(const struct sim *sim)
{
	return sim->now_ms >= OUTAGE_AT_MS && sim->now_ms < sim->outage_end_ms;
}

static void end_caller(const struct sim *sim, struct sim_caller *caller, enum caller_state state)
{
	caller->state = state;
	caller->end_ms = sim->now_ms;
}

static void next_try(const struct sim *sim, struct sim_caller *caller)
{
	caller->addr.caller.port++;
	caller->try_ms = sim->now_ms + BACKOFF_MS;
	if (++caller->tries == TRIES)
		end_caller(sim, caller, CALLER_FAILED);
}

/* A packet carries the address of its flow; a packet of an earlier try has no effect. */
static struct sim_caller *find_caller(struct sim *sim, const struct flow_addr *addr)
{
	struct sim_caller *caller = g_ptr_array_index(sim->callers, addr->caller.ip - CALLER_IP);

	return endpoint_equal(caller->addr.caller, addr->caller) ? caller : NULL;
}

static void out_forward(struct steer_out *out, const struct reg_target *tgt, uint32_t mark,
			const uint8_t *bytes, size_t size)
{
	struct sim *sim = (struct sim *)out;
	struct sim_caller *caller;
	struct flow_addr addr;
	int slot = tgt->id->str[2] - '0';

	(void)mark;
	g_assert_cmpuint(size, ==, sizeof(addr));
	memcpy(&addr, bytes, sizeof(addr));
	caller = find_caller(sim, &addr);
	if (is_outage(sim) || !caller || caller->state != CALLER_OPENING)
		return;
	caller->state = CALLER_ACCEPTED;
	caller->target = registry_by_id(sim->control_state.registry, tgt->id->str);
	sim->at_target[slot]++;
	if (sim->now_ms > caller->try_ms)
		sim->most_at_target = MAX(sim->most_at_target, sim->at_target[slot]);
}

static void out_reset(struct steer_out *out, const struct flow_addr *addr, uint32_t seq)
{
	struct sim *sim = (struct sim *)out;
	struct sim_caller *caller = find_caller(sim, addr);

	(void)seq;
	if (!caller || caller->state == CALLER_FAILED)
		return;
	/* A reset says that the request has not run. */
	g_assert_cmpint(caller->state, ==, CALLER_OPENING);
	next_try(sim, caller);
}

static void out_probe(struct steer_out *out, struct reg_target *tgt, unsigned int nr)
{
	struct sim *sim = (struct sim *)out;

	for (unsigned int i = 0; i < nr; i++) {
		struct sim_probe probe = { tgt, sim->now_ms + (is_outage(sim) ? PROBE_MS : 1) };

		g_array_append_val(sim->probes, probe);
	}
}

static const struct steer_out_ops out_ops = { out_forward, out_reset, out_probe };

static void end_probes(struct sim *sim)
{
	for (guint i = 0; i < sim->probes->len;) {
		struct sim_probe probe = g_array_index(sim->probes, struct sim_probe, i);

		if (probe.due_ms > sim->now_ms) {
			i++;
			continue;
		}
		g_array_remove_index(sim->probes, i);
		steer_probe_done(sim->control_state.steer, probe.tgt,
				 is_outage(sim) ? PROBE_TIMEOUT : PROBE_CONNECTED, sim_now(sim));
	}
}

static void send_packet(struct sim *sim, const struct sim_caller *caller,
			const struct caller_packet *fields)
{
	struct caller_packet pkt = *fields;

	pkt.caller = caller->addr.caller;
	pkt.service = caller->addr.service;
	pkt.bytes = (const uint8_t *)&caller->addr;
	pkt.size = sizeof(caller->addr);
	if (caller->target)
		pkt.mark = registry_mark(caller->target, pkt.service);
	steer_packet(sim->control_state.steer, &pkt, sim_now(sim));
}

static void step_opening(struct sim *sim, struct sim_caller *caller)
{
	int64_t tried_ms = sim->now_ms - caller->try_ms;

	if (sim->now_ms - caller->first_ms >= sim->deadline_ms)
		end_caller(sim, caller, CALLER_FAILED);
	else if (tried_ms == 0 || tried_ms == 200 || tried_ms == 600)
		send_packet(sim, caller, &(struct caller_packet){ .seq = 100, .syn = true });
	else if (tried_ms == GIVE_UP_MS)
		next_try(sim, caller);
}

static void step_caller(struct sim *sim, struct sim_caller *caller)
{
	switch (caller->state) {
	case CALLER_OPENING:
		step_opening(sim, caller);
		break;
	case CALLER_ACCEPTED:
		caller->state = CALLER_WORKING;
		caller->end_ms = sim->now_ms + WORK_MS;
		send_packet(sim, caller,
			    &(struct caller_packet){ .seq = 101, .ack = 501, .len = 100 });
		break;
	case CALLER_WORKING:
		if (sim->now_ms < caller->end_ms)
			break;
		caller->state = CALLER_SERVED;
		sim->at_target[caller->target->id->str[2] - '0']--;
		send_packet(sim, caller,
			    &(struct caller_packet){ .seq = 201, .ack = 901, .fin = true });
		break;
	case CALLER_SERVED:
	case CALLER_FAILED:
		break;
	}
}

static void add_caller(struct sim *sim)
{
	struct sim_caller *caller = g_new0(struct sim_caller, 1);

	caller->addr.caller = (struct endpoint){ CALLER_IP + sim->callers->len, CALLER_PORT };
	caller->addr.service = (struct endpoint){ SERVICE_IP, 443 };
	caller->first_ms = sim->now_ms;
	caller->try_ms = sim->now_ms;
	g_ptr_array_add(sim->callers, caller);
}

static void start(struct sim *sim)
{
	struct control_state_options opts = {
		.data_centre = "home",
		.placing = PLACING_TWO_CHOICES,
		.remote_percent = 400,
		.cold_gap_ms = 1000,
		.verify_ms = 50,
		.max_flows = 100000,
		.random = &sim->random.random,
		.out = &sim->out,
	};
	struct control_state *cs = &sim->control_state;
	struct route_rule rule = {
		.address = { SERVICE_IP, 443 },
		.nr_services = 1,
		.weight_sum = 1,
		.admission = { .priority = 2, .timeout_ms = (uint32_t)sim->deadline_ms },
	};

	sim->out.ops = &out_ops;
	seeded_random_init(&sim->random, 1);
	control_state_init(cs, &opts);
	for (int i = 0; i < TARGETS; i++) {
		char id[] = { 'i', '-', (char)('0' + i), 0 };
		struct target_info info = {
			.id = id,
			.wire_id = (uint64_t)i + 1,
			.ep = { 0x0a000001u + (uint32_t)i, 80 },
			.service = symbols_intern(&cs->symbols, "web"),
			.data_centre = symbols_intern(&cs->symbols, "home"),
			.slots = TARGET_SLOTS,
		};

		control_state_put_target(cs, &info, sim_now(sim));
	}
	rule.services[0] = (struct route_service){ symbols_intern(&cs->symbols, "web"), 1, false };
	routing_begin(cs->routing, 1);
	routing_add_route(cs->routing, &rule);
	control_state_commit_config(cs, sim_now(sim));
	sim->callers = g_ptr_array_new_with_free_func(g_free);
	sim->probes = g_array_new(FALSE, FALSE, sizeof(struct sim_probe));
}

static void play(struct sim *sim, int64_t interval_ms, int64_t end_ms)
{
	for (sim->now_ms = 0; sim->now_ms < end_ms; sim->now_ms++) {
		if (sim->now_ms % interval_ms == 0 && sim->now_ms + sim->deadline_ms < end_ms)
			add_caller(sim);
		end_probes(sim);
		control_state_timer(&sim->control_state, sim_now(sim));
		for (guint i = 0; i < sim->callers->len; i++)
			step_caller(sim, g_ptr_array_index(sim->callers, i));
	}
}

static void release(struct sim *sim)
{
	control_state_release(&sim->control_state);
	g_ptr_array_unref(sim->callers);
	g_array_unref(sim->probes);
}

struct outage_case {
	const char *name;
	int64_t outage_ms;
	int64_t deadline_ms;
	int64_t interval_ms; /* between two callers */
	/*
	 * Time after which enough targets are known to have returned. A dead target is probed every
	 * second, so that takes 1.1 s at most; the queue of a busy service takes another second.
	 */
	int64_t return_ms;
};

/* Openings and requests in progress that an instance may have at a target that has returned. */
#define MAX_AT_TARGET (2 * TARGET_SLOTS)

static const struct outage_case outages[] = {
	{ "short-deadline", 3000, 1500, 20, 1200 },
	{ "long-deadline", 5200, 8000, 60, 1200 },
	{ "many-callers", 2500, 3000, 10, 2200 },
	{ "many-patient-callers", 5200, 8000, 10, 2200 },
};

/*
 * Guards against callers that use up their tries within milliseconds although the targets return
 * before their deadlines: nine in ten of those whose last try can meet a target that has returned
 * are served. Guards against a queue that floods the targets when they return.
 */
static void test_outage(gconstpointer data)
{
	const struct outage_case *tc = data;
	struct sim sim = {
		.outage_end_ms = OUTAGE_AT_MS + tc->outage_ms,
		.deadline_ms = tc->deadline_ms,
	};
	int64_t patience_ms = MIN(tc->deadline_ms, TRIES * (int64_t)GIVE_UP_MS);
	unsigned int servable = 0;
	unsigned int served = 0;

	start(&sim);
	play(&sim, tc->interval_ms, sim.outage_end_ms + tc->deadline_ms + tc->return_ms);
	for (guint i = 0; i < sim.callers->len; i++) {
		const struct sim_caller *caller = g_ptr_array_index(sim.callers, i);

		if (caller->first_ms < OUTAGE_AT_MS || caller->first_ms >= sim.outage_end_ms ||
		    caller->first_ms + patience_ms < sim.outage_end_ms + tc->return_ms)
			continue;
		servable++;
		served += caller->state == CALLER_SERVED &&
			  caller->end_ms - caller->first_ms <= tc->deadline_ms;
	}
	g_test_message("%u of %u served, %u at a target", served, servable, sim.most_at_target);
	g_assert_cmpuint(servable, >, 0);
	g_assert_cmpuint(served * 10, >=, servable * 9);
	g_assert_cmpuint(sim.most_at_target, <=, MAX_AT_TARGET);
	g_assert_cmpuint(steer_waiting_count(sim.control_state.steer), ==, 0);
	release(&sim);
}

/* Guards against callers that are held in vain: after four time-outs they are refused at once. */
static void test_long_outage(void)
{
	struct sim sim = { .outage_end_ms = INT64_MAX, .deadline_ms = 1000 };
	int64_t hopeless_ms = OUTAGE_AT_MS + 5 * sim.deadline_ms;

	start(&sim);
	play(&sim, 20, hopeless_ms + 3 * sim.deadline_ms);
	for (guint i = 0; i < sim.callers->len; i++) {
		const struct sim_caller *caller = g_ptr_array_index(sim.callers, i);

		if (caller->first_ms < hopeless_ms)
			continue;
		g_assert_cmpint(caller->state, ==, CALLER_FAILED);
		g_assert_cmpint(caller->end_ms - caller->first_ms, <=, TRIES * BACKOFF_MS);
	}
	g_assert_cmpuint(steer_waiting_count(sim.control_state.steer), ==, 0);
	release(&sim);
}

#define QUEUE_ITEMS 4000

/* Guards against a queue without a bound, and against losing an important opening when it is full.
 */
static void test_full_queue(void)
{
	static struct waiting_item items[QUEUE_ITEMS];
	struct endpoint service = { SERVICE_IP, 443 };
	struct timespec now = { .tv_sec = 1 };
	struct waiting wt;
	size_t nr = 0;

	waiting_init(&wt);
	waiting_outage(&wt, service, now);
	do {
		items[nr] = (struct waiting_item){
			.link = { .data = &items[nr] },
			.service = service,
			.priority = nr % 2 ? 2 : 9,
			.size = 100,
			.since = now,
		};
	} while (waiting_add(&wt, &items[nr]) && ++nr < QUEUE_ITEMS - 1);
	g_assert_cmpuint(nr, <, QUEUE_ITEMS - 1);
	g_assert_cmpuint(waiting_for(&wt, service), ==, nr);
	/* The least important and latest one makes room, but not for one of its own priority. */
	g_assert_true(waiting_latest_below(&wt, 0) == &items[(nr - 1) & ~(size_t)1]);
	g_assert_null(waiting_latest_below(&wt, 9));
	waiting_remove(&wt, waiting_latest_below(&wt, 0));
	g_assert_true(waiting_add(&wt, &items[nr]));
	g_assert_false(waiting_add(&wt, &items[QUEUE_ITEMS - 1]));
	for (size_t i = 0; i <= nr; i++)
		waiting_remove(&wt, &items[i]);
	g_assert_cmpuint(wt.count, ==, 0);
	g_assert_cmpuint(wt.bytes, ==, 0);
	waiting_release(&wt);
}

static const struct {
	uint32_t timeout_ms;
	int64_t outage_ms;
	bool worthwhile;
} chances[] = {
	{ 0, 0, false },       { 1500, 0, true },	{ 1500, 5999, true },
	{ 1500, 6000, false }, { 8000, 31999, true },	{ 8000, 32000, false },
	{ 1500, -3000, true }, { UINT32_MAX, 0, true },
};

/* Guards against waits without a time-out, after long outages, or by a clock that went back. */
static void test_worthwhile(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(chances); i++) {
		struct admission_class cls = { .timeout_ms = chances[i].timeout_ms };

		g_assert_cmpint(waiting_is_worthwhile(&cls, chances[i].outage_ms), ==,
				chances[i].worthwhile);
	}
}

/* Guards against taking an outage of long ago, whose end no opening has seen, for the present one.
 */
static void test_forgotten_outage(void)
{
	struct endpoint service = { SERVICE_IP, 443 };
	struct timespec now = { .tv_sec = 1000 };
	struct waiting wt;

	waiting_init(&wt);
	for (int i = 0; i < 20; i++) {
		const struct outage *outage = waiting_outage(&wt, service, now);

		g_assert_cmpint(ts_diff_ms(now, outage->since), ==, i * 5000);
		now = ts_add_ms(now, 5000);
	}
	now = ts_add_ms(now, 3600 * MSEC_PER_SEC);
	g_assert_cmpint(ts_diff_ms(now, waiting_outage(&wt, service, now)->since), ==, 0);
	waiting_end_outage(&wt, service, now);
	g_assert_cmpuint(waiting_for(&wt, service), ==, 0);
	waiting_release(&wt);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(outages); i++) {
		char *path = g_strconcat("/waiting/outage/", outages[i].name, NULL);

		g_test_add_data_func(path, &outages[i], test_outage);
		g_free(path);
	}
	g_test_add_func("/waiting/long-outage-refuses-at-once", test_long_outage);
	g_test_add_func("/waiting/full-queue", test_full_queue);
	g_test_add_func("/waiting/forgotten-outage", test_forgotten_outage);
	g_test_add_func("/waiting/worthwhile", test_worthwhile);
	return g_test_run();
}
