/*
 * Explains what became of a request or flow from the logs of several instances, given in any order.
 * Clocks of instances may differ: their offsets are estimated from the lines about configurations,
 * which all instances take over at about the same time.
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
 * Adds the lines of a log. What is no log line is said in @complaints, one "file:line: text" each,
 * and skipped. Returns the number of lines taken.
 */
size_t explain_read(struct explain *ex, const char *file, const char *text, size_t len,
		    GString *complaints);

struct explain_question {
	const char *request; /* id of the request, NULL for none */
	const char *flow;    /* a part of the flow's id: the caller's address and port */
	int64_t at_ms;	     /* Unix time in ms of the failure, 0 when it is not known */
};

/*
 * Appends the lines that bear on the request or on flows of the question, in order of time, and the
 * causes that they show. Without such lines, what instances wrote about themselves at the time of
 * the failure. Returns false when there is nothing to write.
 */
bool explain_write(struct explain *ex, const struct explain_question *q, GString *out);

/* Parses a time as log lines have it, 2026-01-01T00:00:00.000Z, into Unix time in ms. */
bool explain_parse_time(const char *text, int64_t *ms);

#endif
