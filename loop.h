/*
 * The event loop of an instance: one libwebsockets context, its sockets and timer, and the
 * execution of the core's actions. Single-threaded.
 *
 * Packets to targets are sent from the answers socket, so that a target's reply to the outer source
 * address arrives on the same socket. Packets to callers are sent from the packets socket to the
 * egress address.
 *
 * A TCP client, such as that of the platform, gets the context from loop_context(), adds a vhost
 * with its own protocols (port CONTEXT_PORT_NO_LISTEN_SERVER) and passes its results to the core
 * with loop_post().
 */
#ifndef LOOP_H
#define LOOP_H

#include <libwebsockets.h>

#include "core.h"
#include "httpserve.h"
#include "peer.h"
#include "settings.h"

/* After this time, an unfinished planned stop is abandoned and the instance exits as if killed. */
#define STOP_TIMEOUT_MS 30000

/* How long an exit waits for a platform call in progress. */
#define WATCHER_IDLE_TIMEOUT_MS 1000

struct loop;
struct watcher;

struct watcher_ops {
	/* ACTION_WATCH: start or stop watching the platform's objects and its list of instances. */
	void (*watch)(struct watcher *watcher, bool on);
	/* The instance begins a planned stop or, with @gone, has handed over its shards and exits.
	 */
	void (*leaving)(struct watcher *watcher, bool gone);
	/* Whether no platform call is in progress. */
	bool (*idle)(struct watcher *watcher);
};

/* Interface of the platform client to the loop. */
struct watcher {
	const struct watcher_ops *ops;
};

struct loop_options {
	const struct settings *set;
	struct clock *clock;
	struct random *random;
	uint32_t incarnation; /* higher than that of any earlier process of the instance */
};

/* Opens the sockets and creates the core. Returns 0 and *res, or a negative errno. */
int loop_new(const struct loop_options *opts, struct loop **res);
void loop_free(struct loop *loop);

/* Runs until a planned stop is complete. Returns 0, or -ETIMEDOUT after STOP_TIMEOUT_MS. */
int loop_run(struct loop *loop);
/*
 * One iteration: waits for at most a timer interval. Returns false when a planned stop is complete
 * or has timed out.
 */
bool loop_serve(struct loop *loop);
/* Begins a planned stop. */
void loop_stop(struct loop *loop);
/* Makes SIGTERM and SIGINT begin a planned stop. Returns 0, or a negative errno. */
int loop_catch_signals(struct loop *loop);

/* Passes an event to the core and executes the actions. Pointers in @ev are not kept. */
void loop_post(struct loop *loop, const struct event *ev);
/* The current time, for struct event. */
struct timespec loop_now(struct loop *loop);

/* @watcher may be NULL. */
void loop_set_watcher(struct loop *loop, struct watcher *watcher);

struct lws_context *loop_context(struct loop *loop);
struct core *loop_core(struct loop *loop);
const struct settings *loop_settings(const struct loop *loop);
/* The HTTP pages of the admin address; valid as long as the loop. */
struct http_pages *loop_admin_pages(struct loop *loop);

/* For metrics and status. */
struct loop_status {
	bool leaving;
	bool platform_reachable;
	uint64_t lost_packets; /* that the kernel did not accept for sending */
	size_t calls_open;
	const struct peer_traffic *traffic;
	struct timespec start;
};
void loop_get_status(const struct loop *loop, struct loop_status *st);

#endif
