/*
 * Guards against load on targets that cannot take it: down, cold, shedding, full, or with a false
 * start marker, load or health.
 */
#include <sodium.h>

#include "config.h"
#include "simnet.h"
#include "target.h"

#define TARGETS 4
#define STEP_MS 50

struct fixture {
	struct config *cfg;
	struct members *mem;
	struct targets *tgs;
	struct counters counters;
	struct seeded_random random;
	struct actions out;
	struct ctx ctx;
	struct service *svc;
	uint32_t index[TARGETS];
	struct health_report rep[TARGETS];
	bool unresponsive[TARGETS]; /* does not answer openings */
};

static void apply(struct fixture *fix, uint64_t generation, int nr, const char *extra)
{
	GString *doc = g_string_new(NULL);
	struct object obj = { .kind = PEER_OBJECT_ORGANISATION, .name = "o" };

	g_string_printf(
		doc,
		"{\"organisation\":\"o\",\"generation\":%d,\"services\":[{\"name\":\"s\","
		"\"address\":\"192.0.2.1:7000\",\"protocol\":\"tcp\",\"retry_permille\":100,"
		"\"targets\":[",
		(int)generation);
	for (int i = 0; i < nr; i++)
		g_string_append_printf(doc,
				       "%s{\"name\":\"t%d\",\"address\":\"198.51.100.%d:6080\","
				       "\"data_centre\":\"%s\",\"slots\":2,\"max_flows\":100,"
				       "\"warmup_ms\":10000,\"health\":\"198.51.100.%d:8080\"%s}",
				       i ? "," : "", i, i + 1, i == 3 ? "dc-far" : "dc-0", i + 1,
				       i == 0 ? extra : "");
	g_string_append(doc, "]}]}");
	obj.generation = generation;
	obj.document = (const uint8_t *)doc->str;
	obj.len = doc->len;
	g_assert_cmpint(config_apply(fix->cfg, &obj), ==, 1);
	g_string_free(doc, TRUE);
	targets_config_changed(fix->tgs, &fix->ctx);
	fix->svc = config_service(fix->cfg,
				  (struct service_addr){ { 0xc0000201, 7000 }, IPPROTO_TCP });
	for (guint i = 0; i < fix->svc->targets->len; i++)
		fix->index[i] = g_array_index(fix->svc->targets, struct target_config, i).index;
}

static struct fixture *fixture_new(int nr)
{
	struct fixture *fix = g_new0(struct fixture, 1);
	struct members_options opts = {
		.self = 1, .group = "g", .data_centre = "dc-0", .incarnation = 1
	};

	fix->cfg = config_new(NULL);
	fix->mem = members_new(&opts);
	members_set_own_state(fix->mem, MEMBER_LIVE);
	fix->tgs = targets_new(fix->cfg, fix->mem);
	seeded_random_init(&fix->random, 1);
	actions_init(&fix->out);
	fix->ctx = (struct ctx){
		.now = ts_from_ms(1000000),
		.out = &fix->out,
		.random = &fix->random.random,
		.counters = &fix->counters,
	};
	for (int i = 0; i < TARGETS; i++)
		fix->rep[i] = (struct health_report){
			.target = { 0xc6336401 + i, 6080 },
			.reachable = true,
			.ready = true,
			.start_marker = 7,
		};
	apply(fix, 1, nr, "");
	return fix;
}

static void fixture_free(struct fixture *fix)
{
	targets_free(fix->tgs);
	members_free(fix->mem);
	config_free(fix->cfg);
	actions_release(&fix->out);
	g_free(fix);
}

/* Advances time by @ms; answers probes of the first @nr targets with the reports of the fixture. */
static void advance_probing(struct fixture *fix, int64_t ms, int nr)
{
	for (int64_t t = 0; t < ms; t += STEP_MS) {
		fix->ctx.now = ts_add_ms(fix->ctx.now, STEP_MS);
		members_timer(fix->mem, &fix->ctx);
		targets_timer(fix->tgs, &fix->ctx);
		for (size_t i = 0; i < fix->out.list->len; i++) {
			const struct action *act = actions_at(&fix->out, i);

			for (int j = 0; act->type == ACTION_PROBE && j < nr; j++) {
				if (endpoint_equal(act->target, fix->rep[j].target))
					targets_health(fix->tgs, &fix->ctx, &fix->rep[j]);
			}
		}
		actions_reset(&fix->out);
		targets_timer(fix->tgs, &fix->ctx);
		actions_reset(&fix->out);
	}
}

