/*
 * Tests the holder's side of credits without a steer: the choice of a target with a free credit,
 * grants and reports.
 */
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "credit/account.h"
#include "random.h"
#include "timeutil.h"

#define START_S	    1000
#define HOME	    100 /* symbols */
#define AWAY	    101
#define WEB	    1
#define OTHER	    2
#define TARGETS_MAX 4

struct fixture {
	struct registry *reg;
	struct credit_account *acc;
	struct edge_counters counters;
	struct placing placing;
	struct seeded_random random;
	struct route_rule rule;
	struct timespec now;
};

static void set_up(struct fixture *fix)
{
	struct placing_options opts = {
		.data_centre = HOME,
		.remote_percent = 100,
		.cold_gap_ms = 1000,
	};

	*fix = (struct fixture){ .now = { .tv_sec = START_S } };
	fix->reg = registry_new();
	fix->acc = credit_account_new(fix->reg, &fix->counters);
	seeded_random_init(&fix->random, 1);
	opts.registry = fix->reg;
	opts.random = &fix->random.random;
	placing_init(&fix->placing, &opts);
	fix->rule = (struct route_rule){
		.services = { { .service = WEB, .weight = 1 } },
		.nr_services = 1,
		.weight_sum = 1,
		.admission = { .goal_ms = 300, .priority = 1 },
	};
}

static void tear_down(struct fixture *fix)
{
	credit_account_free(fix->acc);
	placing_release(&fix->placing);
	registry_free(fix->reg);
}

static struct reg_target *put_target(struct fixture *fix, const char *id, uint32_t data_centre,
				     uint32_t cold_ms, bool draining)
{
	struct target_info info = {
		.id = id,
		.service = WEB,
		.data_centre = data_centre,
		.slots = 2,
		.cold_ms = cold_ms,
		.draining = draining,
	};

	registry_put(fix->reg, &info, fix->now);
	return registry_by_id(fix->reg, id);
}

static struct reg_target *choose(struct fixture *fix, uint64_t digest, struct reg_target *tried,
				 bool *usable)
{
	struct placing_request req = { .rule = &fix->rule, .now = fix->now, .flow_digest = digest };

	if (tried)
		req.tried[req.nr_tried++] = tried;
	return credit_choose(fix->acc, WEB, &fix->placing, &req, usable);
}

struct entry {
	const char *id; /* NULL: unknown target */
	uint8_t slots;
	uint8_t queue;
	uint16_t speed;
	bool lent;
};

static void grant(struct fixture *fix, const struct entry *entries, size_t nr)
{
	struct credit_service_grant *svc;
	struct credit_grant gr;

	credit_grant_init(&gr);
	svc = credit_grant_add(&gr, WEB);
	for (size_t i = 0; i < nr && entries[i].id; i++) {
		struct reg_target *tgt = registry_by_id(fix->reg, entries[i].id);
		struct credit_entry entry = {
			.target = tgt ? tgt->digest : 4711,
			.slots = entries[i].slots,
			.queue = entries[i].queue,
			.speed_permille = entries[i].speed ? entries[i].speed : 1000,
			.lent = entries[i].lent,
		};

		g_array_append_val(svc->entries, entry);
	}
	credit_apply_grant(fix->acc, &gr, fix->now);
	credit_grant_release(&gr);
}

