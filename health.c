/*
 * Health of targets: which of them this instance probes, their state by its own probes and the
 * reports of other members, and the reports that it sends in heartbeats.
 */
#include <string.h>
#include <xxhash.h>

#include "target-internal.h"

/* Heartbeats that send a change before all loads; as many as for a member's full entry. */
#define URGENT_REPORT_SENDS 6

/* Loads in one heartbeat; with more, heartbeats would be sent less often and counters be older. */
#define LOADS_PER_HEARTBEAT 4

/* Heartbeats in which each member that has a report sends it. */
#define REPORT_SENDS 4
#define NOT_SENT     UINT32_MAX

/* Successful probes in a row after which a target that was down is up again. */
#define PROBE_SUCCESSES_UP 2

/*
 * A relayed report appears newer by its transit time at each hop. Only one that is newer by more
 * than a few hops counts as a new report, so that old ones do not circulate for ever.
 */
#define REPORT_MIN_SPACING_MS 200

/* An opening accepted within this time outweighs failed probes. */
#define UP_AFTER_ACCEPT_MS 3000

static uint64_t ep_key(struct endpoint ep)
{
	return (uint64_t)ep.ip << 16 | ep.port;
}

static struct target *first_target(const struct targets *tgs, struct endpoint ep)
{
	uint64_t key = ep_key(ep);

	return g_hash_table_lookup(tgs->by_ep, &key);
}

static bool report_fresh(const struct report *report, struct timespec now, int64_t max_age_ms)
{
	return report->observer != MEMBER_NONE && ts_diff_ms(now, report->at) <= max_age_ms;
}

static bool is_prober(const struct target *tgt, uint32_t id)
{
	for (int i = 0; i < PROBERS_PER_TARGET; i++) {
		if (id != MEMBER_NONE && tgt->probers[i] == id)
			return true;
	}
	return false;
}

peer_target_state health_state(const struct target *tgt, struct timespec now)
{
	peer_target_state best[2] = { PEER_TARGET_UNKNOWN, PEER_TARGET_UNKNOWN };
	peer_target_state state;

	/* One prober that reaches the target is enough: the path of the other may be broken. */
	for (int i = 0; i < TARGET_REPORTS_MAX; i++) {
		const struct report *report = &tgt->reports[i];
		bool prober = is_prober(tgt, report->observer);

		if (report->state == PEER_TARGET_UNKNOWN ||
		    (!prober && !report_fresh(report, now, STATE_REPORT_MAX_AGE_MS)))
			continue;
		if (best[prober] == PEER_TARGET_UNKNOWN || report->state < best[prober])
			best[prober] = report->state;
	}
	state = best[true] != PEER_TARGET_UNKNOWN ? best[true] : best[false];
	if (state == PEER_TARGET_DOWN && (tgt->last_accept.tv_sec || tgt->last_accept.tv_nsec) &&
	    ts_diff_ms(now, tgt->last_accept) < UP_AFTER_ACCEPT_MS)
		return PEER_TARGET_UP;
	return state;
}

const struct report *health_load(const struct target *tgt, struct timespec now)
{
	const struct report *best = NULL;

	for (int i = 0; i < TARGET_REPORTS_MAX; i++) {
		const struct report *report = &tgt->reports[i];

		if (report_fresh(report, now, LOAD_REPORT_MAX_AGE_MS) &&
		    (report->state == PEER_TARGET_UP || report->state == PEER_TARGET_REFUSING) &&
		    (!best || ts_cmp(report->at, best->at) > 0))
			best = report;
	}
	return best;
}

/* The observer's report; a new observer gets an unused entry or the oldest of a non-prober. */
static struct report *get_report(struct target *tgt, uint32_t observer)
{
	struct report *oldest = NULL;

	for (int i = 0; i < TARGET_REPORTS_MAX; i++) {
		struct report *report = &tgt->reports[i];

		if (report->observer == observer)
			return report;
		if (!is_prober(tgt, report->observer) &&
		    (!oldest || ts_cmp(report->at, oldest->at) < 0))
			oldest = report;
	}
	/* There are more entries than probers. */
	g_assert(oldest != NULL);
	*oldest = (struct report){ .observer = observer };
	return oldest;
}

