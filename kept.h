/*
 * What an instance knows that is newer than a store restored from an older copy. A target or
 * withdrawal that the store shows in an older state than the known one is kept as it is known until
 * its writer has written it again, its entry disappears, or ERA_KEEP_MS have passed since the new
 * era of the store was seen; then the store's state is applied.
 *
 * Performs no I/O and reads no clock.
 */
#ifndef KEPT_H
#define KEPT_H

#include <glib.h>

#include "registry.h"
#include "storeversion.h"

/* The longest outage of a restore, 5 s, and three heartbeats of 1.2 s of a target, rounded up. */
#define ERA_KEEP_MS 10000

struct control_state;

struct kept {
	int64_t era;		    /* the highest one seen */
	struct store_version first; /* of the first answer in this era */
	struct timespec end;	    /* of the period */
	bool active;		    /* the period is running */
	bool known;		    /* something was known before this era */
	GHashTable *targets;	    /* id to struct kept_target: the store's older states */
	GHashTable *withdrawn; /* symbol to whether the store shows the data centre withdrawn */
	GHashTable *changed;   /* symbol to struct store_version: latest known change */
	/*
	 * Pages of this era were applied. Their reader may have kept states for its own period, and
	 * its successor is not asked for older changes, so a whole list is read when the own period
	 * has ended.
	 */
	bool paged;
	bool relist;
	unsigned int reverted; /* older states that were applied at the end */
};

void kept_init(struct kept *kept);
void kept_release(struct kept *kept);

/* An answer, or a page of another instance, at @version. Begins the period in a new era. */
void kept_answer(struct control_state *cs, struct store_version version, struct timespec now);

/*
 * Whether the entry of a target is not to be applied: it is older than what is known, and is
 * recorded, or it does not differ from it.
 */
bool kept_target(struct control_state *cs, const struct target_info *info, struct timespec now);
/* The entry of a target has disappeared, or a newer one was applied. */
void kept_forget_target(struct control_state *cs, const char *id);
/* Whether a target is in its state of an era before: the reader may still keep it. */
bool kept_any_target(const struct control_state *cs);
/* Whether a target that is not in a list is kept, because the copy may be older than its entry. */
bool kept_missing_target(const struct control_state *cs, const struct reg_target *tgt);

/*
 * Whether the state of a data centre, as an entry at @version (none if unknown) or a list without
 * it shows, is not to be applied. @listed: in a whole list; otherwise it is a single change.
 */
bool kept_withdrawal(struct control_state *cs, uint32_t data_centre, bool withdrawn,
		     struct store_version version, bool listed);

/* A whole list of withdrawals has ended: what it does not list is confirmed as given back. */
void kept_withdrawals_end(struct control_state *cs);

/* Ends the period when it is over: applies the store's states. */
void kept_timer(struct control_state *cs, struct timespec now);

#endif
