/* State shared by steer-credit.c (placing and waiting) and steer-charge.c (credits of flows). */
#ifndef CREDIT_STEER_CREDIT_INTERNAL_H
#define CREDIT_STEER_CREDIT_INTERNAL_H

#include "steer-internal.h"

struct steer_credit {
	struct credit_account *account;
	struct backlog *backlog;
	GHashTable *charged; /* symbol of a service to GQueue of struct steer_flow, by .since */
	GQueue limited;	     /* struct steer_flow whose credit returns at .return_at, unordered */
	uint32_t nr_queued;  /* in limited and all queues of charged */
	bool pass_due;	     /* a credit was returned while openings wait */
	struct timespec next_pass;
	struct timespec next_sweep;
};

/* The flow's flow->credit, which is created if necessary. */
struct flow_credit *steer_charge_get(struct steer_flow *flow);
/* Notes overdue requests, and returns credits that no longer belong to a request. */
void steer_charge_sweep(struct steer *st, struct timespec now);

#endif
