#include "credit/account.h"

#include "timeutil.h"

#define USEC_PER_MSEC 1000
/* Added to a target's virtual time for a use, divided by its speed in thousandths. */
#define VIRTUAL_USE 1000000000ull
#define SPEED_MEAN  1000u
/*
 * A target that was not used for a time is at most this far behind the others: four uses at mean
 * speed. Without this limit, a target that returns gets all openings until it has caught up.
 */
#define VIRTUAL_LAG_MAX (4 * VIRTUAL_USE / SPEED_MEAN)
/* Weight of a new response time, 1 in 16. */
#define MEAN_WEIGHT_SHIFT 4
#define RESPONSE_MAX_MS	  60000
/* Returned credits are counted in intervals of 100 ms. */
#define RETURN_BUCKETS	 10
#define RETURN_BUCKET_MS 100
/* A request is overdue after 8 times the mean, and after 200 ms, the callers' retransmission. */
#define OVERDUE_MIN_MS	200
#define OVERDUE_FACTOR	8
#define FIRST_REPORT_MS 1000

/* Credits held of one target. */
struct held_credit {
	struct reg_target *tgt; /* not freed during the life of a grant */
	uint32_t slots;
	uint32_t queue;
	bool lent;
};

struct service_account {
	uint32_t service;
	GArray *held; /* struct held_credit */
	bool granted;
	struct timespec granted_at;
	uint64_t virtual_time; /* highest of a chosen target */
	uint32_t mean_us;      /* response time; 0 without samples */
	uint32_t returns[RETURN_BUCKETS];
	int64_t return_bucket; /* number of the latest interval */

	/* Since the last report. */
	uint32_t openings[CREDIT_PRIORITIES];
	uint32_t reused;
	uint32_t waiting; /* now */
};

struct credit_account {
	struct registry *registry;
	struct edge_counters *counters;
	GHashTable *services; /* symbol to struct service_account */
	GArray *observed;     /* digests of targets with something to report */
	uint32_t nr_grants;   /* applied so far */
	struct timespec collected;
	bool urgent;
};

static void free_service(void *arg)
{
	struct service_account *svc = arg;

	g_array_unref(svc->held);
	g_free(svc);
}

struct credit_account *credit_account_new(struct registry *reg, struct edge_counters *cnt)
{
	struct credit_account *acc = g_new0(struct credit_account, 1);

	acc->registry = reg;
	acc->counters = cnt;
	acc->services = g_hash_table_new_full(NULL, NULL, NULL, free_service);
	acc->observed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return acc;
}

void credit_account_free(struct credit_account *acc)
{
	if (!acc)
		return;
	g_hash_table_unref(acc->services);
	g_array_unref(acc->observed);
	g_free(acc);
}

static struct service_account *find_service(const struct credit_account *acc, uint32_t service)
{
	return g_hash_table_lookup(acc->services, GUINT_TO_POINTER(service));
}

static struct service_account *get_service(struct credit_account *acc, uint32_t service)
{
	struct service_account *svc = find_service(acc, service);

	if (svc)
		return svc;
	svc = g_new0(struct service_account, 1);
	svc->service = service;
	svc->held = g_array_new(FALSE, FALSE, sizeof(struct held_credit));
	g_hash_table_insert(acc->services, GUINT_TO_POINTER(service), svc);
	return svc;
}

static bool in_force(const struct service_account *svc, struct timespec now)
{
	return svc && svc->granted && ts_diff_ms(now, svc->granted_at) <= CREDIT_GRANT_LIFE_MS;
}

bool credit_active(const struct credit_account *acc, uint32_t service, struct timespec now)
{
	return in_force(find_service(acc, service), now);
}

/* Order of preference of a free credit. */
enum credit_class {
	CLASS_OWN_SLOT,
	CLASS_LENT_SLOT,
	CLASS_OWN_QUEUE,
	CLASS_LENT_QUEUE,
	CLASS_NONE,
};

static enum credit_class free_class(const struct held_credit *held)
{
	uint32_t in_use = held->tgt->credit.in_use;

	if (in_use < held->slots)
		return held->lent ? CLASS_LENT_SLOT : CLASS_OWN_SLOT;
	if (in_use < held->slots + held->queue)
		return held->lent ? CLASS_LENT_QUEUE : CLASS_OWN_QUEUE;
	return CLASS_NONE;
}

static uint64_t start_time(const struct service_account *svc, const struct reg_target *tgt)
{
	uint64_t least =
		svc->virtual_time > VIRTUAL_LAG_MAX ? svc->virtual_time - VIRTUAL_LAG_MAX : 0;

	return MAX(tgt->credit.virtual_time, least);
}

