/*
 * Health probes of targets: GET /health over HTTP with a deadline. The answer is a JSON object with
 * ready, start_marker, load_permille and connections.
 */
#ifndef PROBE_H
#define PROBE_H

#include <libwebsockets.h>

#include "event.h"

#define PROBE_DEADLINE_MS    1000
#define PROBE_BODY_MAX_BYTES 4096

struct probes;

/* Called once for each probe. */
typedef void (*probe_done)(void *arg, const struct health_report *rep);

/* Returns NULL when libwebsockets cannot create a vhost. */
struct probes *probes_new(struct lws_context *context, probe_done done, void *arg);
/* Ends all reports; to be called before the context is destroyed. */
void probes_stop(struct probes *probes);
/* To be called after the context has been destroyed. */
void probes_free(struct probes *probes);

/*
 * Starts a probe of @target at its @health address. Does nothing while one is in progress. Reports
 * the target as unreachable at once when the probe cannot be started.
 */
void probe_start(struct probes *probes, struct endpoint target, struct endpoint health);

/* Parses a health document into @rep except rep->target. Returns 0, or -EBADMSG. */
int probe_parse(const char *body, size_t len, struct health_report *rep);

#endif
