/* State shared by steer.c, the other steer-*.c and suspicion.c. */
#ifndef STEER_INTERNAL_H
#define STEER_INTERNAL_H

#include "credit/steer-credit.h"
#include "decision.h"
#include "steer.h"
#include "timeutil.h"
#include "waiting.h"

/* Request ids are truncated to this in logs. */
#define REQUEST_ID_BYTES 36

enum flow_state {
	FLOW_OPENING, /* no acceptance seen */
	FLOW_OPEN,
	FLOW_CLOSED, /* ended by the caller or reset by this instance; late packets may follow */
	FLOW_STATES,
};

/* State of a flow until its acceptance is seen. */
struct opening {
	struct reg_target *tried[PLACING_MAX_TRIED];
	size_t nr_tried;
	struct timespec sent[PLACING_MAX_TRIED];
	struct timespec verify_due;
	GList verify_link; /* in steer.unverified while verify_queued */
	bool verify_queued;
	struct waiting_item waiting;
	size_t size;
	uint8_t bytes[]; /* of the opening packet */
};

struct steer_flow {
	struct flow_addr addr; /* first member: the key */
	enum flow_state state;
	struct reg_target *target; /* while opening, the first one tried */
	struct opening *opening;
	struct timespec started;
	struct timespec last_packet;
	struct timespec unanswered_since; /* oldest unanswered data, or the latest stall */
	uint32_t opening_seq;
	uint32_t seq_end; /* sequence number after the data that the caller has sent */
	uint32_t ack;
	bool has_ack;
	bool busy;			    /* the caller has sent data that is not answered yet */
	bool counted;			    /* in target->open_flows and busy_flows */
	char request[REQUEST_ID_BYTES + 1]; /* id of the latest request, for logs */
	struct flow_credit *credit;	    /* NULL for none */
	bool was_reset;	   /* by this instance; later packets are answered with a reset */
	GList target_link; /* in target->flows */
	GList state_link;  /* in steer.by_state[state], by time of the last packet */
};

struct steer {
	struct steer_options opts;
	GHashTable *flows;
	GQueue by_state[FLOW_STATES];
	GQueue unverified;	/* struct steer_flow by verify_due */
	struct waiting waiting; /* struct steer_flow whose opening has not been sent */
	struct timespec next_waiting_pass;
	struct steer_credit *credit; /* NULL without credits */
	GPtrArray *untrusted;	     /* struct reg_target: the suspected and dead ones */
	struct registry_listener listener;
	struct timespec next_sweep;
	bool log_target_changes;
	bool store_lost;
	struct timespec others_verified_at;
	GHashTable *latest_deaths;     /* data centre symbol to struct timespec */
	GHashTable *latest_rejections; /* service symbol to struct timespec */
	struct histogram accept_times;
	struct histogram target_list_ages;
};

/* Flow table; steer-flow.c. */
void steer_flows_init(struct steer *st);
uint64_t steer_flow_digest(const struct flow_addr *addr);
struct steer_flow *steer_flow_find(const struct steer *st, const struct flow_addr *addr);
/* NULL when the table is full of open flows, which are not evicted. */
struct steer_flow *steer_flow_add(struct steer *st, const struct flow_addr *addr,
				  enum flow_state state, struct timespec now);
/* Adds a flow with the opening @pkt. NULL as with steer_flow_add(). */
struct steer_flow *steer_flow_add_opening(struct steer *st, const struct caller_packet *pkt,
					  struct timespec now);
void steer_flow_touch(struct steer *st, struct steer_flow *flow, struct timespec now);
void steer_flow_set_state(struct steer *st, struct steer_flow *flow, enum flow_state state);
/* Assigns the flow, and its part in the counts, to @tgt; NULL for none. */
void steer_flow_set_target(struct steer_flow *flow, struct reg_target *tgt);
void steer_flow_set_busy(struct steer_flow *flow, bool busy);
void steer_flow_drop_opening(struct steer *st, struct steer_flow *flow);
void steer_flow_remove(struct steer *st, struct steer_flow *flow, struct timespec now);
void steer_flows_expire(struct steer *st, struct timespec now);

