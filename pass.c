#include "route.h"

static peer_pass_result result_of(const struct homes *homes, const struct ctx *ctx,
				  const struct shard *shard, peer_verdict verdict,
				  const struct flow *flow)
{
	peer_pass_result res = { .shard = shard_header(shard), .verdict = verdict };

	if (flow)
		res.pin = pin_encode(homes, ctx, flow);
	return res;
}

static void send_result(struct ctx *ctx, uint32_t dst, uint32_t xid, peer_pass_result res)
{
	peer_msg msg = { .type = PEER_PASS_RESULT };

	msg.peer_msg_u.pass_result = res;
	peer_reply(ctx, dst, xid, &msg);
}

/* The header of a message to the home, with the newest term that this instance has seen. */
static peer_shard call_header(const struct shard *shard)
{
	peer_shard header = shard_header(shard);

	header.term = shard->fence_term;
	header.home = shard->fence_home;
	return header;
}

void pass_to_home(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		  const struct packet *pkt)
{
	peer_msg msg = { .type = PEER_PASS };
	struct call call = {
		.kind = CALL_PASS,
		.dst = shard_home(homes, ctx, shard),
		.addr = shard->owner->addr,
		.index = shard->index,
		.hash = hash,
	};

	msg.peer_msg_u.pass = (peer_pass){
		.shard = call_header(shard),
		.flow = hash,
		.kind = pkt->kind,
		.opening_id = pkt->opening_id,
		.payload_len = pkt->payload_len,
		.deadline_ms = pkt->deadline_ms,
	};
	if (pkt->kind == PACKET_OPENING) {
		call.parked = park_packet(homes, ctx, shard->owner->svc->org, pkt);
		if (!call.parked)
			return;
	} else if (pkt->len > PEER_MAX_PACKET) {
		ctx->counters->drop_parked++;
		return;
	} else {
		msg.peer_msg_u.pass.bytes.bytes_len = (u_int)pkt->len;
		msg.peer_msg_u.pass.bytes.bytes_val = (char *)pkt->bytes;
	}
	if (call_make(homes, ctx, call, PASS_TIMEOUT_MS, CALL_TRIES, &msg))
		ctx->counters->passed_on++;
	else
		ctx->counters->drop_parked++;
}

static void receive_opening(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
			    uint32_t xid, const peer_pass *pass)
{
	struct flow *flow = NULL;
	peer_verdict verdict = PEER_VERDICT_DROP;
	bool fresh;

	switch (decide_opening(homes, ctx, shard, pass->flow, pass->opening_id, &flow, &fresh)) {
	case DECIDE_FORWARD:
		verdict = PEER_VERDICT_FORWARD;
		break;
	case DECIDE_REFUSE:
		verdict = PEER_VERDICT_REFUSE;
		break;
	case DECIDE_TERMINATE:
		verdict = PEER_VERDICT_TERMINATE;
		break;
	case DECIDE_QUERY:
		query_start(homes, ctx, shard, pass->flow, QUERY_FORGET, NULL, pass->opening_id);
		break;
	case DECIDE_DROP:
		break;
	}
	send_result(ctx, src, xid, result_of(homes, ctx, shard, verdict, flow));
}

static void receive_data(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
			 uint32_t xid, const peer_pass *pass)
{
	struct packet pkt = {
		.key = { .service = shard->owner->addr },
		.kind = (enum packet_kind)pass->kind,
		.payload_len = pass->payload_len,
		.deadline_ms = pass->deadline_ms,
		.bytes = (const uint8_t *)pass->bytes.bytes_val,
		.len = pass->bytes.bytes_len,
	};
	struct flow *flow = NULL;
	peer_verdict verdict = PEER_VERDICT_UNKNOWN;

	switch (decide_data(homes, ctx, shard, pass->flow, pass->payload_len, &flow)) {
	case DECIDE_FORWARD:
		verdict = PEER_VERDICT_FORWARDED;
		if (flow)
			route_forward(homes, ctx, shard, flow, &pkt);
		else
			route_untracked(homes, ctx, shard_bucket(shard, pass->flow)->base, &pkt);
		break;
	case DECIDE_TERMINATE:
		route_terminate(homes, ctx, shard, pass->flow, &pkt);
		break;
	case DECIDE_QUERY:
		query_start(homes, ctx, shard, pass->flow, QUERY_FIND, &pkt, 0);
		break;
	case DECIDE_REFUSE:
	case DECIDE_DROP:
		break;
	}
	send_result(ctx, src, xid, result_of(homes, ctx, shard, verdict, flow));
}

