/*
 * Guards against an instance that blocks when the reader of its log stops, an unbounded volume of
 * log lines, and causes that explain does not find in the logs of several instances with skewed
 * clocks and damaged lines.
 */
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "decision.h"
#include "explain.h"
#include "linewriter.h"
#include "log.h"
#include "timeutil.h"

#define LINE "time=2026-01-01T00:00:00.000Z level=info instance=a event=open flow=x\n"

static void test_stopped_reader(void)
{
	struct linewriter lw;
	GString *taken = g_string_new(NULL);
	char buf[4096];
	int fds[2];
	ssize_t len;

	g_assert_cmpint(pipe(fds), ==, 0);
	linewriter_init(&lw, fds[1], 1000);
	for (int i = 0; i < 10000; i++)
		linewriter_write(&lw, LINE, strlen(LINE));
	g_assert_cmpuint(lw.lost_lines, >, 0);
	/* The reader resumes: it gets only whole lines, and the rest is written. */
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	while ((len = read(fds[0], buf, sizeof(buf))) > 0)
		g_string_append_len(taken, buf, len);
	linewriter_release(&lw);
	while ((len = read(fds[0], buf, sizeof(buf))) > 0)
		g_string_append_len(taken, buf, len);
	g_assert_cmpuint(taken->len % strlen(LINE), ==, 0);
	for (size_t i = 0; i < taken->len; i += strlen(LINE))
		g_assert_cmpmem(taken->str + i, strlen(LINE), LINE, strlen(LINE));
	g_string_free(taken, TRUE);
	close(fds[0]);
	close(fds[1]);
}

static void test_bounded_volume(void)
{
	struct edge_counters counters = { 0 };
	struct timespec now = { 1000, 0 };

	decision_init(&counters);
	/* 10 s of 1,000 lines a second of one kind: a burst of 40 and 20 a second are written. */
	for (int ms = 0; ms < 10000; ms++)
		decision_log(DECISION_OPEN, ts_add_ms(now, ms), "flow=%d", ms);
	g_assert_cmpuint(counters.log_lines, >=, 200);
	g_assert_cmpuint(counters.log_lines, <=, 240);
	g_assert_cmpuint(counters.log_lines + counters.log_lines_limited, ==, 10000);
	/* Another kind has a limit of its own. */
	decision_log(DECISION_RESET, ts_add_ms(now, 10000), "flow=1");
	g_assert_cmpuint(counters.log_lines + counters.log_lines_limited, ==, 10001);
	decision_init(NULL);
}

#define AT(time, instance) "time=2026-01-01T00:00:" time "Z level=info instance=" instance " event="
#define FLOW		   "flow=100.64.0.7:40001>198.18.0.1:443 "

struct explain_case {
	const char *name;
	const char *logs[2];
	const char *request;
	const char *flow;
	const char *at;
	const char *expected[4]; /* in this order in the output; empty when nothing is found */
	const char *unexpected;	 /* not in the output; NULL for no check */
	const char *expected_errors;
};

#define CREDIT_WAIT "reason=no_credit limit_ms=250 predicted_ms=90 waiting=3\n"
#define CREDIT_OPEN "target=i-1 why=credit held=4 in_use=3 credit_age_ms=180\n"
#define CREDIT_REFUSE(credits, age_ms)                                                             \
	"reason=no_room waiting=37 predicted_ms=420 limit_ms=250 credits=" credits                 \
	" in_use=8 credit_age_ms=" age_ms "\n"
#define MAY_BE_FULL "target target=i-1 belief=suspected why=may_be_full\n"

