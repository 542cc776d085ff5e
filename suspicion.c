/*
 * Failure detection of targets. Callers retransmit unanswered data after 200 ms. A target that has
 * answered no flow of this instance since the data was first sent is suspected, and verified by
 * probe connections. A busy or slow target still accepts connections, so its flows are kept.
 */
#include "credit/account.h"
#include "steer-internal.h"

/*
 * A target is dead when a round of probes has timed out, or two rounds have been refused. With 0.3%
 * of round trips lost, three probes time out by chance once in 40 million rounds.
 */
#define PROBES_PER_ROUND    3
#define DEAD_REFUSED_ROUNDS 2
/*
 * From the start of one round to that of the next: refusals closer together would not be
 * independent evidence, and a round that times out takes as long.
 */
#define PROBE_ROUND_INTERVAL_MS 100
/*
 * A target whose queue is full refuses connections like one whose process has ended. After a
 * rejection by any target of its service in the REJECTION_EFFECT_MS before its suspicion, a target
 * that refuses is therefore dead only when it has answered no flow here for REFUSED_SILENT_MS: a
 * full target answers after the wait in its queue and the longest request, some 1.6 s. It gets no
 * openings meanwhile.
 */
#define REJECTION_EFFECT_MS 2000
#define REFUSED_SILENT_MS   2000
/*
 * Nor is a listed target dead that refuses connections but has answered a flow here this recently:
 * an instance may be the first to meet a full one, and has seen no rejection.
 */
#define REFUSED_ANSWER_MS 500
/* Interval of probes of such a target: each connection costs it processor time. */
#define REFUSED_PROBE_INTERVAL_MS 250
/* Minimum time between two verifications of all other targets. */
#define VERIFY_OTHERS_INTERVAL_MS 1000
/* A target with a sign of life this recently needs no verification. */
#define SILENT_MIN_MS 100
/*
 * The platform may give the address of a dead target to another one after this time: reuse_after_s
 * of deployments, less the time until the dead target is suspected.
 */
#define ADDRESS_REUSE_MS 1500
/* A dead target is probed at this interval until it answers, or is unlisted and has no flows. */
#define DEAD_PROBE_INTERVAL_MS 1000
/*
 * How long a death makes other targets of its data centre suspect. After the loss of a data centre,
 * its callers reach other instances, with flows of targets that have never answered a flow there.
 * Idle flows are closed by their targets after 12 s.
 */
#define DEATH_EFFECT_MS 12000
/* Entries that expired while the store was unreachable are renewed within 2 s of its return. */
#define LAPSE_GRACE_MS 2500

static void start_round(struct steer *st, struct reg_target *tgt, unsigned int nr,
			struct timespec now)
{
	tgt->next_probe = ts_add_ms(now, PROBE_ROUND_INTERVAL_MS);
	tgt->probing = nr;
	tgt->round_size = nr;
	tgt->probe_refused = false;
	tgt->probe_inconclusive = false;
	tgt->probe_connected = false;
	st->opts.counters->probes += nr;
	st->opts.out->ops->probe(st->opts.out, tgt, nr);
}

static void clear_suspicion(struct steer *st, struct reg_target *tgt)
{
	tgt->trust = TRUST_ALIVE;
	tgt->rounds_failed = 0;
	g_ptr_array_remove_fast(st->untrusted, tgt);
}

void suspicion_clear(struct steer *st, struct reg_target *tgt)
{
	if (tgt->trust != TRUST_ALIVE)
		clear_suspicion(st, tgt);
}

static void set_alive(struct steer *st, struct reg_target *tgt, struct timespec now)
{
	tgt->last_alive = now;
	if (tgt->trust == TRUST_ALIVE)
		return;
	decision_log(DECISION_TARGET, now, "target=%s belief=alive was=%s suspected_ms=%lld",
		     tgt->id->str, target_trust_name(tgt->trust),
		     (long long)ts_diff_ms(now, tgt->suspected));
	st->opts.counters->targets_cleared++;
	clear_suspicion(st, tgt);
}

void suspicion_note_answer(struct steer *st, struct reg_target *tgt, struct timespec now)
{
	tgt->last_answer = now;
	set_alive(st, tgt, now);
}

static void suspect(struct steer *st, struct reg_target *tgt, unsigned int nr, struct timespec now)
{
	tgt->trust = TRUST_SUSPECTED;
	tgt->suspected = now;
	tgt->rounds_failed = 0;
	g_ptr_array_add(st->untrusted, tgt);
	st->opts.counters->targets_suspected++;
	if (!tgt->probing)
		start_round(st, tgt, nr, now);
}

void suspicion_verify(struct steer *st, struct reg_target *tgt, struct timespec now)
{
	if (tgt->trust == TRUST_ALIVE)
		suspect(st, tgt, PROBES_PER_ROUND, now);
}

