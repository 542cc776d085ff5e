/*
 * Messages between the instances of one fleet.
 *
 * Every message is the argument or the result of an ONC RPC call to PEER_PROG and travels sealed
 * in one UDP datagram. A service is identified by its address, a target by its IP address and port,
 * an instance by its number from the settings, a flow by its 64-bit keyed hash.
 */

const PEER_PROG = 542130;
const PEER_VERS = 1;

const PEER_MAX_NAME = 128;
const PEER_MAX_PACKET = 2048;
const PEER_MAX_DOCUMENT = 1048576;
const PEER_MAX_MEMBERS = 256;
const PEER_MAX_BUCKETS = 64;
const PEER_MAX_TARGETS = 128; /* a base and a current target for each bucket */
const PEER_MAX_PINS = 2048; /* 20 bytes each: a message must fit a UDP datagram */
const PEER_MAX_NEWS = 512;
const PEER_MAX_VECTOR = 1024;
const PEER_MAX_VERSIONS = 64;
const PEER_MAX_VIEW_TARGETS = 64;
const PEER_MAX_VIEW_NAMES = 64;
const PEER_MAX_VIEW_NAME = 255; /* bytes */

struct peer_service {
	unsigned int ip;
	unsigned int port_proto; /* port << 16 | protocol */
};

struct peer_target {
	unsigned int ip;
	unsigned int port_flags; /* port << 16 | PIN_* flags */
};

/* A shard of a service together with the fencing numbers of its home. */
struct peer_shard {
	peer_service service;
	unsigned int shard;
	unsigned int term;
	unsigned int home; /* instance that holds the term; orders equal terms */
	unsigned int epoch;
};

/* Flags of a pin, also used for cached flows. */
const PIN_ESTABLISHED = 1;
const PIN_PAYLOAD = 2;
const PIN_CLOSED = 4;
const PIN_BASE = 8;
const PIN_HELD = 16;     /* held as one of the two copies of a pin */
const PIN_FIN_CALLER = 32;
const PIN_FIN_TARGET = 64;
const PIN_AGE_SHIFT = 7; /* the other 9 bits: time since the last use */
const PIN_AGE_UNIT_MS = 256;
const PIN_AGE_MAX = 511;

struct peer_pin {
	unsigned hyper flow;
	peer_target target;
	unsigned int opening_id;
};

enum peer_bucket_mode {
	PEER_BUCKET_UNASSIGNED = 0,
	PEER_BUCKET_SINGLE = 1,
	PEER_BUCKET_SHARED = 2
};

/*
 * Buckets of a shard. Most have one of a few targets, so these are listed once; 0xff names no
 * target. With 20 bytes a bucket, these tables were two thirds of all control bytes.
 */
struct peer_buckets {
	peer_target targets<PEER_MAX_TARGETS>;
	/* index << 18 | peer_bucket_mode << 16 | base << 8 | current */
	unsigned int buckets<PEER_MAX_BUCKETS>;
};

enum peer_member_state {
	PEER_MEMBER_JOINING = 0,
	PEER_MEMBER_LIVE = 1,
	PEER_MEMBER_LEAVING = 2,
	PEER_MEMBER_LEFT = 3
};

struct peer_member {
	unsigned int instance;
	unsigned int incarnation;
	unsigned int counter_state; /* counter << 4 | peer_member_state */
};

/* Flag of the sender's own counter_state: its view lacks members, it requests full entries. */
const PEER_MEMBER_WANTS_FULL = 8;

/* Flags of a full entry, from the platform's list, for members that do not watch it. */
const PEER_MEMBER_LIST_GONE = 4;
const PEER_MEMBER_LIST_LEAVING = 8;

/* Peer address of an instance of the group, for peers that lack it in their instance list. */
struct peer_contact {
	unsigned int instance;
	unsigned int ip;
	unsigned int port;
	string data_centre<PEER_MAX_NAME>;
};

enum peer_target_state {
	PEER_TARGET_UNKNOWN = 0,
	PEER_TARGET_UP = 1,
	PEER_TARGET_REFUSING = 2, /* reachable, but reports that it accepts no new work */
	PEER_TARGET_DOWN = 3
};

