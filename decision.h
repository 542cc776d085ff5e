/*
 * Log lines of decisions: key=value pairs, one line each, with a bound on the lines of each kind a
 * second. What is left out is counted and said in the next line of that kind.
 */
#ifndef DECISION_H
#define DECISION_H

#include <glib.h>
#include <time.h>

#include "edge-counters.h"
#include "steer.h"

enum decision_kind {
	DECISION_OPEN,	  /* an opening was placed */
	DECISION_ACCEPT,  /* the caller went on with a target */
	DECISION_REFUSE,  /* an opening was reset */
	DECISION_ADOPT,	  /* a flow that another instance opened, or that was forgotten */
	DECISION_STALL,	  /* data of a flow has had no answer */
	DECISION_RESET,	  /* an established flow was reset */
	DECISION_DROP,	  /* a packet led to no target */
	DECISION_TARGET,  /* what is believed of a target has changed */
	DECISION_CONFIG,  /* a configuration or withdrawal was taken over */
	DECISION_STORE,	  /* the store was lost or regained, or an entry is malformed */
	DECISION_PROCESS, /* start, stop, reload */
	DECISION_KINDS,
};

/* Counters of what is written, lost and left out; NULL until the instance starts. */
void decision_init(struct edge_counters *counters);

/* Writes one line at @now unless the kind has used up its share. */
void decision_log(enum decision_kind kind, struct timespec now, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

#define FLOW_TEXT_LEN 48 /* "198.51.100.200:65535>198.51.100.200:65535" and the closing 0 */
/* The id of a flow in logs: caller and service address. */
const char *flow_text(const struct flow_addr *addr, char text[FLOW_TEXT_LEN]);

#endif
