/*
 * State that the modules behind home.h share: shards, calls to peers, parked packets. Internal to
 * home.c, assign.c, recover.c, follow.c, decide.c, pass.c, query.c, park.c, tables.c, flow.c and
 * route.c.
 */
#ifndef SHARD_H
#define SHARD_H

#include "home.h"

/* When a bucket becomes shared, members report to the home the flows opened within this time. */
#define RECENT_OPENING_MS 4000
/*
 * A home treats a member's lease as expired this long after its own record of the member expired:
 * the home's newest information may be two heartbeats older than the member's last contact with
 * the group.
 */
#define LEASE_MARGIN_MS (2 * HEARTBEAT_INTERVAL_MIN_MS)
/* A flow entry of a shared bucket that was unused for longer needs the home's confirmation. */
#define ENTRY_REVALIDATE_MS 10000
/* A closed flow is kept for retransmitted FINs and while other members may use their entries. */
#define CLOSED_FLOW_KEEP_MS 30000
/* Retention of a flow that no target accepted, and of one whose target was removed. */
#define UNACCEPTED_FLOW_KEEP_MS 60000
/* Idle time after which a shared bucket is settled although its base was removed or withdrawn. */
#define MISSING_BASE_SETTLE_MS 60000
/* For this long after a change of the base, flows at the base are reported to a new home too. */
#define BASE_CHANGE_REPORT_MS 30000
/* Losses within this time before a recovery are simultaneous: no pins were copied in between. */
#define LOSS_WINDOW_MS (3 * MEMBER_DEAD_AFTER_MS)

/* How long a lost member counts in the group's size: peers may notice a partition this late. */
#define LOST_MEMBER_KEEP_MS 2000
/* Longest wait of a leaving instance for new homes to take over its pins. */
#define LEAVE_TIMEOUT_MS 10000

#define CALL_TIMEOUT_MS		200 /* 25 round trips between data centres */
#define CALL_TRIES		3
#define PASS_TIMEOUT_MS		100
#define BACKUP_TIMEOUT_MS	50 /* for the backup to store the pin of an opening */
#define PINS_PER_MESSAGE	256
#define ACK_PINS_MAX		2048 /* pins in one acknowledgement; must fit a UDP datagram */
#define PARKED_MAX		4096
#define PARKED_MAX_PER_ORG	1024
#define QUERIES_MAX		1024
#define CALLS_MAX		16384
#define SAVED_OPENINGS		4096 /* a power of two */
#define SAVED_OPENING_MAX_BYTES 128  /* IPv4 and TCP headers with all options */
#define SAVED_OPENING_KEEP_MS	3000
#define SYNCS_PER_TIMER		32
#define SYNC_INTERVAL_MS	500
/*
 * Each timer visits all shards of busy services and about SHARDS_PER_TIMER others, each of these at
 * least once in REVIEW_INTERVAL_MS. With 980 services, visiting all 15,680 shards in every timer
 * took a fifth of a core.
 */
#define SHARDS_PER_TIMER   512
#define BUSY_SERVICE_MS	   2000
#define REVIEW_INTERVAL_MS 1000
/* A bucket that became shared for a retry must not become single before the retry. */
#define SHARED_BUCKET_MIN_MS 2000
#define REFRESH_INTERVAL_MS  10000
/* While a change is pending, a draining base gets new flows no longer than this. */
#define DRAINING_BASE_USE_MS 1000
#define RECLAIM_DELAY_MS     1000 /* before a fenced instance claims a shard again */
/* A bucket becomes shared at this load of its base, single below that of its current target. */
#define OVERLOAD_START_PERMILLE 950
#define OVERLOAD_END_PERMILLE	800

/* A packet that waits for a peer's reply, or a target's answer that waits for the home's. */
struct parked {
	bool is_answer;
	struct packet pkt;
	struct answer ans;
	uint32_t org;
	struct timespec since;
	uint8_t *bytes;
};

enum call_kind {
	CALL_ANNOUNCE, /* home to member: changed buckets */
	CALL_PULL,     /* new home to member: requests buckets and pins */
	CALL_SYNC,     /* member to home: requests buckets */
	CALL_PASS,     /* member to home: a packet for a decision */
	CALL_NOTE,     /* member to home: a target's answer for a decision */
	CALL_QUERY,    /* to all members: what they know of one flow */
	CALL_FORGET,   /* to all members: remove or replace one flow's entry */
	CALL_BACKUP,   /* home to backup: pin of a parked opening */
	CALL_COPY,     /* home to backup: pins of a shard, in batches */
};

