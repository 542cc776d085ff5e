#include "random.h"

#include <sodium.h>
#include <string.h>

static uint32_t system_below(struct random *random, uint32_t bound)
{
	(void)random;
	return randombytes_uniform(bound);
}

static const struct random_ops system_ops = {
	.below = system_below,
};

static struct random system_source = {
	.ops = &system_ops,
};

struct random *system_random(void)
{
	return &system_source;
}

static uint32_t seeded_below(struct random *random, uint32_t bound)
{
	struct seeded_random *sr = (struct seeded_random *)random;
	uint64_t counter = sr->counter++;
	uint64_t value;

	/* SipHash of a counter is a keyed stream; 64 bits make the modulo bias negligible. */
	crypto_shorthash((unsigned char *)&value, (const unsigned char *)&counter, sizeof(counter),
			 sr->seed);
	return (uint32_t)(value % bound);
}

static const struct random_ops seeded_ops = {
	.below = seeded_below,
};

void seeded_random_init(struct seeded_random *sr, uint64_t seed)
{
	*sr = (struct seeded_random){ .random = { .ops = &seeded_ops } };
	memcpy(sr->seed, &seed, sizeof(seed));
}
