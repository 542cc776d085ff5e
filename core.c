#include "core.h"

#include "confsync.h"
#include "flowtab.h"

/* The top byte of a peer call's id names the module that made the call. */
#define CALL_OWNER_SHIFT 56

enum call_owner {
	CALL_OWNER_HOMES = 1,
	CALL_OWNER_CONFSYNC = 2,
};

struct core {
	struct counters counters;
	struct config *cfg;
	struct members *mem;
	struct targets *tgs;
	struct flowtab *tab;
	struct homes *homes;
	struct confsync *sync;
	struct random *random;
	unsigned char flow_key[FLOW_KEY_BYTES];
	struct timespec start;
	bool stopping;
	bool stopped;
};

struct core *core_new(const struct core_options *opts)
{
	struct core *core = g_new0(struct core, 1);

	memcpy(core->flow_key, opts->flow_key, sizeof(core->flow_key));
	core->random = opts->random;
	core->start = opts->start;
	core->cfg = config_new(opts->fleet_key);
	core->mem = members_new(&opts->members);
	core->tgs = targets_new(core->cfg, core->mem);
	core->tab = flowtab_new(opts->max_flows, opts->start);
	core->homes = homes_new(&(struct homes_deps){
		.cfg = core->cfg,
		.mem = core->mem,
		.tgs = core->tgs,
		.tab = core->tab,
	});
	core->sync = confsync_new(core->cfg, core->mem);
	members_set_news_source(core->mem, targets_news_source(core->tgs));
	return core;
}

void core_free(struct core *core)
{
	if (!core)
		return;
	confsync_free(core->sync);
	homes_free(core->homes);
	flowtab_free(core->tab);
	targets_free(core->tgs);
	members_free(core->mem);
	config_free(core->cfg);
	g_free(core);
}

/* Marks the peer calls added since @first as made by @owner, which then gets their replies. */
static void mark_calls(struct actions *out, guint first, enum call_owner owner)
{
	for (guint i = first; i < out->list->len; i++) {
		struct action *act = &g_array_index(out->list, struct action, i);

		if (act->type == ACTION_PEER_CALL && !(act->call_id >> CALL_OWNER_SHIFT))
			act->call_id |= (uint64_t)owner << CALL_OWNER_SHIFT;
	}
}

static void config_changed(struct core *core, struct ctx *ctx)
{
	members_set_config_digest(core->mem, config_digest(core->cfg));
	targets_config_changed(core->tgs, ctx);
	homes_config_changed(core->homes, ctx);
}

/*
 * An instance that starts waits for one routing lease before it becomes a candidate for homes.
 * Otherwise, each of several instances that start together would assume that it is the only member,
 * and they would assign the same shards differently.
 */
static void join_when_ready(struct core *core, const struct ctx *ctx)
{
	if (core->stopping || !config_ready(core->cfg) ||
	    ts_diff_ms(ctx->now, core->start) < members_lease_ms(core->mem) ||
	    members_state(core->mem, members_self(core->mem)) != MEMBER_JOINING)
		return;
	members_set_own_state(core->mem, MEMBER_LIVE);
}

static uint64_t get_flow_hash(const struct core *core, const struct flow_key *key,
			      uint64_t precomputed)
{
	return precomputed ? precomputed : flow_hash(key, core->flow_key);
}

uint64_t core_prefetch(struct core *core, const struct flow_key *key)
{
	uint64_t hash = flow_hash(key, core->flow_key);

	flowtab_prefetch_tags(core->tab, hash);
	return hash;
}

void core_prefetch_flow(struct core *core, uint64_t hash)
{
	flowtab_prefetch_flow(core->tab, hash);
}

static void handle_packet(struct core *core, struct ctx *ctx, const struct packet *pkt)
{
	struct service *svc;

	ctx->counters->packets_in++;
	if (!config_ready(core->cfg)) {
		ctx->counters->drop_no_config++;
		return;
	}
	svc = config_service(core->cfg, pkt->key.service);
	if (!svc) {
		ctx->counters->drop_no_service++;
		return;
	}
	if (pkt->deadline_ms != NO_DEADLINE && pkt->deadline_ms <= 0) {
		ctx->counters->drop_deadline++;
		return;
	}
	homes_packet(core->homes, ctx, svc, get_flow_hash(core, &pkt->key, pkt->hash), pkt);
}

static void handle_answer(struct core *core, struct ctx *ctx, const struct answer *ans)
{
	struct service *svc = config_service(core->cfg, ans->key.service);

	ctx->counters->answers_in++;
	if (!svc) {
		ctx->counters->drop_no_service++;
		return;
	}
	if (!config_target(core->cfg, svc, ans->target)) {
		ctx->counters->drop_foreign++;
		return;
	}
	homes_answer(core->homes, ctx, svc, get_flow_hash(core, &ans->key, ans->hash), ans);
}

static void handle_heartbeat(struct core *core, struct ctx *ctx, uint32_t src,
			     const peer_heartbeat *hb)
{
	guint first;

	members_receive_heartbeat(core->mem, ctx, src, hb);
	targets_news(core->tgs, ctx, src, hb->news.news_val, hb->news.news_len);
	first = ctx->out->list->len;
	confsync_digest(core->sync, ctx, src, hb->config_digest);
	mark_calls(ctx->out, first, CALL_OWNER_CONFSYNC);
}

