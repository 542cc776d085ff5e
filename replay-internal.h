/* State of one replay, shared by replay*.c. */
#ifndef REPLAY_INTERNAL_H
#define REPLAY_INTERNAL_H

#include "core.h"
#include "flowtab.h"
#include "replay.h"

#define SIM_MAX_DCS	  32
#define SIM_PACKET_BYTES  52 /* IPv4, TCP and a payload of 12 bytes */
#define SIM_PAYLOAD_BYTES 12
#define SIM_US_PER_MS	  1000
#define SIM_PEER_TYPES	  16

struct sim;

/*
 * What a policy runs, in the order of replay_policies: the product, a baseline, or the product with
 * a deliberate fault (from VARIANT_NO_ACK_WAIT on) that the tests must detect.
 */
enum sim_variant {
	VARIANT_PRODUCT,
	VARIANT_HASH,
	VARIANT_PRIVATE,
	VARIANT_NO_ACK_WAIT,
	VARIANT_NO_RECOVERY,
	VARIANT_NO_SLOW_START,
	VARIANT_LOCAL_WITHDRAWAL,
	VARIANT_NO_DRAIN,
	VARIANT_UNCHECKED_ANSWERS,
	VARIANT_RESEND_PAYLOAD,
};

/* A packet of a caller or target: its fields, and the bytes that the core forwards. */
struct sim_packet {
	uint32_t slot;	 /* stands for the caller's address and port */
	uint32_t serial; /* number of the flow, as slots are reused */
	uint32_t seq;	 /* opening id; plus 1 after the opening */
	uint8_t flags;	 /* TCP */
	uint32_t request;
	uint32_t target; /* sender of an answer, 0xffffffff for a caller's packet */
	uint32_t acked;	 /* in a caller's packet: target that accepted the flow */
	struct service_addr service;
	uint8_t bytes[SIM_PACKET_BYTES];
	size_t len;
};

enum sim_kind {
	SIM_TRACE_LINE,	   /* a: line */
	SIM_OPEN_FLOW,	   /* a: generator */
	SIM_FLOW,	   /* a: slot, b: serial; retransmission, next request or end */
	SIM_TIMER,	   /* a: instance, b: incarnation */
	SIM_TO_CORE,	   /* a: instance, b: target or 0xffffffff; bytes: packet or answer */
	SIM_TO_TARGET,	   /* a: target, b: instance; bytes */
	SIM_TO_CALLER,	   /* bytes */
	SIM_WORK_DONE,	   /* a: target, b: slot, c: serial << 32 | request */
	SIM_PEER,	   /* a: instance, b: source, c: xid; bytes: message */
	SIM_REPLY,	   /* c: xid; bytes */
	SIM_CALL,	   /* c: xid; next try or timeout */
	SIM_PROBE,	   /* a: instance, b: target, c: incarnation; report: set on the way back */
	SIM_OBJECT,	   /* a: instance, b: index of a version */
	SIM_INSTANCE_LIST, /* a: instance */
	SIM_SAMPLE,
	SIM_LIST_UPDATE, /* a: instance; the platform's list shows its change */
	SIM_FABRIC,	 /* a: instance; health check by the fabric */
	SIM_ROLL,	 /* a: instance, b: 0 to leave, 1 to start */
};

struct sim_event {
	int64_t at_us;
	uint64_t order; /* breaks ties, so that the run is repeatable */
	enum sim_kind kind;
	uint32_t a;
	uint32_t b;
	uint64_t c;
	GBytes *bytes;
	struct health_report *report;
};

enum sim_instance_state {
	INSTANCE_STATE_DOWN,
	INSTANCE_STATE_RUNNING,
	INSTANCE_STATE_PAUSED,
};

struct sim_instance {
	uint32_t id; /* index + 1 */
	char *name;
	char *group;
	uint32_t group_index;
	uint32_t dc;
	enum sim_instance_state state;
	bool in_fabric; /* passed the fabric's health check: gets packets */
	bool leaving;
	bool watching;
	bool ever_listed;
	enum instance_phase listed; /* phase in the platform's list */
	uint32_t incarnation;
	struct core *core; /* NULL for a baseline */
	struct baseline *baseline;
	struct seeded_random random;
	struct actions acts;
	GQueue inbox;		  /* events queued while the process is paused */
	int64_t running_since_us; /* time of the last start or resume */
	int64_t resumed_us;	  /* 0 if not paused since its start */
	/* totals over all incarnations */
	struct counters counters;
	uint64_t control_bytes, pass_bytes;
	uint64_t type_bytes[SIM_PEER_TYPES];
	int64_t alive_us;
	size_t peak_flows, peak_pins;
};

