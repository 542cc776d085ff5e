/*
 * Guards against speeds that a few reports or nonsense can move, against targets that fail requests
 * but keep their load, against leaving out so many that the rest is overloaded, and against memory
 * that grows.
 */
#include <glib.h>
#include <math.h>

#include "credit/monitor.h"
#include "timeutil.h"

#define SERVICE	    3
#define INTERVAL_MS 250
#define MAX_TARGETS 24
#define REPORTER    1

struct fixture {
	struct monitor *mon;
	struct alloc_target targets[MAX_TARGETS];
	size_t nr;
	int64_t now_ms;
};

static void fixture_init(struct fixture *fx, size_t nr)
{
	*fx = (struct fixture){ .mon = monitor_new(), .nr = nr, .now_ms = 1000000 };
	for (size_t t = 0; t < nr; t++)
		fx->targets[t] = (struct alloc_target){ .key = t + 1, .slots = 2 };
}

static void fixture_release(struct fixture *fx)
{
	monitor_free(fx->mon);
}

static void add(struct fixture *fx, uint32_t reporter, struct credit_observation obs)
{
	monitor_add(fx->mon, reporter, SERVICE, &obs, ts_from_ms(fx->now_ms));
}

static void tick(struct fixture *fx)
{
	fx->now_ms += INTERVAL_MS;
	monitor_tick(fx->mon, SERVICE, fx->targets, fx->nr, INTERVAL_MS, ts_from_ms(fx->now_ms));
}

static struct target_condition get(const struct fixture *fx, uint64_t target)
{
	struct target_condition cond;

	monitor_get(fx->mon, target, ts_from_ms(fx->now_ms), &cond);
	return cond;
}

/* Ten requests an interval at each target but @except, which take @work_ms. */
static void add_steady(struct fixture *fx, uint64_t except, uint32_t work_ms)
{
	for (size_t t = 0; t < fx->nr; t++)
		if (t + 1 != except)
			add(fx, REPORTER,
			    (struct credit_observation){
				    .target = t + 1, .completed = 10, .busy_ms = 10 * work_ms });
}

static void assert_near(uint32_t value, uint32_t expected, uint32_t percent)
{
	g_assert_cmpuint(value, >=, expected - expected * percent / 100);
	g_assert_cmpuint(value, <=, expected + expected * percent / 100);
}

/* A report of the speeds of two kinds of targets; what waits in a queue is no work. */
static void test_speed(void)
{
	const struct {
		uint32_t completed[2]; /* an interval, at even and odd targets */
		uint32_t busy_ms[2];
		uint32_t speed_permille[2];
		uint32_t service_time_us;
	} cases[] = {
		{ { 10, 10 }, { 200, 200 }, { 1000, 1000 }, 20000 },
		{ { 5, 15 }, { 300, 300 }, { 500, 1500 }, 30000 },
		/* Both slots are busy all the time, and more requests wait. */
		{ { 10, 20 }, { 500, 500 }, { 667, 1333 }, 33333 },
		{ { 10, 20 }, { 3000, 1500 }, { 667, 1333 }, 33333 },
		/* Little load shows speed as well. */
		{ { 1, 1 }, { 40, 20 }, { 667, 1333 }, 26667 },
		/* Beyond the clamps: in the mean, the slow ones count with a quarter of the median.
		 */
		{ { 1, 30 }, { 400, 400 }, { 250, 1600 }, 21333 },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct fixture fx;

		fixture_init(&fx, 8);
		for (int i = 0; i < 160; i++) {
			for (size_t t = 0; t < fx.nr; t++)
				add(&fx, REPORTER,
				    (struct credit_observation){
					    .target = t + 1,
					    .completed = cases[c].completed[t % 2],
					    .busy_ms = cases[c].busy_ms[t % 2] });
			tick(&fx);
		}
		for (size_t t = 0; t < fx.nr; t++)
			assert_near(get(&fx, t + 1).speed_permille, cases[c].speed_permille[t % 2],
				    5);
		assert_near(monitor_service_time_us(fx.mon, SERVICE), cases[c].service_time_us, 10);
		g_assert_cmpuint(monitor_service_time_us(fx.mon, SERVICE + 1), ==, 0);
		fixture_release(&fx);
	}
}