void pass_received(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
		   uint32_t xid, const peer_pass *pass)
{
	shard_observe(homes, ctx, shard, &pass->shard);
	if (!shard_acting(homes, ctx, shard) || shard_of(pass->flow) != shard->index ||
	    pass->kind > PACKET_CANCEL) {
		send_result(ctx, src, xid,
			    (peer_pass_result){
				    .shard = call_header(shard),
				    .verdict = PEER_VERDICT_NOT_HOME,
			    });
		return;
	}
	if (pass->kind == PACKET_OPENING)
		receive_opening(homes, ctx, shard, src, xid, pass);
	else
		receive_data(homes, ctx, shard, src, xid, pass);
}

/* The home did not reply: for SYNC_INTERVAL_MS, queries are sent to the group instead. */
static void home_timed_out(struct ctx *ctx, struct shard *shard, const struct call *call)
{
	ctx->counters->peer_timeout++;
	if (shard->home == call->dst || shard->home == MEMBER_NONE)
		shard->home_unreachable_until = ts_add_ms(ctx->now, SYNC_INTERVAL_MS);
}

static void forward_opening(struct homes *homes, struct ctx *ctx, struct shard *shard,
			    const struct call *call, const peer_pin *pin)
{
	uint32_t target = pin_target(homes, shard, pin);
	struct flow *flow = flowtab_find(homes->tab, call->hash);

	if (target == TARGET_NONE || target_config_state(homes, target) != TARGET_CONFIGURED) {
		ctx->counters->drop_no_target++;
		return;
	}
	/* Another reply for this opening may have arrived first, and its flow may have payload. */
	if (flow && flow_trusted(flow) && flow->target != target &&
	    flow->opening_id == pin->opening_id) {
		ctx->counters->drop_crossed++;
		return;
	}
	if (!parked_in_time(ctx, call->parked))
		return;
	flow = flow_set(homes, ctx, shard, call->hash, target, pin->opening_id, pin_flags(pin));
	if (flow)
		route_forward(homes, ctx, shard, flow, &call->parked->pkt);
	else
		ctx->counters->drop_quota++;
}

static void cache_pin(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		      const peer_pin *pin)
{
	uint32_t target = pin_target(homes, shard, pin);

	if (target != TARGET_NONE && pin->flow == hash &&
	    (pin_flags(pin) & (FLOW_ESTABLISHED | FLOW_PAYLOAD)))
		flow_set(homes, ctx, shard, hash, target, pin->opening_id,
			 pin_flags(pin) & (uint8_t)~FLOW_HELD);
}

void pass_answered(struct homes *homes, struct ctx *ctx, struct shard *shard,
		   const struct call *call, const peer_msg *msg)
{
	const peer_pass_result *res;
	const struct flow *flow;

	if (!msg || msg->type != PEER_PASS_RESULT) {
		home_timed_out(ctx, shard, call);
		return;
	}
	res = &msg->peer_msg_u.pass_result;
	if (res->verdict == PEER_VERDICT_NOT_HOME) {
		shard_observe(homes, ctx, shard, &res->shard);
		ctx->counters->drop_uncertain++;
		return;
	}
	if (shard_observe(homes, ctx, shard, &res->shard) < 0) {
		ctx->counters->peer_stale_term++;
		return;
	}
	if (!call->parked) {
		if (res->verdict == PEER_VERDICT_FORWARDED)
			cache_pin(homes, ctx, shard, call->hash, &res->pin);
		return;
	}
	switch (res->verdict) {
	case PEER_VERDICT_FORWARD:
		if (res->pin.flow == call->hash)
			forward_opening(homes, ctx, shard, call, &res->pin);
		break;
	case PEER_VERDICT_REFUSE:
		flow = flowtab_find(homes->tab, call->hash);
		if (!flow || !flow_trusted(flow))
			route_refuse(homes, ctx, shard, &call->parked->pkt);
		break;
	case PEER_VERDICT_TERMINATE:
		route_terminate(homes, ctx, shard, call->hash, &call->parked->pkt);
		break;
	default:
		ctx->counters->drop_uncertain++;
		break;
	}
}

