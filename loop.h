/*
 * The loop of an instance: one libwebsockets context, its sockets and timer, and the execution of
 * the core's actions. One thread.
 *
 * Packets to targets leave from the answers socket, so that what a target sends back to the outer
 * source arrives there too. Packets to callers leave from the packets socket for the egress
 * address.
 *
 * A client of the platform or of anything else over TCP gets the context from loop_context(), adds
 * a vhost with its own protocols (port CONTEXT_PORT_NO_LISTEN_SERVER) and hands its findings to
 * the core with loop_post().
 */
#ifndef LOOP_H
#define LOOP_H

#include <libwebsockets.h>

#include "core.h"
#include "httpserve.h"
#include "peer.h"
#include "settings.h"

/* A planned stop that has not finished by then ends anyway, as after a kill. */
#define STOP_DEADLINE_MS 30000

#define WATCHER_IDLE_MS 1000

struct loop;
struct watcher;

struct watcher_ops {
	/* ACTION_WATCH: start or stop watching the platform's objects and its list of instances. */
	void (*watch)(struct watcher *watcher, bool on);
	/* The instance begins a planned stop or, with @gone, has handed over and will exit. */
	void (*leaving)(struct watcher *watcher, bool gone);
	/* Whether no call is under way; an exit waits for it for at most WATCHER_IDLE_MS. */
	bool (*idle)(struct watcher *watcher);
};

/* The platform client as the loop sees it. */
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

/* Serves until a stop is complete. Returns 0, or -ETIMEDOUT when STOP_DEADLINE_MS ran out. */
int loop_run(struct loop *loop);
/* One round: waits for at most a timer interval. Returns false when the stop is complete. */
bool loop_serve(struct loop *loop);
/* Begins a planned stop. */
void loop_stop(struct loop *loop);
/* Lets SIGTERM and SIGINT begin a planned stop. Returns 0, or a negative errno. */
int loop_catch_signals(struct loop *loop);

/* Gives an event to the core and executes the actions. What it points to is used only now. */
void loop_post(struct loop *loop, const struct event *ev);
/* The time for events. */
struct timespec loop_now(struct loop *loop);

/* @watcher may be NULL. */
void loop_set_watcher(struct loop *loop, struct watcher *watcher);

struct lws_context *loop_context(struct loop *loop);
struct core *loop_core(struct loop *loop);
const struct settings *loop_settings(const struct loop *loop);
/* Where the pages of the admin address are kept for as long as the loop. */
struct http_pages *loop_admin_pages(struct loop *loop);

/* For metrics and status. */
struct loop_status {
	bool leaving;
	bool platform_reachable;
	uint64_t lost_packets; /* not taken by the kernel for sending */
	size_t calls_open;
	const struct peer_traffic *traffic;
	struct timespec start;
};
void loop_get_status(const struct loop *loop, struct loop_status *st);

#endif
