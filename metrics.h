/*
 * Metrics of an instance in the text exposition format, and its health. Reads the state of the core
 * without changing it.
 */
#ifndef METRICS_H
#define METRICS_H

#include <glib.h>

#include "core.h"
#include "peer.h"

#define METRICS_PREFIX "jujubestage_"

/* Input for metrics and status: the core, and state that is kept outside it. */
struct instance_view {
	struct core *core;
	uint32_t id;
	const char *name;
	const char *group;
	const char *data_centre;
	struct timespec now;
	struct timespec start;
	bool leaving;
	bool platform_reachable;
	uint64_t lost_packets; /* that the kernel did not accept for sending */
	size_t calls_open;
	const struct peer_traffic *traffic;
};

/* Appends one metric of @type (counter or gauge) with its help and value. */
void metrics_add(GString *out, const char *name, const char *type, const char *help,
		 uint64_t value);
/* Appends a label as name="value", with backslashes, quotes and newlines escaped. */
void metrics_add_label(GString *out, const char *name, const char *value);
/* Appends all counters of COUNTER_LIST. */
void metrics_add_counters(GString *out, const struct counters *cnt);
const char *message_type_name(unsigned int type);

/* Appends the whole /metrics page. */
void metrics_write(GString *out, const struct instance_view *view);

/* For /healthz. Returns NULL when the instance is healthy, otherwise the reason. */
const char *metrics_unhealthy_reason(const struct instance_view *view);

#endif
