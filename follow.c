#include "route.h"

#define REFRESH_MESSAGES 4 /* in one visit of a shard; a later visit continues */

static peer_shard fence_header(const struct shard *shard)
{
	peer_shard header = shard_header(shard);

	header.term = shard->fence_term;
	header.home = shard->fence_home;
	header.epoch = 0;
	return header;
}

static void collect_recent(struct homes *homes, struct ctx *ctx, struct shard *shard,
			   const peer_shard_announce *ann, GArray *pins)
{
	for (u_int i = 0; i < ann->buckets.buckets.buckets_len; i++) {
		u_int word = ann->buckets.buckets.buckets_val[i];
		struct flow *flow;
		size_t pos = 0;

		if (!table_shared(word))
			continue;
		while (pins->len < ACK_PINS_MAX &&
		       (flow = flowtab_next(homes->tab, bucket_number(shard, table_index(word)),
					    &pos))) {
			peer_pin pin;

			if (!flow_recent(homes, ctx, flow) || !flow_of_shard(homes, shard, flow))
				continue;
			pin = pin_encode(homes, ctx, flow);
			g_array_append_val(pins, pin);
		}
	}
}

static void send_ack(struct ctx *ctx, uint32_t dst, uint32_t xid, peer_shard header, GArray *pins)
{
	peer_msg msg = { .type = PEER_SHARD_ACK };

	msg.peer_msg_u.ack.shard = header;
	if (pins)
		msg.peer_msg_u.ack.recent.recent_len = pins->len;
	if (pins)
		msg.peer_msg_u.ack.recent.recent_val = (peer_pin *)pins->data;
	peer_reply(ctx, dst, xid, &msg);
}

/* Applies an announcement of the term in force. Returns false when an earlier one was missed. */
static bool apply_announce(struct homes *homes, struct ctx *ctx, struct shard *shard,
			   const peer_shard_announce *ann)
{
	bool same = shard->term == ann->shard.term && shard->home == ann->shard.home;
	uint32_t now_ms = flowtab_ms(homes->tab, ctx->now);

	if (same && ann->shard.epoch <= shard->epoch)
		return true; /* repeated: acknowledged again, with the recent flows */
	if (same ? ann->since > shard->epoch : ann->since)
		return false;
	if (!table_apply(homes, ctx, shard, &ann->buckets))
		return false;
	for (uint32_t b = 0; !same && b < BUCKETS_PER_SHARD; b++)
		shard->confirm_before_ms[b] = now_ms;
	for (u_int i = 0; same && i < ann->buckets.buckets.buckets_len; i++)
		shard->confirm_before_ms[table_index(ann->buckets.buckets.buckets_val[i])] = now_ms;
	shard->term = ann->shard.term;
	shard->home = ann->shard.home;
	shard->epoch = ann->shard.epoch;
	if (!ann->certain)
		shard->valid = false;
	return true;
}

void follow_announce(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
		     uint32_t xid, const peer_shard_announce *ann)
{
	int cmp = shard_observe(homes, ctx, shard, &ann->shard);
	peer_shard header;
	GArray *pins;

	if (cmp < 0 || src != ann->shard.home) {
		ctx->counters->peer_stale_term++;
		send_ack(ctx, src, xid, fence_header(shard), NULL);
		return;
	}
	if (shard->role != SHARD_FOLLOWER)
		return;
	if (cmp > 0) {
		/* This instance answered no pull of that term, so the home may not wait for it. */
		shard->valid = false;
		shard->next_sync = ctx->now;
	}
	if (homes->leaving && shard->home == members_self(homes->mem))
		ctx->counters->handovers++;
	if (!apply_announce(homes, ctx, shard, ann)) {
		header = fence_header(shard);
		if (shard->term == header.term && shard->home == header.home)
			header.epoch = shard->epoch;
		send_ack(ctx, src, xid, header, NULL);
		return;
	}
	pins = g_array_new(FALSE, FALSE, sizeof(peer_pin));
	collect_recent(homes, ctx, shard, ann, pins);
	send_ack(ctx, src, xid, shard_header(shard), pins);
	g_array_unref(pins);
}

