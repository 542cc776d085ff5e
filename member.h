/*
 * Membership of the entry group: who is live, who is home of a shard, and whether this instance
 * may route without asking. Fed by heartbeats and the platform's lagging list.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "ctx.h"
#include "packet.h"

/* Of a small group; members_lease_ms() has the lease in force. Dead after three leases. */
#define ROUTING_LEASE_MS 2000
#define DEAD_AFTER_MS	 (3 * ROUTING_LEASE_MS)
#define HEARTBEAT_MS	 500
#define HEARTBEAT_FANOUT 3
#define MEMBER_NONE	 0u

enum member_state {
	MEMBER_JOINING,
	MEMBER_LIVE,
	MEMBER_LEAVING,
	MEMBER_SUSPECT, /* still counted for homes, but its routing lease is over */
	MEMBER_DEAD,
};

struct members;

struct members_options {
	uint32_t self;
	const char *group;
	const char *data_centre;
	uint32_t incarnation;
	struct endpoint peer; /* where this instance receives peer messages; zero if unknown */
	const struct instance_info *seeds; /* first contacts, from the settings */
	size_t nr_seeds;
};

struct members *members_new(const struct members_options *opts);
void members_free(struct members *mem);

/* Takes the platform's list. Listed instances are added; it never kills a member that heartbeats.
 */
void members_list(struct members *mem, struct ctx *ctx, const struct instance_info *list,
		  size_t nr);
/* This instance no longer watches the list: what others tell of it counts again. */
void members_list_ended(struct members *mem, struct ctx *ctx);
/* Takes a heartbeat of @src. Returns true when the view changed. */
bool members_heartbeat(struct members *mem, struct ctx *ctx, uint32_t src,
		       const peer_heartbeat *hb);
/* Sends heartbeats when due and ages members. Returns true when the view changed. */
bool members_timer(struct members *mem, struct ctx *ctx);

/* Lets other modules add their news to the next heartbeat; see target.h and config.h. */
void members_set_digest(struct members *mem, uint64_t config_digest);
struct news_source {
	/* Fills @news with up to @max entries for a heartbeat; returns their number. */
	size_t (*fill)(struct news_source *src, struct ctx *ctx, peer_target_news *news,
		       size_t max);
};
void members_set_news(struct members *mem, struct news_source *src);

/* Changes whenever the set of members that can be homes changes. */
uint64_t members_version(const struct members *mem);
/*
 * Instance of rank @rank (0 is the home, 1 the backup) for a shard, or MEMBER_NONE. Joining,
 * leaving and dead members are no candidates.
 */
uint32_t members_home(const struct members *mem, struct service_addr addr, uint32_t shard,
		      uint32_t rank);
/* Rendezvous rank order for any 64-bit key over the same candidates. */
uint32_t members_ranked(const struct members *mem, uint64_t key, uint32_t rank);

/*
 * Routing lease in force: grows with the number of members that are known and have not left, so
 * that it does not change when members die.
 */
uint32_t members_lease_ms(const struct members *mem);
/*
 * Whether a member has returned a heartbeat that this instance sent within the routing lease (true
 * when alone). Messages that were queued during a pause therefore do not renew the lease.
 */
bool members_lease_fresh(const struct members *mem, struct timespec now);
/*
 * The same for the duties of a home, with twice the lease: no other member takes a shard over
 * before three leases have passed. Gossip renews a lease late in about one of a hundred cases, and
 * a home that gave its shards up each time would make the whole group resync.
 */
bool members_home_lease_fresh(const struct members *mem, struct timespec now);
/*
 * Whether a member may still route by what it knew before: its lease has not run out. Half a lease
 * is added because others may know a newer counter of the member than this instance does.
 */
bool members_may_route(const struct members *mem, uint32_t id, struct timespec now);

/*
 * Members that could have pinned flows and are out of contact without being known to be gone:
 * true while a whole data centre of the group is missing and not listed as gone.
 */
bool members_maybe_cut(const struct members *mem);
/*
 * Number of members that were lost (not left) since @since. A restart under a new incarnation
 * counts as a loss; the return of the same incarnation takes the loss back.
 */
uint32_t members_lost_since(const struct members *mem, struct timespec since);

uint32_t members_self(const struct members *mem);
enum member_state members_state(const struct members *mem, uint32_t id);
/* Incarnation of a member, 0 if unknown. What it held is lost when this changes. */
uint32_t members_incarnation(const struct members *mem, uint32_t id);
/* Sets this instance's own state (joining, live or leaving); it spreads with the heartbeats. */
void members_set_self(struct members *mem, enum member_state state);
/* The last heartbeat of a planned stop: tells the group that this instance has left. */
void members_goodbye(struct members *mem, struct ctx *ctx);
/* True once, after the timer slept for longer than the routing lease (pause of the process). */
bool members_slept(struct members *mem);

/* Calls @fn for every other member of the group that is not dead and not left. */
void members_each(const struct members *mem, void (*fn)(uint32_t id, void *arg), void *arg);
/* Number of members of the group that are live or suspect, with this one. */
uint32_t members_count(const struct members *mem);
/* Whether some member of the group is in data centre @name. */
bool members_in_dc(const struct members *mem, const char *name);
/* Where a member (or an instance of another group) receives peer messages; false if unknown. */
bool members_endpoint(const struct members *mem, uint32_t id, struct endpoint *ep);
/* A random instance of another group, or MEMBER_NONE. */
uint32_t members_other_group(const struct members *mem, struct ctx *ctx);

#endif
