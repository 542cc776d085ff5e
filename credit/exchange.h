/*
 * Exchange of reports and grants of credits between the reader of a data centre and its followers,
 * and of lent credits between readers. The relay passes messages in and out.
 *
 * Performs no I/O and reads no clock.
 */
#ifndef CREDIT_EXCHANGE_H
#define CREDIT_EXCHANGE_H

#include "beliefs.h"
#include "credit/account.h"
#include "peer.h"
#include "upstream.h"

struct exchange;
struct exchange_out;

struct exchange_out_ops {
	/* Sends a report to the reader that this instance follows. */
	void (*report)(struct exchange_out *out, const peer_msg *msg);
	/* Sends a grant to the follower @id. */
	void (*grant)(struct exchange_out *out, uint32_t id, const peer_msg *msg);
	/* Asks for the readers of all data centres; see exchange_readers(). */
	void (*list_readers)(struct exchange_out *out);
	/* Sends a request for lent credits to the reader of another data centre. */
	void (*borrow)(struct exchange_out *out, const struct reader_entry *reader,
		       const peer_msg *msg);
};

struct exchange_out {
	const struct exchange_out_ops *ops;
};

/* What the relay is, as far as credits are concerned. */
enum exchange_role {
	EXCHANGE_OFF, /* neither follows a reader nor is one: no grants */
	EXCHANGE_FOLLOWER,
	EXCHANGE_READER,
};

struct exchange_options {
	struct control_state *control_state;
	struct credit_account *account;
	struct exchange_out *out;
	struct random *random;
	uint32_t self;	      /* IPv4 address of this instance */
	uint32_t incarnation; /* increases with each start; sequence numbers begin with it */
	uint32_t interval_ms;
};

struct exchange *exchange_new(const struct exchange_options *opts);
void exchange_free(struct exchange *ex);

void exchange_set_role(struct exchange *ex, enum exchange_role role, struct timespec now);
/* The reader has changed, or the process was suspended: ends the grants in force. */
void exchange_reset(struct exchange *ex, struct timespec now);

/*
 * Planned stop: no more reports and grants. The grants in force last until they expire, because
 * the reader keeps their credits for this instance as long.
 */
void exchange_stop(struct exchange *ex);

/* Messages; malformed ones are counted and dropped. */
void exchange_receive_report(struct exchange *ex, uint32_t src, const peer_credit_report *msg,
			     struct timespec now);
void exchange_receive_grant(struct exchange *ex, uint32_t src, const peer_credit_grant *msg,
			    struct timespec now);
/* Readers of all data centres, as listed in the store. Elements: struct exchange_reader. */
struct exchange_reader {
	const char *data_centre;
	struct reader_entry entry;
};
void exchange_readers(struct exchange *ex, const struct exchange_reader *readers, size_t nr,
		      struct timespec now);

void exchange_timer(struct exchange *ex, struct timespec now);
/* Milliseconds until exchange_timer() is due; may be negative. */
int64_t exchange_due_ms(const struct exchange *ex, struct timespec now);

/* State for metrics. Of a follower, members, services and the rest of the reader's are 0. */
struct exchange_status {
	uint32_t members;  /* instances of the data centre that report, with the reader itself */
	uint32_t services; /* services that take part */
	uint32_t left_out; /* targets that are left out in part */
	uint32_t lent;	   /* credits lent to other data centres */
	uint32_t borrowed; /* credits borrowed from them */
	uint32_t held;	   /* by this instance, of all services, as are the following */
	uint32_t in_use;
	int64_t age_ms; /* of the oldest grant in force; -1 for none */
};

void exchange_status(const struct exchange *ex, struct timespec now,
		     struct exchange_status *status);

#endif