/* State of a target as observed by one instance; distributed in heartbeats. */
struct peer_target_news {
	peer_target target;
	unsigned int observer;
	unsigned int age_ms;
	unsigned int start_marker;
	unsigned int load; /* warm share in percent << 24 | peer_target_state << 16 | load in 1/1000 */
};

/* An instance that a heartbeat's sender suspects. */
struct peer_suspicion {
	unsigned int instance;
	unsigned int incarnation;
};

struct peer_heartbeat {
	unsigned int instance;
	unsigned int incarnation;
	unsigned int counter_state;
	unsigned int group; /* hash of the group's name; other groups are ignored */
	unsigned hyper config_digest;
	/*
	 * Counters of the members, three bytes or more each, in the order of their numbers: the
	 * difference to the number before (7 bits a byte, low ones first, the top bit says that
	 * more follow), state << 6 | low 6 bits of the incarnation, low 8 bits of the counter.
	 */
	opaque vector<PEER_MAX_VECTOR>;
	peer_member members<PEER_MAX_MEMBERS>; /* full entries: recent changes */
	peer_contact contacts<PEER_MAX_MEMBERS>;
	peer_suspicion suspicions<PEER_MAX_MEMBERS>;
	peer_target_news news<PEER_MAX_NEWS>;
};

/* Home to member: changed buckets. The reply is a peer_shard_ack. */
struct peer_shard_announce {
	peer_shard shard;
	unsigned int since; /* epoch of this term that the buckets build on, 0 for all of them */
	bool certain;       /* the home may eliminate, so members may use mode SINGLE */
	peer_buckets buckets;
};

struct peer_shard_ack {
	peer_shard shard; /* the member's newest numbers; higher ones fence the caller */
	peer_pin recent<PEER_MAX_PINS>;
};

/*
 * New home to member: requests the member's state of this shard. The reply is a peer_shard_state.
 * The shard contains the new term, and the member promises to accept no lower one. With term 0 a
 * member requests only the buckets from the home.
 */
struct peer_shard_pull {
	peer_shard shard;
	unsigned int known_term; /* of the buckets that the requesting member has, with home and epoch */
	unsigned int cursor; /* 0 for the first part, else peer_shard_state.next */
};

/* The state of a shard: the answer to a pull, and the body of a hand-over or a backup copy. */
struct peer_shard_state {
	peer_shard shard;
	unsigned int next; /* cursor of the next part, 0 after the last one */
	bool complete;     /* sent by the acting home with a complete table */
	peer_buckets buckets;
	peer_pin pins<PEER_MAX_PINS>;
};

/* A packet passed to the home; the sender keeps opening packets and passes them without bytes. */
struct peer_pass {
	peer_shard shard;
	unsigned hyper flow;
	unsigned int kind; /* enum packet_kind */
	unsigned int opening_id;
	unsigned int payload_len;
	int deadline_ms;
	opaque bytes<PEER_MAX_PACKET>;
};

enum peer_verdict {
	PEER_VERDICT_FORWARDED = 0, /* the home sent the packet itself */
	PEER_VERDICT_FORWARD = 1,   /* the receiver of this result sends it to the pin's target */
	PEER_VERDICT_REFUSE = 2,
	PEER_VERDICT_DROP = 3,
	PEER_VERDICT_NOT_HOME = 4,
	PEER_VERDICT_UNKNOWN = 5,  /* no target known */
	PEER_VERDICT_TERMINATE = 6 /* the flow's target is gone: send a reset to the caller */
};

struct peer_pass_result {
	peer_shard shard;
	peer_verdict verdict;
	peer_pin pin;
};

/*
 * Refreshes of flows still in use, from a member to the home; or pins from the home: copies for
 * the backup (PIN_HELD), flows that changed their target before they were opened, and flows to
 * remove (PIN_CLOSED). Answered with a peer_shard_ack when it is a call.
 */
struct peer_pin_batch {
	peer_shard shard;
	bool refresh;
	peer_pin pins<PEER_MAX_PINS>;
};

/* An answer of a target that the home must forward or drop; the sender keeps the packet. */
struct peer_answer_note {
	peer_shard shard;
	unsigned int kind; /* enum answer_kind */
	peer_pin pin;      /* the target that answered, the opening that it answers */
};

struct peer_flow_query {
	peer_service service;
	unsigned hyper flow;
};

struct peer_flow_answer {
	bool known;
	peer_pin pin;
	unsigned int answered_age_ms; /* age of the last answer seen; 0xffffffff for none */
};

