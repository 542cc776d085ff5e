/*
 * Snapshots of the control state over HTTP: serves this instance's own, and reads those of the
 * seeds while it starts without the store.
 */
#ifndef EDGE_SNAPSHOT_H
#define EDGE_SNAPSHOT_H

#include <libwebsockets.h>

#include "beliefs.h"
#include "edge-settings.h"
#include "timeutil.h"

struct edge_snapshot;

struct edge_snapshot_options {
	const struct edge_settings *set;
	struct lws_context *context;
	struct control_state *control_state;
	struct clock *clock;
	struct random *random;
	/* Whether the instance places openings, so that its control state is of use to others. */
	bool (*ready)(void *arg);
	/* A seed has answered: edge_snapshot_timer() may be due. */
	void (*answered)(void *arg);
	void *arg;
};

/* Returns 0 and *res, or a negative errno. */
int edge_snapshot_new(const struct edge_snapshot_options *opts, struct edge_snapshot **res);
/* To be called before the context is destroyed. */
void edge_snapshot_free(struct edge_snapshot *es);

/* The page of http_serve() that other instances read; @arg is a struct edge_snapshot. */
unsigned int edge_snapshot_page(void *arg, const char *path, GString *body, const char **type);

/* Asks seeds that are due. Returns whether a snapshot has been applied, now or earlier. */
bool edge_snapshot_timer(struct edge_snapshot *es, struct timespec now);
int64_t edge_snapshot_due_ms(const struct edge_snapshot *es, struct timespec now);

#endif
