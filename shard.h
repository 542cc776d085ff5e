/*
 * State that the modules behind home.h share: shards, calls to peers, parked packets. Internal to
 * home.c, assign.c, recover.c, follow.c, decide.c, pass.c, query.c, park.c, tables.c and route.c.
 */
#ifndef SHARD_H
#define SHARD_H

#include "home.h"

/* Members report flows that were opened within this time when a bucket becomes shared. */
#define RECENT_MS 4000
/*
 * A member's lease is over for its home this long after the home's view of it ran out: the home
 * may have heard of the member two heartbeats before the member last heard of the group.
 */
#define LEASE_MARGIN_MS (2 * HEARTBEAT_MS)
/* In a shared bucket, an entry unused for longer is confirmed by the home before it is used. */
#define REVALIDATE_MS 10000
/* A closed flow is remembered for retransmitted FINs and for entries that others still trust. */
#define CLOSED_KEEP_MS 30000
/* An opening that no target accepted, and a flow whose target is gone, are remembered for this. */
#define UNOPENED_KEEP_MS 60000
#define BASE_GONE_MS	 60000
#define BASE_TOLD_MS	 30000
/* Losses in this time before a recovery count as one: pins were not copied again in between. */
#define LOSS_WINDOW_MS (3 * DEAD_AFTER_MS)

/* The other side of a partition can notice it this much later than this one. */
#define GHOST_MS 2000
/* A leaving instance waits no longer for a home that does not take over its pins. */
#define LEAVE_MS 10000

#define CALL_TIMEOUT_MS	 200 /* 25 round trips between data centres */
#define CALL_TRIES	 3
#define PASS_TIMEOUT_MS	 100
#define BACKUP_WAIT_MS	 50 /* an opening waits no longer for the backup's copy of its pin */
#define PINS_PER_MESSAGE 256
#define RECENT_MAX	 2048 /* pins in one acknowledgement; must fit a UDP datagram */
#define PARKED_MAX	 4096
#define PARKED_ORG_MAX	 1024
#define QUERIES_MAX	 1024
#define CALLS_MAX	 16384
#define SAVED_OPENINGS	 4096 /* a power of two */
#define SAVED_BYTES	 128  /* IPv4 and TCP headers with all options */
#define SAVED_KEEP_MS	 3000
#define SYNCS_PER_TIMER	 32
#define SYNC_INTERVAL_MS 500
/*
 * About VISIT_SHARDS quiet shards are visited in each timer, each of them at least once in
 * REVIEW_MS; those of a busy service always. At 980 services, visits of all 15,680 shards in every
 * timer took a fifth of a core.
 */
#define VISIT_SHARDS 512
#define BUSY_MS	     2000
#define REVIEW_MS    1000
/* A bucket that was shared for a retry must not settle before the retry was made. */
#define SHARED_MIN_MS 2000
#define REFRESH_MS    10000
#define DRAINING_BASE_MS                                                                           \
	1000		       /* new flows still go to a draining base while a change is pending  \
				*/
#define RECOVER_HOLD_MS	  1000 /* before a fenced instance claims a shard again */
#define OVERLOAD_PERMILLE 950
#define RELIEVED_PERMILLE 800

/* A packet that waits for an answer of a peer, or an answer of a target that waits for the home. */
struct parked {
	bool is_answer;
	struct packet pkt;
	struct answer ans;
	uint32_t org;
	struct timespec since;
	uint8_t *bytes;
};