struct call {
	enum call_kind kind;
	uint32_t dst;
	struct service_addr addr;
	uint32_t index; /* of the shard */
	uint32_t term;
	uint32_t epoch;
	uint32_t cursor;
	uint64_t hash;
	struct timespec started;
	struct parked *parked;
};

/* State of one other member at the home of a shard. */
struct shard_peer {
	uint32_t id;
	uint32_t acked; /* newest epoch of this term that it acknowledged */
	bool answered;	/* has reported all its pins and cached flows */
	enum member_state state;
	uint64_t pull_call; /* ids of outstanding calls, 0 for none */
	uint64_t announce_call;
	bool silent; /* its lease expired at silent_since */
	struct timespec silent_since;
};

enum shard_role { SHARD_FOLLOWER, SHARD_RECOVERING, SHARD_HOME };

/* State of a shard that only its home has, or the instance that recovers it. */
struct shard_lead {
	uint32_t term;
	GArray *peers; /* struct shard_peer */
	struct timespec peers_updated;
	uint32_t changed[BUCKETS_PER_SHARD]; /* epoch of the last change */
	uint64_t pending; /* bit set: shared buckets whose announcement is not yet acknowledged */
	uint64_t share_requested; /* bit set: buckets to share because a retry waits */
	uint32_t lost;		  /* lost members that may not have reported all their pins */
	struct timespec uncertain_until;
	bool incomplete; /* others may hold unreported flows: a flow not found here is unknown */
	bool split_possible; /* a partition's other side may open flows not accepted here */
	bool announced_certain;
	bool was_partitioned; /* a partition began at partition_start, in this term */
	struct timespec partition_start;
	uint32_t table_term, table_home, table_epoch; /* of the newest bucket table received */
	int64_t base_seen_ms[BUCKETS_PER_SHARD];      /* last packet for a flow at the base */
	int64_t shared_ms[BUCKETS_PER_SHARD];	      /* when it became shared */
	struct timespec next_review;
	uint64_t weights_version, targets_version; /* of the last review */
	uint32_t copy_cursor;
	bool copying;
	uint64_t copy_call;
};

struct service_state;

struct shard {
	struct service_state *owner;
	uint8_t index;
	uint8_t role;
	bool known; /* buckets were assigned by some home */
	bool valid; /* the home confirmed the buckets and contact has not been lost since */
	bool handover_pending; /* was home here; no newer home has pulled the pins yet */
	bool elected;	       /* this instance ranks first */
	uint32_t term, home, epoch;
	uint32_t fence_term, fence_home; /* newest term seen or promised */
	struct timespec reclaim_after;
	struct timespec next_sync;
	struct timespec home_unreachable_until; /* a call to the home timed out */
	struct timespec next_refresh;
	uint32_t refresh_cursor;
	struct bucket buckets[BUCKETS_PER_SHARD];
	/*
	 * Entries last used before this (time of the flow cache) need the home's confirmation once:
	 * a home that is new, or whose bucket was single, does not know the flows at the base, and
	 * could otherwise choose another target for a new flow with the same key.
	 */
	uint32_t confirm_before_ms[BUCKETS_PER_SHARD];
	/*
	 * When the base changed (time of the flow cache). For BASE_CHANGE_REPORT_MS, flows at the
	 * base are reported to a new home as well: it may have missed the change and hold the old
	 * base.
	 */
	uint32_t base_changed_ms[BUCKETS_PER_SHARD];
	struct shard_lead *lead;
};

struct service_state {
	struct service_addr addr;
	struct service *svc;
	GArray *weights;		 /* struct weighted_target: eligible ones */
	uint64_t weights_version;	 /* changes with the content of weights */
	uint64_t weights_source_version; /* combined version of the sources of weights */
	struct timespec busy_until;
	struct shard shards[SHARDS_PER_SERVICE];
};

struct saved_opening {
	uint64_t hash;
	uint32_t opening_id;
	uint32_t saved_ms;
	uint16_t len;
	int32_t deadline_ms;
	uint8_t bytes[SAVED_OPENING_MAX_BYTES];
};

