/*
 * Openings that wait for a free credit, by priority, then by arrival. Bounded in number, in bytes
 * and, by the goal and the time-out of their route, in time.
 *
 * Performs no I/O and reads no clock.
 */
#ifndef CREDIT_BACKLOG_H
#define CREDIT_BACKLOG_H

#include "admission.h"
#include "credit/credit.h"

/* An opening in the backlog; part of the caller's structure, to which link.data points. */
struct backlog_item {
	GList link;
	uint32_t service; /* symbol */
	uint32_t priority;
	uint32_t caller; /* IPv4 address */
	size_t size;	 /* bytes held while it waits */
	struct timespec since;
	int64_t limit_ms;
	bool queued;
};

struct backlog;

struct backlog *backlog_new(void);
void backlog_free(struct backlog *bl);

/*
 * All fields but @queued are the caller's. Returns false when the backlog is full, or when the
 * caller's address has its share of it.
 */
bool backlog_add(struct backlog *bl, struct backlog_item *item);
/* Whether an opening of @size bytes exceeds the bounds, whoever its caller is. */
bool backlog_is_full(const struct backlog *bl, size_t size);
/* Whether the caller's address has its share, so that it adds none even if others make room. */
bool backlog_has_share(const struct backlog *bl, const struct backlog_item *item);
void backlog_remove(struct backlog *bl, struct backlog_item *item);
/*
 * The opening of the service to place next, or NULL: of the highest priority, the oldest first; one
 * in 16 placements goes to the next lower priority that waits.
 */
struct backlog_item *backlog_next(struct backlog *bl, uint32_t service);
/* Removes the opening of backlog_next(), which is being placed. */
void backlog_placed(struct backlog *bl, struct backlog_item *item);
bool backlog_is_expired(const struct backlog_item *item, struct timespec now);
/* An opening that has waited for its limit, or NULL. */
struct backlog_item *backlog_expired(struct backlog *bl, struct timespec now);
/* The opening that makes room for a more important one: the latest of the lowest priority. */
struct backlog_item *backlog_latest_below(struct backlog *bl, uint32_t priority);
/* Any opening that waits, or NULL. */
struct backlog_item *backlog_first(struct backlog *bl);

uint32_t backlog_count(const struct backlog *bl);
/* Openings of all services with @priority. */
uint32_t backlog_waiting_all(const struct backlog *bl, uint32_t priority);
uint32_t backlog_waiting(const struct backlog *bl, uint32_t service, uint32_t priority);
/* Calls @fn for each service with openings that wait. @fn may remove openings. */
void backlog_each_service(struct backlog *bl, void (*fn)(uint32_t service, void *arg), void *arg);

/*
 * Milliseconds that an opening of @priority would wait if @returned_per_s credits come back;
 * INT64_MAX for 0.
 */
int64_t backlog_predict_ms(const struct backlog *bl, uint32_t service, uint32_t priority,
			   uint32_t returned_per_s);
/* Longest wait of an opening, in milliseconds; 0 if it must not wait. */
int64_t backlog_limit_ms(const struct admission_class *cls);

#endif