struct credit_candidate {
	struct reg_target *tgt;
	enum placing_tier tier;
	enum credit_class class;
	uint64_t start;
};

static bool is_better(const struct credit_candidate *a, const struct credit_candidate *b)
{
	if (!b->tgt || a->tier != b->tier)
		return !b->tgt || a->tier < b->tier;
	if (a->class != b->class)
		return a->class < b->class;
	return a->start < b->start;
}

static bool is_cold_limited(const struct route_rule *rule, uint32_t service)
{
	for (size_t i = 0; i < rule->nr_services; i++) {
		if (rule->services[i].service == service)
			return rule->services[i].cold_rate_limited;
	}
	return false;
}

struct reg_target *credit_choose(struct credit_account *acc, uint32_t service,
				 const struct placing *pl, const struct placing_request *req,
				 bool *usable)
{
	struct service_account *svc = find_service(acc, service);
	bool cold_limited = is_cold_limited(req->rule, service);
	struct credit_candidate best = { 0 };
	guint first;

	*usable = false;
	if (!in_force(svc, req->now) || !svc->held->len)
		return NULL;
	/* Instances that get their first grants together must not all begin with the same target.
	 */
	first = (guint)(req->flow_digest % svc->held->len);
	for (guint i = 0; i < svc->held->len; i++) {
		const struct held_credit *held =
			&g_array_index(svc->held, struct held_credit, (first + i) % svc->held->len);
		struct credit_candidate cand = {
			.tgt = held->tgt,
			.tier = placing_tier(pl, req, held->tgt, cold_limited),
			.class = free_class(held),
			.start = start_time(svc, held->tgt),
		};

		/* A target may change its service during the life of a grant. */
		if (cand.tier > TIER_COLD || held->tgt->service != service)
			continue;
		*usable = true;
		if (cand.class != CLASS_NONE && is_better(&cand, &best))
			best = cand;
	}
	if (best.tgt && best.tier == TIER_COLD)
		best.tgt->last_cold_opening = req->now;
	return best.tgt;
}

static void observe(struct credit_account *acc, struct reg_target *tgt)
{
	if (tgt->credit.observed)
		return;
	tgt->credit.observed = true;
	g_array_append_val(acc->observed, tgt->digest);
}

/* Adds the time since the last change to the target's busy time. */
static void settle(struct reg_target *tgt, struct timespec now)
{
	struct target_credit *tc = &tgt->credit;

	if (tc->in_use && ts_cmp(now, tc->changed) > 0)
		tc->busy_ms += ts_diff_ms(now, tc->changed) * tc->in_use;
	tc->changed = now;
}

void credit_take(struct credit_account *acc, struct reg_target *tgt, struct timespec now)
{
	struct service_account *svc = get_service(acc, tgt->service);
	struct target_credit *tc = &tgt->credit;
	uint64_t start = start_time(svc, tgt);

	settle(tgt, now);
	observe(acc, tgt);
	tc->in_use++;
	svc->virtual_time = MAX(svc->virtual_time, start);
	tc->virtual_time = start + VIRTUAL_USE / (tc->speed_permille ?: SPEED_MEAN);
}

/* Forgets the returns that are older than a second. */
static void advance_returns(struct service_account *svc, struct timespec now)
{
	int64_t bucket = ts_to_ms(now) / RETURN_BUCKET_MS;
	int64_t passed = bucket - svc->return_bucket;

	for (int64_t i = 0; i < MIN(passed, (int64_t)RETURN_BUCKETS); i++)
		svc->returns[(bucket - i) % RETURN_BUCKETS] = 0;
	svc->return_bucket = MAX(bucket, svc->return_bucket);
}

static void note_response(struct service_account *svc, int64_t ms)
{
	uint32_t us = (uint32_t)(CLAMP(ms, 0, RESPONSE_MAX_MS) * USEC_PER_MSEC) + 1;

	if (svc->mean_us)
		svc->mean_us +=
			us / (1u << MEAN_WEIGHT_SHIFT) - svc->mean_us / (1u << MEAN_WEIGHT_SHIFT);
	else
		svc->mean_us = us;
}

