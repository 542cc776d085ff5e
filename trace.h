/*
 * Recorded traces: a text format with the fleet, its services and targets, and timed lines.
 * docs/traces.md describes it. The parser checks verbs and options; replay-lines.c applies them.
 */
#ifndef TRACE_H
#define TRACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define TRACE_VERSION 1

enum trace_verb {
	/* the fleet */
	TRACE_DC,
	TRACE_SERVICE,
	TRACE_TARGETS,
	TRACE_NET,
	TRACE_END,
	TRACE_MEASURE,
	/* timed */
	TRACE_OPEN,
	TRACE_KILL,
	TRACE_PAUSE,
	TRACE_RESUME,
	TRACE_START,
	TRACE_LEAVE,
	TRACE_ROLL,
	TRACE_DRAIN,
	TRACE_ADD,
	TRACE_DIE,
	TRACE_COLD,
	TRACE_SILENT,
	TRACE_SHED,
	TRACE_REPORT,
	TRACE_CROSS,
	TRACE_CUT,
	TRACE_HEAL,
	TRACE_PLATFORM,
	TRACE_WITHDRAW,
	TRACE_RESTORE,
	TRACE_CHANGE,
	TRACE_LINK,
	TRACE_SHOW,
	TRACE_NR_VERBS,
};

struct trace_line {
	unsigned int number;
	int64_t at_ms; /* 0 for lines about the fleet */
	enum trace_verb verb;
	const char *arg[2]; /* positional, "" when not given */
	char **words;	    /* of the whole line, owned; arg points into it */
};

struct trace {
	GArray *lines; /* struct trace_line, in the order of the file */
};

/*
 * Parses @text and adds its lines to @trace, which is zeroed before the first call; a fleet may
 * have a file of its own. Returns 0, or -EINVAL with a line for each fault added to @faults; @path
 * is the name of @text there.
 */
int trace_parse(struct trace *trace, const char *text, const char *path, GString *faults);
void trace_release(struct trace *trace);

/* Value of "key=NUMBER", or @def without it; trace_parse() has checked the number. */
int64_t trace_number(const struct trace_line *line, const char *key, int64_t def);
/* Value of "key=TEXT", or @def without it. */
const char *trace_text(const struct trace_line *line, const char *key, const char *def);
const char *trace_verb_name(enum trace_verb verb);

#endif
