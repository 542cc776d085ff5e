/* jujubestage replay: runs a recorded trace through the decision cores of a small fleet. */
#include "builtin.h"

#include <argtable2.h>
#include <stdio.h>

#include "replay.h"

#define MAX_FILES 16

static void print_help(void **table)
{
	printf("usage: jujubestage replay");
	arg_print_syntax(stdout, table, "\n\n");
	arg_print_glossary(stdout, table, "  %-18s %s\n");
	printf("\npolicies:\n");
	for (const struct replay_policy *policy = replay_policies; policy->name; policy++)
		printf("  %-18s %s\n", policy->name, policy->summary);
	printf("\nExits 1 when a stated outcome does not hold. docs/traces.md describes both "
	       "files.\n");
}

static bool read_file(const char *path, char **text)
{
	GError *error = NULL;

	if (g_file_get_contents(path, text, NULL, &error))
		return true;
	fprintf(stderr, "jujubestage replay: %s\n", error->message);
	g_error_free(error);
	return false;
}

static bool read_traces(struct trace *trace, const struct arg_file *paths, GString *faults)
{
	bool ok = true;

	for (int i = 0; i < paths->count && ok; i++) {
		char *text = NULL;

		ok = read_file(paths->filename[i], &text) &&
		     !trace_parse(trace, text, paths->filename[i], faults);
		g_free(text);
	}
	return ok;
}

/* Returns the number of outcomes that do not hold, or a negative number on wrong input. */
static int check_outcomes(const char *report, const struct arg_file *outcomes, GString *faults)
{
	int failed = 0;

	for (int i = 0; i < outcomes->count; i++) {
		char *text = NULL;
		int ret;

		if (!read_file(outcomes->filename[i], &text))
			return -1;
		ret = replay_check(report, text, outcomes->filename[i], faults);
		g_free(text);
		if (ret < 0)
			return ret;
		failed += ret;
	}
	return failed;
}

static int replay_files(const struct arg_file *paths, const struct arg_file *outcomes,
			const struct replay_options *opts)
{
	struct trace trace = { NULL };
	GString *report = g_string_new(NULL);
	GString *faults = g_string_new(NULL);
	int failed;
	int ret = EXIT_USAGE;

	if (!read_traces(&trace, paths, faults) || replay_run(&trace, opts, report, faults))
		goto cleanup;
	fputs(report->str, stdout);
	if (opts->notes)
		fputs(opts->notes->str, stderr);
	failed = check_outcomes(report->str, outcomes, faults);
	if (failed >= 0)
		ret = failed ? EXIT_REFUSED : EXIT_DONE;
cleanup:
	fputs(faults->str, stderr);
	trace_release(&trace);
	g_string_free(report, TRUE);
	g_string_free(faults, TRUE);
	return ret;
}

int cmd_replay(int argc, char **argv)
{
	struct arg_file *path = arg_filen(NULL, NULL, "TRACE", 1, MAX_FILES,
					  "recorded trace, may be given in parts");
	struct arg_str *policy =
		arg_str0(NULL, "policy", "NAME", "policy to run in place of the balancer's");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed, default 1");
	struct arg_file *outcome =
		arg_filen(NULL, "outcome", "FILE", 0, MAX_FILES, "stated outcomes to check");
	struct arg_lit *counters = arg_lit0(NULL, "counters", "add the fleet's counters");
	struct arg_lit *notes =
		arg_lit0(NULL, "notes", "print failures with their times on standard error");
	struct arg_lit *help = arg_lit0(NULL, "help", "describe this command");
	struct arg_end *end = arg_end(4);
	void *table[] = { path, policy, seed, outcome, counters, notes, help, end };
	struct replay_options opts = { .seed = 1 };
	int errors = arg_parse(argc, argv, table);
	int ret = EXIT_USAGE;

	if (help->count) {
		print_help(table);
		ret = EXIT_DONE;
	} else if (errors) {
		arg_print_errors(stderr, end, "jujubestage replay");
	} else {
		opts.policy = policy->count ? policy->sval[0] : NULL;
		opts.seed = seed->count ? (uint64_t)seed->ival[0] : 1;
		opts.counters = counters->count > 0;
		opts.notes = notes->count ? g_string_new(NULL) : NULL;
		ret = replay_files(path, outcome, &opts);
		if (opts.notes)
			g_string_free(opts.notes, TRUE);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return ret;
}