static void handle_peer(struct core *core, struct ctx *ctx, uint32_t src, uint32_t xid,
			const peer_msg *msg)
{
	guint first = ctx->out->list->len;

	switch (msg->type) {
	case PEER_HEARTBEAT:
		handle_heartbeat(core, ctx, src, &msg->peer_msg_u.heartbeat);
		break;
	case PEER_CONFIG_DIGEST:
	case PEER_CONFIG_PULL:
	case PEER_CONFIG_OBJECT:
		confsync_peer(core->sync, ctx, src, xid, msg);
		mark_calls(ctx->out, first, CALL_OWNER_CONFSYNC);
		break;
	default:
		homes_peer(core->homes, ctx, src, xid, msg);
		break;
	}
}

static void handle_reply(struct core *core, struct ctx *ctx, const struct event *ev)
{
	uint64_t call_id = ev->reply.call_id & ((1ULL << CALL_OWNER_SHIFT) - 1);
	guint first = ctx->out->list->len;
	bool changed;

	switch (ev->reply.call_id >> CALL_OWNER_SHIFT) {
	case CALL_OWNER_HOMES:
		homes_reply(core->homes, ctx, ev->reply.src, call_id, ev->reply.status,
			    ev->reply.msg);
		break;
	case CALL_OWNER_CONFSYNC:
		changed = confsync_reply(core->sync, ctx, ev->reply.src, call_id, ev->reply.status,
					 ev->reply.msg);
		mark_calls(ctx->out, first, CALL_OWNER_CONFSYNC);
		if (changed)
			config_changed(core, ctx);
		break;
	default:
		break;
	}
}

static void handle_timer(struct core *core, struct ctx *ctx)
{
	members_timer(core->mem, ctx);
	join_when_ready(core, ctx);
	if (members_paused(core->mem)) {
		ctx->counters->step_downs++;
		homes_step_down(core->homes, ctx);
	}
	targets_timer(core->tgs, ctx);
	homes_timer(core->homes, ctx);
	if (core->stopping && !core->stopped && homes_left(core->homes)) {
		core->stopped = true;
		members_announce_left(core->mem, ctx);
		actions_add(ctx->out, (struct action){ .type = ACTION_STOP }, NULL, 0);
	}
}

static void handle_shutdown(struct core *core, struct ctx *ctx)
{
	if (core->stopping)
		return;
	core->stopping = true;
	members_set_own_state(core->mem, MEMBER_LEAVING);
	homes_leave(core->homes, ctx);
}

/* Whether an action since @first ends the platform watch, and with it the list of instances. */
static bool watch_ended(const struct actions *out, guint first)
{
	for (guint i = first; i < out->list->len; i++)
		if (actions_at(out, i)->type == ACTION_WATCH && !actions_at(out, i)->on)
			return true;
	return false;
}

/* Passes an object or timer event to confsync and applies a changed configuration. */
static void handle_confsync_event(struct core *core, struct ctx *ctx, const struct event *ev)
{
	guint first = ctx->out->list->len;
	bool changed = false;

	if (ev->type == EVENT_OBJECT)
		changed = confsync_object(core->sync, ctx, &ev->object);
	else
		confsync_timer(core->sync, ctx);
	if (watch_ended(ctx->out, first))
		members_list_unwatched(core->mem, ctx);
	mark_calls(ctx->out, first, CALL_OWNER_CONFSYNC);
	if (changed)
		config_changed(core, ctx);
}

void core_handle(struct core *core, const struct event *ev, struct actions *out)
{
	guint first = out->list->len;
	struct ctx ctx = {
		.now = ev->now,
		.out = out,
		.random = core->random,
		.counters = &core->counters,
	};

	switch (ev->type) {
	case EVENT_PACKET:
		handle_packet(core, &ctx, &ev->packet);
		break;
	case EVENT_ANSWER:
		handle_answer(core, &ctx, &ev->answer);
		break;
	case EVENT_HEALTH:
		targets_health(core->tgs, &ctx, &ev->health);
		break;
	case EVENT_PEER:
		handle_peer(core, &ctx, ev->peer.src, ev->peer.xid, ev->peer.msg);
		break;
	case EVENT_PEER_REPLY:
		handle_reply(core, &ctx, ev);
		break;
	case EVENT_OBJECT:
		handle_confsync_event(core, &ctx, ev);
		break;
	case EVENT_INSTANCES:
		members_apply_list(core->mem, &ctx, ev->instances.list, ev->instances.nr);
		break;
	case EVENT_PLATFORM:
		break;
	case EVENT_TIMER:
		handle_timer(core, &ctx);
		handle_confsync_event(core, &ctx, ev);
		break;
	case EVENT_SHUTDOWN:
		handle_shutdown(core, &ctx);
		break;
	}
	mark_calls(out, first, CALL_OWNER_HOMES);
}

struct counters *core_counters(struct core *core)
{
	return &core->counters;
}

struct config *core_config(struct core *core)
{
	return core->cfg;
}

struct members *core_members(struct core *core)
{
	return core->mem;
}

struct targets *core_targets(struct core *core)
{
	return core->tgs;
}

struct homes *core_homes(struct core *core)
{
	return core->homes;
}

struct flowtab *core_flows(struct core *core)
{
	return core->tab;
}
