#include "credit/monitor.h"

#include <math.h>

#include "timeutil.h"

/* Some 50 completions at 2 slots and 200 ms a request: speeds are known to one seventh. */
#define SPEED_TIME_MS 5000.0
#define BAD_TIME_MS   2000.0
/* Completions at the mean speed that are added to those seen, against chance at little load. */
#define SPEED_PRIOR 1.0
#define SPEED_MIN   250
#define SPEED_MAX   2000
/* More than one instance can have in progress at a target: such a figure is not believed. */
#define BUSY_MAX_MS (64 * MSEC_PER_SEC)
/* Plausible requests in progress for each slot; limits what nonsense adds to the sums. */
#define BUSY_PER_SLOT 8
/* A target is at most this much faster or slower than the median, for the mean of its service. */
#define RATE_SPREAD 4
/* A target with fewer completions does not count in the mean of its service. */
#define RATE_COMPLETIONS 3
/* Two failures within about a second; one is isolated. */
#define BAD_MIN	       1.5
#define BAD_SHARE_MIN  0.2
#define BAD_TIMES_MEAN 3
/* One slot credit and no queue credits, also of a target with 16 slots. */
#define LEVEL_MIN 62
#define LEVEL_MAX 1000
/* At most a third of the slots is left out: the rest could not carry more. */
#define LEFT_OUT_DIVISOR 3
#define DEAD_LIFE_MS	 1000
/* Reports of other instances cover time before the death for this long. */
#define DEAD_OVERLAP_MS 250
/* An instance whose report of a death was refuted is not believed for this long. */
#define DOUBT_MS  10000
#define FORGET_MS 60000
/* A round may be late, and a reader's first one follows after two intervals. */
#define COUNTED_INTERVALS 3
#define SEEN_MAX	  16384
#define FORGET_PERIOD	  5000

struct seen {
	uint64_t key;
	uint32_t service;
	int64_t last_ms; /* reported or listed */
	int64_t answered_ms;
	int64_t counted_from_ms;
	/* Since then, the end of the last interval. */
	double completed;
	double bad;
	double busy_ms;
	double timed; /* completions with a credible busy time */
	/* Decayed sums. */
	double window_ms;
	double sum_busy_ms;
	double sum_timed;
	double sum_bad;
	double sum_all;
	/* Results. */
	uint32_t speed_permille;
	uint32_t level_permille;    /* by its own failures */
	uint32_t capacity_permille; /* within what the service can spare */
	/* Death. */
	bool dead;
	uint32_t dead_reporter;
	int64_t dead_since_ms;
	int64_t dead_ms; /* latest report */
	uint32_t doubted_reporter;
	int64_t doubt_end_ms;
};

/* A target of the service in monitor_tick(). */
struct listed {
	struct seen *seen;
	uint32_t slots;
	double busy_ms; /* of its slots */
	double rate;	/* completions for each millisecond of a slot */
};

struct monitor {
	GHashTable *targets;  /* key to struct seen */
	GHashTable *services; /* symbol to service time in microseconds */
	int64_t forgot_ms;
};

struct monitor *monitor_new(void)
{
	struct monitor *mon = g_new0(struct monitor, 1);

	mon->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	mon->services = g_hash_table_new(NULL, NULL);
	return mon;
}

void monitor_free(struct monitor *mon)
{
	if (!mon)
		return;
	g_hash_table_unref(mon->targets);
	g_hash_table_unref(mon->services);
	g_free(mon);
}

static struct seen *find_seen(const struct monitor *mon, uint64_t key)
{
	return g_hash_table_lookup(mon->targets, &key);
}

/* Returns NULL when too many targets are known. */
static struct seen *get_seen(struct monitor *mon, uint64_t key, uint32_t service, int64_t now_ms)
{
	struct seen *seen = find_seen(mon, key);

