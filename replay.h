/*
 * Replay of a recorded trace through the decision cores of a small fleet, in one process, with a
 * simulated clock and in-memory adapters. The same trace, policy and seed give the same report.
 */
#ifndef REPLAY_H
#define REPLAY_H

#include "trace.h"

struct replay_options {
	const char *policy; /* a name in replay_policies, NULL for "product" */
	uint64_t seed;
	bool counters;	/* add the fleet's counters to the report */
	GString *notes; /* gets a line per fault, such as a broken flow, unless NULL */
};

struct replay_policy {
	const char *name;
	const char *summary;
};

/* Terminated by an entry whose name is NULL. */
extern const struct replay_policy replay_policies[];

/*
 * Appends the report to @report, one "key = value" per line. Returns 0, or -EINVAL with the faults
 * of the trace or an unknown policy in @faults.
 */
int replay_run(const struct trace *trace, const struct replay_options *opts, GString *report,
	       GString *faults);

/*
 * Checks a report against the expected outcomes in @text, one "key OP number" per line with OP one
 * of = < <= > >=. Appends a line to @faults for each outcome that is not met and returns their
 * number, or -EINVAL when @text is malformed; @path is its name in @faults.
 */
int replay_check(const char *report, const char *text, const char *path, GString *faults);

#endif
