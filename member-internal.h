/* State of the member view, shared by member.c and heartbeat.c only. */
#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include <glib.h>

#include "member.h"

#define COUNTER_BITS 28
#define COUNTER_MASK ((1u << COUNTER_BITS) - 1)

/* Sends of which the time is kept, to date a counter that comes back. */
#define SENT_RING 64

/*
 * Bytes that a heartbeat costs besides its XDR body: IP and UDP header 28, RPC call header 40, key
 * id, sender, incarnation and counter 17, nonce 24, tag 16.
 */
#define DATAGRAM_OVERHEAD 125

/*
 * Bytes a second that heartbeats may send. As many come in, so 2000 of the 3000 a second that a
 * daemon has; a change of configuration of 4 KB every 13 s takes 900.
 */
#define HEARTBEAT_BYTES_PER_S 1000

/*
 * Heartbeats that carry the full entry of a member whose state or incarnation changed. All but
 * exp(-6) of a group learn of it that way, the others ask for full entries.
 */
#define CHANGE_SENDS 6

/*
 * What the list has on a leaving member is told again in this interval, and forgotten by those who
 * do not watch it when it was not told for three of them.
 */
#define TELL_LIST_MS 20000

struct member {
	uint32_t id;
	uint32_t incarnation;
	uint32_t counter;
	peer_member_state claimed; /* what it says of itself */
	enum member_state state;   /* what this instance makes of it */
	bool heard;		   /* a heartbeat of this incarnation is known */
	bool in_list;		   /* in the platform's latest list */
	bool list_leaving;
	bool list_gone;
	struct timespec told_at;      /* when a member last said that the list has it leaving */
	struct timespec heard_at;     /* when its counter last went up, or when it was added */
	struct timespec suspected_at; /* when another observer last suspected it */
	uint32_t suspected_by;	      /* MEMBER_NONE for nobody */
	struct timespec lost_at;      /* zero unless lost */
	uint32_t change_sends;
	struct endpoint ep; /* zero if unknown */
	const char *dc;	    /* interned, NULL if unknown */
};

/* An instance of another group. */
struct stranger {
	uint32_t id;
	struct endpoint ep;
};

struct members {
	GPtrArray *list; /* struct member by number, with this instance */
	struct member *self;
	GArray *strangers; /* struct stranger */
	char *group;
	uint32_t group_hash;
	uint64_t version;
	uint64_t digest;
	struct news_source *news;
	GArray *candidates; /* uint32_t: members that can be homes */
	uint32_t size;	    /* known and not left, with this one */

	struct timespec last_run;  /* of the timer or a heartbeat */
	struct timespec grace_end; /* own suspicions are not told before */
	bool started;
	bool slept;
	bool have_list;	   /* got one at some time */
	bool list_current; /* watches it */

	struct timespec next_send;
	struct timespec last_answer; /* of the last heartbeat sent out of turn */
	struct timespec sent_at[SENT_RING];
	struct timespec echoed; /* when the newest counter that came back was sent */
	uint32_t rotation;	/* first member of the next vector that does not fit whole */
	uint32_t contact_rotation;
	uint32_t probe_rotation; /* dead members are tried in turn */
	bool wants_full;
};

struct member *member_find(const struct members *mem, uint32_t id);
/* Finds or adds; a new member is joining and not heard. */
struct member *member_get(struct members *mem, uint32_t id, struct timespec now);
/* Takes a counter seen for @incarnation. Returns false when it is old news. */
bool member_advance(struct members *mem, struct member *m, uint32_t incarnation, uint32_t counter,
		    peer_member_state claimed, struct timespec now, bool direct);
/* A member that watches the list says what that has on @m (PEER_MEMBER_LIST_* flags). */
void member_told(struct members *mem, struct member *m, uint32_t flags, struct timespec now);
/* Watchers repeat who is leaving; the others forget it when it is not repeated. */
void member_follow_list(struct members *mem, struct member *m, struct timespec now);
/* Adds a listed instance as a member or as one of another group. */
void member_add_instance(struct members *mem, const struct instance_info *info,
			 struct timespec now);
/* The counter of this instance came back from the group. */
void members_echo(struct members *mem, uint32_t counter);
/* Notes the time; a gap longer than the lease is a pause of this process. */
void members_note_time(struct members *mem, struct timespec now);
/* Brings all states up to date. Returns true when the set of candidates changed. */
bool members_refresh(struct members *mem, struct timespec now);
/* Left by its own word or by the list; a dead one may come back. */
bool member_has_left(const struct member *m);
/* Time since its counter last went up. */
int64_t member_age_ms(const struct member *m, struct timespec now);
bool member_suspicious(const struct members *mem, const struct member *m, struct timespec now);

/* Bytes of a typical heartbeat in a group of @size, and heartbeats a second that fit the budget. */
uint32_t heartbeat_bytes(uint32_t size);
double heartbeat_rate(uint32_t size);
void heartbeat_send_due(struct members *mem, struct ctx *ctx);

#endif
