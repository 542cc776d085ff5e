/* The decision on one packet or answer; the steps are in docs/design.md, "Packet decision". */
#ifndef ROUTE_H
#define ROUTE_H

#include "shard.h"

void route_packet(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		  const struct packet *pkt);
void route_answer(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		  uint32_t target, const struct answer *ans);

/* Sends @pkt to the target of @flow and notes it there. */
void route_forward(struct homes *homes, struct ctx *ctx, struct shard *shard, struct flow *flow,
		   const struct packet *pkt);
/* Forwards a packet of a flow without an entry to the base of its bucket. */
void route_bare(struct homes *homes, struct ctx *ctx, uint32_t target, const struct packet *pkt);
/* Sends a saved opening again, to the target of @flow. */
void route_saved(struct homes *homes, struct ctx *ctx, struct flow *flow,
		 const struct saved_opening *saved);
/* Hands an answer to its caller; @flow may be NULL. */
void route_to_caller(struct homes *homes, struct ctx *ctx, struct flow *flow,
		     const struct answer *ans);
/* Resets the flow at its caller, without a claim that the request was not run. */
void route_terminate(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		     const struct packet *pkt);
void route_refuse(struct homes *homes, struct ctx *ctx, struct shard *shard,
		  const struct packet *pkt);

#endif
