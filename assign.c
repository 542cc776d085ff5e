#include "shard.h"

static uint64_t endpoint_key(struct endpoint ep)
{
	return ((uint64_t)ep.ip << 16 | ep.port) * 0x9e3779b97f4a7c15ULL;
}

static void add_weights(struct homes *homes, struct service_state *st, bool local_only)
{
	for (guint i = 0; i < st->svc->targets->len; i++) {
		const struct target_config *tc =
			&g_array_index(st->svc->targets, struct target_config, i);
		const struct data_centre *dc = config_dc(homes->cfg, tc->dc);
		struct weighted_target wt = {
			.target = tc->index,
			.weight = target_weight(homes->tgs, tc->index),
			.key = endpoint_key(tc->ep),
		};

		if (!wt.weight || !target_eligible(homes->tgs, tc->index) ||
		    config_withdrawn(homes->cfg, st->svc->org, tc->dc) ||
		    (local_only && !(dc && members_in_dc(homes->mem, dc->name))))
			continue;
		g_array_append_val(st->weights, wt);
	}
}

void weights_refresh(struct homes *homes, struct ctx *ctx, struct service_state *st)
{
	/* Combines the versions of all sources; compared only for equality. */
	uint64_t version = targets_version(homes->tgs) * 31 + homes->config_changes * 1000003 +
			   members_version(homes->mem) * 0x10001 + 1;

	GArray *before = st->weights;

	if (version == st->weights_source_version)
		return;
	st->weights_source_version = version;
	st->weights = g_array_new(FALSE, FALSE, sizeof(struct weighted_target));
	add_weights(homes, st, true);
	if (!st->weights->len)
		add_weights(homes, st, false);
	if (before->len != st->weights->len ||
	    (before->len && memcmp(before->data, st->weights->data,
				   before->len * sizeof(struct weighted_target)) != 0)) {
		st->weights_version++;
		st->busy_until = ts_add_ms(ctx->now, BUSY_SERVICE_MS);
	}
	g_array_unref(before);
}

struct shard_peer *lead_peer(struct shard *shard, uint32_t id)
{
	struct shard_lead *lead = shard->lead;

	for (guint i = 0; lead && i < lead->peers->len; i++) {
		struct shard_peer *peer = &g_array_index(lead->peers, struct shard_peer, i);

		if (peer->id == id)
			return peer;
	}
	return NULL;
}

/* Whether @target cannot take all openings: the home then chooses for each, in a shared bucket. */
static bool needs_home_choice(struct homes *homes, struct ctx *ctx, uint32_t target,
			      uint32_t permille)
{
	struct target_status st;

	if (!target_usable(homes->tgs, target))
		return true;
	target_get_status(homes->tgs, target, ctx->now, &st);
	return st.starting ||
	       (st.report_age_ms <= LOAD_REPORT_MAX_AGE_MS && st.load_permille >= permille);
}

void assign_share(struct shard *shard, struct ctx *ctx, uint32_t b)
{
	shard->buckets[b].mode = BUCKET_SHARED;
	shard->lead->changed[b] = shard->epoch;
	shard->lead->pending |= 1ULL << b;
	shard->lead->base_seen_ms[b] = ts_to_ms(ctx->now);
	shard->lead->shared_ms[b] = ts_to_ms(ctx->now);
	ctx->counters->flips++;
}

/* Applies a new assignment to one bucket. Returns whether it must be announced to members. */
static bool review_bucket(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t b,
			  uint32_t current)
{
	struct shard_lead *lead = shard->lead;
	struct bucket *bucket = &shard->buckets[b];
	bool share_requested = lead->share_requested & 1ULL << b;

	if (bucket->mode == BUCKET_UNASSIGNED) {
		if (current == TARGET_NONE)
			return false;
		*bucket = (struct bucket){
			.base = current,
			.current = current,
			.mode = BUCKET_SINGLE,
		};
		lead->changed[b] = shard->epoch;
		return true;
	}
	if (current != TARGET_NONE)
		bucket->current = current;
	if (bucket->mode == BUCKET_SINGLE &&
	    (share_requested || bucket->current != bucket->base ||
	     (shard->owner->weights->len > 1 &&
	      needs_home_choice(homes, ctx, bucket->base, OVERLOAD_START_PERMILLE)))) {
		assign_share(shard, ctx, b);
		return true;
	}
	return false;
}

