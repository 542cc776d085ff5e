/*
 * Explains what happened to a request or flow from the logs of several instances, given in any
 * order. Clocks of instances may differ: their offsets are estimated from the lines about
 * configurations, which all instances apply at about the same time.
 */
#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct explain;

struct explain *explain_new(void);
void explain_free(struct explain *ex);

/*
 * Adds the lines of a log. Skips malformed lines and reports each in @errors as
 * "file:line: text". Returns the number of lines added.
 */
size_t explain_read(struct explain *ex, const char *file, const char *text, size_t len,
		    GString *errors);

struct explain_query {
	const char *request; /* id of the request, NULL for none */
	const char *flow; /* part of the flow's id: the caller's address and port, NULL for none */
	int64_t at_ms;	  /* Unix time in ms of the failure, 0 if unknown */
};

/*
 * Appends the lines that are relevant to the request or flow, in order of time, and the causes of
 * failure that they show. When no line names it, appends what instances logged about themselves
 * around the time of the failure. Returns false when that time is unknown too.
 */
bool explain_write(struct explain *ex, const struct explain_query *q, GString *out);

/* Parses a time in the format of the log, 2026-01-01T00:00:00.000Z, into Unix time in ms. */
bool explain_parse_time(const char *text, int64_t *ms);

#endif
