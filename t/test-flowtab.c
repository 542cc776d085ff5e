/*
 * Guards against a flow cache that loses or confuses entries, that evicts entries of one
 * organisation for those of another, or that evicts a copy of a pin.
 */
#include <glib.h>

#include "flowtab.h"

#define START_MS 5000

static struct counters counters;

static struct ctx ctx_at(int64_t ms)
{
	return (struct ctx){ .now = ts_from_ms(START_MS + ms), .counters = &counters };
}

static uint64_t hash_of(uint64_t i)
{
	return (i + 1) * 0x9e3779b97f4a7c15ULL;
}

static void put(struct flowtab *tab, int64_t ms, uint64_t hash, uint16_t org, uint32_t quota,
		uint8_t flags, bool fits)
{
	struct ctx ctx = ctx_at(ms);
	struct flow *flow = flowtab_put(tab, &ctx, hash, org, quota);

	g_assert_cmpint(flow != NULL, ==, fits);
	if (!flow)
		return;
	flow->target = (uint32_t)hash;
	flow->flags = flags;
}

static void test_many(void)
{
	struct flowtab *tab = flowtab_new(100000, ts_from_ms(START_MS));
	size_t found = 0;

	for (uint64_t i = 0; i < 100000; i++)
		put(tab, 1, hash_of(i), 0, 100000, 0, true);
	for (uint64_t i = 0; i < 100000; i += 2)
		flowtab_remove(tab, hash_of(i));
	for (uint64_t i = 0; i < 100000; i++) {
		struct flow *flow = flowtab_find(tab, hash_of(i));

		g_assert_cmpint(flow != NULL, ==, i % 2);
		if (flow)
			g_assert_cmphex(flow->target, ==, (uint32_t)hash_of(i));
	}
	g_assert_cmpuint(flowtab_count(tab), ==, 50000);
	/* Each entry is visited once, in the class of its hash. */
	for (uint32_t b = 0; b < FLOWTAB_CLASSES; b++) {
		struct flow *flow;
		size_t pos = 0;

		while ((flow = flowtab_next(tab, b, &pos))) {
			g_assert_cmpuint(flow->hash % FLOWTAB_CLASSES, ==, b);
			found++;
		}
	}
	g_assert_cmpuint(found, ==, 50000);
	flowtab_free(tab);
}

static void test_quota(void)
{
	struct {
		int64_t ms; /* when the entry of a full organisation is put */
		uint8_t flags;
		bool fits;
	} cases[] = {
		{ 1000, 0, false },	     /* all are in use */
		{ 1000, FLOW_CLOSED, true }, /* a closed one is evicted */
		{ 60001, 0, true },	     /* an idle one is evicted */
		{ 60001, FLOW_HELD, false }, /* copies of pins are not */
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct flowtab *tab = flowtab_new(1000, ts_from_ms(START_MS));

		for (uint64_t k = 0; k < 500; k++)
			put(tab, 0, hash_of(k), 1, 500, cases[i].flags, true);
		put(tab, 0, hash_of(1000), 2, 500, FLOW_CLOSED, true);
		/* The scan for an idle entry is bounded, so several tries may be needed. */
		for (int n = 0; n < 200 && cases[i].fits; n++) {
			struct ctx ctx = ctx_at(cases[i].ms);

			if (flowtab_put(tab, &ctx, hash_of(2000), 1, 500))
				break;
		}
		put(tab, cases[i].ms, hash_of(2000), 1, 500, 0, cases[i].fits);
		g_assert_nonnull(flowtab_find(tab, hash_of(1000)));
		g_assert_cmpuint(flowtab_count(tab), ==, 501);
		flowtab_free(tab);
	}
}

static bool expired(const struct flow *flow, uint32_t now_ms, void *arg)
{
	(void)arg;
	return now_ms - flow->used_ms >= 100;
}

static void test_sweep(void)
{
	struct flowtab *tab = flowtab_new(1000, ts_from_ms(START_MS));
	struct ctx ctx = ctx_at(150);

	put(tab, 0, hash_of(1), 0, 10, 0, true);
	put(tab, 100, hash_of(2), 0, 10, FLOW_HELD, true);
	flowtab_sweep(tab, &ctx, flowtab_slots(tab), expired, NULL);
	g_assert_null(flowtab_find(tab, hash_of(1)));
	g_assert_nonnull(flowtab_find(tab, hash_of(2)));
	g_assert_cmpuint(flowtab_held(tab), ==, 1);
	flowtab_free(tab);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/flowtab/many", test_many);
	g_test_add_func("/flowtab/quota", test_quota);
	g_test_add_func("/flowtab/sweep", test_sweep);
	return g_test_run();
}