/* @tables: with the buckets changed after epoch @since, 0 for all. */
static void send_state(struct homes *homes, struct ctx *ctx, const struct shard *shard,
		       uint32_t dst, uint32_t xid, const peer_shard_state *proto, bool tables,
		       uint32_t since)
{
	struct encoded_table table;
	peer_msg msg = { .type = PEER_SHARD_STATE };

	msg.peer_msg_u.state = *proto;
	if (tables)
		msg.peer_msg_u.state.buckets = table_encode(homes, shard, since, &table);
	peer_reply(ctx, dst, xid, &msg);
}

static void refuse_state(struct homes *homes, struct ctx *ctx, const struct shard *shard,
			 uint32_t dst, uint32_t xid)
{
	send_state(homes, ctx, shard, dst, xid, &(peer_shard_state){ .shard = fence_header(shard) },
		   false, 0);
}

/* The home's reply to a member that requests only the buckets. */
static void answer_sync(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
			uint32_t xid, const peer_shard_pull *pull)
{
	struct shard_peer *peer = lead_peer(shard, src);
	bool same = pull->known_term == shard->term && pull->shard.home == shard->home;

	if (!shard_acting(homes, ctx, shard) || shard->lead->incomplete || !peer) {
		refuse_state(homes, ctx, shard, src, xid);
		return;
	}
	/* The member is in contact and may route by the reply, so changes wait for it again. */
	peer->silent = false;
	send_state(homes, ctx, shard, src, xid,
		   &(peer_shard_state){ .shard = shard_header(shard), .complete = true }, true,
		   same ? pull->shard.epoch : 0);
}

void follow_pull(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
		 uint32_t xid, const peer_shard_pull *pull)
{
	uint32_t cursor = pull->cursor;
	peer_shard_state state;
	GArray *pins;

	if (!pull->shard.term) {
		answer_sync(homes, ctx, shard, src, xid, pull);
		return;
	}
	if (src != pull->shard.home || shard_observe(homes, ctx, shard, &pull->shard) < 0) {
		ctx->counters->peer_stale_term++;
		refuse_state(homes, ctx, shard, src, xid);
		return;
	}
	pins = g_array_new(FALSE, FALSE, sizeof(peer_pin));
	pins_collect(homes, ctx, shard, &cursor, PINS_PER_MESSAGE, false, pins);
	state = (peer_shard_state){
		.shard = shard_header(shard),
		.next = cursor,
		.pins = { pins->len, (peer_pin *)pins->data },
	};
	send_state(homes, ctx, shard, src, xid, &state, shard->known && !pull->cursor, 0);
	if (!cursor)
		shard->handover_pending = false;
	g_array_unref(pins);
}

void follow_synced(struct homes *homes, struct ctx *ctx, struct shard *shard, const peer_msg *msg)
{
	const peer_shard_state *state;
	bool newer;

	if (!msg || msg->type != PEER_SHARD_STATE || shard->role != SHARD_FOLLOWER)
		return;
	state = &msg->peer_msg_u.state;
	if (shard_observe(homes, ctx, shard, &state->shard) < 0 || !state->complete)
		return;
	newer = shard->term != state->shard.term || shard->home != state->shard.home ||
		shard->epoch < state->shard.epoch;
	if (newer && !table_apply(homes, ctx, shard, &state->buckets))
		return;
	if (newer) {
		for (uint32_t b = 0; b < BUCKETS_PER_SHARD; b++)
			shard->confirm_before_ms[b] = flowtab_ms(homes->tab, ctx->now);
		shard->term = state->shard.term;
		shard->home = state->shard.home;
		shard->epoch = state->shard.epoch;
	}
	shard->valid = members_lease_fresh(homes->mem, ctx->now) && !homes->maybe_partitioned;
}

