#include "timeutil.h"

static struct timespec boottime_now(struct clock *clock)
{
	struct timespec ts;

	(void)clock;
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts;
}

static const struct clock_ops boottime_ops = {
	.now = boottime_now,
};

static struct clock boottime_clock = {
	.ops = &boottime_ops,
};

struct clock *system_clock(void)
{
	return &boottime_clock;
}
