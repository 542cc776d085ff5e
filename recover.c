#include <netinet/in.h>

#include "shard.h"

int term_cmp(uint32_t term_a, uint32_t home_a, uint32_t term_b, uint32_t home_b)
{
	if (term_a != term_b)
		return term_a < term_b ? -1 : 1;
	if (home_a != home_b)
		return home_a < home_b ? -1 : 1;
	return 0;
}

void shard_give_up(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	(void)homes;
	shard->valid = false;
	shard->owner->busy_until = ts_add_ms(ctx->now, BUSY_SERVICE_MS);
	shard->next_sync = ctx->now;
	if (shard->role == SHARD_FOLLOWER)
		return;
	shard->handover_pending |= shard->role == SHARD_HOME;
	shard->role = SHARD_FOLLOWER;
	g_array_unref(shard->lead->peers);
	g_free(shard->lead);
	shard->lead = NULL;
}

int shard_observe(struct homes *homes, struct ctx *ctx, struct shard *shard,
		  const peer_shard *header)
{
	int cmp = term_cmp(header->term, header->home, shard->fence_term, shard->fence_home);

	if (cmp <= 0)
		return cmp;
	shard->fence_term = header->term;
	shard->fence_home = header->home;
	if (shard->role != SHARD_FOLLOWER) {
		shard_give_up(homes, ctx, shard);
		/* Two members that both rank first would otherwise keep fencing each other. */
		shard->reclaim_after = ts_add_ms(ctx->now, RECLAIM_DELAY_MS);
	}
	return cmp;
}

static void recover_start(struct homes *homes, struct shard *shard)
{
	struct shard_lead *lead = g_new0(struct shard_lead, 1);

	lead->term = MAX(shard->term, shard->fence_term) + 1;
	lead->peers = g_array_new(FALSE, TRUE, sizeof(struct shard_peer));
	lead->table_term = shard->term;
	lead->table_home = shard->home;
	lead->table_epoch = shard->epoch;
	shard->lead = lead;
	shard->role = SHARD_RECOVERING;
	shard->fence_term = lead->term;
	shard->fence_home = members_self(homes->mem);
}

static void pull(struct homes *homes, struct ctx *ctx, struct shard *shard, struct shard_peer *peer,
		 uint32_t cursor)
{
	peer_msg msg = { .type = PEER_SHARD_PULL };

	msg.peer_msg_u.pull.shard = shard_header(shard);
	msg.peer_msg_u.pull.shard.term = shard->lead->term;
	msg.peer_msg_u.pull.shard.home = members_self(homes->mem);
	msg.peer_msg_u.pull.cursor = cursor;
	peer->pull_call = call_make(homes, ctx,
				    (struct call){
					    .kind = CALL_PULL,
					    .dst = peer->id,
					    .addr = shard->owner->addr,
					    .index = shard->index,
					    .term = shard->lead->term,
					    .cursor = cursor,
				    },
				    CALL_TIMEOUT_MS, CALL_TRIES, &msg);
}

/* Removes peers that are no longer present; pins that they had not reported may be lost. */
static void remove_lost_peers(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	struct shard_lead *lead = shard->lead;

	for (guint i = lead->peers->len; i-- > 0;) {
		struct shard_peer *peer = &g_array_index(lead->peers, struct shard_peer, i);
		bool present = false;

		for (guint k = 0; k < homes->peers->len && !present; k++)
			present = g_array_index(homes->peers, uint32_t, k) == peer->id;
		if (present)
			continue;
		if (!peer->answered)
			lead->lost++;
		if (lead->lost >= 2)
			lead->uncertain_until =
				ts_add_ms(ctx->now, shard->owner->svc->idle_timeout_ms);
		g_array_remove_index(lead->peers, i);
		lead->copying = true;
		lead->copy_cursor = 0;
	}
}

static void update_peers(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	struct shard_lead *lead = shard->lead;
	/* Between rare visits, a peer's lease may have been renewed and expired again. */
	bool gap = ts_diff_ms(ctx->now, lead->peers_updated) > 4 * TIMER_INTERVAL_MS;

	lead->peers_updated = ctx->now;
	remove_lost_peers(homes, ctx, shard);
	for (guint i = 0; i < homes->peers->len; i++) {
		uint32_t id = g_array_index(homes->peers, uint32_t, i);
		enum member_state state = members_state(homes->mem, id);
		bool silent = !members_may_route(homes->mem, id, ctx->now);
		struct shard_peer *peer = lead_peer(shard, id);

		if (!peer) {
			g_array_append_val(lead->peers, ((struct shard_peer){ .id = id }));
			peer = &g_array_index(lead->peers, struct shard_peer, lead->peers->len - 1);
		}
		if (state != peer->state && state == MEMBER_JOINING) {
			/* A new process has none of the pins and copies of the former one. */
			peer->answered = false;
			peer->acked = 0;
		}
		if (state != peer->state) {
			lead->copying = true;
			lead->copy_cursor = 0;
		}
		peer->state = state;
		if (silent && (!peer->silent || gap))
			peer->silent_since = ctx->now;
		peer->silent = silent;
		if (!peer->answered && !peer->pull_call)
			pull(homes, ctx, shard, peer, 0);
	}
}

