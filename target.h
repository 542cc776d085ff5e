/*
 * State of targets at this instance: health, load, slow start, limits and retry budgets. Probes are
 * divided among the group; results of other members arrive as target news in heartbeats.
 */
#ifndef TARGET_H
#define TARGET_H

#include "config.h"
#include "ctx.h"
#include "member.h"

#define LOAD_REPORT_MAX_AGE_MS	 5000
#define PROBE_INTERVAL_MS	 1000
#define PROBE_FAILURES_DOWN	 3
#define OPENINGS_UNANSWERED_DOWN 5
#define PROBERS_PER_TARGET	 2
#define SLOW_START_MIN_PERMILLE	 100
/* For targets of other data centres while they get no new flows: links between them are costly. */
#define PROBE_REMOTE_INTERVAL_MS 30000

struct targets;

struct targets *targets_new(const struct config *cfg, struct members *mem);
void targets_free(struct targets *tgs);

/* To be called after config_apply(): adds, updates and removes targets. */
void targets_config_changed(struct targets *tgs, struct ctx *ctx);
void targets_health(struct targets *tgs, struct ctx *ctx, const struct health_report *rep);
void targets_news(struct targets *tgs, struct ctx *ctx, uint32_t src, const peer_target_news *news,
		  size_t nr);
/* Refreshes eligibility and emits due probes of targets that this instance probes. */
void targets_timer(struct targets *tgs, struct ctx *ctx);
struct news_source *targets_news_source(struct targets *tgs);

/* Changes when a target's eligibility, restraint or weight does; homes then reassign buckets. */
uint64_t targets_version(const struct targets *tgs);

/* Healthy, not draining, not withdrawn: may be the current target of a bucket. */
bool target_eligible(const struct targets *tgs, uint32_t target);
/* Weight for the assignment: the limit of the target in flows; 0 when not eligible. */
uint32_t target_weight(const struct targets *tgs, uint32_t target);
/*
 * The target is starting, sheds or is near its limit, so the home must decide on each opening.
 * Homes make its SINGLE buckets SHARED: in a SINGLE one, instances forward openings without asking.
 */
bool target_restrained(const struct targets *tgs, uint32_t target);
/* Reachable and not withdrawn: packets of established flows may still go there. */
bool target_usable(const struct targets *tgs, uint32_t target);
/*
 * Not known to be down: an opening may be repeated there. Unlike in target_usable(), an earlier
 * answer does not outweigh failed probes: repeats would pile up and reach the target as it starts.
 */
bool target_reachable(const struct targets *tgs, uint32_t target);

/*
 * Picks the target of a new flow: the bucket's @current or its @alternate (TARGET_NONE for none).
 * Compares load (own flows in flight plus reports younger than LOAD_REPORT_MAX_AGE_MS) and honours
 * limits, shedding and slow-start tokens. Returns TARGET_NONE when neither can take one more flow.
 * A returned target is charged with the flow until target_opened() counts it or the charge expires.
 */
uint32_t target_choose(struct targets *tgs, struct ctx *ctx, uint32_t current, uint32_t alternate);

/* Takes one retry from the service's budget; false when none is left. */
bool target_take_retry(struct targets *tgs, struct ctx *ctx, const struct service *svc);

/*
 * Events in traffic that this instance handled. Flows are counted by the instance that sends the
 * opening, from target_opened() to target_closed(); the fabric spreads openings evenly, so one
 * instance has about 1 / members_count() of the flows of the group.
 */
void target_opened(struct targets *tgs, struct ctx *ctx, uint32_t target);
void target_accepted(struct targets *tgs, struct ctx *ctx, uint32_t target);
void target_shed(struct targets *tgs, struct ctx *ctx, uint32_t target);
void target_closed(struct targets *tgs, struct ctx *ctx, uint32_t target);
void target_answered(struct targets *tgs, struct ctx *ctx, uint32_t target);
/* Outcome of a flow, for the burn report. */
enum flow_outcome {
	FLOW_GOOD,	 /* the accepting answer was sent to the caller */
	FLOW_SHED,	 /* the target's refusal was sent to the caller */
	FLOW_RESET,	 /* the target reset it before it closed: neither good nor bad */
	FLOW_TERMINATED, /* reset by an instance */
};

/*
 * Counts an outcome; called by the instance that sends the packet. The count of good flows never
 * decreases: for each one reset or terminated later, the target's next good flow is not counted.
 */
void target_outcome(struct targets *tgs, uint32_t target, enum flow_outcome outcome);
/* Counts an opening of the service that was refused because no target was found. */
void targets_count_refused(struct targets *tgs, const struct service *svc);
uint64_t targets_get_refused(const struct targets *tgs, const struct service *svc);
/* The target reset an open flow. Several resets without another answer show a cold start. */
void target_reset(struct targets *tgs, struct ctx *ctx, uint32_t target);
/* Time of the last answer that this instance saw from the target; zero for never. */
struct timespec target_last_answer(const struct targets *tgs, uint32_t target);

/* For status and metrics. */
struct target_status {
	bool eligible;
	bool starting;
	uint32_t share_permille; /* of its full load, allowed by slow start; 1000 when warm */
	uint32_t load_permille;	 /* latest report */
	uint32_t report_age_ms;
	uint32_t flows; /* opened here and not closed */
	uint64_t good;	/* flows since the start of the instance */
	uint64_t bad;
};
void target_get_status(const struct targets *tgs, uint32_t target, struct timespec now,
		       struct target_status *st);

#endif
