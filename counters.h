/* The counters of one instance. Each name is also that of the metric and of the status field. */
#ifndef COUNTERS_H
#define COUNTERS_H

#include <stdint.h>

/* X(name, help), one line per counter. */
#define COUNTER_LIST(X)                                                                            \
	X(packets_in, "packets received from callers")                                             \
	X(answers_in, "packets received from targets")                                             \
	X(forwarded, "packets forwarded to targets")                                               \
	X(answered, "packets handed to callers")                                                   \
	X(passed_on, "packets passed on to the home of their shard")                               \
	X(refused, "openings refused")                                                             \
	X(retried, "openings tried on another target")                                             \
	X(shed, "openings refused by a target")                                                    \
	X(drop_malformed, "packets dropped: malformed or truncated")                               \
	X(drop_fragment, "packets dropped: fragments")                                             \
	X(drop_no_service, "packets dropped: unknown service address")                             \
	X(drop_foreign, "packets dropped: target or service of another organisation")              \
	X(drop_unknown_flow, "packets dropped: no target known for an existing flow")              \
	X(drop_no_target, "packets dropped: no usable target")                                     \
	X(drop_withdrawn, "packets dropped: target's data centre withdrawn")                       \
	X(drop_deadline, "packets dropped: deadline passed")                                       \
	X(drop_crossed, "answers dropped: flow belongs to another target")                         \
	X(drop_no_config, "packets dropped: no configuration yet")                                 \
	X(drop_quota, "packets dropped: organisation's quota used up")                             \
	X(peer_in, "peer messages accepted")                                                       \
	X(peer_out, "peer messages sent")                                                          \
	X(peer_bytes_in, "control bytes received from peers")                                      \
	X(peer_bytes_out, "control bytes sent to peers")                                           \
	X(peer_unsent, "peer messages not sent: too long, or receiver's address unknown")          \
	X(peer_bad, "peer messages dropped: malformed, truncated or oversized")                    \
	X(peer_unauthentic, "peer messages dropped: seal does not verify")                         \
	X(peer_replayed, "peer messages dropped: replayed")                                        \
	X(peer_stale_term, "peer messages ignored: old term")                                      \
	X(peer_timeout, "peer calls without an answer")                                            \
	X(flips, "buckets that became shared")                                                     \
	X(settles, "buckets that became single again")                                             \
	X(pins, "flows pinned to a target other than the base of their bucket")                    \
	X(recoveries, "shards taken over from a lost home")                                        \
	X(handovers, "shards handed over in a planned leave")                                      \
	X(step_downs, "times the instance gave up its shards after a pause")                       \
	X(terminated, "flows ended by a reset without a claim")                                    \
	X(drop_uncertain, "packets dropped: home unknown, uncertain or recovering")                \
	X(drop_parked, "packets dropped: no room to wait or no answer in time")                    \
	X(silent_flows, "flows ended because their answers stopped")                               \
	X(cache_evicted, "flows dropped from the flow cache for space")                            \
	X(config_accepted, "configuration objects accepted")                                       \
	X(config_rejected, "configuration objects rejected")                                       \
	X(platform_calls, "calls to the platform's object API")                                    \
	X(platform_errors, "platform calls that failed or timed out")                              \
	X(watch_replaced, "watches replaced after silence")                                        \
	X(probes, "health probes of targets")                                                      \
	X(probe_failures, "health probes that failed")                                             \
	X(cold_starts, "cold starts of targets detected")

struct counters {
#define COUNTER_FIELD(name, help) uint64_t name;
	COUNTER_LIST(COUNTER_FIELD)
#undef COUNTER_FIELD
};

#endif
