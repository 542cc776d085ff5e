/* Tests the backlog of openings that wait for a credit. */
#include <glib.h>

#include "credit/backlog.h"
#include "timeutil.h"

#define START_S 1000
#define WEB	1 /* symbols */
#define OTHER	2

static struct backlog_item *new_item(uint32_t service, uint32_t priority, uint32_t caller)
{
	struct backlog_item *item = g_new0(struct backlog_item, 1);

	*item = (struct backlog_item){
		.service = service,
		.priority = priority,
		.caller = caller,
		.size = 100,
		.since = { .tv_sec = START_S },
		.limit_ms = 150,
	};
	item->link.data = item;
	return item;
}

static void drain(struct backlog *bl)
{
	struct backlog_item *item;

	while ((item = backlog_first(bl))) {
		backlog_remove(bl, item);
		g_free(item);
	}
	g_assert_cmpuint(backlog_count(bl), ==, 0);
	backlog_free(bl);
}

/* The oldest of the highest priority first, one in 16 of the next lower, one in 256 two lower. */
static void test_backlog_order(void)
{
	unsigned int placed[CREDIT_PRIORITIES] = { 0 };
	struct backlog *bl = backlog_new();
	uint32_t next_caller[CREDIT_PRIORITIES] = { 0 };

	for (uint32_t i = 0; i < 300; i++) {
		g_assert_true(backlog_add(bl, new_item(WEB, 1, i)));
		g_assert_true(backlog_add(bl, new_item(WEB, 2, i)));
		g_assert_true(backlog_add(bl, new_item(WEB, 3, i)));
	}
	g_assert_true(backlog_add(bl, new_item(OTHER, 0, 0)));
	for (unsigned int i = 0; i < 256; i++) {
		struct backlog_item *item = backlog_next(bl, WEB);

		g_assert_true(item == backlog_next(bl, WEB));
		g_assert_cmpuint(item->caller, ==, next_caller[item->priority]++);
		placed[item->priority]++;
		backlog_placed(bl, item);
		g_free(item);
		if (i == 14)
			g_assert_cmpuint(placed[2], ==, 0);
		if (i == 15)
			g_assert_cmpuint(placed[2], ==, 1);
	}
	g_assert_cmpuint(placed[1], ==, 240);
	g_assert_cmpuint(placed[2], ==, 15);
	g_assert_cmpuint(placed[3], ==, 1);
	g_assert_cmpuint(backlog_waiting(bl, WEB, 1), ==, 60);
	g_assert_cmpuint(backlog_waiting(bl, OTHER, 0), ==, 1);
	drain(bl);
}

/* Placements while only one priority waits must not save up a turn for a lower one. */
static void test_backlog_turns(void)
{
	struct backlog *bl = backlog_new();
	struct backlog_item *item;

	for (uint32_t i = 0; i < 30; i++)
		backlog_add(bl, new_item(WEB, 0, i));
	for (int i = 0; i < 15; i++) {
		item = backlog_next(bl, WEB);
		backlog_placed(bl, item);
		g_free(item);
	}
	backlog_add(bl, new_item(WEB, 2, 0));
	for (int i = 0; i < 15; i++) {
		item = backlog_next(bl, WEB);
		g_assert_cmpuint(item->priority, ==, 0);
		backlog_placed(bl, item);
		g_free(item);
	}
	drain(bl);
}

static void test_backlog_callers(void)
{
	struct backlog *bl = backlog_new();
	struct backlog_item *item;

	for (int i = 0; i < 8; i++)
		g_assert_true(backlog_add(bl, new_item(WEB, 1, 7)));
	item = new_item(WEB, 1, 7);
	g_assert_false(backlog_add(bl, item));
	g_assert_false(backlog_is_full(bl, item->size));
	g_assert_true(backlog_has_share(bl, item));
	/* Its openings of another priority have a share of their own. */
	item->priority = 2;
	g_assert_false(backlog_has_share(bl, item));
	g_assert_true(backlog_add(bl, item));
	/* Others are not kept out, and its share grows with the queue. */
	for (uint32_t i = 0; i < 23; i++)
		g_assert_true(backlog_add(bl, new_item(WEB, 1, 100 + i)));
	item = new_item(WEB, 1, 7);
	g_assert_false(backlog_add(bl, item));
	g_assert_true(backlog_add(bl, new_item(WEB, 1, 99)));
	g_assert_true(backlog_add(bl, item));
	item = new_item(WEB, 1, 7);
	g_assert_false(backlog_add(bl, item));
	g_free(item);
	drain(bl);
}

/* Four callers that open flows in turn must not stop one another while the backlog has room. */
static void test_backlog_equal_callers(void)
{
	struct backlog *bl = backlog_new();

	for (uint32_t i = 0; i < 400; i++)
		g_assert_true(backlog_add(bl, new_item(WEB, 1, i % 4)));
	drain(bl);
}

