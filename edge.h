/*
 * An instance that steers by marks: one libwebsockets loop on one thread with the socket of
 * packets, the pages for the fabric and for metrics, probes of targets and a timer. Decisions are
 * made by steer.c and beliefs.c; the store's client reports to edge_beliefs().
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
	struct edge_settings *set; /* tunables may change at a reload */
	const char *settings_path;
	struct clock *clock;
	struct random *random;
	uint32_t incarnation; /* higher at each start */
	const struct wire *wire;
};

/* Opens the sockets. Returns 0 and *res, or a negative errno. */
int edge_new(const struct edge_options *opts, struct edge **res);
void edge_free(struct edge *edge);

/* Begins to learn from the store, or from an instance that reads it for others. */
void edge_start(struct edge *edge, struct upstream *upstream);
/* Serves until a planned stop is complete. */
void edge_run(struct edge *edge);

struct lws_context *edge_context(struct edge *edge);
struct control_state *edge_beliefs(struct edge *edge);
/* NULL when the instance reads the store alone. */
struct relay *edge_relay(struct edge *edge);
/* The beliefs have changed: followers are told, and what was held for them is handled. */
void edge_beliefs_changed(struct edge *edge);

#endif
