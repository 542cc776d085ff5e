/*
 * Credits in the decisions of steer.c: openings of a service with a grant in force go to targets
 * with a free credit, or wait for one, or are refused. Also charges credits to flows and returns
 * them. All functions but steer_credit_init() need st->credit.
 */
#ifndef CREDIT_STEER_CREDIT_H
#define CREDIT_STEER_CREDIT_H

#include "credit/backlog.h"
#include "steer.h"

struct steer_flow;

/* What a flow has to do with credits; NULL in a flow without any. */
struct flow_credit {
	struct backlog_item item;
	struct reg_target *charged; /* whose credit the flow holds; NULL for none */
	struct timespec taken;	    /* when the credit was taken */
	struct timespec since;	    /* when the opening, or else the request, was sent */
	struct timespec return_at;  /* when the credit is returned at the latest, if in .limited */
	GQueue *queue;		    /* of struct steer_credit; NULL when not queued */
	GList link;		    /* in *queue */
	int64_t accept_ms;	    /* from the opening to its acceptance; a round trip */
	uint8_t requests;	    /* seen on the flow; further ones than 2 are not counted */
	bool overdue;		    /* noted */
	bool half_closed;	    /* by the caller, before the answer */
	bool lapsed;		    /* the credit was returned because no request came */
};

/* Sets st->credit if the options have an account. */
void steer_credit_init(struct steer *st);
void steer_credit_release(struct steer *st);

/* A new opening. Returns false if it is to be placed without credits. */
bool steer_credit_place(struct steer *st, const struct caller_packet *pkt,
			const struct route_rule *rule, struct timespec now);
/* The flow's opening is sent to @tgt: takes a credit, or moves that of an earlier target. */
void steer_credit_sent(struct steer *st, struct steer_flow *flow, struct reg_target *tgt,
		       struct timespec now);

/* The functions below need flow->credit. */
void steer_credit_accepted(struct steer *st, struct steer_flow *flow, struct reg_target *tgt,
			   struct timespec sent, struct timespec now);
/* The caller has begun to send a request. */
void steer_credit_request(struct steer *st, struct steer_flow *flow, struct timespec now);
/* The answer to a request has begun; one that is @short_answer may be a rejection. */
void steer_credit_answered(struct steer *st, struct steer_flow *flow, bool short_answer,
			   struct timespec now);
/*
 * The caller has sent all that it has to send; to be called before the flow's state changes. The
 * credit of a request in progress stays in use for up to twice the mean response time.
 */
void steer_credit_half_closed(struct steer *st, struct steer_flow *flow, struct timespec now);
/* The flow ends; to be called before its state changes. */
void steer_credit_end(struct steer *st, struct steer_flow *flow, bool target_failed,
		      struct timespec now);
/* The opening does not wait any more. */
void steer_credit_stop_waiting(struct steer *st, struct steer_flow *flow);
/* The flow is removed: ends it and frees flow->credit. */
void steer_credit_remove(struct steer *st, struct steer_flow *flow, struct timespec now);

/* Places waiting openings if a credit has been returned since the last call. */
void steer_credit_flush(struct steer *st, struct timespec now);
void steer_credit_timer(struct steer *st, struct timespec now);
int64_t steer_credit_due_ms(const struct steer *st, struct timespec now);
void steer_credit_routes_changed(struct steer *st, struct timespec now);
/* Refuses all openings that wait. */
void steer_credit_stop(struct steer *st, struct timespec now);

#endif
