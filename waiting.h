/*
 * Openings that wait for a usable target. While a data centre is cut off, or all targets of a
 * service are down, a reset at once makes a caller use up its tries within milliseconds, although
 * many outages end before its deadline. So openings wait for a bounded time, and are placed when a
 * target can be used again: those of the highest priority first, among them the newest, because the
 * callers of the oldest are about to give up.
 *
 * Nobody knows how long an outage lasts. One that has lasted for a time t ends within the next
 * time d with a probability of about d / (t + d), so openings are refused at once when the outage
 * has lasted much longer than their requests may take.
 *
 * Performs no I/O and reads no clock.
 */
#ifndef WAITING_H
#define WAITING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "admission.h"
#include "packet.h"

/* Priorities from this one on share the last queue. */
#define WAITING_PRIORITIES 4

/* An opening in the queue; part of the caller's structure, to which link.data points. */
struct waiting_item {
	GList link;
	struct endpoint service;
	uint32_t priority;
	size_t size; /* bytes held while it waits */
	struct timespec since;
	bool queued;
};

/* A service without a usable target. */
struct outage {
	struct timespec since;
	struct timespec observed; /* latest opening that found no target */
	uint32_t nr_waiting;
};

struct waiting {
	GQueue by_priority[WAITING_PRIORITIES]; /* oldest first */
	uint32_t count;
	size_t bytes;
	GHashTable *outages; /* key of a service address to struct outage */
};

void waiting_init(struct waiting *wt);
void waiting_release(struct waiting *wt);

/* Whether an opening may be served after an outage that has lasted for @outage_ms so far. */
bool waiting_is_worthwhile(const struct admission_class *cls, int64_t outage_ms);
/* Milliseconds after its arrival until which an opening waits at most. */
int64_t waiting_limit_ms(const struct admission_class *cls);

/*
 * The outage of @service, of which an opening shows that it lasts. It begins now unless it is known
 * from an opening of the last seconds.
 */
struct outage *waiting_outage(struct waiting *wt, struct endpoint service, struct timespec now);
/* To be called when an opening of @service was placed. Openings that wait for it stay queued. */
void waiting_end_outage(struct waiting *wt, struct endpoint service, struct timespec now);
/* Number of openings that wait for @service. */
uint32_t waiting_for(const struct waiting *wt, struct endpoint service);

/*
 * Adds an opening; all fields but @queued are the caller's. The outage of its service must be
 * known. Returns false when the queue is full.
 */
bool waiting_add(struct waiting *wt, struct waiting_item *item);
void waiting_remove(struct waiting *wt, struct waiting_item *item);
/*
 * The opening that makes room for one of @priority in a full queue: the latest one of the lowest
 * priority. NULL if none has a lower priority.
 */
void *waiting_latest_below(const struct waiting *wt, uint32_t priority);

#endif