/* Targets a and b; the ids of the choices in order, "-" for none, "!" for none usable. */
static const struct choice_case {
	const char *name;
	struct entry entries[TARGETS_MAX];
	const char *expected;
	uint32_t cold_a_ms;
	enum target_trust trust_a;
	bool draining_a;
	bool withdrawn_a;
	bool tried_a;
	bool gone_a;
	bool cold_limited;
} choice_cases[] = {
	{ .name = "own-slot-then-lent-slot-then-own-queue-then-lent-queue",
	  .entries = { { "a", 1, 1, 0, true }, { "b", 1, 1, 0, false } },
	  .expected = "b a b a -" },
	{ .name = "slots-before-queues",
	  .entries = { { "a", 1, 2, 0, false }, { "b", 2, 1, 0, false } },
	  .expected = "* * b a * * -" },
	{ .name = "by-speed",
	  .entries = { { "a", 20, 0, 500, false }, { "b", 40, 0, 1000, false } },
	  .expected = "* * b * * b * * b * * b" },
	{ .name = "cold-after-warm",
	  .entries = { { "a", 2, 0, 0, false }, { "b", 1, 1, 0, false } },
	  .expected = "b b a a -",
	  .cold_a_ms = 5000 },
	/* Two openings in a second exceed the rate that the service configures for cold targets. */
	{ .name = "cold-limited-once",
	  .entries = { { "a", 2, 0, 0, false } },
	  .expected = "a !",
	  .cold_a_ms = 5000,
	  .cold_limited = true },
	{ .name = "not-suspected",
	  .entries = { { "a", 2, 0, 0, false }, { "b", 1, 0, 0, false } },
	  .expected = "b -",
	  .trust_a = TRUST_SUSPECTED },
	{ .name = "not-dead",
	  .entries = { { "a", 2, 0, 0, false } },
	  .expected = "!",
	  .trust_a = TRUST_DEAD },
	{ .name = "not-draining",
	  .entries = { { "a", 2, 0, 0, false } },
	  .expected = "!",
	  .draining_a = true },
	{ .name = "not-withdrawn",
	  .entries = { { "a", 2, 0, 0, false }, { "b", 1, 0, 0, false } },
	  .expected = "b -",
	  .withdrawn_a = true },
	{ .name = "not-tried",
	  .entries = { { "a", 2, 0, 0, false }, { "b", 1, 0, 0, false } },
	  .expected = "b -",
	  .tried_a = true },
	{ .name = "not-gone",
	  .entries = { { "a", 2, 0, 0, false } },
	  .expected = "!",
	  .gone_a = true },
	{ .name = "unknown-targets-are-ignored",
	  .entries = { { "x", 2, 0, 0, false }, { "b", 1, 0, 0, false } },
	  .expected = "b -" },
	{ .name = "no-credits-at-all", .expected = "!" },
	{ .name = "two-entries-of-one-target-add-up",
	  .entries = { { "a", 1, 0, 0, false }, { "a", 1, 0, 0, true } },
	  .expected = "a a -" },
};

static void test_choice(gconstpointer data)
{
	const struct choice_case *c = data;
	char **expected = g_strsplit(c->expected, " ", 0);
	struct reg_target *a;
	struct fixture fix;

	set_up(&fix);
	fix.rule.services[0].cold_rate_limited = c->cold_limited;
	a = put_target(&fix, "a", AWAY, c->cold_a_ms, c->draining_a);
	put_target(&fix, "b", HOME, 0, false);
	grant(&fix, c->entries, TARGETS_MAX);
	a->trust = c->trust_a;
	if (c->withdrawn_a)
		placing_withdraw(&fix.placing, AWAY, true);
	if (c->gone_a)
		registry_remove(fix.reg, "a", STORE_VERSION_NONE, fix.now);
	for (char **want = expected; *want; want++) {
		bool usable;
		struct reg_target *tgt =
			choose(&fix, (uint64_t)(want - expected), c->tried_a ? a : NULL, &usable);

		if (!strcmp(*want, "-") || !strcmp(*want, "!")) {
			g_assert_null(tgt);
			g_assert_cmpint(usable, ==, **want == '-');
			continue;
		}
		g_assert_nonnull(tgt);
		g_assert_true(usable);
		if (**want != '*')
			g_assert_cmpstr(tgt->id->str, ==, *want);
		credit_take(fix.acc, tgt, fix.now);
	}
	tear_down(&fix);
	g_strfreev(expected);
}

