#include "beliefs.h"

#include "decision.h"
#include "gstr.h"
#include "timeutil.h"

/*
 * Entries that expired while the store was unreachable are renewed within about 2 s of its return;
 * a target whose entry is missing for longer is gone.
 */
#define LAPSE_GRACE_MS 2500
/* Malformed entries that are logged, each once; further ones are only counted. */
#define MALFORMED_MAX 256

void beliefs_init(struct beliefs *bel, const struct beliefs_options *opts)
{
	struct placing_options placing = {
		.policy = opts->placing,
		.remote_percent = opts->remote_percent,
		.cold_gap_ms = opts->cold_gap_ms,
		.random = opts->random,
	};
	struct steer_options steer = {
		.placing = &bel->placing,
		.out = opts->out,
		.counters = &bel->counters,
		.targets_confirmed = &bel->heard[BELIEF_TARGETS],
		.max_flows = opts->max_flows,
		.verify_ms = opts->verify_ms,
		.resets = true,
	};

	*bel = (struct beliefs){ 0 };
	symbols_init(&bel->symbols);
	bel->registry = registry_new();
	bel->routing = routing_new();
	placing.registry = bel->registry;
	placing.data_centre = symbols_intern(&bel->symbols, opts->data_centre);
	placing_init(&bel->placing, &placing);
	steer.registry = bel->registry;
	steer.routing = bel->routing;
	bel->steer = steer_new(&steer);
	bel->listed = g_hash_table_new(NULL, NULL);
	bel->malformed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bel->lapsed = g_hash_table_new_full(gstr_hash, gstr_equal, gstr_free, g_free);
}

void beliefs_release(struct beliefs *bel)
{
	g_hash_table_unref(bel->lapsed);
	g_hash_table_unref(bel->malformed);
	g_hash_table_unref(bel->listed);
	steer_free(bel->steer);
	placing_release(&bel->placing);
	routing_free(bel->routing);
	registry_free(bel->registry);
	symbols_release(&bel->symbols);
}

bool beliefs_ready(const struct beliefs *bel)
{
	for (size_t i = 0; i < BELIEF_KINDS; i++) {
		if (!bel->known[i])
			return false;
	}
	return routing_ready(bel->routing) && routing_version(bel->routing) >= bel->config_wanted;
}

bool beliefs_told_since(const struct beliefs *bel, struct timespec since)
{
	for (size_t i = 0; i < BELIEF_KINDS; i++) {
		if (ts_cmp(bel->told[i], since) <= 0)
			return false;
	}
	return true;
}

void beliefs_told(struct beliefs *bel, enum belief_kind kind, struct timespec now)
{
	bel->told[kind] = now;
}

static bool may_be_back(const struct beliefs *bel, struct timespec now)
{
	return ts_cmp(bel->store_regained, (struct timespec){ 0 }) > 0 &&
	       ts_diff_ms(now, bel->store_regained) < LAPSE_GRACE_MS;
}

void beliefs_target_lapsed(struct beliefs *bel, const char *id, int64_t keep_ms,
			   struct timespec now)
{
	struct reg_target *tgt = registry_by_id(bel->registry, id);
	struct timespec due = ts_add_ms(now, keep_ms);

	if (!tgt || tgt->phase == TARGET_GONE || g_hash_table_contains(bel->lapsed, tgt->id))
		return;
	registry_touch(bel->registry, tgt, bel->answer);
	g_hash_table_insert(bel->lapsed, g_string_new(id), g_memdup2(&due, sizeof(due)));
	decision_log(DECISION_TARGET, now, "target=%s belief=lapsed keep_ms=%lld", id,
		     (long long)keep_ms);
}

int64_t beliefs_keep_ms(const struct beliefs *bel, const struct reg_target *tgt,
			struct timespec now)
{
	const struct timespec *due = g_hash_table_lookup(bel->lapsed, tgt->id);

	return due ? MAX(ts_diff_ms(*due, now), 0) : -1;
}

/* Keeps a target whose entry is missing until the end of the grace period. */
static void keep_lapsed(struct beliefs *bel, const char *id, struct timespec now)
{
	struct timespec due = ts_add_ms(bel->store_regained, LAPSE_GRACE_MS);

	beliefs_target_lapsed(bel, id, ts_diff_ms(due, now), now);
}

void beliefs_timer(struct beliefs *bel, struct timespec now)
{
	GHashTableIter iter;
	gpointer id;
	gpointer due;

	g_hash_table_iter_init(&iter, bel->lapsed);
	while (g_hash_table_iter_next(&iter, &id, &due)) {
		if (ts_cmp(now, *(struct timespec *)due) < 0)
			continue;
		registry_remove(bel->registry, ((GString *)id)->str, 0, now);
		g_hash_table_iter_remove(&iter);
	}
	steer_timer(bel->steer, now);
}

void beliefs_answer(struct beliefs *bel, int64_t revision)
{
	bel->answer = revision;
}

void beliefs_complete(struct beliefs *bel, enum belief_kind kind, int64_t revision)
{
	bel->complete[kind] = MAX(bel->complete[kind], revision);
	bel->known[kind] = true;
}

