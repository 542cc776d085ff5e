/*
 * An emulator of what surrounds instances that steer by marks: the platform's store, the fabric,
 * targets and callers in one process, before real instances as separate processes. It injects
 * faults by a seed and checks the promises from what callers and targets see.
 *
 * Packets, entries and calls are written apart from platform/, so that a fault there does not hide
 * itself.
 */
#ifndef WORLD_H
#define WORLD_H

#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define MAX_PACKET	  1400
#define HEAD_BYTES	  31
#define MAX_DATA	  1200
#define DATA_CENTRES	  2
#define UDP_PORT	  7400 /* of instances and, as on the platform, of callers */
#define READY_PORT	  7401
#define METRICS_PORT	  7402
#define TARGET_PORT	  7403
#define STORE_PORT	  7404
#define PEER_PORT	  7405
#define SNAPSHOT_PORT	  7406
#define SEEDS		  3	      /* instances that the settings name as seeds */
#define SERVICE_IP	  0xc6120001u /* 198.18.0.1 */
#define CONTACT_MS	  4000	      /* a machine or link is calm this long after a disturbance */
#define DRAIN_MS	  3000	      /* bounds of the promises */
#define APPLY_MS	  3000
#define WITHDRAW_MS	  5000
#define PAUSED_MS	  400 /* after a pause, in which what waited is handled */
#define RETRANSMIT_MS	  200
#define RETRANSMIT_MAX_MS 1600

enum { FLAG_SYN = 64, FLAG_ACK = 16, FLAG_FIN = 8, FLAG_RST = 128 };

/* A packet in the emulator's own terms; addresses are IPv4 in host byte order. */
struct wpacket {
	uint32_t seq, ack, sum, echo;
	uint8_t flags;
	uint32_t src, dst;
	uint16_t sport, dport;
	const uint8_t *data;
	uint16_t len;
};

/* Go-back-n sender of one direction of a flow. */
struct sender {
	GByteArray *bytes; /* from the start of the flow */
	uint32_t base;	   /* sequence number of the first byte */
	uint32_t sent;	   /* bytes sent */
	uint32_t acked;
	int64_t due_ms; /* retransmission, 0 for none */
	int64_t wait_ms;
	bool fin; /* a FIN follows the bytes */
};

enum fault_kind {
	FAULT_KILL,
	FAULT_PAUSE,
	FAULT_TERM,
	FAULT_HUP,
	FAULT_TARGET_DARK,
	FAULT_TARGET_REFUSING,
	FAULT_TARGET_RELEASE,
	FAULT_TARGET_REBORN,
	FAULT_STORE_SILENT,
	FAULT_STORE_BUSY,
	FAULT_STORE_RESET,
	FAULT_STORE_SLOW,
	FAULT_STORE_FORGETS,
	FAULT_STORE_MALFORMED,
	FAULT_CONFIG,
	FAULT_WITHDRAW,
	FAULT_LOSSY,
	FAULT_STORE_STALE,
	FAULT_STORE_LOST,
	FAULT_TARGET_SLOW,
	FAULT_SHIFT,
	FAULT_PAUSE_ALL,
	FAULT_STORE_HUGE, /* this one and the next ones only in days that name them */
	FAULT_TARGET_HANGS,
	FAULT_TARGET_FULL,
	FAULT_KINDS,
};

enum store_mode { STORE_WELL, STORE_SILENT, STORE_BUSY, STORE_RESET, STORE_SLOW };

struct instance {
	unsigned int nr;
	unsigned int dc;
	uint32_t ip;
	pid_t pid; /* 0 while it does not run */
	char *settings;
	char *log;
	bool in_rotation;
	unsigned int misses;
	int64_t disturbed_ms; /* until when signals or restarts excuse it */
	int64_t restart_ms;
	int64_t resume_ms;
	int64_t resumed_ms; /* when it woke from its latest pause */
	int64_t store_disturbed_ms;
	enum store_mode store_mode;
	int64_t store_until_ms;
	int ready_fd; /* of the question under way, -1 for none */
	int64_t ready_ms;
};

struct target;
struct caller;

struct world {
	int64_t now_ms;
	int64_t start_ms;
	int64_t end_ms;
	uint64_t random;
	GPtrArray *instances;
	GPtrArray *targets; /* also those that are gone, for late packets */
	GPtrArray *callers;
	unsigned int next_target;
	unsigned int work_ms;	     /* of a target on a request */
	unsigned int full_notice_ms; /* from a full target's first rejection to its refusals */
	unsigned int pause_ms;	     /* longest pause of an instance */
	bool one_request;	     /* a flow for each request, and a goal, as credits need */
	uint16_t route_port;	     /* of the route that always exists */
	uint16_t extra_port;   /* of a route that comes and goes, 0 while it is not in force */
	uint16_t dropped_port; /* of the latest one that went */
	int64_t dropped_ms;
	unsigned int config_version;
	int withdrawn_dc; /* -1 for none */
	int64_t withdrawn_ms;
	int64_t withdrawn_until_ms;
	unsigned int loss_permille;
	int64_t loss_until_ms;
	int64_t all_paused_ms; /* latest pause of all instances */
	GHashTable *ran;       /* ids of requests that targets have run */
	GString *breaches;
	unsigned int nr_breaches;
	GString *timeline;
	GString *failed_tries; /* a line each: time, request, caller's address and port, how */
	unsigned int asked, served, failed, refused;
	unsigned int second_asked[256], second_served[256];
};