/* Resets; steer-reset.c. */
/* Sends a reset to the caller and marks the entry closed. */
void steer_reset_flow(struct steer *st, struct steer_flow *flow, enum reset_reason reason,
		      struct timespec now);
/* Resets all open flows of @tgt. */
void steer_reset_target_flows(struct steer *st, struct reg_target *tgt, enum reset_reason reason,
			      struct timespec now);

/* Sends the openings that were sent to @tgt last to other targets. */
void steer_move_openings(struct steer *st, struct reg_target *tgt, struct timespec now);

/* Sends a flow's opening to a target, and queues its verification. */
void steer_send_opening(struct steer *st, struct steer_flow *flow, struct reg_target *tgt,
			const char *why, struct timespec now);
/* @figures: appended to the log line; empty, or begins with a space. */
void steer_send_opening_with(struct steer *st, struct steer_flow *flow, struct reg_target *tgt,
			     const char *why, const char *figures, struct timespec now);
/* Sends an opening that has no entry in the flow table, because that is full. */
void steer_send_untracked(struct steer *st, const struct caller_packet *pkt,
			  const struct reg_target *tgt);
/* Places an opening that has waited for a credit, when credits do not apply to it any more. */
void steer_place_uncredited(struct steer *st, struct steer_flow *flow,
			    const struct route_rule *rule, struct timespec now);
/* Resets an opening. @tgt: the last target that was considered, for the log; NULL for none. */
void steer_refuse(struct steer *st, const struct flow_addr *addr, uint32_t seq,
		  enum reset_reason reason, const struct reg_target *tgt, struct timespec now);
/* @figures: as for steer_send_opening_with(). */
void steer_refuse_with(struct steer *st, const struct flow_addr *addr, uint32_t seq,
		       enum reset_reason reason, const struct reg_target *tgt, const char *figures,
		       struct timespec now);

/* Openings without a usable target; steer-wait.c. */
/* Whether earlier openings of the service wait, so that a new one has to queue behind them. */
bool steer_wait_has_queue(const struct steer *st, struct endpoint service);
/*
 * Queues the opening of a flow that has no usable target. Returns false if it must be refused:
 * when it is unlikely to be served in time, or the queue is full of openings as important.
 */
bool steer_wait_begin(struct steer *st, struct steer_flow *flow, const struct route_rule *rule,
		      struct timespec now);
/* An opening of the service has been placed at once. */
void steer_wait_end_outage(struct steer *st, struct endpoint service, struct timespec now);
int64_t steer_wait_due_ms(const struct steer *st, struct timespec now);
/* Places waiting openings whose targets can be used again, and refuses those past their limit. */
void steer_wait_timer(struct steer *st, struct timespec now);

/* Failure detection; suspicion.c. */
/* A packet of a caller shows that the target has answered. */
void suspicion_note_answer(struct steer *st, struct reg_target *tgt, struct timespec now);
/*
 * Data or an opening sent to the target at @since has had no answer: suspects the target, or resets
 * its flows if it has left the list.
 */
void suspicion_note_stall(struct steer *st, struct reg_target *tgt, struct timespec since,
			  struct timespec now);
/* The target has rejected a request: targets of its service may be full. */
void suspicion_note_rejection(struct steer *st, const struct reg_target *tgt, struct timespec now);
/*
 * A flow that was unknown to this instance sends data to the target: verifies the target at once if
 * another target of its data centre has died since its last sign of life.
 */
void suspicion_note_adoption(struct steer *st, struct reg_target *tgt, struct timespec now);
/* Verifies a target that has left the list but still has flows. */
void suspicion_verify(struct steer *st, struct reg_target *tgt, struct timespec now);
int64_t suspicion_due_ms(const struct steer *st, struct timespec now);
void suspicion_timer(struct steer *st, struct timespec now);
/* Clears the suspicion of a target that has restarted or is listed again. */
void suspicion_clear(struct steer *st, struct reg_target *tgt);

#endif
