/*
 * What an instance shows of itself: metrics in the text exposition format and the status document.
 * Reads the modules of the core, changes nothing.
 */
#ifndef METRICS_H
#define METRICS_H

#include <glib.h>

#include "core.h"
#include "peer.h"

#define METRICS_PREFIX "jujubestage_"

/* What the adapters know besides the core. */
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
	uint64_t lost_packets; /* not taken by the kernel for sending */
	size_t calls_open;
	const struct peer_traffic *traffic;
};

/* Appends one metric of @type (counter or gauge) with its help and value. */
void metrics_add(GString *out, const char *name, const char *type, const char *help,
		 uint64_t value);
/* Appends the value of a label: backslashes, quotes and line ends escaped. */
void metrics_add_label(GString *out, const char *name, const char *value);
/* Appends every counter of the list. */
void metrics_add_counters(GString *out, const struct counters *cnt);
const char *message_type_name(unsigned int type);

/* The whole /metrics page. */
void metrics_write(GString *out, const struct instance_view *view);

/* NULL when the instance serves, else why it does not; for /healthz. */
const char *metrics_unhealthy(const struct instance_view *view);

#endif
