/* State of the target view, shared by target.c, health.c, load.c and slowstart.c only. */
#ifndef TARGET_INTERNAL_H
#define TARGET_INTERNAL_H

#include <glib.h>

#include "budget.h"
#include "target.h"

/* Observers of which a target's latest report is kept: both probers and one that took over. */
#define VIEWS_MAX 3

/*
 * A report of an instance that no longer probes the target counts as to up or down for this long.
 * Reports of its probers count until they change: in a large group they are renewed too rarely.
 */
#define VIEW_MAX_AGE_MS 15000

struct service_state;

/* What one observer last said of a target. */
struct view {
	uint32_t observer; /* MEMBER_NONE for an unused entry */
	struct timespec at;
	peer_target_state state;
	uint32_t marker;
	uint32_t load_permille;
	uint32_t warm_percent;
	uint32_t urgent_sends; /* news that changed is sent this often before all other */
	struct timespec sent_at;
	uint32_t sends;	       /* since the report came */
	uint32_t same_reports; /* reports in a row with this very load */
};

struct slow_start {
	bool active;
	struct timespec began;
	uint32_t flows_before; /* of the process before; they do not weigh on the new one */
	struct budget credit;  /* its share of the openings that were offered to it */
	struct budget rate;    /* openings a second that a starting target may get at all */
	uint32_t marker;
	uint32_t old_marker;
	struct timespec marker_at;
	uint32_t marker_changes;
	struct timespec marker_window;
	uint32_t assumed; /* starts assumed without a marker, within the window */
	struct timespec assumed_window;
};

struct target {
	uint32_t index;
	struct target *same_ep; /* the same server in another service */
	bool in_force;
	bool is_new; /* added while the process ran, not seen up yet */
	struct timespec added;
	/* Copied from the configuration. */
	struct endpoint ep;
	uint32_t slots, max_flows, warmup_ms;
	uint16_t dc;
	uint32_t org;
	struct service_state *svc; /* NULL while not in force */
	bool draining;

	bool withdrawn;
	bool local; /* in a data centre of the group */
	bool eligible;
	bool restrained;

	/* Probes. */
	uint32_t probers[PROBERS_PER_TARGET];
	uint64_t prober_version; /* of the members; 0 for not computed */
	struct timespec next_probe;
	uint32_t failures, successes;
	struct view views[VIEWS_MAX];

	/* Own evidence. */
	uint32_t flows;
	uint32_t charges; /* chosen here, not yet counted as opened */
	struct timespec charges_at;
	uint32_t opened_since_report;
	uint32_t unanswered; /* openings since the last answer */
	struct timespec first_unanswered;
	struct timespec last_answer, last_accept, last_shed;
	uint32_t sheds;	 /* since the last accepted opening */
	uint32_t resets; /* of open flows, since the last other answer */
	struct timespec first_reset;
	uint32_t backoff_ms;
	struct timespec backoff_end;
	bool passive_down;
	uint32_t passive_ms;
	struct timespec passive_end;

	uint64_t good, bad;
	uint64_t spoiled; /* good ones that ended badly, to be taken off later ones */

	struct slow_start slow;
};

/* Retries that a service may have saved up. */
#define RETRY_BURST 20

struct service_state {
	uint64_t key;
	struct budget retries;
	uint64_t refused;
	bool spill; /* no capacity left in the own data centres */
	struct timespec full_since;
	/* Of its targets, from the last refresh. */
	uint32_t nr_up;
	uint32_t nr_local_fit;	/* local ones that may take new flows */
	uint32_t nr_local_free; /* of these, ones with capacity left */
};

struct targets {
	const struct config *cfg;
	struct members *mem;
	struct news_source news;
	GPtrArray *list;      /* struct target by index, NULL where never seen */
	GHashTable *by_ep;    /* endpoint key to the first struct target */
	GHashTable *services; /* service key to struct service_state */
	uint64_t version;
	struct timespec first_config; /* zero before */
	uint16_t seen_dc;	      /* of the target before in a refresh, with its answer */
	bool seen_local;
	struct timespec now; /* of the latest event */
	struct timespec next_refresh;
};

struct target *target_find(const struct targets *tgs, uint32_t index);
/* Eligibility has to be brought up to date; done once for all changes until the next timer. */
void targets_changed(struct targets *tgs);

/* health.c */
/* The state that the fresh reports amount to. */
peer_target_state health_state(const struct target *tgt, struct timespec now);
/* Follows changes of the members: who probes the target. */
void health_find_probers(struct targets *tgs, struct target *tgt);
/* Latest report of its load, or NULL when all are older than LOAD_REPORT_MAX_AGE_MS. */
const struct view *health_load(const struct target *tgt, struct timespec now);
void health_probe_due(struct targets *tgs, struct ctx *ctx, struct target *tgt);
size_t health_fill_news(struct news_source *src, struct ctx *ctx, peer_target_news *news,
			size_t max);
/* Makes all reports of a target that this instance has urgent, after own evidence. */
void health_spread(struct targets *tgs, struct ctx *ctx, struct target *tgt);

/* load.c */
/* Whether the target can take one more flow as far as limits and shedding go. */
bool load_bears(const struct targets *tgs, const struct target *tgt, struct timespec now);
/* Load in 1/1000 of the limit, from own counts and reports that own counts do not contradict. */
uint32_t load_estimate(const struct targets *tgs, const struct target *tgt, struct timespec now);

/* slowstart.c */
/* Share of its full load that the target may get, 1000 when warm. */
uint32_t slow_start_share(const struct target *tgt, struct timespec now);
void slow_start_begin(struct targets *tgs, struct ctx *ctx, struct target *tgt, struct timespec at);
/* A report named a start marker. Returns true when a cold start was detected. */
bool slow_start_marker(struct targets *tgs, struct ctx *ctx, struct target *tgt, uint32_t marker,
		       struct timespec at);
/* Traffic or reports look like those of a cold target. */
void slow_start_assume(struct targets *tgs, struct ctx *ctx, struct target *tgt);
/* A member says how warm the target is. */
void slow_start_told(struct targets *tgs, struct ctx *ctx, struct target *tgt,
		     uint32_t warm_percent);
/* The target was offered an opening as the current one of its bucket. */
void slow_start_offered(struct target *tgt, struct timespec now);
bool slow_start_admits(struct targets *tgs, struct target *tgt, struct timespec now);
void slow_start_charge(struct target *tgt);
/* A shed during the start: it bears less than assumed. */
void slow_start_shed(struct target *tgt, struct timespec now);

#endif
