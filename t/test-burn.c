/*
 * Guards against bad flows that are lost or invented when counters reset or an instance restarts,
 * windows that include flows outside them, and bad flows attributed to the wrong target.
 */
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "burn.h"

#define T0     1000000
#define MINUTE 60
#define HOUR   3600

/* One sample; @minute counts from T0. */
struct sample {
	int minute;
	const char *instance;
	const char *target;
	uint64_t good;
	uint64_t bad;
};

static int add_sample(struct burn *burn, const struct sample *smp)
{
	gchar *line = g_strdup_printf(
		"{\"time\":%d,\"instance\":\"%s\",\"organisation\":\"o\",\"service\":\"s\","
		"\"slo_permille\":990,\"target\":\"%s\",\"data_centre\":\"dc-%c\","
		"\"good\":%" PRIu64 ",\"bad\":%" PRIu64 "}",
		T0 + smp->minute * MINUTE, smp->instance, smp->target, smp->target[0], smp->good,
		smp->bad);
	int rc = burn_add(burn, line);

	g_free(line);
	return rc;
}

/* Totals of the period from a few samples. */
static const struct {
	const char *what;
	struct sample samples[4];
	uint64_t good;
	uint64_t bad;
} total_cases[] = {
	{ "the first sample only sets the start of a counter",
	  { { 0, "i", "a1", 500, 50 } },
	  0,
	  0 },
	{ "difference", { { 0, "i", "a1", 500, 50 }, { 1, "i", "a1", 600, 51 } }, 100, 1 },
	{ "restart of the instance",
	  { { 0, "i", "a1", 500, 50 }, { 1, "i", "a1", 30, 2 } },
	  30,
	  2 },
	{ "instance that started between samples",
	  { { 0, "i", "a1", 500, 50 }, { 1, "i", "a1", 500, 50 }, { 1, "j", "a1", 7, 1 } },
	  7,
	  1 },
	{ "two instances with a target each",
	  { { 0, "i", "a1", 10, 1 },
	    { 0, "j", "b1", 20, 2 },
	    { 1, "i", "a1", 11, 1 },
	    { 1, "j", "b1", 22, 5 } },
	  3,
	  3 },
};

static void test_totals(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(total_cases); i++) {
		struct burn *burn = burn_new();
		GPtrArray *list;
		const struct burn_service *svc;

		for (size_t j = 0; j < 4 && total_cases[i].samples[j].instance; j++)
			g_assert_cmpint(add_sample(burn, &total_cases[i].samples[j]), ==, 0);
		list = burn_report(burn, 0, 30);
		g_assert_cmpuint(list->len, ==, 1);
		svc = g_ptr_array_index(list, 0);
		g_test_message("%s", total_cases[i].what);
		g_assert_cmpuint(svc->good, ==, total_cases[i].good);
		g_assert_cmpuint(svc->bad, ==, total_cases[i].bad);
		g_ptr_array_unref(list);
		burn_free(burn);
	}
}

/* Adds 100 flows a minute for @minutes, of which @bad a minute are bad in the last @last. */
static struct burn *steady(int minutes, uint64_t bad, int last)
{
	struct burn *burn = burn_new();
	uint64_t good_sum = 0;
	uint64_t bad_sum = 0;

	for (int i = 0; i <= minutes; i++) {
		struct sample smp = { i, "i", "a1", good_sum, bad_sum };
		uint64_t now_bad = i >= minutes - last ? bad : 0;

		g_assert_cmpint(add_sample(burn, &smp), ==, 0);
		good_sum += 100 - now_bad;
		bad_sum += now_bad;
	}
	return burn;
}

static const struct {
	int minutes;
	uint64_t bad;
	int last;
	bool alarms[BURN_NR_PAIRS];
	double rate_5m;
	double rate_1h;
} burn_cases[] = {
	{ 5000, 0, 5000, { false, false, false }, 0, 0 },
	/* Exactly the objective: the rate is 1, no alarm. */
	{ 5000, 1, 5000, { false, false, false }, 1, 1 },
	{ 5000, 2, 5000, { false, false, true }, 2, 2 },
	{ 5000, 20, 5000, { true, true, true }, 20, 20 },
	/* A short burst is in the short windows only. */
	{ 5000, 50, 5, { false, false, false }, 50, 50 * 5 / 60.0 },
	/* For an hour at 20: the first pair alarms, the others' long windows do not. */
	{ 5000, 20, 60, { true, false, false }, 20, 20 },
};