/* Guards against a faster target that gets no more than a slow one, and against its opposite. */
static void test_round_robin(void)
{
	static const struct entry entries[] = { { "a", 2, 0, 500, false },
						{ "b", 2, 0, 1500, false } };
	unsigned int nr_a = 0;
	struct reg_target *a;
	struct fixture fix;

	set_up(&fix);
	a = put_target(&fix, "a", HOME, 0, false);
	put_target(&fix, "b", HOME, 0, false);
	grant(&fix, entries, 2);
	for (uint64_t i = 0; i < 400; i++) {
		bool usable;
		struct reg_target *tgt = choose(&fix, i * 7, NULL, &usable);

		nr_a += tgt == a;
		credit_take(fix.acc, tgt, fix.now);
		credit_return(fix.acc, tgt, CREDIT_ANSWERED, 10, 0, fix.now);
	}
	g_assert_cmpuint(nr_a, >=, 98);
	g_assert_cmpuint(nr_a, <=, 102);
	tear_down(&fix);
}

/* A target that returns after a time without openings must not get all of them. */
static void test_return_of_target(void)
{
	static const struct entry entries[] = { { "a", 50, 0, 0, false },
						{ "b", 50, 0, 0, false } };
	unsigned int nr_a = 0;
	struct reg_target *a;
	struct reg_target *b;
	struct fixture fix;
	bool usable;

	set_up(&fix);
	a = put_target(&fix, "a", HOME, 0, false);
	b = put_target(&fix, "b", HOME, 0, false);
	grant(&fix, entries, 2);
	a->trust = TRUST_SUSPECTED;
	for (uint64_t i = 0; i < 100; i++) {
		g_assert_true(choose(&fix, i, NULL, &usable) == b);
		credit_take(fix.acc, b, fix.now);
		credit_return(fix.acc, b, CREDIT_ANSWERED, 10, 0, fix.now);
	}
	a->trust = TRUST_ALIVE;
	for (uint64_t i = 0; i < 20; i++) {
		struct reg_target *tgt = choose(&fix, i, NULL, &usable);

		nr_a += tgt == a;
		credit_take(fix.acc, tgt, fix.now);
	}
	g_assert_cmpuint(nr_a, >=, 10);
	g_assert_cmpuint(nr_a, <=, 13);
	tear_down(&fix);
}

/* Instances with equal grants, which arrive at once, must not all begin with the same target. */
static void test_first_choices(void)
{
	static const struct entry entries[] = { { "a", 2, 0, 0, false },
						{ "b", 2, 0, 0, false },
						{ "c", 2, 0, 0, false },
						{ "d", 2, 0, 0, false } };
	unsigned int counts[4] = { 0 };

	for (uint64_t i = 0; i < 400; i++) {
		uint64_t digest = i * 0x9e3779b97f4a7c15u >> 7;
		struct fixture fix;
		bool usable;

		set_up(&fix);
		for (char id[] = "a"; *id <= 'd'; (*id)++)
			put_target(&fix, id, HOME, 0, false);
		grant(&fix, entries, 4);
		counts[choose(&fix, digest, NULL, &usable)->id->str[0] - 'a']++;
		tear_down(&fix);
	}
	for (size_t i = 0; i < 4; i++)
		g_assert_cmpuint(counts[i], <=, 125);
}

/*
 * Credits must be looked up for the service that placing uses: otherwise copies of an opening could
 * reach targets of two services.
 */
static void test_split_route(void)
{
	struct target_info info = { .id = "o", .service = OTHER, .data_centre = HOME, .slots = 2 };
	unsigned int nr_other = 0;
	struct fixture fix;

	set_up(&fix);
	put_target(&fix, "a", HOME, 0, false);
	registry_put(fix.reg, &info, fix.now);
	fix.rule.services[1] = (struct route_service){ .service = OTHER, .weight = 3 };
	fix.rule.nr_services = 2;
	fix.rule.weight_sum = 4;
	for (uint64_t i = 0; i < 1000; i++) {
		struct placing_request req = { .rule = &fix.rule,
					       .now = fix.now,
					       .flow_digest = i * 0x9e3779b97f4a7c15u };
		uint32_t service = placing_service(&fix.rule, req.flow_digest)->service;

		g_assert_cmpuint(placing_choose(&fix.placing, &req)->service, ==, service);
		nr_other += service == OTHER;
	}
	g_assert_cmpuint(nr_other, >=, 650);
	g_assert_cmpuint(nr_other, <=, 850);
	tear_down(&fix);
}