static const struct explain_case cases[] = {
	{ .name = "target-crashed",
	  .logs = { AT("01.000", "a") "open " FLOW "target=i-1 why=first\n" AT(
			    "02.000",
			    "a") "stall " FLOW
				 "request=r1 target=i-1\n" AT(
					 "02.100",
					 "a") "target target=i-1 belief=dead\n" AT("02.101",
										   "a") "reset"
											" " FLOW
											"request="
											"r1 "
											"reason="
											"target_"
											"dead "
											"target=i-"
											"1\n",
		    AT("02.050", "b") "target target=i-2 belief=dead\n" },
	  .request = "r1",
	  .expected = { "event=open", "belief=dead", "reason=target_dead",
			"its target did not answer" } },
	{ .name = "instance-restarted",
	  .logs = { AT("01.000", "a") "open " FLOW "target=i-1\n" AT(
			    "02.000", "a") "process state=stopping flows=3\n",
		    AT("03.000", "b") "adopt " FLOW "request=r2 target=i-1 mark=01\n" },
	  .request = "r2",
	  .expected = { "event=open", "state=stopping", "event=adopt",
			"an instance that handled it was stopped" } },
	{ .name = "route-withdrawn",
	  .logs = { AT("01.000",
		       "a") "open " FLOW
			    "target=i-1\n" AT("02.000", "a") "config config=9 routes=3\n" AT(
				    "02.001", "a") "reset " FLOW
						   "request=r3 reason=route_withdrawn target=i-1\n",
		    "" },
	  .flow = "100.64.0.7:40001",
	  .expected = { "event=open", "config=9", "reason=route_withdrawn",
			"the configuration dropped its route" } },
	/* The clock of b is 10 s ahead: its line about the flow lies between those of a. */
	{ .name = "skewed-clock",
	  .logs = { AT("01.000", "a") "config config=5 routes=3\n" AT(
			    "02.000", "a") "open " FLOW
					   "target=i-1\n" AT("04.000",
							     "a") "reset " FLOW
								  "request=r4 reason=target_gone\n",
		    AT("11.010", "b") "config config=5 routes=3\n" AT(
			    "13.000", "b") "adopt " FLOW "target=i-1\n" },
	  .request = "r4",
	  .expected = { "event=open", "event=adopt", "event=reset", "had left the list" } },
	{ .name = "damaged-lines",
	  .logs = { "-- log of a --\n" AT("01.000",
					  "a") "open " FLOW "target=i-1 request=r5\n"
					       "time=2026-01-01T00:00\n"
					       "time=2026-01-01T00:00:01.000Z level=info inst",
		    "\x01\x02" },
	  .request = "r5",
	  .expected = { "event=open" },
	  .expected_errors = "0.log:1: no time field: not a log line of an instance\n"
			     "0.log:3: malformed time\n0.log:4: no event field: truncated line\n"
			     "1.log:1: no time field: not a log line of an instance\n" },
	/* The instance that would have logged the request was paused. */
	{ .name = "unseen-at-a-time",
	  .logs = { AT("01.000", "a") "process state=ready targets=4\n" AT(
			    "03.000", "a") "process state=resumed late_ms=1900 flows=2\n",
		    AT("02.000", "b") "open " FLOW "target=i-1\n" },
	  .request = "r8",
	  .at = "2026-01-01T00:00:02.000Z",
	  .expected = { "no line names it", "state=resumed", "had not run for a while" } },
	/* The instance was paused after the flow's last line. */
	{ .name = "paused-later",
	  .logs = { AT("01.000", "a") "open " FLOW "target=i-1\n" AT(
			    "25.000", "a") "process state=resumed late_ms=1900 flows=2\n",
		    "" },
	  .flow = "100.64.0.7:40001",
	  .at = "2026-01-01T00:00:24.000Z",
	  .expected = { "event=open", "state=resumed", "had not run for a while" } },
	{ .name = "waited-for-a-credit",
	  .logs = { AT("01.000", "a") "wait " FLOW CREDIT_WAIT AT("01.120",
								  "a") "open " FLOW CREDIT_OPEN,
		    "" },
	  .flow = "100.64.0.7:40001",
	  .expected = { "reason=no_credit", "why=credit",
			"causes found:", "its opening waited for a credit" },
	  .unexpected = "old grant" },
	{ .name = "refused-for-lack-of-credits",
	  .logs = { AT("01.000", "a") "refuse " FLOW CREDIT_REFUSE("8", "130"), "" },
	  .flow = "100.64.0.7:40001",
	  .expected = { "reason=no_room", "would have had no credit of its service in time" },
	  .unexpected = "held no credits" },
	{ .name = "refused-by-an-instance-without-credits",
	  .logs = { AT("01.000", "a") "refuse " FLOW CREDIT_REFUSE("0", "130"), "" },
	  .flow = "100.64.0.7:40001",
	  .expected = { "reason=no_room", "held no credits of its service" },
	  .unexpected = "old grant" },
	{ .name = "refused-by-an-old-grant",
	  .logs = { AT("01.000", "a") "refuse " FLOW CREDIT_REFUSE("8", "1240"), "" },
	  .flow = "100.64.0.7:40001",
	  .expected = { "reason=no_room", "had an old grant of credits" } },
	{ .name = "placed-by-an-old-grant",
	  .logs = { AT("01.000", "a") "open " FLOW
				      "target=i-1 why=credit held=4 in_use=3 credit_age_ms=1400\n",
		    "" },
	  .flow = "100.64.0.7:40001",
	  .expected = { "why=credit", "had an old grant of credits" } },
	/* A full target refuses connections like an ended process; its flow must not seem lost. */
	{ .name = "target-may-be-full",
	  .logs = { AT("01.000", "a") "open " FLOW CREDIT_OPEN AT("01.300", "a") MAY_BE_FULL, "" },
	  .flow = "100.64.0.7:40001",
	  .expected = { "why=may_be_full", "refused connections and may have been full" },
	  .unexpected = "found dead" },
	/* Damaged numbers name no cause. */
	{ .name = "damaged-credits",
	  .logs = { AT("01.000", "a") "refuse " FLOW CREDIT_REFUSE("0x", "12a0"), "" },
	  .flow = "100.64.0.7:40001",
	  .expected = { "reason=no_room" },
	  .unexpected = "held no credits" },
	{ .name = "unknown-request",
	  .logs = { AT("01.000", "a") "open " FLOW "target=i-1\n", "" },
	  .request = "r9" },
};

