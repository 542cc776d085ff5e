#include "credit/exchange-internal.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "decision.h"

/* Instances report at different times, so a round follows the reports of all after two of them. */
#define FIRST_ROUND_INTERVALS 2

/* Own targets that can take openings: struct alloc_target. */
static GArray *list_targets(struct exchange *ex, struct ex_service *svc, GPtrArray *listed,
			    struct timespec now)
{
	const struct placing *pl = &ex_state(ex)->placing;
	const GPtrArray *known = registry_by_service(ex_state(ex)->registry, svc->service);
	bool cold_limited = ex_stated(ex, svc->service) & STATED_COLD;
	GArray *targets = g_array_new(FALSE, FALSE, sizeof(struct alloc_target));

	svc->slots = 0;
	if (!known || placing_is_withdrawn(pl, pl->opts.data_centre))
		return targets;
	for (guint i = 0; i < known->len; i++) {
		struct reg_target *tgt = g_ptr_array_index(known, i);
		struct alloc_target at = {
			.key = tgt->digest,
			.slots = tgt->slots,
			.speed_permille = 1000,
			.capacity_permille = 1000,
			.cold_limited = cold_limited && ts_cmp(tgt->warm_at, now) > 0,
		};

		if (tgt->phase != TARGET_READY || tgt->data_centre != pl->opts.data_centre ||
		    tgt->trust == TRUST_DEAD)
			continue;
		g_array_append_val(targets, at);
		g_ptr_array_add(listed, tgt);
		svc->slots += tgt->slots;
	}
	return targets;
}

/* Logs when a target is left out in part, and when it is back. */
static void log_left_out(struct ex_service *svc, const struct reg_target *tgt,
			 const struct target_condition *cond, struct timespec now)
{
	bool left_out = cond->capacity_permille < 1000;

	if (left_out == g_hash_table_contains(svc->left_out, tgt->id->str))
		return;
	if (left_out)
		g_hash_table_add(svc->left_out, g_strdup(tgt->id->str));
	else
		g_hash_table_remove(svc->left_out, tgt->id->str);
	decision_log(DECISION_CREDIT, now, "target=%s left_out=%d capacity_permille=%u",
		     tgt->id->str, left_out, cond->capacity_permille);
}

/* Completes the targets with what the members saw of them, and removes the dead ones. */
static void apply_conditions(struct exchange *ex, struct ex_service *svc, GArray *targets,
			     const GPtrArray *listed, struct timespec now)
{
	guint kept = 0;

	for (guint i = 0; i < targets->len; i++) {
		struct alloc_target at = g_array_index(targets, struct alloc_target, i);
		struct target_condition cond;

		monitor_get(ex->monitor, at.key, now, &cond);
		log_left_out(svc, g_ptr_array_index(listed, i), &cond, now);
		if (cond.dead)
			continue;
		at.speed_permille = cond.speed_permille;
		at.capacity_permille = cond.capacity_permille;
		g_array_index(targets, struct alloc_target, kept++) = at;
	}
	g_array_set_size(targets, kept);
}

static gint compare_members(gconstpointer a, gconstpointer b)
{
	uint32_t x = ((const struct alloc_member *)a)->id;
	uint32_t y = ((const struct alloc_member *)b)->id;

	return x < y ? -1 : x > y;
}

static GArray *list_members(const struct exchange *ex, size_t place)
{
	GArray *members = g_array_new(FALSE, FALSE, sizeof(struct alloc_member));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ex->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct ex_member *member = value;
		struct alloc_member am = {
			.id = member->id,
			.borrower = member->borrower,
			.wanted_milli = member->wanted_milli[place],
			.demand_milli = member->demand_milli[place],
			.important_milli = member->important_milli[place],
			.capacity_milli = member->capacity_milli[place],
		};

		if (member->borrower && !am.wanted_milli)
			continue;
		memcpy(am.openings_milli_per_s, member->rate_milli[place],
		       sizeof(am.openings_milli_per_s));
		g_array_append_val(members, am);
	}
	g_array_sort(members, compare_members);
	return members;
}

static void allocate(struct exchange *ex, struct ex_service *svc, uint32_t passed_ms,
		     struct timespec now)
{
	GPtrArray *listed = g_ptr_array_new();
	GArray *targets = list_targets(ex, svc, listed, now);
	GArray *members = list_members(ex, (size_t)(svc - ex->services));
	struct alloc_round round = {
		.members = (const struct alloc_member *)(void *)members->data,
		.nr_members = members->len,
		.now = now,
	};

	monitor_tick(ex->monitor, svc->service, (const struct alloc_target *)(void *)targets->data,
		     targets->len, passed_ms, now);
	apply_conditions(ex, svc, targets, listed, now);
	ex_add_lent(ex, svc->service, now, targets);
	round.targets = (const struct alloc_target *)(void *)targets->data;
	round.nr_targets = targets->len;
	round.goal_ms = ex_stated(ex, svc->service) >> STATED_GOAL_SHIFT;
	round.service_time_us = monitor_service_time_us(ex->monitor, svc->service);
	allocator_run(svc->allocator, &round);
	g_ptr_array_unref(listed);
	g_array_unref(targets);
	g_array_unref(members);
}