static void test_expiry(void)
{
	static const struct entry entries[] = { { "a", 1, 0, 0, false } };
	struct credit_status status;
	struct fixture fix;
	bool usable;

	set_up(&fix);
	put_target(&fix, "a", HOME, 0, false);
	g_assert_false(credit_active(fix.acc, WEB, fix.now));
	grant(&fix, entries, 1);
	g_assert_true(credit_active(fix.acc, WEB, fix.now));
	g_assert_false(credit_active(fix.acc, OTHER, fix.now));
	fix.now = ts_add_ms(fix.now, CREDIT_GRANT_LIFE_MS);
	g_assert_true(credit_active(fix.acc, WEB, fix.now));
	credit_status(fix.acc, WEB, fix.now, &status);
	g_assert_cmpint(status.age_ms, ==, CREDIT_GRANT_LIFE_MS);
	g_assert_cmpuint(status.held, ==, 1);
	fix.now = ts_add_ms(fix.now, 1);
	g_assert_false(credit_active(fix.acc, WEB, fix.now));
	g_assert_null(choose(&fix, 0, NULL, &usable));
	g_assert_false(usable);
	credit_status(fix.acc, WEB, fix.now, &status);
	g_assert_cmpint(status.age_ms, ==, -1);
	g_assert_cmpuint(status.held, ==, 0);
	grant(&fix, entries, 1);
	credit_drop_grants(fix.acc);
	g_assert_false(credit_active(fix.acc, WEB, fix.now));
	tear_down(&fix);
}

/* A target with more requests than the credits left gets nothing until it is below them. */
static void test_shrinking_grant(void)
{
	static const struct entry before[] = { { "a", 3, 0, 0, false } };
	static const struct entry after[] = { { "a", 1, 1, 0, false } };
	struct reg_target *a;
	struct fixture fix;
	bool usable;

	set_up(&fix);
	a = put_target(&fix, "a", HOME, 0, false);
	grant(&fix, before, 1);
	for (int i = 0; i < 3; i++)
		credit_take(fix.acc, a, fix.now);
	grant(&fix, after, 1);
	for (int i = 0; i < 2; i++) {
		g_assert_null(choose(&fix, 0, NULL, &usable));
		g_assert_true(usable);
		credit_return(fix.acc, a, CREDIT_ANSWERED, 10, 0, fix.now);
	}
	g_assert_true(choose(&fix, 0, NULL, &usable) == a);
	tear_down(&fix);
}

/* A grant replaces the one before: services and targets that it does not name have no credits. */
static void test_replacing_grant(void)
{
	static const struct entry one[] = { { "a", 1, 0, 0, false } };
	struct credit_grant none;
	struct fixture fix;

	set_up(&fix);
	put_target(&fix, "a", HOME, 0, false);
	grant(&fix, one, 1);
	credit_grant_init(&none);
	credit_grant_add(&none, OTHER);
	credit_apply_grant(fix.acc, &none, fix.now);
	credit_grant_release(&none);
	g_assert_false(credit_active(fix.acc, WEB, fix.now));
	g_assert_true(credit_active(fix.acc, OTHER, fix.now));
	tear_down(&fix);
}

static struct credit_report collect(struct fixture *fix)
{
	struct credit_report rep;

	credit_report_init(&rep);
	credit_collect(fix->acc, &rep, fix->now);
	return rep;
}

