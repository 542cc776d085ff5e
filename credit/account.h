/*
 * The credits that this instance holds: choice of a target with a free credit for an opening, and
 * what the instance reports about its demand and its targets.
 *
 * Performs no I/O and reads no clock.
 */
#ifndef CREDIT_ACCOUNT_H
#define CREDIT_ACCOUNT_H

#include "credit/credit.h"
#include "edge-counters.h"
#include "placing.h"
#include "registry.h"

/* How a request that held a credit ended. */
enum credit_outcome {
	CREDIT_ANSWERED,
	CREDIT_REJECTED, /* by a short answer; the request has not run */
	CREDIT_FAILED,	 /* without an answer */
	CREDIT_MOVED,	 /* to another target, or left by the caller; says nothing about this one */
};

struct credit_account;

struct credit_account *credit_account_new(struct registry *reg, struct edge_counters *cnt);
void credit_account_free(struct credit_account *acc);

/* Whether a grant of @service is in force. */
bool credit_active(const struct credit_account *acc, uint32_t service, struct timespec now);
/*
 * A target with a free credit that can take an opening, in the order own slot, lent slot, own
 * queue, lent queue. NULL if there is none; *usable is set to whether a credit of a usable target
 * is held at all.
 */
struct reg_target *credit_choose(struct credit_account *acc, uint32_t service,
				 const struct placing *pl, const struct placing_request *req,
				 bool *usable);
void credit_take(struct credit_account *acc, struct reg_target *tgt, struct timespec now);
/*
 * @held_ms: since the credit was taken. @path_ms: the part of it that packets were on their way or
 * the caller had not sent its request, so that the target was not busy.
 */
void credit_return(struct credit_account *acc, struct reg_target *tgt, enum credit_outcome outcome,
		   int64_t held_ms, int64_t path_ms, struct timespec now);

void credit_note_opening(struct credit_account *acc, uint32_t service, uint32_t priority);
/* A flow of the service carries a second request. */
void credit_note_reuse(struct credit_account *acc, uint32_t service);
/* A request has had no answer for credit_overdue_ms(); to be called once a request. */
void credit_note_overdue(struct credit_account *acc, struct reg_target *tgt);
/* Mean response time; 0 before the first answer. */
int64_t credit_mean_ms(const struct credit_account *acc, uint32_t service);
int64_t credit_overdue_ms(const struct credit_account *acc, uint32_t service);
/* Probes have found the target dead. */
void credit_note_dead(struct credit_account *acc, struct reg_target *tgt);
/* The number of openings of the service that wait for a credit, for reports. */
void credit_set_waiting(struct credit_account *acc, uint32_t service, uint32_t waiting);

/* Replaces the credits of all services. Entries of unknown targets are ignored. */
void credit_apply_grant(struct credit_account *acc, const struct credit_grant *grant,
			struct timespec now);
/* Ends all grants, because the reader is lost or the process was suspended. */
void credit_drop_grants(struct credit_account *acc);
/* Moves what was observed since the last call to *rep, which is initialised and empty. */
void credit_collect(struct credit_account *acc, struct credit_report *rep, struct timespec now);
/* Whether a target was found dead since the last report, so that the next one is urgent. */
bool credit_report_urgent(const struct credit_account *acc);

/* State for logs and metrics. */
struct credit_status {
	uint32_t held;
	uint32_t in_use;
	int64_t age_ms; /* of the grant; -1 for none */
	uint32_t returned_per_s;
};

void credit_status(const struct credit_account *acc, uint32_t service, struct timespec now,
		   struct credit_status *status);

#endif
