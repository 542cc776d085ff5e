/*
 * Event loop of an edge instance, which forwards packets by their flow marks: one libwebsockets
 * loop on one thread with the packet socket, the HTTP pages for readiness checks and metrics,
 * probes of targets and a timer. Decisions are made by steer.c and beliefs.c; the store's client
 * reports to edge_control_state().
 */
#ifndef EDGE_H
#define EDGE_H

#include <libwebsockets.h>

#include "beliefs.h"
#include "edge-settings.h"
#include "relay.h"
#include "wire.h"

struct edge;

struct edge_options {
	struct edge_settings *set; /* a reload may change the tunables */
	const char *settings_path;
	struct clock *clock;
	struct random *random;
	uint32_t incarnation; /* increases with each start */
	const struct wire *wire;
};

/* Opens the sockets. Returns 0 and *res, or a negative errno. */
int edge_new(const struct edge_options *opts, struct edge **res);
void edge_free(struct edge *edge);

/* Begins to read the store, directly or through the relay. */
void edge_start(struct edge *edge, struct upstream *upstream);
/* Runs the event loop until a planned stop is complete. */
void edge_run(struct edge *edge);

struct lws_context *edge_context(struct edge *edge);
struct control_state *edge_control_state(struct edge *edge);
/* NULL if the instance reads the store without the relay. */
struct relay *edge_relay(struct edge *edge);
/* Store data has changed: sends it to followers, and handles held packets that it decides. */
void edge_control_state_changed(struct edge *edge);

#endif
