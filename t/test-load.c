/*
 * Tests admission control and credits by a simulation of callers, instances and targets under load:
 * openings that the targets cannot serve in time must be refused, lowest priority first, so that
 * admitted requests are answered within their goal. Targets have slots and a queue; callers retry.
 */
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "beliefs.h"
#include "credit/account.h"
#include "random.h"
#include "timeutil.h"

#define INSTANCES	6
#define TARGETS		3
#define TARGET_SLOTS	2
#define QUEUE_MAX	8 /* waiting requests of a target; further ones are rejected */
#define WORK_MS		23
#define HOP_MS		3 /* one way between any two parties */
#define GOAL_MS		150
#define RETRIES		2
#define BACKOFF_MS	20 /* of a caller before a retry */
#define WARM_UP_MS	1000
#define ANSWER_BYTES	2000
#define REJECTION_BYTES 190
#define END_MS		9000
#define SERVICE_IP	0xc6120001u
#define CALLER_IP	0x64400000u
#define NOT_BEGUN	INT64_MAX
#define GRANT_MS	250 /* interval of grants */

enum step {
	STEP_OPEN,     /* the opening reaches an instance */
	STEP_UNPLACED, /* the opening waits at its instance */
	STEP_REQUEST,  /* the request reaches the instance */
	STEP_ARRIVE,   /* the request reaches its target */
	STEP_WAIT,     /* the request waits or is processed at the target */
	STEP_ANSWERED, /* the answer reaches the caller */
	STEP_PROGRESS, /* the caller's acknowledgement reaches the instance */
	STEP_RETRY,    /* the caller retries */
	STEP_END,
};

struct tally {
	unsigned int requests, in_goal, lost;
	unsigned int admitted, admitted_in_goal; /* of all tries */
	unsigned int rejected;			 /* by targets */
};

struct attempt {
	struct tally *tally;
	struct flow_addr addr;
	unsigned int tries;
	int64_t first_try_ms; /* first try */
	int64_t try_ms;	      /* this try */
	int64_t due_ms;
	int64_t done_ms; /* end of its processing, NOT_BEGUN while it waits */
	enum step step;
	int target;
	bool rejected;
	bool was_reset;
};

struct sim;

struct sim_instance {
	struct steer_out out; /* first member */
	struct sim *sim;
	struct control_state control_state;
};

struct sim {
	struct sim_instance instances[INSTANCES];
	struct seeded_random random;
	GQueue queues[TARGETS]; /* struct attempt; the first TARGET_SLOTS are being processed */
	GQueue attempts;
	unsigned int callers;
	bool credits;
	int64_t now_ms;
	struct tally warm_up; /* of requests before WARM_UP_MS, which are not checked */
	struct tally high;
	struct tally low;
};

static struct timespec sim_now(const struct sim *sim)
{
	return ts_from_ms(1000000 + sim->now_ms);
}

static void next(struct sim *sim, struct attempt *at, enum step step, int64_t after_ms)
{
	at->step = step;
	at->due_ms = sim->now_ms + after_ms;
}

static void retry(struct sim *sim, struct attempt *at)
{
	if (at->tries == RETRIES) {
		at->tally->lost++;
		at->step = STEP_END;
		return;
	}
	at->tries++;
	next(sim, at, STEP_RETRY, BACKOFF_MS);
}

static void place(struct sim *sim, struct attempt *at)
{
	at->tally->admitted++;
	next(sim, at, STEP_REQUEST, 3 * HOP_MS);
}

/* The attempt of a packet that contains the addresses of its flow; NULL if it has ended. */
static struct attempt *find_attempt(struct sim *sim, const uint8_t *bytes, size_t size)
{
	struct flow_addr addr;

	g_assert_cmpuint(size, ==, sizeof(addr));
	memcpy(&addr, bytes, sizeof(addr));
	for (GList *link = sim->attempts.head; link; link = link->next) {
		struct attempt *at = link->data;

		if (endpoint_equal(at->addr.caller, addr.caller))
			return at;
	}
	return NULL;
}

