#include <netinet/in.h>

#include "route.h"

/* A query fails after this time; a retry first waits for its bucket to become shared. */
#define QUERY_TIMEOUT_MS       1000
#define RETRY_QUERY_TIMEOUT_MS (ROUTING_LEASE_MIN_MS + LEASE_MARGIN_MS + QUERY_TIMEOUT_MS)

struct query {
	enum query_kind kind;
	uint32_t seq; /* distinguishes replies to an earlier query on the flow */
	struct service_addr addr;
	uint32_t index;
	uint64_t hash;
	uint32_t opening_id;
	struct homes *homes;
	struct parked *parked;
	struct timespec started;
	bool sent;
	uint32_t waiting; /* calls that are outstanding */
	uint32_t failed;  /* calls without a valid reply */
	bool trusted;	  /* some member saw an acceptance or forwarded payload */
	bool found;
	peer_pin best;
	uint32_t answered_age_ms; /* of the latest answer that any member saw */
};

void query_free(gpointer arg)
{
	struct query *query = arg;

	parked_free(query->homes, query->parked);
	g_free(query);
}

bool query_active(const struct homes *homes, uint64_t hash)
{
	return g_hash_table_contains(homes->queries, &hash);
}

static void query_finish(struct homes *homes, struct ctx *ctx, struct query *query);

static uint64_t query_member(struct homes *homes, struct ctx *ctx, struct shard *shard,
			     const struct query *query, uint32_t dst)
{
	peer_msg msg = { .type = PEER_FLOW_QUERY };
	peer_pin pin = { .flow = query->hash, .opening_id = query->opening_id };
	struct call call = {
		.kind = query->kind == QUERY_FORGET ? CALL_FORGET : CALL_QUERY,
		.dst = dst,
		.addr = query->addr,
		.index = query->index,
		.hash = query->hash,
		.epoch = query->seq,
	};

	if (query->kind == QUERY_FORGET) {
		pin.target.port_flags = PIN_CLOSED;
		msg.type = PEER_PIN_BATCH;
		msg.peer_msg_u.pins = (peer_pin_batch){
			.shard = shard_header(shard),
			.pins = { 1, &pin },
		};
	} else {
		msg.peer_msg_u.query = (peer_flow_query){
			.service = shard_header(shard).service,
			.flow = query->hash,
		};
	}
	return call_make(homes, ctx, call, PASS_TIMEOUT_MS, CALL_TRIES, &msg);
}

static void query_members(struct homes *homes, struct ctx *ctx, struct query *query)
{
	struct shard *shard = homes_shard(homes, query->addr, query->index);

	query->sent = true;
	for (guint i = 0; shard && i < homes->peers->len; i++) {
		uint32_t id = g_array_index(homes->peers, uint32_t, i);

		if (query_member(homes, ctx, shard, query, id))
			query->waiting++;
		else
			query->failed++;
	}
	if (!query->waiting)
		query_finish(homes, ctx, query);
}

void query_start(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash,
		 enum query_kind kind, const struct packet *pkt, uint32_t opening_id)
{
	struct query *query;

	if (query_active(homes, hash) || g_hash_table_size(homes->queries) >= QUERIES_MAX) {
		if (kind != QUERY_SILENCE)
			ctx->counters->drop_parked++;
		return;
	}
	query = g_new0(struct query, 1);
	*query = (struct query){
		.kind = kind,
		.seq = (uint32_t)++homes->next_call,
		.addr = shard->owner->addr,
		.index = shard->index,
		.hash = hash,
		.opening_id = opening_id,
		.homes = homes,
		.started = ctx->now,
		.answered_age_ms = UINT32_MAX,
	};
	if (pkt)
		query->parked = park_packet(homes, ctx, shard->owner->svc->org, pkt);
	if (pkt && !query->parked) {
		g_free(query);
		return;
	}
	g_hash_table_insert(homes->queries, g_memdup2(&hash, sizeof(hash)), query);
	if (kind != QUERY_RETRY)
		query_members(homes, ctx, query);
	else if (shard_bucket(shard, hash)->mode == BUCKET_SINGLE) {
		shard->owner->busy_until = ts_add_ms(ctx->now, BUSY_SERVICE_MS);
		shard->lead->share_requested |= 1ULL << bucket_of(hash) % BUCKETS_PER_SHARD;
	}
}

