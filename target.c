#include "target.h"

#include <string.h>

#include "target-internal.h"

#define REFRESH_INTERVAL_MS 250

/* Configuration arrives object by object; targets added within this time are not new ones. */
#define INITIAL_CONFIG_MS 10000

/* For this long after an answer, established flows stay with a target that probes find down. */
#define USABLE_AFTER_ANSWER_MS 15000

/* Load in 1/1000 of the limit at which all local targets count as full, and as free again. */
#define SPILL_FULL_PERMILLE 950
#define SPILL_FREE_PERMILLE 800
#define SPILL_DELAY_MS	    1000

/* Retries that the budget of a service holds at first. */
#define RETRY_INITIAL_TOKENS 3

struct target *target_find(const struct targets *tgs, uint32_t index)
{
	return index < tgs->list->len ? g_ptr_array_index(tgs->list, index) : NULL;
}

static uint64_t service_key(struct service_addr addr)
{
	return (uint64_t)addr.ep.ip << 24 | (uint64_t)addr.ep.port << 8 | addr.proto;
}

static struct service_state *get_service(struct targets *tgs, uint64_t key)
{
	struct service_state *svc = g_hash_table_lookup(tgs->services, &key);

	if (svc)
		return svc;
	svc = g_new0(struct service_state, 1);
	svc->key = key;
	svc->retries.milli = RETRY_INITIAL_TOKENS * BUDGET_TOKEN;
	g_hash_table_insert(tgs->services, &svc->key, svc);
	return svc;
}

struct targets *targets_new(const struct config *cfg, struct members *mem)
{
	struct targets *tgs = g_new0(struct targets, 1);

	tgs->cfg = cfg;
	tgs->mem = mem;
	tgs->news.fill = health_fill_news;
	tgs->list = g_ptr_array_new_with_free_func(g_free);
	tgs->by_ep = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	tgs->services = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return tgs;
}

void targets_free(struct targets *tgs)
{
	if (!tgs)
		return;
	g_ptr_array_unref(tgs->list);
	g_hash_table_unref(tgs->by_ep);
	g_hash_table_unref(tgs->services);
	g_free(tgs);
}

struct news_source *targets_news_source(struct targets *tgs)
{
	return &tgs->news;
}

static struct target *add_target(struct targets *tgs, const struct target_config *tc)
{
	uint64_t key = (uint64_t)tc->ep.ip << 16 | tc->ep.port;
	struct target *tgt = g_new0(struct target, 1);

	tgt->index = tc->index;
	tgt->ep = tc->ep;
	if (tc->index >= tgs->list->len)
		g_ptr_array_set_size(tgs->list, (gint)tc->index + 1);
	g_ptr_array_index(tgs->list, tc->index) = tgt;
	tgt->same_ep = g_hash_table_lookup(tgs->by_ep, &key);
	g_hash_table_replace(tgs->by_ep, g_memdup2(&key, sizeof(key)), tgt);
	return tgt;
}

struct config_update {
	struct targets *tgs;
	struct ctx *ctx;
};

static void update_service(struct service *conf, void *arg)
{
	struct config_update *update = arg;
	struct targets *tgs = update->tgs;
	uint64_t key = service_key(conf->addr);
	struct service_state *svc;
	bool service_known = g_hash_table_contains(tgs->services, &key) &&
			     ts_diff_ms(update->ctx->now, tgs->first_config) > INITIAL_CONFIG_MS;

	svc = get_service(tgs, key);
	for (guint i = 0; i < conf->targets->len; i++) {
		const struct target_config *tc =
			&g_array_index(conf->targets, struct target_config, i);
		struct target *tgt = target_find(tgs, tc->index);
		bool added = !tgt || !tgt->svc;

		if (!tgt)
			tgt = add_target(tgs, tc);
		tgt->slots = tc->slots;
		tgt->max_flows = tc->max_flows;
		tgt->warmup_ms = tc->warmup_ms;
		tgt->dc = tc->dc;
		tgt->org = conf->org;
		tgt->draining = tc->draining;
		tgt->svc = svc;
		tgt->configured = true;
		if (!added)
			continue;
		tgt->added = update->ctx->now;
		tgt->is_new = service_known;
		tgt->withdrawn = config_withdrawn(tgs->cfg, tgt->org, tgt->dc);
		tgt->next_probe = ts_add_ms(update->ctx->now,
					    random_below(update->ctx->random, PROBE_INTERVAL_MS));
	}
}

