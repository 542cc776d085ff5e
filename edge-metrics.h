/* Metrics of an edge instance, in the Prometheus text exposition format. */
#ifndef EDGE_METRICS_H
#define EDGE_METRICS_H

#include "beliefs.h"
#include "relay.h"

struct edge_status {
	struct control_state *control_state;
	const struct relay *relay; /* NULL if the instance reads the store without the relay */
	const struct histogram *loop_delays;
	struct timespec now;
	struct timespec started;
	bool stopping;
};

void edge_metrics_write(GString *out, const struct edge_status *status);

#endif