static void out_forward(struct steer_out *out, const struct reg_target *tgt, uint32_t mark,
			const uint8_t *bytes, size_t size)
{
	struct sim *sim = ((struct sim_instance *)out)->sim;

	struct attempt *at = find_attempt(sim, bytes, size);

	(void)mark;
	if (!at)
		return;
	at->target = tgt->id->str[2] - '0';
	if (at->step == STEP_UNPLACED)
		place(sim, at);
}

static void out_reset(struct steer_out *out, const struct flow_addr *addr, uint32_t seq)
{
	struct sim *sim = ((struct sim_instance *)out)->sim;
	struct attempt *at = find_attempt(sim, (const uint8_t *)addr, sizeof(*addr));

	(void)seq;
	if (!at)
		return;
	at->was_reset = true;
	if (at->step == STEP_UNPLACED)
		retry(sim, at);
}

static void out_probe(struct steer_out *out, struct reg_target *tgt, unsigned int nr)
{
	struct sim_instance *inst = (struct sim_instance *)out;

	for (unsigned int i = 0; i < nr; i++)
		steer_probe_done(inst->control_state.steer, tgt, PROBE_CONNECTED,
				 sim_now(inst->sim));
}

static const struct steer_out_ops out_ops = { out_forward, out_reset, out_probe };

static void add_route(struct control_state *cs, uint16_t port, uint32_t priority, uint32_t goal_ms)
{
	struct route_rule rule = {
		.address = { SERVICE_IP, port },
		.services = { { .service = symbols_intern(&cs->symbols, "web"), .weight = 1 } },
		.nr_services = 1,
		.weight_sum = 1,
		.admission = { goal_ms, priority },
	};

	routing_add_route(cs->routing, &rule);
}

static void start_instance(struct sim *sim, struct sim_instance *inst, uint32_t goal_ms)
{
	struct control_state_options opts = {
		.data_centre = "home",
		.placing = PLACING_TWO_CHOICES,
		.remote_percent = 400,
		.cold_gap_ms = 1000,
		.verify_ms = 50,
		.max_flows = 100000,
		.random = &sim->random.random,
		.out = &inst->out,
		.credits = sim->credits,
	};

	inst->out.ops = &out_ops;
	inst->sim = sim;
	control_state_init(&inst->control_state, &opts);
	for (int i = 0; i < TARGETS; i++) {
		char id[] = { 'i', '-', (char)('0' + i), 0 };
		struct target_info info = {
			.id = id,
			.wire_id = (uint64_t)i + 1,
			.ep = { 0x0a000001u + (uint32_t)i, 80 },
			.service = symbols_intern(&inst->control_state.symbols, "web"),
			.data_centre = symbols_intern(&inst->control_state.symbols, "home"),
			.slots = TARGET_SLOTS,
		};

		control_state_put_target(&inst->control_state, &info, sim_now(sim));
	}
	routing_begin(inst->control_state.routing, 1);
	add_route(&inst->control_state, 443, 1, goal_ms);
	add_route(&inst->control_state, 8443, 2, goal_ms);
	control_state_commit_config(&inst->control_state, sim_now(sim));
}

static struct steer *steer_of(struct sim *sim, const struct attempt *at)
{
	return sim->instances[at->addr.caller.ip % INSTANCES].control_state.steer;
}

static void send_packet(struct sim *sim, struct attempt *at, bool syn, uint16_t len, uint32_t ack)
{
	struct caller_packet pkt = {
		.caller = at->addr.caller,
		.service = at->addr.service,
		.seq = syn ? 100 : 101,
		.ack = ack,
		.len = len,
		.syn = syn,
		.bytes = (const uint8_t *)&at->addr,
		.size = sizeof(at->addr),
	};

	if (!syn) {
		struct control_state *cs =
			&sim->instances[at->addr.caller.ip % INSTANCES].control_state;
		char id[] = { 'i', '-', (char)('0' + at->target), 0 };

		pkt.mark = registry_mark(registry_by_id(cs->registry, id), at->addr.service);
	}
	steer_packet(steer_of(sim, at), &pkt, sim_now(sim));
}