/* Whether a new target may be chosen for a flow of the bucket of @hash. */
static bool retry_ready(struct homes *homes, struct ctx *ctx, struct shard *shard, uint64_t hash)
{
	return shard && shard_acting(homes, ctx, shard) && !lead_uncertain(shard, ctx) &&
	       shard_bucket(shard, hash)->mode == BUCKET_SHARED &&
	       !(shard->lead->pending & 1ULL << bucket_of(hash) % BUCKETS_PER_SHARD);
}

static void finish_find(struct homes *homes, struct ctx *ctx, struct shard *shard,
			struct query *query)
{
	const struct packet *pkt = &query->parked->pkt;
	bool acting = shard_acting(homes, ctx, shard);
	struct flow *flow = flowtab_find(homes->tab, query->hash);
	enum decision why;
	uint32_t target;

	if (!parked_in_time(ctx, query->parked))
		return;
	if (query->found && (!flow || (query->trusted && !flow_trusted(flow)))) {
		target = pin_target(homes, shard, &query->best);
		if (target != TARGET_NONE)
			flow = flow_set(homes, ctx, shard, query->hash, target,
					query->best.opening_id, pin_flags(&query->best));
	}
	if (flow && target_config_state(homes, flow->target) != TARGET_CONFIGURED) {
		route_terminate(homes, ctx, shard, query->hash, pkt);
		return;
	}
	if (flow && (flow_trusted(flow) ||
		     (acting && !shard->lead->incomplete && !shard->lead->split_possible))) {
		route_forward(homes, ctx, shard, flow, pkt);
		return;
	}
	/* UDP: a flow unknown to all members is new, unless one that may know it did not reply. */
	if (!flow && acting && !query->failed && !lead_uncertain(shard, ctx) &&
	    pkt->key.service.proto == IPPROTO_UDP) {
		flow = decide_new(homes, ctx, shard, query->hash, 0, &why);
		if (!flow)
			return;
		target_opened(homes->tgs, ctx, flow->target);
		flow->flags |= FLOW_ESTABLISHED | FLOW_COUNTED;
		if (flow->flags & FLOW_HELD)
			pass_with_backup(homes, ctx, shard, flow, pkt);
		else
			route_forward(homes, ctx, shard, flow, pkt);
		return;
	}
	ctx->counters->drop_unknown_flow++;
}

static void finish_silence(struct homes *homes, struct ctx *ctx, struct shard *shard,
			   struct query *query)
{
	struct flow *flow = flowtab_find(homes->tab, query->hash);
	uint32_t now_ms = flowtab_ms(homes->tab, ctx->now);

	if (!flow || !flow->waiting)
		return;
	if (query->failed || query->answered_age_ms <= flow_ticks_age_ms(flow->waiting, now_ms)) {
		flow->waiting = flow_ticks(now_ms);
		return;
	}
	ctx->counters->silent_flows++;
	/* Kept as closed, so that later packets are not treated as those of an unknown flow. */
	flow->flags |= FLOW_CLOSED;
	flow->waiting = 0;
	route_terminate(homes, ctx, shard, query->hash, &query->parked->pkt);
}

