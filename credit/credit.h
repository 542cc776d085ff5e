/*
 * Credits: each credit is the permission of one instance to have one request in progress at one
 * target. The reader of a data centre allocates the credits of its targets to the instances that
 * follow it, so that instances that choose at the same moment do not choose the same slot.
 *
 * Types shared by the holder (account.h), the allocation (monitor.h, allocator.h) and the messages
 * between them (exchange.h).
 */
#ifndef CREDIT_CREDIT_H
#define CREDIT_CREDIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Priorities from this one on are counted as the last one; 0 is the highest. */
#define CREDIT_PRIORITIES 4
/* A grant is in force for this long after its arrival, six intervals of reports. */
#define CREDIT_GRANT_LIFE_MS 1500

/* Openings of one service at one instance since its last report. */
struct credit_demand {
	uint32_t service; /* symbol */
	uint32_t openings[CREDIT_PRIORITIES];
	uint32_t reused; /* second requests on a flow */
	uint32_t waiting;
};

/* What one instance saw of one target since its last report. */
struct credit_observation {
	uint64_t target; /* reg_target.digest */
	uint32_t completed;
	uint32_t rejected;
	uint32_t failed;  /* ended without an answer */
	uint32_t overdue; /* without an answer for much longer than usual; counted once a request */
	uint32_t busy_ms; /* sum of the time that requests were in progress */
	bool dead;	  /* found dead by probes */
};

struct credit_report {
	uint32_t interval_ms;
	GArray *demands;      /* struct credit_demand */
	GArray *observations; /* struct credit_observation */
};

/* Credits of one target. */
struct credit_entry {
	uint64_t target;	 /* reg_target.digest */
	uint8_t slots;		 /* credits of slots */
	uint8_t queue;		 /* credits of places in its queue */
	uint16_t speed_permille; /* relative to the mean of the service */
	bool lent;		 /* by the reader of another data centre */
};

struct credit_service_grant {
	uint32_t service; /* symbol */
	GArray *entries;  /* struct credit_entry */
};

/* All credits of one instance, for each service that takes part. */
struct credit_grant {
	GArray *services; /* struct credit_service_grant; frees its entries */
};

void credit_report_init(struct credit_report *rep);
void credit_report_release(struct credit_report *rep);

void credit_grant_init(struct credit_grant *grant);
void credit_grant_release(struct credit_grant *grant);
/* Adds a service without entries; valid until the next call. */
struct credit_service_grant *credit_grant_add(struct credit_grant *grant, uint32_t service);

/* CREDIT_PRIORITIES queues of @priority, which is unbounded in configurations. */
static inline uint32_t credit_priority(uint32_t priority)
{
	return MIN(priority, CREDIT_PRIORITIES - 1);
}

#endif