static void open_flow(struct sim *sim, struct attempt *at)
{
	at->try_ms = sim->now_ms;
	at->addr.caller.port++;
	at->target = -1;
	at->was_reset = false;
	at->rejected = false;
	at->done_ms = NOT_BEGUN;
	next(sim, at, STEP_OPEN, HOP_MS);
}

static void arrive(struct sim *sim, struct attempt *at)
{
	GQueue *queue = &sim->queues[at->target];

	at->rejected = queue->length >= TARGET_SLOTS + QUEUE_MAX;
	if (at->rejected) {
		at->tally->rejected++;
		next(sim, at, STEP_ANSWERED, HOP_MS);
		return;
	}
	g_queue_push_tail(queue, at);
	next(sim, at, STEP_WAIT, END_MS);
}

static void answered(struct sim *sim, struct attempt *at)
{
	if (!at->rejected) {
		at->tally->in_goal += sim->now_ms - at->first_try_ms <= GOAL_MS;
		at->tally->admitted_in_goal += sim->now_ms - at->try_ms <= GOAL_MS;
	}
	next(sim, at, STEP_PROGRESS, HOP_MS);
}

static void run_attempt(struct sim *sim, struct attempt *at)
{
	switch (at->step) {
	case STEP_OPEN:
		send_packet(sim, at, true, 0, 0);
		if (at->target >= 0)
			place(sim, at);
		else if (at->was_reset)
			retry(sim, at);
		else
			next(sim, at, STEP_UNPLACED, END_MS);
		break;
	case STEP_REQUEST:
		send_packet(sim, at, false, 0, 501);
		send_packet(sim, at, false, 100, 501);
		next(sim, at, STEP_ARRIVE, HOP_MS);
		break;
	case STEP_ARRIVE:
		arrive(sim, at);
		break;
	case STEP_ANSWERED:
		answered(sim, at);
		break;
	case STEP_PROGRESS:
		send_packet(sim, at, false, 0,
			    501 + (at->rejected ? REJECTION_BYTES : ANSWER_BYTES));
		if (at->rejected)
			retry(sim, at);
		else
			at->step = STEP_END;
		break;
	case STEP_RETRY:
		open_flow(sim, at);
		break;
	case STEP_UNPLACED:
	case STEP_WAIT:
	case STEP_END:
		break;
	}
}

static void run_target(struct sim *sim, GQueue *queue)
{
	struct attempt *at;
	GList *link = queue->head;

	for (int i = 0; i < TARGET_SLOTS && link; i++) {
		GList *following = link->next;

		at = link->data;
		if (at->done_ms == NOT_BEGUN)
			at->done_ms = sim->now_ms + WORK_MS;
		if (at->done_ms <= sim->now_ms) {
			next(sim, at, STEP_ANSWERED, HOP_MS);
			g_queue_delete_link(queue, link);
		}
		link = following;
	}
}

static void add_arrivals(struct sim *sim, struct tally *tally, uint16_t port, uint32_t per_s)
{
	struct attempt *at;

	if (random_below(&sim->random.random, 1000) >= per_s)
		return;
	at = g_new0(struct attempt, 1);
	/* The first second fills the queues and the averages of the instances. */
	at->tally = sim->now_ms >= WARM_UP_MS ? tally : &sim->warm_up;
	at->tally->requests++;
	at->first_try_ms = sim->now_ms;
	at->addr.caller = (struct endpoint){ CALLER_IP + ++sim->callers, 40000 };
	at->addr.service = (struct endpoint){ SERVICE_IP, port };
	open_flow(sim, at);
	g_queue_push_tail(&sim->attempts, at);
}

static void run_tick(struct sim *sim)
{
	GList *following;

	for (GList *link = sim->attempts.head; link; link = following) {
		struct attempt *at = link->data;

		following = link->next;
		if (at->step != STEP_WAIT && at->step != STEP_UNPLACED && at->due_ms <= sim->now_ms)
			run_attempt(sim, at);
		if (at->step != STEP_END)
			continue;
		g_queue_delete_link(&sim->attempts, link);
		g_free(at);
	}
	for (int i = 0; i < TARGETS; i++)
		run_target(sim, &sim->queues[i]);
	for (int i = 0; i < INSTANCES; i++)
		control_state_timer(&sim->instances[i].control_state, sim_now(sim));
}