/* A target that becomes half as fast is known as such after some 5 s, not at once. */
static void test_speed_changes(void)
{
	struct fixture fx;

	fixture_init(&fx, 20);
	for (int i = 0; i < 80; i++) {
		add_steady(&fx, 0, 20);
		tick(&fx);
	}
	assert_near(get(&fx, 1).speed_permille, 1000, 2);
	for (int i = 0; i < 80; i++) {
		add_steady(&fx, 1, 20);
		add(&fx, REPORTER,
		    (struct credit_observation){ .target = 1, .completed = 10, .busy_ms = 400 });
		tick(&fx);
		if (i == 1)
			g_assert_cmpuint(get(&fx, 1).speed_permille, >, 850);
		if (i == 20)
			g_assert_cmpuint(get(&fx, 1).speed_permille, <, 700);
	}
	assert_near(get(&fx, 1).speed_permille, 510, 8);
	/* Without requests, it is what it was, or tends to the mean; it is never beyond. */
	for (int i = 0; i < 200; i++) {
		add_steady(&fx, 1, 20);
		tick(&fx);
	}
	g_assert_cmpuint(get(&fx, 1).speed_permille, >=, 500);
	g_assert_cmpuint(get(&fx, 1).speed_permille, <=, 1050);
	fixture_release(&fx);
}

/* One reporter's nonsense moves one speed within its clamp, and passes. */
static void test_nonsense(void)
{
	const struct credit_observation cases[] = {
		{ .completed = 1000 },
		{ .completed = UINT32_MAX },
		{ .completed = UINT32_MAX, .busy_ms = 1 },
		{ .completed = 1, .busy_ms = UINT32_MAX },
		{ .completed = 1, .busy_ms = 60000 },
		{ .busy_ms = UINT32_MAX },
		{ .completed = UINT32_MAX, .busy_ms = UINT32_MAX },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct credit_observation obs = cases[c];
		struct fixture fx;

		fixture_init(&fx, 20);
		obs.target = 1;
		for (int i = 0; i < 240; i++) {
			add_steady(&fx, 0, 20);
			if (i >= 40 && i < 80)
				add(&fx, 66, obs);
			tick(&fx);
			g_assert_cmpuint(get(&fx, 1).speed_permille, >=, 250);
			g_assert_cmpuint(get(&fx, 1).speed_permille, <=, 2000);
			/* A twentieth of the targets, at most four times as fast as the median. */
			for (size_t t = 1; t < fx.nr; t++)
				assert_near(get(&fx, t + 1).speed_permille, 1000, 15);
			assert_near(monitor_service_time_us(fx.mon, SERVICE), 20000, 15);
		}
		assert_near(get(&fx, 1).speed_permille, 1000, 10);
		g_assert_cmpuint(monitor_left_out(fx.mon), ==, 0);
		fixture_release(&fx);
	}
}

/* The capacity of target 1 after some intervals in which it alone fails. */
static void test_ejection(void)
{
	const struct {
		struct credit_observation obs;
		int intervals;
		uint32_t capacity_permille;
	} cases[] = {
		/* Isolated failures, and few among many. */
		{ { .completed = 10, .failed = 1 }, 1, 1000 },
		{ { .failed = 1 }, 1, 1000 },
		{ { .completed = 10, .failed = 2 }, 20, 1000 },
		/* Halved each interval, down to a trial. */
		{ { .failed = 2 }, 1, 500 },
		{ { .failed = 3 }, 1, 500 },
		{ { .failed = 3 }, 2, 250 },
		{ { .failed = 3 }, 3, 125 },
		{ { .failed = 3 }, 4, 62 },
		{ { .failed = 3 }, 40, 62 },
		/* Half of the requests hang, though the others are answered. */
		{ { .completed = 3, .overdue = 3 }, 4, 62 },
		{ { .completed = 2, .overdue = 1, .failed = 1 }, 6, 62 },
		{ { .completed = 4, .rejected = 4 }, 1, 500 },
		/* The second failure within a second is not isolated. */
		{ { .completed = 1, .failed = 1 }, 1, 1000 },
		{ { .completed = 1, .failed = 1 }, 2, 500 },
		{ { .completed = 1, .failed = 1 }, 3, 250 },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct credit_observation obs = cases[c].obs;
		struct fixture fx;

		fixture_init(&fx, 14);
		obs.target = 1;
		obs.busy_ms = obs.completed * 20;
		for (int i = 0; i < cases[c].intervals; i++) {
			add_steady(&fx, 1, 20);
			add(&fx, REPORTER, obs);
			tick(&fx);
		}
		g_assert_cmpuint(get(&fx, 1).capacity_permille, ==, cases[c].capacity_permille);
		g_assert_cmpuint(get(&fx, 2).capacity_permille, ==, 1000);
		g_assert_cmpuint(monitor_left_out(fx.mon), ==, cases[c].capacity_permille < 1000);
		fixture_release(&fx);
	}
}

