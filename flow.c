#include "shard.h"

enum target_config_state target_config_state(const struct homes *homes, uint32_t target)
{
	struct service *svc;
	const struct target_config *tc = config_target_by_index(homes->cfg, target, &svc);

	if (!tc)
		return TARGET_UNCONFIGURED;
	return config_withdrawn(homes->cfg, svc->org, tc->dc) ? TARGET_WITHDRAWN
							      : TARGET_CONFIGURED;
}

bool target_draining(const struct homes *homes, uint32_t target)
{
	const struct target_config *tc = config_target_by_index(homes->cfg, target, NULL);

	return tc && tc->draining;
}

static void clear_flow_counted(struct homes *homes, struct ctx *ctx, struct flow *flow)
{
	if (flow->flags & FLOW_COUNTED)
		target_closed(homes->tgs, ctx, flow->target);
	flow->flags &= (uint8_t)~FLOW_COUNTED;
}

struct flow *flow_set(struct homes *homes, struct ctx *ctx, const struct shard *shard,
		      uint64_t hash, uint32_t target, uint32_t opening_id, uint8_t flags)
{
	const struct service *svc = shard->owner->svc;
	const struct organisation *org = config_organisation(homes->cfg, svc->org);
	uint32_t now_ms = flowtab_ms(homes->tab, ctx->now);
	struct flow *flow =
		flowtab_put(homes->tab, ctx, hash, (uint16_t)svc->org, org ? org->max_flows : 0);

	if (!flow)
		return NULL;
	if (flow->target != target ||
	    (opening_id && flow->opening_id && flow->opening_id != opening_id)) {
		clear_flow_counted(homes, ctx, flow);
		flow->flags = 0;
		flow->target = target;
		flow->opening_id = 0;
		flow->answered_ms = 0;
		flow->waiting = 0;
	}
	if (opening_id) {
		flow->opening_id = opening_id;
		flow->opened = flow_ticks(now_ms);
	}
	flow->used_ms = now_ms;
	flow->flags |= flags;
	return flow;
}

void flow_remove(struct homes *homes, struct ctx *ctx, struct flow *flow)
{
	clear_flow_counted(homes, ctx, flow);
	flowtab_remove(homes->tab, flow->hash);
}

bool flow_of_shard(const struct homes *homes, const struct shard *shard, const struct flow *flow)
{
	struct service *svc;

	return config_target_by_index(homes->cfg, flow->target, &svc) && svc == shard->owner->svc;
}

bool flow_recent(const struct homes *homes, const struct ctx *ctx, const struct flow *flow)
{
	uint32_t now_ms = flowtab_ms(homes->tab, ctx->now);

	return now_ms - flow->used_ms <= RECENT_OPENING_MS &&
	       flow_ticks_age_ms(flow->opened, now_ms) <= RECENT_OPENING_MS + 2 * FLOW_TICK_MS;
}

peer_pin pin_encode(const struct homes *homes, const struct ctx *ctx, const struct flow *flow)
{
	const struct target_config *tc = config_target_by_index(homes->cfg, flow->target, NULL);
	uint32_t age = (flowtab_ms(homes->tab, ctx->now) - flow->used_ms) / PIN_AGE_UNIT_MS;

	return (peer_pin){
		.flow = flow->hash,
		.target = {
			.ip = tc ? tc->ep.ip : 0,
			.port_flags = (tc ? (uint32_t)tc->ep.port << 16 : 0) |
				      MIN(age, PIN_AGE_MAX) << PIN_AGE_SHIFT |
				      (flow->flags & ~FLOW_COUNTED),
		},
		.opening_id = flow->opening_id,
	};
}

uint8_t pin_flags(const peer_pin *pin)
{
	return pin->target.port_flags & ((1u << PIN_AGE_SHIFT) - 1);
}

static uint32_t pin_age_ms(const peer_pin *pin)
{
	return (pin->target.port_flags >> PIN_AGE_SHIFT & PIN_AGE_MAX) * PIN_AGE_UNIT_MS;
}

uint32_t pin_target(const struct homes *homes, const struct shard *shard, const peer_pin *pin)
{
	struct endpoint ep = {
		.ip = pin->target.ip,
		.port = (uint16_t)(pin->target.port_flags >> 16),
	};
	const struct target_config *tc = config_target(homes->cfg, shard->owner->svc, ep);

	return tc ? tc->index : TARGET_NONE;
}

/*
 * Whether a received pin replaces an entry for another target. For the same opening, the target
 * that was opened or got payload takes precedence, then the held one; otherwise the later use.
 */
static bool pin_supersedes(const struct flow *flow, const peer_pin *pin, uint32_t used_age_ms)
{
	uint8_t flags = pin_flags(pin);
	bool same = !flow->opening_id || !pin->opening_id || flow->opening_id == pin->opening_id;
	bool trusted = (flags & (FLOW_ESTABLISHED | FLOW_PAYLOAD)) != 0;

	if (same && trusted != flow_trusted(flow))
		return trusted;
	if (same && (flags & FLOW_HELD) != (flow->flags & FLOW_HELD))
		return (flags & FLOW_HELD) != 0;
	return pin_age_ms(pin) < used_age_ms;
}

