/*
 * Tests the start of an instance without the store: snapshots of the control state, and the choice
 * among those of several seeds.
 */
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "bootstrap.h"
#include "random.h"
#include "snapshot.h"
#include "timeutil.h"

#define SERVICE_IP 0xc6120001u
#define CALLER_IP  0x64400000u
#define START_S	   1000
#define MAX_SEEDS  3

struct fixture {
	struct steer_out out; /* first member */
	struct control_state control_state;
	struct seeded_random random;
	struct timespec now;
	GString *sent; /* target of the latest packet, "reset" for a reset */
};

static void out_forward(struct steer_out *out, const struct reg_target *tgt, uint32_t mark,
			const uint8_t *bytes, size_t size)
{
	(void)mark;
	(void)bytes;
	(void)size;
	g_string_assign(((struct fixture *)out)->sent, tgt->id->str);
}

static void out_reset(struct steer_out *out, const struct flow_addr *addr, uint32_t seq)
{
	(void)addr;
	(void)seq;
	g_string_assign(((struct fixture *)out)->sent, "reset");
}

static void out_probe(struct steer_out *out, struct reg_target *tgt, unsigned int nr)
{
	(void)out;
	(void)tgt;
	(void)nr;
}

static const struct steer_out_ops out_ops = { out_forward, out_reset, out_probe };

static void fixture_init(struct fixture *fix, const char *data_centre)
{
	struct control_state_options opts = {
		.data_centre = data_centre,
		.placing = PLACING_TWO_CHOICES,
		.remote_percent = 400,
		.cold_gap_ms = 1000,
		.verify_ms = 50,
		.max_flows = 1000,
		.random = &fix->random.random,
		.out = &fix->out,
	};

	*fix = (struct fixture){ .out = { &out_ops }, .now = { .tv_sec = START_S } };
	fix->sent = g_string_new(NULL);
	seeded_random_init(&fix->random, 1);
	control_state_init(&fix->control_state, &opts);
}

static void fixture_release(struct fixture *fix)
{
	control_state_release(&fix->control_state);
	g_string_free(fix->sent, TRUE);
}

static void put_target(struct fixture *fix, const char *id, const char *service,
		       const char *data_centre, bool draining, int64_t revision)
{
	struct control_state *cs = &fix->control_state;
	struct target_info info = {
		.id = id,
		.wire_id = 0xffffffffffffff00u + (uint64_t)revision,
		.ep = { 0x0a000001, 80 },
		.service = symbols_intern(&cs->symbols, service),
		.data_centre = symbols_intern(&cs->symbols, data_centre),
		.slots = 3,
		.draining = draining,
		.cold_ms = 700,
		.born_ms = 1780000000000,
		.revision = store_version_make(0, revision),
	};

	control_state_put_target(cs, &info, fix->now);
}

static void put_config(struct fixture *fix, uint64_t version, uint16_t port, const char *service)
{
	struct control_state *cs = &fix->control_state;
	struct route_rule rule = {
		.address = { SERVICE_IP, port },
		.services = { { symbols_intern(&cs->symbols, service), 5, true } },
		.nr_services = 1,
		.weight_sum = 5,
		.admission = { .goal_ms = 120, .priority = 1, .timeout_ms = 1500 },
	};

	g_assert_true(routing_begin(cs->routing, version));
	routing_add_route(cs->routing, &rule);
	routing_set_idle_timeout(cs->routing, 9000);
	control_state_commit_config(cs, fix->now);
}

/* The store answers about all kinds at revision 50. */
static void know_all(struct fixture *fix)
{
	struct control_state *cs = &fix->control_state;

	for (int i = 0; i < CONTROL_KINDS; i++) {
		control_state_complete(cs, (enum control_kind)i, store_version_make(0, 50));
		control_state_store_answered(cs, (enum control_kind)i, fix->now);
	}
}

