/* Routes one packet of a caller or answer of a target; see docs/design.md, "Packet decision". */
#ifndef ROUTE_H
#define ROUTE_H

#include "shard.h"

void route_packet(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		  const struct packet *pkt);
void route_answer(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		  uint32_t target, const struct answer *ans);

/* Forwards @pkt to the target of @flow and updates the times and flags of the flow. */
void route_forward(struct homes *homes, struct ctx *ctx, struct shard *shard, struct flow *flow,
		   const struct packet *pkt);
/* Forwards a packet of a flow without an entry; @target is the base of its bucket. */
void route_untracked(struct homes *homes, struct ctx *ctx, uint32_t target,
		     const struct packet *pkt);
/* Sends a saved opening again to the target of @flow, unless its deadline has passed. */
void route_repeat_opening(struct homes *homes, struct ctx *ctx, struct flow *flow,
			  const struct saved_opening *saved);
/* Sends an answer to its caller; @flow may be NULL. */
void route_to_caller(struct homes *homes, struct ctx *ctx, struct flow *flow,
		     const struct answer *ans);
/* Resets the flow at its caller; the target may have run the request. */
void route_terminate(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		     const struct packet *pkt);
/* Refuses an opening for which no target was found. */
void route_refuse(struct homes *homes, struct ctx *ctx, struct shard *shard,
		  const struct packet *pkt);

#endif
