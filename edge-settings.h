/* Settings of an edge instance; see proto/edge.schema. */
#ifndef EDGE_SETTINGS_H
#define EDGE_SETTINGS_H

#include <glib.h>

#include "fault.h"
#include "packet.h"
#include "placing.h"

#define EDGE_SEEDS_MAX 8

struct edge_settings {
	GString *name;
	GString *data_centre;
	struct endpoint packets;
	struct endpoint ready;
	GString *ready_path;
	struct endpoint metrics;
	struct endpoint peers; /* port 0: no relay */
	uint32_t memory_mb;
	struct endpoint store;
	struct endpoint snapshot; /* port 0: snapshots are not served */
	struct endpoint seeds[EDGE_SEEDS_MAX];
	size_t nr_seeds;
	uint32_t stop_s;
	uint32_t verify_ms;
	uint32_t confirm_ms;
	enum placing_policy placing;
	uint32_t remote_percent;
	uint32_t cold_gap_ms;
	bool credits;
	uint32_t credit_interval_ms;
	uint32_t watch_pause_ms;
	uint32_t max_flows;
	GString *log_level;
};

void edge_settings_init(struct edge_settings *set);
void edge_settings_release(struct edge_settings *set);

/* Reads @path. Returns 0, or -EINVAL with all faults of the file in @faults. */
int edge_settings_read(struct edge_settings *set, const char *path, struct faults *faults);

#endif
