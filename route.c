#include "route.h"

#include <netinet/in.h>

static void count_terminated(struct homes *homes, struct shard *shard, uint64_t hash)
{
	const struct flow *flow = flowtab_find(homes->tab, hash);
	uint64_t *last_terminated = &homes->last_terminated[hash % TERMINATED_SLOTS];

	if (*last_terminated == hash)
		return;
	*last_terminated = hash;
	target_outcome(homes->tgs, flow ? flow->target : shard_bucket(shard, hash)->base,
		       FLOW_TERMINATED);
}

void route_terminate(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		     const struct packet *pkt)
{
	if (pkt->key.service.proto != IPPROTO_TCP || pkt->kind == PACKET_CANCEL) {
		ctx->counters->drop_withdrawn++;
		return;
	}
	ctx->counters->terminated++;
	count_terminated(homes, shard, hash);
	actions_add(ctx->out, (struct action){ .type = ACTION_REFUSE }, pkt->bytes, pkt->len);
}

void route_refuse(struct homes *homes, struct ctx *ctx, struct shard *shard,
		  const struct packet *pkt)
{
	targets_count_refused(homes->tgs, shard->owner->svc);
	ctx->counters->refused++;
	actions_add(ctx->out, (struct action){ .type = ACTION_REFUSE }, pkt->bytes, pkt->len);
}

/*
 * Queries the group about a flow whose target answers other flows, when the caller has sent payload
 * for silence_ms and this instance saw no answer. The wait restarts after a pause of the caller,
 * and when a member that may have seen the answer was lost or cut off.
 */
static void check_silence(struct homes *homes, struct ctx *ctx, struct shard *shard,
			  struct flow *flow, const struct packet *pkt)
{
	uint32_t silence = shard->owner->svc->silence_ms;
	uint32_t now_ms = flowtab_ms(homes->tab, ctx->now);
	uint32_t waited = flow_ticks_age_ms(flow->waiting, now_ms);
	struct timespec since = ts_add_ms(ctx->now, -(int64_t)waited);

	if (!silence || !flow->waiting || !pkt->payload_len ||
	    pkt->key.service.proto != IPPROTO_TCP)
		return;
	if (now_ms - flow->used_ms > 2 * silence) {
		flow->waiting = flow_ticks(now_ms);
		return;
	}
	if (waited < silence || ts_cmp(target_last_answer(homes->tgs, flow->target), since) <= 0)
		return;
	if (ts_cmp(homes->last_partition, since) >= 0 || members_lost_since(homes->mem, since)) {
		flow->waiting = flow_ticks(now_ms);
		return;
	}
	query_start(homes, ctx, shard, flow->hash, QUERY_SILENCE, pkt, 0);
}

static void count_opening(struct homes *homes, struct ctx *ctx, struct flow *flow)
{
	if (flow->flags & FLOW_COUNTED)
		return;
	target_opened(homes->tgs, ctx, flow->target);
	flow->flags |= FLOW_COUNTED;
}

static void forward_bytes(struct ctx *ctx, const struct target_config *tc, int32_t deadline_ms,
			  const uint8_t *bytes, size_t len)
{
	ctx->counters->forwarded++;
	actions_add(ctx->out,
		    (struct action){
			    .type = ACTION_FORWARD,
			    .target = tc->ep,
			    .deadline_ms = deadline_ms,
		    },
		    bytes, len);
}

void route_forward(struct homes *homes, struct ctx *ctx, struct shard *shard, struct flow *flow,
		   const struct packet *pkt)
{
	const struct target_config *tc = config_target_by_index(homes->cfg, flow->target, NULL);

	if (!tc) {
		ctx->counters->drop_no_target++;
		return;
	}
	check_silence(homes, ctx, shard, flow, pkt);
	flow_used(homes, ctx, flow, pkt);
	if (pkt->kind == PACKET_OPENING) {
		count_opening(homes, ctx, flow);
		opening_save(homes, ctx, flow->hash, pkt);
	}
	forward_bytes(ctx, tc, pkt->deadline_ms, pkt->bytes, pkt->len);
}

/* Counts the outcome of the flow that an answer to the caller shows. */
static void count_outcome(struct homes *homes, const struct flow *flow, const struct answer *ans)
{
	const struct service *svc = config_service(homes->cfg, ans->key.service);
	const struct target_config *tc = svc ? config_target(homes->cfg, svc, ans->target) : NULL;

	if (!tc)
		return;
	if (ans->kind == ANSWER_REFUSED) {
		target_outcome(homes->tgs, tc->index, FLOW_SHED);
	} else if (ans->kind == ANSWER_RESET && flow && !(flow->flags & FLOW_CLOSED)) {
		target_outcome(homes->tgs, tc->index, FLOW_RESET);
	} else if (ans->kind == ANSWER_ACCEPTED && flow && !flow->answered_ms) {
		/* A repeated acceptance is not counted: the flow has an answer time by then. */
		target_outcome(homes->tgs, tc->index, FLOW_GOOD);
		if (homes->last_terminated[flow->hash % TERMINATED_SLOTS] == flow->hash)
			homes->last_terminated[flow->hash % TERMINATED_SLOTS] = 0;
	}
}