static void fill(struct fixture *fix)
{
	struct control_state *cs = &fix->control_state;

	control_state_begin_answer(cs, store_version_make(0, 50), fix->now);
	put_target(fix, "i-a", "web", "home", false, 10);
	put_target(fix, "i-b", "web", "home", true, 20);
	put_target(fix, "i-c", "web", "far", false, 30);
	put_target(fix, "i-d", "other", "home", false, 40);
	put_target(fix, "i-e", "web", "home", false, 45);
	control_state_remove_target(cs, "i-e", fix->now);
	put_config(fix, 7, 443, "web");
	control_state_withdraw(cs, "far", true, fix->now);
	know_all(fix);
}

static GString *write_snapshot(struct fixture *fix)
{
	GString *text = g_string_new(NULL);

	snapshot_write(&fix->control_state, text, fix->now);
	return text;
}

static void apply(struct fixture *fix, const GString *text, int64_t age_ms)
{
	struct snapshot *snap;
	struct faults faults;

	faults_init(&faults);
	snap = snapshot_parse(text->str, text->len, &faults);
	g_assert_nonnull(snap);
	g_assert_cmpuint(faults.list->len, ==, 0);
	snapshot_apply(snap, &fix->control_state, age_ms, fix->now);
	snapshot_free(snap);
	faults_release(&faults);
}

/* Target of an opening, or "reset". */
static const char *open_flow(struct fixture *fix, unsigned int caller, uint16_t port)
{
	static const uint8_t bytes[31];
	struct caller_packet pkt = {
		.caller = { CALLER_IP + caller, 40000 },
		.service = { SERVICE_IP, port },
		.seq = 100,
		.syn = true,
		.bytes = bytes,
		.size = sizeof(bytes),
	};

	g_string_truncate(fix->sent, 0);
	steer_packet(fix->control_state.steer, &pkt, fix->now);
	return fix->sent->str;
}

/* Guards against an instance that serves nobody, or by other rules, when the store is away. */
static void test_round_trip(void)
{
	struct fixture from;
	struct fixture to;
	const struct reg_target *tgt;
	const struct route_rule *rule;
	GString *text;

	fixture_init(&from, "home");
	fixture_init(&to, "home");
	fill(&from);
	from.now = ts_add_ms(from.now, 300);
	text = write_snapshot(&from);
	apply(&to, text, 300);
	g_assert_cmpuint(registry_count(to.control_state.registry), ==, 4);
	g_assert_cmpint(registry_by_id(to.control_state.registry, "i-b")->phase, ==,
			TARGET_DRAINING);
	tgt = registry_by_id(to.control_state.registry, "i-a");
	g_assert_cmpuint(tgt->wire_id, ==, 0xffffffffffffff0au);
	g_assert_cmpuint(tgt->slots, ==, 3);
	g_assert_cmpint(tgt->born_ms, ==, 1780000000000);
	g_assert_cmpint(tgt->revision.order, ==, 10);
	g_assert_cmpint(ts_diff_ms(tgt->warm_at, to.now), ==, 400);
	rule = routing_find(to.control_state.routing, (struct endpoint){ SERVICE_IP, 443 });
	g_assert_cmpuint(rule->admission.timeout_ms, ==, 1500);
	g_assert_cmpuint(rule->admission.goal_ms, ==, 120);
	g_assert_cmpuint(rule->admission.priority, ==, 1);
	g_assert_cmpuint(rule->services[0].weight, ==, 5);
	g_assert_true(rule->services[0].cold_rate_limited);
	g_assert_cmpuint(routing_version(to.control_state.routing), ==, 7);
	g_assert_cmpuint(routing_idle_timeout(to.control_state.routing), ==, 9000);
	g_assert_cmpint(ts_diff_ms(to.now, to.control_state.last_answer[CONTROL_TARGETS]), ==, 300);
	/* It is no answer of the store: the instance must not read for others by it. */
	g_assert_false(control_state_ready(&to.control_state));
	/* Only i-a is neither draining, withdrawn, gone nor of another service; it is warm by now.
	 */
	to.now = ts_add_ms(to.now, 400);
	for (unsigned int i = 0; i < 8; i++)
		g_assert_cmpstr(open_flow(&to, i, 443), ==, "i-a");
	g_assert_cmpstr(open_flow(&to, 9, 444), ==, "reset");
	g_string_free(text, TRUE);
	fixture_release(&to);
	fixture_release(&from);
}

