#include "home.h"

#include "route.h"

/* The sweep covers the whole flow cache in about a minute. */
#define SWEEP_TIMERS	(60 * MSEC_PER_SEC / TIMER_INTERVAL_MS)
#define SWEEP_MIN_SLOTS 4096

static uint64_t addr_key(struct service_addr addr)
{
	return (uint64_t)addr.ep.ip << 24 | (uint64_t)addr.ep.port << 8 | addr.proto;
}

static void lead_free(struct shard_lead *lead)
{
	if (!lead)
		return;
	g_array_unref(lead->peers);
	g_free(lead);
}

static void service_state_free(gpointer arg)
{
	struct service_state *st = arg;

	for (size_t i = 0; i < SHARDS_PER_SERVICE; i++)
		lead_free(st->shards[i].lead);
	g_array_unref(st->weights);
	g_free(st);
}

static void flow_evicted(const struct flow *flow, struct ctx *ctx, void *arg)
{
	struct homes *homes = arg;

	if (flow->flags & FLOW_COUNTED)
		target_closed(homes->tgs, ctx, flow->target);
}

struct homes *homes_new(const struct homes_deps *deps)
{
	struct homes *homes = g_new0(struct homes, 1);

	homes->cfg = deps->cfg;
	homes->mem = deps->mem;
	homes->tgs = deps->tgs;
	homes->tab = deps->tab;
	homes->services =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, service_state_free);
	homes->service_list = g_ptr_array_new();
	homes->peers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	homes->lost_members = g_array_new(FALSE, FALSE, sizeof(struct lost_member));
	homes->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	homes->queries = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, query_free);
	homes->org_parked = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	homes->saved = g_new0(struct saved_opening, SAVED_OPENINGS);
	homes->sweep_slots = SWEEP_MIN_SLOTS;
	flowtab_set_evict_handler(homes->tab, flow_evicted, homes);
	return homes;
}

static gboolean drop_call(gpointer key, gpointer value, gpointer arg)
{
	(void)key;
	call_free(arg, value);
	return TRUE;
}

void homes_free(struct homes *homes)
{
	if (!homes)
		return;
	flowtab_set_evict_handler(homes->tab, NULL, NULL);
	g_hash_table_foreach_remove(homes->calls, drop_call, homes);
	g_hash_table_unref(homes->calls);
	g_hash_table_unref(homes->queries);
	g_hash_table_unref(homes->services);
	g_ptr_array_unref(homes->service_list);
	g_array_unref(homes->peers);
	g_array_unref(homes->lost_members);
	g_array_unref(homes->org_parked);
	g_free(homes->saved);
	g_free(homes);
}

struct service_state *homes_service(struct homes *homes, struct service_addr addr)
{
	uint64_t key = addr_key(addr);

	return g_hash_table_lookup(homes->services, &key);
}

struct shard *homes_shard(struct homes *homes, struct service_addr addr, uint32_t index)
{
	struct service_state *st = homes_service(homes, addr);

	return st && index < SHARDS_PER_SERVICE ? &st->shards[index] : NULL;
}

void shard_each(struct homes *homes, void (*fn)(struct homes *, struct ctx *, struct shard *),
		struct ctx *ctx)
{
	for (guint i = 0; i < homes->service_list->len; i++) {
		struct service_state *st = g_ptr_array_index(homes->service_list, i);

		for (size_t s = 0; s < SHARDS_PER_SERVICE; s++)
			fn(homes, ctx, &st->shards[s]);
	}
}

bool shard_acting(const struct homes *homes, const struct ctx *ctx, const struct shard *shard)
{
	return shard->role == SHARD_HOME && members_home_lease_fresh(homes->mem, ctx->now);
}

