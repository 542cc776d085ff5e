/*
 * State shared by the parts of the exchange: exchange.c (roles, follower), exchange-message.c
 * (encoding), exchange-member.c (members and demand), exchange-reader.c (rounds, grants) and
 * exchange-lend.c (lending).
 */
#ifndef CREDIT_EXCHANGE_INTERNAL_H
#define CREDIT_EXCHANGE_INTERNAL_H

#include "credit/exchange.h"
#include "credit/monitor.h"
#include "timeutil.h"

#define EXCHANGE_MAX_SERVICES PEER_MAX_CREDIT_SERVICES
/* The largest planned fleet has about 60 instances in a data centre. */
#define EXCHANGE_MAX_MEMBERS 512
#define EXCHANGE_MAX_LENDERS 16
/* An unchanged report or grant is sent again after this time. */
#define EXCHANGE_REPEAT_MS 500
/* Two and a half reports of an idle member, because one datagram in 700 is lost. */
#define EXCHANGE_MEMBER_EXPIRY_MS 1250
/* Minimum time between two reports when a target has been found dead. */
#define EXCHANGE_URGENT_MS 50
/* Time constant of the averages of demand and of shortages. */
#define EXCHANGE_AVERAGE_MS 1000
/* Openings of a service are counted over EXCHANGE_WINDOW_PARTS parts of this length. */
#define EXCHANGE_WINDOW_PART_MS 250
#define EXCHANGE_WINDOW_PARTS	8

/* A service whose demand has been reported. */
struct ex_service {
	uint32_t service; /* symbol; SYMBOL_NONE while the place is free */
	bool takes_part;
	struct allocator *allocator;
	uint32_t openings[EXCHANGE_WINDOW_PARTS];
	uint32_t reused[EXCHANGE_WINDOW_PARTS];
	struct timespec last_opening;
	GHashTable *left_out;	 /* identifiers of targets that are left out in part */
	uint32_t slots;		 /* of its own targets in the latest round */
	int64_t shortage_milli;	 /* average */
	int64_t demand_milli;	 /* average over about 1 s */
	int64_t important_milli; /* likewise, of priorities 0 and 1 */
	bool borrows;
};

/* An instance that reports: this one, a follower, or the reader of another data centre. */
struct ex_member {
	uint32_t id; /* IPv4 address */
	bool borrower;
	uint32_t data_centre; /* symbol; SYMBOL_NONE if it has no target that is known here */
	uint64_t sequence;    /* of its latest report */
	struct timespec last_report;
	/* Sums of the reports since the latest round, and the time that they cover. */
	uint32_t interval_ms;
	uint32_t openings[EXCHANGE_MAX_SERVICES][CREDIT_PRIORITIES];
	uint64_t rate_milli[EXCHANGE_MAX_SERVICES][CREDIT_PRIORITIES];
	bool rated; /* rate_milli has a first value */
	uint32_t wanted_milli[EXCHANGE_MAX_SERVICES];
	uint32_t demand_milli[EXCHANGE_MAX_SERVICES];
	uint32_t important_milli[EXCHANGE_MAX_SERVICES];
	uint32_t capacity_milli[EXCHANGE_MAX_SERVICES];
	uint64_t grant_hash; /* of the latest grant, without its sequence number */
	struct timespec grant_sent;
	struct timespec credits_sent; /* latest grant with credits */
};

/* Credits of one target that the reader of another data centre has lent. */
struct ex_lent {
	uint32_t service;
	struct credit_entry entry;
};

/* The reader of another data centre. */
struct ex_lender {
	char *data_centre;
	struct reader_entry entry;
	uint64_t sequence; /* of its latest grant */
	struct timespec granted;
	GArray *lent; /* struct ex_lent */
	uint32_t asked_milli[EXCHANGE_MAX_SERVICES];
	uint32_t demand_milli[EXCHANGE_MAX_SERVICES];	 /* that others do not serve */
	uint32_t important_milli[EXCHANGE_MAX_SERVICES]; /* of it */
	struct timespec asked; /* latest request; 0 while nothing is borrowed */
	bool listed;
};

struct exchange {
	struct exchange_options opts;
	enum exchange_role role;
	bool stopping;
	uint64_t sequence; /* of the latest message sent */
	struct timespec next_round;
	/* Messages before this time may have been queued while the process was suspended. */
	struct timespec accept_from;
	GArray *granted; /* symbols of the services of the latest grant applied */

	/* Follower. */
	struct timespec last_report;
	uint32_t reader;	  /* sender of the latest grant */
	uint64_t reader_sequence; /* of its latest grant */