/* Sends a flow's new target to all members; one that saved the opening sends it there. */
static void send_moved_flow(struct homes *homes, struct ctx *ctx, struct shard *shard,
			    const struct flow *flow)
{
	peer_pin pin = pin_encode(homes, ctx, flow);
	peer_msg msg = { .type = PEER_PIN_BATCH };

	pin.target.port_flags &= ~(unsigned int)(PIN_HELD | PIN_CLOSED);
	msg.peer_msg_u.pins = (peer_pin_batch){
		.shard = shard_header(shard),
		.pins = { 1, &pin },
	};
	for (guint i = 0; i < homes->peers->len; i++)
		call_make(homes, ctx,
			  (struct call){
				  .kind = CALL_FORGET,
				  .dst = g_array_index(homes->peers, uint32_t, i),
				  .addr = shard->owner->addr,
				  .index = shard->index,
				  .hash = flow->hash,
			  },
			  PASS_TIMEOUT_MS, CALL_TRIES, &msg);
}

static void finish_retry(struct homes *homes, struct ctx *ctx, struct shard *shard,
			 struct query *query)
{
	struct flow *flow = flowtab_find(homes->tab, query->hash);
	const struct bucket *bucket = shard_bucket(shard, query->hash);
	const GArray *weights = shard->owner->weights;
	const struct saved_opening *saved;
	struct packet again;
	uint32_t target;

	if (query->failed || query->trusted || !flow || flow_trusted(flow) ||
	    flow->opening_id != query->opening_id || !retry_ready(homes, ctx, shard, query->hash))
		return;
	target = bucket_alternate(bucket_of(query->hash),
				  (const struct weighted_target *)weights->data, weights->len,
				  flow->target);
	target = target_choose(homes->tgs, ctx, target, TARGET_NONE);
	if (target == TARGET_NONE || target_config_state(homes, target) != TARGET_CONFIGURED)
		return;
	flow = flow_set(homes, ctx, shard, query->hash, target, query->opening_id,
			target == bucket->base ? FLOW_BASE : FLOW_HELD);
	ctx->counters->retried++;
	if (target != bucket->base)
		ctx->counters->pins++;
	send_moved_flow(homes, ctx, shard, flow);
	saved = opening_saved(homes, ctx, query->hash, query->opening_id);
	if (!saved)
		return;
	again = (struct packet){
		.key = { .service = query->addr },
		.kind = PACKET_OPENING,
		.opening_id = saved->opening_id,
		.deadline_ms = saved->deadline_ms,
		.bytes = saved->bytes,
		.len = saved->len,
	};
	if (flow->flags & FLOW_HELD)
		pass_with_backup(homes, ctx, shard, flow, &again);
	else
		route_forward(homes, ctx, shard, flow, &again);
}

static void finish_forget(struct homes *homes, struct ctx *ctx, struct shard *shard,
			  struct query *query)
{
	struct flow *flow = flowtab_find(homes->tab, query->hash);

	if (query->failed || !shard_acting(homes, ctx, shard))
		return;
	if (flow && flow->opening_id != query->opening_id)
		flow_remove(homes, ctx, flow);
	if (query->parked && parked_in_time(ctx, query->parked))
		route_packet(homes, ctx, shard, query->hash, &query->parked->pkt);
}

static void query_finish(struct homes *homes, struct ctx *ctx, struct query *query)
{
	struct shard *shard = homes_shard(homes, query->addr, query->index);
	gpointer key;

	/* Removed first, as routing the packet again may start another query on the flow. */
	g_hash_table_steal_extended(homes->queries, &query->hash, &key, NULL);
	g_free(key);
	if (shard) {
		switch (query->kind) {
		case QUERY_FIND:
			finish_find(homes, ctx, shard, query);
			break;
		case QUERY_SILENCE:
			finish_silence(homes, ctx, shard, query);
			break;
		case QUERY_RETRY:
			finish_retry(homes, ctx, shard, query);
			break;
		case QUERY_FORGET:
			finish_forget(homes, ctx, shard, query);
			break;
		}
	}
	query_free(query);
}

