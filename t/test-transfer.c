/*
 * Guards against taking living targets for dead because a long answer of the store occupied the
 * link while they were probed.
 */
#include <glib.h>

#include "timeutil.h"
#include "transfer.h"

static const struct {
	int64_t begin_ms; /* -1: no answer */
	int64_t end_ms;	  /* -1: it is still being received */
	int64_t since_ms;
	int64_t now_ms;
	bool slow;
} cases[] = {
	{ -1, -1, 0, 100, false },    { 0, -1, 0, 49, false },	  { 0, -1, 0, 50, true },
	{ 0, -1, 300, 400, true },    { 0, 5, 0, 100, false },	  { 0, 210, 150, 250, true },
	{ 0, 210, 211, 311, false },  { 0, 210, 210, 310, true }, { 500, 505, 450, 550, false },
	{ 500, 700, 400, 600, true },
};

static void test_transfer(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct timespec start = { .tv_sec = 1000 };
		struct transfer tr = { 0 };

		if (cases[i].begin_ms >= 0)
			transfer_begin(&tr, ts_add_ms(start, cases[i].begin_ms));
		if (cases[i].end_ms >= 0 && cases[i].end_ms <= cases[i].now_ms)
			transfer_end(&tr, ts_add_ms(start, cases[i].end_ms));
		g_assert_cmpint(transfer_was_slow(&tr, ts_add_ms(start, cases[i].since_ms),
						  ts_add_ms(start, cases[i].now_ms)),
				==, cases[i].slow);
	}
}

/* An answer that ends without having begun, as after a failed call, is none. */
static void test_end_without_begin(void)
{
	struct timespec now = { .tv_sec = 1000 };
	struct transfer tr = { 0 };

	transfer_end(&tr, now);
	g_assert_false(transfer_was_slow(&tr, now, now));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/transfer/was-slow", test_transfer);
	g_test_add_func("/transfer/end-without-begin", test_end_without_begin);
	return g_test_run();
}