void suspicion_note_adoption(struct steer *st, struct reg_target *tgt, struct timespec now)
{
	const struct timespec *death =
		g_hash_table_lookup(st->latest_deaths, GUINT_TO_POINTER(tgt->data_centre));

	if (!death || ts_diff_ms(now, *death) >= DEATH_EFFECT_MS ||
	    ts_cmp(tgt->last_alive, *death) >= 0 || tgt->trust != TRUST_ALIVE)
		return;
	decision_log(DECISION_TARGET, now,
		     "target=%s belief=suspected silent_ms=%lld why=others_died death_ms=%lld",
		     tgt->id->str, (long long)target_silent_ms(tgt, now),
		     (long long)ts_diff_ms(now, *death));
	suspect(st, tgt, PROBES_PER_ROUND, now);
}

/*
 * An unlisted target that does not answer has left, even if its address accepts connections:
 * another target may have the address by now.
 */
static bool has_left(const struct reg_target *tgt, struct timespec now)
{
	return tgt->phase == TARGET_GONE && ts_diff_ms(now, tgt->changed) >= LAPSE_GRACE_MS;
}

void suspicion_note_stall(struct steer *st, struct reg_target *tgt, struct timespec since,
			  struct timespec now)
{
	if (tgt->trust != TRUST_ALIVE || ts_cmp(tgt->last_alive, since) > 0)
		return;
	if (has_left(tgt, now)) {
		steer_reset_target_flows(st, tgt, RESET_TARGET_GONE, now);
		return;
	}
	decision_log(DECISION_TARGET, now,
		     "target=%s belief=suspected silent_ms=%lld stalled_ms=%lld flows=%u",
		     tgt->id->str, (long long)target_silent_ms(tgt, now),
		     (long long)ts_diff_ms(now, since), tgt->open_flows);
	suspect(st, tgt, PROBES_PER_ROUND, now);
}

/*
 * Targets seldom fail alone: a rack, a release or a link affects several. Other targets that have
 * open flows here and no recent sign of life are therefore verified before their flows stall, by a
 * single probe at first.
 */
static void verify_others(struct steer *st, const struct reg_target *dead, struct timespec now)
{
	GHashTable *seen;

	if (ts_diff_ms(now, st->others_verified_at) < VERIFY_OTHERS_INTERVAL_MS)
		return;
	st->others_verified_at = now;
	seen = g_hash_table_new(NULL, NULL);
	for (GList *link = st->by_state[FLOW_OPEN].head; link; link = link->next) {
		const struct steer_flow *flow = link->data;
		struct reg_target *tgt = flow->target;

		if (tgt != dead && g_hash_table_add(seen, tgt) && tgt->trust == TRUST_ALIVE &&
		    ts_diff_ms(now, tgt->last_alive) >= SILENT_MIN_MS)
			suspect(st, tgt, 1, now);
	}
	g_hash_table_unref(seen);
}

static void set_dead(struct steer *st, struct reg_target *tgt, struct timespec now)
{
	tgt->trust = TRUST_DEAD;
	if (st->opts.credit)
		credit_note_dead(st->opts.credit, tgt);
	g_hash_table_insert(st->latest_deaths, GUINT_TO_POINTER(tgt->data_centre),
			    g_memdup2(&now, sizeof(now)));
	st->opts.counters->targets_dead++;
	decision_log(DECISION_TARGET, now,
		     "target=%s belief=dead rounds_failed=%u refused=%d suspected_ms=%lld flows=%u",
		     tgt->id->str, tgt->rounds_failed, tgt->probe_refused,
		     (long long)ts_diff_ms(now, tgt->suspected), tgt->open_flows);
	steer_reset_target_flows(
		st, tgt, tgt->phase == TARGET_GONE ? RESET_TARGET_GONE : RESET_TARGET_DEAD, now);
	verify_others(st, tgt, now);
}

/*
 * Whether a connection shows that @tgt itself is alive. ADDRESS_REUSE_MS after a target has died,
 * another one may have its address, and a connection does not show which one accepted it. While the
 * store answers, the list of targets shows such a change.
 */
static bool connection_proves_alive(const struct steer *st, const struct reg_target *tgt,
				    struct timespec now)
{
	return tgt->trust != TRUST_DEAD || !st->store_lost ||
	       ts_diff_ms(now, tgt->suspected) < ADDRESS_REUSE_MS;
}

void suspicion_note_rejection(struct steer *st, const struct reg_target *tgt, struct timespec now)
{
	g_hash_table_insert(st->latest_rejections, GUINT_TO_POINTER(tgt->service),
			    g_memdup2(&now, sizeof(now)));
}

