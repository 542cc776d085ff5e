/* State of configuration distribution, shared by confsync.c and confpull.c only. */
#ifndef CONFSYNC_INTERNAL_H
#define CONFSYNC_INTERNAL_H

#include <glib.h>

#include "confsync.h"

/*
 * Time-out of each attempt of a call: several round trips within a group (at most 10 ms) or
 * between regions. Longer time-outs delay the spread of changes when packets are lost.
 */
#define GROUP_CALL_TIMEOUT_MS	    100
#define OTHER_GROUP_CALL_TIMEOUT_MS 300
#define SYNC_CALL_TRIES		    3

/* Bytes of a document in one message, so that its datagram is not fragmented. */
#define PART_BYTES 1024

struct pull {
	peer_object_kind kind;
	char *name;
	uint64_t generation;
	uint32_t announcer; /* of this version */
	uint32_t peer;	    /* peer that parts are requested from */
	uint32_t failures;  /* consecutive */
	bool started;
	bool peer_has_object;	     /* the peer has returned a part */
	struct timespec progress_at; /* last part received or change of the peer */
	uint8_t signature[64];
	GByteArray *document; /* has its final length once that is known */
	GByteArray *parts;    /* enum part_state for each */
	uint32_t parts_left;
	uint32_t next_part;
	uint32_t in_flight; /* calls */
};

struct sync_call {
	struct pull *pull; /* NULL for a digest exchange */
	uint32_t peer;
	uint32_t offset;
};

struct exchange {
	bool active;	/* parts are still to be requested or processed */
	bool in_flight; /* a request for a part is */
	uint32_t peer;
	uint64_t digest; /* of the peer */
	uint32_t offset;
	uint32_t total;
	bool found; /* the peer has a version newer than the local one */
};

#define OLD_DIGESTS_MAX 16

/* A version to be announced to some more members after its first push. */
struct repush {
	peer_object_kind kind;
	char *name;
	uint64_t generation;
	struct timespec due;
};

struct confsync {
	struct config *cfg;
	struct members *mem;
	uint64_t next_call;
	GHashTable *calls;   /* call id to struct sync_call */
	GPtrArray *pulls;    /* struct pull, grants first */
	GPtrArray *repushes; /* struct repush */
	GHashTable *waiting; /* name to struct waiting: organisations without a grant */
	GHashTable
		*rejected;   /* kind/name/generation to the generation of the grants at that time */
	GHashTable *changed; /* kind/name to the sequence number of its latest local change */
	uint64_t nr_changes;
	struct exchange exchange;
	uint64_t old_digests[OLD_DIGESTS_MAX]; /* of peers that have no newer version */
	uint32_t next_old_digest;
	uint32_t mismatch_peer;
	uint64_t mismatch_digest;
	struct timespec mismatch_at;	  /* when an exchange is due */
	struct timespec next_other_group; /* time of the next exchange with another group */
	struct timespec started;	  /* time of the first timer */
	uint32_t watch_delay_ms;
	bool watching;
};

/* Calls @peer, with retries and a time-out. @pull is NULL for a digest exchange. */
void sync_call(struct confsync *sync, struct ctx *ctx, uint32_t peer, const peer_msg *msg,
	       struct pull *pull, uint32_t offset);
/* Applies a complete object. Returns true when its version is now in use. */
bool sync_accept(struct confsync *sync, struct ctx *ctx, const struct object *obj);
/* Records that a pulled object failed verification: not pulled again until the grants change. */
void sync_reject(struct confsync *sync, const struct object *obj);
bool sync_rejected(const struct confsync *sync, peer_object_kind kind, const char *name,
		   uint64_t generation);
/* Generation of the applied or of the waiting version, whichever is higher; 0 for none. */
uint64_t sync_generation(const struct confsync *sync, peer_object_kind kind, const char *name);
/* A random member other than @exclude, or MEMBER_NONE. */
uint32_t sync_random_member(const struct confsync *sync, struct ctx *ctx, uint32_t exclude);

/* confpull.c */
/* Pulls the version from @peer unless it is old or was rejected. Returns whether it is pulled. */
bool pull_version(struct confsync *sync, struct ctx *ctx, uint32_t peer,
		  const peer_object_version *version);
void pull_run(struct confsync *sync, struct ctx *ctx);
void pull_reply(struct confsync *sync, struct ctx *ctx, struct pull *pull,
		const struct sync_call *call, enum call_status status, const peer_msg *msg);
/* Answers a PEER_CONFIG_PULL. */
void pull_serve(const struct confsync *sync, struct ctx *ctx, uint32_t src, uint32_t xid,
		const peer_config_pull *request);
void pull_free(gpointer data);

#endif
