/*
 * Forwarding by flow marks: decides which target gets each packet of a caller (client). Both
 * ends of a flow echo the mark of the packet that they received last, so any instance finds the
 * target of an established flow by the mark in its packets; only an opening (SYN) needs a choice.
 * Does no I/O and reads no clock.
 *
 * An opening is sent to one target. If the caller has not continued within verify_ms, probe
 * connections verify the target, and the opening is sent to another one when they fail. It is never
 * sent to a second target while the first is known to be alive: if both accepted it, the caller
 * could echo the mark of the target that it does not use, and another instance would follow that.
 *
 * A target whose flows retransmit data without progress is verified in the same way. The flows of a
 * dead target are reset, so that their callers reconnect to another one.
 */
#ifndef STEER_H
#define STEER_H

#include "edge-counters.h"
#include "histogram.h"
#include "placing.h"
#include "registry.h"
#include "routing.h"

/* A caller's packet, decoded. */
struct caller_packet {
	struct endpoint caller;
	struct endpoint service;
	uint32_t seq;
	uint32_t ack;
	uint32_t mark;
	uint16_t len; /* bytes of data */
	bool syn;
	bool fin;
	bool rst;
	const uint8_t *bytes; /* as received */
	size_t size;
	const char *request; /* id of the request that begins in this packet, or NULL */
	size_t request_len;
};

/* The addresses that identify a flow. */
struct flow_addr {
	struct endpoint caller;
	struct endpoint service;
};

enum probe_result {
	PROBE_CONNECTED,
	PROBE_REFUSED,
	PROBE_TIMEOUT,
	PROBE_INCONCLUSIVE, /* this process was suspended during the probe */
};

/* Why a flow was reset, as given in logs and counters. */
enum reset_reason {
	RESET_NO_ROUTE,
	RESET_NO_TARGET,
	RESET_OVERLOADED,
	RESET_NO_ROOM, /* no credit would be free in time */
	RESET_ROUTE_WITHDRAWN,
	RESET_TARGET_DEAD,
	RESET_TARGET_GONE,
	RESET_TARGET_RESTARTED,
};

const char *reset_reason_name(enum reset_reason reason);

struct steer_out;

struct steer_out_ops {
	void (*forward)(struct steer_out *out, const struct reg_target *tgt, uint32_t mark,
			const uint8_t *bytes, size_t size);
	/* @seq: sequence number that the caller expects next. */
	void (*reset)(struct steer_out *out, const struct flow_addr *addr, uint32_t seq);
	/* Opens @nr connections to the target; each result is passed to steer_probe_done(). */
	void (*probe)(struct steer_out *out, struct reg_target *tgt, unsigned int nr);
};

/* Output interface: sends the packets and probes that are decided here. */
struct steer_out {
	const struct steer_out_ops *ops;
};

struct credit_account;

struct steer_options {
	struct registry *registry;
	struct routing *routing;
	struct placing *placing;
	struct steer_out *out;
	struct edge_counters *counters;
	struct credit_account *credit;		  /* NULL: openings are placed without credits */
	const struct timespec *targets_confirmed; /* when the target list was last confirmed */
	size_t max_flows;
	uint32_t verify_ms;
	bool resets; /* reset the flows of targets that are dead or gone */
};

struct steer;

struct steer *steer_new(const struct steer_options *opts);
void steer_free(struct steer *st);

void steer_packet(struct steer *st, const struct caller_packet *pkt, struct timespec now);
/* Does the work that is due: verifies openings, starts probes, removes expired flows. */
void steer_timer(struct steer *st, struct timespec now);
/* Milliseconds until steer_timer() is due, at least 1. */
int64_t steer_due_ms(const struct steer *st, struct timespec now);
/* One of the connections that steer_out_ops.probe opens has ended. */
void steer_probe_done(struct steer *st, struct reg_target *tgt, enum probe_result result,
		      struct timespec now);
/* The process ends: resets the openings that still wait, which have not run. */
void steer_stop(struct steer *st, struct timespec now);
/* To be called after a change of the configuration: resets flows whose route was withdrawn. */
void steer_routes_changed(struct steer *st, struct timespec now);

/* To be called after a grant of credits has arrived or has ended: places waiting openings. */
void steer_credits_changed(struct steer *st, struct timespec now);

/* Sets the delay after which an unaccepted opening is verified; applies to new openings. */
void steer_set_verify_ms(struct steer *st, uint32_t verify_ms);

/*
 * Whether the platform's store is unreachable. Without it, an instance does not learn that an
 * address now belongs to another target.
 */
void steer_set_store_lost(struct steer *st, bool lost);
/* The first list of targets is complete: changes of targets are logged from now on. */
void steer_log_target_changes(struct steer *st);

uint32_t steer_flow_count(const struct steer *st);
/* Openings that wait for a usable target. */
uint32_t steer_waiting_count(const struct steer *st);
const struct histogram *steer_accept_times(const struct steer *st);
/* Age of the list of targets at each opening. */
const struct histogram *steer_target_list_ages(const struct steer *st);

#endif
