/*
 * Replays the traces in t/traces. Guards against outcomes that are not met under injected failures,
 * reports that differ between runs of one seed, outcomes that a faulty variant would meet too, and
 * parse errors in traces.
 */
#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "replay.h"

#define TRACES "t/traces/"
/* One seed keeps the run short; scripts/replay-all runs more. */
#define OUTCOME_SEED 1

static char *read_text(const char *path)
{
	char *text = NULL;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	return text;
}

static void add_file(struct trace *trace, const char *path)
{
	GString *faults = g_string_new(NULL);
	char *text = read_text(path);

	trace_parse(trace, text, path, faults);
	g_assert_cmpstr(faults->str, ==, "");
	g_string_free(faults, TRUE);
	g_free(text);
}

/* @name is USER/TRACE. */
static GString *replay(const char *name, const char *policy, uint64_t seed)
{
	struct replay_options opts = { .policy = policy, .seed = seed };
	struct trace trace = { NULL };
	GString *report = g_string_new(NULL);
	GString *faults = g_string_new(NULL);
	char *user = g_path_get_dirname(name);
	char *fleet = g_strdup_printf(TRACES "%s/fleet", user);
	char *path = g_strdup_printf(TRACES "%s.trace", name);

	add_file(&trace, fleet);
	add_file(&trace, path);
	replay_run(&trace, &opts, report, faults);
	g_assert_cmpstr(faults->str, ==, "");
	g_string_free(faults, TRUE);
	trace_release(&trace);
	g_free(user);
	g_free(fleet);
	g_free(path);
	return report;
}

static int64_t value_of(const GString *report, const char *key)
{
	char *line = g_strdup_printf("\n%s = ", key);
	const char *at = strstr(report->str, line);
	int64_t value;

	g_assert_nonnull(at);
	value = g_ascii_strtoll(at + strlen(line), NULL, 10);
	g_free(line);
	return value;
}

static void check_file(const GString *report, const char *path, GString *faults)
{
	char *text = read_text(path);

	g_assert_cmpint(replay_check(report->str, text, path, faults), >=, 0);
	g_free(text);
}

/* Guards against a product that misses the expected outcome of a trace. */
static void test_outcome(gconstpointer data)
{
	const char *name = data;
	char *own = g_strdup_printf(TRACES "%s.outcome", name);
	GString *faults = g_string_new(NULL);
	GString *report = replay(name, "product", OUTCOME_SEED);

	check_file(report, TRACES "always.outcome", faults);
	check_file(report, own, faults);
	/* Not an assertion, so that the other traces run too. */
	if (faults->len) {
		g_test_message("%s", faults->str);
		g_test_fail();
	}
	g_string_free(report, TRUE);
	g_string_free(faults, TRUE);
	g_free(own);
}

/* Guards against outcomes that cannot fail: faulty policies must miss them. */
static void test_wrong_policies(void)
{
	const struct {
		const char *policy;
		const char *trace;
		const char *key;
		int64_t above;
	} cases[] = {
		{ "hash", "bantayan/kill-drain", "broken_flows", 0 },
		{ "hash", "vltava/withdraw", "broken_flows", 0 },
		{ "hash", "bantayan/steady", "imbalance_flows", 1100 },
		{ "hash", "bantayan/late", "crossed", 0 },
		{ "private", "bantayan/kill-drain", "broken_flows", 0 },
		{ "private", "vltava/withdraw", "broken_flows", 0 },
		{ "private", "vltava/kill-drain", "falls", 0 },
		{ "no-ack-wait", "bantayan/kill-drain", "broken_flows", 0 },
		{ "no-recovery", "bantayan/kill-drain", "broken_flows", 0 },
		{ "no-slow-start", "bantayan/kill-drain", "peak_start_share", 1000 },
		{ "local-withdrawal", "vltava/withdraw", "withdrawn_last_packet_ms", 3000 },
		{ "no-drain", "bantayan/drain", "drained_last_flow_ms", 3000 },
		{ "unchecked-answers", "bantayan/late", "crossed", 0 },
		{ "resend-payload", "bantayan/late", "broken_flows", 100 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *report = replay(cases[i].trace, cases[i].policy, 1);

		g_test_message("%s on %s: %s", cases[i].policy, cases[i].trace, cases[i].key);
		g_assert_cmpint(value_of(report, cases[i].key), >, cases[i].above);
		g_string_free(report, TRUE);
	}
}

/* Guards against decisions that depend on addresses in memory or on real time. */
static void test_repeatable(void)
{
	GString *first = replay("bantayan/kill-drain", "product", 3);
	GString *second = replay("bantayan/kill-drain", "product", 3);

	g_assert_cmpstr(first->str, ==, second->str);
	g_string_free(first, TRUE);
	g_string_free(second, TRUE);
}

/*
 * Guards against unnoticed changes of decisions; after an intended change, "make golden" renews the
 * files.
 */
static void test_golden(gconstpointer data)
{
	const char *name = data;
	char *path = g_strdup_printf("t/golden/%s.report", name);
	GString *report = replay(name, "product", 1);
	char *golden = read_text(path);

	g_assert_cmpstr(report->str, ==, golden);
	g_string_free(report, TRUE);
	g_free(golden);
	g_free(path);
}

static void test_parse(void)
{
	static const char ok[] = "jujubestage-trace 1\n"
				 "dc a instances=2 # two\n"
				 "\n"
				 "at 100 kill a-1\n";
	static const struct {
		const char *text;
		const char *fault;
	} cases[] = {
		{ "", "t:1: empty trace\n" },
		{ "jujubestage-trace 2\n", "t:1: expected: jujubestage-trace 1\n" },
		{ "jujubestage-trace 1\nat x kill a\n", "t:2: expected: at MILLISECONDS VERB\n" },
		{ "jujubestage-trace 1\nkill a\n",
		  "t:2: this verb needs a time: at MILLISECONDS VERB\n" },
		{ "jujubestage-trace 1\nat 5 dc a\n", "t:2: this verb cannot have a time\n" },
		{ "jujubestage-trace 1\nat 5 hum\n", "t:2: unknown verb\n" },
		{ "jujubestage-trace 1\nat 5 kill\n", "t:2: too few arguments\n" },
		{ "jujubestage-trace 1\nat 5 kill a b\n", "t:2: too many arguments\n" },
		{ "jujubestage-trace 1\ndc a size=2\n", "t:2: unknown option\n" },
		{ "jujubestage-trace 1\ndc a instances=x\n", "t:2: not a number\n" },
	};
	struct trace trace = { NULL };
	GString *faults = g_string_new(NULL);
	const struct trace_line *line;

	g_assert_cmpint(trace_parse(&trace, ok, "t", faults), ==, 0);
	g_assert_cmpuint(trace.lines->len, ==, 2);
	line = &g_array_index(trace.lines, struct trace_line, 1);
	g_assert_cmpint(line->verb, ==, TRACE_KILL);
	g_assert_cmpint(line->at_ms, ==, 100);
	g_assert_cmpstr(line->arg[0], ==, "a-1");
	trace_release(&trace);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_string_truncate(faults, 0);
		g_assert_cmpint(trace_parse(&trace, cases[i].text, "t", faults), ==, -EINVAL);
		g_assert_cmpstr(faults->str, ==, cases[i].fault);
		trace_release(&trace);
	}
	g_string_free(faults, TRUE);
}

