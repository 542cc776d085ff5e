#include "beliefs.h"

#include "credit/account.h"
#include "decision.h"
#include "gstr.h"
#include "timeutil.h"

/*
 * Entries that expired while the store was unreachable are renewed within about 2 s of its return;
 * a target whose entry is missing for longer is gone.
 */
#define LAPSE_GRACE_MS 2500
/* Malformed entries that are logged, each once; further ones are only counted. */
#define MALFORMED_LOGGED_MAX 256

void control_state_init(struct control_state *cs, const struct control_state_options *opts)
{
	struct placing_options placing = {
		.policy = opts->placing,
		.remote_percent = opts->remote_percent,
		.cold_gap_ms = opts->cold_gap_ms,
		.random = opts->random,
	};
	struct steer_options steer = {
		.placing = &cs->placing,
		.out = opts->out,
		.counters = &cs->counters,
		.targets_confirmed = &cs->last_answer[CONTROL_TARGETS],
		.max_flows = opts->max_flows,
		.verify_ms = opts->verify_ms,
		.resets = true,
	};

	*cs = (struct control_state){ 0 };
	symbols_init(&cs->symbols);
	cs->registry = registry_new();
	cs->routing = routing_new();
	placing.registry = cs->registry;
	placing.data_centre = symbols_intern(&cs->symbols, opts->data_centre);
	placing_init(&cs->placing, &placing);
	steer.registry = cs->registry;
	steer.routing = cs->routing;
	if (opts->credits)
		cs->credit = credit_account_new(cs->registry, &cs->counters);
	steer.credit = cs->credit;
	cs->steer = steer_new(&steer);
	cs->withdrawn_listed = g_hash_table_new(NULL, NULL);
	cs->malformed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	cs->lapsed = g_hash_table_new_full(gstr_hash, gstr_equal, gstr_free, g_free);
	kept_init(&cs->kept);
}

void control_state_release(struct control_state *cs)
{
	kept_release(&cs->kept);
	g_hash_table_unref(cs->lapsed);
	g_hash_table_unref(cs->malformed);
	g_hash_table_unref(cs->withdrawn_listed);
	steer_free(cs->steer);
	credit_account_free(cs->credit);
	placing_release(&cs->placing);
	routing_free(cs->routing);
	registry_free(cs->registry);
	symbols_release(&cs->symbols);
}

bool control_state_ready(const struct control_state *cs)
{
	for (size_t i = 0; i < CONTROL_KINDS; i++) {
		if (!cs->known[i])
			return false;
	}
	return routing_ready(cs->routing) && routing_version(cs->routing) >= cs->config_min_version;
}

bool control_state_received_since(const struct control_state *cs, struct timespec since)
{
	for (size_t i = 0; i < CONTROL_KINDS; i++) {
		if (ts_cmp(cs->received[i], since) <= 0)
			return false;
	}
	return true;
}

void control_state_received(struct control_state *cs, enum control_kind kind, struct timespec now)
{
	cs->received[kind] = now;
}

static bool in_lapse_grace(const struct control_state *cs, struct timespec now)
{
	return ts_cmp(cs->store_regained, (struct timespec){ 0 }) > 0 &&
	       ts_diff_ms(now, cs->store_regained) < LAPSE_GRACE_MS;
}

void control_state_lapse_target(struct control_state *cs, const char *id, int64_t keep_ms,
				struct timespec now)
{
	struct reg_target *tgt = registry_by_id(cs->registry, id);
	struct timespec due = ts_add_ms(now, keep_ms);

	if (!tgt || tgt->phase == TARGET_GONE || g_hash_table_contains(cs->lapsed, tgt->id))
		return;
	registry_touch(cs->registry, tgt, cs->report_revision);
	g_hash_table_insert(cs->lapsed, g_string_new(id), g_memdup2(&due, sizeof(due)));
	decision_log(DECISION_TARGET, now, "target=%s belief=lapsed keep_ms=%lld", id,
		     (long long)keep_ms);
}

int64_t control_state_lapse_left_ms(const struct control_state *cs, const struct reg_target *tgt,
				    struct timespec now)
{
	const struct timespec *due = g_hash_table_lookup(cs->lapsed, tgt->id);