static void review_assignment(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	struct shard_lead *lead = shard->lead;
	const GArray *weights = shard->owner->weights;
	uint32_t current[BUCKETS_PER_SHARD];
	bool changed = false;

	for (uint32_t b = 0; b < BUCKETS_PER_SHARD; b++)
		current[b] = shard->buckets[b].current;
	if (weights->len)
		bucket_assign(shard->index, (const struct weighted_target *)weights->data,
			      weights->len, current);
	shard->epoch++;
	for (uint32_t b = 0; b < BUCKETS_PER_SHARD; b++)
		changed |= review_bucket(homes, ctx, shard, b, current[b]);
	if (!changed)
		shard->epoch--;
	lead->share_requested = 0;
	lead->weights_version = shard->owner->weights_version;
	lead->targets_version = homes->targets_version;
	lead->next_review = ts_add_ms(ctx->now, REVIEW_INTERVAL_MS);
}

void assign_start(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	struct shard_lead *lead = shard->lead;

	for (uint32_t b = 0; b < BUCKETS_PER_SHARD; b++) {
		lead->changed[b] = shard->epoch;
		lead->base_seen_ms[b] = ts_to_ms(ctx->now);
		if (shard->buckets[b].mode == BUCKET_SHARED)
			lead->pending |= 1ULL << b;
	}
	review_assignment(homes, ctx, shard);
}

static void announce(struct homes *homes, struct ctx *ctx, struct shard *shard,
		     struct shard_peer *peer)
{
	struct encoded_table table;
	peer_msg msg = { .type = PEER_SHARD_ANNOUNCE };

	msg.peer_msg_u.announce = (peer_shard_announce){
		.shard = shard_header(shard),
		.since = peer->acked,
		.certain = !shard->lead->incomplete,
		.buckets = table_encode(homes, shard, peer->acked, &table),
	};
	peer->announce_call = call_make(homes, ctx,
					(struct call){
						.kind = CALL_ANNOUNCE,
						.dst = peer->id,
						.addr = shard->owner->addr,
						.index = shard->index,
						.term = shard->term,
						.epoch = shard->epoch,
					},
					CALL_TIMEOUT_MS, CALL_TRIES, &msg);
}

/* Whether a change need not wait for the member: its lease expired, so it cannot route by it. */
static bool peer_cannot_route(const struct homes *homes, const struct ctx *ctx,
			      const struct shard_peer *peer)
{
	return homes->majority && peer->silent &&
	       ts_diff_ms(ctx->now, peer->silent_since) >= LEASE_MARGIN_MS;
}

static void update_pending(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	struct shard_lead *lead = shard->lead;
	uint32_t acked = shard->epoch;

	/* Lost members may be on a partition's other side and route by old buckets for a while. */
	if (!lead->pending || (homes->lost_members->len && !homes->majority))
		return;
	for (guint i = 0; i < lead->peers->len; i++) {
		const struct shard_peer *peer = &g_array_index(lead->peers, struct shard_peer, i);

		if (!peer_cannot_route(homes, ctx, peer))
			acked = MIN(acked, peer->acked);
	}
	for (uint32_t b = 0; b < BUCKETS_PER_SHARD; b++)
		if (lead->changed[b] <= acked)
			lead->pending &= ~(1ULL << b);
}

void assign_announced(struct homes *homes, struct ctx *ctx, struct shard *shard,
		      const struct call *call, const peer_msg *msg)
{
	struct shard_peer *peer = lead_peer(shard, call->dst);
	const peer_shard_ack *ack;

	if (shard->role != SHARD_HOME || call->term != shard->term || !peer)
		return;
	peer->announce_call = 0;
	if (!msg || msg->type != PEER_SHARD_ACK)
		return;
	ack = &msg->peer_msg_u.ack;
	shard_observe(homes, ctx, shard, &ack->shard);
	if (shard->role != SHARD_HOME || ack->shard.term != shard->term ||
	    ack->shard.home != shard->home || ack->shard.epoch > shard->epoch)
		return;
	peer->acked = ack->shard.epoch;
	for (u_int i = 0; i < ack->recent.recent_len; i++)
		pin_merge(homes, ctx, shard, &ack->recent.recent_val[i]);
	update_pending(homes, ctx, shard);
}