static void advance(struct fixture *fix, int64_t ms)
{
	advance_probing(fix, ms, TARGETS);
}

static bool eligible(struct fixture *fix, int i)
{
	return target_eligible(fix->tgs, fix->index[i]);
}

/* Offers @nr openings, spread over @ms, with target @cur as current; returns how many it got. */
static uint32_t offer_openings(struct fixture *fix, int cur, int alt, int nr, int64_t ms,
			       uint32_t *none)
{
	uint32_t took = 0;

	for (int i = 0; i < nr; i++) {
		uint32_t chosen = target_choose(fix->tgs, &fix->ctx, fix->index[cur],
						alt < 0 ? TARGET_NONE : fix->index[alt]);

		if (chosen != TARGET_NONE) {
			target_opened(fix->tgs, &fix->ctx, chosen);
			if (chosen != fix->index[cur] || !fix->unresponsive[cur])
				target_accepted(fix->tgs, &fix->ctx, chosen);
			if (chosen != fix->index[cur])
				target_closed(fix->tgs, &fix->ctx, chosen);
		}
		took += chosen == fix->index[cur];
		if (none)
			*none += chosen == TARGET_NONE;
		advance(fix, ((i + 1) * ms / nr / STEP_MS - i * ms / nr / STEP_MS) * STEP_MS);
	}
	return took;
}

/* Guards against new flows to a target that is down or refuses them, and against a target taken
 * for down after one lost probe. */
static void test_health(void)
{
	static const struct {
		bool reachable, ready;
		int64_t ms;
		bool want;
	} steps[] = {
		{ true, true, 2500, true }, { false, false, 1500, true },
		{ true, true, 1500, true }, { false, false, 4500, false },
		{ true, true, 3500, true }, { true, false, 1500, false },
		{ true, true, 1500, true },
	};
	struct fixture *fix = fixture_new(3);

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		uint64_t version = targets_version(fix->tgs);
		bool before = eligible(fix, 0);

		fix->rep[0].reachable = steps[i].reachable;
		fix->rep[0].ready = steps[i].ready;
		advance(fix, steps[i].ms);
		g_assert_true(eligible(fix, 0) == steps[i].want);
		g_assert_cmpuint(target_weight(fix->tgs, fix->index[0]), ==,
				 steps[i].want ? 100 : 0);
		if (before != steps[i].want)
			g_assert_cmpuint(targets_version(fix->tgs), >, version);
	}
	fixture_free(fix);
}

/*
 * Guards against targets that become ineligible because reports take long in a large group: their
 * buckets became SHARED without need.
 */
static void test_no_word(void)
{
	struct fixture *fix = fixture_new(3);
	uint64_t version;

	advance_probing(fix, 10000, 1);
	version = targets_version(fix->tgs);
	advance_probing(fix, 120000, 1);
	g_assert_true(eligible(fix, 0));
	g_assert_true(eligible(fix, 1));
	g_assert_cmpuint(targets_version(fix->tgs), ==, version);
	fixture_free(fix);
}

/* Guards against a target of another data centre that is used while local ones have capacity, or
 * not used when they have none. */
static void test_spill(void)
{
	struct fixture *fix = fixture_new(4);

	advance(fix, 3000);
	g_assert_true(eligible(fix, 0) && eligible(fix, 1) && eligible(fix, 2));
	g_assert_false(eligible(fix, 3));
	for (int i = 0; i < 3; i++)
		fix->rep[i].load_permille = 1000;
	advance(fix, 4000);
	g_assert_true(eligible(fix, 3));
	for (int i = 0; i < 3; i++)
		fix->rep[i].load_permille = 100;
	advance(fix, 3000);
	g_assert_false(eligible(fix, 3));
	for (int i = 0; i < 3; i++)
		fix->rep[i].reachable = false;
	advance(fix, 5000);
	g_assert_true(eligible(fix, 3) && !eligible(fix, 0));
	fixture_free(fix);
}