/* Clears the state of targets that left the configuration; it is invalid when they return. */
static void clear_removed(struct targets *tgs)
{
	for (guint i = 0; i < tgs->list->len; i++) {
		struct target *tgt = g_ptr_array_index(tgs->list, i);

		if (!tgt || tgt->configured)
			continue;
		memset(tgt->reports, 0, sizeof(tgt->reports));
		tgt->slow = (struct slow_start){ 0 };
		tgt->svc = NULL;
		tgt->eligible = tgt->restrained = false;
		tgt->flows = tgt->charges = tgt->unanswered = tgt->sheds = 0;
		tgt->passive_down = false;
	}
}

/* Whether the target may take new flows, whatever its data centre. */
static bool may_take_flows(const struct target *tgt, struct timespec now)
{
	peer_target_state state = health_state(tgt, now);

	if (tgt->draining || tgt->withdrawn || tgt->passive_down)
		return false;
	if (state != PEER_TARGET_UNKNOWN)
		return state == PEER_TARGET_UP;
	/*
	 * A target without a report counts as up: reports take minutes to reach all of a large
	 * group, and state changes are sent first. Only one that was added later waits for its
	 * first probe.
	 */
	return tgt->svc->nr_up == 0 || !tgt->is_new;
}

static void update_withdrawal(struct targets *tgs, struct ctx *ctx, struct target *tgt)
{
	const struct data_centre *dc = config_dc(tgs->cfg, tgt->dc);
	bool withdrawn = config_withdrawn(tgs->cfg, tgt->org, tgt->dc);

	/* Neighbours in the list mostly share a data centre. */
	if (tgt->dc != tgs->last_dc) {
		tgs->last_dc = tgt->dc;
		tgs->last_dc_local = dc && members_in_dc(tgs->mem, dc->name);
	}
	tgt->local = tgs->last_dc_local;
	/* A data centre that returns ramps up like a starting target. */
	if (tgt->withdrawn && !withdrawn)
		slow_start_begin(tgs, ctx, tgt, ctx->now);
	tgt->withdrawn = withdrawn;
}

static void expire_states(struct targets *tgs, struct ctx *ctx, struct target *tgt)
{
	if (tgt->slow.active && slow_start_share(tgt, ctx->now) == 1000)
		tgt->slow.active = false;
	if (tgt->passive_down && ts_cmp(ctx->now, tgt->passive_end) >= 0) {
		/* Tried with the smallest share, as it may still not answer. */
		tgt->passive_down = false;
		tgt->unanswered = 0;
		slow_start_begin(tgs, ctx, tgt, ctx->now);
	}
}

/* Updates, with hysteresis, whether targets of other data centres get flows too. */
static void update_spill(struct service_state *svc, struct timespec now)
{
	if (!svc->nr_local_available || svc->nr_local_with_capacity) {
		svc->full_since = now;
		if (svc->nr_local_with_capacity)
			svc->spill = false;
		return;
	}
	if (ts_diff_ms(now, svc->full_since) >= SPILL_DELAY_MS)
		svc->spill = true;
}

static void count_local_capacity(struct targets *tgs, struct ctx *ctx, struct target *tgt)
{
	struct service_state *svc = tgt->svc;
	uint32_t load;

	if (!tgt->local || !may_take_flows(tgt, ctx->now))
		return;
	svc->nr_local_available++;
	load = load_estimate(tgs, tgt, ctx->now);
	svc->nr_local_with_capacity +=
		load < (svc->spill ? SPILL_FREE_PERMILLE : SPILL_FULL_PERMILLE) &&
		load_has_capacity(tgs, tgt, ctx->now);
}

static void each_target(struct targets *tgs, struct ctx *ctx,
			void (*fn)(struct targets *tgs, struct ctx *ctx, struct target *tgt))
{
	for (guint i = 0; i < tgs->list->len; i++) {
		struct target *tgt = g_ptr_array_index(tgs->list, i);

		if (tgt && tgt->configured)
			fn(tgs, ctx, tgt);
	}
}

static void update_target(struct targets *tgs, struct ctx *ctx, struct target *tgt)
{
	health_update_probers(tgs, tgt);
	update_withdrawal(tgs, ctx, tgt);
	expire_states(tgs, ctx, tgt);
	tgt->svc->nr_up += health_state(tgt, ctx->now) == PEER_TARGET_UP;
}

static void update_eligibility(struct targets *tgs, struct ctx *ctx, struct target *tgt)
{
	const struct service_state *svc = tgt->svc;
	bool eligible = may_take_flows(tgt, ctx->now) &&
			(tgt->local || svc->spill || !svc->nr_local_available);
	bool restrained = eligible && (tgt->slow.active || !load_has_capacity(tgs, tgt, ctx->now));

	if (eligible != tgt->eligible || restrained != tgt->restrained)
		tgs->version++;
	tgt->eligible = eligible;
	tgt->restrained = restrained;
}

