/*
 * Replay of a recorded trace through the decision cores of a small fleet, in one process, with a
 * passed-in clock and in-memory adapters. The same trace, policy and seed give the same report.
 */
#ifndef REPLAY_H
#define REPLAY_H

#include "trace.h"

struct replay_options {
	const char *policy; /* see replay_policies; NULL for the product */
	uint64_t seed;
	bool counters;	/* add the fleet's counters to the report */
	GString *notes; /* gets a line for each thing that went wrong, unless NULL */
};

struct replay_policy {
	const char *name;
	const char *summary;
};

/* Ends with an entry without a name. */
extern const struct replay_policy replay_policies[];

/*
 * Appends the report, one "key = value" a line. Returns 0, or -EINVAL with faults of the trace or
 * an unknown policy in @faults.
 */
int replay_run(const struct trace *trace, const struct replay_options *opts, GString *report,
	       GString *faults);

/*
 * Compares a report with the outcomes that @text states, one "key OP number" a line with OP one of
 * = < <= > >=. Appends a line for each outcome that does not hold and returns their number, or
 * -EINVAL when @text is malformed.
 */
int replay_check(const char *report, const char *text, const char *path, GString *faults);

#endif
