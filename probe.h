/*
 * Health probes and load polls of targets: GET /health over HTTP with a deadline, answered in JSON
 * with ready, start_marker, load_permille and connections.
 */
#ifndef PROBE_H
#define PROBE_H

#include <libwebsockets.h>

#include "event.h"

#define PROBE_DEADLINE_MS 1000
#define PROBE_MAX_BODY	  4096

struct probes;

/* Called once for each probe. */
typedef void (*probe_done)(void *arg, const struct health_report *rep);

/* Returns NULL when the context takes no further vhost. */
struct probes *probes_new(struct lws_context *context, probe_done done, void *arg);
/* Before the context is destroyed: nothing is reported after this. */
void probes_stop(struct probes *probes);
/* Only after the context has been destroyed. */
void probes_free(struct probes *probes);

/*
 * Starts a probe of @target at its @health address. Nothing happens while one is under way. When
 * it cannot start, the report says so at once.
 */
void probe_start(struct probes *probes, struct endpoint target, struct endpoint health);

/* Reads a health document. Returns 0, or -EBADMSG. Leaves rep->target alone. */
int probe_parse(const char *body, size_t len, struct health_report *rep);

#endif
