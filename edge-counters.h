/* Counters of an edge instance; each is exported as a metric. */
#ifndef EDGE_COUNTERS_H
#define EDGE_COUNTERS_H

#include <stdint.h>

#define EDGE_COUNTER_LIST(X)                                                                       \
	X(packets, "packets of callers received")                                                  \
	X(packets_malformed, "datagrams that cannot be decoded")                                   \
	X(packets_forwarded, "packets sent to targets")                                            \
	X(packets_dropped, "packets dropped without being sent to a target")                       \
	X(marks_unknown, "packets whose mark names no known target")                               \
	X(openings, "openings from callers, without retransmissions")                              \
	X(opening_copies, "openings retransmitted by callers")                                     \
	X(openings_moved, "openings sent to another target after the first one failed")            \
	X(openings_waited, "openings that waited for a usable target")                             \
	X(openings_placed_late, "openings sent to a target after they had waited")                 \
	X(openings_waited_credit, "openings that waited for a credit")                             \
	X(openings_placed_credit, "openings sent to a target after they had waited for a credit")  \
	X(openings_unanswered, "openings that ended without an acceptance on this instance")       \
	X(flows_accepted, "flows accepted on this instance")                                       \
	X(flows_adopted, "flows that another instance had opened")                                 \
	X(flows_closed, "flows ended by their callers")                                            \
	X(flows_expired, "flows removed after the idle timeout")                                   \
	X(flows_untracked, "openings placed without a flow entry because the flow table is full")  \
	X(refused_no_route, "openings reset because no route matches their address")               \
	X(refused_no_target, "openings reset because no target is eligible")                       \
	X(refused_overloaded, "openings reset because the target would answer too late")           \
	X(refused_no_room, "openings reset because no credit would be free in time")               \
	X(resets_route_withdrawn, "flows reset because their route was withdrawn")                 \
	X(resets_target_dead, "flows reset because their target was found dead")                   \
	X(resets_target_gone, "flows reset because their target is not listed any more")           \
	X(resets_target_reborn, "flows reset because their target has restarted")                  \
	X(targets_suspected, "targets suspected of having failed")                                 \
	X(targets_cleared, "suspected targets that turned out to be alive")                        \
	X(targets_dead, "targets found dead")                                                      \
	X(requests_overdue, "requests without an answer for much longer than usual")               \
	X(probes, "connections opened to verify a target")                                         \
	X(store_calls, "calls to the platform's store")                                            \
	X(store_errors, "calls to the platform's store that failed")                               \
	X(entries_malformed, "entries of the store that could not be used")                        \
	X(credit_reports_in, "reports of demand received from followers and borrowers")            \
	X(credit_reports_out, "reports of demand sent to readers")                                 \
	X(credit_grants_in, "grants of credits received")                                          \
	X(credit_grants_out, "grants of credits sent")                                             \
	X(credit_dropped, "reports and grants dropped: malformed, repeated or implausible")        \
	X(store_eras, "restores of the store from an older copy that were seen")                   \
	X(entries_kept, "entries kept because those of a restored store are older")                \
	X(entries_reverted, "kept entries that were reverted to the state of a restored store")    \
	X(send_lost, "packets that the kernel did not accept for sending")                         \
	X(log_lines, "log lines written")                                                          \
	X(log_lines_limited, "log lines suppressed by the rate limit")                             \
	X(log_lines_lost, "log lines lost because their reader did not keep up")

struct edge_counters {
#define DECLARE_COUNTER(name, help) uint64_t name;
	EDGE_COUNTER_LIST(DECLARE_COUNTER)
#undef DECLARE_COUNTER
};

#endif