bool shard_single(const struct homes *homes, const struct ctx *ctx, const struct shard *shard,
		  const struct bucket *bucket)
{
	if (bucket->mode != BUCKET_SINGLE || homes->maybe_partitioned ||
	    !members_lease_fresh(homes->mem, ctx->now))
		return false;
	switch ((enum shard_role)shard->role) {
	case SHARD_HOME:
		return !shard->lead->incomplete;
	case SHARD_RECOVERING:
		return shard->valid && homes->majority;
	case SHARD_FOLLOWER:
		/*
		 * A home that is out of contact and on the side of the minority changes no buckets;
		 * see assign.c.
		 */
		return shard->valid &&
		       (homes->majority || members_may_route(homes->mem, shard->home, ctx->now));
	}
	return false;
}

static bool answers_calls(enum member_state state)
{
	return state == MEMBER_LIVE || state == MEMBER_LEAVING || state == MEMBER_SUSPECT;
}

uint32_t shard_home(const struct homes *homes, const struct ctx *ctx, const struct shard *shard)
{
	uint32_t self = members_self(homes->mem);
	uint32_t id = shard->home;

	if (ts_cmp(ctx->now, shard->home_unreachable_until) < 0)
		return MEMBER_NONE;
	if (id == MEMBER_NONE || id == self || !answers_calls(members_state(homes->mem, id)))
		id = members_home(homes->mem, shard->owner->addr, shard->index, 0);
	return id == self ? MEMBER_NONE : id;
}

peer_shard shard_header(const struct shard *shard)
{
	return (peer_shard){
		.service = {
			.ip = shard->owner->addr.ep.ip,
			.port_proto = (uint32_t)shard->owner->addr.ep.port << 16 |
				      shard->owner->addr.proto,
		},
		.shard = shard->index,
		.term = shard->term,
		.home = shard->home,
		.epoch = shard->epoch,
	};
}

static struct service_addr header_addr(const peer_service *svc)
{
	return (struct service_addr){
		.ep = { .ip = svc->ip, .port = (uint16_t)(svc->port_proto >> 16) },
		.proto = (uint8_t)svc->port_proto,
	};
}

static struct shard *header_shard(struct homes *homes, const peer_shard *header)
{
	return homes_shard(homes, header_addr(&header->service), header->shard);
}

static void add_service(struct service *svc, void *arg)
{
	struct homes *homes = arg;
	uint64_t key = addr_key(svc->addr);
	struct service_state *st = g_hash_table_lookup(homes->services, &key);

	if (!st) {
		st = g_new0(struct service_state, 1);
		st->addr = svc->addr;
		st->weights = g_array_new(FALSE, FALSE, sizeof(struct weighted_target));
		for (uint8_t s = 0; s < SHARDS_PER_SERVICE; s++) {
			struct shard *shard = &st->shards[s];

			shard->owner = st;
			shard->index = s;
			for (size_t b = 0; b < BUCKETS_PER_SHARD; b++)
				shard->buckets[b] = (struct bucket){
					.base = TARGET_NONE,
					.current = TARGET_NONE,
				};
		}
		g_hash_table_insert(homes->services, g_memdup2(&key, sizeof(key)), st);
	}
	st->svc = svc;
}

static gboolean service_gone(gpointer key, gpointer value, gpointer arg)
{
	(void)key;
	(void)arg;
	return !((struct service_state *)value)->svc;
}

static void update_members(struct homes *homes, struct ctx *ctx);

void homes_config_changed(struct homes *homes, struct ctx *ctx)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, homes->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct service_state *)value)->svc = NULL;
	config_each_service(homes->cfg, add_service, homes);
	g_hash_table_foreach_remove(homes->services, service_gone, NULL);
	g_ptr_array_set_size(homes->service_list, 0);
	g_hash_table_iter_init(&it, homes->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(homes->service_list, value);
	homes->config_changes++;
	homes->members_version = 0; /* elects the homes of new services */
	update_members(homes, ctx);
}

static void add_peer(uint32_t id, void *arg)
{
	GArray *peers = arg;

	if (peers->len < PEER_MAX_MEMBERS)
		g_array_append_val(peers, id);
}