static void test_pairs(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(burn_cases); i++) {
		struct burn *burn =
			steady(burn_cases[i].minutes, burn_cases[i].bad, burn_cases[i].last);
		GPtrArray *list = burn_report(burn, 0, 30);
		const struct burn_service *svc = g_ptr_array_index(list, 0);

		for (size_t j = 0; j < BURN_NR_PAIRS; j++)
			g_assert_cmpint(svc->pairs[j].alarm, ==, burn_cases[i].alarms[j]);
		g_assert_cmpfloat_with_epsilon(svc->pairs[0].shorter.rate, burn_cases[i].rate_5m,
					       1e-9);
		g_assert_cmpfloat_with_epsilon(svc->pairs[0].longer.rate, burn_cases[i].rate_1h,
					       1e-9);
		g_assert_cmpuint(svc->pairs[0].shorter.good + svc->pairs[0].shorter.bad, ==, 500);
		g_assert_false(svc->pairs[0].longer.partial);
		g_ptr_array_unref(list);
		burn_free(burn);
	}
}

static void test_budget(void)
{
	/* A tenth of 30 days at burn rate 2 spends a fifth; the rest lasts 0.8 * 30 / 2 days. */
	struct burn *burn = steady(3 * 24 * 60, 2, 3 * 24 * 60);
	GPtrArray *list = burn_report(burn, 0, 30);
	const struct burn_service *svc = g_ptr_array_index(list, 0);

	g_assert_cmpfloat_with_epsilon(svc->budget, 30 * 24 * 60 * 100 * 0.01, 1e-6);
	g_assert_cmpfloat_with_epsilon(svc->spent, 0.2, 1e-9);
	g_assert_cmpfloat_with_epsilon(svc->left_s, 0.8 * 30 / 2 * 24 * HOUR, 1e-3);
	g_assert_cmpint(svc->covered_s, ==, 3 * 24 * HOUR);
	g_ptr_array_unref(list);
	burn_free(burn);
}

static void test_causes(void)
{
	static const struct sample samples[] = {
		{ 0, "i", "a1", 0, 0 },	    { 0, "i", "a2", 0, 0 },  { 0, "i", "b1", 0, 0 },
		{ 1, "i", "a1", 1000, 40 }, { 1, "i", "a2", 9, 35 }, { 1, "i", "b1", 9, 25 },
	};
	struct burn *burn = burn_new();
	const struct burn_service *svc;
	GString *html = g_string_new(NULL);
	GPtrArray *list;

	for (size_t i = 0; i < G_N_ELEMENTS(samples); i++)
		g_assert_cmpint(add_sample(burn, &samples[i]), ==, 0);
	list = burn_report(burn, 0, 30);
	svc = g_ptr_array_index(list, 0);
	g_assert_cmpstr(((struct burn_cause *)svc->targets->pdata[0])->name, ==, "a1");
	g_assert_cmpstr(((struct burn_cause *)svc->data_centres->pdata[0])->name, ==, "dc-a");
	g_assert_cmpuint(((struct burn_cause *)svc->data_centres->pdata[0])->share_permille, ==,
			 750);
	burn_print_html(list, html);
	g_assert_nonnull(strstr(html->str, "<polyline"));
	/* The page is self-contained. */
	g_assert_null(strstr(html->str, "http"));
	g_ptr_array_unref(list);
	burn_free(burn);
	g_string_free(html, TRUE);
}

static void test_malformed(void)
{
	static const char *const lines[] = {
		"",
		"{}",
		"[]",
		"{\"time\":1}",
		"{\"time\":0,\"organisation\":\"o\",\"service\":\"s\",\"good\":1,\"bad\":0}",
		"{\"time\":1,\"organisation\":\"o\",\"service\":\"s\",\"good\":\"1\",\"bad\":0}",
		"{\"time\":1,\"organisation\":\"o\",\"service\":\"s\",\"good\":1,\"bad\":-1}",
	};
	struct sample newer = { 5, "i", "a1", 1, 1 };
	struct sample older = { 4, "i", "a1", 1, 1 };
	struct burn *burn = burn_new();

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		g_assert_cmpint(burn_add(burn, lines[i]), ==, -EBADMSG);
	g_assert_cmpint(add_sample(burn, &newer), ==, 0);
	g_assert_cmpint(add_sample(burn, &older), ==, -EBADMSG);
	burn_free(burn);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/burn/totals", test_totals);
	g_test_add_func("/burn/pairs", test_pairs);
	g_test_add_func("/burn/budget", test_budget);
	g_test_add_func("/burn/causes", test_causes);
	g_test_add_func("/burn/malformed", test_malformed);
	return g_test_run();
}