/* A recently lost member, which still counts in the group's size for a majority. */
struct lost_member {
	uint32_t id;
	struct timespec since;
};

/* Slots with the last terminated flow each, so that several packets of one flow count once. */
#define TERMINATED_SLOTS 4096

struct homes {
	uint64_t last_terminated[TERMINATED_SLOTS]; /* flow hash */
	const struct config *cfg;
	struct members *mem;
	struct targets *tgs;
	struct flowtab *tab;
	GHashTable *services;	 /* address key to struct service_state */
	GPtrArray *service_list; /* struct service_state, for visits in turn */
	GArray *peers;		 /* uint32_t: other members, neither dead nor left */
	GArray *lost_members;	 /* struct lost_member */
	uint64_t members_version;
	uint64_t config_changes;
	bool started;
	bool leaving;
	struct timespec leave_by;
	bool maybe_partitioned;
	struct timespec last_partition; /* when maybe_partitioned was last set; 0 for never */
	bool fresh;			/* the routing lease is fresh */
	bool majority;			/* leases of more than half of the members are fresh */
	struct timespec last_timer;
	struct timespec busy_until; /* until then, each timer visits the shards of all services */
	uint64_t targets_version;
	uint32_t visit_turn; /* which part of the other services the current timer visits */
	GHashTable *calls;   /* uint64_t to struct call */
	uint64_t next_call;
	GHashTable *queries; /* flow hash to struct query */
	uint32_t parked;
	GArray *org_parked; /* uint32_t */
	struct saved_opening *saved;
	size_t flow_visit_pos; /* shard whose flows were visited last */
	size_t sweep_slots;
};

/* Handlers of replies get NULL as @msg when the call failed. */

/* home.c */
struct service_state *homes_service(struct homes *homes, struct service_addr addr);
struct shard *homes_shard(struct homes *homes, struct service_addr addr, uint32_t index);
/* Whether this instance may decide as the home of @shard now. */
bool shard_acting(const struct homes *homes, const struct ctx *ctx, const struct shard *shard);
/* Whether packets of @bucket may be forwarded to its base without asking the home. */
bool shard_single(const struct homes *homes, const struct ctx *ctx, const struct shard *shard,
		  const struct bucket *bucket);
/* The member to pass packets of @shard to, or MEMBER_NONE. */
uint32_t shard_home(const struct homes *homes, const struct ctx *ctx, const struct shard *shard);
peer_shard shard_header(const struct shard *shard);
void shard_each(struct homes *homes, void (*fn)(struct homes *, struct ctx *, struct shard *),
		struct ctx *ctx);
static inline struct bucket *shard_bucket(struct shard *shard, uint64_t hash)
{
	return &shard->buckets[bucket_of(hash) % BUCKETS_PER_SHARD];
}
static inline uint32_t bucket_number(const struct shard *shard, uint32_t b)
{
	return shard->index * BUCKETS_PER_SHARD + b;
}

/* flow.c: entries of the flow cache and their form in messages. */
enum target_config_state {
	TARGET_CONFIGURED,
	TARGET_UNCONFIGURED,
	TARGET_WITHDRAWN, /* configured, but its data centre is withdrawn */
};
enum target_config_state target_config_state(const struct homes *homes, uint32_t target);
/* Whether the target gets no new flows according to the configuration. */
bool target_draining(const struct homes *homes, uint32_t target);
/* Whether the target accepted the flow, or payload was forwarded to it. */
static inline bool flow_trusted(const struct flow *flow)
{
	return (flow->flags & (FLOW_ESTABLISHED | FLOW_PAYLOAD)) != 0;
}
/* Entry of @hash for @target, reset when it named another target or opening; NULL at the quota. */
struct flow *flow_set(struct homes *homes, struct ctx *ctx, const struct shard *shard,
		      uint64_t hash, uint32_t target, uint32_t opening_id, uint8_t flags);