static void test_explain(gconstpointer data)
{
	const struct explain_case *c = data;
	/* In both orders of the files. */
	for (int order = 0; order < 2; order++) {
		struct explain *ex = explain_new();
		GString *errors = g_string_new(NULL);
		GString *out = g_string_new(NULL);
		struct explain_query q = { c->request, c->flow, 0 };
		const char *at;

		if (c->at)
			g_assert_true(explain_parse_time(c->at, &q.at_ms));

		for (int i = 0; i < 2; i++) {
			int nr = order ? 1 - i : i;

			explain_read(ex, nr ? "1.log" : "0.log", c->logs[nr], strlen(c->logs[nr]),
				     errors);
		}
		if (!order)
			g_assert_cmpstr(errors->str, ==,
					c->expected_errors ? c->expected_errors : "");
		g_assert_true(explain_write(ex, &q, out) == !!c->expected[0]);
		at = out->str;
		for (size_t i = 0; i < G_N_ELEMENTS(c->expected) && c->expected[i]; i++) {
			at = strstr(at, c->expected[i]);
			g_assert_nonnull(at);
		}
		if (c->unexpected)
			g_assert_null(strstr(out->str, c->unexpected));
		g_string_free(out, TRUE);
		g_string_free(errors, TRUE);
		explain_free(ex);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/logs/stopped-reader", test_stopped_reader);
	g_test_add_func("/logs/bounded-volume", test_bounded_volume);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strconcat("/logs/explain/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_explain);
		g_free(path);
	}
	return g_test_run();
}