static void test_check(void)
{
	static const char report[] = "policy = product\nbroken_flows = 2\nrefused = 0\n";
	static const struct {
		const char *text;
		int result;
	} cases[] = {
		{ "broken_flows = 2\n", 0 },
		{ "broken_flows <= 2 # most\n", 0 },
		{ "broken_flows < 2\n", 1 },
		{ "broken_flows >= 3\nrefused = 1\n", 2 },
		{ "flows = 0\n", 1 },
		{ "broken_flows 2\n", -EINVAL },
		{ "broken_flows == x\n", -EINVAL },
		{ "\n# nothing\n", 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *faults = g_string_new(NULL);

		g_assert_cmpint(replay_check(report, cases[i].text, "t", faults), ==,
				cases[i].result);
		g_assert_cmpint(faults->len > 0, ==, cases[i].result != 0);
		g_string_free(faults, TRUE);
	}
}

/* The other traces run with "-m slow", and with more seeds in scripts/replay-all. */
static const char *const default_traces[] = {
	"bantayan/cut",
	"bantayan/drain",
	"bantayan/kill-drain",
	"bantayan/late",
	"bantayan/roll",
	"bantayan/steady",
	"vltava/cold",
	"vltava/pause",
	"vltava/platform-down",
	"vltava/silent",
	"vltava/kill-withdraw",
	"vltava/withdraw",
	NULL,
};

static void add_outcome(const char *name)
{
	char *test = g_strdup_printf("/replay/outcome/%s", name);

	g_test_add_data_func_full(test, g_strdup(name), test_outcome, g_free);
	g_free(test);
}

static void add_all_outcomes(const char *user)
{
	char *path = g_strdup_printf(TRACES "%s", user);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *entry;

	g_assert_nonnull(dir);
	while ((entry = g_dir_read_name(dir))) {
		char *name = g_strdup_printf("%s/%s", user, entry);

		if (g_str_has_suffix(name, ".trace")) {
			name[strlen(name) - strlen(".trace")] = '\0';
			if (!g_strv_contains(default_traces, name))
				add_outcome(name);
		}
		g_free(name);
	}
	g_dir_close(dir);
	g_free(path);
}

int main(int argc, char **argv)
{
	/* A failed outcome must not skip the traces after it. */
	char **args = g_new0(char *, (gsize)argc + 2);
	int nr_args = argc + 1;

	memcpy(args, argv, sizeof(*args) * (size_t)argc);
	args[argc] = (char *)"--keep-going";
	g_test_init(&nr_args, &args, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/replay/parse", test_parse);
	g_test_add_func("/replay/check", test_check);
	g_test_add_func("/replay/repeatable", test_repeatable);
	g_test_add_func("/replay/wrong-policies", test_wrong_policies);
	g_test_add_data_func("/replay/golden/bantayan/kill-drain", "bantayan/kill-drain",
			     test_golden);
	g_test_add_data_func("/replay/golden/vltava/withdraw", "vltava/withdraw", test_golden);
	for (size_t i = 0; default_traces[i]; i++)
		add_outcome(default_traces[i]);
	if (g_test_slow()) {
		add_all_outcomes("bantayan");
		add_all_outcomes("vltava");
	}
	return g_test_run();
}
