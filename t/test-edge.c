/*
 * Runs scenarios of the platform emulator against real instances. Covers the whole path through
 * platform/; the emulator encodes packets, entries and calls with its own code. Guards the service
 * guarantees under faults with fixed seeds. Variants with store data that is 10 s old, or not
 * confirmed after a suspension, must violate a guarantee, which shows that the checks can fail.
 * Also follows docs/OPERATIONS.md from failed requests to their causes in the instances' logs.
 */
#include <glib.h>
#include <stdbool.h>
#include <string.h>

struct scenario {
	const char *name;
	const char *args;
	const char *expected_breach; /* violation that the report must contain, NULL for none */
};

static const struct scenario scenarios[] = {
	{ "calm", "--seconds 9 --net 20", NULL },
	{ "faults", "--seconds 20 --net 21 --faults --seed 1", NULL },
	{ "drains", "--seconds 16 --net 22 --faults --seed 3 --only target-release", NULL },
	{ "changes-around-outages-of-the-store",
	  "--seconds 24 --net 24 --faults --seed 5 "
	  "--only store-silent,store-busy,config,target-release",
	  NULL },
	{ "stale-reads-and-lost-answers",
	  "--seconds 20 --net 25 --faults --seed 3 "
	  "--only store-stale,store-lost,config,target-release",
	  NULL },
	{ "moving-callers-and-slow-targets",
	  "--seconds 16 --net 26 --faults --seed 4 --only shift,target-slow,stop", NULL },
	/* Four instances in each data centre; one is the reader, and faults hit it as well. */
	{ "readers-that-fail",
	  "--seconds 24 --net 19 --instances 8 --faults --seed 12 "
	  "--only kill,pause,term,store-silent,store-busy,config,target-release,withdraw",
	  NULL },
	/* Entries of another writer must not hide what changes in the others. */
	{ "odd-entries",
	  "--seconds 24 --net 31 --instances 8 --faults --seed 1 "
	  "--only store-malformed,target-release,kill,config,withdraw",
	  NULL },
	/* Events that are too long for one answer must not be asked for again and again. */
	{ "events-too-long",
	  "--seconds 20 --net 32 --faults --seed 1 --only store-huge,target-release", NULL },
	/* Targets that take connections and leave requests without an answer keep their flows. */
	{ "hanging-targets",
	  "--seconds 16 --net 8 --callers 120 --faults --seed 1 --only target-hangs", NULL },
	/* A full queue refuses connections like an ended process; its target's flows go on. */
	{ "full-targets",
	  "--seconds 16 --net 9 --callers 120 --work 300 --faults --seed 10 --only target-full",
	  NULL },
	/* The same without a rejection before the first refusal. */
	{ "targets-full-at-once",
	  "--seconds 16 --net 10 --callers 120 --work 300 --faults --seed 2 --only target-full "
	  "--full-notice 0",
	  NULL },
	{ "drains-with-old-beliefs",
	  "--seconds 16 --net 23 --faults --seed 3 --only target-release --watch-pause 10000",
	  "DRAIN: " },
	/* Packets queued during a suspension are read before the changes of the store. */
	{ "pauses",
	  "--seconds 20 --net 18 --callers 120 --faults --seed 1 --pause 3300 --only pause-all",
	  NULL },
	/* Soak seeds 9009, 9033: the first part of a list confirmed the targets of the others. */
	{ "pauses-and-lost-history",
	  "--seconds 22 --net 33 --callers 80 --faults --seed 3 "
	  "--only pause-all,store-forgets,target-release",
	  NULL },
	{ "pauses-without-confirmation",
	  "--seconds 20 --net 17 --callers 120 --faults --seed 1 --pause 3300 --only pause-all "
	  "--confirm 0",
	  "PAUSED: " },
};

struct outcome {
	char *dir; /* of settings, logs and failed-tries.txt */
	char *report;
	bool ok;
};

static struct outcome run_world(const char *args)
{
	struct outcome oc;
	GError *error = NULL;
	char *command;
	int status = -1;

	oc.dir = g_dir_make_tmp("edge-XXXXXX", &error);
	g_assert_no_error(error);
	command = g_strdup_printf("build/world --dir %s %s", oc.dir, args);
	g_spawn_command_line_sync(command, &oc.report, NULL, &status, &error);
	g_assert_no_error(error);
	oc.ok = g_spawn_check_wait_status(status, NULL);
	g_test_message("%s", oc.report);
	g_free(command);
	return oc;
}

static void outcome_release(struct outcome *oc)
{
	char *clean = g_strdup_printf("rm -rf %s", oc->dir);

	g_spawn_command_line_sync(clean, NULL, NULL, NULL, NULL);
	g_free(clean);
	g_free(oc->report);
	g_free(oc->dir);
}

static void test_scenario(gconstpointer data)
{
	const struct scenario *scenario = data;
	struct outcome oc = run_world(scenario->args);

	g_assert_nonnull(g_strstr_len(oc.report, -1,
				      scenario->expected_breach ? scenario->expected_breach
								: " breaches=0 "));
	g_assert_true(oc.ok == !scenario->expected_breach);
	outcome_release(&oc);
}

/* Whether the logs of the instances have a line with @text. */
static bool logs_have(const char *dir, const char *text)
{
	char *command = g_strdup_printf("sh -c \"grep -qh '%s' %s/edge-*.log\"", text, dir);
	int status = -1;

	g_spawn_command_line_sync(command, NULL, NULL, &status, NULL);
	g_free(command);
	return g_spawn_check_wait_status(status, NULL);
}

