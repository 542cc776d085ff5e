/* State shared by the two sides of the relay: relay.c (follower) and relay-reader.c. */
#ifndef RELAY_INTERNAL_H
#define RELAY_INTERNAL_H

#include "decision.h"
#include "relay.h"
#include "timeutil.h"
#include "view.h"

/*
 * A follower that hears nothing for RELAY_SILENT_MS asks the store itself: two heartbeats and a
 * half, because one datagram in 700 is lost. With the store's answer that makes at most 1.5 s,
 * half of the shortest bound on configurations and drains (3 s).
 */
#define RELAY_HEARTBEAT_MS 500
#define RELAY_SILENT_MS	   1250

/* One side's sealed channel: a peer, its transport and its handler. */
struct relay_channel {
	struct peer_transport transport; /* first member */
	struct peer_handler handler;
	struct relay *relay;
	struct peer *peer; /* NULL while there is no key */
};

struct follower {
	uint32_t id; /* its IP number */
	uint64_t session;
	int64_t sent; /* revision up to which it was sent everything */
	struct timespec asked;
	unsigned int questions; /* since the latest heartbeat */
	bool asking;		/* has pages of a series to ask for */
	bool waiting;		/* has asked before this instance was ready */
};

struct relay {
	struct relay_options opts;
	enum relay_role role;
	struct counters counters;
	struct timespec now; /* of the event that is being handled */
	bool stopping;
	struct timespec resumed; /* the latest pause of the process has ended */

	/* Follower. */
	struct relay_channel to_reader;
	struct reader_entry reader; /* that this instance asks or follows */
	int64_t gone; /* revision of the entry of a reader that stopped or fell silent */
	uint64_t session;
	struct view_progress progress;
	struct timespec started;
	struct timespec began; /* the first question to the reader */
	struct timespec heard; /* the latest page */
	struct timespec asked; /* the latest question */
	struct timespec next_ask;
	struct timespec next_find; /* 0 while none is due */
	bool finding;
	bool find_fresh; /* a write has just failed: the entry may have changed */
	bool looked;	 /* the first search for a reader has ended */
	bool paused;	 /* the store is not asked */
	bool lost;	 /* the reader has lost the store */
	struct timespec lost_since;
	struct timespec next_probe; /* of the store, while the reader has lost it */
	uint32_t probe_ms;

	/* Reader. */
	struct relay_channel to_followers;
	struct reader_entry own; /* as registered, or as the claim under way would */
	bool claiming;
	struct timespec deserted; /* since when there is no follower */
	GHashTable *followers;	  /* id to struct follower */
	struct timespec next_heartbeat;
	uint32_t told_flags;
	uint64_t told_config;
	uint64_t told_withdrawals;
};

void relay_channel_open(struct relay *relay, struct relay_channel *chan,
			const struct peer_handler_ops *ops, const uint8_t key[PEER_KEY_BYTES]);
void relay_channel_close(struct relay_channel *chan);
void relay_send(struct relay_channel *chan, uint32_t dst, const peer_msg *msg);
/* Nothing is called, so there are no results. */
void relay_no_result(struct peer_handler *handler, uint32_t src, uint64_t call_id,
		     enum call_status status, const peer_msg *msg);
/* Followers' messages come to the same port on all instances of a fleet. */
bool relay_endpoint(struct peer_handler *handler, uint32_t id, struct endpoint *ep);
/* Whether what was known before a pause has been confirmed. */
bool relay_is_confirmed(const struct relay *relay);
void relay_set_role(struct relay *relay, enum relay_role role, const char *why);

/* The reader's side; relay-reader.c. */
extern const struct peer_handler_ops relay_reader_ops;
/* Sends followers what has changed; with a heartbeat even if nothing has. */
void relay_reader_tell(struct relay *relay, bool heartbeat);
void relay_reader_timer(struct relay *relay);

#endif
