/*
 * The source of an instance's beliefs, the platform's store, as the relay needs it; implemented by
 * the adapter. Results come to relay_found() and relay_claimed(), never inside a call.
 */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include "beliefs.h"
#include "settings.h"

/* The instance that reads the store for its data centre, as registered there. */
struct reader_entry {
	struct endpoint ep;
	uint8_t key[PEER_KEY_BYTES]; /* seals messages to and from it */
	int64_t revision;	     /* of the entry; 0 when there is none */
};

struct upstream;

struct upstream_ops {
	/* Asks for all kinds from now on, beginning with what has changed meanwhile. */
	void (*run)(struct upstream *up);
	void (*pause)(struct upstream *up);
	/* While running: asks at once and for fresh answers, whatever is under way. */
	void (*refresh)(struct upstream *up);
	/* While paused: asks once for what is newer than known of one kind, and never again. */
	void (*fetch)(struct upstream *up, enum control_kind kind);
	/* Reads the entry of the own data centre; unless @fresh, the answer may be seconds old. */
	void (*find)(struct upstream *up, bool fresh);
	/* Registers @entry if the entry's revision is still entry->revision. */
	void (*claim)(struct upstream *up, const struct reader_entry *entry);
};

struct upstream {
	const struct upstream_ops *ops;
};

#endif