/* A target that is left out comes back by its successes, and goes again with a new failure. */
static void test_recovery(void)
{
	const uint32_t levels[] = { 93, 139, 208, 312, 468, 702, 1000, 1000 };
	const struct credit_observation good = { .target = 1, .completed = 2, .busy_ms = 40 };
	const struct credit_observation bad = { .target = 1, .failed = 3 };
	struct fixture fx;

	fixture_init(&fx, 14);
	for (int i = 0; i < 4; i++) {
		add_steady(&fx, 1, 20);
		add(&fx, REPORTER, bad);
		tick(&fx);
	}
	/* Without requests, it stays where it is. */
	for (int i = 0; i < 20; i++) {
		add_steady(&fx, 1, 20);
		tick(&fx);
	}
	g_assert_cmpuint(get(&fx, 1).capacity_permille, ==, 62);
	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
		add_steady(&fx, 1, 20);
		add(&fx, REPORTER, good);
		tick(&fx);
		g_assert_cmpuint(get(&fx, 1).capacity_permille, ==, levels[i]);
	}
	for (int i = 0; i < 2; i++) {
		add_steady(&fx, 1, 20);
		add(&fx, REPORTER, bad);
		tick(&fx);
	}
	g_assert_cmpuint(get(&fx, 1).capacity_permille, ==, 250);
	/* On its way back, a single new failure counts. */
	add_steady(&fx, 1, 20);
	add(&fx, REPORTER, good);
	tick(&fx);
	g_assert_cmpuint(get(&fx, 1).capacity_permille, ==, 375);
	add_steady(&fx, 1, 20);
	add(&fx, REPORTER, (struct credit_observation){ .target = 1, .failed = 1 });
	tick(&fx);
	g_assert_cmpuint(get(&fx, 1).capacity_permille, ==, 187);
	fixture_release(&fx);
}

/* At most 8 of 24 slots are left out, those of the worst targets. */
static void test_third(void)
{
	struct fixture fx;
	double left_out = 0;

	fixture_init(&fx, 12);
	for (int i = 0; i < 20; i++) {
		for (uint32_t t = 0; t < 12; t++)
			add(&fx, REPORTER,
			    t < 6 ? (struct credit_observation){ .target = t + 1,
								 .completed = 6 - t,
								 .busy_ms = 20 * (6 - t),
								 .failed = 4 + t }
				  : (struct credit_observation){
					    .target = t + 1, .completed = 200, .busy_ms = 400 });
		tick(&fx);
	}
	for (uint32_t t = 0; t < 12; t++)
		left_out += 2 * (1000 - get(&fx, t + 1).capacity_permille) / 1000.0;
	g_assert_cmpfloat(left_out, <=, 8);
	g_assert_cmpfloat(left_out, >=, 7.5);
	for (uint32_t t = 2; t < 6; t++)
		g_assert_cmpuint(get(&fx, t + 1).capacity_permille, ==, 62);
	g_assert_cmpuint(get(&fx, 1).capacity_permille, ==, 1000);
	for (uint32_t t = 6; t < 12; t++)
		g_assert_cmpuint(get(&fx, t + 1).capacity_permille, ==, 1000);
	fixture_release(&fx);
}

/* What all targets do alike is no fault of one; slowness ("ill") without failures is none either.
 */
