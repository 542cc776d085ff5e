/* Source of random numbers, passed in so that replay is repeatable. */
#ifndef RANDOM_H
#define RANDOM_H

#include <stdint.h>

struct random;

struct random_ops {
	/* Returns a number below @bound, which is at least 1. */
	uint32_t (*below)(struct random *random, uint32_t bound);
};

struct random {
	const struct random_ops *ops;
};

static inline uint32_t random_below(struct random *random, uint32_t bound)
{
	return random->ops->below(random, bound);
}

/* libsodium's random bytes; sodium_init() must have succeeded. */
struct random *system_random(void);

/* Deterministic source: SipHash of a counter, keyed with the seed. */
struct seeded_random {
	struct random random;
	unsigned char seed[32];
	uint64_t counter;
};

void seeded_random_init(struct seeded_random *sr, uint64_t seed);

#endif