static bool is_peer(const struct homes *homes, uint32_t id)
{
	for (guint i = 0; i < homes->peers->len; i++)
		if (g_array_index(homes->peers, uint32_t, i) == id)
			return true;
	return false;
}

/*
 * Adds the peers of @before that are no longer present to the lost members, and removes those that
 * returned or are older than LOST_MEMBER_KEEP_MS.
 */
static void update_lost_members(struct homes *homes, const GArray *before)
{
	struct lost_member lost_member = { .since = homes->last_timer };

	for (guint i = homes->lost_members->len; i-- > 0;) {
		lost_member = g_array_index(homes->lost_members, struct lost_member, i);
		if (is_peer(homes, lost_member.id) ||
		    ts_diff_ms(homes->last_timer, lost_member.since) >= LOST_MEMBER_KEEP_MS)
			g_array_remove_index(homes->lost_members, i);
	}
	lost_member.since = homes->last_timer;
	for (guint i = 0; i < before->len; i++) {
		lost_member.id = g_array_index(before, uint32_t, i);
		if (!is_peer(homes, lost_member.id) && homes->lost_members->len < PEER_MAX_MEMBERS)
			g_array_append_val(homes->lost_members, lost_member);
	}
}

static void update_members(struct homes *homes, struct ctx *ctx)
{
	GArray *before = homes->peers;
	uint64_t version = members_version(homes->mem) + 1;

	/* The version changes only with possible homes, the peers also with other members. */
	homes->peers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	members_for_each(homes->mem, add_peer, homes->peers);
	update_lost_members(homes, before);
	if (before->len != homes->peers->len ||
	    (before->len &&
	     memcmp(before->data, homes->peers->data, before->len * sizeof(uint32_t)) != 0))
		homes->busy_until = ts_add_ms(ctx->now, BUSY_SERVICE_MS);
	g_array_unref(before);
	if (version == homes->members_version)
		return;
	homes->members_version = version;
	homes->busy_until = ts_add_ms(ctx->now, BUSY_SERVICE_MS);
	for (guint i = 0; i < homes->service_list->len; i++) {
		struct service_state *st = g_ptr_array_index(homes->service_list, i);

		for (uint32_t s = 0; s < SHARDS_PER_SERVICE; s++)
			st->shards[s].elected = members_home(homes->mem, st->addr, s, 0) ==
						members_self(homes->mem);
	}
}

static void invalidate(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	(void)homes;
	(void)ctx;
	shard->valid = false;
}

/*
 * A home that was out of contact for a lease may have changed buckets without this member, unless
 * it is on the side of the minority.
 */
static void invalidate_silent_home(struct homes *homes, struct ctx *ctx, struct shard *shard)
{
	if (shard->role == SHARD_FOLLOWER && shard->valid &&
	    !members_may_route(homes->mem, shard->home, ctx->now))
		shard->valid = false;
}

/* Updates the state of the lease, the majority and a possible partition. */
static void update_contact(struct homes *homes, struct ctx *ctx)
{
	bool maybe_partitioned = members_maybe_partitioned(homes->mem);
	bool fresh = members_lease_fresh(homes->mem, ctx->now);
	guint may_route = 1;
	bool majority;

	for (guint i = 0; i < homes->peers->len; i++)
		may_route += members_may_route(homes->mem, g_array_index(homes->peers, uint32_t, i),
					       ctx->now);
	majority = may_route * 2 > homes->peers->len + homes->lost_members->len + 1;
	if (majority != homes->majority || maybe_partitioned != homes->maybe_partitioned)
		homes->busy_until = ts_add_ms(ctx->now, BUSY_SERVICE_MS);
	homes->majority = majority;
	if (!members_home_lease_fresh(homes->mem, ctx->now))
		shard_each(homes, shard_give_up, ctx);
	else if (maybe_partitioned)
		shard_each(homes, invalidate, ctx);
	else if (!homes->majority)
		shard_each(homes, invalidate_silent_home, ctx);
	homes->maybe_partitioned = maybe_partitioned;
	if (maybe_partitioned)
		homes->last_partition = ctx->now;
	homes->fresh = fresh;
}