uint32_t wrandom(struct world *w, uint32_t bound);
void breach(struct world *w, const char *format, ...) G_GNUC_PRINTF(2, 3);
void note_event(struct world *w, const char *format, ...) G_GNUC_PRINTF(2, 3);
struct instance *instance_by_ip(struct world *w, uint32_t ip);
/* No signal, restart or fault of its way to the store has touched it lately. */
bool instance_calm(const struct world *w, const struct instance *inst);

/*
 * Loopback addresses: 127.(8 * net + part).a.b, so that several emulators run beside each other.
 */
enum world_part { PART_INSTANCE = 1, PART_CALLER, PART_TARGET, PART_STORE };
#define ADDRESS_TEXT 24
extern unsigned int world_net;
uint32_t world_ip(enum world_part part, unsigned int a, unsigned int b);
/* "127.x.a.b:port" */
const char *world_address(enum world_part part, unsigned int a, unsigned int b, unsigned int port,
			  char text[ADDRESS_TEXT]);

/* Packets and senders; packet.c. */
size_t wpacket_encode(struct wpacket *pkt, uint8_t *out);
bool wpacket_decode(struct wpacket *pkt, const uint8_t *bytes, size_t size);
bool wpacket_sum_ok(const struct wpacket *pkt);
void sender_init(struct sender *snd, uint32_t base);
void sender_release(struct sender *snd);
typedef void (*send_fn)(void *arg, uint32_t seq, const uint8_t *data, uint16_t len, bool fin);
/* Sends what may be sent, or again what is due; sender_acked() moves on. */
void sender_run(struct sender *snd, int64_t now_ms, send_fn fn, void *arg);
void sender_acked(struct sender *snd, uint32_t ack);
bool sender_done(const struct sender *snd);
int open_udp(uint32_t ip, uint16_t port);
int open_listener(uint32_t ip, uint16_t port, int backlog);
void send_udp(int fd, uint32_t ip, uint16_t port, const uint8_t *bytes, size_t size);

/* The store; store.c. */
void store_init(struct world *w);
void store_put(struct world *w, const char *kind, const char *name, const char *spec_json);
void store_delete(struct world *w, const char *kind, const char *name);
void store_forget(void);
/* Until @until_ms, reads that accept stale answers get what the store holds now. */
void store_freeze_reads(struct world *w, int64_t until_ms);
/* Until @until_ms, some calls get no answer; watches that wait now never get theirs. */
void store_lose_answers(struct world *w, int64_t until_ms);
void store_fds(struct world *w, GArray *fds);
void store_ready(struct world *w, const struct pollfd *fd);
void store_timer(struct world *w);
void store_release(void);

/* Targets; target.c. */
struct target *target_start(struct world *w, const char *service, unsigned int dc);
void target_drain(struct world *w, struct target *tgt);
/* @dark: nothing is answered any more; else its ports are closed. */
void target_crash(struct world *w, struct target *tgt, bool dark);
void target_restart_same(struct world *w, struct target *tgt);
/* Until @until_ms, the target handles each packet @delay_ms after it came. */
void target_slow_down(struct target *tgt, int64_t delay_ms, int64_t until_ms);
/* Until @until_ms, the target does not answer half of its requests; it takes connections. */
void target_hang(struct target *tgt, int64_t until_ms);
/*
 * Until @until_ms, the target rejects half of its requests, and from full_notice_ms on its queue is
 * full and refuses openings and connections. It answers what it has taken.
 */
void target_fill(const struct world *w, struct target *tgt, int64_t until_ms);
bool target_takes_faults(const struct target *tgt);
/* Whether the target lives and nothing has disturbed it lately. */
bool target_calm(const struct world *w, const struct target *tgt);
const char *target_id(const struct target *tgt);
void targets_fds(struct world *w, GArray *fds);
void targets_ready(struct world *w, const struct pollfd *fd);
void targets_timer(struct world *w);
void target_free(struct target *tgt);

/* Callers; caller.c. */
struct caller *caller_start(struct world *w, unsigned int nr, unsigned int dc);
void callers_fds(struct world *w, GArray *fds);
void callers_ready(struct world *w, const struct pollfd *fd);
void callers_timer(struct world *w);
/* Half of the callers move to the other data centre, with their flows. */
void callers_shift(struct world *w);
void caller_free(struct caller *cl);

#endif