enum call_kind {
	CALL_ANNOUNCE, /* home to member: buckets */
	CALL_PULL,     /* new home to member: what do you know */
	CALL_SYNC,     /* member to home: buckets, please */
	CALL_PASS,
	CALL_NOTE,
	CALL_QUERY,
	CALL_FORGET,
	CALL_BACKUP, /* pin of one opening that waits */
	CALL_COPY,   /* pins of a shard, in batches */
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

/* What a home knows of one other member, for one shard. */
struct shard_peer {
	uint32_t id;
	uint32_t acked; /* newest epoch of this term that it acknowledged */
	bool answered;	/* has told all pins and cached flows that it had */
	enum member_state state;
	uint64_t pull_call; /* outstanding calls, 0 for none */
	uint64_t announce_call;
	bool silent; /* its lease is over since silent_since */
	struct timespec silent_since;
};

enum shard_role { SHARD_FOLLOWER, SHARD_RECOVERING, SHARD_HOME };

/* What only the home of a shard, or the instance that becomes it, has. */
struct shard_lead {
	uint32_t term;
	GArray *peers;			     /* struct shard_peer */
	struct timespec tracked;	     /* last look at the peers */
	uint32_t changed[BUCKETS_PER_SHARD]; /* epoch of the last change */
	uint64_t pending; /* shared buckets whose announcement is not yet acknowledged */
	uint64_t wanted;  /* buckets to share because a retry waits */
	uint32_t lost;	  /* members lost with what they knew */
	struct timespec uncertain_until;
	bool guarded; /* flows may exist elsewhere: no elimination at all */
	bool apart;   /* openings that nobody accepted here may be opened elsewhere */
	bool announced_certain;
	bool was_cut; /* a partition began at cut_since, in this term */
	struct timespec cut_since;
	uint32_t best_term, best_home, best_epoch; /* of the bucket table taken over */
	int64_t base_seen_ms[BUCKETS_PER_SHARD];
	int64_t shared_ms[BUCKETS_PER_SHARD]; /* when it became shared */
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
	bool known;   /* buckets were assigned by some home */
	bool valid;   /* the view was confirmed by the home and nothing came in between */
	bool untold;  /* was home here; no newer home has taken over the pins yet */
	bool elected; /* this instance ranks first */
	uint32_t term, home, epoch;
	uint32_t fence_term, fence_home; /* newest term seen or promised */
	struct timespec hold_until;
	struct timespec next_sync;
	struct timespec home_silent_until; /* a call to the home timed out */
	struct timespec next_refresh;
	uint32_t refresh_cursor;
	struct bucket buckets[BUCKETS_PER_SHARD];
	/*
	 * Entries last used before this (time of the flow cache) are confirmed by the home once:
	 * a home that is new, or whose bucket was single, does not know the flows at the base, and
	 * could otherwise choose another target for a new flow with the same key.
	 */
	uint32_t confirm_ms[BUCKETS_PER_SHARD];
	/*
	 * When the base changed. For BASE_TOLD_MS, flows at the base are told to a new home as
	 * well: a member that missed the change may have taken over with the old base.
	 */
	uint32_t base_ms[BUCKETS_PER_SHARD];
	struct shard_lead *lead;
};

struct service_state {
	struct service_addr addr;
	struct service *svc;
	GArray *weights;	  /* struct weighted_target: eligible ones */
	uint64_t weights_version; /* changes with the content of weights */
	uint64_t weights_read;	  /* what the weights were read from */
	struct timespec busy_until;
	struct shard shards[SHARDS_PER_SERVICE];
};

struct saved_opening {
	uint64_t hash;
	uint32_t opening_id;
	uint32_t saved_ms;
	uint16_t len;
	int32_t deadline_ms;
	uint8_t bytes[SAVED_BYTES];
};

/* A lost member, still counted for a majority. */
struct ghost {
	uint32_t id;
	struct timespec since;
};

/* Slots that remember which flow was terminated last, so that a burst of its packets counts once.
 */
#define ENDED_SLOTS 4096

struct homes {
	uint64_t ended[ENDED_SLOTS]; /* flow hash */
	const struct config *cfg;
	struct members *mem;
	struct targets *tgs;
	struct flowtab *tab;
	GHashTable *services; /* address key to struct service_state */
	GPtrArray *order;     /* the same, for visits in turn */
	GArray *peers;	      /* uint32_t: other members that are not gone */
	GArray *ghosts;	      /* struct ghost: members that were lost a moment ago */
	uint64_t members_version;
	uint64_t config_changes;
	bool started;
	bool leaving;
	struct timespec leave_by;
	bool cut;
	struct timespec cut_last; /* last time that the group seemed partitioned; 0 for never */
	bool fresh;		  /* routing lease */
	bool majority;		  /* leases of more than half of the members are fresh */
	struct timespec last_timer;
	struct timespec busy_until; /* shards of all services are visited in every timer */
	uint64_t targets_version;
	uint32_t turn;	   /* part of the quiet services that is visited */
	GHashTable *calls; /* uint64_t to struct call */
	uint64_t next_call;
	GHashTable *queries; /* flow hash to struct query */
	uint32_t parked;
	GArray *org_parked; /* uint32_t */
	struct saved_opening *saved;
	size_t visit; /* shard whose flows are looked at next */
	size_t sweep_slots;
};

/* Handlers of replies get NULL as @msg when the call failed. */

/* home.c */
struct service_state *homes_service(struct homes *homes, struct service_addr addr);
struct shard *homes_shard(struct homes *homes, struct service_addr addr, uint32_t index);
/* Whether this instance may decide as the home of @shard now. */
bool shard_acting(const struct homes *homes, const struct ctx *ctx, const struct shard *shard);
/* Whether packets of @bucket may go straight to its base. */
bool shard_single(const struct homes *homes, const struct ctx *ctx, const struct shard *shard,
		  const struct bucket *bucket);
/* Where to pass packets of @shard, or MEMBER_NONE. */
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
enum target_fate { TARGET_FINE, TARGET_GONE, TARGET_WITHDRAWN };
enum target_fate target_fate(const struct homes *homes, uint32_t target);
/* Whether the configuration says that the target gets no new flows. */
bool target_draining(const struct homes *homes, uint32_t target);
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
/* Takes over a pin that a member told; the better of it and the entry stays. */
void pin_merge(struct homes *homes, struct ctx *ctx, struct shard *shard, const peer_pin *pin);
/* Flows of @shard from *cursor on that elimination does not find; at most @max. */
void pins_gather(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t *cursor,
		 guint max, bool held_only, GArray *pins);
bool flow_expired(const struct flow *flow, uint32_t now_ms, void *homes);
/* Notes a packet in either direction. */
void flow_used(struct homes *homes, struct ctx *ctx, struct flow *flow, const struct packet *pkt);
void flow_answered(struct homes *homes, struct ctx *ctx, struct flow *flow,
		   const struct answer *ans);

/* park.c */
struct parked *park_packet(struct homes *homes, struct ctx *ctx, uint32_t org,
			   const struct packet *pkt);
struct parked *park_answer(struct homes *homes, struct ctx *ctx, uint32_t org,
			   const struct answer *ans);
/*
 * Takes the time that a packet waited off its deadline. Returns false, and counts the drop, when
 * the deadline has passed.
 */
bool parked_in_time(struct ctx *ctx, struct parked *parked);
void parked_free(struct homes *homes, struct parked *parked);
/* Makes a call; takes @parked. Returns its id, or 0 (and frees @parked) when it was not made. */
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
/* Makes a bucket shared in the epoch of @shard; members hear of it with the next timer. */
void assign_share(struct shard *shard, struct ctx *ctx, uint32_t b);
void assign_timer(struct homes *homes, struct ctx *ctx, struct shard *shard);
void assign_settle(struct homes *homes, struct ctx *ctx, struct shard *shard);
void assign_announced(struct homes *homes, struct ctx *ctx, struct shard *shard,
		      const struct call *call, const peer_msg *msg);
struct shard_peer *lead_peer(struct shard *shard, uint32_t id);

/* recover.c: election, recovery, fencing. */
int term_cmp(uint32_t term_a, uint32_t home_a, uint32_t term_b, uint32_t home_b);
/* Notes a header; gives the shard up when it names a newer term. Returns term_cmp() to the fence.
 */
int shard_observe(struct homes *homes, struct ctx *ctx, struct shard *shard,
		  const peer_shard *header);
void shard_give_up(struct homes *homes, struct ctx *ctx, struct shard *shard);
void recover_timer(struct homes *homes, struct ctx *ctx, struct shard *shard);
void recover_pulled(struct homes *homes, struct ctx *ctx, struct shard *shard,
		    const struct call *call, const peer_msg *msg);
void recover_copied(struct homes *homes, struct ctx *ctx, struct shard *shard,
		    const struct call *call, const peer_msg *msg);
/* The member other than @skip that holds the second copy of the home's pins, or MEMBER_NONE. */
uint32_t shard_backup(const struct homes *homes, const struct ctx *ctx, const struct shard *shard,
		      uint32_t skip);
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
/* Answers a message on a service that this instance does not know (yet): it keeps nothing of it. */
void follow_unknown(struct ctx *ctx, uint32_t src, uint32_t xid, const peer_msg *msg);

/* tables.c: buckets in messages. */
struct encoded_table {
	uint32_t ids[PEER_MAX_TARGETS];
	peer_target targets[PEER_MAX_TARGETS];
	u_int buckets[BUCKETS_PER_SHARD];
	u_int nr_targets, nr_buckets;
};
/* Buckets changed after epoch @since, 0 for all; what is returned points into @table. */
peer_buckets table_encode(const struct homes *homes, const struct shard *shard, uint32_t since,
			  struct encoded_table *table);
/* Takes over the buckets of a message. Returns false when it is malformed. */
bool table_take(struct homes *homes, struct ctx *ctx, struct shard *shard, const peer_buckets *msg);
/* Index in the shard, and mode, of one bucket of a message. */
uint32_t table_index(u_int word);
bool table_shared(u_int word);

/* decide.c: the home's decisions. */
enum decision {
	DECIDE_FORWARD, /* to flow->target */
	DECIDE_REFUSE,
	DECIDE_DROP,
	DECIDE_TERMINATE,
	DECIDE_ASK, /* the group must be asked first */
};
enum decision decide_opening(struct homes *homes, struct ctx *ctx, struct shard *shard,
			     uint64_t hash, uint32_t opening_id, struct flow **out, bool *fresh);
enum decision decide_data(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
			  uint32_t payload_len, struct flow **out);
enum decision decide_answer(struct homes *homes, struct ctx *ctx, struct shard *shard,
			    uint64_t hash, uint32_t target, enum answer_kind kind,
			    uint32_t opening_id, struct flow **out);
/* Pins a new flow; NULL and the reason in *why when no target bears it. */
struct flow *decide_new(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
			uint32_t opening_id, enum decision *why);

/* pass.c */
void pass_to_home(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		  const struct packet *pkt);
void pass_received(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
		   uint32_t xid, const peer_pass *pass);
void pass_answered(struct homes *homes, struct ctx *ctx, struct shard *shard,
		   const struct call *call, const peer_msg *msg);
/* Forwards a new flow's packet when the backup holds its pin. */
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

/* query.c: questions to the whole group about one flow. */
enum query_kind {
	QUERY_FIND,    /* which target has it? */
	QUERY_SILENCE, /* did anyone see an answer? */
	QUERY_RETRY,   /* may the opening be tried elsewhere? */
	QUERY_FORGET,  /* drop entries of the flow's predecessor, then route the opening */
};
/* Starts one, with a copy of @pkt (may be NULL). One for each flow at a time. */
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