/* Detects a pause of the process before the next timer: all state must be resynced before use. */
static void check_pause(struct homes *homes, struct ctx *ctx)
{
	if (homes->started && ts_diff_ms(ctx->now, homes->last_timer) > ROUTING_LEASE_MIN_MS)
		homes_step_down(homes, ctx);
}

void homes_step_down(struct homes *homes, struct ctx *ctx)
{
	shard_each(homes, shard_give_up, ctx);
	homes->last_timer = ctx->now;
}

/* Visits the flows of the next shards, so that each shard is visited within REFRESH_INTERVAL_MS. */
static void visit_flows(struct homes *homes, struct ctx *ctx)
{
	size_t total = (size_t)homes->service_list->len * SHARDS_PER_SERVICE;
	size_t share = MAX(1, total * TIMER_INTERVAL_MS / REFRESH_INTERVAL_MS);

	for (size_t i = 0; total && i < share; i++) {
		struct service_state *st;
		struct shard *shard;

		homes->flow_visit_pos = (homes->flow_visit_pos + 1) % total;
		st = g_ptr_array_index(homes->service_list,
				       homes->flow_visit_pos / SHARDS_PER_SERVICE);
		shard = &st->shards[homes->flow_visit_pos % SHARDS_PER_SERVICE];
		if (shard->role == SHARD_HOME)
			assign_settle(homes, ctx, shard);
		else
			follow_refresh(homes, ctx, shard);
	}
}

/* Whether a change or transfer of the shard is under way, so that every timer must visit it. */
static bool needs_visit(const struct homes *homes, const struct shard *shard)
{
	const struct shard_lead *lead = shard->lead;

	if (shard->role == SHARD_FOLLOWER)
		return !shard->valid || (shard->elected && !homes->leaving);
	if (shard->role == SHARD_RECOVERING || lead->pending || lead->share_requested ||
	    lead->copying || lead->incomplete || !lead->announced_certain)
		return true;
	for (guint i = 0; i < lead->peers->len; i++) {
		const struct shard_peer *peer = &g_array_index(lead->peers, struct shard_peer, i);

		if (!peer->answered || peer->acked < shard->epoch)
			return true;
	}
	return false;
}

static void visit_service(struct homes *homes, struct ctx *ctx, struct service_state *st,
			  uint32_t *syncs)
{
	for (size_t s = 0; s < SHARDS_PER_SERVICE; s++) {
		struct shard *shard = &st->shards[s];

		recover_timer(homes, ctx, shard);
		assign_timer(homes, ctx, shard);
		follow_timer(homes, ctx, shard, syncs);
		if (needs_visit(homes, shard))
			st->busy_until = ts_add_ms(ctx->now, BUSY_SERVICE_MS);
	}
}

static void visit_services(struct homes *homes, struct ctx *ctx)
{
	const uint32_t max_turns = REVIEW_INTERVAL_MS / TIMER_INTERVAL_MS;
	const uint32_t turns = MIN(max_turns, 1 + homes->service_list->len * SHARDS_PER_SERVICE /
							      SHARDS_PER_TIMER);
	bool all = ts_cmp(ctx->now, homes->busy_until) < 0;
	uint32_t syncs = SYNCS_PER_TIMER;

	homes->visit_turn = (homes->visit_turn + 1) % turns;
	for (guint i = 0; i < homes->service_list->len; i++) {
		struct service_state *st = g_ptr_array_index(homes->service_list, i);

		weights_refresh(homes, ctx, st);
		if (all || i % turns == homes->visit_turn || ts_cmp(ctx->now, st->busy_until) < 0)
			visit_service(homes, ctx, st, &syncs);
	}
}