/* Applies the part of this instance. */
static void apply_own(struct exchange *ex, struct timespec now)
{
	struct credit_grant grant;

	credit_grant_init(&grant);
	for (size_t i = 0; i < EXCHANGE_MAX_SERVICES; i++) {
		const struct ex_service *svc = &ex->services[i];
		const GArray *credits;

		if (!svc->takes_part)
			continue;
		credits = allocator_credits(svc->allocator, ex->opts.self);
		credit_grant_add(&grant, svc->service);
		if (credits)
			g_array_append_vals(g_array_index(grant.services,
							  struct credit_service_grant,
							  grant.services->len - 1)
						    .entries,
					    credits->data, credits->len);
	}
	if (grant.services->len || ex->granted->len)
		ex_apply_grant(ex, &grant, now);
	credit_grant_release(&grant);
}

/* Adds a member's entries with or without slot credits. */
static void write_entries(const struct exchange *ex, struct ex_grant_writer *wr,
			  const struct ex_member *member, const int *numbers, bool slots)
{
	for (size_t i = 0; i < EXCHANGE_MAX_SERVICES; i++) {
		const GArray *credits =
			numbers[i] < 0 ? NULL
				       : allocator_credits(ex->services[i].allocator, member->id);

		for (guint j = 0; credits && j < credits->len; j++) {
			const struct credit_entry *entry =
				&g_array_index(credits, struct credit_entry, j);

			if ((entry->slots > 0) == slots)
				ex_grant_add_entry(wr, (uint32_t)numbers[i], entry);
		}
	}
}

static void write_grant(struct exchange *ex, struct ex_grant_writer *wr,
			const struct ex_member *member)
{
	int numbers[EXCHANGE_MAX_SERVICES];
	int nr = 0;

	ex_grant_begin(ex, wr, member->borrower ? PEER_CREDIT_LENT : 0);
	for (size_t i = 0; i < EXCHANGE_MAX_SERVICES; i++) {
		const struct ex_service *svc = &ex->services[i];

		numbers[i] = -1;
		if (svc->takes_part && (!member->borrower || member->wanted_milli[i]) &&
		    ex_grant_add_service(wr, ex_service_name(ex, svc)))
			numbers[i] = nr++;
	}
	write_entries(ex, wr, member, numbers, true);
	write_entries(ex, wr, member, numbers, false);
}

/* Hashes what the grant says. Encoding it for this took a fifth of the time of a round. */
static uint64_t grant_hash(const peer_credit_grant *grant)
{
	const u_int counts[] = { grant->flags, grant->services.services_len,
				 grant->entries.entries_len, grant->lent.lent_len };
	uint64_t hash = XXH3_64bits(counts, sizeof(counts));

	G_STATIC_ASSERT(sizeof(peer_credit_entry) == 16); /* without padding */
	for (u_int i = 0; i < grant->services.services_len; i++) {
		const char *name = grant->services.services_val[i];

		hash = XXH3_64bits_withSeed(name, strlen(name) + 1, hash);
	}
	hash = XXH3_64bits_withSeed(grant->entries.entries_val,
				    grant->entries.entries_len * sizeof(peer_credit_entry), hash);
	return XXH3_64bits_withSeed(grant->lent.lent_val,
				    grant->lent.lent_len * sizeof(peer_credit_entry), hash);
}

/*
 * Sends a grant that has changed, or is to be repeated. One without services ends the grants
 * before it, and is repeated only while these could be in force.
 */
static void send_grant(struct exchange *ex, struct ex_member *member, struct ex_grant_writer *wr,
		       struct timespec now)
{
	peer_credit_grant *grant = &wr->msg.peer_msg_u.credit_grant;
	uint64_t hash;

	write_grant(ex, wr, member);
	hash = grant_hash(grant);
	if (grant->services.services_len)
		member->credits_sent = now;
	else if (ts_diff_ms(now, member->credits_sent) > CREDIT_GRANT_LIFE_MS)
		return;
	if (hash == member->grant_hash && ts_diff_ms(now, member->grant_sent) < EXCHANGE_REPEAT_MS)
		return;
	member->grant_hash = hash;
	member->grant_sent = now;
	grant->sequence = ex_next_sequence(ex);
	ex_state(ex)->counters.credit_grants_out++;
	ex->opts.out->ops->grant(ex->opts.out, member->id, &wr->msg);
}

static void send_grants(struct exchange *ex, struct timespec now)
{
	struct ex_grant_writer *wr = g_new(struct ex_grant_writer, 1);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ex->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct ex_member *member = value;

		if (member->id != ex->opts.self)
			send_grant(ex, member, wr, now);
	}
	g_free(wr);
}

void ex_reader_round(struct exchange *ex, struct timespec now)
{
	int64_t passed = CLAMP(ts_diff_ms(now, ex->last_round), 1, EXCHANGE_MEMBER_EXPIRY_MS);

	ex->next_round = ts_add_ms(now, ex->opts.interval_ms);
	ex_report_self(ex, now);
	ex_move_window(ex, now);
	ex_update_members(ex, now);
	ex->last_round = now;
	if (ts_diff_ms(now, ex->started) < FIRST_ROUND_INTERVALS * (int64_t)ex->opts.interval_ms)
		return;
	for (size_t i = 0; i < EXCHANGE_MAX_SERVICES; i++) {
		struct ex_service *svc = &ex->services[i];

		if (svc->service != SYMBOL_NONE)
			ex_update_service(ex, svc, now);
		if (svc->takes_part)
			allocate(ex, svc, (uint32_t)passed, now);
	}
	apply_own(ex, now);
	send_grants(ex, now);
	ex_borrow(ex, passed, now);
}
