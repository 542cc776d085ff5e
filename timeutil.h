/* Arithmetic on struct timespec and the clock interface. */
#ifndef TIMEUTIL_H
#define TIMEUTIL_H

#include <stdint.h>
#include <time.h>

#define MSEC_PER_SEC  1000
#define NSEC_PER_MSEC 1000000L
#define NSEC_PER_SEC  1000000000L

struct clock;

struct clock_ops {
	/* Returns the current time; it never decreases. */
	struct timespec (*now)(struct clock *clock);
};

/* Source of time for modules outside the core; the core gets the time with each event. */
struct clock {
	const struct clock_ops *ops;
};

static inline struct timespec clock_now(struct clock *clock)
{
	return clock->ops->now(clock);
}

/* CLOCK_BOOTTIME, which also advances while the machine is suspended. */
struct clock *system_clock(void);

/* Whole milliseconds of @ts. */
static inline int64_t ts_to_ms(struct timespec ts)
{
	return (int64_t)ts.tv_sec * MSEC_PER_SEC + ts.tv_nsec / NSEC_PER_MSEC;
}

static inline struct timespec ts_from_ms(int64_t ms)
{
	return (struct timespec){
		.tv_sec = (time_t)(ms / MSEC_PER_SEC),
		.tv_nsec = (long)(ms % MSEC_PER_SEC) * NSEC_PER_MSEC,
	};
}

static inline struct timespec ts_add_ms(struct timespec ts, int64_t ms)
{
	ts.tv_sec += (time_t)(ms / MSEC_PER_SEC);
	ts.tv_nsec += (long)(ms % MSEC_PER_SEC) * NSEC_PER_MSEC;
	if (ts.tv_nsec >= NSEC_PER_SEC) {
		ts.tv_nsec -= NSEC_PER_SEC;
		ts.tv_sec++;
	} else if (ts.tv_nsec < 0) {
		ts.tv_nsec += NSEC_PER_SEC;
		ts.tv_sec--;
	}
	return ts;
}

/* Negative, zero or positive as @a is before, at or after @b. */
static inline int ts_cmp(struct timespec a, struct timespec b)
{
	if (a.tv_sec != b.tv_sec)
		return a.tv_sec < b.tv_sec ? -1 : 1;
	if (a.tv_nsec != b.tv_nsec)
		return a.tv_nsec < b.tv_nsec ? -1 : 1;
	return 0;
}

/* Milliseconds from @from to @to, negative when @to is earlier. */
static inline int64_t ts_diff_ms(struct timespec to, struct timespec from)
{
	return ts_to_ms(to) - ts_to_ms(from);
}

#endif