void follow_timer(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t *budget)
{
	peer_msg msg = { .type = PEER_SHARD_PULL };
	uint32_t home;

	if (shard->role != SHARD_FOLLOWER || shard->valid || homes->maybe_partitioned ||
	    !homes->fresh || !*budget || ts_cmp(ctx->now, shard->next_sync) < 0)
		return;
	home = shard_home(homes, ctx, shard);
	if (home == MEMBER_NONE)
		return;
	(*budget)--;
	shard->next_sync = ts_add_ms(ctx->now, SYNC_INTERVAL_MS);
	msg.peer_msg_u.pull.shard = shard_header(shard);
	msg.peer_msg_u.pull.known_term = shard->term;
	msg.peer_msg_u.pull.shard.term = 0;
	call_make(homes, ctx,
		  (struct call){
			  .kind = CALL_SYNC,
			  .dst = home,
			  .addr = shard->owner->addr,
			  .index = shard->index,
		  },
		  CALL_TIMEOUT_MS, 2, &msg);
}

/* Pins of flows in shared buckets used within REFRESH_INTERVAL_MS, from the shard's cursor on. */
static void collect_used(struct homes *homes, struct ctx *ctx, struct shard *shard, GArray *pins)
{
	uint32_t now_ms = flowtab_ms(homes->tab, ctx->now);
	uint32_t b = shard->refresh_cursor >> 24;
	size_t pos = shard->refresh_cursor & 0xffffff;

	for (; b < BUCKETS_PER_SHARD; b++, pos = 0) {
		struct flow *flow;

		if (shard->buckets[b].mode != BUCKET_SHARED)
			continue;
		while (pins->len < PINS_PER_MESSAGE &&
		       (flow = flowtab_next(homes->tab, bucket_number(shard, b), &pos))) {
			peer_pin pin;

			if (!flow_trusted(flow) || now_ms - flow->used_ms > REFRESH_INTERVAL_MS ||
			    !flow_of_shard(homes, shard, flow))
				continue;
			pin = pin_encode(homes, ctx, flow);
			g_array_append_val(pins, pin);
		}
		if (pins->len >= PINS_PER_MESSAGE) {
			shard->refresh_cursor = b << 24 | (uint32_t)pos;
			return;
		}
	}
	shard->refresh_cursor = 0;
}

void follow_refresh(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	uint32_t home = shard_home(homes, ctx, shard);

	if (home == MEMBER_NONE ||
	    (!shard->refresh_cursor && ts_cmp(ctx->now, shard->next_refresh) < 0))
		return;
	for (int i = 0; i < REFRESH_MESSAGES; i++) {
		GArray *pins = g_array_new(FALSE, FALSE, sizeof(peer_pin));
		peer_msg msg = { .type = PEER_PIN_BATCH };

		collect_used(homes, ctx, shard, pins);
		msg.peer_msg_u.pins = (peer_pin_batch){
			.shard = shard_header(shard),
			.refresh = true,
			.pins = { pins->len, (peer_pin *)pins->data },
		};
		if (pins->len)
			actions_add_peer(ctx->out,
					 (struct action){
						 .type = ACTION_PEER_SEND,
						 .dst = home,
					 },
					 &msg);
		g_array_unref(pins);
		if (!shard->refresh_cursor)
			break;
	}
	shard->next_refresh = ts_add_ms(ctx->now, REFRESH_INTERVAL_MS);
}

static void apply_refresh(struct homes *homes, struct ctx *ctx, struct shard *shard,
			  const peer_pin *pin)
{
	struct flow *flow = flowtab_find(homes->tab, pin->flow);
	uint32_t target = pin_target(homes, shard, pin);
	uint32_t b = bucket_of(pin->flow) % BUCKETS_PER_SHARD;

	if (target == TARGET_NONE || shard_of(pin->flow) != shard->index)
		return;
	if (!flow && (pin_flags(pin) & FLOW_CLOSED))
		return;
	if (target == shard->buckets[b].base)
		shard->lead->base_seen_ms[b] = ts_to_ms(ctx->now);
	pin_merge(homes, ctx, shard, pin);
}