/* Each instance holds one slot of a target, and a place in its queue. */
static void grant_credits(struct sim *sim)
{
	for (int i = 0; i < INSTANCES; i++) {
		struct control_state *cs = &sim->instances[i].control_state;
		char id[] = { 'i', '-', (char)('0' + i % TARGETS), 0 };
		struct credit_entry entry = {
			.target = registry_by_id(cs->registry, id)->digest,
			.slots = 1,
			.queue = 1,
			.speed_permille = 1000,
		};
		struct credit_grant grant;

		credit_grant_init(&grant);
		g_array_append_val(
			credit_grant_add(&grant, symbols_intern(&cs->symbols, "web"))->entries,
			entry);
		credit_apply_grant(cs->credit, &grant, sim_now(sim));
		credit_grant_release(&grant);
		steer_credits_changed(cs->steer, sim_now(sim));
	}
}

/* @goal_ms: of the routes; 0 for no goal, which disables refusal. */
static struct sim *simulate(uint32_t high_per_s, uint32_t low_per_s, uint32_t goal_ms, bool credits)
{
	struct sim *sim = g_new0(struct sim, 1);

	sim->credits = credits;
	seeded_random_init(&sim->random, 1);
	for (int i = 0; i < INSTANCES; i++)
		start_instance(sim, &sim->instances[i], goal_ms);
	for (; sim->now_ms < END_MS; sim->now_ms++) {
		if (credits && sim->now_ms % GRANT_MS == 0)
			grant_credits(sim);
		add_arrivals(sim, &sim->high, 443, high_per_s);
		add_arrivals(sim, &sim->low, 8443, low_per_s);
		run_tick(sim);
	}
	g_test_message(
		"goal %u credits %d: high asked=%u in_goal=%u lost=%u, low asked=%u in_goal=%u "
		"lost=%u, admitted=%u, %u of these in goal, rejected=%u",
		goal_ms, credits, sim->high.requests, sim->high.in_goal, sim->high.lost,
		sim->low.requests, sim->low.in_goal, sim->low.lost,
		sim->high.admitted + sim->low.admitted,
		sim->high.admitted_in_goal + sim->low.admitted_in_goal,
		sim->high.rejected + sim->low.rejected);
	return sim;
}

static void sim_free(struct sim *sim)
{
	for (int i = 0; i < INSTANCES; i++)
		control_state_release(&sim->instances[i].control_state);
	for (int i = 0; i < TARGETS; i++)
		g_queue_clear(&sim->queues[i]);
	g_queue_clear_full(&sim->attempts, g_free);
	g_free(sim);
}

static unsigned int in_goal(const struct sim *sim)
{
	return sim->high.in_goal + sim->low.in_goal;
}

/* 374 requests a second for targets that can serve 261, as when three of four data centres fail. */
static void test_overload(void)
{
	struct sim *without = simulate(83, 291, 0, false);
	struct sim *with = simulate(83, 291, GOAL_MS, false);
	unsigned int admitted = with->high.admitted + with->low.admitted;
	unsigned int admitted_in_goal = with->high.admitted_in_goal + with->low.admitted_in_goal;

	/* Precondition: without refusal, less than half of the requests are in time. */
	g_assert_cmpuint(in_goal(without) * 2, <, without->high.requests + without->low.requests);
	/* Two of three admitted openings are served in time, and more requests in total. */
	g_assert_cmpuint(admitted_in_goal * 3, >=, admitted * 2);
	g_assert_cmpuint(in_goal(with), >, in_goal(without) * 3 / 2);
	/* The lowest priority is refused first. */
	g_assert_cmpuint(with->high.lost * with->low.requests, <,
			 with->low.lost * with->high.requests);
	g_assert_cmpuint(with->high.in_goal * with->low.requests, >,
			 with->low.in_goal * with->high.requests);
	sim_free(without);
	sim_free(with);
}

/* No opening may be refused while the targets can serve the load. */
static void test_half_load(void)
{
	struct sim *with = simulate(30, 100, GOAL_MS, false);

	g_assert_cmpuint(with->high.lost + with->low.lost, ==, 0);
	g_assert_cmpuint(in_goal(with) * 100, >=, (with->high.requests + with->low.requests) * 98);
	sim_free(with);
}

