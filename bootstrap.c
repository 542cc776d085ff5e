#include "bootstrap.h"

#include "address.h"
#include "decision.h"
#include "snapshot.h"
#include "timeutil.h"

/* A snapshot of 700 targets takes 60 ms on a 20 Mbit/s link. */
#define ASK_DEADLINE_MS 400
/* Seeds are asked again after this time, which doubles up to ASK_INTERVAL_MAX_MS. */
#define ASK_INTERVAL_MIN_MS 250
#define ASK_INTERVAL_MAX_MS 2000
/* Instances that start together ask at different times. */
#define ASK_JITTER_MS 50
/* How long a first answer waits for a more recent one of another seed. */
#define ANSWER_WAIT_MS 30

struct bootstrap {
	struct bootstrap_options opts;
	struct snapshot *best;
	int64_t best_age_ms; /* at best_received */
	size_t best_seed;
	struct timespec best_received;
	struct timespec next_round; /* 0 before the first one */
	uint32_t interval_ms;
	size_t nr_pending;
	bool applied;
};

struct bootstrap *bootstrap_new(const struct bootstrap_options *opts)
{
	struct bootstrap *boot = g_new0(struct bootstrap, 1);

	boot->opts = *opts;
	boot->interval_ms = ASK_INTERVAL_MIN_MS;
	return boot;
}

void bootstrap_free(struct bootstrap *boot)
{
	if (!boot)
		return;
	snapshot_free(boot->best);
	g_free(boot);
}

/* Whether a snapshot is needed: the store does not answer, and something is not known yet. */
static bool is_needed(const struct bootstrap *boot)
{
	const struct control_state *cs = boot->opts.control_state;

	return boot->opts.nr_seeds && !boot->applied && cs->store_lost && !control_state_ready(cs);
}

static void ask_seeds(struct bootstrap *boot, struct timespec now)
{
	boot->nr_pending = boot->opts.nr_seeds;
	for (size_t i = 0; i < boot->opts.nr_seeds; i++)
		boot->opts.out->ops->ask(boot->opts.out, i, ASK_DEADLINE_MS);
	boot->next_round =
		ts_add_ms(now, boot->interval_ms + random_below(boot->opts.random, ASK_JITTER_MS));
	boot->interval_ms = MIN(boot->interval_ms * 2, (uint32_t)ASK_INTERVAL_MAX_MS);
}

static void keep_if_newer(struct bootstrap *boot, size_t seed, struct snapshot *snap,
			  struct timespec now)
{
	int64_t age_ms = snapshot_age_ms(snap);

	if (boot->best && age_ms >= boot->best_age_ms + ts_diff_ms(now, boot->best_received)) {
		snapshot_free(snap);
		return;
	}
	snapshot_free(boot->best);
	boot->best = snap;
	boot->best_age_ms = age_ms;
	boot->best_seed = seed;
	boot->best_received = now;
}

void bootstrap_answered(struct bootstrap *boot, size_t seed, const char *body, size_t len,
			const char *why, struct timespec now)
{
	char name[ENDPOINT_TEXT_LEN];
	struct snapshot *snap;
	struct faults faults;

	endpoint_format(boot->opts.seeds[seed], name);
	if (boot->nr_pending)
		boot->nr_pending--;
	if (!is_needed(boot))
		return;
	if (!body) {
		decision_log(DECISION_STORE, now, "snapshot=none seed=%s reason=\"%s\"", name, why);
		return;
	}
	faults_init(&faults);
	snap = snapshot_parse(body, len, &faults);
	if (snap) {
		keep_if_newer(boot, seed, snap, now);
	} else {
		const struct fault *fault = g_ptr_array_index(faults.list, 0);

		decision_log(DECISION_STORE, now,
			     "snapshot=invalid seed=%s faults=%u first=\"%s: %s\"", name,
			     faults.list->len, fault->key->str, fault->text->str);
	}
	faults_release(&faults);
}

static void apply_best(struct bootstrap *boot, struct timespec now)
{
	int64_t age_ms = boot->best_age_ms + ts_diff_ms(now, boot->best_received);
	char name[ENDPOINT_TEXT_LEN];

	endpoint_format(boot->opts.seeds[boot->best_seed], name);
	snapshot_apply(boot->best, boot->opts.control_state, age_ms, now);
	decision_log(DECISION_STORE, now, "snapshot=applied seed=%s age_ms=%lld targets=%u", name,
		     (long long)age_ms, registry_count(boot->opts.control_state->registry));
	snapshot_free(boot->best);
	boot->best = NULL;
	boot->applied = true;
}

static bool is_answer_due(const struct bootstrap *boot, struct timespec now)
{
	return boot->best &&
	       (!boot->nr_pending || ts_diff_ms(now, boot->best_received) >= ANSWER_WAIT_MS);
}

bool bootstrap_timer(struct bootstrap *boot, struct timespec now)
{
	if (!is_needed(boot))
		return boot->applied;
	if (is_answer_due(boot, now)) {
		apply_best(boot, now);
	} else if (!boot->next_round.tv_sec) {
		boot->next_round = ts_add_ms(now, random_below(boot->opts.random, ASK_JITTER_MS));
	} else if (!boot->best && !boot->nr_pending && ts_cmp(now, boot->next_round) >= 0) {
		ask_seeds(boot, now);
	}
	return boot->applied;
}

int64_t bootstrap_due_ms(const struct bootstrap *boot, struct timespec now)
{
	if (!is_needed(boot))
		return INT64_MAX;
	if (is_answer_due(boot, now))
		return 0;
	if (boot->best)
		return ANSWER_WAIT_MS - ts_diff_ms(now, boot->best_received);
	return boot->nr_pending ? INT64_MAX : ts_diff_ms(boot->next_round, now);
}