/* Observations are reported once; the busy time is counted also while a request is in progress. */
static void test_collect(void)
{
	const struct credit_observation *obs;
	const struct credit_demand *demand;
	struct credit_report rep;
	struct reg_target *a;
	struct fixture fix;

	set_up(&fix);
	a = put_target(&fix, "a", HOME, 0, false);
	credit_note_opening(fix.acc, WEB, 1);
	credit_note_opening(fix.acc, WEB, 9);
	credit_note_reuse(fix.acc, WEB);
	credit_set_waiting(fix.acc, WEB, 3);
	credit_take(fix.acc, a, fix.now);
	credit_take(fix.acc, a, fix.now);
	credit_note_overdue(fix.acc, a);
	fix.now = ts_add_ms(fix.now, 100);
	credit_return(fix.acc, a, CREDIT_ANSWERED, 100, 0, fix.now);
	fix.now = ts_add_ms(fix.now, 50);
	rep = collect(&fix);
	g_assert_cmpuint(rep.demands->len, ==, 1);
	demand = &g_array_index(rep.demands, struct credit_demand, 0);
	g_assert_cmpuint(demand->service, ==, WEB);
	g_assert_cmpuint(demand->openings[1], ==, 1);
	g_assert_cmpuint(demand->openings[3], ==, 1);
	g_assert_cmpuint(demand->reused, ==, 1);
	g_assert_cmpuint(demand->waiting, ==, 3);
	g_assert_cmpuint(rep.observations->len, ==, 1);
	obs = &g_array_index(rep.observations, struct credit_observation, 0);
	g_assert_cmpuint(obs->target, ==, a->digest);
	g_assert_cmpuint(obs->completed, ==, 1);
	g_assert_cmpuint(obs->overdue, ==, 1);
	g_assert_cmpuint(obs->busy_ms, ==, 2 * 100 + 50);
	credit_report_release(&rep);

	credit_set_waiting(fix.acc, WEB, 0);
	fix.now = ts_add_ms(fix.now, 20);
	credit_return(fix.acc, a, CREDIT_FAILED, 170, 0, fix.now);
	fix.now = ts_add_ms(fix.now, 30);
	rep = collect(&fix);
	g_assert_cmpuint(rep.interval_ms, ==, 50);
	g_assert_cmpuint(rep.demands->len, ==, 0);
	g_assert_cmpuint(rep.observations->len, ==, 1);
	obs = &g_array_index(rep.observations, struct credit_observation, 0);
	g_assert_cmpuint(obs->completed, ==, 0);
	g_assert_cmpuint(obs->overdue, ==, 0);
	g_assert_cmpuint(obs->failed, ==, 1);
	g_assert_cmpuint(obs->busy_ms, ==, 20);
	credit_report_release(&rep);

	rep = collect(&fix);
	g_assert_cmpuint(rep.demands->len, ==, 0);
	g_assert_cmpuint(rep.observations->len, ==, 0);
	credit_report_release(&rep);
	tear_down(&fix);
}

/* A death is reported urgently, and again while it lasts: reports are believed for a second. */
static void test_death(void)
{
	struct credit_report rep;
	struct reg_target *a;
	struct fixture fix;

	set_up(&fix);
	a = put_target(&fix, "a", HOME, 0, false);
	g_assert_false(credit_report_urgent(fix.acc));
	a->trust = TRUST_DEAD;
	credit_note_dead(fix.acc, a);
	g_assert_true(credit_report_urgent(fix.acc));
	for (int i = 0; i < 2; i++) {
		rep = collect(&fix);
		g_assert_false(credit_report_urgent(fix.acc));
		g_assert_cmpuint(rep.observations->len, ==, 1);
		g_assert_true(g_array_index(rep.observations, struct credit_observation, 0).dead);
		credit_report_release(&rep);
	}
	a->trust = TRUST_ALIVE;
	rep = collect(&fix);
	g_assert_cmpuint(rep.observations->len, ==, 0);
	credit_report_release(&rep);
	tear_down(&fix);
}