/* Whether a target that refuses connections may only be full. */
static bool may_be_full(const struct steer *st, const struct reg_target *tgt, struct timespec now)
{
	const struct timespec *rejection =
		g_hash_table_lookup(st->latest_rejections, GUINT_TO_POINTER(tgt->service));
	int64_t silent_ms = target_silent_ms(tgt, now);

	if (tgt->phase != TARGET_GONE && tgt->last_answer.tv_sec &&
	    ts_diff_ms(now, tgt->last_answer) < REFUSED_ANSWER_MS)
		return true;
	if (!rejection || ts_diff_ms(tgt->suspected, *rejection) >= REJECTION_EFFECT_MS)
		return false;
	/* Without a sign of life here, the silence is counted from the suspicion. */
	if (silent_ms < 0)
		silent_ms = ts_diff_ms(now, tgt->suspected);
	return silent_ms < REFUSED_SILENT_MS;
}

/* Whether the failed rounds of a suspected target show that it is dead. */
static bool rounds_prove_dead(const struct steer *st, const struct reg_target *tgt,
			      struct timespec now)
{
	if (!tgt->probe_refused)
		return true;
	return tgt->rounds_failed >= DEAD_REFUSED_ROUNDS && !may_be_full(st, tgt, now);
}

/* All probes of a round have failed. */
static void round_failed(struct steer *st, struct reg_target *tgt, struct timespec now)
{
	/* A single probe may fail because of a lost packet. */
	if (tgt->trust == TRUST_SUSPECTED && tgt->round_size < PROBES_PER_ROUND &&
	    (!tgt->probe_refused || tgt->rounds_failed < DEAD_REFUSED_ROUNDS)) {
		start_round(st, tgt, PROBES_PER_ROUND, now);
		return;
	}
	tgt->rounds_failed++;
	steer_move_openings(st, tgt, now);
	if (tgt->trust == TRUST_SUSPECTED && rounds_prove_dead(st, tgt, now))
		set_dead(st, tgt, now);
	if (tgt->trust == TRUST_DEAD)
		tgt->next_probe = ts_add_ms(now, DEAD_PROBE_INTERVAL_MS);
	else if (tgt->rounds_failed == DEAD_REFUSED_ROUNDS)
		decision_log(DECISION_TARGET, now,
			     "target=%s belief=suspected why=may_be_full silent_ms=%lld flows=%u",
			     tgt->id->str, (long long)target_silent_ms(tgt, now), tgt->open_flows);
	if (tgt->trust == TRUST_SUSPECTED && tgt->rounds_failed >= DEAD_REFUSED_ROUNDS)
		tgt->next_probe = ts_add_ms(now, REFUSED_PROBE_INTERVAL_MS);
}

void steer_probe_done(struct steer *st, struct reg_target *tgt, enum probe_result result,
		      struct timespec now)
{
	if (tgt->probing)
		tgt->probing--;
	if (result == PROBE_CONNECTED) {
		tgt->probe_connected = true;
		if (connection_proves_alive(st, tgt, now))
			set_alive(st, tgt, now);
		else
			tgt->next_probe = ts_add_ms(now, DEAD_PROBE_INTERVAL_MS);
		return;
	}
	tgt->probe_inconclusive |= result == PROBE_INCONCLUSIVE;
	tgt->probe_refused |= result == PROBE_REFUSED;
	/* The target may be suspected again before the other probes of a successful round end. */
	if (tgt->trust == TRUST_ALIVE || tgt->probing || tgt->probe_connected)
		return;
	if (tgt->probe_inconclusive)
		tgt->next_probe = now; /* repeat the round */
	else
		round_failed(st, tgt, now);
}

int64_t suspicion_due_ms(const struct steer *st, struct timespec now)
{
	int64_t due = INT64_MAX;

	for (guint i = 0; i < st->untrusted->len; i++) {
		const struct reg_target *tgt = g_ptr_array_index(st->untrusted, i);

		if (!tgt->probing)
			due = MIN(due, ts_diff_ms(tgt->next_probe, now));
	}
	return due;
}

/* An unlisted target without flows here needs no more verification. */
static bool verification_done(const struct reg_target *tgt)
{
	return tgt->phase == TARGET_GONE && !tgt->open_flows;
}

static unsigned int probes_of_round(const struct reg_target *tgt)
{
	return tgt->trust == TRUST_DEAD || tgt->rounds_failed >= DEAD_REFUSED_ROUNDS
		       ? 1
		       : PROBES_PER_ROUND;
}

void suspicion_timer(struct steer *st, struct timespec now)
{
	for (guint i = st->untrusted->len; i-- > 0;) {
		struct reg_target *tgt = g_ptr_array_index(st->untrusted, i);

		if (tgt->probing || ts_cmp(now, tgt->next_probe) < 0)
			continue;
		if (verification_done(tgt))
			clear_suspicion(st, tgt);
		else
			start_round(st, tgt, probes_of_round(tgt), now);
	}
}
