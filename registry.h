/*
 * The targets that an instance knows of, indexed by identifier, by service and by the mark that
 * callers echo. Filled from the platform's list of targets; does no I/O and reads no clock.
 *
 * A mark has 32 bits: the upper half identifies the target, the lower half is a checksum of target
 * and service address, so that a mark for one service is not valid for another. Callers do not know
 * the identifiers of targets, so they can only guess a mark for another service.
 */
#ifndef REGISTRY_H
#define REGISTRY_H

#include <glib.h>
#include <stdbool.h>
#include <time.h>

#include "admission.h"
#include "credit/target-credit.h"
#include "packet.h"
#include "storeversion.h"
#include "symbol.h"

enum target_phase {
	TARGET_READY,
	TARGET_DRAINING, /* keeps its flows and gets no new ones */
	TARGET_GONE,	 /* not listed any more; kept for its flows */
};

enum target_trust {
	TRUST_ALIVE,
	TRUST_SUSPECTED, /* may have crashed; being verified by probes */
	TRUST_DEAD,	 /* probes have failed; gets no openings until it answers again */
};

/* A target as reported by the platform's store. */
struct target_info {
	const char *id;
	uint64_t wire_id; /* identifies the target in packets */
	struct endpoint ep;
	uint32_t service;     /* symbol */
	uint32_t data_centre; /* symbol */
	uint32_t slots;	      /* requests that it processes concurrently */
	bool draining;
	uint32_t cold_ms; /* time left of the slow phase after its start */
	int64_t born_ms;  /* Unix time of its start; differs after a restart */
	/* Of the store at the entry's last change; its revision is 0 if unknown. */
	struct store_version revision;
	/* Of the reporting answer; see registry_changed_since(). */
	struct store_version answer_revision;
};

struct reg_target {
	GString *id;
	uint64_t wire_id;
	uint64_t digest;	      /* of the identifier */
	struct reg_target *next_mark; /* with the same upper half of the mark */
	struct endpoint ep;
	uint32_t service;
	uint32_t data_centre;
	uint32_t slots;
	int64_t born_ms;
	struct store_version revision;
	struct store_version answer_revision;
	enum target_phase phase;
	struct timespec warm_at;
	struct timespec changed; /* latest change of the phase, or restart, seen here */
	bool in_list;		 /* in the list that is being read */

	/* Kept by steer.c and suspicion.c. */
	GQueue flows; /* struct steer_flow, linked by its target_link */
	uint32_t open_flows;
	uint32_t busy_flows; /* with a request that has no answer yet */
	uint32_t unaccepted; /* openings sent to it that no target has accepted yet */
	enum target_trust trust;
	struct timespec last_alive;  /* latest sign of life from traffic or a probe */
	struct timespec last_answer; /* latest sign of life from traffic alone */
	struct timespec suspected;   /* start of the latest suspicion */
	struct timespec next_probe;
	struct response_time responses;
	struct timespec last_cold_opening; /* latest opening sent while cold */
	unsigned int rounds_failed;	   /* probe rounds since the suspicion */
	unsigned int probing;		   /* probes in progress */
	unsigned int round_size;	   /* probes of the latest round */
	bool probe_refused;		   /* a probe of the round was refused */
	bool probe_connected;		   /* a probe of the round has connected */
	bool probe_inconclusive;	   /* a probe of the round was inconclusive */

	struct target_credit credit; /* Kept by credit/account.c. */
};

struct registry;

/* Called after the phase of a target has changed or a target has restarted (@restarted). */
struct registry_listener {
	void (*changed)(struct registry_listener *listener, struct reg_target *tgt,
			enum target_phase before, bool restarted, struct timespec now);
};

struct registry *registry_new(void);
void registry_free(struct registry *reg);
void registry_set_listener(struct registry *reg, struct registry_listener *listener);

/*
 * Adds or updates one target. Returns false when a newer state of it is known. An entry that only
 * has a newer revision, as of a heartbeat, is not a change for registry_changed_since().
 */
bool registry_put(struct registry *reg, const struct target_info *info, struct timespec now);
/* Marks a target as gone, as reported by an answer of store revision @answer_revision. */
void registry_remove(struct registry *reg, const char *id, struct store_version answer_revision,
		     struct timespec now);
/* A whole list: begin, put each entry, end. Targets that were not put are gone at the end. */
void registry_list_begin(struct registry *reg);
void registry_list_end(struct registry *reg, struct store_version answer_revision,
		       struct timespec now);

/* Frees targets without flows that have been gone for at least @keep_ms. */
void registry_sweep(struct registry *reg, struct timespec now, int64_t keep_ms);

/*
 * Targets that were changed by an answer later than @revision and whose identifier sorts after
 * @after, sorted by identifier. With @revision 0, without those that are gone. Elements are struct
 * reg_target; to be freed with g_ptr_array_unref().
 */
GPtrArray *registry_changed_since(const struct registry *reg, struct store_version revision,
				  const char *after);
/* Latest store revision that changed a target: registry_changed_since() of it is empty. */
struct store_version registry_latest_revision(const struct registry *reg);
/* Records that an answer of store revision @answer_revision has changed the target. */
void registry_touch(struct registry *reg, struct reg_target *tgt,
		    struct store_version answer_revision);
/* Latest store revision that changed a target which has been freed since. */
struct store_version registry_freed_revision(const struct registry *reg);

struct reg_target *registry_by_id(struct registry *reg, const char *id);
struct reg_target *registry_by_digest(const struct registry *reg, uint64_t digest);
/* Ready and draining targets of a service: struct reg_target. NULL when there are none. */
const GPtrArray *registry_by_service(const struct registry *reg, uint32_t service);
uint32_t registry_count(const struct registry *reg);
void registry_each(struct registry *reg, void (*fn)(struct reg_target *tgt, void *arg), void *arg);

/* The mark of a target for a service address; never 0. */
uint32_t registry_mark(const struct reg_target *tgt, struct endpoint service);
/* The target that @mark identifies at a service address, or NULL when none is known. */
struct reg_target *registry_by_mark(const struct registry *reg, uint32_t mark,
				    struct endpoint service);

/* Time since the target's last sign of life here; -1 when there was none, or for NULL. */
int64_t target_silent_ms(const struct reg_target *tgt, struct timespec now);
const char *target_phase_name(enum target_phase phase);
const char *target_trust_name(enum target_trust trust);

#endif
