/*
 * Log lines of decisions: key=value pairs, one line each, rate-limited for each kind. Suppressed
 * lines are counted; the next line of that kind gives their number.
 */
#ifndef DECISION_H
#define DECISION_H

#include <glib.h>
#include <time.h>

#include "edge-counters.h"
#include "steer.h"

enum decision_kind {
	DECISION_OPEN,	  /* an opening was placed */
	DECISION_WAIT,	  /* an opening waits because no target can take it */
	DECISION_ACCEPT,  /* a target accepted an opening */
	DECISION_REFUSE,  /* an opening, or a packet of an unknown flow, was reset */
	DECISION_ADOPT,	  /* a flow of another instance, or without an entry here, was added */
	DECISION_STALL,	  /* data of a flow was retransmitted without an answer */
	DECISION_RESET,	  /* a known flow was reset */
	DECISION_DROP,	  /* a packet without a known target was dropped */
	DECISION_TARGET,  /* the known state of a target has changed */
	DECISION_CONFIG,  /* a configuration or withdrawal was applied */
	DECISION_STORE,	  /* the store became unreachable or reachable, or an entry is malformed */
	DECISION_PROCESS, /* start, stop, reload */
	DECISION_CREDIT,  /* credits: a service takes part, a target is left out, lending */
	DECISION_KINDS,
};

/* Sets the counters of lines written, suppressed and lost. Nothing is logged without them. */
void decision_init(struct edge_counters *counters);

/* Whether decision_log() would write a line, for figures that are costly to find. */
bool decision_is_logged(enum decision_kind kind, struct timespec now);
/* Writes a line unless the rate limit of the kind is exceeded at @now. */
void decision_log(enum decision_kind kind, struct timespec now, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

#define FLOW_TEXT_LEN 48 /* "198.51.100.200:65535>198.51.100.200:65535" and a NUL */
/* The id of a flow in logs: caller and service address. */
const char *flow_text(const struct flow_addr *addr, char text[FLOW_TEXT_LEN]);

#endif
