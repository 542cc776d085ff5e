#include "kept.h"

#include <string.h>

#include "beliefs.h"
#include "decision.h"
#include "gstr.h"
#include "timeutil.h"

/* The store's state of a target, older than the known one. */
struct kept_target {
	GString *id;
	struct target_info info; /* its identifier is that of @id */
};

static void free_target(gpointer data)
{
	struct kept_target *kept = data;

	g_string_free(kept->id, TRUE);
	g_free(kept);
}

void kept_init(struct kept *kept)
{
	*kept = (struct kept){
		.targets = g_hash_table_new_full(gstr_hash, gstr_equal, NULL, free_target),
		.withdrawn = g_hash_table_new(NULL, NULL),
		.changed = g_hash_table_new_full(NULL, NULL, NULL, g_free),
	};
}

void kept_release(struct kept *kept)
{
	g_hash_table_unref(kept->changed);
	g_hash_table_unref(kept->withdrawn);
	g_hash_table_unref(kept->targets);
}

/* Whether there is anything that a new era could revert. */
static bool anything_known(const struct control_state *cs)
{
	return registry_count(cs->registry) || g_hash_table_size(cs->kept.changed) ||
	       routing_ready(cs->routing);
}

void kept_answer(struct control_state *cs, struct store_version version, struct timespec now)
{
	struct kept *kept = &cs->kept;

	if (store_version_era(version) <= kept->era)
		return;
	kept->known = anything_known(cs);
	kept->active = true;
	kept->end = ts_add_ms(now, ERA_KEEP_MS);
	if (kept->known) {
		/* Entries may have expired during the outage, as after any other. */
		cs->store_regained = now;
		cs->counters.store_eras++;
		decision_log(DECISION_STORE, now,
			     "era=%lld was=%lld first_revision=%lld kept=begun keep_ms=%d",
			     (long long)store_version_era(version), (long long)kept->era,
			     (long long)store_version_revision(version), ERA_KEEP_MS);
	}
	kept->era = store_version_era(version);
	kept->first = version;
	kept->paged = false;
	kept->relist = false;
	/* The new era's answers show these states again where they are still older. */
	g_hash_table_remove_all(kept->targets);
	g_hash_table_remove_all(kept->withdrawn);
}

/*
 * Whether @version is, or may be, from the copy that began this era, or from that of an era after
 * @known's which has passed unseen or in which another instance has kept it.
 */
static bool may_be_older(const struct kept *kept, struct store_version version,
			 struct store_version known)
{
	return kept->active && store_version_era(known) < store_version_era(version) &&
	       store_version_cmp(version, kept->first) <= 0;
}

static bool is_same(const struct reg_target *tgt, const struct target_info *info)
{
	return tgt->phase == (info->draining ? TARGET_DRAINING : TARGET_READY) &&
	       tgt->wire_id == info->wire_id && endpoint_equal(tgt->ep, info->ep) &&
	       tgt->service == info->service && tgt->data_centre == info->data_centre &&
	       tgt->slots == MAX(info->slots, 1u) && tgt->born_ms == info->born_ms;
}

struct address_search {
	const struct kept *kept;
	const struct target_info *info;
	bool found;
};

static void find_address(struct reg_target *tgt, void *arg)
{
	struct address_search *search = arg;
	const struct target_info *info = search->info;

	search->found |=
		tgt->phase != TARGET_GONE && endpoint_equal(tgt->ep, info->ep) &&
		strcmp(tgt->id->str, info->id) != 0 &&
		may_be_older(search->kept, info->revision, tgt->revision) &&
		store_version_revision(tgt->revision) > store_version_revision(info->revision);
}

/* Whether the target's address belongs to a newer target, which may not be in the copy. */
static bool address_is_taken(const struct control_state *cs, const struct target_info *info)
{
	struct address_search search = { &cs->kept, info, false };

	registry_each(cs->registry, find_address, &search);
	return search.found;
}

