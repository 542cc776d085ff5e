/* Metrics of an instance that steers by marks, in the text exposition format. */
#ifndef EDGE_METRICS_H
#define EDGE_METRICS_H

#include "beliefs.h"
#include "relay.h"

struct edge_view {
	struct control_state *control_state;
	const struct relay *relay; /* NULL when the instance reads the store alone */
	const struct histogram *loop_delays;
	struct timespec now;
	struct timespec started;
	bool stopping;
};

void edge_metrics_write(GString *out, const struct edge_view *view);

#endif
