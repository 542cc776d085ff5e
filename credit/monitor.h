/*
 * What all instances of a data centre saw of its targets: their speed relative to their service,
 * and which of them fail requests. Targets that fail are left out by degrees (outlier ejection),
 * because a health check may succeed while requests hang.
 *
 * Performs no I/O and reads no clock.
 */
#ifndef CREDIT_MONITOR_H
#define CREDIT_MONITOR_H

#include "credit/allocator.h"
#include "credit/credit.h"

struct target_condition {
	uint32_t speed_permille;    /* of the mean of the service; 1000 when it is unknown */
	uint32_t capacity_permille; /* 1000 unless the target is left out in part */
	bool dead;		    /* an instance has found it dead, and none an answer since */
	int64_t answered_ms;	    /* since the latest report of an answer; -1 for none */
};

struct monitor;

struct monitor *monitor_new(void);
void monitor_free(struct monitor *mon);

/* Adds what the instance @reporter saw since its previous report. */
void monitor_add(struct monitor *mon, uint32_t reporter, uint32_t service,
		 const struct credit_observation *obs, struct timespec now);
/*
 * Ends an interval of @interval_ms for the targets of a service: updates speeds, and the shares of
 * targets that are left out.
 */
void monitor_tick(struct monitor *mon, uint32_t service, const struct alloc_target *targets,
		  size_t nr, uint32_t interval_ms, struct timespec now);
/* Returns false, and the defaults in *cond, for a target that nobody has reported. */
bool monitor_get(const struct monitor *mon, uint64_t target, struct timespec now,
		 struct target_condition *cond);
/* Mean time that a request of the service occupies a slot, in microseconds; 0 if unknown. */
uint32_t monitor_service_time_us(const struct monitor *mon, uint32_t service);
/* Targets that are left out in part at present. */
uint32_t monitor_left_out(const struct monitor *mon);

#endif
