/*
 * Membership of the entry group: which members are live, which is home of a shard, and whether this
 * instance may route without a query to the home. Updated by heartbeats and by the platform's list
 * of instances, which may be out of date.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "ctx.h"
#include "packet.h"

/* Minimum, for small groups; members_lease_ms() returns the lease in force. */
#define ROUTING_LEASE_MIN_MS 2000
/* A silent member is dead after three leases. */
#define MEMBER_DEAD_AFTER_MS	  (3 * ROUTING_LEASE_MIN_MS)
#define HEARTBEAT_INTERVAL_MIN_MS 500
#define HEARTBEAT_FANOUT_MAX	  3
#define MEMBER_NONE		  0u

enum member_state {
	MEMBER_JOINING,
	MEMBER_LIVE,
	MEMBER_LEAVING,
	MEMBER_SUSPECT, /* still a candidate for home, but its routing lease has expired */
	MEMBER_DEAD,
};

struct members;

struct members_options {
	uint32_t self;
	const char *group;
	const char *data_centre;
	uint32_t incarnation;
	struct endpoint peer; /* where this instance receives peer messages; zero if unknown */
	const struct instance_info *seeds; /* initial contacts, from the settings */
	size_t nr_seeds;
};

struct members *members_new(const struct members_options *opts);
void members_free(struct members *mem);

/*
 * Applies the platform's list of instances. Adds the listed ones; a member whose heartbeats arrive
 * is never declared dead because the list lacks it.
 */
void members_apply_list(struct members *mem, struct ctx *ctx, const struct instance_info *entries,
			size_t nr);
/* This instance no longer watches the list: list flags in heartbeats apply again. */
void members_list_unwatched(struct members *mem, struct ctx *ctx);
/* Applies a heartbeat from @src. Returns true when members_version() changed. */
bool members_receive_heartbeat(struct members *mem, struct ctx *ctx, uint32_t src,
			       const peer_heartbeat *hb);
/* Sends heartbeats that are due and updates states. Returns true when members_version() changed. */
bool members_timer(struct members *mem, struct ctx *ctx);

/* Digest of the configuration (see config.h), sent in each heartbeat. */
void members_set_config_digest(struct members *mem, uint64_t config_digest);
/* Adds target news (see target.h) to heartbeats. */
struct news_source {
	/* Fills @news with up to @max entries for a heartbeat; returns their number. */
	size_t (*fill)(struct news_source *src, struct ctx *ctx, peer_target_news *news,
		       size_t max);
};
void members_set_news_source(struct members *mem, struct news_source *src);

/* Increases whenever the set of candidates for home changes, or a member restarts. */
uint64_t members_version(const struct members *mem);
/*
 * Instance of rank @rank (0 is the home, 1 the backup) for a shard, or MEMBER_NONE. Joining,
 * leaving and dead members are not candidates.
 */
uint32_t members_home(const struct members *mem, struct service_addr addr, uint32_t shard,
		      uint32_t rank);
/* Rendezvous rank order for any 64-bit key over the same candidates. */
uint32_t members_ranked(const struct members *mem, uint64_t key, uint32_t rank);

/*
 * Routing lease in force. It grows with the number of known members that have not left; dead
 * members count too, so that the lease does not change when members die.
 */
uint32_t members_lease_ms(const struct members *mem);
/*
 * Whether this instance holds its routing lease: the group has returned a heartbeat counter that
 * this instance sent within the lease, or there is no other member. The time of sending counts, so
 * messages that were queued during a pause do not renew the lease.
 */
bool members_lease_fresh(const struct members *mem, struct timespec now);
/*
 * The same for acting as home, with twice the lease, which is safe because no other member takes
 * over a shard before three leases have passed. Gossip renews a lease late in about one of a
 * hundred cases; if the home gave up its shards each time, the whole group would resync.
 */
bool members_home_lease_fresh(const struct members *mem, struct timespec now);
/*
 * Whether member @id may still route from its cached state, because its lease has not expired. Half
 * a lease is added: other members may have a newer counter of it than this instance.
 */
bool members_may_route(const struct members *mem, uint32_t id, struct timespec now);

/*
 * Whether members that may have pinned flows may be on the other side of a network partition: true
 * while a whole data centre of the group is out of contact and not listed as gone.
 */
bool members_maybe_partitioned(const struct members *mem);
/*
 * Number of members that were lost (died without leaving) since @since. A restart under a new
 * incarnation counts as a loss; when the same incarnation returns, its loss no longer counts.
 */
uint32_t members_lost_since(const struct members *mem, struct timespec since);

uint32_t members_self(const struct members *mem);
enum member_state members_state(const struct members *mem, uint32_t id);
/* Incarnation of a member, 0 if unknown. A new one means that the member lost its state. */
uint32_t members_incarnation(const struct members *mem, uint32_t id);
/* Sets this instance's own state (joining, live or leaving), which its heartbeats announce. */
void members_set_own_state(struct members *mem, enum member_state state);
/* Sends the last heartbeat of a planned stop, which announces that this instance has left. */
void members_announce_left(struct members *mem, struct ctx *ctx);
/* True once after a pause of this process for longer than ROUTING_LEASE_MIN_MS; clears the flag. */
bool members_paused(struct members *mem);

/* Calls @fn for every other member of the group that is neither dead nor left. */
void members_for_each(const struct members *mem, void (*fn)(uint32_t id, void *arg), void *arg);
/* Number of members of the group that are live or suspect, including this instance. */
uint32_t members_count(const struct members *mem);
/* Whether a member of the group that is not dead is in data centre @name. */
bool members_in_dc(const struct members *mem, const char *name);
/* Where a member (or an instance of another group) receives peer messages; false if unknown. */
bool members_endpoint(const struct members *mem, uint32_t id, struct endpoint *ep);
/* A random instance of another group, or MEMBER_NONE. */
uint32_t members_random_foreign(const struct members *mem, struct ctx *ctx);

#endif