static void apply_report(struct targets *tgs, struct ctx *ctx, struct target *tgt,
			 const struct report *in)
{
	struct report *report = get_report(tgt, in->observer);
	peer_target_state before = health_state(tgt, ctx->now);
	bool changed = report->state != in->state || report->marker != in->marker;
	bool first = report->at.tv_sec == 0 && report->at.tv_nsec == 0;

	/* A change of load alone waits for the next periodic refresh. */
	if (changed || first)
		targets_changed(tgs);

	report->same_reports =
		!first && report->load_permille == in->load_permille ? report->same_reports + 1 : 0;
	report->at = in->at;
	report->sends = 0;
	report->state = in->state;
	report->marker = in->marker;
	report->load_permille = in->load_permille;
	report->warm_percent = in->warm_percent;
	if (changed)
		report->urgent_sends = URGENT_REPORT_SENDS;
	if (in->state == PEER_TARGET_UP || in->state == PEER_TARGET_REFUSING)
		tgt->opened_since_report = 0;
	if (tgt->is_new && in->state == PEER_TARGET_UP) {
		tgt->is_new = false;
		slow_start_begin(tgs, ctx, tgt, ctx->now);
	}
	/* Up again after it was down, without a marker that shows the same process: cold. */
	if (!slow_start_marker(tgs, ctx, tgt, in->marker, in->at) && before == PEER_TARGET_DOWN &&
	    in->state == PEER_TARGET_UP && !in->marker)
		slow_start_begin(tgs, ctx, tgt, ctx->now);
}

static peer_target_state probe_state(struct target *tgt, struct ctx *ctx,
				     const struct health_report *rep, peer_target_state before)
{
	peer_target_state now = rep->ready ? PEER_TARGET_UP : PEER_TARGET_REFUSING;

	ctx->counters->probe_failures += !rep->reachable;
	if (!rep->reachable) {
		tgt->successes = 0;
		tgt->failures++;
		return tgt->failures >= PROBE_FAILURES_DOWN ? PEER_TARGET_DOWN : before;
	}
	tgt->failures = 0;
	tgt->successes++;
	return before == PEER_TARGET_DOWN && tgt->successes < PROBE_SUCCESSES_UP ? PEER_TARGET_DOWN
										 : now;
}

void targets_health(struct targets *tgs, struct ctx *ctx, const struct health_report *rep)
{
	uint32_t self = members_self(tgs->mem);

	for (struct target *tgt = first_target(tgs, rep->target); tgt; tgt = tgt->same_ep) {
		const struct report *old = get_report(tgt, self);
		struct report in = {
			.observer = self,
			.at = ctx->now,
			.state = probe_state(tgt, ctx, rep, old->state),
			.marker = rep->reachable ? rep->start_marker : old->marker,
			.load_permille = rep->reachable ? MIN(rep->load_permille, UINT16_MAX)
							: old->load_permille,
		};

		if (!tgt->configured)
			continue;
		/* A failed probe gives no load, so it does not renew the age of the report. */
		if (!rep->reachable && in.state == old->state && in.state != PEER_TARGET_DOWN)
			continue;
		apply_report(tgs, ctx, tgt, &in);
	}
}

void targets_news(struct targets *tgs, struct ctx *ctx, uint32_t src, const peer_target_news *news,
		  size_t nr)
{
	uint32_t self = members_self(tgs->mem);

	(void)src;
	for (size_t i = 0; i < nr; i++) {
		struct endpoint ep = { news[i].target.ip,
				       (uint16_t)(news[i].target.port_flags >> 16) };
		struct report in = {
			.observer = news[i].observer,
			.at = ts_add_ms(ctx->now, -(int64_t)MIN(news[i].age_ms, 1u << 24)),
			.state = news[i].load >> 16 & 0xff,
			.marker = news[i].start_marker,
			.load_permille = news[i].load & 0xffff,
			.warm_percent = news[i].load >> 24,
		};

		if (in.observer == self || in.observer == MEMBER_NONE ||
		    in.state > PEER_TARGET_DOWN || news[i].age_ms > STATE_REPORT_MAX_AGE_MS)
			continue;
		for (struct target *tgt = first_target(tgs, ep); tgt; tgt = tgt->same_ep) {
			struct report *old = get_report(tgt, in.observer);

			if (!tgt->configured || ts_diff_ms(in.at, old->at) <= REPORT_MIN_SPACING_MS)
				continue;
			apply_report(tgs, ctx, tgt, &in);
			slow_start_apply_share(tgs, ctx, tgt, in.warm_percent);
		}
	}
}

void health_update_probers(struct targets *tgs, struct target *tgt)
{
	uint64_t version = members_version(tgs->mem) + 1;
	uint64_t ep = ep_key(tgt->ep);

	if (tgt->prober_version == version)
		return;
	tgt->prober_version = version;
	for (uint32_t rank = 0; rank < PROBERS_PER_TARGET; rank++)
		tgt->probers[rank] = members_ranked(tgs->mem, XXH3_64bits(&ep, sizeof(ep)), rank);
	/* Before there are candidates, no member sends reports: this instance probes itself. */
	if (tgt->probers[0] == MEMBER_NONE)
		tgt->probers[0] = members_self(tgs->mem);
}