/* Whether the known state is newer than that of an entry of the copy. */
static bool is_older(const struct control_state *cs, const struct reg_target *tgt,
		     const struct target_info *info)
{
	int64_t revision = store_version_revision(info->revision);

	if (!tgt)
		return address_is_taken(cs, info);
	/* Another instance has kept a target that has left since, as is known here. */
	if (tgt->phase == TARGET_GONE && store_version_era(info->revision) < cs->kept.era &&
	    store_version_cmp(info->revision, tgt->revision) <= 0)
		return true;
	if (!may_be_older(&cs->kept, info->revision, tgt->revision))
		return false;
	/* The entry of a target that has left keeps the revision from before. */
	if (tgt->phase == TARGET_GONE)
		return revision <= store_version_revision(tgt->answer_revision) ||
		       address_is_taken(cs, info);
	return revision < store_version_revision(tgt->revision);
}

static void record_target(struct control_state *cs, const struct target_info *info,
			  struct timespec now)
{
	struct kept_target *older = g_new0(struct kept_target, 1);

	older->id = g_string_new(info->id);
	older->info = *info;
	older->info.id = older->id->str;
	if (!g_hash_table_contains(cs->kept.targets, older->id)) {
		cs->counters.entries_kept++;
		decision_log(DECISION_TARGET, now, "target=%s belief=kept revision=%lld", info->id,
			     (long long)store_version_revision(info->revision));
	}
	g_hash_table_replace(cs->kept.targets, older->id, older);
}

bool kept_target(struct control_state *cs, const struct target_info *info, struct timespec now)
{
	struct reg_target *tgt;

	if (!cs->kept.active || !store_version_known(info->revision))
		return false;
	tgt = registry_by_id(cs->registry, info->id);
	if (tgt && is_same(tgt, info) && may_be_older(&cs->kept, info->revision, tgt->revision)) {
		/*
		 * Not a change: followers need not be sent it again. One that was written again is,
		 * because it ends their wait.
		 */
		tgt->revision = info->revision;
		tgt->in_list = true;
		kept_forget_target(cs, info->id);
		return true;
	}
	if (!is_older(cs, tgt, info)) {
		kept_forget_target(cs, info->id);
		return false;
	}
	if (tgt)
		tgt->in_list = true;
	record_target(cs, info, now);
	return true;
}

void kept_forget_target(struct control_state *cs, const char *id)
{
	GString *key;

	if (!g_hash_table_size(cs->kept.targets))
		return;
	key = g_string_new(id);
	g_hash_table_remove(cs->kept.targets, key);
	g_string_free(key, TRUE);
}

struct era_search {
	int64_t era;
	bool found;
};

static void find_older_era(struct reg_target *tgt, void *arg)
{
	struct era_search *search = arg;

	search->found |= tgt->phase != TARGET_GONE && store_version_known(tgt->revision) &&
			 store_version_era(tgt->revision) < search->era;
}

bool kept_any_target(const struct control_state *cs)
{
	struct era_search search = { cs->kept.era, false };

	registry_each(cs->registry, find_older_era, &search);
	return search.found;
}

bool kept_missing_target(const struct control_state *cs, const struct reg_target *tgt)
{
	const struct kept *kept = &cs->kept;

	/* The reader's period may not have ended. */
	if (kept->relist)
		return true;
	if (!kept->active || store_version_era(cs->report_revision) != kept->era)
		return false;
	/* The list of a reader lacks what it keeps as removed, which may have been written again.
	 */
	return store_version_era(tgt->revision) < kept->era || (kept->paged && kept->known);
}

static struct store_version latest_change(const struct kept *kept, uint32_t data_centre)
{
	const struct store_version *version =
		g_hash_table_lookup(kept->changed, GUINT_TO_POINTER(data_centre));

	return version ? *version : STORE_VERSION_NONE;
}

