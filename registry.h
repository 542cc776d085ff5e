/*
 * The targets that an instance knows of, found by identifier, by service and by the mark that
 * callers echo. Fed by the platform's list of targets; makes no I/O and reads no clock.
 *
 * A mark is 32 bits: half of it names the target, the other half checks the target against the
 * service address, so that a mark copied from one service does not lead into another one. Targets'
 * identifiers are not known to callers, so a mark for another service can only be guessed.
 */
#ifndef REGISTRY_H
#define REGISTRY_H

#include <glib.h>
#include <stdbool.h>
#include <time.h>

#include "admission.h"
#include "packet.h"
#include "symbol.h"

enum target_phase {
	TARGET_READY,
	TARGET_DRAINING, /* keeps its flows and takes no new ones */
	TARGET_GONE,	 /* not listed any more; kept for the flows that it has */
};

enum target_trust {
	TRUST_ALIVE,
	TRUST_SUSPECTED, /* signs of a crash, being verified */
	TRUST_DEAD,	 /* verified; takes no openings until it answers again */
};

/* What the platform says of a target. */
struct target_info {
	const char *id;
	uint64_t wire_id; /* number by which packets name the target */
	struct endpoint ep;
	uint32_t service;     /* symbol */
	uint32_t data_centre; /* symbol */
	uint32_t slots;	      /* requests that it processes concurrently */
	bool draining;
	uint32_t cold_ms; /* how much longer the target is slow after its start */
	int64_t born_ms;  /* Unix time of its start; another value is another incarnation */
	int64_t revision; /* of the store at the entry's last change, 0 when it is not known */
	int64_t heard_at; /* revision of the answer that told it; see registry_changed_since() */
};

struct reg_target {
	GString *id;
	uint64_t wire_id;
	uint64_t digest; /* of the identifier */
	struct reg_target *next_mark;
	struct endpoint ep;
	uint32_t service;
	uint32_t data_centre;
	uint32_t slots;
	int64_t born_ms;
	int64_t revision;
	int64_t heard_at;
	enum target_phase phase;
	struct timespec warm_at;
	struct timespec changed; /* when the phase was learned */
	bool seen;		 /* by the list that is being taken over */

	/* Kept by steer.c and suspicion.c. */
	GQueue flows; /* struct steer_flow, linked by its target_link */
	uint32_t open_flows;
	uint32_t busy_flows; /* with a request that has no answer yet */
	enum target_trust trust;
	struct timespec last_alive;  /* latest sign of life from traffic or a probe */
	struct timespec last_answer; /* latest sign of life from traffic alone */
	struct timespec suspected;   /* since when */
	struct timespec next_probe;
	struct response_time responses;
	struct timespec cold_opened; /* latest opening sent while cold */
	unsigned int rounds_failed;  /* of probes since the suspicion */
	unsigned int probing;	     /* probes under way */
	unsigned int round_size;     /* probes of the latest round */
	bool probe_refused;	     /* one of the round */
	bool probe_connected;	     /* one of the round */
	bool probe_void;	     /* one of the round ended across a pause */
};

struct registry;

/* Told of changes so that flows can follow; called after the registry has changed. */
struct registry_listener {
	void (*changed)(struct registry_listener *listener, struct reg_target *tgt,
			enum target_phase before, bool reborn, struct timespec now);
};

struct registry *registry_new(void);
void registry_free(struct registry *reg);
void registry_set_listener(struct registry *reg, struct registry_listener *listener);

/* Adds or updates one target. Returns false when something newer is known of it. */
bool registry_put(struct registry *reg, const struct target_info *info, struct timespec now);
/* The target is not listed any more, as an answer of revision @heard_at tells. */
void registry_remove(struct registry *reg, const char *id, int64_t heard_at, struct timespec now);
/* A whole list: begin, put each entry, end. What was not put is removed at the end. */
void registry_list_begin(struct registry *reg);
void registry_list_end(struct registry *reg, int64_t heard_at, struct timespec now);

/* Frees targets that are gone for longer than @keep_ms and have no flows. */
void registry_sweep(struct registry *reg, struct timespec now, int64_t keep_ms);

/*
 * Targets that an answer later than @revision told something of, in the order of their identifiers
 * and beyond @after; those that are gone only when @revision is not 0. Struct reg_target, to be
 * freed with g_ptr_array_unref().
 */
GPtrArray *registry_changed_since(const struct registry *reg, int64_t revision, const char *after);
/* The latest revision that registry_changed_since() has something beyond. */
int64_t registry_latest(const struct registry *reg);
/* Makes the target one that an answer of this revision told something of. */
void registry_touch(struct registry *reg, struct reg_target *tgt, int64_t heard_at);
/* Changes up to this revision may include targets that have been forgotten since. */
int64_t registry_forgotten(const struct registry *reg);

struct reg_target *registry_by_id(struct registry *reg, const char *id);
/* Targets of a service that are ready or draining: struct reg_target. NULL when there are none. */
const GPtrArray *registry_by_service(const struct registry *reg, uint32_t service);
uint32_t registry_count(const struct registry *reg);
void registry_each(struct registry *reg, void (*fn)(struct reg_target *tgt, void *arg), void *arg);

/* The mark of a target for a service address; never 0. */
uint32_t registry_mark(const struct reg_target *tgt, struct endpoint service);
/* The target that a mark names at a service address, or NULL when none is known. */
struct reg_target *registry_by_mark(const struct registry *reg, uint32_t mark,
				    struct endpoint service);

/* How long a target has shown no sign of life here; -1 when it never has, or for NULL. */
int64_t target_silent_ms(const struct reg_target *tgt, struct timespec now);
const char *target_phase_name(enum target_phase phase);
const char *target_trust_name(enum target_trust trust);

#endif
