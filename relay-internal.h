/*
 * State shared by the parts of the relay: relay.c (follower), relay-reader.c (reader) and
 * credit/relay-credit.c (messages of credits).
 */
#ifndef RELAY_INTERNAL_H
#define RELAY_INTERNAL_H

#include "decision.h"
#include "relay.h"
#include "timeutil.h"
#include "view.h"

/*
 * A follower that receives nothing for RELAY_READER_TIMEOUT_MS watches the store itself. The
 * timeout is two and a half heartbeats, because one datagram in 700 is lost. Including the store's
 * answer the switch takes at most 1.5 s, half of the shortest bound on configurations and drains,
 * which is 3 s.
 */
#define RELAY_HEARTBEAT_INTERVAL_MS 500
#define RELAY_READER_TIMEOUT_MS	    1250

/* Authenticated channel of one side of the relay: a peer, its transport and its handler. */
struct relay_channel {
	struct peer_transport transport; /* first member */
	struct peer_handler handler;
	struct relay *relay;
	struct peer *peer; /* NULL while the channel is closed */
};

struct follower {
	uint32_t id; /* IPv4 address */
	uint64_t session;
	struct store_version sent_revision; /* all changes up to it have been sent */
	struct timespec last_request;	    /* time of the latest request */
	unsigned int nr_requests;	    /* requests since the latest heartbeat */
	bool pages_pending;		    /* still has to request pages of the current series */
	bool awaits_ready;		    /* sent its request before this instance was ready */
};

struct relay {
	struct relay_options opts;
	enum relay_role role;
	struct counters counters;
	struct timespec now; /* time of the event being handled */
	bool stopping;
	struct timespec process_resumed; /* end of the latest suspension of the process */

	/* Follower. */
	struct relay_channel to_reader;
	struct reader_entry reader;	    /* the reader that is joined or followed */
	struct store_version left_revision; /* of the entry of the reader left last */
	uint64_t session;
	struct view_progress progress;
	struct timespec started;
	struct timespec join_started; /* time of the first request to the reader */
	int64_t era;		      /* of the store, when the own entry was checked last */
	struct timespec behind_since; /* the reader's pages are behind; 0 while they are not */
	struct timespec last_page;    /* time of the latest page that continues the known data */
	struct timespec last_request; /* time of the latest request */
	struct timespec next_request;
	struct timespec next_lookup; /* 0 while no lookup is due */
	bool lookup_pending;
	bool lookup_fresh;	/* a claim has just failed, so a cached entry may be outdated */
	bool lookup_done;	/* the first lookup of the reader has ended */
	bool upstream_paused;	/* the store is not watched */
	bool reader_store_lost; /* the reader has lost the store */
	struct timespec reader_store_lost_since;
	struct timespec next_store_probe; /* of the store, while the reader has lost it */
	uint32_t store_probe_interval_ms; /* interval of these probes */

	/* Reader. */
	struct relay_channel to_followers;
	struct reader_entry own_entry; /* as registered, or as written by the pending claim */
	bool claim_pending;
	struct timespec no_follower_since; /* or since the latest check of the entry */
	GHashTable *followers;		   /* id to struct follower */
	struct timespec next_heartbeat;
	uint32_t sent_flags;
	uint64_t sent_config_version;
	uint64_t sent_withdrawals;

	/* Credits. */
	struct exchange *exchange; /* NULL without credits */
	struct exchange_out exchange_out;
	GPtrArray *lenders; /* struct relay_lender */
};

void relay_channel_open(struct relay *relay, struct relay_channel *chan,
			const struct peer_handler_ops *ops, const uint8_t key[PEER_KEY_BYTES]);
void relay_channel_close(struct relay_channel *chan);
/*
 * Sends @msg, or logs and counts why it cannot be sent. Returns 0, -EMSGSIZE if it cannot be
 * encoded or its datagram would be longer than instances receive, or an error of peer_send().
 */
int relay_send(struct relay_channel *chan, uint32_t dst, const peer_msg *msg);
/* Does nothing: the relay makes no peer calls, so there are no results. */
void relay_no_result(struct peer_handler *handler, uint32_t src, uint64_t call_id,
		     enum call_status status, const peer_msg *msg);
/* All instances of a fleet receive messages on the same port, so @id is enough. */
bool relay_endpoint(struct peer_handler *handler, uint32_t id, struct endpoint *ep);
/* Whether data from before the latest suspension of the process has been confirmed since. */
bool relay_is_confirmed(const struct relay *relay);
void relay_set_role(struct relay *relay, enum relay_role role, const char *why);

/* Functions for a store that was restored from an older copy, in relay-era.c. */
/*
 * Whether the entry that the store shows, NULL for none, is from before this reader was registered.
 * One that was written after the restore is not: its instance is the reader.
 */
bool relay_entry_is_older(const struct relay *relay, const struct reader_entry *entry);
/*
 * Registers this reader with its key in place of an older entry, NULL for none; its followers are
 * kept. Returns whether the claim was started.
 */
bool relay_claim_again(struct relay *relay, const struct reader_entry *entry);
/* Whether the store was restored since the last call, so that a reader must check its entry. */
bool relay_entry_may_be_lost(struct relay *relay);

/* Functions of the reader, in relay-reader.c. */
extern const struct peer_handler_ops relay_reader_ops;
/* Sends changes to the followers; with @heartbeat, a page even if nothing has changed. */
void relay_reader_send_updates(struct relay *relay, bool heartbeat);
void relay_reader_timer(struct relay *relay);

/* Credits, in credit/relay-credit.c; these functions do nothing without credits. */
void relay_credit_init(struct relay *relay);
void relay_credit_release(struct relay *relay);
/* The role has changed. */
void relay_credit_set_role(struct relay *relay);
void relay_credit_message(struct relay *relay, uint32_t src, const peer_msg *msg);
/* The channel to the reader of another data centre that a datagram from it uses, or NULL. */
struct relay_channel *relay_credit_channel(const struct relay *relay, struct endpoint src,
					   const uint8_t *bytes, size_t len);

#endif