void homes_timer(struct homes *homes, struct ctx *ctx)
{
	uint64_t version = targets_version(homes->tgs);

	check_pause(homes, ctx);
	homes->started = true;
	homes->last_timer = ctx->now;
	update_members(homes, ctx);
	update_contact(homes, ctx);
	if (version != homes->targets_version)
		homes->busy_until = ts_add_ms(ctx->now, BUSY_SERVICE_MS);
	homes->targets_version = version;
	visit_services(homes, ctx);
	visit_flows(homes, ctx);
	query_timer(homes, ctx);
	calls_expire(homes, ctx);
	homes->sweep_slots = MAX(SWEEP_MIN_SLOTS, flowtab_slots(homes->tab) / SWEEP_TIMERS);
	flowtab_sweep(homes->tab, ctx, homes->sweep_slots, flow_expired, homes);
}

void homes_leave(struct homes *homes, struct ctx *ctx)
{
	homes->leave_by = ts_add_ms(ctx->now, LEAVE_TIMEOUT_MS);
	homes->busy_until = homes->leave_by;
	homes->leaving = true;
	members_set_own_state(homes->mem, MEMBER_LEAVING);
}

/* Whether no other member can become home: all of them are leaving, left or dead. */
static bool no_member_remains(const struct homes *homes)
{
	for (guint i = 0; i < homes->peers->len; i++) {
		uint32_t id = g_array_index(homes->peers, uint32_t, i);

		if (members_state(homes->mem, id) != MEMBER_LEAVING)
			return false;
	}
	return true;
}

bool homes_left(const struct homes *homes)
{
	uint32_t self = members_self(homes->mem);
	bool late = ts_cmp(homes->last_timer, homes->leave_by) >= 0;

	if (!homes->leaving || homes->parked)
		return false;
	/* If a partition hides the other members, they need this instance's pins when it heals. */
	if (no_member_remains(homes) && (!homes->maybe_partitioned || late))
		return true;
	for (guint i = 0; i < homes->service_list->len; i++) {
		const struct service_state *st = g_ptr_array_index(homes->service_list, i);

		for (size_t s = 0; s < SHARDS_PER_SERVICE; s++)
			if (st->shards[s].role != SHARD_FOLLOWER || st->shards[s].home == self ||
			    (st->shards[s].handover_pending && !late))
				return false;
	}
	return true;
}

/* The header of a message about a shard, or NULL. */
static const peer_shard *msg_shard(const peer_msg *msg)
{
	switch (msg->type) {
	case PEER_SHARD_ANNOUNCE:
		return &msg->peer_msg_u.announce.shard;
	case PEER_SHARD_PULL:
		return &msg->peer_msg_u.pull.shard;
	case PEER_PASS:
		return &msg->peer_msg_u.pass.shard;
	case PEER_ANSWER_NOTE:
		return &msg->peer_msg_u.note.shard;
	case PEER_PIN_BATCH:
		return &msg->peer_msg_u.pins.shard;
	default:
		return NULL;
	}
}

void homes_peer(struct homes *homes, struct ctx *ctx, uint32_t src, uint32_t xid,
		const peer_msg *msg)
{
	const peer_shard *header = msg_shard(msg);
	struct shard *shard = header ? header_shard(homes, header) : NULL;

	check_pause(homes, ctx);
	if (msg->type == PEER_FLOW_QUERY) {
		query_received(homes, ctx, src, xid, &msg->peer_msg_u.query);
		return;
	}
	if (!shard) {
		follow_unknown(ctx, src, xid, msg);
		return;
	}
	if (msg->type == PEER_SHARD_ANNOUNCE || msg->type == PEER_SHARD_PULL)
		shard->owner->busy_until = ts_add_ms(ctx->now, BUSY_SERVICE_MS);
	switch (msg->type) {
	case PEER_SHARD_ANNOUNCE:
		follow_announce(homes, ctx, shard, src, xid, &msg->peer_msg_u.announce);
		break;
	case PEER_SHARD_PULL:
		follow_pull(homes, ctx, shard, src, xid, &msg->peer_msg_u.pull);
		break;
	case PEER_PASS:
		pass_received(homes, ctx, shard, src, xid, &msg->peer_msg_u.pass);
		break;
	case PEER_ANSWER_NOTE:
		note_received(homes, ctx, shard, src, xid, &msg->peer_msg_u.note);
		break;
	case PEER_PIN_BATCH:
		follow_pins(homes, ctx, shard, src, xid, &msg->peer_msg_u.pins);
		break;
	default:
		break;
	}
}

