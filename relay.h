/*
 * Relay of beliefs within a data centre. One instance, the reader, watches the platform's store and
 * tells the others what changes, so that calls on the store do not grow with the fleet.
 *
 * Nothing depends on who reads: each instance keeps the revisions to which it knows everything, and
 * asks the store itself from there as soon as the reader is silent, has lost the store, or stops. A
 * wrong view of who reads costs calls. The reader is registered in the store under the name of its
 * data centre by a conditional write; whoever finds none, or one that does not answer, registers
 * itself. Two readers at once are harmless, because what they tell carries the store's revisions.
 *
 * State and decisions only: no I/O, and the time is passed in.
 */
#ifndef RELAY_H
#define RELAY_H

#include "peer.h"
#include "upstream.h"

enum relay_role {
	RELAY_ALONE,	 /* asks the store itself */
	RELAY_JOINING,	 /* has asked a reader and waits for its first pages */
	RELAY_FOLLOWING, /* is told by a reader */
	RELAY_READING,	 /* asks the store and tells others */
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
	uint32_t incarnation; /* higher at each start */
	uint32_t memory_mb;   /* of the machine, 0 when it is not known */
	struct random *random;
};

struct relay *relay_new(const struct relay_options *opts);
void relay_free(struct relay *relay);

void relay_start(struct relay *relay, struct timespec now);
/* A planned stop: the followers ask the store themselves from now on. */
void relay_stop(struct relay *relay, struct timespec now);

void relay_receive(struct relay *relay, struct endpoint src, const uint8_t *bytes, size_t len,
		   struct timespec now);
/*
 * The process has not run for a while: what it has received meanwhile is old. Asks the reader or
 * the store at once.
 */
void relay_resumed(struct relay *relay, struct timespec now);
/* The store has answered, or has failed to. */
void relay_beliefs_changed(struct relay *relay, struct timespec now);
/*
 * Results of the upstream. @entry is NULL when there is none, and has no port when it cannot be
 * read;
 * @ok is false without an answer.
 */
void relay_found(struct relay *relay, bool ok, const struct reader_entry *entry,
		 struct timespec now);
/* @claimed is false when the entry has changed since it was read, or no answer came. */
void relay_claimed(struct relay *relay, bool claimed, struct timespec now);

void relay_timer(struct relay *relay, struct timespec now);
int64_t relay_due_ms(const struct relay *relay, struct timespec now);

enum relay_role relay_role(const struct relay *relay);
const char *relay_role_name(enum relay_role role);
unsigned int relay_followers(const struct relay *relay);
const struct counters *relay_counters(const struct relay *relay);

#endif