void query_timer(struct homes *homes, struct ctx *ctx)
{
	GPtrArray *active = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, homes->queries);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(active, value);
	for (guint i = 0; i < active->len; i++) {
		struct query *query = g_ptr_array_index(active, i);
		struct shard *shard = homes_shard(homes, query->addr, query->index);
		int64_t age = ts_diff_ms(ctx->now, query->started);

		if (age >=
		    (query->kind == QUERY_RETRY ? RETRY_QUERY_TIMEOUT_MS : QUERY_TIMEOUT_MS)) {
			query->failed++;
			query_finish(homes, ctx, query);
		} else if (!query->sent && retry_ready(homes, ctx, shard, query->hash)) {
			query_members(homes, ctx, query);
		}
	}
	g_ptr_array_unref(active);
}

void query_received(struct homes *homes, struct ctx *ctx, uint32_t src, uint32_t xid,
		    const peer_flow_query *query)
{
	uint32_t now_ms = flowtab_ms(homes->tab, ctx->now);
	const struct flow *flow = flowtab_find(homes->tab, query->flow);
	peer_msg msg = { .type = PEER_FLOW_ANSWER };

	msg.peer_msg_u.flow = (peer_flow_answer){
		.pin = { .flow = query->flow },
		.answered_age_ms = UINT32_MAX,
	};
	if (flow && !flow_expired(flow, now_ms, homes)) {
		msg.peer_msg_u.flow.known = true;
		msg.peer_msg_u.flow.pin = pin_encode(homes, ctx, flow);
		if (flow->answered_ms)
			msg.peer_msg_u.flow.answered_age_ms = now_ms - flow->answered_ms;
	}
	peer_reply(ctx, src, xid, &msg);
}

/* Keeps a pin of an accepted flow rather than one of a mere opening, then the later used. */
static void keep_best_pin(struct query *query, const peer_pin *pin)
{
	const unsigned int trusted = PIN_ESTABLISHED | PIN_PAYLOAD;
	bool is_trusted = (pin->target.port_flags & trusted) != 0;
	bool was_trusted = query->found && (query->best.target.port_flags & trusted) != 0;
	unsigned int age = pin->target.port_flags >> PIN_AGE_SHIFT & PIN_AGE_MAX;
	unsigned int best_age = query->best.target.port_flags >> PIN_AGE_SHIFT & PIN_AGE_MAX;

	if (!is_trusted && !(pin->target.port_flags & PIN_HELD))
		return;
	if (!query->found || (is_trusted != was_trusted ? is_trusted : age < best_age))
		query->best = *pin;
	query->found = true;
}

void query_answered(struct homes *homes, struct ctx *ctx, const struct call *call,
		    const peer_msg *msg)
{
	struct query *query = g_hash_table_lookup(homes->queries, &call->hash);
	const peer_flow_answer *ans;
	struct shard *shard;

	if (!query || query->seq != call->epoch)
		return;
	query->waiting--;
	if (!msg) {
		ctx->counters->peer_timeout++;
		/* A member whose lease expired forwards no new flows: its reply is not needed. */
		if (query->kind != QUERY_FIND || members_may_route(homes->mem, call->dst, ctx->now))
			query->failed++;
	} else if (msg->type == PEER_SHARD_ACK) {
		shard = homes_shard(homes, call->addr, call->index);
		if (shard_observe(homes, ctx, shard, &msg->peer_msg_u.ack.shard) != 0)
			query->failed++;
	} else if (msg->type == PEER_FLOW_ANSWER) {
		ans = &msg->peer_msg_u.flow;
		query->answered_age_ms = MIN(query->answered_age_ms, ans->answered_age_ms);
		if (ans->known && ans->pin.flow == query->hash) {
			query->trusted |=
				(ans->pin.target.port_flags & (PIN_ESTABLISHED | PIN_PAYLOAD)) != 0;
			keep_best_pin(query, &ans->pin);
		}
	}
	if (!query->waiting)
		query_finish(homes, ctx, query);
}