void beliefs_targets_begin(struct beliefs *bel)
{
	registry_list_begin(bel->registry);
}

void beliefs_target(struct beliefs *bel, const struct target_info *info, struct timespec now)
{
	struct target_info heard = *info;
	GString *key;

	heard.answer_revision = bel->answer;
	if (!registry_put(bel->registry, &heard, now))
		return;
	key = g_string_new(info->id);
	g_hash_table_remove(bel->lapsed, key);
	g_string_free(key, TRUE);
}

void beliefs_target_gone(struct beliefs *bel, const char *id, struct timespec now)
{
	if (may_be_back(bel, now))
		keep_lapsed(bel, id, now);
	else
		registry_remove(bel->registry, id, bel->answer, now);
}

struct lapse_walk {
	struct beliefs *bel;
	struct timespec now;
};

static void keep_if_missing(struct reg_target *tgt, void *arg)
{
	struct lapse_walk *walk = arg;

	if (tgt->in_list || tgt->phase == TARGET_GONE)
		return;
	tgt->in_list = true;
	keep_lapsed(walk->bel, tgt->id->str, walk->now);
}

void beliefs_targets_end(struct beliefs *bel, struct timespec now)
{
	struct lapse_walk walk = { bel, now };

	if (may_be_back(bel, now))
		registry_each(bel->registry, keep_if_missing, &walk);
	registry_list_end(bel->registry, bel->answer, now);
	steer_log_target_changes(bel->steer);
}

void beliefs_config_complete(struct beliefs *bel, struct timespec now)
{
	routing_commit(bel->routing, now);
	decision_log(DECISION_CONFIG, now, "config=%llu routes=%u idle_timeout_ms=%u",
		     (unsigned long long)routing_version(bel->routing), routing_count(bel->routing),
		     routing_idle_timeout(bel->routing));
	steer_routes_changed(bel->steer, now);
}

static void set_withdrawn(struct beliefs *bel, uint32_t data_centre, bool withdrawn,
			  struct timespec now)
{
	if (placing_is_withdrawn(&bel->placing, data_centre) == withdrawn)
		return;
	placing_withdraw(&bel->placing, data_centre, withdrawn);
	bel->withdrawals++;
	decision_log(DECISION_CONFIG, now, "data_centre=%s withdrawn=%d",
		     symbols_name(&bel->symbols, data_centre), withdrawn);
}

void beliefs_withdraw(struct beliefs *bel, const char *data_centre, bool withdrawn,
		      struct timespec now)
{
	uint32_t sym = symbols_intern(&bel->symbols, data_centre);

	if (withdrawn)
		g_hash_table_add(bel->listed, GUINT_TO_POINTER(sym));
	set_withdrawn(bel, sym, withdrawn, now);
}

void beliefs_withdrawals_begin(struct beliefs *bel)
{
	g_hash_table_remove_all(bel->listed);
}

void beliefs_withdrawals_end(struct beliefs *bel, struct timespec now)
{
	GList *withdrawn = g_hash_table_get_keys(bel->placing.withdrawn);

	for (GList *link = withdrawn; link; link = link->next) {
		if (!g_hash_table_contains(bel->listed, link->data))
			set_withdrawn(bel, GPOINTER_TO_UINT(link->data), false, now);
	}
	g_list_free(withdrawn);
}

void beliefs_heard(struct beliefs *bel, enum belief_kind kind, struct timespec now)
{
	bel->heard[kind] = now;
	if (!bel->store_lost)
		return;
	bel->store_lost = false;
	steer_set_store_lost(bel->steer, false);
	bel->store_regained = now;
	decision_log(DECISION_STORE, now, "store=regained");
}

/* Time since the store's latest answer about @kind; -1 when it is not known completely. */
static long long age_ms(const struct beliefs *bel, enum belief_kind kind, struct timespec now)
{
	return bel->known[kind] ? (long long)ts_diff_ms(now, bel->heard[kind]) : -1;
}

void beliefs_store_failed(struct beliefs *bel, const char *reason, struct timespec now)
{
	bel->counters.store_errors++;
	if (bel->store_lost)
		return;
	bel->store_lost = true;
	steer_set_store_lost(bel->steer, true);
	decision_log(DECISION_STORE, now,
		     "store=lost reason=\"%s\" targets_age_ms=%lld config_age_ms=%lld", reason,
		     age_ms(bel, BELIEF_TARGETS, now), age_ms(bel, BELIEF_CONFIG, now));
}

void beliefs_malformed(struct beliefs *bel, const char *kind, const char *name, const char *why,
		       struct timespec now)
{
	bel->counters.entries_malformed++;
	if (g_hash_table_size(bel->malformed) >= MALFORMED_MAX ||
	    !g_hash_table_add(bel->malformed, g_strconcat(kind, "/", name, " ", why, NULL)))
		return;
	decision_log(DECISION_STORE, now, "entry=%s/%s ignored=\"%s\"", kind, name, why);
}