/* A flow in the table of its target. */
struct target_flow {
	uint32_t seq;
	uint32_t serial;
	uint32_t asked;	   /* highest request received */
	uint32_t done;	   /* highest request answered */
	bool silent;	   /* the target sends no more answers */
	int64_t closed_us; /* 0 while open */
};

struct sim_report {
	int64_t at_us;
	struct health_report report;
};

struct sim_target {
	char *name;
	uint32_t service;
	uint32_t dc;
	struct endpoint ep;
	uint32_t slots, max_flows, warmup_ms;
	uint32_t capacity; /* openings per second when warm, 0 for no bound */
	bool fragile;	   /* restarts when it gets more than its share while cold */
	/* configuration */
	bool configured, draining;
	/* state */
	bool dead, shed;
	uint32_t marker;
	bool hide_marker;
	int64_t started_us; /* start of its cold phase, negative if warm from the start */
	GHashTable *flows;  /* slot to struct target_flow */
	int64_t slot_free_us[8];
	/* false values in its health reports, negative for none */
	int64_t forced_load_permille, forced_ready;
	int64_t report_lag_ms; /* age of its health reports */
	GArray *reports;       /* struct sim_report, for report_lag_ms */
	/* measurements */
	int64_t drained_us, withdrawn_us; /* negative if not drained or withdrawn */
	GArray *openings_us;		  /* openings in its cold phase */
	uint64_t flow_samples, opened;
	bool disturbed; /* not warm and eligible during the whole measured time */
};

struct sim_service {
	char *name, *org, *address;
	struct service_addr addr;
	const struct trace_line *line;
};

struct sim_org {
	char *name;
	uint64_t generation;
};

struct sim_dc {
	char *name;
	bool withdrawn;
	uint64_t generation;
	bool cut_peers, cut_targets, cut_platform, cut_fabric;
};

/* One version of a configuration object that the platform accepted. */
struct sim_version {
	peer_object_kind kind;
	char *name;
	uint64_t generation;
	char *document;
	int64_t at_us;
	int64_t applied_by_all_us; /* -1 until every running instance has it */
};

struct sim_call {
	uint32_t src, src_incarnation, dst;
	uint64_t call_id;
	uint32_t timeout_ms, tries;
	GBytes *request;
	GBytes *reply; /* of the callee, sent again for repeated requests */
	bool delivered, done;
};

enum flow_state {
	FLOW_FREE,
	FLOW_OPENING,
	FLOW_OPEN,
	FLOW_CLOSING,
};

struct sim_flow {
	enum flow_state state;
	uint32_t serial;
	uint32_t seq;
	uint32_t service;
	uint32_t generator;
	uint32_t target; /* that accepted it */
	uint32_t request;
	bool awaiting_answer; /* to @request */
	bool exempt;	      /* not counted as broken: its target or data centre is gone */
	/* the request that ran last, and its target */
	uint32_t last_run_target, last_run_request;
	int64_t request_sent_us, end_us, due_us, free_us;
	uint32_t tries;
	uint32_t every_ms, work_ms;
};

struct sim_generator {
	const struct trace_line *line;
	uint32_t service;
	int64_t until_us;
};

struct sim_measurements {
	uint64_t opened, established, refused, unanswered, closed, broken, exempt;
	uint64_t requests, answered, requests_after_fault, answered_after_fault;
	uint64_t run_twice, false_refusals, crossed, wrong_service, overload_restarts,
		config_reverts;
	uint64_t peak_start_share;
	int64_t withdrawn_last_us, drained_last_us, max_config_delay_us, first_fault_us;
	uint64_t platform_calls;
	GArray *answer_ms;
};

struct sim {
	int64_t now_us;
	uint64_t order;
	GArray *heap; /* struct sim_event */
	struct seeded_random random;
	enum sim_variant variant;
	const struct trace *trace;
	GString *notes; /* NULL when not wanted */
	int64_t end_us, measure_from_us, measure_to_us;
	unsigned char flow_key[FLOW_KEY_BYTES];
	/* network, in microseconds and per mille */
	int64_t local_us, dc_us, caller_us, platform_us, jitter_permille, loss, dup, detect_ms,
		list_lag_ms;
	bool platform_down;
	GPtrArray *instances, *targets, *services, *orgs; /* struct sim_... */
	struct sim_dc dcs[SIM_MAX_DCS];
	uint32_t nr_dcs;
	GPtrArray *groups; /* names */
	GPtrArray *versions;
	GHashTable *calls; /* xid to struct sim_call */
	uint32_t next_xid;
	GArray *flows; /* struct sim_flow */
	GArray *generators;
	uint32_t next_slot, next_serial;
	struct sim_measurements m;
};

