/* The status document of an instance: /status.json, read by "jujubestage status". */
#ifndef STATUS_H
#define STATUS_H

#include "metrics.h"

/* Appends the document:
 *
 *	instance {id, name, group, data_centre, uptime_ms, healthy, leaving, platform_reachable},
 *	config {digest, objects [{kind, name, generation}]},
 *	members [{id, state}],
 *	data_centres [{name, withdrawn, generation}],
 *	services [{organisation, name, address, protocol, slo_permille, refused,
 *		targets [{name, address, data_centre, state, load_permille, report_age_ms,
 *		share_permille, flows, good, bad}]}],
 *	flows, shards {homed, uncertain, shared, pins, parked},
 *	drops {REASON: count}, counters {NAME: count}
 */
void status_write(GString *out, const struct instance_view *view);

#endif
