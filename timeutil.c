#include "timeutil.h"

static struct timespec monotonic_now(struct clock *clock)
{
	struct timespec ts;

	(void)clock;
	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts;
}

static const struct clock_ops monotonic_ops = {
	.now = monotonic_now,
};

static struct clock monotonic_clock = {
	.ops = &monotonic_ops,
};

struct clock *system_clock(void)
{
	return &monotonic_clock;
}