static void refresh(struct targets *tgs, struct ctx *ctx)
{
	GHashTableIter iter;
	gpointer value;

	tgs->now = ctx->now;
	tgs->last_dc = UINT16_MAX;
	tgs->next_refresh = ts_add_ms(ctx->now, REFRESH_INTERVAL_MS);
	g_hash_table_iter_init(&iter, tgs->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service_state *svc = value;

		svc->nr_up = svc->nr_local_available = svc->nr_local_with_capacity = 0;
	}
	each_target(tgs, ctx, update_target);
	each_target(tgs, ctx, count_local_capacity);
	g_hash_table_iter_init(&iter, tgs->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_spill(value, ctx->now);
	each_target(tgs, ctx, update_eligibility);
}

void targets_changed(struct targets *tgs)
{
	tgs->next_refresh = (struct timespec){ 0, 0 };
}

void targets_config_changed(struct targets *tgs, struct ctx *ctx)
{
	struct config_update update = { tgs, ctx };

	if (tgs->first_config.tv_sec == 0 && tgs->first_config.tv_nsec == 0)
		tgs->first_config = ctx->now;
	for (guint i = 0; i < tgs->list->len; i++) {
		struct target *tgt = g_ptr_array_index(tgs->list, i);

		if (tgt)
			tgt->configured = false;
	}
	config_each_service(tgs->cfg, update_service, &update);
	clear_removed(tgs);
	tgs->version++;
	refresh(tgs, ctx);
}

void targets_timer(struct targets *tgs, struct ctx *ctx)
{
	tgs->now = ctx->now;
	if (ts_cmp(ctx->now, tgs->next_refresh) >= 0)
		refresh(tgs, ctx);
	each_target(tgs, ctx, health_probe_due);
}

uint64_t targets_version(const struct targets *tgs)
{
	return tgs->version;
}

bool target_eligible(const struct targets *tgs, uint32_t target)
{
	const struct target *tgt = target_find(tgs, target);

	return tgt && tgt->configured && tgt->eligible;
}

uint32_t target_weight(const struct targets *tgs, uint32_t target)
{
	return target_eligible(tgs, target) ? target_find(tgs, target)->max_flows : 0;
}

bool target_restrained(const struct targets *tgs, uint32_t target)
{
	const struct target *tgt = target_find(tgs, target);

	return tgt && tgt->configured && tgt->restrained;
}

bool target_usable(const struct targets *tgs, uint32_t target)
{
	const struct target *tgt = target_find(tgs, target);

	if (!tgt || !tgt->configured || tgt->withdrawn)
		return false;
	return health_state(tgt, tgs->now) != PEER_TARGET_DOWN ||
	       ((tgt->last_answer.tv_sec || tgt->last_answer.tv_nsec) &&
		ts_diff_ms(tgs->now, tgt->last_answer) < USABLE_AFTER_ANSWER_MS);
}

bool target_reachable(const struct targets *tgs, uint32_t target)
{
	const struct target *tgt = target_find(tgs, target);

	return tgt && tgt->configured && !tgt->withdrawn && !tgt->passive_down &&
	       health_state(tgt, tgs->now) != PEER_TARGET_DOWN;
}

bool target_take_retry(struct targets *tgs, struct ctx *ctx, const struct service *svc)
{
	(void)ctx;
	return budget_take(&get_service(tgs, service_key(svc->addr))->retries);
}

void targets_count_refused(struct targets *tgs, const struct service *svc)
{
	get_service(tgs, service_key(svc->addr))->refused++;
}

uint64_t targets_get_refused(const struct targets *tgs, const struct service *svc)
{
	const uint64_t key = service_key(svc->addr);
	const struct service_state *state = g_hash_table_lookup(tgs->services, &key);

	return state ? state->refused : 0;
}

void target_get_status(const struct targets *tgs, uint32_t target, struct timespec now,
		       struct target_status *st)
{
	const struct target *tgt = target_find(tgs, target);
	const struct report *report;

	*st = (struct target_status){ .share_permille = 1000, .report_age_ms = UINT32_MAX };
	if (!tgt || !tgt->configured)
		return;
	st->good = tgt->good;
	st->bad = tgt->bad;
	st->eligible = tgt->eligible;
	st->starting = tgt->slow.active;
	st->share_permille = slow_start_share(tgt, now);
	st->flows = tgt->flows;
	report = health_load(tgt, now);
	if (report) {
		st->load_permille = report->load_permille;
		st->report_age_ms = (uint32_t)ts_diff_ms(now, report->at);
	}
}