static bool peer_lease_expired(const struct ctx *ctx, const struct shard_peer *peer)
{
	return peer->silent && ts_diff_ms(ctx->now, peer->silent_since) >= LEASE_MARGIN_MS;
}

static void update_completeness(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	struct shard_lead *lead = shard->lead;
	uint32_t missing = 0;
	uint32_t silent = 0;
	bool waiting = false;

	for (guint i = 0; i < lead->peers->len; i++) {
		const struct shard_peer *peer = &g_array_index(lead->peers, struct shard_peer, i);

		silent += peer->silent;
		if (peer->answered)
			continue;
		if (peer_lease_expired(ctx, peer))
			missing++;
		else
			waiting = true;
	}
	/* One silent member alone opens no flows; two may be the other side of a partition. */
	lead->split_possible = silent >= 2;
	if (homes->maybe_partitioned && !lead->was_partitioned)
		lead->partition_start = ctx->now;
	lead->was_partitioned |= homes->maybe_partitioned;
	/*
	 * Two members hold each pin, so one member that does not report loses none. Without a
	 * majority, the others may have another home already.
	 */
	lead->incomplete = homes->maybe_partitioned || !homes->majority || waiting ||
			   (missing && lead->lost + missing >= 2);
}

bool lead_uncertain(const struct shard *shard, const struct ctx *ctx)
{
	return shard->lead->incomplete || ts_cmp(ctx->now, shard->lead->uncertain_until) < 0;
}

static void reset_pin_flags(struct homes *homes, struct shard *shard)
{
	for (uint32_t b = 0; b < BUCKETS_PER_SHARD; b++) {
		struct flow *flow;
		size_t pos = 0;

		while ((flow = flowtab_next(homes->tab, bucket_number(shard, b), &pos))) {
			if (!flow_of_shard(homes, shard, flow))
				continue;
			flow->flags &= (uint8_t) ~(FLOW_BASE | FLOW_HELD);
			flow->flags |=
				flow->target == shard->buckets[b].base ? FLOW_BASE : FLOW_HELD;
		}
	}
}

static void recover_complete(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	struct shard_lead *lead = shard->lead;
	struct timespec since = ts_add_ms(ctx->now, -(int64_t)LOSS_WINDOW_MS);

	for (guint i = 0; i < lead->peers->len; i++) {
		const struct shard_peer *peer = &g_array_index(lead->peers, struct shard_peer, i);

		if (!peer->answered && !peer_lease_expired(ctx, peer))
			return;
	}
	lead->lost += members_lost_since(homes->mem, since);
	if (lead->lost >= 2)
		lead->uncertain_until = ts_add_ms(ctx->now, shard->owner->svc->idle_timeout_ms);
	if (shard->home != MEMBER_NONE && members_state(homes->mem, shard->home) == MEMBER_DEAD)
		ctx->counters->recoveries++;
	shard->role = SHARD_HOME;
	shard->known = true;
	shard->term = lead->term;
	shard->home = members_self(homes->mem);
	shard->epoch = 1;
	reset_pin_flags(homes, shard);
	lead->copying = true;
	update_completeness(homes, ctx, shard);
	assign_start(homes, ctx, shard);
}

uint32_t shard_backup(const struct homes *homes, const struct ctx *ctx, const struct shard *shard,
		      uint32_t skip)
{
	uint32_t self = members_self(homes->mem);

	for (uint32_t rank = 0; rank <= homes->peers->len; rank++) {
		uint32_t id = members_home(homes->mem, shard->owner->addr, shard->index, rank);

		if (id == MEMBER_NONE)
			break;
		if (id != self && id != skip && members_may_route(homes->mem, id, ctx->now))
			return id;
	}
	return MEMBER_NONE;
}

static void copy_pins(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	struct shard_lead *lead = shard->lead;
	uint32_t cursor = lead->copy_cursor;
	peer_msg msg = { .type = PEER_PIN_BATCH };
	uint32_t backup;
	GArray *pins;

	if (!lead->copying || lead->copy_call)
		return;
	/* shard_backup() ranks all members: too costly for each shard in each timer. */
	backup = shard_backup(homes, ctx, shard, MEMBER_NONE);
	pins = g_array_new(FALSE, FALSE, sizeof(peer_pin));
	if (backup != MEMBER_NONE)
		pins_collect(homes, ctx, shard, &cursor, PINS_PER_MESSAGE, true, pins);
	if (pins->len) {
		msg.peer_msg_u.pins = (peer_pin_batch){
			.shard = shard_header(shard),
			.pins = { pins->len, (peer_pin *)pins->data },
		};
		lead->copy_call = call_make(homes, ctx,
					    (struct call){
						    .kind = CALL_COPY,
						    .dst = backup,
						    .addr = shard->owner->addr,
						    .index = shard->index,
						    .term = shard->term,
						    .cursor = cursor,
					    },
					    CALL_TIMEOUT_MS, CALL_TRIES, &msg);
	} else {
		lead->copying = false;
	}
	g_array_unref(pins);
}