/* A target may be freed between its last observation and the report. */
static void test_freed_target(void)
{
	static const struct entry entries[] = { { "a", 1, 0, 0, false } };
	struct credit_report rep;
	struct reg_target *a;
	struct fixture fix;

	set_up(&fix);
	a = put_target(&fix, "a", HOME, 0, false);
	grant(&fix, entries, 1);
	credit_take(fix.acc, a, fix.now);
	credit_return(fix.acc, a, CREDIT_REJECTED, 5, 0, fix.now);
	registry_remove(fix.reg, "a", STORE_VERSION_NONE, fix.now);
	fix.now = ts_add_ms(fix.now, 60000);
	registry_sweep(fix.reg, fix.now, 60000);
	g_assert_cmpuint(registry_count(fix.reg), ==, 0);
	rep = collect(&fix);
	g_assert_cmpuint(rep.observations->len, ==, 0);
	credit_report_release(&rep);
	grant(&fix, entries, 1);
	tear_down(&fix);
}

static void test_rates(void)
{
	static const struct entry entries[] = { { "a", 2, 0, 0, false } };
	struct credit_status status;
	struct reg_target *a;
	struct fixture fix;

	set_up(&fix);
	a = put_target(&fix, "a", HOME, 0, false);
	grant(&fix, entries, 1);
	g_assert_cmpint(credit_overdue_ms(fix.acc, WEB), ==, 200);
	for (int i = 0; i < 10; i++) {
		credit_take(fix.acc, a, fix.now);
		credit_return(fix.acc, a, CREDIT_ANSWERED, 50, 0, fix.now);
		fix.now = ts_add_ms(fix.now, 100);
	}
	g_assert_cmpint(credit_overdue_ms(fix.acc, WEB), ==, 400);
	credit_status(fix.acc, WEB, fix.now, &status);
	g_assert_cmpuint(status.returned_per_s, >=, 9);
	g_assert_cmpuint(status.returned_per_s, <=, 10);
	/* A credit that is moved is not free for a waiting opening. */
	credit_take(fix.acc, a, fix.now);
	credit_return(fix.acc, a, CREDIT_MOVED, 0, 0, fix.now);
	fix.now = ts_add_ms(fix.now, 2000);
	credit_status(fix.acc, WEB, fix.now, &status);
	g_assert_cmpuint(status.returned_per_s, ==, 1);
	/* After a calm second, the rate follows from the response time: 2 credits of 50 ms. */
	grant(&fix, entries, 1);
	credit_take(fix.acc, a, fix.now);
	credit_take(fix.acc, a, fix.now);
	credit_status(fix.acc, WEB, fix.now, &status);
	g_assert_cmpuint(status.returned_per_s, >=, 38);
	g_assert_cmpuint(status.returned_per_s, <=, 40);
	tear_down(&fix);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
		char *path = g_strconcat("/credit/choice/", choice_cases[i].name, NULL);

		g_test_add_data_func(path, &choice_cases[i], test_choice);
		g_free(path);
	}
	g_test_add_func("/credit/choice/round-robin-by-speed", test_round_robin);
	g_test_add_func("/credit/choice/a-target-that-returns", test_return_of_target);
	g_test_add_func("/credit/choice/first-choices-differ", test_first_choices);
	g_test_add_func("/credit/choice/service-of-a-split-route", test_split_route);
	g_test_add_func("/credit/grant/expiry", test_expiry);
	g_test_add_func("/credit/grant/shrinks", test_shrinking_grant);
	g_test_add_func("/credit/grant/replaces", test_replacing_grant);
	g_test_add_func("/credit/report/once", test_collect);
	g_test_add_func("/credit/report/death", test_death);
	g_test_add_func("/credit/report/freed-target", test_freed_target);
	g_test_add_func("/credit/report/rates", test_rates);
	return g_test_run();
}
