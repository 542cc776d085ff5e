/* Internal state of targets, shared by target.c, health.c, load.c and slowstart.c only. */
#ifndef TARGET_INTERNAL_H
#define TARGET_INTERNAL_H

#include <glib.h>

#include "budget.h"
#include "target.h"

/* Observers whose latest report on a target is kept: both probers and one that replaces another. */
#define TARGET_REPORTS_MAX 3

/*
 * Age at which the state in a report expires when its observer does not probe the target any more.
 * That of a prober is valid until it changes: in a large group, reports are renewed too rarely.
 */
#define STATE_REPORT_MAX_AGE_MS 15000

struct service_state;

/* Latest report of one observer on a target. */
struct report {
	uint32_t observer; /* MEMBER_NONE for an unused entry */
	struct timespec at;
	peer_target_state state;
	uint32_t marker;
	uint32_t load_permille;
	uint32_t warm_percent;
	uint32_t urgent_sends; /* sends left in which it precedes reports without a change */
	struct timespec sent_at;
	uint32_t sends;	       /* since the report arrived */
	uint32_t same_reports; /* reports in a row with the same load */
};

struct slow_start {
	bool active;
	struct timespec began;
	uint32_t flows_before; /* of the previous process; not counted as load of the new one */
	struct budget credit;  /* its share of the openings that were offered to it */
	struct budget rate;    /* limit on openings per second */
	uint32_t marker;
	uint32_t previous_marker;
	struct timespec marker_at;
	uint32_t marker_changes;
	struct timespec marker_window;
	uint32_t assumed; /* starts assumed without a marker, within the window */
	struct timespec assumed_window;
};

struct target {
	uint32_t index;
	struct target *same_ep; /* next one with this endpoint, in another service */
	bool configured;
	bool is_new; /* added after the first configuration, not reported up yet */
	struct timespec added;
	/* Copied from the configuration. */
	struct endpoint ep;
	uint32_t slots, max_flows, warmup_ms;
	uint16_t dc;
	uint32_t org;
	struct service_state *svc; /* NULL while not in the configuration */
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
	struct report reports[TARGET_REPORTS_MAX];

	/* From traffic that this instance handled. */
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
	uint64_t good_to_skip; /* counted as good, then ended badly; later good ones left to skip */

	struct slow_start slow;
};

/* Most retries that the budget of a service holds. */
#define RETRY_BURST_TOKENS 20

struct service_state {
	uint64_t key;
	struct budget retries;
	uint64_t refused;
	bool spill; /* local targets are full: those of other data centres get flows too */
	struct timespec full_since;
	/* Of its targets, from the last refresh. */
	uint32_t nr_up;
	uint32_t nr_local_available;	 /* local ones that may take new flows */
	uint32_t nr_local_with_capacity; /* of these, ones with capacity left */
};

struct targets {
	const struct config *cfg;
	struct members *mem;
	struct news_source news;
	GPtrArray *list;      /* struct target by index, NULL where never seen */
	GHashTable *by_ep;    /* endpoint key to the first struct target */
	GHashTable *services; /* service key to struct service_state */
	uint64_t version;
	struct timespec first_config; /* zero before it arrived */
	uint16_t last_dc;	      /* data centre of the previous target in a refresh */
	bool last_dc_local;	      /* whether members are in it */
	struct timespec now;	      /* of the latest event */
	struct timespec next_refresh;
};

struct target *target_find(const struct targets *tgs, uint32_t index);
/* Makes the next targets_timer() refresh eligibility, once for all changes until then. */
void targets_changed(struct targets *tgs);

/* health.c */
/* State according to valid reports and recently accepted openings. */
peer_target_state health_state(const struct target *tgt, struct timespec now);
/* Updates the probers of the target after a change of the members. */
void health_update_probers(struct targets *tgs, struct target *tgt);
/* Latest report of its load, or NULL when all are older than LOAD_REPORT_MAX_AGE_MS. */
const struct report *health_load(const struct target *tgt, struct timespec now);
void health_probe_due(struct targets *tgs, struct ctx *ctx, struct target *tgt);
size_t health_fill_news(struct news_source *src, struct ctx *ctx, peer_target_news *news,
			size_t max);
/* Makes this instance's own report on the target urgent, after it found a cold start. */
void health_make_urgent(struct targets *tgs, struct ctx *ctx, struct target *tgt);

/* load.c */
/* Whether limits and shedding let the target take one more flow. */
bool load_has_capacity(const struct targets *tgs, const struct target *tgt, struct timespec now);
/* Load in 1/1000 of the limit, from own counts and reports that own counts do not contradict. */
uint32_t load_estimate(const struct targets *tgs, const struct target *tgt, struct timespec now);

/* slowstart.c */
/* Share of its full load that the target may get, in 1/1000; 1000 when warm. */
uint32_t slow_start_share(const struct target *tgt, struct timespec now);
void slow_start_begin(struct targets *tgs, struct ctx *ctx, struct target *tgt, struct timespec at);
/* A report named a start marker. Returns true when a cold start was detected. */
bool slow_start_marker(struct targets *tgs, struct ctx *ctx, struct target *tgt, uint32_t marker,
		       struct timespec at);
/* Begins a slow start without a marker, as traffic or reports look like those of a cold target. */
void slow_start_assume(struct targets *tgs, struct ctx *ctx, struct target *tgt);
/* Takes over the share of full load, in percent, that a member reports for the target. */
void slow_start_apply_share(struct targets *tgs, struct ctx *ctx, struct target *tgt,
			    uint32_t warm_percent);
/* The target was offered an opening as the current one of its bucket. */
void slow_start_offered(struct target *tgt, struct timespec now);
bool slow_start_admits(struct targets *tgs, struct target *tgt, struct timespec now);
void slow_start_charge(struct target *tgt);
/* A shed during slow start: the target takes less load than its share allows. */
void slow_start_shed(struct target *tgt, struct timespec now);

#endif
