/* Probes of targets: opens a TCP connection and closes it at once. */
#ifndef CONNPROBE_H
#define CONNPROBE_H

#include <libwebsockets.h>

#include "steer.h"

struct connprobes;

typedef void (*connprobe_fn)(void *arg, const char *id, enum probe_result result);

/* Returns NULL when libwebsockets cannot create a vhost. */
struct connprobes *connprobes_new(struct lws_context *context, uint32_t timeout_ms, connprobe_fn fn,
				  void *arg);
void connprobes_free(struct connprobes *probes);
/* Reports the result for target @id from the event loop, never from within this call. */
void connprobe_start(struct connprobes *probes, const char *id, struct endpoint ep);

#endif
