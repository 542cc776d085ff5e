/*
 * Distributes configuration objects: selects the members that watch the platform, compares the
 * digests in heartbeats, and pulls newer versions from peers of this and of other groups.
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

/* Handles the digest in a heartbeat of @src: if it differs, pulls versions that are newer. */
void confsync_digest(struct confsync *sync, struct ctx *ctx, uint32_t src, uint64_t digest);
/* Handles PEER_CONFIG_DIGEST and PEER_CONFIG_PULL; @xid is 0 for a one-way message. */
void confsync_peer(struct confsync *sync, struct ctx *ctx, uint32_t src, uint32_t xid,
		   const peer_msg *msg);
/* Handles the result of a call. Returns true when an object was applied. */
bool confsync_reply(struct confsync *sync, struct ctx *ctx, uint32_t src, uint64_t call_id,
		    enum call_status status, const peer_msg *msg);
/* Handles an object from the platform's watch. Returns true when it was applied. */
bool confsync_object(struct confsync *sync, struct ctx *ctx, const struct object *obj);
/* Starts and stops the watch, pulls from peers, retries. */
void confsync_timer(struct confsync *sync, struct ctx *ctx);

#endif