void pin_merge(struct homes *homes, struct ctx *ctx, struct shard *shard, const peer_pin *pin)
{
	uint32_t target = pin_target(homes, shard, pin);
	struct bucket *bucket = shard_bucket(shard, pin->flow);
	uint32_t now_ms = flowtab_ms(homes->tab, ctx->now);
	struct flow *flow = flowtab_find(homes->tab, pin->flow);
	uint8_t flags = pin_flags(pin) & (uint8_t) ~(FLOW_BASE | FLOW_HELD);
	uint32_t age = pin_age_ms(pin);

	if (target == TARGET_NONE || shard_of(pin->flow) != shard->index)
		return;
	if (flow && flow->target != target && !pin_supersedes(flow, pin, now_ms - flow->used_ms))
		return;
	if (flow && flow->target == target)
		age = MIN(age, now_ms - flow->used_ms);
	flags |= target == bucket->base ? FLOW_BASE : FLOW_HELD;
	flow = flow_set(homes, ctx, shard, pin->flow, target, pin->opening_id, flags);
	if (!flow)
		return;
	flow->used_ms = now_ms - age;
	flow->opened = flow_ticks(flow->used_ms);
}

void pins_collect(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t *cursor,
		  guint max, bool held_only, GArray *pins)
{
	uint32_t now_ms = flowtab_ms(homes->tab, ctx->now);
	uint32_t b = *cursor >> 24;
	size_t pos = *cursor & 0xffffff;

	for (; b < BUCKETS_PER_SHARD; b++, pos = 0) {
		const struct bucket *bucket = &shard->buckets[b];
		bool all = shard->base_changed_ms[b] &&
			   now_ms - shard->base_changed_ms[b] <= BASE_CHANGE_REPORT_MS;
		struct flow *flow;

		while (pins->len < max &&
		       (flow = flowtab_next(homes->tab, bucket_number(shard, b), &pos))) {
			bool held = (flow->flags & FLOW_HELD) != 0;
			peer_pin pin;

			if (!flow_of_shard(homes, shard, flow) || flow_expired(flow, now_ms, homes))
				continue;
			if (!held && (held_only || (flow->target == bucket->base && !all &&
						    !flow_recent(homes, ctx, flow))))
				continue;
			pin = pin_encode(homes, ctx, flow);
			g_array_append_val(pins, pin);
		}
		if (pins->len >= max) {
			*cursor = b << 24 | (uint32_t)pos;
			return;
		}
	}
	*cursor = 0;
}

bool flow_expired(const struct flow *flow, uint32_t now_ms, void *arg)
{
	const struct homes *homes = arg;
	uint32_t idle = now_ms - flow->used_ms;
	struct service *svc;

	/* The entry may be slightly newer than @now_ms, since the sweep runs between events. */
	if (idle > UINT32_MAX / 2)
		return false;
	if ((flow->flags & FLOW_CLOSED) && idle >= CLOSED_FLOW_KEEP_MS)
		return true;
	if (idle < UNACCEPTED_FLOW_KEEP_MS)
		return false;
	return !flow_trusted(flow) || !config_target_by_index(homes->cfg, flow->target, &svc) ||
	       idle >= svc->idle_timeout_ms;
}

static void record_close(struct homes *homes, struct ctx *ctx, struct flow *flow, uint8_t fin)
{
	const uint8_t both = FLOW_FIN_CALLER | FLOW_FIN_TARGET;

	flow->flags |= fin;
	if ((flow->flags & both) == both)
		flow->flags |= FLOW_CLOSED;
	clear_flow_counted(homes, ctx, flow);
}

void flow_used(struct homes *homes, struct ctx *ctx, struct flow *flow, const struct packet *pkt)
{
	uint32_t now_ms = flowtab_ms(homes->tab, ctx->now);

	flow->used_ms = now_ms;
	if (pkt->payload_len) {
		flow->flags |= FLOW_PAYLOAD;
		if (!flow->waiting)
			flow->waiting = flow_ticks(now_ms);
	}
	if (pkt->kind == PACKET_CLOSE)
		record_close(homes, ctx, flow, FLOW_FIN_CALLER);
	else if (pkt->kind == PACKET_CANCEL)
		record_close(homes, ctx, flow, FLOW_FIN_CALLER | FLOW_FIN_TARGET);
}

void flow_answered(struct homes *homes, struct ctx *ctx, struct flow *flow,
		   const struct answer *ans)
{
	flow->used_ms = flowtab_ms(homes->tab, ctx->now);
	flow->answered_ms = MAX(flow->used_ms, 1);
	flow->waiting = 0;
	if (ans->kind == ANSWER_CLOSE)
		record_close(homes, ctx, flow, FLOW_FIN_TARGET);
	else if (ans->kind == ANSWER_RESET)
		record_close(homes, ctx, flow, FLOW_FIN_CALLER | FLOW_FIN_TARGET);
}