	return due ? MAX(ts_diff_ms(*due, now), 0) : -1;
}

/* Keeps a target whose entry is missing until the end of the grace period. */
static void keep_lapsed(struct control_state *cs, const char *id, struct timespec now)
{
	struct timespec due = ts_add_ms(cs->store_regained, LAPSE_GRACE_MS);

	control_state_lapse_target(cs, id, ts_diff_ms(due, now), now);
}

void control_state_timer(struct control_state *cs, struct timespec now)
{
	GHashTableIter iter;
	gpointer id;
	gpointer due;

	g_hash_table_iter_init(&iter, cs->lapsed);
	while (g_hash_table_iter_next(&iter, &id, &due)) {
		if (ts_cmp(now, *(struct timespec *)due) < 0)
			continue;
		registry_remove(cs->registry, ((GString *)id)->str, STORE_VERSION_NONE, now);
		g_hash_table_iter_remove(&iter);
	}
	kept_timer(cs, now);
	steer_timer(cs->steer, now);
}

void control_state_begin_answer(struct control_state *cs, struct store_version revision,
				struct timespec now)
{
	kept_answer(cs, revision, now);
	cs->report_revision = revision;
}

void control_state_complete(struct control_state *cs, enum control_kind kind,
			    struct store_version revision)
{
	/*
	 * Pages show the withdrawals as a whole. While some are kept they count as of the era
	 * before, so that an instance that has seen them written again does not take the older
	 * ones.
	 */
	if (kind != CONTROL_WITHDRAWALS || !g_hash_table_size(cs->kept.withdrawn))
		cs->complete[kind] = store_version_max(cs->complete[kind], revision);
	cs->known[kind] = true;
}

void control_state_confirmed(struct control_state *cs, enum control_kind kind, struct timespec when)
{
	cs->last_answer[kind] = when;
}

void control_state_targets_begin(struct control_state *cs)
{
	registry_list_begin(cs->registry);
}

void control_state_put_target(struct control_state *cs, const struct target_info *info,
			      struct timespec now)
{
	struct target_info with_revision = *info;
	GString *key;

	with_revision.answer_revision = cs->report_revision;
	/* An entry that is listed has not lapsed, even if its state is older than the known one. */
	if (!kept_target(cs, &with_revision, now) &&
	    !registry_put(cs->registry, &with_revision, now))
		return;
	key = g_string_new(info->id);
	/* Followers know of the lapse, so they must learn of its end from an equal entry too. */
	if (g_hash_table_remove(cs->lapsed, key))
		registry_touch(cs->registry, registry_by_id(cs->registry, info->id),
			       cs->report_revision);
	g_string_free(key, TRUE);
}

void control_state_remove_target(struct control_state *cs, const char *id, struct timespec now)
{
	kept_forget_target(cs, id);
	if (in_lapse_grace(cs, now))
		keep_lapsed(cs, id, now);
	else
		registry_remove(cs->registry, id, cs->report_revision, now);
}

struct lapse_walk {
	struct control_state *cs;
	struct timespec now;
};

static void keep_if_missing(struct reg_target *tgt, void *arg)
{
	struct lapse_walk *walk = arg;

	if (tgt->in_list || tgt->phase == TARGET_GONE)
		return;
	if (kept_missing_target(walk->cs, tgt)) {
		tgt->in_list = true;
		control_state_lapse_target(
			walk->cs, tgt->id->str,
			MAX(ts_diff_ms(walk->cs->kept.end, walk->now), LAPSE_GRACE_MS), walk->now);
	} else if (in_lapse_grace(walk->cs, walk->now)) {
		tgt->in_list = true;
		keep_lapsed(walk->cs, tgt->id->str, walk->now);
	}
}

void control_state_targets_end(struct control_state *cs, struct timespec now)
{
	struct lapse_walk walk = { cs, now };

	registry_each(cs->registry, keep_if_missing, &walk);
	registry_list_end(cs->registry, cs->report_revision, now);
	cs->kept.relist = false;
	steer_log_target_changes(cs->steer);
}