void flow_remove(struct homes *homes, struct ctx *ctx, struct flow *flow);
bool flow_of_shard(const struct homes *homes, const struct shard *shard, const struct flow *flow);
bool flow_recent(const struct homes *homes, const struct ctx *ctx, const struct flow *flow);
peer_pin pin_encode(const struct homes *homes, const struct ctx *ctx, const struct flow *flow);
/* Interned target of a pin, or TARGET_NONE when the service has no such target. */
uint32_t pin_target(const struct homes *homes, const struct shard *shard, const peer_pin *pin);
uint8_t pin_flags(const peer_pin *pin);
/* Merges a pin that a member reported; of it and the entry, the more reliable one is kept. */
void pin_merge(struct homes *homes, struct ctx *ctx, struct shard *shard, const peer_pin *pin);
/*
 * Appends to @pins, from *cursor on, up to @max flows of @shard that the base of their bucket does
 * not imply; of these only entries with FLOW_HELD if @held_only. Sets *cursor to 0 at the end.
 */
void pins_collect(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t *cursor,
		  guint max, bool held_only, GArray *pins);
bool flow_expired(const struct flow *flow, uint32_t now_ms, void *homes);
/* Record a packet or an answer in its flow's entry. */
void flow_used(struct homes *homes, struct ctx *ctx, struct flow *flow, const struct packet *pkt);
void flow_answered(struct homes *homes, struct ctx *ctx, struct flow *flow,
		   const struct answer *ans);

/* park.c */
struct parked *park_packet(struct homes *homes, struct ctx *ctx, uint32_t org,
			   const struct packet *pkt);
struct parked *park_answer(struct homes *homes, struct ctx *ctx, uint32_t org,
			   const struct answer *ans);
/*
 * Subtracts the time that a packet was parked from its deadline. Returns false, and counts the
 * drop, when the deadline has passed.
 */
bool parked_in_time(struct ctx *ctx, struct parked *parked);
void parked_free(struct homes *homes, struct parked *parked);
/*
 * Calls a peer; takes ownership of call.parked. Returns the call's id, or 0 (and frees call.parked)
 * when the call could not be made.
 */
uint64_t call_make(struct homes *homes, struct ctx *ctx, struct call call, uint32_t timeout_ms,
		   uint32_t tries, const peer_msg *msg);
void calls_expire(struct homes *homes, struct ctx *ctx);
void call_free(struct homes *homes, struct call *call);
void peer_reply(struct ctx *ctx, uint32_t dst, uint32_t xid, const peer_msg *msg);
void opening_save(struct homes *homes, struct ctx *ctx, uint64_t hash, const struct packet *pkt);
const struct saved_opening *opening_saved(struct homes *homes, struct ctx *ctx, uint64_t hash,
					  uint32_t opening_id);

/* assign.c: current targets, epochs, announcements. */
void weights_refresh(struct homes *homes, struct ctx *ctx, struct service_state *st);
void assign_start(struct homes *homes, struct ctx *ctx, struct shard *shard);
/* Makes a bucket shared in the epoch of @shard; the next timer announces it to the members. */
void assign_share(struct shard *shard, struct ctx *ctx, uint32_t b);
void assign_timer(struct homes *homes, struct ctx *ctx, struct shard *shard);
void assign_settle(struct homes *homes, struct ctx *ctx, struct shard *shard);
void assign_announced(struct homes *homes, struct ctx *ctx, struct shard *shard,
		      const struct call *call, const peer_msg *msg);
struct shard_peer *lead_peer(struct shard *shard, uint32_t id);

/* recover.c: election, recovery, fencing. */
int term_cmp(uint32_t term_a, uint32_t home_a, uint32_t term_b, uint32_t home_b);
/*
 * Records the term of a header; gives the shard up when it is newer than the fence. Returns
 * term_cmp() of the header and the fence.
 */
int shard_observe(struct homes *homes, struct ctx *ctx, struct shard *shard,
		  const peer_shard *header);
void shard_give_up(struct homes *homes, struct ctx *ctx, struct shard *shard);
void recover_timer(struct homes *homes, struct ctx *ctx, struct shard *shard);
void recover_pulled(struct homes *homes, struct ctx *ctx, struct shard *shard,
		    const struct call *call, const peer_msg *msg);
void recover_copied(struct homes *homes, struct ctx *ctx, struct shard *shard,
		    const struct call *call, const peer_msg *msg);
/* The member other than @skip that is to hold copies of the home's pins, or MEMBER_NONE. */
uint32_t shard_backup(const struct homes *homes, const struct ctx *ctx, const struct shard *shard,
		      uint32_t skip);
/* Whether flows may exist that the home does not know. */
bool lead_uncertain(const struct shard *shard, const struct ctx *ctx);

