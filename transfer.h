/*
 * Whether a long answer of the store delays other packets: on a slow link, a configuration of some
 * 250 kB occupies the link for 0.2 s, and connections to targets that are alive time out meanwhile.
 */
#ifndef TRANSFER_H
#define TRANSFER_H

#include <stdbool.h>
#include <time.h>

struct transfer {
	struct timespec begun; /* of the answer that is being received, 0 for none */
	struct timespec ended; /* of the latest slow one */
};

void transfer_begin(struct transfer *tr, struct timespec now);
/* The answer has been received, or its call has ended. No effect if none had begun. */
void transfer_end(struct transfer *tr, struct timespec now);
/* Whether a slow answer was being received at @since or later. */
bool transfer_was_slow(const struct transfer *tr, struct timespec since, struct timespec now);

#endif