	if (!seen && g_hash_table_size(mon->targets) >= SEEN_MAX)
		return NULL;
	if (!seen) {
		seen = g_new0(struct seen, 1);
		seen->key = key;
		seen->answered_ms = -1;
		seen->counted_from_ms = now_ms;
		seen->speed_permille = 1000;
		seen->level_permille = LEVEL_MAX;
		seen->capacity_permille = LEVEL_MAX;
		g_hash_table_insert(mon->targets, &seen->key, seen);
	}
	seen->service = service;
	seen->last_ms = now_ms;
	return seen;
}

static bool is_dead(const struct seen *seen, int64_t now_ms)
{
	return seen->dead && now_ms - seen->dead_ms < DEAD_LIFE_MS;
}

static void note_death(struct seen *seen, uint32_t reporter, int64_t now_ms)
{
	if (reporter == seen->doubted_reporter && now_ms < seen->doubt_end_ms)
		return;
	if (!is_dead(seen, now_ms)) {
		seen->dead = true;
		seen->dead_since_ms = now_ms;
		seen->dead_reporter = reporter;
	}
	seen->dead_ms = now_ms;
}

static void note_answer(struct seen *seen, uint32_t reporter, int64_t now_ms)
{
	seen->answered_ms = now_ms;
	if (!is_dead(seen, now_ms))
		return;
	if (reporter != seen->dead_reporter) {
		if (now_ms - seen->dead_since_ms < DEAD_OVERLAP_MS)
			return;
		seen->doubted_reporter = seen->dead_reporter;
		seen->doubt_end_ms = now_ms + DOUBT_MS;
	}
	seen->dead = false;
}

void monitor_add(struct monitor *mon, uint32_t reporter, uint32_t service,
		 const struct credit_observation *obs, struct timespec now)
{
	int64_t now_ms = ts_to_ms(now);
	struct seen *seen = get_seen(mon, obs->target, service, now_ms);

	if (!seen)
		return;
	seen->completed += obs->completed;
	seen->bad += (double)obs->rejected + obs->failed + obs->overdue;
	if (obs->busy_ms <= BUSY_MAX_MS && (obs->busy_ms || !obs->completed)) {
		seen->busy_ms += obs->busy_ms;
		seen->timed += obs->completed;
	}
	if (obs->dead)
		note_death(seen, reporter, now_ms);
	else if (obs->completed)
		note_answer(seen, reporter, now_ms);
}

static double mean_rate(const struct monitor *mon, uint32_t service)
{
	uint32_t us = monitor_service_time_us(mon, service);

	return us ? 1000.0 / us : 0;
}

/*
 * Drops what was counted over more than an interval, because the service did not take part. It
 * would pass for the completions and failures of one interval.
 */
static void drop_old_counts(struct seen *seen, uint32_t interval_ms, int64_t now_ms)
{
	if (now_ms - seen->counted_from_ms > (int64_t)interval_ms * COUNTED_INTERVALS)
		seen->completed = seen->bad = seen->busy_ms = seen->timed = 0;
	seen->counted_from_ms = now_ms;
}

/* Ends an interval of what was counted; @mean is the rate of the service, 0 if unknown. */
static void update_sums(struct listed *tgt, uint32_t interval_ms, double mean)
{
	struct seen *seen = tgt->seen;
	double keep = exp(-(double)interval_ms / SPEED_TIME_MS);
	double keep_bad = exp(-(double)interval_ms / BAD_TIME_MS);
	double busy_ms = MIN(seen->busy_ms, (double)tgt->slots * BUSY_PER_SLOT * interval_ms);
	double timed = seen->timed;

	if (mean > 0)
		timed = MIN(timed, busy_ms * mean * RATE_SPREAD + RATE_COMPLETIONS);
	seen->window_ms = seen->window_ms * keep + interval_ms;
	seen->sum_busy_ms = seen->sum_busy_ms * keep + busy_ms;
	seen->sum_timed = seen->sum_timed * keep + timed;
	seen->sum_bad = seen->sum_bad * keep_bad + seen->bad;
	seen->sum_all = seen->sum_all * keep_bad + seen->bad + seen->completed;
	tgt->busy_ms = MIN(seen->sum_busy_ms, seen->window_ms * tgt->slots);
	tgt->rate = tgt->busy_ms > 0 ? seen->sum_timed / tgt->busy_ms : 0;
}