void recover_copied(struct homes *homes, struct ctx *ctx, struct shard *shard,
		    const struct call *call, const peer_msg *msg)
{
	struct shard_lead *lead = shard->lead;

	(void)homes;
	(void)ctx;
	if (shard->role != SHARD_HOME || call->term != shard->term)
		return;
	lead->copy_call = 0;
	if (!msg)
		return;
	lead->copy_cursor = call->cursor;
	if (!call->cursor)
		lead->copying = false;
}

void recover_timer(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	if (shard->role == SHARD_FOLLOWER && shard->elected && !homes->leaving && homes->fresh &&
	    ts_cmp(ctx->now, shard->reclaim_after) >= 0)
		recover_start(homes, shard);
	else if (shard->role == SHARD_RECOVERING && !shard->elected)
		shard_give_up(homes, ctx, shard);
	if (shard->role == SHARD_FOLLOWER)
		return;
	update_peers(homes, ctx, shard);
	if (shard->role == SHARD_RECOVERING) {
		recover_complete(homes, ctx, shard);
		return;
	}
	update_completeness(homes, ctx, shard);
	copy_pins(homes, ctx, shard);
}

/* Makes a bucket shared when another home has pinned one of its flows off its base. */
static void share_pinned(struct homes *homes, struct ctx *ctx, struct shard *shard,
			 const peer_pin *pin)
{
	uint32_t b = bucket_of(pin->flow) % BUCKETS_PER_SHARD;
	const struct bucket *bucket = &shard->buckets[b];
	const struct flow *flow = flowtab_find(homes->tab, pin->flow);

	/* Not left to the next review: members that sync before it would get a single bucket. */
	if (flow && bucket->mode == BUCKET_SINGLE && flow->target != bucket->base) {
		shard->epoch++;
		assign_share(shard, ctx, b);
	}
}

/*
 * Removes flows that no target accepted here once a member of a partition's other side has reported
 * its flows: that side may have opened them at other targets. One accepted later is pinned then.
 */
static void remove_unaccepted(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	uint32_t now_ms = flowtab_ms(homes->tab, ctx->now);
	int64_t partition_ms =
		ts_diff_ms(ctx->now, shard->lead->partition_start) + MEMBER_DEAD_AFTER_MS;

	if (!shard->lead->was_partitioned)
		return;
	for (uint32_t b = 0; b < BUCKETS_PER_SHARD; b++) {
		struct flow *flow;
		size_t pos = 0;

		while ((flow = flowtab_next(homes->tab, bucket_number(shard, b), &pos)))
			if (!flow_trusted(flow) && flow_of_shard(homes, shard, flow) &&
			    flow_ticks_age_ms(flow->opened, now_ms) <= partition_ms)
				flow_remove(homes, ctx, flow);
	}
}

void recover_pulled(struct homes *homes, struct ctx *ctx, struct shard *shard,
		    const struct call *call, const peer_msg *msg)
{
	struct shard_lead *lead = shard->lead;
	struct shard_peer *peer = lead_peer(shard, call->dst);
	const peer_shard_state *state;

	if (!lead || lead->term != call->term || !peer)
		return;
	peer->pull_call = 0;
	if (!msg || msg->type != PEER_SHARD_STATE)
		return;
	state = &msg->peer_msg_u.state;
	if (shard_observe(homes, ctx, shard, &state->shard) > 0)
		return;
	if (shard->role == SHARD_RECOVERING && state->buckets.buckets.buckets_len) {
		int cmp = term_cmp(state->shard.term, state->shard.home, lead->table_term,
				   lead->table_home);

		if (cmp > 0 || (cmp == 0 && state->shard.epoch > lead->table_epoch)) {
			table_apply(homes, ctx, shard, &state->buckets);
			lead->table_term = state->shard.term;
			lead->table_home = state->shard.home;
			lead->table_epoch = state->shard.epoch;
		}
	}
	for (u_int i = 0; i < state->pins.pins_len; i++) {
		pin_merge(homes, ctx, shard, &state->pins.pins_val[i]);
		if (shard->role == SHARD_HOME)
			share_pinned(homes, ctx, shard, &state->pins.pins_val[i]);
	}
	if (state->next) {
		pull(homes, ctx, shard, peer, state->next);
		return;
	}
	peer->answered = true;
	if (shard->role == SHARD_RECOVERING)
		recover_complete(homes, ctx, shard);
	else if (shard->owner->addr.proto == IPPROTO_TCP)
		remove_unaccepted(homes, ctx, shard);
}