void route_to_caller(struct homes *homes, struct ctx *ctx, struct flow *flow,
		     const struct answer *ans)
{
	if (ans->kind == ANSWER_ACCEPTED || ans->kind == ANSWER_REFUSED ||
	    ans->kind == ANSWER_RESET)
		count_outcome(homes, flow, ans);
	if (flow)
		flow_answered(homes, ctx, flow, ans);
	ctx->counters->answered++;
	actions_add(ctx->out, (struct action){ .type = ACTION_ANSWER }, ans->bytes, ans->len);
}

void route_repeat_opening(struct homes *homes, struct ctx *ctx, struct flow *flow,
			  const struct saved_opening *saved)
{
	const struct target_config *tc = config_target_by_index(homes->cfg, flow->target, NULL);
	int32_t left_ms = saved->deadline_ms;

	if (!tc)
		return;
	if (left_ms != NO_DEADLINE) {
		left_ms -= (int32_t)(flowtab_ms(homes->tab, ctx->now) - saved->saved_ms);
		if (left_ms <= 0) {
			ctx->counters->drop_deadline++;
			return;
		}
	}
	count_opening(homes, ctx, flow);
	forward_bytes(ctx, tc, left_ms, saved->bytes, saved->len);
}

void route_untracked(struct homes *homes, struct ctx *ctx, uint32_t target,
		     const struct packet *pkt)
{
	const struct target_config *tc = config_target_by_index(homes->cfg, target, NULL);

	if (!tc) {
		ctx->counters->drop_no_target++;
		return;
	}
	forward_bytes(ctx, tc, pkt->deadline_ms, pkt->bytes, pkt->len);
}

static void route_single(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
			 uint32_t base, const struct packet *pkt)
{
	bool opening = pkt->kind == PACKET_OPENING;
	struct flow *flow;

	if (target_config_state(homes, base) != TARGET_CONFIGURED) {
		if (opening)
			ctx->counters->drop_withdrawn++;
		else
			route_terminate(homes, ctx, shard, hash, pkt);
		return;
	}
	flow = flow_set(homes, ctx, shard, hash, base, opening ? pkt->opening_id : 0, FLOW_BASE);
	if (flow)
		route_forward(homes, ctx, shard, flow, pkt);
	else if (opening)
		ctx->counters->drop_quota++;
	else
		route_untracked(homes, ctx, base, pkt);
}

/* Decides on a packet as the home of its shard and carries out the decision. */
static void route_as_home(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
			  const struct packet *pkt)
{
	struct flow *flow = NULL;
	bool is_new = false;
	enum decision dec;

	if (pkt->kind == PACKET_OPENING)
		dec = decide_opening(homes, ctx, shard, hash, pkt->opening_id, &flow, &is_new);
	else
		dec = decide_data(homes, ctx, shard, hash, pkt->payload_len, &flow);
	switch (dec) {
	case DECIDE_FORWARD:
		if (!flow)
			route_untracked(homes, ctx, shard_bucket(shard, hash)->base, pkt);
		else if (is_new)
			pass_with_backup(homes, ctx, shard, flow, pkt);
		else
			route_forward(homes, ctx, shard, flow, pkt);
		break;
	case DECIDE_REFUSE:
		route_refuse(homes, ctx, shard, pkt);
		break;
	case DECIDE_TERMINATE:
		route_terminate(homes, ctx, shard, hash, pkt);
		break;
	case DECIDE_QUERY:
		query_start(homes, ctx, shard, hash,
			    pkt->kind == PACKET_OPENING ? QUERY_FORGET : QUERY_FIND, pkt,
			    pkt->opening_id);
		break;
	case DECIDE_DROP:
		break;
	}
}

/* Whether an entry of a SHARED bucket is recent enough to be used without asking the home. */
static bool entry_recent(const struct homes *homes, const struct ctx *ctx,
			 const struct shard *shard, const struct flow *flow)
{
	uint32_t confirm_before_ms =
		shard->confirm_before_ms[bucket_of(flow->hash) % BUCKETS_PER_SHARD];

	return (flow->flags & FLOW_HELD) ||
	       (flowtab_ms(homes->tab, ctx->now) - flow->used_ms <= ENTRY_REVALIDATE_MS &&
		(int32_t)(flow->used_ms - confirm_before_ms) >= 0);
}

/* Whether the entry gives the target of a packet, so that the shard's home need not be asked. */
static bool entry_decides(const struct homes *homes, const struct ctx *ctx,
			  const struct shard *shard, const struct flow *flow,
			  const struct packet *pkt)
{
	if (pkt->kind == PACKET_OPENING)
		return flow->opening_id == pkt->opening_id &&
		       (flow_trusted(flow) ||
			((flow->flags & FLOW_HELD) && target_reachable(homes->tgs, flow->target)));
	return flow_trusted(flow) && entry_recent(homes, ctx, shard, flow);
}

/*
 * Whether an opening must be passed to the home although its bucket is SINGLE: the base is
 * draining, and the home, which has to move the bucket, may be dead.
 */