/*
 * Guards against using what has left again: a list of the store replaces the snapshot, and a
 * snapshot changes nothing that the store has reported.
 */
static void test_store_wins(void)
{
	struct fixture from;
	struct fixture to;
	struct control_state *cs = &to.control_state;
	GString *text;

	fixture_init(&from, "home");
	fixture_init(&to, "home");
	fill(&from);
	text = write_snapshot(&from);
	apply(&to, text, 0);
	control_state_begin_answer(cs, store_version_make(0, 60), to.now);
	control_state_targets_begin(cs);
	put_target(&to, "i-b", "web", "home", true, 20);
	put_target(&to, "i-f", "web", "home", false, 55);
	control_state_targets_end(cs, to.now);
	control_state_withdrawals_begin(cs);
	control_state_withdrawals_end(cs, to.now);
	put_config(&to, 8, 444, "web");
	know_all(&to);
	apply(&to, text, 0);
	g_assert_cmpstr(open_flow(&to, 1, 444), ==, "i-f");
	g_assert_cmpstr(open_flow(&to, 2, 443), ==, "reset");
	g_assert_cmpint(registry_by_id(cs->registry, "i-a")->phase, ==, TARGET_GONE);
	g_assert_false(placing_is_withdrawn(&cs->placing, symbols_intern(&cs->symbols, "far")));
	g_assert_cmpuint(routing_version(cs->routing), ==, 8);
	g_string_free(text, TRUE);
	fixture_release(&to);
	fixture_release(&from);
}

#define HEAD "{\"age_ms\":1,\"revision\":2,\"config\":3,\"idle_timeout_ms\":4,"
#define TAIL "\"withdrawn\":[],\"targets\":[]}"

static const char *const invalid[] = {
	"",
	"null",
	"[]",
	"{}",
	HEAD,
	HEAD "\"routes\":[],\"withdrawn\":[]}",
	HEAD "\"routes\":{}," TAIL,
	HEAD "\"routes\":[{\"address\":\"nowhere\",\"services\":[]}]," TAIL,
	HEAD "\"routes\":[{\"address\":\"198.18.0.1:443\",\"services\":[]}]," TAIL,
	HEAD "\"routes\":[{\"address\":\"198.18.0.1:443\","
	     "\"services\":[{\"name\":\"web\",\"weight\":-1}]}]," TAIL,
	HEAD "\"routes\":[],\"withdrawn\":[7],\"targets\":[]}",
	HEAD "\"routes\":[],\"withdrawn\":[],\"targets\":[{\"id\":\"i-a\"}]}",
	HEAD "\"routes\":[],\"withdrawn\":[],\"targets\":[{\"id\":\"i-a\",\"wire_id\":\"1\","
	     "\"address\":\"10.0.0.1:80\",\"service\":\"web\",\"data_centre\":\"home\"}]}",
	HEAD "\"age_ms\":1,\"routes\":[]," TAIL,
	HEAD "\"other\":1,\"routes\":[]," TAIL,
};

/* Guards against a snapshot that is cut short or not understood being applied in part. */
static void test_invalid(void)
{
	struct fixture from;
	GString *whole;

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		struct faults faults;

		faults_init(&faults);
		g_assert_null(snapshot_parse(invalid[i], strlen(invalid[i]), &faults));
		g_assert_cmpuint(faults.list->len, >, 0);
		faults_release(&faults);
	}
	fixture_init(&from, "home");
	fill(&from);
	whole = write_snapshot(&from);
	for (size_t len = 0; len < whole->len; len++) {
		struct faults faults;

		faults_init(&faults);
		g_assert_null(snapshot_parse(whole->str, len, &faults));
		faults_release(&faults);
	}
	g_string_free(whole, TRUE);
	fixture_release(&from);
}

/* How a seed answers. */
struct seed_answer {
	int64_t age_ms; /* of its snapshot; NO_ANSWER or BAD_ANSWER */
	int64_t after_ms;
};

enum { NO_ANSWER = -1, BAD_ANSWER = -2 };