/* replay.c */
uint32_t sim_random_below(struct sim *sim, uint32_t bound);
struct sim_event *sim_schedule(struct sim *sim, int64_t after_us, enum sim_kind kind, uint32_t a,
			       uint32_t b);
struct timespec sim_now(const struct sim *sim);
/* Adds a line with the simulated time to the notes of the run, if they are wanted. */
void sim_note(struct sim *sim, const char *format, ...) G_GNUC_PRINTF(2, 3);
static inline struct sim_instance *sim_instance(const struct sim *sim, uint32_t i)
{
	return g_ptr_array_index(sim->instances, i);
}
static inline struct sim_target *sim_target(const struct sim *sim, uint32_t i)
{
	return g_ptr_array_index(sim->targets, i);
}
static inline struct sim_service *sim_service(const struct sim *sim, uint32_t i)
{
	return g_ptr_array_index(sim->services, i);
}

/* replay-lines.c: lines of a trace */
/* Applies a line without a time; ignores timed lines. Returns the fault, or NULL. */
const char *sim_add_line(struct sim *sim, const struct trace_line *line);
/* Checks the names in timed lines before the run, so that a wrong trace gives no report. */
bool sim_names_known(struct sim *sim, const struct trace_line *line);
bool sim_run_line(struct sim *sim, const struct trace_line *line);
void sim_schedule_lines(struct sim *sim);

/* replay-report.c: measurements and expected outcomes */
void sim_sample(struct sim *sim);
void sim_write_report(struct sim *sim, const struct replay_options *opts, GString *report);

/* replay-fleet.c: instances, the network between them, the platform */
int64_t sim_delay(struct sim *sim, uint32_t dc_a, uint32_t dc_b);
void sim_instance_start(struct sim *sim, uint32_t i);
void sim_instance_kill(struct sim *sim, uint32_t i);
void sim_instance_leave(struct sim *sim, uint32_t i);
void sim_instance_pause(struct sim *sim, uint32_t i, bool paused);
/* Delivers an event to its instance. */
void sim_deliver_event(struct sim *sim, const struct sim_event *ev);
void sim_fleet_event(struct sim *sim, const struct sim_event *ev);
/* Publish a new version of an object, unless the platform is down. */
void sim_publish_org(struct sim *sim, const char *name);
void sim_publish_dc(struct sim *sim, uint32_t dc);
void sim_publish_grants(struct sim *sim);
void sim_set_platform_down(struct sim *sim, bool down);
void sim_check_versions(struct sim *sim);
/* Notes each instance's view of the members and the state of its buckets. */
void sim_note_state(struct sim *sim);
void sim_instance_release(struct sim_instance *inst);

/* replay-traffic.c: callers and targets */
bool sim_packet_decode(struct sim_packet *pkt, const uint8_t *bytes, size_t len);
void sim_packet_encode(struct sim_packet *pkt);
struct flow_key sim_packet_key(const struct sim_packet *pkt);
uint32_t sim_target_find(const struct sim *sim, struct endpoint ep);
void sim_open_flow(struct sim *sim, uint32_t generator);
void sim_flow_event(struct sim *sim, uint32_t slot, uint32_t serial);
void sim_caller_receive(struct sim *sim, const struct sim_event *ev);
void sim_target_receive(struct sim *sim, const struct sim_event *ev);
void sim_work_done(struct sim *sim, const struct sim_event *ev);
/* Delivers an instance's reset to the caller that sent the packet @bytes. */
void sim_deliver_reset(struct sim *sim, const uint8_t *bytes, size_t len);
struct health_report sim_target_report(struct sim *sim, uint32_t t);
/* With @hide_marker, its health reports do not show the restart. */
void sim_target_restart(struct sim *sim, uint32_t t, bool hide_marker);
/* The target's flows no longer count as broken when they end. */
void sim_target_exempt(struct sim *sim, uint32_t t);
/* The target sends no more answers on the flows that it has now. */
void sim_target_stop_answers(struct sim *sim, uint32_t t);
/* Number of open flows at the target. */
uint32_t sim_target_flows(struct sim *sim, uint32_t t);
void sim_send_wrong_answers(struct sim *sim, uint32_t service, uint32_t count);

/* replay-baseline.c: policies hash and private */
struct baseline *baseline_new(bool private_tables, const unsigned char flow_key[FLOW_KEY_BYTES]);
void baseline_free(struct baseline *base);
void baseline_handle(struct baseline *base, const struct event *ev, struct actions *out);
struct config *baseline_config(struct baseline *base);
struct counters *baseline_counters(struct baseline *base);
size_t baseline_flows(const struct baseline *base);

#endif