static void test_no_outlier(void)
{
	const struct credit_observation cases[] = {
		{ .completed = 5, .failed = 5, .busy_ms = 100 },
		{ .failed = 5 },
		{ .rejected = 50, .completed = 10, .busy_ms = 200 },
	};
	struct fixture fx;

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		fixture_init(&fx, 12);
		for (int i = 0; i < 20; i++) {
			for (uint32_t t = 0; t < 12; t++) {
				struct credit_observation obs = cases[c];

				obs.target = t + 1;
				add(&fx, REPORTER, obs);
			}
			tick(&fx);
		}
		g_assert_cmpuint(monitor_left_out(fx.mon), ==, 0);
		fixture_release(&fx);
	}
	fixture_init(&fx, 12);
	for (int i = 0; i < 40; i++) {
		add_steady(&fx, 1, 20);
		add(&fx, REPORTER,
		    (struct credit_observation){ .target = 1, .completed = 1, .busy_ms = 400 });
		tick(&fx);
	}
	g_assert_cmpuint(get(&fx, 1).capacity_permille, ==, 1000);
	g_assert_false(get(&fx, 1).dead);
	fixture_release(&fx);
}

/* Reports about one target, and whether it is dead at the end. */
static void test_death(void)
{
	enum { DEAD = 1, ANSWER, NOTHING };
	const struct {
		struct {
			int64_t ms;
			uint32_t reporter;
			int what;
		} reports[6];
		int64_t at_ms;
		bool dead;
	} cases[] = {
		{ { { 0, 1, DEAD } }, 0, true },
		{ { { 0, 1, DEAD } }, 999, true },
		{ { { 0, 1, DEAD } }, 1000, false },
		{ { { 0, 1, DEAD }, { 900, 2, DEAD } }, 1899, true },
		{ { { 0, 1, ANSWER }, { 10, 2, DEAD } }, 20, true },
		{ { { 0, 1, DEAD }, { 10, 2, NOTHING } }, 20, true },
		/* It answers its reporter again. */
		{ { { 0, 1, DEAD }, { 50, 1, ANSWER } }, 60, false },
		/* The answers of others may be older than the death, for an interval. */
		{ { { 0, 1, DEAD }, { 100, 2, ANSWER } }, 110, true },
		{ { { 0, 1, DEAD }, { 250, 2, ANSWER } }, 260, false },
		{ { { 0, 1, DEAD }, { 240, 1, DEAD }, { 260, 2, ANSWER } }, 270, false },
		/* An instance that was refuted cannot keep a target from the others. */
		{ { { 0, 1, DEAD }, { 250, 2, ANSWER }, { 300, 1, DEAD } }, 310, false },
		{ { { 0, 1, DEAD }, { 250, 2, ANSWER }, { 300, 3, DEAD } }, 310, true },
		{ { { 0, 1, DEAD }, { 250, 2, ANSWER }, { 10300, 1, DEAD } }, 10310, true },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct fixture fx;
		int64_t start;

		fixture_init(&fx, 2);
		start = fx.now_ms;
		for (size_t i = 0; i < G_N_ELEMENTS(cases[c].reports); i++) {
			fx.now_ms = start + cases[c].reports[i].ms;
			if (cases[c].reports[i].what)
				add(&fx, cases[c].reports[i].reporter,
				    (struct credit_observation){
					    .target = 1,
					    .completed = cases[c].reports[i].what == ANSWER,
					    .busy_ms = 20,
					    .dead = cases[c].reports[i].what == DEAD });
		}
		fx.now_ms = start + cases[c].at_ms;
		g_assert_cmpint(get(&fx, 1).dead, ==, cases[c].dead);
		g_assert_false(get(&fx, 2).dead);
		fixture_release(&fx);
	}
}