enum peer_object_kind {
	PEER_OBJECT_ORGANISATION = 0,
	PEER_OBJECT_DATA_CENTRE = 1,
	PEER_OBJECT_GRANTS = 2
};

struct peer_object_version {
	peer_object_kind kind;
	string name<PEER_MAX_NAME>;
	unsigned hyper generation;
};

/*
 * As a call: requests the versions from offset on, latest change first; the reply has a part of
 * them, or none when the digests are equal. One way: versions that the sender has just applied.
 */
struct peer_config_digest {
	unsigned hyper digest;
	unsigned int offset;
	unsigned int total;
	peer_object_version versions<PEER_MAX_VERSIONS>;
};

struct peer_config_pull {
	peer_object_kind kind;
	string name<PEER_MAX_NAME>;
	unsigned hyper generation;
	unsigned int offset; /* first byte requested; large documents are sent in parts */
};

/* Part of a document; total is 0 when the sender does not have the object. */
struct peer_config_object {
	peer_object_version id;
	opaque signature<64>;
	unsigned int total; /* length of the whole document */
	unsigned int offset;
	opaque document<PEER_MAX_PACKET>;
};

typedef string peer_name<PEER_MAX_VIEW_NAME>;

/* Flags of a target in a view. */
const PEER_VIEW_DRAINING = 1;
const PEER_VIEW_LAPSED = 2; /* its entry is missing and may return within keep_ms */
const PEER_VIEW_GONE = 4;

struct peer_view_target {
	peer_name id;
	unsigned hyper revision; /* of the store at the entry's last change */
	unsigned hyper wire_id;
	unsigned int ip;
	unsigned int port_slots; /* port << 16 | slots */
	unsigned int names;      /* service << 16 | data centre, indexes of the page's names */
	unsigned int flags;
	unsigned int cold_ms;
	unsigned int keep_ms;
	hyper born_ms;
};

/*
 * Follower to reader: one way, once a second and whenever a page is missing. Also keeps the
 * follower registered at the reader.
 */
struct peer_view_ask {
	unsigned hyper session; /* random; the pages repeat it */
	unsigned hyper base;    /* revision to which the sender has all targets, 0 for none */
	peer_name after;        /* last target of the last page applied, "" at the start */
};

/* Flags of a reader. */
const PEER_READER_STORE_LOST = 1;
const PEER_READER_STOPPING = 2;
const PEER_READER_WITHDRAWN_OMITTED = 4; /* too long; see withdrawals_revision */

enum peer_view_next {
	PEER_VIEW_LAST = 0,    /* the page is the last one */
	PEER_VIEW_FOLLOWS = 1, /* the next page is sent without a request */
	PEER_VIEW_ASK_MORE = 2
};

/*
 * Reader to follower: the targets that have changed since a revision, in the order of their
 * identifiers, and the revisions of the reader's data. A page without targets is a heartbeat.
 */
struct peer_view_page {
	unsigned hyper session;
	unsigned int reader; /* flags */
	unsigned int age_ms; /* since the store's last answer, for the kind for which it is oldest */
	unsigned hyper targets_revision; /* revisions to which the reader has all of a kind */
	unsigned hyper config_revision;
	/* With PEER_READER_WITHDRAWN_OMITTED: revision that a list must have to be recent enough. */
	unsigned hyper withdrawals_revision;
	unsigned hyper config_version;
	peer_name withdrawn<PEER_MAX_VIEW_NAMES>;
	unsigned hyper base; /* 0: a complete list; targets that are not in it were removed */
	peer_name after;     /* identifier that the page continues from */
	peer_view_next next;
	peer_name names<PEER_MAX_VIEW_NAMES>;
	peer_view_target targets<PEER_MAX_VIEW_TARGETS>;
};

const PEER_MAX_CREDIT_SERVICES = 16;
const PEER_MAX_CREDIT_TARGETS = 128;
const PEER_CREDIT_PRIORITIES = 4;

