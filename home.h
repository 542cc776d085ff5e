/*
 * The shards that this instance is home of, and its copy of the others: changes of buckets in two
 * phases, pins, hand-over, recovery, completeness of the flow table. docs/design.md has the rules.
 */
#ifndef HOME_H
#define HOME_H

#include "bucket.h"
#include "config.h"
#include "ctx.h"
#include "flowtab.h"
#include "member.h"
#include "target.h"

struct homes;

struct homes_deps {
	const struct config *cfg;
	struct members *mem;
	struct targets *tgs;
	struct flowtab *tab;
};

struct homes *homes_new(const struct homes_deps *deps);
void homes_free(struct homes *homes);

/* Apply changes of the configuration, the members and the eligible targets. */
void homes_config_changed(struct homes *homes, struct ctx *ctx);
void homes_timer(struct homes *homes, struct ctx *ctx);
/* The process was suspended for longer than the routing lease: gives up all shards and resyncs. */
void homes_step_down(struct homes *homes, struct ctx *ctx);
/* Planned stop: hands all shards over; homes_left() returns true once that is done. */
void homes_leave(struct homes *homes, struct ctx *ctx);
bool homes_left(const struct homes *homes);

/* Messages of types ANNOUNCE, PULL, STATE, PASS, PIN_BATCH, ANSWER_NOTE, FLOW_QUERY. */
void homes_peer(struct homes *homes, struct ctx *ctx, uint32_t src, uint32_t xid,
		const peer_msg *msg);
void homes_reply(struct homes *homes, struct ctx *ctx, uint32_t src, uint64_t call_id,
		 enum call_status status, const peer_msg *msg);

/* Packets of callers and answers of targets; route.c decides on them. */
void homes_packet(struct homes *homes, struct ctx *ctx, struct service *svc, uint64_t hash,
		  const struct packet *pkt);
void homes_answer(struct homes *homes, struct ctx *ctx, struct service *svc, uint64_t hash,
		  const struct answer *ans);

/* For status and tests. */
struct homes_status {
	uint32_t homed;	    /* shards whose home is this instance */
	uint32_t uncertain; /* of these, shards whose flow table may be incomplete */
	uint32_t shared;    /* buckets in mode SHARED, of all shards */
	uint32_t pins;
	uint32_t parked; /* packets and answers that wait for a peer's reply */
};
void homes_get_status(const struct homes *homes, struct homes_status *st);

#endif