void assign_timer(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	struct shard_lead *lead = shard->lead;

	if (shard->role != SHARD_HOME || !shard_acting(homes, ctx, shard))
		return;
	if (lead->share_requested || lead->weights_version != shard->owner->weights_version ||
	    lead->targets_version != homes->targets_version ||
	    ts_cmp(ctx->now, lead->next_review) >= 0)
		review_assignment(homes, ctx, shard);
	if (lead->announced_certain != !lead->incomplete) {
		lead->announced_certain = !lead->incomplete;
		shard->epoch++;
	}
	for (guint i = 0; i < lead->peers->len; i++) {
		struct shard_peer *peer = &g_array_index(lead->peers, struct shard_peer, i);

		if (peer->acked < shard->epoch && !peer->announce_call)
			announce(homes, ctx, shard, peer);
	}
	update_pending(homes, ctx, shard);
}

struct bucket_use {
	uint32_t elsewhere;   /* flows at a target other than base */
	uint32_t not_current; /* of these, at a target other than current */
	uint32_t at_base;
};

static struct bucket_use count_use(struct homes *homes, struct ctx *ctx, struct shard *shard,
				   uint32_t b)
{
	const struct bucket *bucket = &shard->buckets[b];
	uint32_t now_ms = flowtab_ms(homes->tab, ctx->now);
	struct bucket_use use = { 0 };
	struct flow *flow;
	size_t pos = 0;

	while ((flow = flowtab_next(homes->tab, bucket_number(shard, b), &pos))) {
		if (!flow_of_shard(homes, shard, flow) || flow_expired(flow, now_ms, homes))
			continue;
		if (flow->target == bucket->base) {
			use.at_base++;
			continue;
		}
		use.elsewhere++;
		use.not_current += flow->target != bucket->current;
	}
	return use;
}

/* Target at which a shared bucket may become single, or TARGET_NONE if it must stay shared. */
static uint32_t settle_target(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t b)
{
	const struct bucket *bucket = &shard->buckets[b];
	int64_t idle = ts_to_ms(ctx->now) - shard->lead->base_seen_ms[b];
	bool gone = target_config_state(homes, bucket->base) != TARGET_CONFIGURED;
	struct bucket_use use;

	if (needs_home_choice(homes, ctx, bucket->current, OVERLOAD_END_PERMILLE))
		return TARGET_NONE;
	use = count_use(homes, ctx, shard, b);
	if (bucket->current == bucket->base)
		return use.elsewhere ? TARGET_NONE : bucket->base;
	if (use.not_current)
		return TARGET_NONE;
	if (gone ? idle >= MISSING_BASE_SETTLE_MS
		 : !use.at_base && idle >= shard->owner->svc->idle_timeout_ms)
		return bucket->current;
	return TARGET_NONE;
}

void assign_settle(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	struct shard_lead *lead = shard->lead;
	uint32_t target;

	if (!shard_acting(homes, ctx, shard) || lead_uncertain(shard, ctx))
		return;
	for (uint32_t b = 0; b < BUCKETS_PER_SHARD; b++) {
		struct bucket *bucket = &shard->buckets[b];

		if (bucket->mode != BUCKET_SHARED || lead->pending & 1ULL << b ||
		    ts_to_ms(ctx->now) - lead->shared_ms[b] < SHARED_BUCKET_MIN_MS)
			continue;
		target = settle_target(homes, ctx, shard, b);
		if (target == TARGET_NONE)
			continue;
		if (bucket->base != target)
			shard->base_changed_ms[b] = flowtab_ms(homes->tab, ctx->now);
		bucket->base = target;
		bucket->mode = BUCKET_SINGLE;
		lead->changed[b] = ++shard->epoch;
		ctx->counters->settles++;
	}
}