void control_state_commit_config(struct control_state *cs, struct timespec now)
{
	routing_commit(cs->routing, now);
	decision_log(DECISION_CONFIG, now, "config=%llu routes=%u idle_timeout_ms=%u",
		     (unsigned long long)routing_version(cs->routing), routing_count(cs->routing),
		     routing_idle_timeout(cs->routing));
	steer_routes_changed(cs->steer, now);
}

static void set_withdrawn(struct control_state *cs, uint32_t data_centre, bool withdrawn,
			  struct timespec now)
{
	if (placing_is_withdrawn(&cs->placing, data_centre) == withdrawn)
		return;
	placing_withdraw(&cs->placing, data_centre, withdrawn);
	cs->withdrawals++;
	cs->withdrawals_revision = cs->report_revision;
	decision_log(DECISION_CONFIG, now, "data_centre=%s withdrawn=%d",
		     symbols_name(&cs->symbols, data_centre), withdrawn);
}

void control_state_withdraw(struct control_state *cs, const char *data_centre, bool withdrawn,
			    struct timespec now)
{
	uint32_t sym = symbols_intern(&cs->symbols, data_centre);

	if (withdrawn)
		g_hash_table_add(cs->withdrawn_listed, GUINT_TO_POINTER(sym));
	if (!kept_withdrawal(cs, sym, withdrawn, STORE_VERSION_NONE, withdrawn))
		set_withdrawn(cs, sym, withdrawn, now);
}

void control_state_put_withdrawal(struct control_state *cs, const char *data_centre,
				  struct store_version revision, struct timespec now)
{
	uint32_t sym = symbols_intern(&cs->symbols, data_centre);

	g_hash_table_add(cs->withdrawn_listed, GUINT_TO_POINTER(sym));
	if (!kept_withdrawal(cs, sym, true, revision, true))
		set_withdrawn(cs, sym, true, now);
}

void control_state_withdrawals_begin(struct control_state *cs)
{
	g_hash_table_remove_all(cs->withdrawn_listed);
}

void control_state_withdrawals_end(struct control_state *cs, struct timespec now)
{
	GList *withdrawn = g_hash_table_get_keys(cs->placing.withdrawn);

	for (GList *link = withdrawn; link; link = link->next) {
		uint32_t sym = GPOINTER_TO_UINT(link->data);

		if (!g_hash_table_contains(cs->withdrawn_listed, link->data) &&
		    !kept_withdrawal(cs, sym, false, STORE_VERSION_NONE, true))
			set_withdrawn(cs, sym, false, now);
	}
	g_list_free(withdrawn);
	kept_withdrawals_end(cs);
}

void control_state_store_answered(struct control_state *cs, enum control_kind kind,
				  struct timespec now)
{
	cs->last_answer[kind] = now;
	if (!cs->store_lost)
		return;
	cs->store_lost = false;
	steer_set_store_lost(cs->steer, false);
	cs->store_regained = now;
	decision_log(DECISION_STORE, now, "store=regained");
}

/* Time since the store's latest answer about @kind; -1 when it is not known completely. */
static long long age_ms(const struct control_state *cs, enum control_kind kind, struct timespec now)
{
	return cs->known[kind] ? (long long)ts_diff_ms(now, cs->last_answer[kind]) : -1;
}

void control_state_store_failed(struct control_state *cs, const char *reason, struct timespec now)
{
	cs->counters.store_errors++;
	if (cs->store_lost)
		return;
	cs->store_lost = true;
	steer_set_store_lost(cs->steer, true);
	decision_log(DECISION_STORE, now,
		     "store=lost reason=\"%s\" targets_age_ms=%lld config_age_ms=%lld", reason,
		     age_ms(cs, CONTROL_TARGETS, now), age_ms(cs, CONTROL_CONFIG, now));
}

void control_state_malformed_entry(struct control_state *cs, const char *kind, const char *name,
				   const char *why, struct timespec now)
{
	cs->counters.entries_malformed++;
	if (g_hash_table_size(cs->malformed) >= MALFORMED_LOGGED_MAX ||
	    !g_hash_table_add(cs->malformed, g_strconcat(kind, "/", name, " ", why, NULL)))
		return;
	decision_log(DECISION_STORE, now, "entry=%s/%s ignored=\"%s\"", kind, name, why);
}