void homes_reply(struct homes *homes, struct ctx *ctx, uint32_t src, uint64_t call_id,
		 enum call_status status, const peer_msg *msg)
{
	struct call *call = g_hash_table_lookup(homes->calls, &call_id);
	struct shard *shard;
	gpointer key;

	/* Ignores late and repeated replies, which have no call, and those of another member. */
	if (!call || (status == CALL_OK && src != call->dst))
		return;
	check_pause(homes, ctx);
	g_hash_table_steal_extended(homes->calls, &call_id, &key, NULL);
	g_free(key);
	if (status != CALL_OK)
		msg = NULL;
	shard = homes_shard(homes, call->addr, call->index);
	if (shard) {
		switch (call->kind) {
		case CALL_ANNOUNCE:
			assign_announced(homes, ctx, shard, call, msg);
			break;
		case CALL_PULL:
			recover_pulled(homes, ctx, shard, call, msg);
			break;
		case CALL_SYNC:
			follow_synced(homes, ctx, shard, msg);
			break;
		case CALL_PASS:
			pass_answered(homes, ctx, shard, call, msg);
			break;
		case CALL_NOTE:
			note_answered(homes, ctx, shard, call, msg);
			break;
		case CALL_QUERY:
		case CALL_FORGET:
			query_answered(homes, ctx, call, msg);
			break;
		case CALL_BACKUP:
			pass_backed_up(homes, ctx, shard, call, msg);
			break;
		case CALL_COPY:
			recover_copied(homes, ctx, shard, call, msg);
			break;
		}
	}
	call_free(homes, call);
}

void homes_packet(struct homes *homes, struct ctx *ctx, struct service *svc, uint64_t hash,
		  const struct packet *pkt)
{
	struct service_state *st = homes_service(homes, svc->addr);

	check_pause(homes, ctx);
	if (st)
		route_packet(homes, ctx, &st->shards[shard_of(hash)], hash, pkt);
	else
		ctx->counters->drop_no_service++;
}

void homes_answer(struct homes *homes, struct ctx *ctx, struct service *svc, uint64_t hash,
		  const struct answer *ans)
{
	struct service_state *st = homes_service(homes, svc->addr);
	const struct target_config *tc = config_target(homes->cfg, svc, ans->target);

	check_pause(homes, ctx);
	if (!st)
		ctx->counters->drop_no_service++;
	else if (!tc)
		ctx->counters->drop_foreign++;
	else
		route_answer(homes, ctx, &st->shards[shard_of(hash)], hash, tc->index, ans);
}

void homes_get_status(const struct homes *homes, struct homes_status *st)
{
	*st = (struct homes_status){ .parked = homes->parked };
	for (guint i = 0; i < homes->service_list->len; i++) {
		const struct service_state *state = g_ptr_array_index(homes->service_list, i);

		for (size_t s = 0; s < SHARDS_PER_SERVICE; s++) {
			const struct shard *shard = &state->shards[s];

			st->homed += shard->role == SHARD_HOME;
			st->uncertain +=
				shard->role == SHARD_HOME && !shard->lead->announced_certain;
			for (size_t b = 0; b < BUCKETS_PER_SHARD; b++)
				st->shared += shard->buckets[b].mode == BUCKET_SHARED;
		}
	}
	st->pins = flowtab_held(homes->tab);
}
