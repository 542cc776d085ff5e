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

/*
 * Appends the lines that bear on the request with the id @request, or on flows whose id contains
 * @flow, in order of time, and the causes that they show. Returns false when there are none.
 */
bool explain_write(struct explain *ex, const char *request, const char *flow, GString *out);

#endif