/* Guards against instances that serve nobody when they start while the store does not answer. */
static void test_start_without_store(void)
{
	struct outcome oc = run_world("--seconds 20 --net 30 --instances 6 --faults --seed 1 "
				      "--only store-silent,kill");

	g_assert_nonnull(g_strstr_len(oc.report, -1, " breaches=0 "));
	g_assert_true(logs_have(oc.dir, "state=ready source=snapshot"));
	outcome_release(&oc);
}

/* A count in the last line of a report. */
static unsigned int report_count(const char *report, const char *name)
{
	const char *at = g_strrstr(report, name);

	g_assert_nonnull(at);
	return (unsigned int)g_ascii_strtoull(at + strlen(name), NULL, 10);
}

/* A day with a sixth of the load that targets can take; @only: the faults that strike. */
static void play_credits(const char *only, unsigned int net)
{
	char *args = g_strdup_printf("--seconds 16 --net %u --instances 8 --callers 48 "
				     "--one-request --work 10 --faults --seed 1 --only %s",
				     net, only);
	struct outcome oc = run_world(args);

	g_assert_nonnull(g_strstr_len(oc.report, -1, " breaches=0 "));
	g_assert_true(oc.ok);
	g_assert_cmpuint(report_count(oc.report, " refused=") * 20, <,
			 report_count(oc.report, " asked="));
	g_assert_true(logs_have(oc.dir, "takes_part=1"));
	g_assert_true(logs_have(oc.dir, "event=open .* why=credit"));
	outcome_release(&oc);
	g_free(args);
}

/*
 * Guards against credits that end flows of living targets, or keep callers from targets, when
 * readers, followers, targets or the store fail.
 */
static void test_credits(void)
{
	play_credits("kill,pause,stop,target-dark,store-silent", 11);
}

/* Guards against requests without an answer that keep credits in use after their callers left. */
static void test_credits_of_hanging_targets(void)
{
	play_credits("target-hangs", 12);
}

/* Fields of a line of failed-tries.txt. */
enum { TRY_TIME, TRY_REQUEST, TRY_FLOW, TRY_RESULT, TRY_FIELDS };

/* A kind of failed request: a scenario that causes it, and what explain must print for it. */
struct failure {
	const char *name;
	const char *args;
	const char *result; /* selects the failed tries to explain */
	const char *event;  /* text of the log line expected for each of them */
	const char *cause;  /* cause expected for each of them */
};

static const struct failure failures[] = {
	{ "target-crashed", "--seconds 14 --net 27 --faults --seed 2 --only target-dark",
	  "reset-by-instance", "belief=dead", "its target did not answer" },
	{ "instance-cut-off", "--seconds 14 --net 28 --faults --seed 2 --only pause", "deadline",
	  "state=resumed", "had not run for a while" },
	{ "route-withdrawn",
	  "--seconds 20 --net 29 --faults --seed 2 --callers 240 --work 100 --only config",
	  "reset-by-instance", "event=config", "the configuration dropped its route" },
};

/*
 * Runs explain as docs/OPERATIONS.md describes: by the request's id, then, if no line has it, by
 * the caller's address and port. Returns its output.
 */
static char *explain(const char *dir, char **try)
{
	char *by_id = g_strdup_printf("sh -c './jujubestage explain --request %s --at %s "
				      "%s/edge-*.log'",
				      try[TRY_REQUEST], try[TRY_TIME], dir);
	char *by_flow = g_strdup_printf("sh -c './jujubestage explain --flow %s --at %s "
					"%s/edge-*.log'",
					try[TRY_FLOW], try[TRY_TIME], dir);
	char *commands[] = { by_id, by_flow };
	char *out = NULL;

	for (int i = 0; i < 2 && (!out || g_str_has_prefix(out, "no line names it")); i++) {
		int status = -1;

		g_free(out);
		g_spawn_command_line_sync(commands[i], &out, NULL, &status, NULL);
		g_assert_true(g_spawn_check_wait_status(status, NULL));
	}
	g_free(by_id);
	g_free(by_flow);
	return out;
}

/* Guards against log lines that are missing or lack the flow: explain then finds no cause. */
static void test_failure(gconstpointer data)
{
	const struct failure *fl = data;
	struct outcome oc = run_world(fl->args);
	char *path = g_build_filename(oc.dir, "failed-tries.txt", NULL);
	char *text = NULL;
	char **tries;
	guint nr = 0;
	guint explained = 0;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	tries = g_strsplit(text ? text : "", "\n", 0);
	for (char **at = tries; *at; at++) {
		char **words = g_strsplit(*at, " ", TRY_FIELDS);
		char *out;

		if (g_strv_length(words) == TRY_FIELDS && !strcmp(words[TRY_RESULT], fl->result)) {
			out = explain(oc.dir, words);
			nr++;
			if (strstr(out, fl->event) && strstr(out, fl->cause))
				explained++;
			else
				g_test_message("%s\n%s", *at, out);
			g_free(out);
		}
		g_strfreev(words);
	}
	g_test_message("%u of %u tries explained", explained, nr);
	g_assert_cmpuint(nr, >=, 1);
	g_assert_cmpuint(explained, ==, nr);
	g_strfreev(tries);
	g_free(text);
	g_free(path);
	outcome_release(&oc);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* Run the remaining scenarios after a failure. */
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		char *path = g_strconcat("/edge/", scenarios[i].name, NULL);

		g_test_add_data_func(path, &scenarios[i], test_scenario);
		g_free(path);
	}
	g_test_add_func("/edge/start-without-store", test_start_without_store);
	g_test_add_func("/edge/credits", test_credits);
	g_test_add_func("/edge/credits-of-hanging-targets", test_credits_of_hanging_targets);
	for (size_t i = 0; i < G_N_ELEMENTS(failures); i++) {
		char *path = g_strconcat("/edge/explain/", failures[i].name, NULL);

		g_test_add_data_func(path, &failures[i], test_failure);
		g_free(path);
	}
	return g_test_run();
}