static void send_to_backup(struct homes *homes, struct ctx *ctx, struct shard *shard,
			   const struct flow *flow, uint32_t backup, uint32_t skipped,
			   struct parked *parked)
{
	peer_pin pin = pin_encode(homes, ctx, flow);
	peer_msg msg = { .type = PEER_PIN_BATCH };

	msg.peer_msg_u.pins = (peer_pin_batch){
		.shard = shard_header(shard),
		.pins = { 1, &pin },
	};
	if (!call_make(homes, ctx,
		       (struct call){
			       .kind = CALL_BACKUP,
			       .dst = backup,
			       .addr = shard->owner->addr,
			       .index = shard->index,
			       .cursor = skipped,
			       .hash = flow->hash,
			       .parked = parked,
		       },
		       BACKUP_TIMEOUT_MS, 1, &msg))
		ctx->counters->drop_parked++;
}

void pass_with_backup(struct homes *homes, struct ctx *ctx, struct shard *shard, struct flow *flow,
		      const struct packet *pkt)
{
	uint32_t backup = shard_backup(homes, ctx, shard, MEMBER_NONE);
	struct parked *parked;

	if (backup == MEMBER_NONE && !homes->peers->len) {
		route_forward(homes, ctx, shard, flow, pkt);
		return;
	}
	if (backup == MEMBER_NONE) {
		ctx->counters->drop_uncertain++;
		return;
	}
	parked = park_packet(homes, ctx, shard->owner->svc->org, pkt);
	if (parked)
		send_to_backup(homes, ctx, shard, flow, backup, MEMBER_NONE, parked);
}

/*
 * If the backup did not store the pin, the next member is tried once; then the packet is dropped. A
 * home that is cut off would otherwise open flows that no other member could recover.
 */
void pass_backed_up(struct homes *homes, struct ctx *ctx, struct shard *shard, struct call *call,
		    const peer_msg *msg)
{
	struct flow *flow = flowtab_find(homes->tab, call->hash);
	uint32_t next = MEMBER_NONE;

	/* The flow may have been moved, or the shard given up, in the meantime. */
	if (!call->parked || !shard_acting(homes, ctx, shard) || !flow ||
	    (call->parked->pkt.kind == PACKET_OPENING &&
	     flow->opening_id != call->parked->pkt.opening_id)) {
		ctx->counters->drop_parked++;
		return;
	}
	if (msg) {
		if (parked_in_time(ctx, call->parked))
			route_forward(homes, ctx, shard, flow, &call->parked->pkt);
		return;
	}
	ctx->counters->peer_timeout++;
	if (call->cursor == MEMBER_NONE)
		next = shard_backup(homes, ctx, shard, call->dst);
	if (next == MEMBER_NONE) {
		ctx->counters->drop_parked++;
		return;
	}
	send_to_backup(homes, ctx, shard, flow, next, call->dst, call->parked);
	call->parked = NULL;
}

