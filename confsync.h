/*
 * Spread of configuration objects: who watches the platform, digests in heartbeats, pulls from
 * peers of this and of other groups.
 */
#ifndef CONFSYNC_H
#define CONFSYNC_H

#include "config.h"
#include "ctx.h"
#include "member.h"

#define WATCHERS_PER_GROUP 2

struct confsync;

struct confsync *confsync_new(struct config *cfg, struct members *mem);
void confsync_free(struct confsync *sync);

/* A heartbeat of @src named another digest: compare versions and pull what is newer. */
void confsync_digest(struct confsync *sync, struct ctx *ctx, uint32_t src, uint64_t digest);
/* Messages of types CONFIG_DIGEST and CONFIG_PULL. */
void confsync_peer(struct confsync *sync, struct ctx *ctx, uint32_t src, uint32_t xid,
		   const peer_msg *msg);
/* Returns true when an object came into force. */
bool confsync_reply(struct confsync *sync, struct ctx *ctx, uint32_t src, uint64_t call_id,
		    enum call_status status, const peer_msg *msg);
/* An object from the platform's watch. Returns true when it came into force. */
bool confsync_object(struct confsync *sync, struct ctx *ctx, const struct object *obj);
/* Starts and stops the watch, pulls from peers, retries. */
void confsync_timer(struct confsync *sync, struct ctx *ctx);

#endif
