/* State of configuration spread, shared by confsync.c and confpull.c only. */
#ifndef CONFSYNC_INTERNAL_H
#define CONFSYNC_INTERNAL_H

#include <glib.h>

#include "confsync.h"

/*
 * Each try of a call: some round trips of a group (at most 10 ms) or between regions. A longer
 * time delays the spread of changes where packets are lost.
 */
#define GROUP_TIMEOUT_MS 100
#define OTHER_TIMEOUT_MS 300
#define SYNC_TRIES	 3

/* Bytes of a document in one datagram, which then is not fragmented. */
#define PART_BYTES 1024

struct pull {
	peer_object_kind kind;
	char *name;
	uint64_t generation;
	uint32_t origin;   /* who named this version */
	uint32_t peer;	   /* who is asked now */
	uint32_t failures; /* in a row */
	bool started;
	bool proven;		 /* the peer has given a part */
	struct timespec good_at; /* last part, or switch to another peer */
	uint8_t signature[64];
	GByteArray *document; /* of the whole length once that is known */
	GByteArray *parts;    /* enum part_state for each */
	uint32_t parts_left;
	uint32_t next_part;
	uint32_t under_way; /* calls */
};

struct sync_call {
	struct pull *pull; /* NULL for a digest exchange */
	uint32_t peer;
	uint32_t offset;
};

struct exchange {
	bool active;	/* some part is to be asked for or worked on */
	bool under_way; /* a call is */
	uint32_t peer;
	uint64_t digest; /* of the peer */
	uint32_t offset;
	uint32_t total;
	bool found; /* something newer than here */
};

#define KNOWN_DIGESTS 16

/* A version that is told to some more members after its first push. */
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
	GHashTable *calls;    /* call id to struct sync_call */
	GPtrArray *pulls;     /* struct pull, grants first */
	GPtrArray *repushes;  /* struct repush */
	GHashTable *waiting;  /* name to struct waiting: organisations without a grant */
	GHashTable *rejected; /* kind/name/generation to the grants under which it was rejected */
	GHashTable *changed;  /* kind/name to the number of its latest change here */
	uint64_t nr_changes;
	struct exchange exchange;
	uint64_t known[KNOWN_DIGESTS]; /* of peers that have nothing newer */
	uint32_t next_known;
	uint32_t mismatch_peer;
	uint64_t mismatch_digest;
	struct timespec mismatch_at; /* when an exchange is due */
	struct timespec next_other;  /* exchange with another group */
	struct timespec started;     /* first timer */
	uint32_t watch_delay_ms;
	bool watching;
};

/* Makes a call that is retried and times out. */
void sync_call(struct confsync *sync, struct ctx *ctx, uint32_t peer, const peer_msg *msg,
	       struct pull *pull, uint32_t offset);
/* Applies an object that arrived whole. Returns true when something came into force. */
bool sync_accept(struct confsync *sync, struct ctx *ctx, const struct object *obj);
/* A pulled object did not verify: it is not pulled again before the grants change. */
void sync_reject(struct confsync *sync, const struct object *obj);
bool sync_rejected(const struct confsync *sync, peer_object_kind kind, const char *name,
		   uint64_t generation);
/* Generation in force or kept for later, 0 for none. */
uint64_t sync_generation(const struct confsync *sync, peer_object_kind kind, const char *name);
/* A random member other than @not, or MEMBER_NONE. */
uint32_t sync_random_member(const struct confsync *sync, struct ctx *ctx, uint32_t not );

/* confpull.c */
/* Fetches the version unless it is old. Returns whether it is wanted. */
bool pull_want(struct confsync *sync, struct ctx *ctx, uint32_t peer,
	       const peer_object_version *version);
void pull_run(struct confsync *sync, struct ctx *ctx);
void pull_reply(struct confsync *sync, struct ctx *ctx, struct pull *pull,
		const struct sync_call *call, enum call_status status, const peer_msg *msg);
/* Answers a PEER_CONFIG_PULL. */
void pull_serve(const struct confsync *sync, struct ctx *ctx, uint32_t src, uint32_t xid,
		const peer_config_pull *want);
void pull_free(gpointer data);

#endif