/* Guards against a cold target that gets more than its share, for each sign of a start. */
static void test_slow_start(void)
{
	enum { ADDED, MARKER, NEWS, SHEDS, RESETS, DOWN } kind;

	for (kind = ADDED; kind <= DOWN; kind++) {
		struct fixture *fix = fixture_new(kind == ADDED ? 2 : 3);
		struct target_status st;
		uint32_t took, offered = 0, total = 0;

		if (kind == DOWN)
			fix->rep[2].start_marker = 0;
		advance(fix, 12000);
		if (kind == ADDED)
			apply(fix, 2, 3, "");
		if (kind == MARKER)
			fix->rep[2].start_marker = 8;
		if (kind == NEWS) {
			peer_target_news news = {
				.target = { 0xc6336403, 6080u << 16 },
				.observer = 9,
				.load = 10u << 24 | PEER_TARGET_UP << 16,
			};

			targets_news(fix->tgs, &fix->ctx, 9, &news, 1);
		}
		for (int i = 0; kind == SHEDS && i < 4; i++) {
			target_shed(fix->tgs, &fix->ctx, fix->index[2]);
			advance(fix, 1200);
		}
		/* Two resets, or any number with answers between them, show no start. */
		for (int i = 0; kind == RESETS && i < 6; i++) {
			if (i % 2 == 0)
				target_answered(fix->tgs, &fix->ctx, fix->index[2]);
			target_reset(fix->tgs, &fix->ctx, fix->index[2]);
		}
		target_get_status(fix->tgs, fix->index[2], fix->ctx.now, &st);
		g_assert_true(kind != RESETS || !st.starting);
		for (int i = 0; kind == RESETS && i < 3; i++)
			target_reset(fix->tgs, &fix->ctx, fix->index[2]);
		if (kind == DOWN) {
			fix->rep[2].reachable = false;
			advance(fix, 5000);
			fix->rep[2].reachable = true;
			advance(fix, 1500);
		}
		advance(fix, 1200);
		target_get_status(fix->tgs, fix->index[2], fix->ctx.now, &st);
		g_assert_true(st.starting && st.eligible);
		g_assert_cmpuint(st.share_permille, <, 500);
		g_assert_true(target_restrained(fix->tgs, fix->index[2]));
		/* At most the share at the end of each second, and a burst of two. */
		for (int s = 0; s < 14; s++) {
			took = offer_openings(fix, 2, 0, 20, 1000, NULL);
			target_get_status(fix->tgs, fix->index[2], fix->ctx.now, &st);
			g_assert_cmpuint(took, <=, 20 * st.share_permille / 1000 + 2);
			for (uint32_t i = 0; i < took; i++)
				target_closed(fix->tgs, &fix->ctx, fix->index[2]);
			offered += 20;
			total += took;
		}
		g_assert_cmpuint(total, >, offered / 4);
		g_assert_false(st.starting);
		g_assert_cmpuint(offer_openings(fix, 2, -1, 20, 1000, NULL), ==, 20);
		fixture_free(fix);
	}
}

/* Guards against a marker that changes with each probe and so keeps its target at minimum share. */
static void test_lying_marker(void)
{
	struct fixture *fix = fixture_new(3);
	struct target_status st;

	for (int i = 0; i < 60; i++) {
		fix->rep[0].start_marker++;
		advance(fix, 1000);
	}
	target_get_status(fix->tgs, fix->index[0], fix->ctx.now, &st);
	g_assert_cmpuint(st.share_permille, ==, 1000);
	fixture_free(fix);
}

/* Guards against false load reports: always empty, always full, or always the same. */
static void test_lying_load(void)
{
	static const struct {
		uint32_t load;
		uint32_t max_flows; /* flows that the target may get of 120 offered */
		uint32_t min_flows;
	} cases[] = { { 0, 100, 80 }, { 1000, 100, 50 }, { 300, 100, 50 } };

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct fixture *fix = fixture_new(3);
		uint32_t took, none = 0;

		for (int i = 0; i < 3; i++)
			fix->rep[i].load_permille = cases[c].load;
		advance(fix, 15000);
		took = offer_openings(fix, 0, -1, 120, 6000, &none);
		g_assert_cmpuint(took, <=, cases[c].max_flows);
		g_assert_cmpuint(took, >=, cases[c].min_flows);
		g_assert_cmpuint(took + none, ==, 120);
		fixture_free(fix);
	}
}

