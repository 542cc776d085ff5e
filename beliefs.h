/*
 * What an instance believes of the world: targets, configuration and withdrawn data centres, as the
 * adapter of the platform reports them. Decides what a report changes, in particular what becomes
 * of targets whose entries are missing after the store was away.
 */
#ifndef BELIEFS_H
#define BELIEFS_H

#include "edge-counters.h"
#include "placing.h"
#include "registry.h"
#include "routing.h"
#include "steer.h"
#include "symbol.h"

enum belief_kind {
	BELIEF_TARGETS,
	BELIEF_CONFIG,
	BELIEF_WITHDRAWALS,
	BELIEF_KINDS,
};

struct beliefs {
	struct symbols symbols;
	struct registry *registry;
	struct routing *routing;
	struct placing placing;
	struct steer *steer;
	struct edge_counters counters;
	GHashTable *lapsed;    /* GString id to struct timespec: entries to be removed then */
	GHashTable *malformed; /* names of entries that were complained of */
	uint64_t withdrawals;  /* changes of the set of withdrawn data centres */
	GHashTable *listed;    /* symbols of data centres that the list being read withdraws */
	bool known[BELIEF_KINDS];
	struct timespec heard[BELIEF_KINDS]; /* when the store last answered */
	struct timespec told[BELIEF_KINDS];  /* when an answer or a page was taken over */
	int64_t complete[BELIEF_KINDS];	     /* all changes up to this revision are known */
	uint64_t config_wanted;		     /* version that another instance has told of */
	int64_t answer;			     /* revision of the answer that is being reported */
	bool store_lost;
	struct timespec store_regained;
	struct histogram store_times;
};

struct beliefs_options {
	const char *data_centre;
	enum placing_policy placing;
	uint32_t remote_percent;
	uint32_t cold_gap_ms;
	uint32_t verify_ms;
	size_t max_flows;
	struct random *random;
	struct steer_out *out;
};

void beliefs_init(struct beliefs *bel, const struct beliefs_options *opts);
void beliefs_release(struct beliefs *bel);

/* Whether openings can be decided. */
bool beliefs_ready(const struct beliefs *bel);
/* Whether all kinds have been confirmed since then. */
bool beliefs_told_since(const struct beliefs *bel, struct timespec since);
void beliefs_timer(struct beliefs *bel, struct timespec now);

/* Reports of the adapter. A whole list of targets lies between begin and end. */
/* What follows comes from an answer that shows the store at @revision. */
void beliefs_answer(struct beliefs *bel, int64_t revision);
/* All changes of a kind up to @revision have been reported, or confirmed. */
void beliefs_complete(struct beliefs *bel, enum belief_kind kind, int64_t revision);
void beliefs_told(struct beliefs *bel, enum belief_kind kind, struct timespec now);
void beliefs_targets_begin(struct beliefs *bel);
void beliefs_target(struct beliefs *bel, const struct target_info *info, struct timespec now);
void beliefs_target_gone(struct beliefs *bel, const char *id, struct timespec now);
void beliefs_targets_end(struct beliefs *bel, struct timespec now);
/* The entry of a target is missing and may come back within @keep_ms. */
void beliefs_target_lapsed(struct beliefs *bel, const char *id, int64_t keep_ms,
			   struct timespec now);
/* How long a lapsed target is kept; -1 for one whose entry is there. */
int64_t beliefs_keep_ms(const struct beliefs *bel, const struct reg_target *tgt,
			struct timespec now);
/* A configuration has been read into bel->routing and is complete. */
void beliefs_config_complete(struct beliefs *bel, struct timespec now);
void beliefs_withdraw(struct beliefs *bel, const char *data_centre, bool withdrawn,
		      struct timespec now);
/* A whole list of withdrawn data centres; what is not withdrawn in between is in use again. */
void beliefs_withdrawals_begin(struct beliefs *bel);
void beliefs_withdrawals_end(struct beliefs *bel, struct timespec now);
/* The store has answered a call about @kind, or has failed to. */
void beliefs_heard(struct beliefs *bel, enum belief_kind kind, struct timespec now);
void beliefs_store_failed(struct beliefs *bel, const char *reason, struct timespec now);
/* An entry names no target or cannot be read; it is left out, and logged once. */
void beliefs_malformed(struct beliefs *bel, const char *kind, const char *name, const char *why,
		       struct timespec now);

#endif
