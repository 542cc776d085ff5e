/*
 * Relay of the store's contents within a data centre. One instance, the reader, watches the
 * platform's store and sends changes to the others, its followers, so that the number of store
 * calls does not grow with the fleet.
 *
 * Correctness does not depend on which instance is the reader: each instance keeps the revision up
 * to which its data is complete, and queries the store itself from there when the reader stops,
 * stops sending or loses the store. A wrong reader entry only costs store calls. The reader is
 * registered in the store under the name of its data centre by a conditional write; an instance
 * that finds no reader, or one that does not answer, registers itself. Two readers at once are
 * harmless, because their messages carry the store's revisions.
 *
 * Performs no I/O and reads no clock; the time is passed in.
 */
#ifndef RELAY_H
#define RELAY_H

#include "credit/exchange.h"
#include "peer.h"
#include "upstream.h"

enum relay_role {
	RELAY_ALONE,	 /* watches the store itself */
	RELAY_JOINING,	 /* has sent a request to a reader and waits for its first pages */
	RELAY_FOLLOWING, /* receives the store's changes from a reader */
	RELAY_READING,	 /* watches the store and sends changes to followers */
};

struct relay;

struct relay_out;

struct relay_out_ops {
	void (*send)(struct relay_out *out, struct endpoint dst, const uint8_t *bytes, size_t len);
};

struct relay_out {
	const struct relay_out_ops *ops;
};

struct relay_options {
	struct control_state *control_state;
	struct upstream *upstream;
	struct relay_out *out;
	struct endpoint self; /* where this instance receives messages */
	uint32_t incarnation; /* increases with each start */
	uint32_t memory_mb;   /* memory of the machine, 0 if unknown */
	struct random *random;
	struct credit_account *account; /* NULL: without credits */
	uint32_t credit_interval_ms;
};

struct relay *relay_new(const struct relay_options *opts);
void relay_free(struct relay *relay);

void relay_start(struct relay *relay, struct timespec now);
/* Planned stop: has the followers watch the store themselves. */
void relay_stop(struct relay *relay, struct timespec now);

void relay_receive(struct relay *relay, struct endpoint src, const uint8_t *bytes, size_t len,
		   struct timespec now);
/*
 * The process was suspended, so datagrams that queued meanwhile are stale. Sends a request to the
 * reader, or to the store, at once.
 */
void relay_process_resumed(struct relay *relay, struct timespec now);
/* A store call has been answered or has failed. */
void relay_control_state_changed(struct relay *relay, struct timespec now);
/*
 * Result of the upstream's lookup of the reader. @entry is NULL if none is registered, and has
 * port 0 if it cannot be decoded; @ok is false if the store did not answer.
 */
void relay_lookup_done(struct relay *relay, bool ok, const struct reader_entry *entry,
		       struct timespec now);
/*
 * Result of a claim. @claimed is false if the entry has changed since it was read, or if the store
 * did not answer.
 */
void relay_claim_done(struct relay *relay, bool claimed, struct timespec now);

/* Result of the upstream's list of readers. */
void relay_readers_listed(struct relay *relay, const struct exchange_reader *readers, size_t nr,
			  struct timespec now);

void relay_timer(struct relay *relay, struct timespec now);
int64_t relay_due_ms(const struct relay *relay, struct timespec now);

enum relay_role relay_role(const struct relay *relay);
const char *relay_role_name(enum relay_role role);
unsigned int relay_followers(const struct relay *relay);
const struct counters *relay_counters(const struct relay *relay);
/* The exchange of credits; NULL without credits. */
const struct exchange *relay_exchange(const struct relay *relay);

#endif