/* Demand of one service since the sender's previous report. */
struct peer_credit_demand {
	peer_name service;
	/*
	 * Of a reader of another data centre, the first one is its demand of priorities 0 and 1,
	 * less what others lend, in thousandths of a slot, and the rest is 0.
	 */
	unsigned int openings[PEER_CREDIT_PRIORITIES];
	unsigned int reused;  /* second requests on a flow */
	unsigned int waiting; /* openings that wait for a credit */
	/* Of a reader of another data centre, in thousandths of a slot; 0 of a follower. */
	unsigned int wanted_milli;
	unsigned int demand_milli;   /* less what other data centres lend */
	unsigned int capacity_milli; /* of its own targets */
};

const PEER_CREDIT_DEAD = 1; /* flag: the sender has found the target dead */

/* What the sender saw of one target since its previous report. */
struct peer_credit_observation {
	unsigned hyper target; /* hash of its identifier */
	unsigned int completed_rejected; /* completed << 16 | rejected */
	unsigned int failed_overdue;     /* failed << 16 | overdue */
	unsigned int busy_ms;
	unsigned int flags;
	unsigned int service; /* index of the report's demands */
};

/* Follower to reader, or reader to the reader of another data centre: one way. */
struct peer_credit_report {
	unsigned hyper sequence; /* rises with each report of the sender */
	unsigned int interval_ms;
	peer_name data_centre;
	peer_credit_demand demands<PEER_MAX_CREDIT_SERVICES>;
	peer_credit_observation observations<PEER_MAX_CREDIT_TARGETS>;
};

struct peer_credit_entry {
	unsigned hyper target;
	unsigned int amounts; /* slots << 24 | queue << 16 | speed in 1/1000 of the mean */
	unsigned int service; /* index of the grant's services */
};

const PEER_CREDIT_LENT = 1; /* flag of a grant to the reader of another data centre */

/* Reader to follower, or to a reader that borrows: one way. Replaces all earlier grants. */
struct peer_credit_grant {
	unsigned hyper sequence; /* rises with each grant of the sender */
	unsigned int flags;
	peer_name data_centre;
	peer_name services<PEER_MAX_CREDIT_SERVICES>;
	peer_credit_entry entries<PEER_MAX_CREDIT_TARGETS>;
	peer_credit_entry lent<PEER_MAX_CREDIT_TARGETS>; /* by other data centres */
};

enum peer_type {
	PEER_NULL = 0,
	PEER_HEARTBEAT = 1,
	PEER_SHARD_ANNOUNCE = 2,
	PEER_SHARD_ACK = 3,
	PEER_SHARD_PULL = 4,
	PEER_SHARD_STATE = 5,
	PEER_PASS = 6,
	PEER_PASS_RESULT = 7,
	PEER_PIN_BATCH = 8,
	PEER_ANSWER_NOTE = 9,
	PEER_FLOW_QUERY = 10,
	PEER_FLOW_ANSWER = 11,
	PEER_CONFIG_DIGEST = 12,
	PEER_CONFIG_PULL = 13,
	PEER_CONFIG_OBJECT = 14,
	PEER_VIEW_QUESTION = 15,
	PEER_VIEW = 16,
	PEER_CREDIT_REPORT = 17,
	PEER_CREDIT_GRANT = 18
};

union peer_msg switch (peer_type type) {
case PEER_NULL:
	void;
case PEER_HEARTBEAT:
	peer_heartbeat heartbeat;
case PEER_SHARD_ANNOUNCE:
	peer_shard_announce announce;
case PEER_SHARD_ACK:
	peer_shard_ack ack;
case PEER_SHARD_PULL:
	peer_shard_pull pull;
case PEER_SHARD_STATE:
	peer_shard_state state;
case PEER_PASS:
	peer_pass pass;
case PEER_PASS_RESULT:
	peer_pass_result pass_result;
case PEER_PIN_BATCH:
	peer_pin_batch pins;
case PEER_ANSWER_NOTE:
	peer_answer_note note;
case PEER_FLOW_QUERY:
	peer_flow_query query;
case PEER_FLOW_ANSWER:
	peer_flow_answer flow;
case PEER_CONFIG_DIGEST:
	peer_config_digest digest;
case PEER_CONFIG_PULL:
	peer_config_pull config_pull;
case PEER_CONFIG_OBJECT:
	peer_config_object object;
case PEER_VIEW_QUESTION:
	peer_view_ask view_ask;
case PEER_VIEW:
	peer_view_page view;
case PEER_CREDIT_REPORT:
	peer_credit_report credit_report;
case PEER_CREDIT_GRANT:
	peer_credit_grant credit_grant;
};