void note_to_home(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		  uint32_t target, const struct answer *ans)
{
	const struct target_config *tc = config_target_by_index(homes->cfg, target, NULL);
	uint32_t home = shard_home(homes, ctx, shard);
	peer_msg msg = { .type = PEER_ANSWER_NOTE };
	struct parked *parked;

	/* Answers within an open flow need no decision; those to an opening need the home's. */
	if (home == MEMBER_NONE && (ans->kind == ANSWER_DATA || ans->kind == ANSWER_CLOSE)) {
		route_to_caller(homes, ctx, NULL, ans);
		return;
	}
	if (home == MEMBER_NONE) {
		ctx->counters->drop_uncertain++;
		return;
	}
	parked = park_answer(homes, ctx, shard->owner->svc->org, ans);
	if (!parked)
		return;
	msg.peer_msg_u.note = (peer_answer_note){
		.shard = call_header(shard),
		.kind = ans->kind,
		.pin = {
			.flow = hash,
			.target = {
				.ip = tc->ep.ip,
				.port_flags = (uint32_t)tc->ep.port << 16,
			},
			.opening_id = ans->opening_id,
		},
	};
	if (!call_make(homes, ctx,
		       (struct call){
			       .kind = CALL_NOTE,
			       .dst = home,
			       .addr = shard->owner->addr,
			       .index = shard->index,
			       .hash = hash,
			       .parked = parked,
		       },
		       PASS_TIMEOUT_MS, CALL_TRIES, &msg))
		ctx->counters->drop_parked++;
}

void note_received(struct homes *homes, struct ctx *ctx, struct shard *shard, uint32_t src,
		   uint32_t xid, const peer_answer_note *note)
{
	uint32_t target = pin_target(homes, shard, &note->pin);
	struct flow *flow = NULL;
	enum decision dec;

	shard_observe(homes, ctx, shard, &note->shard);
	if (!shard_acting(homes, ctx, shard) || shard_of(note->pin.flow) != shard->index) {
		send_result(ctx, src, xid,
			    (peer_pass_result){
				    .shard = call_header(shard),
				    .verdict = PEER_VERDICT_NOT_HOME,
			    });
		return;
	}
	dec = target == TARGET_NONE || note->kind > ANSWER_RESET
		      ? DECIDE_DROP
		      : decide_answer(homes, ctx, shard, note->pin.flow, target,
				      (enum answer_kind)note->kind, note->pin.opening_id, &flow);
	send_result(ctx, src, xid,
		    result_of(homes, ctx, shard,
			      dec == DECIDE_FORWARD ? PEER_VERDICT_FORWARD : PEER_VERDICT_DROP,
			      flow));
}

void note_answered(struct homes *homes, struct ctx *ctx, struct shard *shard,
		   const struct call *call, const peer_msg *msg)
{
	const struct answer *ans = &call->parked->ans;
	bool inside = ans->kind == ANSWER_DATA || ans->kind == ANSWER_CLOSE;
	const peer_pass_result *res;
	struct flow *flow = NULL;
	uint32_t target;

	if (!msg || msg->type != PEER_PASS_RESULT) {
		home_timed_out(ctx, shard, call);
		if (inside)
			route_to_caller(homes, ctx, NULL, ans);
		return;
	}
	res = &msg->peer_msg_u.pass_result;
	if (shard_observe(homes, ctx, shard, &res->shard) < 0)
		ctx->counters->peer_stale_term++;
	if (res->verdict == PEER_VERDICT_NOT_HOME && inside) {
		route_to_caller(homes, ctx, NULL, ans);
		return;
	}
	if (res->verdict != PEER_VERDICT_FORWARD) {
		ctx->counters->drop_crossed++;
		return;
	}
	target = pin_target(homes, shard, &res->pin);
	/* The sender of a note of an acceptance holds the second copy of the flow's pin. */
	if (res->pin.flow == call->hash && target != TARGET_NONE &&
	    (pin_flags(&res->pin) & (FLOW_ESTABLISHED | FLOW_PAYLOAD)))
		flow = flow_set(homes, ctx, shard, call->hash, target, res->pin.opening_id,
				pin_flags(&res->pin));
	route_to_caller(homes, ctx, flow, ans);
}
