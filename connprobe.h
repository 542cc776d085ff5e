/* Probes of targets by opening a TCP connection, which is closed at once. */
#ifndef CONNPROBE_H
#define CONNPROBE_H

#include <libwebsockets.h>

#include "steer.h"

struct connprobes;

typedef void (*connprobe_fn)(void *arg, const char *id, enum probe_result result);

/* Returns NULL when libwebsockets has no memory. */
struct connprobes *connprobes_new(struct lws_context *context, uint32_t timeout_ms, connprobe_fn fn,
				  void *arg);
void connprobes_free(struct connprobes *probes);
/* The result is reported from the loop, never from inside; @id names the target in it. */
void connprobe_start(struct connprobes *probes, const char *id, struct endpoint ep);

#endif