static bool opening_needs_home(struct homes *homes, const struct shard *shard,
			       const struct flow *flow, const struct bucket *bucket,
			       const struct packet *pkt)
{
	return pkt->kind == PACKET_OPENING && shard->role == SHARD_FOLLOWER &&
	       target_draining(homes, bucket->base) &&
	       !(flow && flow->opening_id == pkt->opening_id);
}

void route_packet(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		  const struct packet *pkt)
{
	struct bucket *bucket = shard_bucket(shard, hash);
	struct flow *flow = flowtab_find(homes->tab, hash);
	bool single = shard_single(homes, ctx, shard, bucket);

	if (flow && single && flow->target != bucket->base) {
		/* Live flows of a SINGLE bucket are all at its base: this flow has ended. */
		flow_remove(homes, ctx, flow);
		flow = NULL;
	}
	if (single && !opening_needs_home(homes, shard, flow, bucket, pkt)) {
		route_single(homes, ctx, shard, hash, bucket->base, pkt);
		return;
	}
	if (flow && pkt->kind != PACKET_OPENING && flow_trusted(flow) &&
	    target_config_state(homes, flow->target) != TARGET_CONFIGURED) {
		route_terminate(homes, ctx, shard, hash, pkt);
		return;
	}
	if (shard_acting(homes, ctx, shard)) {
		route_as_home(homes, ctx, shard, hash, pkt);
		return;
	}
	if (flow && entry_decides(homes, ctx, shard, flow, pkt) &&
	    target_config_state(homes, flow->target) == TARGET_CONFIGURED) {
		route_forward(homes, ctx, shard, flow, pkt);
		return;
	}
	if (shard_home(homes, ctx, shard) != MEMBER_NONE)
		pass_to_home(homes, ctx, shard, hash, pkt);
	else if (pkt->kind != PACKET_OPENING)
		query_start(homes, ctx, shard, hash, QUERY_FIND, pkt, 0);
	else
		ctx->counters->drop_uncertain++;
}

static void answer_single(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
			  uint32_t target, const struct answer *ans)
{
	struct bucket *bucket = shard_bucket(shard, hash);
	struct flow *flow;

	if (target != bucket->base) {
		ctx->counters->drop_crossed++;
		return;
	}
	if (ans->kind == ANSWER_ACCEPTED) {
		flow = flow_set(homes, ctx, shard, hash, target, ans->opening_id,
				FLOW_BASE | FLOW_ESTABLISHED);
		if (flow)
			route_to_caller(homes, ctx, flow, ans);
		else
			ctx->counters->drop_quota++;
		return;
	}
	flow = flowtab_find(homes->tab, hash);
	if (!flow && ans->kind == ANSWER_DATA) {
		/* Silence detection asks each instance whether it saw an answer of the flow. */
		flow = flow_set(homes, ctx, shard, hash, target, 0, FLOW_BASE | FLOW_ESTABLISHED);
	}
	route_to_caller(homes, ctx, flow && flow->target == target ? flow : NULL, ans);
}

static void answer_as_home(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
			   uint32_t target, const struct answer *ans)
{
	struct flow *flow = NULL;

	if (decide_answer(homes, ctx, shard, hash, target, ans->kind, ans->opening_id, &flow) ==
	    DECIDE_FORWARD)
		route_to_caller(homes, ctx, flow, ans);
}

void route_answer(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		  uint32_t target, const struct answer *ans)
{
	struct bucket *bucket = shard_bucket(shard, hash);
	struct flow *flow = flowtab_find(homes->tab, hash);

	if (ans->kind == ANSWER_RESET)
		target_reset(homes->tgs, ctx, target);
	else
		target_answered(homes->tgs, ctx, target);
	if (target_config_state(homes, target) != TARGET_CONFIGURED) {
		ctx->counters->drop_withdrawn++;
		return;
	}
	if (ans->kind == ANSWER_ACCEPTED)
		target_accepted(homes->tgs, ctx, target);
	if (ans->kind == ANSWER_REFUSED) {
		ctx->counters->shed++;
		target_shed(homes->tgs, ctx, target);
		/* A refusal tells the caller that no flow was opened, which is false here. */
		if (flow && flow_trusted(flow)) {
			ctx->counters->drop_crossed++;
			return;
		}
	} else if (shard_single(homes, ctx, shard, bucket)) {
		answer_single(homes, ctx, shard, hash, target, ans);
		return;
	}
	if (shard_acting(homes, ctx, shard)) {
		answer_as_home(homes, ctx, shard, hash, target, ans);
		return;
	}
	if (flow && flow_trusted(flow) && ans->kind != ANSWER_REFUSED &&
	    entry_recent(homes, ctx, shard, flow) &&
	    (ans->kind != ANSWER_ACCEPTED || ans->opening_id == flow->opening_id)) {
		if (flow->target == target)
			route_to_caller(homes, ctx, flow, ans);
		else
			ctx->counters->drop_crossed++;
		return;
	}
	note_to_home(homes, ctx, shard, hash, target, ans);
}