/*
 * Applies a pin from the home. One with FLOW_HELD is a copy for the backup and stored. One with
 * FLOW_CLOSED removes the entry of another opening. Any other one moves a flow that is not open
 * yet: its entry is changed, and its opening sent to the new target if it was saved here.
 */
static void apply_pin(struct homes *homes, struct ctx *ctx, struct shard *shard,
		      const peer_pin *pin)
{
	struct flow *flow = flowtab_find(homes->tab, pin->flow);
	uint32_t target = pin_target(homes, shard, pin);
	const struct saved_opening *saved;

	if (pin_flags(pin) & FLOW_CLOSED) {
		if (flow && flow->opening_id != pin->opening_id)
			flow_remove(homes, ctx, flow);
		return;
	}
	if (target == TARGET_NONE || shard_of(pin->flow) != shard->index)
		return;
	if (pin_flags(pin) & FLOW_HELD) {
		flow_set(homes, ctx, shard, pin->flow, target, pin->opening_id, pin_flags(pin));
		return;
	}
	saved = opening_saved(homes, ctx, pin->flow, pin->opening_id);
	if (!flow && !saved)
		return;
	flow = flow_set(homes, ctx, shard, pin->flow, target, pin->opening_id, FLOW_HELD);
	if (flow && saved)
		route_repeat_opening(homes, ctx, flow, saved);
}

void follow_pins(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
		 uint32_t xid, const peer_pin_batch *batch)
{
	if (batch->refresh) {
		for (u_int i = 0; shard->role == SHARD_HOME && i < batch->pins.pins_len; i++)
			apply_refresh(homes, ctx, shard, &batch->pins.pins_val[i]);
		return;
	}
	if (src != batch->shard.home || shard_observe(homes, ctx, shard, &batch->shard) < 0) {
		ctx->counters->peer_stale_term++;
		send_ack(ctx, src, xid, fence_header(shard), NULL);
		return;
	}
	if (shard->role != SHARD_FOLLOWER)
		return;
	for (u_int i = 0; i < batch->pins.pins_len; i++)
		apply_pin(homes, ctx, shard, &batch->pins.pins_val[i]);
	send_ack(ctx, src, xid, batch->shard, NULL);
}

void follow_unknown(struct ctx *ctx, uint32_t src, uint32_t xid, const peer_msg *msg)
{
	peer_msg out = { .type = PEER_SHARD_ACK };

	switch (msg->type) {
	case PEER_SHARD_ANNOUNCE:
		out.peer_msg_u.ack.shard = msg->peer_msg_u.announce.shard;
		break;
	case PEER_PIN_BATCH:
		out.peer_msg_u.ack.shard = msg->peer_msg_u.pins.shard;
		break;
	case PEER_SHARD_PULL:
		out.type = PEER_SHARD_STATE;
		out.peer_msg_u.state = (peer_shard_state){ .shard = msg->peer_msg_u.pull.shard };
		break;
	case PEER_PASS:
		out.type = PEER_PASS_RESULT;
		out.peer_msg_u.pass_result = (peer_pass_result){
			.shard = msg->peer_msg_u.pass.shard,
			.verdict = PEER_VERDICT_NOT_HOME,
		};
		break;
	case PEER_ANSWER_NOTE:
		out.type = PEER_PASS_RESULT;
		out.peer_msg_u.pass_result = (peer_pass_result){
			.shard = msg->peer_msg_u.note.shard,
			.verdict = PEER_VERDICT_NOT_HOME,
		};
		break;
	default:
		return;
	}
	peer_reply(ctx, src, xid, &out);
}