void credit_return(struct credit_account *acc, struct reg_target *tgt, enum credit_outcome outcome,
		   int64_t held_ms, int64_t path_ms, struct timespec now)
{
	struct service_account *svc = get_service(acc, tgt->service);
	struct target_credit *tc = &tgt->credit;

	g_return_if_fail(tc->in_use);
	settle(tgt, now);
	observe(acc, tgt);
	tc->in_use--;
	tc->busy_ms -= CLAMP(path_ms, 0, held_ms);
	switch (outcome) {
	case CREDIT_ANSWERED:
		tc->completed++;
		note_response(svc, held_ms);
		break;
	case CREDIT_REJECTED:
		tc->rejected++;
		break;
	case CREDIT_FAILED:
		tc->failed++;
		break;
	case CREDIT_MOVED:
		return;
	}
	advance_returns(svc, now);
	svc->returns[svc->return_bucket % RETURN_BUCKETS]++;
}

void credit_note_opening(struct credit_account *acc, uint32_t service, uint32_t priority)
{
	get_service(acc, service)->openings[credit_priority(priority)]++;
}

void credit_note_reuse(struct credit_account *acc, uint32_t service)
{
	get_service(acc, service)->reused++;
}

void credit_note_overdue(struct credit_account *acc, struct reg_target *tgt)
{
	observe(acc, tgt);
	tgt->credit.overdue++;
	acc->counters->requests_overdue++;
}

int64_t credit_mean_ms(const struct credit_account *acc, uint32_t service)
{
	const struct service_account *svc = find_service(acc, service);

	return svc ? svc->mean_us / USEC_PER_MSEC : 0;
}

int64_t credit_overdue_ms(const struct credit_account *acc, uint32_t service)
{
	const struct service_account *svc = find_service(acc, service);
	int64_t mean_us = svc ? svc->mean_us : 0;

	return MAX(OVERDUE_MIN_MS, OVERDUE_FACTOR * mean_us / USEC_PER_MSEC);
}

void credit_note_dead(struct credit_account *acc, struct reg_target *tgt)
{
	observe(acc, tgt);
	acc->urgent = true;
}

void credit_set_waiting(struct credit_account *acc, uint32_t service, uint32_t waiting)
{
	get_service(acc, service)->waiting = waiting;
}

static struct held_credit *find_held(const struct service_account *svc,
				     const struct reg_target *tgt)
{
	for (guint i = 0; i < svc->held->len; i++) {
		struct held_credit *held = &g_array_index(svc->held, struct held_credit, i);

		if (held->tgt == tgt)
			return held;
	}
	return NULL;
}

/*
 * A target that the previous grant did not hold comes after half a use. If it went by the time of
 * its last use, the members that are given its credits in turn would each use it at once.
 */
static void begin_turn(const struct credit_account *acc, const struct service_account *svc,
		       struct reg_target *tgt)
{
	struct target_credit *tc = &tgt->credit;
	uint64_t use = VIRTUAL_USE / (tc->speed_permille ?: SPEED_MEAN);

	if (tc->grant + 1 != acc->nr_grants)
		tc->virtual_time = MAX(tc->virtual_time, svc->virtual_time + use / 2);
	tc->grant = acc->nr_grants;
}

/* A target that is gone is as good as unknown; it may be freed before the grant ends. */
static void add_entry(struct credit_account *acc, struct service_account *svc,
		      const struct credit_entry *entry)
{
	struct reg_target *tgt = registry_by_digest(acc->registry, entry->target);
	struct held_credit *held;

	if (!tgt || tgt->phase == TARGET_GONE || tgt->service != svc->service)
		return;
	tgt->credit.speed_permille = entry->speed_permille;
	held = find_held(svc, tgt);
	if (held) {
		held->slots += entry->slots;
		held->queue += entry->queue;
		held->lent &= entry->lent;
	} else if (entry->slots || entry->queue) {
		struct held_credit new = { tgt, entry->slots, entry->queue, entry->lent };

		g_array_append_val(svc->held, new);
		begin_turn(acc, svc, tgt);
	}
}

void credit_apply_grant(struct credit_account *acc, const struct credit_grant *grant,
			struct timespec now)
{
	credit_drop_grants(acc);
	acc->nr_grants++;
	for (guint i = 0; i < grant->services->len; i++) {
		const struct credit_service_grant *part =
			&g_array_index(grant->services, struct credit_service_grant, i);
		struct service_account *svc = get_service(acc, part->service);

		svc->granted = true;
		svc->granted_at = now;
		for (guint j = 0; j < part->entries->len; j++)
			add_entry(acc, svc, &g_array_index(part->entries, struct credit_entry, j));
	}
}

void credit_drop_grants(struct credit_account *acc)
{
	GHashTableIter iter;
	gpointer val;

	g_hash_table_iter_init(&iter, acc->services);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct service_account *svc = val;

		svc->granted = false;
		g_array_set_size(svc->held, 0);
	}
}

