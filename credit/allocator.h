/*
 * Division of the credits of one service's targets among the instances of a data centre, in
 * proportion to their demand. Credits keep their holders from round to round: a credit that moves
 * while its holder has a request in progress is in use twice for a moment.
 *
 * Performs no I/O and reads no clock.
 */
#ifndef CREDIT_ALLOCATOR_H
#define CREDIT_ALLOCATOR_H

#include "credit/credit.h"
#include "random.h"

struct alloc_target {
	uint64_t key; /* reg_target.digest */
	uint32_t slots;
	uint32_t speed_permille;    /* relative to the mean of the service */
	uint32_t capacity_permille; /* less than 1000 when it is left out in part */
	bool cold_limited; /* cold, and its service states a rate for cold targets: one holder */
	bool lent;	   /* @slots and @queue were lent by another data centre */
	uint32_t queue;	   /* queue credits of a lent target */
};

struct alloc_member {
	uint32_t id;
	uint64_t openings_milli_per_s[CREDIT_PRIORITIES];
	bool borrower; /* the reader of another data centre */
	/* Of a borrower, in thousandths of a slot. */
	uint32_t wanted_milli;
	uint32_t demand_milli;	  /* less what other data centres lend */
	uint32_t important_milli; /* of it, of priorities 0 and 1 */
	uint32_t capacity_milli;  /* of its own targets */
};

struct alloc_round {
	const struct alloc_target *targets;
	size_t nr_targets;
	const struct alloc_member *members;
	size_t nr_members;
	uint32_t service_time_us; /* of a request at a target of mean speed; 0 if unknown */
	uint32_t goal_ms;	  /* shortest response time goal of the service; 0 for none */
	struct timespec now;
};

struct allocator;

struct allocator *allocator_new(struct random *random);
void allocator_free(struct allocator *al);

void allocator_run(struct allocator *al, const struct alloc_round *round);
/* Credits of a member after the last round: struct credit_entry. NULL when it has none. */
const GArray *allocator_credits(const struct allocator *al, uint32_t member);
/* Demand and own capacity in the last round, in thousandths of a slot. */
int64_t allocator_demand_milli(const struct allocator *al);
int64_t allocator_important_milli(const struct allocator *al); /* of priorities 0 and 1 */
int64_t allocator_capacity_milli(const struct allocator *al);
/*
 * By how much the demand of the last round exceeds 85% of the slots of its own data centre, in
 * thousandths of a slot; negative when there is room.
 */
int64_t allocator_shortage_milli(const struct allocator *al);

#endif