	/* Reader. */
	struct timespec started;
	struct timespec last_round;
	struct monitor *monitor; /* NULL for other roles */
	struct ex_service services[EXCHANGE_MAX_SERVICES];
	GHashTable *members; /* id to struct ex_member */
	GHashTable *stated;  /* symbols of services with a route that states a goal, or more */
	uint64_t stated_version;
	unsigned int window_part;
	struct timespec window_moved;
	GPtrArray *lenders; /* struct ex_lender */
	struct timespec readers_asked;
};

/* Bits of the values of exchange.stated. */
#define STATED_GOAL	  1u
#define STATED_COLD	  2u /* a rate for cold targets */
#define STATED_GOAL_SHIFT 2

static inline struct control_state *ex_state(const struct exchange *ex)
{
	return ex->opts.control_state;
}

static inline const char *ex_service_name(const struct exchange *ex, const struct ex_service *svc)
{
	return symbols_name(&ex_state(ex)->symbols, svc->service);
}

uint64_t ex_next_sequence(struct exchange *ex);
const char *ex_data_centre(const struct exchange *ex);
/* Counts a message that is dropped. */
void ex_drop(struct exchange *ex);
/* Average of @value with a time constant of EXCHANGE_AVERAGE_MS, after @passed_ms. */
int64_t ex_average(int64_t average, int64_t value, int64_t passed_ms);
/* Applies a grant to the own account, and keeps its services for exchange_status(). */
void ex_apply_grant(struct exchange *ex, const struct credit_grant *grant, struct timespec now);

/* Encoding, in exchange-message.c. */
typedef void (*ex_send_fn)(struct exchange *ex, const peer_msg *msg);

/*
 * Sends a report in messages of one datagram each. The first one states the interval; in further
 * ones it is 0.
 */
void ex_write_report(struct exchange *ex, const struct credit_report *rep, uint32_t interval_ms,
		     ex_send_fn send);
bool ex_report_valid(const peer_credit_report *msg);
bool ex_grant_valid(const peer_credit_grant *msg);
/* Decodes the entries of a valid grant. Unknown services are left out. */
void ex_read_grant(const struct exchange *ex, const peer_credit_grant *msg,
		   struct credit_grant *grant);

/* A grant being encoded; entries that do not fit the datagram are left out. */
struct ex_grant_writer {
	peer_msg msg;
	peer_name services[PEER_MAX_CREDIT_SERVICES];
	peer_credit_entry entries[PEER_MAX_CREDIT_TARGETS];
	peer_credit_entry lent[PEER_MAX_CREDIT_TARGETS];
	size_t room;
};

void ex_grant_begin(struct exchange *ex, struct ex_grant_writer *wr, uint32_t flags);
/* Returns whether there was room for the service's name. */
bool ex_grant_add_service(struct ex_grant_writer *wr, const char *service);
/* Adds an entry of the service added as number @service. */
bool ex_grant_add_entry(struct ex_grant_writer *wr, uint32_t service,
			const struct credit_entry *entry);

/* Members of a reader and their services, in exchange-member.c. */
void ex_reader_start(struct exchange *ex, struct timespec now);
void ex_reader_end(struct exchange *ex);
/* Forgets the members, whose reports are outdated; new ones count from accept_from on. */
void ex_reader_reset(struct exchange *ex, struct timespec now);
/* Adds what this instance itself has to report. */
void ex_report_self(struct exchange *ex, struct timespec now);
/* Moves the window of openings to the present part. */
void ex_move_window(struct exchange *ex, struct timespec now);
/* Updates the averages of the members, and drops those without reports. */
void ex_update_members(struct exchange *ex, struct timespec now);
/* Decides whether the service takes part; frees its place when it is idle. */
void ex_update_service(struct exchange *ex, struct ex_service *svc, struct timespec now);
/* What the routes of the configuration in force state about a service: STATED_*. */
guint ex_stated(struct exchange *ex, uint32_t service);

/* Rounds, in exchange-reader.c. */
void ex_reader_round(struct exchange *ex, struct timespec now);

/* Lending, in exchange-lend.c. */
void ex_lender_free(gpointer data);
/* Updates the shortages after a round, and asks other readers for credits. */
void ex_borrow(struct exchange *ex, int64_t passed_ms, struct timespec now);
void ex_receive_lent(struct exchange *ex, uint32_t src, const peer_credit_grant *msg,
		     struct timespec now);
/* Appends the usable lent targets of a service to @targets (struct alloc_target). */
void ex_add_lent(const struct exchange *ex, uint32_t service, struct timespec now, GArray *targets);
void ex_log_lending(const struct exchange *ex, const struct ex_member *borrower, bool begins,
		    struct timespec now);
uint32_t ex_borrowed(const struct exchange *ex, struct timespec now);

#endif