void health_probe_due(struct targets *tgs, struct ctx *ctx, struct target *tgt)
{
	const struct service_state *svc = tgt->svc;
	bool needed = tgt->local || svc->spill || !svc->nr_local_available;
	uint32_t interval = needed ? PROBE_INTERVAL_MS : PROBE_REMOTE_INTERVAL_MS;
	struct action act = { .type = ACTION_PROBE, .target = tgt->ep };

	if (!is_prober(tgt, members_self(tgs->mem))) {
		tgt->failures = tgt->successes = 0;
		return;
	}
	/* A target that is needed again does not wait for the rest of its long interval. */
	if (ts_cmp(ctx->now, tgt->next_probe) < 0 &&
	    ts_diff_ms(tgt->next_probe, ctx->now) <= 2 * (int64_t)interval)
		return;
	actions_add(ctx->out, act, NULL, 0);
	ctx->counters->probes++;
	interval = interval * 9 / 10 + random_below(ctx->random, interval / 5);
	tgt->next_probe = ts_add_ms(ctx->now, interval);
}

static void encode_report(struct ctx *ctx, const struct target *tgt, struct report *report,
			  peer_target_news *out)
{
	uint32_t warm = (slow_start_share(tgt, ctx->now) + 9) / 10;

	*out = (peer_target_news){
		.target = { .ip = tgt->ep.ip, .port_flags = (uint32_t)tgt->ep.port << 16 },
		.observer = report->observer,
		.age_ms = (unsigned int)ts_diff_ms(ctx->now, report->at),
		.start_marker = report->marker,
		.load = warm << 24 | (uint32_t)report->state << 16 | report->load_permille,
	};
	report->sent_at = ctx->now;
	report->sends++;
	if (report->urgent_sends)
		report->urgent_sends--;
}

/*
 * Order in which reports are sent, lowest first; NOT_SENT when a report is not sent. Each member
 * sends a report several times, because one time reaches only part of the group. Only the load of
 * the latest report is used; the other observer's is sent in case its state was missed.
 */
static uint32_t send_rank(const struct target *tgt, const struct report *report, bool urgent,
			  struct timespec now)
{
	uint32_t rank = report->sends;

	if (!report_fresh(report, now, STATE_REPORT_MAX_AGE_MS) ||
	    ts_cmp(report->sent_at, now) == 0)
		return NOT_SENT;
	if (urgent)
		return report->urgent_sends ? 0 : NOT_SENT;
	if (report->state == PEER_TARGET_UNKNOWN)
		return NOT_SENT;
	for (int i = 0; i < TARGET_REPORTS_MAX; i++) {
		if (ts_cmp(tgt->reports[i].at, report->at) > 0 &&
		    tgt->reports[i].state != PEER_TARGET_UNKNOWN) {
			rank += 2;
			break;
		}
	}
	return rank < REPORT_SENDS ? rank : NOT_SENT;
}

/* Next report to send; of equal rank, the one that was sent longest ago. */
static struct report *next_report(struct targets *tgs, struct ctx *ctx, bool urgent,
				  struct target **owner)
{
	uint32_t best_rank = NOT_SENT;
	struct report *best = NULL;

	for (guint i = 0; i < tgs->list->len; i++) {
		struct target *tgt = g_ptr_array_index(tgs->list, i);

		for (int v = 0; tgt && tgt->configured && v < TARGET_REPORTS_MAX; v++) {
			struct report *report = &tgt->reports[v];
			uint32_t rank = send_rank(tgt, report, urgent, ctx->now);

			if (rank > best_rank || rank == NOT_SENT ||
			    (rank == best_rank && ts_cmp(report->sent_at, best->sent_at) >= 0))
				continue;
			best = report;
			best_rank = rank;
			*owner = tgt;
		}
	}
	return best;
}

size_t health_fill_news(struct news_source *src, struct ctx *ctx, peer_target_news *news,
			size_t max)
{
	struct targets *tgs = (struct targets *)((char *)src - offsetof(struct targets, news));
	struct target *tgt = NULL;
	struct report *report;
	size_t nr = 0, loads = 0;

	while (nr < max && (report = next_report(tgs, ctx, true, &tgt)))
		encode_report(ctx, tgt, report, &news[nr++]);
	while (nr < max && loads < LOADS_PER_HEARTBEAT &&
	       (report = next_report(tgs, ctx, false, &tgt))) {
		encode_report(ctx, tgt, report, &news[nr++]);
		loads++;
	}
	return nr;
}

void health_make_urgent(struct targets *tgs, struct ctx *ctx, struct target *tgt)
{
	struct report *own = get_report(tgt, members_self(tgs->mem));

	/* An instance that does not probe the target reports its share, but not its state. */
	if (!is_prober(tgt, own->observer))
		own->state = PEER_TARGET_UNKNOWN;
	own->marker = tgt->slow.marker;
	own->at = ctx->now;
	own->urgent_sends = URGENT_REPORT_SENDS;
}