/* Guards against openings to a target that refuses them, and against retries beyond the budget. */
static void test_shedding(void)
{
	struct fixture *fix = fixture_new(2);
	uint32_t retries = 0, tried = 0, none = 0;

	advance(fix, 3000);
	/* Both shed all the time: most openings are refused at once, few are retried. */
	for (int i = 0; i < 2000; i++) {
		uint32_t chosen = target_choose(fix->tgs, &fix->ctx, fix->index[0], fix->index[1]);

		if (chosen != TARGET_NONE) {
			tried++;
			target_opened(fix->tgs, &fix->ctx, chosen);
			target_shed(fix->tgs, &fix->ctx, chosen);
			target_closed(fix->tgs, &fix->ctx, chosen);
			retries += target_take_retry(fix->tgs, &fix->ctx, fix->svc);
		}
		if (i % 10 == 9)
			advance(fix, STEP_MS);
	}
	g_assert_cmpuint(tried, >, 2);
	g_assert_cmpuint(tried, <, 60);
	g_assert_cmpuint(retries, <=, 3 + tried / 10 + 1);
	/* They recover: after the longest back-off all openings are accepted again. */
	advance(fix, 8000);
	offer_openings(fix, 0, 1, 20, 15000, NULL);
	offer_openings(fix, 0, 1, 20, 1000, &none);
	g_assert_cmpuint(none, ==, 0);
	fixture_free(fix);
}

/* Guards against counters of the burn report that decrease or count a flow that failed as good. */
static void test_outcomes(void)
{
	static const struct {
		enum flow_outcome outcome;
		uint64_t good, bad;
	} steps[] = {
		{ FLOW_TERMINATED, 0, 1 }, /* of an earlier process of the instance */
		{ FLOW_GOOD, 1, 1 },	   { FLOW_GOOD, 2, 1 }, { FLOW_SHED, 2, 2 },
		{ FLOW_TERMINATED, 2, 3 }, { FLOW_GOOD, 2, 3 }, { FLOW_GOOD, 3, 3 },
		{ FLOW_RESET, 3, 3 },	   { FLOW_GOOD, 3, 3 }, { FLOW_GOOD, 4, 3 },
	};
	struct fixture *fix = fixture_new(2);
	struct target_status st;

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		target_outcome(fix->tgs, fix->index[0], steps[i].outcome);
		target_get_status(fix->tgs, fix->index[0], fix->ctx.now, &st);
		g_assert_cmpuint(st.good, ==, steps[i].good);
		g_assert_cmpuint(st.bad, ==, steps[i].bad);
	}
	target_get_status(fix->tgs, fix->index[1], fix->ctx.now, &st);
	g_assert_cmpuint(st.good + st.bad, ==, 0);
	g_assert_cmpuint(targets_get_refused(fix->tgs, fix->svc), ==, 0);
	targets_count_refused(fix->tgs, fix->svc);
	g_assert_cmpuint(targets_get_refused(fix->tgs, fix->svc), ==, 1);
	fixture_free(fix);
}

/* Guards against a target that answers probes but no opening and still gets flows, and against one
 * that gets none although only its health endpoint is broken. */
static void test_misleading_health(void)
{
	struct fixture *fix = fixture_new(3);

	advance(fix, 3000);
	fix->unresponsive[0] = true;
	offer_openings(fix, 0, -1, 8, 2000, NULL);
	advance(fix, 300);
	g_assert_false(eligible(fix, 0));
	fix->rep[1].reachable = false;
	for (int i = 0; i < 8; i++) {
		offer_openings(fix, 1, -1, 2, 1000, NULL);
		g_assert_true(eligible(fix, 1));
		g_assert_true(target_usable(fix->tgs, fix->index[1]));
	}
	advance(fix, 4000);
	g_assert_false(eligible(fix, 1));
	advance(fix, 15000);
	g_assert_false(target_usable(fix->tgs, fix->index[1]));
	fixture_free(fix);
}

