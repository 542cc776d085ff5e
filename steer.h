/*
 * Steering by marks: what becomes of each packet of a caller. Both ends of a flow echo the mark
 * that was written into the packets they received last, so an established flow finds its target by
 * the mark in its packets on any instance; what is left to decide is the opening. All state and
 * decisions, no I/O, no clock.
 *
 * An opening goes to one target. If the caller does not go on within verify_ms, the target is
 * verified by a connection, and the opening goes to another one when that fails. It never goes to a
 * second target while the first one is known to be alive: with two acceptances, the mark that the
 * caller holds may be that of the target it has not taken, and another instance would believe it.
 *
 * A target whose flows repeat their data without progress is verified in the same way; when it is
 * dead, its flows are reset, so that callers open again elsewhere.
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
	const char *request; /* id of the request that starts in the data, or NULL */
	size_t request_len;
};

/* The two addresses that name a flow. */
struct flow_addr {
	struct endpoint caller;
	struct endpoint service;
};

enum probe_result {
	PROBE_CONNECTED,
	PROBE_REFUSED,
	PROBE_TIMEOUT,
	PROBE_VOID, /* the process did not run meanwhile: it says nothing */
};

/* Why a flow was reset; in logs and counters. */
enum reset_reason {
	RESET_NO_ROUTE,
	RESET_NO_TARGET,
	RESET_OVERLOADED,
	RESET_ROUTE_WITHDRAWN,
	RESET_TARGET_DEAD,
	RESET_TARGET_GONE,
	RESET_TARGET_REBORN,
};

const char *reset_reason_name(enum reset_reason reason);

struct steer_out;

struct steer_out_ops {
	void (*forward)(struct steer_out *out, const struct reg_target *tgt, uint32_t mark,
			const uint8_t *bytes, size_t size);
	/* @seq is one that the caller expects. */
	void (*reset)(struct steer_out *out, const struct flow_addr *addr, uint32_t seq);
	/* Opens @nr connections to the target; each result comes to steer_probed(). */
	void (*probe)(struct steer_out *out, struct reg_target *tgt, unsigned int nr);
};

/* Carries out what the steering decides. */
struct steer_out {
	const struct steer_out_ops *ops;
};

struct steer_options {
	struct registry *registry;
	struct routing *routing;
	struct placing *placing;
	struct steer_out *out;
	struct edge_counters *counters;
	const struct timespec *targets_heard; /* when the list of targets was last confirmed */
	size_t max_flows;
	uint32_t verify_ms;
	bool resets; /* reset the flows of targets that are dead or gone */
};

struct steer;

struct steer *steer_new(const struct steer_options *opts);
void steer_free(struct steer *st);

void steer_packet(struct steer *st, const struct caller_packet *pkt, struct timespec now);
/* Work that is due: openings to verify, probes, expired flows. */
void steer_timer(struct steer *st, struct timespec now);
/* Milliseconds until steer_timer() has work. */
int64_t steer_due_ms(const struct steer *st, struct timespec now);
void steer_probed(struct steer *st, struct reg_target *tgt, enum probe_result result,
		  struct timespec now);
/* The configuration has changed: ends flows whose route was withdrawn. */
void steer_routes_changed(struct steer *st, struct timespec now);

/* For openings from now on. */
void steer_set_verify(struct steer *st, uint32_t verify_ms);

/* Whether the store answers; without it, nobody tells that an address has another owner. */
void steer_set_store_lost(struct steer *st, bool lost);
/* The first list of targets is complete: each change of a target is logged from now on. */
void steer_set_listed(struct steer *st);

uint32_t steer_flows(const struct steer *st);
const struct histogram *steer_accept_times(const struct steer *st);
/* Age of the list of targets when openings were placed. */
const struct histogram *steer_belief_ages(const struct steer *st);

#endif