struct start_case {
	const char *name;
	bool store_lost;
	struct seed_answer seeds[MAX_SEEDS];
	size_t nr_seeds;
	int64_t store_back_ms; /* when the store answers about all kinds; 0 for never */
	int64_t applied_by_ms; /* 0: no snapshot may be applied within 5 s */
	int64_t applied_age_ms;
	unsigned int max_asked; /* calls to one seed in 5 s */
};

static const struct start_case starts[] = {
	{ "store-answers", false, { { 0, 5 } }, 1, 0, 0, 0, 0 },
	{ "without-seeds", true, { { 0, 0 } }, 0, 0, 0, 0, 0 },
	{ "one-seed", true, { { 2000, 5 } }, 1, 0, 100, 2000, 1 },
	{ "most-recent-of-three",
	  true,
	  { { 4000, 5 }, { 2000, 20 }, { 3000, 8 } },
	  3,
	  0,
	  130,
	  2000,
	  1 },
	{ "later-than-the-first-by-too-much",
	  true,
	  { { 4000, 5 }, { 2000, 300 }, { NO_ANSWER, 400 } },
	  3,
	  0,
	  130,
	  4000,
	  1 },
	{ "one-of-three-answers",
	  true,
	  { { NO_ANSWER, 400 }, { BAD_ANSWER, 5 }, { 500, 5 } },
	  3,
	  0,
	  130,
	  500,
	  1 },
	/* Asked at 0, 0.25, 0.75, 1.75 and 3.75 s: seeds that start too are not overwhelmed. */
	{ "nobody-answers", true, { { NO_ANSWER, 5 } }, 1, 0, 0, 0, 6 },
	{ "store-returns-first", true, { { 100, 300 } }, 1, 200, 0, 0, 1 },
};

struct start_sim {
	struct bootstrap_out out; /* first member */
	int64_t now_ms;
	int64_t answer_ms[MAX_SEEDS]; /* -1 for no call under way */
	unsigned int asked[MAX_SEEDS];
	const struct start_case *tc;
};

static void out_ask(struct bootstrap_out *out, size_t seed, uint32_t deadline_ms)
{
	struct start_sim *sim = (struct start_sim *)out;

	g_assert_cmpint(sim->answer_ms[seed], ==, -1);
	g_assert_cmpint(sim->tc->seeds[seed].after_ms, <=, deadline_ms);
	sim->answer_ms[seed] = sim->now_ms + sim->tc->seeds[seed].after_ms;
	sim->asked[seed]++;
}

static const struct bootstrap_out_ops bootstrap_ops = { out_ask };

static void answer(struct start_sim *sim, struct bootstrap *boot, size_t seed, struct timespec now)
{
	int64_t age_ms = sim->tc->seeds[seed].age_ms;
	struct fixture from;
	GString *text;

	sim->answer_ms[seed] = -1;
	if (age_ms == NO_ANSWER) {
		bootstrap_answered(boot, seed, NULL, 0, "no answer", now);
		return;
	}
	fixture_init(&from, "home");
	fill(&from);
	from.now = ts_add_ms(from.now, MAX(age_ms, 0));
	text = write_snapshot(&from);
	if (age_ms == BAD_ANSWER)
		g_string_truncate(text, text->len / 2);
	bootstrap_answered(boot, seed, text->str, text->len, "", now);
	g_string_free(text, TRUE);
	fixture_release(&from);
}