static void collect_demand(struct service_account *svc, struct credit_report *rep)
{
	struct credit_demand demand = {
		.service = svc->service,
		.reused = svc->reused,
		.waiting = svc->waiting,
	};
	bool any = svc->reused || svc->waiting;

	for (size_t i = 0; i < CREDIT_PRIORITIES; i++) {
		demand.openings[i] = svc->openings[i];
		any |= svc->openings[i] > 0;
		svc->openings[i] = 0;
	}
	svc->reused = 0;
	if (any)
		g_array_append_val(rep->demands, demand);
}

/* Returns whether the target stays in the list for the next report. */
static bool collect_target(struct reg_target *tgt, struct credit_report *rep, struct timespec now)
{
	struct target_credit *tc = &tgt->credit;
	struct credit_observation obs;

	settle(tgt, now);
	obs = (struct credit_observation){
		.target = tgt->digest,
		.completed = tc->completed,
		.rejected = tc->rejected,
		.failed = tc->failed,
		.overdue = tc->overdue,
		.busy_ms = (uint32_t)CLAMP(tc->busy_ms, 0, UINT32_MAX),
		.dead = tgt->trust == TRUST_DEAD && tgt->phase != TARGET_GONE,
	};
	tc->completed = tc->rejected = tc->failed = tc->overdue = 0;
	tc->busy_ms = MIN(tc->busy_ms, 0);
	if (obs.completed || obs.rejected || obs.failed || obs.overdue || obs.busy_ms || obs.dead)
		g_array_append_val(rep->observations, obs);
	tc->observed = tc->in_use || obs.dead;
	return tc->observed;
}

void credit_collect(struct credit_account *acc, struct credit_report *rep, struct timespec now)
{
	GHashTableIter iter;
	gpointer svc;
	guint kept = 0;

	rep->interval_ms = FIRST_REPORT_MS;
	if (acc->collected.tv_sec)
		rep->interval_ms = (uint32_t)CLAMP(ts_diff_ms(now, acc->collected), 1, UINT32_MAX);
	acc->collected = now;
	acc->urgent = false;
	g_hash_table_iter_init(&iter, acc->services);
	while (g_hash_table_iter_next(&iter, NULL, &svc))
		collect_demand(svc, rep);
	for (guint i = 0; i < acc->observed->len; i++) {
		uint64_t digest = g_array_index(acc->observed, uint64_t, i);
		struct reg_target *tgt = registry_by_digest(acc->registry, digest);

		if (tgt && collect_target(tgt, rep, now))
			g_array_index(acc->observed, uint64_t, kept++) = digest;
	}
	g_array_set_size(acc->observed, kept);
}

bool credit_report_urgent(const struct credit_account *acc)
{
	return acc->urgent;
}

/* At least 1: an expected time of more than a second is not an unknown one. */
static uint32_t rate_of(uint32_t in_use, uint32_t mean_us)
{
	uint64_t us = (uint64_t)in_use * USEC_PER_MSEC * MSEC_PER_SEC;

	return MAX((uint32_t)((us + mean_us / 2) / mean_us), 1u);
}

/*
 * Credits that come back in a second; 0 only before the first answer. Those of the last second are
 * too few when not all credits were in use then, so the rate that follows from the requests in
 * progress and the response time is used if it is higher.
 */
static uint32_t return_rate(struct service_account *svc, const struct credit_status *status,
			    struct timespec now)
{
	uint32_t sum = 0;

	advance_returns(svc, now);
	for (size_t i = 0; i < RETURN_BUCKETS; i++)
		sum += svc->returns[i];
	if (!svc->mean_us)
		return sum;
	return MAX(sum, rate_of(MIN(status->in_use, status->held), svc->mean_us));
}

void credit_status(const struct credit_account *acc, uint32_t service, struct timespec now,
		   struct credit_status *status)
{
	struct service_account *svc = find_service(acc, service);

	*status = (struct credit_status){ .age_ms = -1 };
	if (!svc)
		return;
	if (in_force(svc, now)) {
		status->age_ms = ts_diff_ms(now, svc->granted_at);
		for (guint i = 0; i < svc->held->len; i++) {
			const struct held_credit *held =
				&g_array_index(svc->held, struct held_credit, i);

			status->held += held->slots + held->queue;
			status->in_use += held->tgt->credit.in_use;
		}
	}
	status->returned_per_s = return_rate(svc, status, now);
}
