/*
 * Refusal of openings under overload. Answers this load: more requests than the targets that are
 * left can start in the time that callers have. Without it, every request waits in a full queue and
 * is late; with it, openings of the lowest priority are reset at once, before they reach a target,
 * so that what is admitted is served in time.
 *
 * The load of a target is read from its response times: instances do not see the requests of one
 * another, but each sees how long its own take. Only openings are refused; established flows go on.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Response times of a target. */
struct response_time {
	uint32_t average_us;   /* moving average */
	struct timespec taken; /* the latest sample */
};

/* What a route demands. */
struct admission_class {
	uint32_t goal_ms;  /* in which a request is to be answered; 0 when none is stated */
	uint32_t priority; /* 0 is the highest */
};

/* A request that was answered at @now took @ms milliseconds. */
void response_time_add(struct response_time *rt, int64_t ms, struct timespec now);
/* Milliseconds; 0 when there is no recent sample. */
uint32_t response_time_ms(const struct response_time *rt, struct timespec now);

/* How many of 1,000 openings are refused at a target whose requests take @response_ms. */
uint32_t admission_refused_permille(const struct admission_class *cls, uint32_t response_ms);

/*
 * Whether an opening is refused. @digest is that of its flow: copies of an opening get the same
 * verdict on every instance that sees the same load.
 */
bool admission_refuses(const struct admission_class *cls, uint32_t response_ms, uint64_t digest);

#endif