/* Guards against a start that waits for the store, asks too often, or uses an old snapshot. */
static void test_start(gconstpointer data)
{
	const struct start_case *tc = data;
	struct start_sim sim = { .out = { &bootstrap_ops }, .tc = tc };
	static const struct endpoint seeds[MAX_SEEDS];
	struct fixture fix;
	struct bootstrap_options opts = {
		.control_state = &fix.control_state,
		.out = &sim.out,
		.random = &fix.random.random,
		.seeds = seeds,
		.nr_seeds = tc->nr_seeds,
	};
	struct bootstrap *boot;
	int64_t applied_ms = 0;

	fixture_init(&fix, "home");
	for (size_t i = 0; i < MAX_SEEDS; i++)
		sim.answer_ms[i] = -1;
	if (tc->store_lost)
		control_state_store_failed(&fix.control_state, "timeout", fix.now);
	boot = bootstrap_new(&opts);
	for (; sim.now_ms < 5000; sim.now_ms++) {
		struct timespec now = ts_add_ms(fix.now, sim.now_ms);

		for (size_t i = 0; i < tc->nr_seeds; i++) {
			if (sim.answer_ms[i] == sim.now_ms)
				answer(&sim, boot, i, now);
		}
		if (tc->store_back_ms && tc->store_back_ms == sim.now_ms) {
			put_config(&fix, 9, 443, "web");
			know_all(&fix);
		}
		if (bootstrap_due_ms(boot, now) <= 0 || sim.now_ms % 250 == 0) {
			if (bootstrap_timer(boot, now) && !applied_ms) {
				applied_ms = sim.now_ms;
				g_assert_cmpint(
					ts_diff_ms(now,
						   fix.control_state.last_answer[CONTROL_TARGETS]),
					>=, tc->applied_age_ms);
				g_assert_cmpint(
					ts_diff_ms(now,
						   fix.control_state.last_answer[CONTROL_TARGETS]),
					<=, tc->applied_age_ms + 100);
			}
		}
	}
	if (tc->applied_by_ms) {
		g_assert_cmpint(applied_ms, >, 0);
		g_assert_cmpint(applied_ms, <=, tc->applied_by_ms);
		fix.now = ts_add_ms(fix.now, sim.now_ms);
		g_assert_cmpstr(open_flow(&fix, 1, 443), ==, "i-a");
	} else {
		g_assert_cmpint(applied_ms, ==, 0);
	}
	for (size_t i = 0; i < tc->nr_seeds; i++)
		g_assert_cmpuint(sim.asked[i], <=, tc->max_asked);
	bootstrap_free(boot);
	fixture_release(&fix);
}

/*
 * Guards against a snapshot whose states count as older than those of every era: a reader of the
 * era before, whose revisions are higher, would bring a drained target back.
 */
static void test_era(void)
{
	struct fixture from;
	struct fixture to;
	struct control_state *cs = &from.control_state;
	const struct reg_target *tgt;
	GString *text;

	fixture_init(&from, "home");
	fixture_init(&to, "home");
	fill(&from);
	control_state_begin_answer(cs, store_version_make(3, 20), from.now);
	control_state_put_target(
		cs,
		&(struct target_info){ .id = "i-a",
				       .ep = { 0x0a000001, 80 },
				       .service = symbols_intern(&cs->symbols, "web"),
				       .data_centre = cs->placing.opts.data_centre,
				       .slots = 3,
				       .draining = true,
				       .revision = store_version_make(3, 21) },
		from.now);
	text = write_snapshot(&from);
	apply(&to, text, 0);
	cs = &to.control_state;
	tgt = registry_by_id(cs->registry, "i-a");
	g_assert_cmpint(store_version_era(tgt->revision), ==, 3);
	g_assert_cmpint(store_version_revision(tgt->revision), ==, 21);
	g_assert_cmpint(store_version_era(registry_latest_revision(cs->registry)), ==, 3);
	control_state_begin_answer(cs, store_version_make(2, 90), to.now);
	control_state_targets_begin(cs);
	control_state_put_target(cs,
				 &(struct target_info){ .id = "i-a",
							.ep = { 0x0a000001, 80 },
							.service = tgt->service,
							.data_centre = tgt->data_centre,
							.slots = 3,
							.revision = store_version_make(2, 80) },
				 to.now);
	control_state_targets_end(cs, to.now);
	g_assert_cmpint(tgt->phase, ==, TARGET_DRAINING);
	g_string_free(text, TRUE);
	fixture_release(&to);
	fixture_release(&from);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/snapshot/round-trip", test_round_trip);
	g_test_add_func("/snapshot/store-wins", test_store_wins);
	g_test_add_func("/snapshot/invalid", test_invalid);
	g_test_add_func("/era/snapshot", test_era);
	for (size_t i = 0; i < G_N_ELEMENTS(starts); i++) {
		char *path = g_strconcat("/snapshot/start/", starts[i].name, NULL);

		g_test_add_data_func(path, &starts[i], test_start);
		g_free(path);
	}
	return g_test_run();
}
