/* State of the group membership, for member.c, memberlist.c, memberview.c and heartbeat.c only. */
#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include <glib.h>

#include "member.h"

#define COUNTER_BITS 28
#define COUNTER_MASK ((1u << COUNTER_BITS) - 1)

/* Recent heartbeat counters whose send time is stored, to date a counter that the group returns. */
#define SENT_COUNTERS_MAX 64

/*
 * Bytes that a heartbeat costs besides its XDR body: IP and UDP header 28, RPC call header 40, key
 * id, sender, incarnation and counter 17, nonce 24, tag 16.
 */
#define DATAGRAM_OVERHEAD_BYTES 125

/*
 * Bytes of heartbeats that a daemon may send per second. It receives as many, which takes 2000 of
 * the 3000 bytes a second that it has; a 4 KB change of configuration every 13 s takes 900.
 */
#define HEARTBEAT_BYTES_PER_S 1000

/*
 * Heartbeats in which each member sends the full entry of a member whose state or incarnation
 * changed. All but a share of exp(-6) of the group receive the change that way; the rest request
 * full entries.
 */
#define CHANGE_SENDS 6

/*
 * Members that watch the list resend at this interval that it has a member as leaving. Members that
 * do not watch it drop the flag when it has not been resent for three intervals.
 */
#define LIST_LEAVING_RESEND_MS 20000

struct member {
	uint32_t id;
	uint32_t incarnation;
	uint32_t counter;
	peer_member_state claimed; /* the state that the member announces */
	enum member_state state;   /* as this instance judges it */
	bool counter_known;	   /* incarnation, counter and claimed are valid */
	bool listed;		   /* in the platform's latest list */
	bool list_leaving;
	bool list_gone;
	struct timespec list_leaving_at; /* flag last sent or received */
	struct timespec advanced_at;	 /* when its counter last rose, or when it was added */
	struct timespec suspected_at;	 /* when another member last reported it as suspect */
	uint32_t suspected_by;		 /* MEMBER_NONE for nobody */
	struct timespec lost_at;	 /* zero unless it died or restarted without leaving */
	uint32_t change_sends_left;
	struct endpoint ep; /* zero if unknown */
	const char *dc;	    /* interned, NULL if unknown */
};

/* An instance of another group. */
struct foreign_instance {
	uint32_t id;
	struct endpoint ep;
};

struct members {
	GPtrArray *entries; /* struct member by id, including this instance */
	struct member *self;
	GArray *foreign; /* struct foreign_instance */
	char *group;
	uint32_t group_hash;
	uint64_t version;
	uint64_t digest;
	struct news_source *news;
	GArray *candidates; /* uint32_t: ids of the members that can be homes */
	uint32_t size;	    /* known members that have not left, including this one */

	struct timespec last_run;	     /* of the timer, or when a message was last applied */
	struct timespec suspicion_grace_end; /* sends no own suspicions before */
	bool started;
	bool paused;
	bool list_received; /* has received a list at least once */
	bool list_watched;  /* watches the list now */

	struct timespec next_send;
	struct timespec last_unscheduled; /* when an unscheduled heartbeat was last sent */
	struct timespec sent_at[SENT_COUNTERS_MAX];
	struct timespec echo_sent_at; /* when the newest counter that the group returned was sent */
	uint32_t vector_start; /* lowest id of the next part when the vector is split, else 0 */
	uint32_t next_contact;
	uint32_t next_dead; /* next dead member to send a heartbeat to */
	bool wants_full;
};

struct member *member_find(const struct members *mem, uint32_t id);
/* Finds or adds; a new member is joining and has no valid counter yet. */
struct member *member_get(struct members *mem, uint32_t id, struct timespec now);
/*
 * Applies a counter received for @incarnation, @direct if from the member itself. Returns false
 * when it is outdated.
 */
bool member_advance(struct members *mem, struct member *m, uint32_t incarnation, uint32_t counter,
		    peer_member_state claimed, struct timespec now, bool direct);
/* Applies the PEER_MEMBER_LIST_* @flags that another member sent about @m. */
void member_apply_list_flags(struct members *mem, struct member *m, uint32_t flags,
			     struct timespec now);
/* Resends the leaving flag when due while the list is watched, else drops it when overdue. */
void member_update_list_leaving(struct members *mem, struct member *m, struct timespec now);
/* Adds a listed instance as a member or, if in another group, as a foreign instance. */
void member_add_instance(struct members *mem, const struct instance_info *info,
			 struct timespec now);
/* The group returned a counter that this instance sent. */
void members_note_echo(struct members *mem, uint32_t counter);
/* Records the time and detects pauses of this process by the gap since the last call. */
void members_note_time(struct members *mem, struct timespec now);
/* Recomputes all states. Returns true when the set of candidates for home changed. */
bool members_refresh(struct members *mem, struct timespec now);
/* Whether it announced that it left, or is dead and the list has it as gone. */
bool member_has_left(const struct member *m);
/* Time since its counter last rose. */
int64_t member_age_ms(const struct member *m, struct timespec now);
bool member_lease_expired(const struct members *mem, const struct member *m, struct timespec now);

/* Bytes of a typical heartbeat in a group of @size, and heartbeats per second within the budget. */
uint32_t heartbeat_bytes(uint32_t size);
double heartbeat_rate(uint32_t size);
void heartbeat_send_due(struct members *mem, struct ctx *ctx);

#endif
