#include "admission.h"

#include <sys/param.h>

#include "timeutil.h"

#define USEC_PER_MSEC 1000
/* Weight of a new sample, 1 in 8: an instance sees some 10 to 40 answers of a target a second. */
#define SAMPLE_WEIGHT_SHIFT 3
/* An average without samples for this long is discarded: openings are admitted and renew it. */
#define AVERAGE_MAX_AGE_MS 1000
/* Samples are capped at this; the deadlines of the platform's callers are 0.5 to 6 s. */
#define SAMPLE_MAX_MS 60000
#define PERMILLE      1000u
/*
 * Refusal begins when the response time reaches REFUSAL_START_PERMILLE of the goal; from
 * REFUSAL_BAND_PERMILLE more on, all openings are refused. With a narrow band, instances alternate
 * between admitting and refusing all, because the wait of a request is measured only after it has
 * ended. docs/design.md compares the figures.
 */
#define REFUSAL_START_PERMILLE 400u
#define REFUSAL_BAND_PERMILLE  200u
/*
 * Each priority above the lowest raises the start of refusal by this, so that the lowest is refused
 * first. Routes of the platform have the priorities 1 and 2; larger numbers are treated like 2.
 */
#define PRIORITY_STEP_PERMILLE 150u
#define LOWEST_PRIORITY	       2u

static bool is_fresh(const struct response_time *rt, struct timespec now)
{
	return rt->average_us && ts_diff_ms(now, rt->sampled) < AVERAGE_MAX_AGE_MS;
}

void response_time_add(struct response_time *rt, int64_t ms, struct timespec now)
{
	uint32_t us = (uint32_t)(MIN(ms, SAMPLE_MAX_MS) * USEC_PER_MSEC) + 1;

	if (is_fresh(rt, now))
		rt->average_us += us / (1u << SAMPLE_WEIGHT_SHIFT) -
				  rt->average_us / (1u << SAMPLE_WEIGHT_SHIFT);
	else
		rt->average_us = us;
	rt->sampled = now;
}

uint32_t response_time_ms(const struct response_time *rt, struct timespec now)
{
	return is_fresh(rt, now) ? rt->average_us / USEC_PER_MSEC : 0;
}

uint32_t admission_refused_permille(const struct admission_class *cls, uint32_t response_ms)
{
	uint32_t steps = cls->priority < LOWEST_PRIORITY ? LOWEST_PRIORITY - cls->priority : 0;
	uint64_t start = REFUSAL_START_PERMILLE + PRIORITY_STEP_PERMILLE * steps;
	uint64_t goal_permille;

	if (!cls->goal_ms)
		return 0;
	goal_permille = (uint64_t)response_ms * PERMILLE / cls->goal_ms;
	if (goal_permille <= start)
		return 0;
	if (goal_permille >= start + REFUSAL_BAND_PERMILLE)
		return PERMILLE;
	return (uint32_t)((goal_permille - start) * PERMILLE / REFUSAL_BAND_PERMILLE);
}

bool admission_refuses(const struct admission_class *cls, uint32_t response_ms, uint64_t digest)
{
	return digest % PERMILLE < admission_refused_permille(cls, response_ms);
}
