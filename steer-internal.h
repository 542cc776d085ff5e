/* State shared by the parts of the steering: steer.c, steer-flow.c and suspicion.c. */
#ifndef STEER_INTERNAL_H
#define STEER_INTERNAL_H

#include "decision.h"
#include "steer.h"
#include "timeutil.h"

/* Request ids are cut to this many bytes in logs. */
#define REQUEST_ID_BYTES 36

enum flow_state {
	FLOW_OPENING, /* no acceptance seen */
	FLOW_OPEN,
	FLOW_CLOSED, /* ended by the caller or reset by us; late packets may follow */
	FLOW_STATES,
};

/* What is needed while the acceptance has not been seen. */
struct opening {
	struct reg_target *tried[PLACING_MAX_TRIED];
	size_t nr_tried;
	struct timespec sent[PLACING_MAX_TRIED];
	struct timespec verify_due;
	GList verify_link; /* in steer.unverified while verify_queued */
	bool verify_queued;
	size_t size;
	uint8_t bytes[]; /* the caller's packet */
};

struct steer_flow {
	struct flow_addr addr; /* first member: the key */
	enum flow_state state;
	struct reg_target *target; /* the first tried one while opening */
	struct opening *opening;
	struct timespec started;
	struct timespec seen;
	struct timespec asked; /* when unanswered data was last sent */
	uint32_t opening_seq;
	uint32_t seq_end; /* end of the data that the caller has sent */
	uint32_t ack;
	bool has_ack;
	bool busy; /* data was sent and nothing has come back since */
	bool counted;
	char request[REQUEST_ID_BYTES + 1]; /* id of the latest request, for logs */
	bool was_reset;	   /* by this instance; packets that follow are answered with a reset */
	GList target_link; /* in target->flows */
	GList state_link;  /* in steer.by_state[state], by time of the last packet */
};

struct steer {
	struct steer_options opts;
	GHashTable *flows;
	GQueue by_state[FLOW_STATES];
	GQueue unverified;  /* struct steer_flow, in the order in which they are due */
	GPtrArray *watched; /* struct reg_target that are suspected or dead */
	struct registry_listener listener;
	struct timespec next_sweep;
	bool listed;
	bool store_lost;
	struct timespec others_verified;
	GHashTable *deaths; /* symbol of a data centre to struct timespec: its latest death */
	struct histogram accept_times;
	struct histogram belief_ages;
};

/* Flow table; steer-flow.c. */
void steer_flows_init(struct steer *st);
uint64_t steer_flow_digest(const struct flow_addr *addr);
struct steer_flow *steer_flow_find(const struct steer *st, const struct flow_addr *addr);
/* NULL when the table is full of flows that cannot be forgotten. */
struct steer_flow *steer_flow_add(struct steer *st, const struct flow_addr *addr,
				  enum flow_state state, struct timespec now);
void steer_flow_touch(struct steer *st, struct steer_flow *flow, struct timespec now);
void steer_flow_set_state(struct steer *st, struct steer_flow *flow, enum flow_state state);
/* Moves the flow, and its count, to @tgt; NULL for none. */
void steer_flow_set_target(struct steer_flow *flow, struct reg_target *tgt);
void steer_flow_set_busy(struct steer_flow *flow, bool busy);
void steer_flow_drop_opening(struct steer *st, struct steer_flow *flow);
void steer_flow_remove(struct steer *st, struct steer_flow *flow);
void steer_flows_expire(struct steer *st, struct timespec now);

/* Resets the flow towards its caller and closes the entry. */
void steer_reset_flow(struct steer *st, struct steer_flow *flow, enum reset_reason reason,
		      struct timespec now);
void steer_reset_target(struct steer *st, struct reg_target *tgt, enum reset_reason reason,
			struct timespec now);

/* Sends the openings that wait for @tgt to other targets. */
void steer_move_openings(struct steer *st, struct reg_target *tgt, struct timespec now);

/* Trust in targets; suspicion.c. */
/* The caller of a flow has received something from the target. */
void suspicion_answered(struct steer *st, struct reg_target *tgt, struct timespec now);
/* Something sent to the target at @since has had no effect for long enough to doubt it. */
void suspicion_stalled(struct steer *st, struct reg_target *tgt, struct timespec since,
		       struct timespec now);
/*
 * A flow that this instance did not know sends data to the target: verifies it at once when others
 * of its data centre have died since it was last heard of.
 */
void suspicion_adopted(struct steer *st, struct reg_target *tgt, struct timespec now);
/* The target is not listed any more: verifies it for the sake of its flows. */
void suspicion_verify(struct steer *st, struct reg_target *tgt, struct timespec now);
int64_t suspicion_due_ms(const struct steer *st, struct timespec now);
void suspicion_timer(struct steer *st, struct timespec now);
/* The target has restarted or is listed again. */
void suspicion_forget(struct steer *st, struct reg_target *tgt);

#endif
