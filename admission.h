/*
 * Admission control under overload, when there are more requests than the remaining targets can
 * start within their deadlines. Without it, every request waits in a full queue and is late; with
 * it, openings of the lowest priority are reset at once, before they reach a target, so that the
 * admitted ones are served in time.
 *
 * The load of a target is inferred from its response times: an instance does not see the requests
 * of other instances, but measures how long its own take. Established flows are not affected.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Response time of a target. */
struct response_time {
	uint32_t average_us;	 /* moving average, in microseconds; 0 without samples */
	struct timespec sampled; /* time of the latest sample */
};

/* Response time goal, time-out and priority of a route. */
struct admission_class {
	uint32_t goal_ms;    /* within which a request should be answered; 0 for no goal */
	uint32_t priority;   /* 0 is the highest */
	uint32_t timeout_ms; /* of a request, from the caller's first try; 0 if unknown */
};

/* Adds a sample: a request that was answered at @now after @ms milliseconds. */
void response_time_add(struct response_time *rt, int64_t ms, struct timespec now);
/* Milliseconds; 0 when there is no recent sample. */
uint32_t response_time_ms(const struct response_time *rt, struct timespec now);

/* Share of the openings that are refused, in 1/1000, at a response time of @response_ms. */
uint32_t admission_refused_permille(const struct admission_class *cls, uint32_t response_ms);

/*
 * Whether an opening is refused. @digest is the hash of its flow, so that copies of an opening get
 * the same result on all instances that measure the same load.
 */
bool admission_refuses(const struct admission_class *cls, uint32_t response_ms, uint64_t digest);

#endif
