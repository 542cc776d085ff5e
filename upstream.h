/*
 * Interface to the platform's store, implemented by the platform's adapter. Results are reported
 * through relay_lookup_done() and relay_claim_done(), never from within a call.
 */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include "beliefs.h"
#include "settings.h"

/* Registration, in the store, of the instance that reads the store for its data centre. */
struct reader_entry {
	struct endpoint ep;
	uint8_t key[PEER_KEY_BYTES];   /* authenticates and encrypts messages to and from it */
	struct store_version revision; /* of the entry; none if there is no entry */
};

struct upstream;

struct upstream_ops {
	/* Watches all kinds of data, beginning with the changes since the known revisions. */
	void (*run)(struct upstream *up);
	/* Stops watching the store. */
	void (*pause)(struct upstream *up);
	/* While running: requests current data at once, regardless of pending calls. */
	void (*refresh)(struct upstream *up);
	/* While paused: requests changes of one kind once. */
	void (*fetch)(struct upstream *up, enum control_kind kind);
	/* Looks up the reader of the own data centre; unless @fresh, it may be seconds old. */
	void (*lookup_reader)(struct upstream *up, bool fresh);
	/* Registers @entry if the stored entry is still at revision entry->revision. */
	void (*claim)(struct upstream *up, const struct reader_entry *entry);
	/*
	 * Looks up the readers of all data centres once; the answer may be seconds old. The result
	 * is reported through relay_readers_listed(), or not at all if the store does not answer.
	 */
	void (*list_readers)(struct upstream *up);
};

struct upstream {
	const struct upstream_ops *ops;
};

#endif