/*
 * With credits, targets reject nothing, the more important class is served as if the other were not
 * there, and that is not at the other's cost.
 */
static void test_credits_overload(void)
{
	struct sim *without = simulate(83, 291, GOAL_MS, false);
	struct sim *with = simulate(83, 291, GOAL_MS, true);

	/* Precondition: admission control cannot avoid rejections. */
	g_assert_cmpuint(without->high.rejected + without->low.rejected, >, 0);
	g_assert_cmpuint(with->high.rejected + with->low.rejected, ==, 0);
	g_assert_cmpuint(with->high.in_goal * 100, >=, with->high.requests * 98);
	g_assert_cmpuint(with->low.in_goal, >=, without->low.in_goal);
	sim_free(without);
	sim_free(with);
}

/* Credits must not make openings late, or refuse them, while the targets can serve the load. */
static void test_credits_half_load(void)
{
	struct sim *with = simulate(30, 100, GOAL_MS, true);

	g_assert_cmpuint(with->high.lost + with->low.lost, ==, 0);
	g_assert_cmpuint(in_goal(with) * 100, >=, (with->high.requests + with->low.requests) * 98);
	sim_free(with);
}

struct permille_case {
	const char *name;
	struct admission_class cls;
	uint32_t response_ms;
	uint32_t permille;
};

static const struct permille_case permilles[] = {
	{ "no-goal-is-stated", { 0, 2 }, 10000, 0 },
	{ "no-recent-answer", { 100, 2 }, 0, 0 },
	{ "at-the-start", { 100, 2 }, 40, 0 },
	{ "in-the-band", { 100, 2 }, 50, 500 },
	{ "past-the-band", { 100, 2 }, 60, 1000 },
	{ "lower-priorities-are-alike", { 100, 9 }, 60, 1000 },
	{ "a-higher-priority-bears-more", { 100, 1 }, 55, 0 },
	{ "and-is-refused-later", { 100, 1 }, 75, 1000 },
	{ "the-highest-bears-most", { 100, 0 }, 70, 0 },
	{ "long-times-do-not-overflow", { 1, 0 }, UINT32_MAX, 1000 },
};

static void test_permille(gconstpointer data)
{
	const struct permille_case *c = data;

	g_assert_cmpuint(admission_refused_permille(&c->cls, c->response_ms), ==, c->permille);
}

/* An outdated average must not refuse openings. */
static void test_average(void)
{
	struct response_time rt = { 0 };

	g_assert_cmpuint(response_time_ms(&rt, ts_from_ms(500)), ==, 0);
	response_time_add(&rt, 400, ts_from_ms(5000));
	g_assert_cmpuint(response_time_ms(&rt, ts_from_ms(5900)), ==, 400);
	g_assert_cmpuint(response_time_ms(&rt, ts_from_ms(6000)), ==, 0);
	/* The first sample after a pause replaces the average. */
	response_time_add(&rt, 20, ts_from_ms(7000));
	g_assert_cmpuint(response_time_ms(&rt, ts_from_ms(7000)), ==, 20);
	for (int i = 0; i < 40; i++)
		response_time_add(&rt, 100, ts_from_ms(7000 + i));
	g_assert_cmpuint(response_time_ms(&rt, ts_from_ms(7040)), >=, 95);
	g_assert_cmpuint(response_time_ms(&rt, ts_from_ms(7040)), <=, 101);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (sodium_init() < 0)
		return 1;
	for (size_t i = 0; i < G_N_ELEMENTS(permilles); i++) {
		char *path = g_strconcat("/load/permille/", permilles[i].name, NULL);

		g_test_add_data_func(path, &permilles[i], test_permille);
		g_free(path);
	}
	g_test_add_func("/load/average", test_average);
	g_test_add_func("/load/half", test_half_load);
	g_test_add_func("/load/overload", test_overload);
	g_test_add_func("/load/credits/half", test_credits_half_load);
	g_test_add_func("/load/credits/overload", test_credits_overload);
	return g_test_run();
}
