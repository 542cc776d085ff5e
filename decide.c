#include <netinet/in.h>

#include "shard.h"

static const struct weighted_target *weights(const struct shard *shard)
{
	return (const struct weighted_target *)shard->owner->weights->data;
}

/* Target of a new flow; TARGET_NONE and the decision in *why when none can take it. */
static uint32_t choose_target(struct homes *homes, struct ctx *ctx, struct shard *shard,
			      uint64_t hash, enum decision *why)
{
	const struct bucket *bucket = shard_bucket(shard, hash);
	uint32_t b = bucket_of(hash);
	bool pending = shard->lead->pending & 1ULL << b % BUCKETS_PER_SHARD;
	uint32_t alternate, target;

	*why = DECIDE_DROP;
	if (bucket->mode == BUCKET_SINGLE || (bucket->mode == BUCKET_SHARED && pending)) {
		/*
		 * Members that have not acknowledged the change still use the base. A draining base
		 * gets new flows only for DRAINING_BASE_USE_MS; then openings are dropped, and the
		 * caller repeats them.
		 */
		if (target_config_state(homes, bucket->base) == TARGET_CONFIGURED &&
		    !(pending && target_draining(homes, bucket->base) &&
		      ts_to_ms(ctx->now) - shard->lead->shared_ms[b % BUCKETS_PER_SHARD] >=
			      DRAINING_BASE_USE_MS))
			return bucket->base;
		ctx->counters->drop_no_target++;
		return TARGET_NONE;
	}
	if (bucket->mode == BUCKET_SHARED) {
		alternate = bucket_alternate(b, weights(shard), shard->owner->weights->len,
					     bucket->current);
		target = target_choose(homes->tgs, ctx, bucket->current, alternate);
		if (target != TARGET_NONE &&
		    target_config_state(homes, target) == TARGET_CONFIGURED)
			return target;
	}
	/* No member has forwarded a packet of a flow that a complete table does not have. */
	if (lead_uncertain(shard, ctx))
		ctx->counters->drop_uncertain++;
	else
		*why = DECIDE_REFUSE;
	return TARGET_NONE;
}

/*
 * Flags of a new pin. The other side of a partition may have another base for the bucket, so flows
 * opened while the flow table may be incomplete get FLOW_HELD: all of them are reported when the
 * partition heals.
 */
static uint8_t new_flags(const struct shard *shard, const struct bucket *bucket, uint32_t target)
{
	if (target != bucket->base)
		return FLOW_HELD;
	return shard->lead->incomplete ? FLOW_BASE | FLOW_HELD : FLOW_BASE;
}

struct flow *decide_new(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
			uint32_t opening_id, enum decision *why)
{
	const struct bucket *bucket = shard_bucket(shard, hash);
	uint32_t target = choose_target(homes, ctx, shard, hash, why);
	struct flow *flow;

	if (target == TARGET_NONE)
		return NULL;
	flow = flow_set(homes, ctx, shard, hash, target, opening_id,
			new_flags(shard, bucket, target));
	if (!flow) {
		ctx->counters->drop_quota++;
		*why = DECIDE_DROP;
		return NULL;
	}
	if (target != bucket->base)
		ctx->counters->pins++;
	return flow;
}

static enum decision decide_repeated(struct homes *homes, struct ctx *ctx, struct shard *shard,
				     struct flow *flow)
{
	/*
	 * In a partition, the target may be reachable for the other side only: a retry at another
	 * target could open the flow twice.
	 */
	bool split_possible =
		shard->lead->incomplete || shard->lead->split_possible || homes->lost_members->len;

	if (flow_trusted(flow) || (split_possible ? target_usable(homes->tgs, flow->target)
						  : target_reachable(homes->tgs, flow->target)))
		return DECIDE_FORWARD;
	query_start(homes, ctx, shard, flow->hash, QUERY_RETRY, NULL, flow->opening_id);
	ctx->counters->drop_no_target++;
	return DECIDE_DROP;
}

enum decision decide_opening(struct homes *homes, struct ctx *ctx, struct shard *shard,
			     uint64_t hash, uint32_t opening_id, struct flow **out, bool *fresh)
{
	struct flow *flow = flowtab_find(homes->tab, hash);
	enum decision why;

	*fresh = false;
	if (flow && flow_expired(flow, flowtab_ms(homes->tab, ctx->now), homes)) {
		flow_remove(homes, ctx, flow);
		flow = NULL;
	}
	if (flow && target_config_state(homes, flow->target) != TARGET_CONFIGURED) {
		if (flow->opening_id == opening_id && flow_trusted(flow))
			return DECIDE_TERMINATE;
		flow_remove(homes, ctx, flow);
		flow = NULL;
	}
	if (flow && flow->opening_id == opening_id) {
		*out = flow;
		/* The first try may have failed because no backup stored the pin. */
		*fresh = (flow->flags & FLOW_HELD) && !flow_trusted(flow);
		return decide_repeated(homes, ctx, shard, flow);
	}
	if (flow) {
		/*
		 * A new flow with the key of an old one. Members may still route by their entries
		 * of the old one, so it keeps that target; otherwise they must remove them first.
		 */
		if (!flow_trusted(flow) || !target_eligible(homes->tgs, flow->target))
			return DECIDE_QUERY;
		flow = flow_set(homes, ctx, shard, hash, flow->target, opening_id,
				flow->flags & (FLOW_BASE | FLOW_HELD));
		flow->flags &= FLOW_BASE | FLOW_HELD | FLOW_COUNTED;
		*out = flow;
		*fresh = (flow->flags & FLOW_HELD) != 0;
		return DECIDE_FORWARD;
	}
	flow = decide_new(homes, ctx, shard, hash, opening_id, &why);
	if (!flow)
		return why;
	*out = flow;
	*fresh = (flow->flags & FLOW_HELD) != 0;
	return DECIDE_FORWARD;
}

