/*
 * The shards that this instance is home of, and its view of the others: phases of a change, pins,
 * hand-over, recovery, completeness. docs/design.md has the rules.
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

/* Follow changes of the configuration, of the members and of the eligible targets; drive phases. */
void homes_config_changed(struct homes *homes, struct ctx *ctx);
void homes_timer(struct homes *homes, struct ctx *ctx);
/* The process slept longer than the routing lease: give up all shards and resync. */
void homes_step_down(struct homes *homes, struct ctx *ctx);
/* Planned stop: hands all shards over. */
void homes_leave(struct homes *homes, struct ctx *ctx);
bool homes_left(const struct homes *homes);

/* Messages of types ANNOUNCE, PULL, STATE, PASS, PIN_BATCH, ANSWER_NOTE, FLOW_QUERY. */
void homes_peer(struct homes *homes, struct ctx *ctx, uint32_t src, uint32_t xid,
		const peer_msg *msg);
void homes_reply(struct homes *homes, struct ctx *ctx, uint32_t src, uint64_t call_id,
		 enum call_status status, const peer_msg *msg);

/* Packets; the decision itself is in route.c. */
void homes_packet(struct homes *homes, struct ctx *ctx, struct service *svc, uint64_t hash,
		  const struct packet *pkt);
void homes_answer(struct homes *homes, struct ctx *ctx, struct service *svc, uint64_t hash,
		  const struct answer *ans);

/* For status and tests. */
struct homes_status {
	uint32_t homed;	    /* shards homed here */
	uint32_t uncertain; /* of these, shards that may not eliminate */
	uint32_t shared;    /* buckets in mode SHARED, of all known */
	uint32_t pins;
	uint32_t parked; /* packets that wait for a home's answer */
};
void homes_get_status(const struct homes *homes, struct homes_status *st);

#endif