static void record_change(struct kept *kept, uint32_t data_centre, struct store_version version)
{
	struct store_version *copy = g_memdup2(&version, sizeof(version));

	g_hash_table_insert(kept->changed, GUINT_TO_POINTER(data_centre), copy);
}

bool kept_withdrawal(struct control_state *cs, uint32_t data_centre, bool withdrawn,
		     struct store_version version, bool listed)
{
	struct kept *kept = &cs->kept;
	gpointer key = GUINT_TO_POINTER(data_centre);
	struct store_version known = latest_change(kept, data_centre);
	struct store_version change = store_version_known(version) ? version : cs->report_revision;
	/* A list does not show when a data centre was given back, nor a page when it was withdrawn.
	 */
	bool older = listed && !store_version_known(version) && kept->active &&
		     store_version_era(cs->report_revision) == kept->era &&
		     store_version_era(known) < kept->era;

	if (store_version_known(version))
		older = may_be_older(kept, version, known) &&
			store_version_revision(version) <= store_version_revision(known);
	if (placing_is_withdrawn(&cs->placing, data_centre) != withdrawn && older &&
	    store_version_known(known)) {
		if (!g_hash_table_contains(kept->withdrawn, key))
			cs->counters.entries_kept++;
		g_hash_table_insert(kept->withdrawn, key, GINT_TO_POINTER(withdrawn));
		return true;
	}
	g_hash_table_remove(kept->withdrawn, key);
	/* A data centre that was never withdrawn has no entry that could be older. */
	if (withdrawn || store_version_known(known))
		record_change(kept, data_centre, store_version_max(known, change));
	return false;
}

void kept_withdrawals_end(struct control_state *cs)
{
	struct kept *kept = &cs->kept;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, kept->changed);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct store_version *version = value;

		if (!g_hash_table_contains(cs->withdrawn_listed, key) &&
		    !placing_is_withdrawn(&cs->placing, GPOINTER_TO_UINT(key)))
			*version = store_version_max(*version, cs->report_revision);
	}
}

static void apply_older(struct control_state *cs, struct kept *kept, struct timespec now)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, kept->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct kept_target *older = value;

		decision_log(DECISION_TARGET, now, "target=%s belief=reverted revision=%lld",
			     older->id->str,
			     (long long)store_version_revision(older->info.revision));
		kept->reverted++;
		control_state_put_target(cs, &older->info, now);
	}
	g_hash_table_iter_init(&iter, kept->withdrawn);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		kept->reverted++;
		control_state_withdraw(cs, symbols_name(&cs->symbols, GPOINTER_TO_UINT(key)),
				       GPOINTER_TO_INT(value), now);
	}
}

void kept_timer(struct control_state *cs, struct timespec now)
{
	struct kept *kept = &cs->kept;
	struct store_version report = cs->report_revision;
	struct kept ended = *kept;

	if (!kept->active || ts_cmp(now, kept->end) < 0)
		return;
	kept->active = false;
	kept->relist = kept->paged;
	kept->reverted = 0;
	kept->targets = g_hash_table_new_full(gstr_hash, gstr_equal, NULL, free_target);
	kept->withdrawn = g_hash_table_new(NULL, NULL);
	/*
	 * Followers are complete up to the latest answer. The next revision makes them receive
	 * these changes too, with each page until the store has reached it.
	 */
	cs->report_revision =
		store_version_make(store_version_era(cs->complete[CONTROL_TARGETS]),
				   store_version_revision(cs->complete[CONTROL_TARGETS]) + 1);
	apply_older(cs, &ended, now);
	cs->report_revision = report;
	cs->counters.entries_reverted += ended.reverted;
	if (kept->known)
		decision_log(DECISION_STORE, now, "era=%lld kept=ended targets=%u withdrawals=%u",
			     (long long)kept->era, g_hash_table_size(ended.targets),
			     g_hash_table_size(ended.withdrawn));
	g_hash_table_unref(ended.targets);
	g_hash_table_unref(ended.withdrawn);
}