/* follow.c: the member's side. */
void follow_announce(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
		     uint32_t xid, const peer_shard_announce *ann);
void follow_pull(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
		 uint32_t xid, const peer_shard_pull *pull);
void follow_synced(struct homes *homes, struct ctx *ctx, struct shard *shard, const peer_msg *msg);
void follow_timer(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t *budget);
void follow_refresh(struct homes *homes, struct ctx *ctx, struct shard *shard);
void follow_pins(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
		 uint32_t xid, const peer_pin_batch *batch);
/* Answers a message about a service that this instance does not know; stores nothing. */
void follow_unknown(struct ctx *ctx, uint32_t src, uint32_t xid, const peer_msg *msg);

/* tables.c: buckets in messages. */
struct encoded_table {
	uint32_t ids[PEER_MAX_TARGETS];
	peer_target targets[PEER_MAX_TARGETS];
	u_int buckets[BUCKETS_PER_SHARD];
	u_int nr_targets, nr_buckets;
};
/* Buckets changed after epoch @since, 0 for all; the result points into @table. */
peer_buckets table_encode(const struct homes *homes, const struct shard *shard, uint32_t since,
			  struct encoded_table *table);
/* Applies the buckets of a message to @shard. Returns false when it is malformed. */
bool table_apply(struct homes *homes, struct ctx *ctx, struct shard *shard,
		 const peer_buckets *msg);
/* Index in the shard, and mode, of one bucket of a message. */
uint32_t table_index(u_int word);
bool table_shared(u_int word);

/* decide.c: the home's decisions. */
enum decision {
	DECIDE_FORWARD, /* to flow->target */
	DECIDE_REFUSE,
	DECIDE_DROP,
	DECIDE_TERMINATE,
	DECIDE_QUERY, /* query the group first */
};
/* Sets *fresh when the backup must store the pin of *out before the packet is forwarded. */
enum decision decide_opening(struct homes *homes, struct ctx *ctx, struct shard *shard,
			     uint64_t hash, uint32_t opening_id, struct flow **out, bool *fresh);
enum decision decide_data(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
			  uint32_t payload_len, struct flow **out);
enum decision decide_answer(struct homes *homes, struct ctx *ctx, struct shard *shard,
			    uint64_t hash, uint32_t target, enum answer_kind kind,
			    uint32_t opening_id, struct flow **out);
/* Pins a new flow to a target; NULL and the decision in *why when none can take it. */
struct flow *decide_new(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
			uint32_t opening_id, enum decision *why);

/* pass.c */
void pass_to_home(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		  const struct packet *pkt);
void pass_received(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
		   uint32_t xid, const peer_pass *pass);
void pass_answered(struct homes *homes, struct ctx *ctx, struct shard *shard,
		   const struct call *call, const peer_msg *msg);
/* Sends the pin of @flow to the backup, and forwards @pkt once the backup has stored it. */
void pass_with_backup(struct homes *homes, struct ctx *ctx, struct shard *shard, struct flow *flow,
		      const struct packet *pkt);
void pass_backed_up(struct homes *homes, struct ctx *ctx, struct shard *shard, struct call *call,
		    const peer_msg *msg);
void note_to_home(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		  uint32_t target, const struct answer *ans);
void note_received(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
		   uint32_t xid, const peer_answer_note *note);
void note_answered(struct homes *homes, struct ctx *ctx, struct shard *shard,
		   const struct call *call, const peer_msg *msg);

/* query.c: queries to all members about one flow. */
enum query_kind {
	QUERY_FIND,    /* which target has the flow */
	QUERY_SILENCE, /* whether any member saw an answer lately */
	QUERY_RETRY,   /* whether the opening may be sent to another target */
	QUERY_FORGET,  /* removes entries of an older flow with the key, then routes the opening */
};
/* Starts a query with a copy of @pkt (may be NULL), unless the flow has one already. */
void query_start(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		 enum query_kind kind, const struct packet *pkt, uint32_t opening_id);
void query_timer(struct homes *homes, struct ctx *ctx);
void query_received(struct homes *homes, struct ctx *ctx, uint32_t src, uint32_t xid,
		    const peer_flow_query *query);
void query_answered(struct homes *homes, struct ctx *ctx, const struct call *call,
		    const peer_msg *msg);
bool query_active(const struct homes *homes, uint64_t hash);
void query_free(gpointer arg);

#endif