static void test_unknown(void)
{
	struct target_condition cond;
	struct fixture fx;

	fixture_init(&fx, 2);
	tick(&fx);
	g_assert_false(monitor_get(fx.mon, 1, ts_from_ms(fx.now_ms), &cond));
	g_assert_cmpuint(cond.speed_permille, ==, 1000);
	g_assert_cmpuint(cond.capacity_permille, ==, 1000);
	g_assert_cmpint(cond.answered_ms, ==, -1);
	g_assert_false(cond.dead);
	add(&fx, REPORTER, (struct credit_observation){ .target = 1, .failed = 1 });
	g_assert_true(monitor_get(fx.mon, 1, ts_from_ms(fx.now_ms), &cond));
	g_assert_cmpint(cond.answered_ms, ==, -1);
	add(&fx, REPORTER,
	    (struct credit_observation){ .target = 1, .completed = 1, .busy_ms = 20 });
	tick(&fx);
	g_assert_true(monitor_get(fx.mon, 1, ts_from_ms(fx.now_ms), &cond));
	g_assert_cmpint(cond.answered_ms, ==, INTERVAL_MS);
	fixture_release(&fx);
}

/* Targets that are neither listed nor reported are forgotten after a minute. */
static void test_forget(void)
{
	struct target_condition cond;
	struct fixture fx;

	fixture_init(&fx, 1);
	add(&fx, REPORTER, (struct credit_observation){ .target = 1, .failed = 1 });
	add(&fx, REPORTER, (struct credit_observation){ .target = 99, .failed = 1 });
	for (int i = 0; i < 239; i++)
		tick(&fx);
	g_assert_true(monitor_get(fx.mon, 99, ts_from_ms(fx.now_ms), &cond));
	tick(&fx);
	g_assert_false(monitor_get(fx.mon, 99, ts_from_ms(fx.now_ms), &cond));
	/* The one that is listed stays. */
	g_assert_true(monitor_get(fx.mon, 1, ts_from_ms(fx.now_ms), &cond));
	/* Reports of any number of targets take bounded memory, which is free again later. */
	for (uint64_t t = 0; t < 100000; t++)
		add(&fx, REPORTER, (struct credit_observation){ .target = 1000 + t, .failed = 1 });
	g_assert_true(monitor_get(fx.mon, 1000, ts_from_ms(fx.now_ms), &cond));
	g_assert_false(monitor_get(fx.mon, 100999, ts_from_ms(fx.now_ms), &cond));
	for (int i = 0; i < 300; i++)
		tick(&fx);
	add(&fx, REPORTER, (struct credit_observation){ .target = 100999, .failed = 1 });
	g_assert_true(monitor_get(fx.mon, 100999, ts_from_ms(fx.now_ms), &cond));
	fixture_release(&fx);
}

/*
 * A service with few openings is reported without intervals, until it takes part. What was counted
 * before must not pass for one interval: requests of 20 ms seemed to take 0.4 ms, so that a
 * shortage was not noticed, and old failures left targets out.
 */
static void test_late_start(void)
{
	struct fixture fx;

	fixture_init(&fx, 8);
	for (int i = 0; i < 120; i++) {
		add_steady(&fx, 0, 20);
		add(&fx, REPORTER, (struct credit_observation){ .target = 1, .failed = i < 40 });
		fx.now_ms += INTERVAL_MS;
	}
	for (int i = 0; i < 8; i++) {
		add_steady(&fx, 0, 20);
		tick(&fx);
		if (monitor_service_time_us(fx.mon, SERVICE))
			assert_near(monitor_service_time_us(fx.mon, SERVICE), 20000, 10);
		g_assert_cmpuint(get(&fx, 1).capacity_permille, ==, 1000);
	}
	assert_near(monitor_service_time_us(fx.mon, SERVICE), 20000, 10);
	fixture_release(&fx);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/monitor/speed", test_speed);
	g_test_add_func("/monitor/speed-changes", test_speed_changes);
	g_test_add_func("/monitor/late-start", test_late_start);
	g_test_add_func("/monitor/nonsense", test_nonsense);
	g_test_add_func("/monitor/ejection", test_ejection);
	g_test_add_func("/monitor/recovery", test_recovery);
	g_test_add_func("/monitor/third", test_third);
	g_test_add_func("/monitor/no-outlier", test_no_outlier);
	g_test_add_func("/monitor/death", test_death);
	g_test_add_func("/monitor/unknown", test_unknown);
	g_test_add_func("/monitor/forget", test_forget);
	return g_test_run();
}