static const struct bound_case {
	const char *name;
	size_t size;
	uint32_t fits;
} bound_cases[] = {
	{ "number", 100, 1400 },
	{ "bytes", 10240, 102 },
};

static void test_backlog_bounds(gconstpointer data)
{
	const struct bound_case *c = data;
	struct backlog *bl = backlog_new();
	struct backlog_item *item;

	for (uint32_t i = 0; i < c->fits; i++) {
		item = new_item(WEB, i % 2 ? 1 : 2, i);
		item->size = c->size;
		item->since = ts_from_ms(1000 + i);
		g_assert_true(backlog_add(bl, item));
	}
	item = new_item(WEB, 1, 9999);
	item->size = c->size;
	g_assert_true(backlog_is_full(bl, item->size));
	g_assert_false(backlog_add(bl, item));
	g_assert_false(item->queued);
	g_free(item);
	/* The latest one of the lowest priority makes room; nothing does for the lowest. */
	g_assert_null(backlog_latest_below(bl, 2));
	item = backlog_latest_below(bl, 1);
	g_assert_cmpuint(item->priority, ==, 2);
	g_assert_cmpuint(item->caller, ==, (c->fits - 1) / 2 * 2);
	backlog_remove(bl, item);
	g_free(item);
	item = new_item(WEB, 1, 9999);
	item->size = c->size;
	g_assert_true(backlog_add(bl, item));
	drain(bl);
}

static void test_backlog_expiry(void)
{
	struct timespec now = { .tv_sec = START_S };
	struct backlog *bl = backlog_new();
	struct backlog_item *later = new_item(WEB, 1, 2);
	struct backlog_item *item;

	backlog_add(bl, new_item(WEB, 1, 1));
	/* Routes of the same service may have different goals. */
	later->limit_ms = 50;
	backlog_add(bl, later);
	g_assert_null(backlog_expired(bl, ts_add_ms(now, 49)));
	g_assert_true(backlog_expired(bl, ts_add_ms(now, 50)) == later);
	backlog_remove(bl, later);
	g_free(later);
	g_assert_null(backlog_expired(bl, ts_add_ms(now, 149)));
	item = backlog_expired(bl, ts_add_ms(now, 150));
	g_assert_cmpuint(item->caller, ==, 1);
	drain(bl);
}

static const struct limit_case {
	struct admission_class cls;
	int64_t limit_ms;
} limit_cases[] = {
	{ { .goal_ms = 300, .priority = 1, .timeout_ms = 1500 }, 150 },
	{ { .goal_ms = 300, .priority = 0, .timeout_ms = 1500 }, 150 },
	{ { .goal_ms = 300, .priority = 2, .timeout_ms = 1500 }, 75 },
	{ { .goal_ms = 600, .priority = 9, .timeout_ms = 4000 }, 150 },
	{ { .goal_ms = 600, .priority = 1, .timeout_ms = 400 }, 200 },
	{ { .goal_ms = 600, .priority = 1, .timeout_ms = 0 }, 300 },
	{ { .goal_ms = 9000, .priority = 1, .timeout_ms = 20000 }, 1300 },
	{ { .goal_ms = 0, .priority = 1, .timeout_ms = 4000 }, 0 },
};

static void test_backlog_limits(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(limit_cases); i++)
		g_assert_cmpint(backlog_limit_ms(&limit_cases[i].cls), ==, limit_cases[i].limit_ms);
}

static void test_backlog_prediction(void)
{
	struct backlog *bl = backlog_new();

	g_assert_cmpint(backlog_predict_ms(bl, WEB, 1, 10), ==, 100);
	g_assert_cmpint(backlog_predict_ms(bl, WEB, 1, 0), ==, INT64_MAX);
	for (uint32_t i = 0; i < 3; i++) {
		backlog_add(bl, new_item(WEB, 1, i));
		backlog_add(bl, new_item(WEB, 2, i));
		backlog_add(bl, new_item(OTHER, 1, i));
	}
	g_assert_cmpint(backlog_predict_ms(bl, WEB, 0, 10), ==, 100);
	g_assert_cmpint(backlog_predict_ms(bl, WEB, 1, 10), ==, 400);
	g_assert_cmpint(backlog_predict_ms(bl, WEB, 2, 10), ==, 700);
	drain(bl);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(bound_cases); i++) {
		char *path = g_strconcat("/backlog/bound/", bound_cases[i].name, NULL);

		g_test_add_data_func(path, &bound_cases[i], test_backlog_bounds);
		g_free(path);
	}
	g_test_add_func("/backlog/order", test_backlog_order);
	g_test_add_func("/backlog/turns", test_backlog_turns);
	g_test_add_func("/backlog/callers", test_backlog_callers);
	g_test_add_func("/backlog/equal-callers", test_backlog_equal_callers);
	g_test_add_func("/backlog/expiry", test_backlog_expiry);
	g_test_add_func("/backlog/limits", test_backlog_limits);
	g_test_add_func("/backlog/prediction", test_backlog_prediction);
	return g_test_run();
}