enum decision decide_data(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
			  uint32_t payload_len, struct flow **out)
{
	struct bucket *bucket = shard_bucket(shard, hash);
	struct flow *flow = flowtab_find(homes->tab, hash);

	if (flow && flow->target == bucket->base)
		shard->lead->base_seen_ms[bucket_of(hash) % BUCKETS_PER_SHARD] = ts_to_ms(ctx->now);
	if (flow) {
		if (target_config_state(homes, flow->target) != TARGET_CONFIGURED)
			return DECIDE_TERMINATE;
		/*
		 * The other side of a partition may have opened the flow at another target. Only an
		 * acceptance seen on this side shows that the caller's flow is at this target.
		 */
		if ((shard->lead->incomplete || shard->lead->split_possible) &&
		    !flow_trusted(flow) && shard->owner->addr.proto == IPPROTO_TCP)
			return DECIDE_QUERY;
		if (payload_len)
			flow->flags |= FLOW_PAYLOAD;
		if (shard->lead->incomplete)
			flow->flags |= FLOW_HELD;
		*out = flow;
		return DECIDE_FORWARD;
	}
	if (lead_uncertain(shard, ctx) ||
	    (bucket->mode == BUCKET_SHARED && shard->owner->addr.proto == IPPROTO_UDP))
		return DECIDE_QUERY;
	if (bucket->mode == BUCKET_UNASSIGNED) {
		ctx->counters->drop_no_target++;
		return DECIDE_DROP;
	}
	if (target_config_state(homes, bucket->base) != TARGET_CONFIGURED)
		return DECIDE_TERMINATE;
	shard->lead->base_seen_ms[bucket_of(hash) % BUCKETS_PER_SHARD] = ts_to_ms(ctx->now);
	/* Not in the complete table, hence at the base; forwarded even if the quota is used up. */
	*out = flow_set(homes, ctx, shard, hash, bucket->base, 0,
			FLOW_BASE | (payload_len ? FLOW_PAYLOAD : 0));
	return DECIDE_FORWARD;
}

static enum decision decide_refused(struct homes *homes, struct ctx *ctx, struct shard *shard,
				    uint64_t hash, uint32_t target, uint32_t opening_id,
				    struct flow *flow)
{
	const struct bucket *bucket = shard_bucket(shard, hash);

	if (flow ? flow->target != target || flow_trusted(flow) ||
			    (flow->opening_id && flow->opening_id != opening_id)
		 : target != bucket->base) {
		ctx->counters->drop_crossed++;
		return DECIDE_DROP;
	}
	if (query_active(homes, hash))
		return DECIDE_DROP;
	if (lead_uncertain(shard, ctx)) {
		ctx->counters->drop_uncertain++;
		return DECIDE_DROP;
	}
	if (bucket_alternate(bucket_of(hash), weights(shard), shard->owner->weights->len, target) ==
		    TARGET_NONE ||
	    !target_take_retry(homes->tgs, ctx, shard->owner->svc))
		return DECIDE_FORWARD;
	if (!flow)
		flow_set(homes, ctx, shard, hash, target, opening_id, FLOW_BASE);
	query_start(homes, ctx, shard, hash, QUERY_RETRY, NULL, opening_id);
	return DECIDE_DROP;
}

enum decision decide_answer(struct homes *homes, struct ctx *ctx, struct shard *shard,
			    uint64_t hash, uint32_t target, enum answer_kind kind,
			    uint32_t opening_id, struct flow **out)
{
	const struct bucket *bucket = shard_bucket(shard, hash);
	struct flow *flow = flowtab_find(homes->tab, hash);

	if (kind == ANSWER_REFUSED)
		return decide_refused(homes, ctx, shard, hash, target, opening_id, flow);
	if (flow && (flow->target != target || (kind == ANSWER_ACCEPTED && flow->opening_id &&
						flow->opening_id != opening_id))) {
		ctx->counters->drop_crossed++;
		return DECIDE_DROP;
	}
	/*
	 * A flow that the complete table does not have is at the base. An acceptance by another
	 * target does not disprove that: it may be a late one of an ended flow with the same key.
	 */
	if (!flow && !lead_uncertain(shard, ctx) && target != bucket->base &&
	    shard->owner->addr.proto == IPPROTO_TCP) {
		ctx->counters->drop_crossed++;
		return DECIDE_DROP;
	}
	if (kind == ANSWER_ACCEPTED) {
		if (!flow) {
			flow = flow_set(homes, ctx, shard, hash, target, opening_id,
					new_flags(shard, bucket, target));
			/* If the answer came to the home itself, no other member holds the pin. */
			shard->lead->copying = true;
			shard->lead->copy_cursor = 0;
		}
		if (!flow) {
			ctx->counters->drop_quota++;
			return DECIDE_DROP;
		}
		flow->flags |= FLOW_ESTABLISHED | (shard->lead->incomplete ? FLOW_HELD : 0);
	}
	*out = flow;
	return DECIDE_FORWARD;
}