static int compare_rates(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static bool is_measured(const struct listed *tgt)
{
	return tgt->seen->sum_timed >= RATE_COMPLETIONS && tgt->busy_ms > 0;
}

/* 0 when no target is measured. */
static double median_rate(const GArray *listed)
{
	g_autoptr(GArray) rates = g_array_new(FALSE, FALSE, sizeof(double));

	for (size_t i = 0; i < listed->len; i++) {
		const struct listed *tgt = &g_array_index(listed, struct listed, i);

		if (is_measured(tgt))
			g_array_append_val(rates, tgt->rate);
	}
	if (!rates->len)
		return 0;
	g_array_sort(rates, compare_rates);
	return g_array_index(rates, double, rates->len / 2);
}

/* Mean of the rates of slots; one target with nonsense figures has little effect on it. */
static double service_rate(const GArray *listed)
{
	double median = median_rate(listed);
	double sum = 0;
	double slots = 0;

	for (size_t i = 0; i < listed->len; i++) {
		const struct listed *tgt = &g_array_index(listed, struct listed, i);

		if (!is_measured(tgt))
			continue;
		sum += CLAMP(tgt->rate, median / RATE_SPREAD, median * RATE_SPREAD) * tgt->slots;
		slots += tgt->slots;
	}
	return slots > 0 ? sum / slots : 0;
}

static void update_speeds(struct monitor *mon, uint32_t service, const GArray *listed)
{
	double mean = service_rate(listed);

	if (mean <= 0)
		return;
	g_hash_table_insert(mon->services, GUINT_TO_POINTER(service),
			    GUINT_TO_POINTER((guint)CLAMP(1000 / mean, 1, UINT32_MAX)));
	for (size_t i = 0; i < listed->len; i++) {
		const struct listed *tgt = &g_array_index(listed, struct listed, i);
		double rate =
			(tgt->seen->sum_timed + SPEED_PRIOR) / (tgt->busy_ms + SPEED_PRIOR / mean);

		tgt->seen->speed_permille =
			(uint32_t)CLAMP(rate / mean * 1000 + 0.5, SPEED_MIN, SPEED_MAX);
	}
}

static double bad_share(const struct seen *seen)
{
	return seen->sum_all > 0 ? seen->sum_bad / seen->sum_all : 0;
}

static double service_bad_share(const GArray *listed)
{
	double bad = 0;
	double all = 0;

	for (size_t i = 0; i < listed->len; i++) {
		bad += g_array_index(listed, struct listed, i).seen->sum_bad;
		all += g_array_index(listed, struct listed, i).seen->sum_all;
	}
	return all > 0 ? bad / all : 0;
}

/*
 * A target that is left out in part has few requests, so that any new failure counts. Failures of
 * all targets alike leave none out.
 */
static void update_level(struct seen *seen, double service_share)
{
	double share = bad_share(seen);
	bool many = seen->sum_bad >= BAD_MIN || (seen->bad > 0 && seen->level_permille < LEVEL_MAX);
	bool outlier = many && share > BAD_SHARE_MIN && share > BAD_TIMES_MEAN * service_share;

	if (outlier && (seen->bad > 0 || seen->completed <= 0))
		seen->level_permille = MAX(seen->level_permille / 2, LEVEL_MIN);
	else if (seen->completed > 0 && seen->bad <= 0)
		seen->level_permille = MIN(seen->level_permille * 3 / 2, LEVEL_MAX);
}

static int compare_shares(const void *a, const void *b)
{
	const struct seen *x = ((const struct listed *)a)->seen;
	const struct seen *y = ((const struct listed *)b)->seen;
	double p = bad_share(x);
	double q = bad_share(y);

	if (p > q || p < q)
		return p > q ? -1 : 1;
	return x->key < y->key ? -1 : x->key > y->key;
}

/* Leaves out the worst targets first, as far as the service can spare their slots. */
static void limit_left_out(GArray *listed, uint64_t slots)
{
	uint64_t spare = slots * LEVEL_MAX / LEFT_OUT_DIVISOR;

	g_array_sort(listed, compare_shares);
	for (size_t i = 0; i < listed->len; i++) {
		const struct listed *tgt = &g_array_index(listed, struct listed, i);
		uint64_t part = MIN(LEVEL_MAX - tgt->seen->level_permille, spare / tgt->slots);

		tgt->seen->capacity_permille = (uint32_t)(LEVEL_MAX - part);
		spare -= part * tgt->slots;
	}
}

static gboolean is_forgotten(void *key, void *value, void *arg)
{
	(void)key;
	return *(const int64_t *)arg - ((struct seen *)value)->last_ms >= FORGET_MS;
}

static void forget(struct monitor *mon, int64_t now_ms)
{
	if (now_ms - mon->forgot_ms < FORGET_PERIOD)
		return;
	mon->forgot_ms = now_ms;
	g_hash_table_foreach_remove(mon->targets, is_forgotten, &now_ms);
}

static GArray *list_seen(struct monitor *mon, const struct alloc_target *targets, size_t nr,
			 int64_t now_ms)
{
	GArray *listed = g_array_new(FALSE, FALSE, sizeof(struct listed));

	for (size_t i = 0; i < nr; i++) {
		struct listed tgt = { .slots = targets[i].slots };

		tgt.seen = find_seen(mon, targets[i].key);
		if (!tgt.seen || !tgt.slots)
			continue;
		tgt.seen->last_ms = now_ms;
		g_array_append_val(listed, tgt);
	}
	return listed;
}

void monitor_tick(struct monitor *mon, uint32_t service, const struct alloc_target *targets,
		  size_t nr, uint32_t interval_ms, struct timespec now)
{
	g_autoptr(GArray) listed = list_seen(mon, targets, nr, ts_to_ms(now));
	double mean = mean_rate(mon, service);
	uint64_t slots = 0;
	double share;

	for (size_t i = 0; i < nr; i++)
		slots += targets[i].slots;
	for (size_t i = 0; i < listed->len; i++) {
		struct listed *tgt = &g_array_index(listed, struct listed, i);

		drop_old_counts(tgt->seen, interval_ms, ts_to_ms(now));
		update_sums(tgt, interval_ms, mean);
	}
	update_speeds(mon, service, listed);
	share = service_bad_share(listed);
	for (size_t i = 0; i < listed->len; i++) {
		struct seen *seen = g_array_index(listed, struct listed, i).seen;

		update_level(seen, share);
		seen->completed = seen->bad = seen->busy_ms = seen->timed = 0;
	}
	limit_left_out(listed, slots);
	forget(mon, ts_to_ms(now));
}

bool monitor_get(const struct monitor *mon, uint64_t target, struct timespec now,
		 struct target_condition *cond)
{
	const struct seen *seen = find_seen(mon, target);
	int64_t now_ms = ts_to_ms(now);

	*cond = (struct target_condition){
		.speed_permille = 1000,
		.capacity_permille = LEVEL_MAX,
		.answered_ms = -1,
	};
	if (!seen || now_ms - seen->last_ms >= FORGET_MS)
		return false;
	cond->speed_permille = seen->speed_permille;
	cond->capacity_permille = seen->capacity_permille;
	cond->dead = is_dead(seen, now_ms);
	if (seen->answered_ms >= 0)
		cond->answered_ms = now_ms - seen->answered_ms;
	return true;
}

uint32_t monitor_service_time_us(const struct monitor *mon, uint32_t service)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(mon->services, GUINT_TO_POINTER(service)));
}

uint32_t monitor_left_out(const struct monitor *mon)
{
	GHashTableIter iter;
	void *value;
	uint32_t nr = 0;

	g_hash_table_iter_init(&iter, mon->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct seen *)value)->capacity_permille < LEVEL_MAX)
			nr++;
	return nr;
}
