/*
 * Start of an instance while the platform's store does not answer: asks the instances that the
 * settings name as seeds for a snapshot of their control state, and applies the most recent one.
 * Without it, an instance that starts during an outage of the store serves nobody until the end of
 * the outage, although its neighbours know everything that it needs.
 *
 * Performs no I/O and reads no clock.
 */
#ifndef BOOTSTRAP_H
#define BOOTSTRAP_H

#include "beliefs.h"
#include "edge-settings.h"

struct bootstrap_out;

struct bootstrap_out_ops {
	/*
	 * Reads the snapshot of a seed; the result is passed to bootstrap_answered(), never from
	 * within this call.
	 */
	void (*ask)(struct bootstrap_out *out, size_t seed, uint32_t deadline_ms);
};

struct bootstrap_out {
	const struct bootstrap_out_ops *ops;
};

struct bootstrap_options {
	struct control_state *control_state;
	struct bootstrap_out *out;
	struct random *random;
	const struct endpoint *seeds; /* without the instance itself */
	size_t nr_seeds;
};

struct bootstrap;

struct bootstrap *bootstrap_new(const struct bootstrap_options *opts);
void bootstrap_free(struct bootstrap *boot);

/*
 * A seed has answered with the @len bytes at @body, or has failed (@body is NULL) for the reason
 * @why.
 */
void bootstrap_answered(struct bootstrap *boot, size_t seed, const char *body, size_t len,
			const char *why, struct timespec now);
/* Asks seeds that are due. Returns whether a snapshot has been applied, now or earlier. */
bool bootstrap_timer(struct bootstrap *boot, struct timespec now);
int64_t bootstrap_due_ms(const struct bootstrap *boot, struct timespec now);

#endif