static void group_timer(struct simnet *net, struct sim_node *node, struct ctx *ctx)
{
	(void)net;
	targets_timer(((struct fixture *)node->user)->tgs, ctx);
}

static void group_message(struct simnet *net, struct sim_node *node, struct ctx *ctx, uint32_t src,
			  uint32_t xid, const peer_msg *msg)
{
	(void)net;
	(void)xid;
	if (msg->type == PEER_HEARTBEAT)
		targets_news(((struct fixture *)node->user)->tgs, ctx, src,
			     msg->peer_msg_u.heartbeat.news.news_val,
			     msg->peer_msg_u.heartbeat.news.news_len);
}

static void group_action(struct simnet *net, struct sim_node *node, const struct action *act)
{
	struct fixture *fix = node->user;
	struct actions spare;
	struct ctx ctx = sim_ctx(net, node);

	actions_init(&spare);
	ctx.out = &spare;
	for (int j = 0; act->type == ACTION_PROBE && j < TARGETS; j++) {
		if (endpoint_equal(act->target, fix->rep[j].target))
			targets_health(fix->tgs, &ctx, &fix->rep[j]);
	}
	actions_release(&spare);
}

/* Guards against one probe per member instead of two per target, and against state changes that
 * do not reach the members that do not probe. */
static void test_group(void)
{
	struct simnet *net = simnet_new(21, 9, 9, 9);
	struct fixture *fix[9];
	uint64_t probes = 0;

	net->on_timer = group_timer;
	net->on_message = group_message;
	net->on_action = group_action;
	net->loss_permille = 100;
	for (uint32_t i = 0; i < 9; i++) {
		simnet_start(net, i, 1);
		fix[i] = fixture_new(3);
		targets_free(fix[i]->tgs);
		fix[i]->tgs = targets_new(fix[i]->cfg, net->nodes[i].mem);
		targets_config_changed(fix[i]->tgs, &fix[i]->ctx);
		members_set_news_source(net->nodes[i].mem, targets_news_source(fix[i]->tgs));
		net->nodes[i].user = fix[i];
	}
	sim_run(net, 15000);
	for (uint32_t i = 0; i < 9; i++)
		net->nodes[i].counters.probes = 0;
	sim_run(net, 10000);
	for (uint32_t i = 0; i < 9; i++) {
		probes += net->nodes[i].counters.probes;
		fix[i]->rep[0].reachable = false;
		fix[i]->rep[1].start_marker = 99;
	}
	g_assert_cmpuint(probes, >=, 3 * 2 * 9);
	g_assert_cmpuint(probes, <=, 3 * 2 * 12);
	sim_run(net, 7000);
	for (uint32_t i = 0; i < 9; i++) {
		struct target_status st;

		g_assert_false(target_eligible(fix[i]->tgs, fix[i]->index[0]));
		g_assert_true(target_eligible(fix[i]->tgs, fix[i]->index[2]));
		target_get_status(fix[i]->tgs, fix[i]->index[1], net->now, &st);
		g_assert_true(st.starting);
		g_assert_cmpuint(st.share_permille, <, 900);
		target_get_status(fix[i]->tgs, fix[i]->index[2], net->now, &st);
		g_assert_cmpuint(st.report_age_ms, <, LOAD_REPORT_MAX_AGE_MS);
		fixture_free(fix[i]);
	}
	simnet_free(net);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/target/health", test_health);
	g_test_add_func("/target/no-word", test_no_word);
	g_test_add_func("/target/spill", test_spill);
	g_test_add_func("/target/slow-start", test_slow_start);
	g_test_add_func("/target/lying-marker", test_lying_marker);
	g_test_add_func("/target/lying-load", test_lying_load);
	g_test_add_func("/target/shedding", test_shedding);
	g_test_add_func("/target/outcomes", test_outcomes);
	g_test_add_func("/target/misleading-health", test_misleading_health);
	g_test_add_func("/target/group", test_group);
	return g_test_run();
}
