/* Counters of an instance that steers by marks; each is exported as a metric. */
#ifndef EDGE_COUNTERS_H
#define EDGE_COUNTERS_H

#include <stdint.h>

#define EDGE_COUNTER_LIST(X)                                                                       \
	X(packets, "packets of callers received")                                                  \
	X(packets_malformed, "datagrams that are no packet")                                       \
	X(packets_forwarded, "packets sent to targets")                                            \
	X(packets_dropped, "packets that led to no target and were dropped")                       \
	X(marks_unknown, "packets whose mark names no known target")                               \
	X(openings, "openings of callers, without their copies")                                   \
	X(opening_copies, "copies of openings sent by callers")                                    \
	X(openings_moved, "openings sent to a further target after the first one failed")          \
	X(openings_unanswered, "openings that ended without an acceptance seen here")              \
	X(flows_accepted, "flows whose acceptance was seen here")                                  \
	X(flows_adopted, "flows that another instance had opened")                                 \
	X(flows_closed, "flows ended by their callers")                                            \
	X(flows_expired, "flows forgotten after the idle timeout")                                 \
	X(flows_untracked, "openings placed without an entry because the flow table is full")      \
	X(refused_no_route, "openings reset because no route has their address")                   \
	X(refused_no_target, "openings reset because no target may take them")                     \
	X(refused_overloaded, "openings reset because the target would answer too late")           \
	X(resets_route_withdrawn, "flows reset because their route was withdrawn")                 \
	X(resets_target_dead, "flows reset because their target was found dead")                   \
	X(resets_target_gone, "flows reset because their target is not listed any more")           \
	X(resets_target_reborn, "flows reset because their target has restarted")                  \
	X(targets_suspected, "suspicions of targets")                                              \
	X(targets_cleared, "suspicions that a sign of life ended")                                 \
	X(targets_dead, "targets found dead")                                                      \
	X(probes, "connections opened to verify a target")                                         \
	X(store_calls, "calls to the platform's store")                                            \
	X(store_errors, "calls to the platform's store that failed")                               \
	X(entries_malformed, "entries of the store that could not be used")                        \
	X(send_lost, "packets that the kernel did not take for sending")                           \
	X(log_lines, "log lines written")                                                          \
	X(log_lines_limited, "log lines left out to bound the volume")                             \
	X(log_lines_lost, "log lines lost because their reader did not keep up")

struct edge_counters {
#define DECLARE_COUNTER(name, help) uint64_t name;
	EDGE_COUNTER_LIST(DECLARE_COUNTER)
#undef DECLARE_COUNTER
};

#endif
