/* Nodes of the in-memory network that have configuration and distribute it. */
#ifndef SIMSYNC_H
#define SIMSYNC_H

#include <stdio.h>

#include "confsync.h"
#include "simnet.h"
#include "target.h"

struct sync_node {
	struct config *cfg;
	struct confsync *sync;
	struct targets *tgs; /* optional: see simsync_targets() */
	bool watching;
	uint64_t pulls_served;
};

static inline void simsync_changed(struct sim_node *node, struct ctx *ctx)
{
	struct sync_node *sn = node->user;

	members_set_config_digest(node->mem, config_digest(sn->cfg));
	if (sn->tgs)
		targets_config_changed(sn->tgs, ctx);
}

static inline void simsync_message(struct simnet *net, struct sim_node *node, struct ctx *ctx,
				   uint32_t src, uint32_t xid, const peer_msg *msg)
{
	struct sync_node *sn = node->user;

	(void)net;
	sn->pulls_served += msg->type == PEER_CONFIG_PULL;
	if (msg->type == PEER_HEARTBEAT)
		confsync_digest(sn->sync, ctx, src, msg->peer_msg_u.heartbeat.config_digest);
	if (msg->type == PEER_HEARTBEAT && sn->tgs)
		targets_news(sn->tgs, ctx, src, msg->peer_msg_u.heartbeat.news.news_val,
			     msg->peer_msg_u.heartbeat.news.news_len);
	if (msg->type != PEER_HEARTBEAT)
		confsync_peer(sn->sync, ctx, src, xid, msg);
}

static inline void simsync_reply(struct simnet *net, struct sim_node *node, struct ctx *ctx,
				 uint32_t src, uint64_t call_id, enum call_status status,
				 const peer_msg *msg)
{
	struct sync_node *sn = node->user;

	(void)net;
	if (confsync_reply(sn->sync, ctx, src, call_id, status, msg))
		simsync_changed(node, ctx);
}

static inline void simsync_timer(struct simnet *net, struct sim_node *node, struct ctx *ctx)
{
	struct sync_node *sn = node->user;

	(void)net;
	confsync_timer(sn->sync, ctx);
	if (sn->tgs)
		targets_timer(sn->tgs, ctx);
}

static inline void simsync_action(struct simnet *net, struct sim_node *node,
				  const struct action *act)
{
	struct sync_node *sn = node->user;
	struct health_report rep = { .target = act->target, .reachable = true, .ready = true };
	struct ctx ctx = sim_ctx(net, node);
	struct actions none;

	if (act->type == ACTION_WATCH)
		sn->watching = act->on;
	if (act->type != ACTION_PROBE)
		return;
	/* A report adds no actions, and the node's own list is being executed. */
	actions_init(&none);
	ctx.out = &none;
	rep.start_marker = 7;
	rep.load_permille = random_below(&net->random.random, 1000);
	targets_health(sn->tgs, &ctx, &rep);
	actions_release(&none);
}

/* Adds health and load of targets to a node. */
static inline void simsync_targets(struct sim_node *node)
{
	struct sync_node *sn = node->user;

	sn->tgs = targets_new(sn->cfg, node->mem);
	members_set_news_source(node->mem, targets_news_source(sn->tgs));
}

static inline void simsync_stop(struct sim_node *node)
{
	struct sync_node *sn = node->user;

	if (!sn)
		return;
	confsync_free(sn->sync);
	targets_free(sn->tgs);
	config_free(sn->cfg);
	g_free(sn);
	node->user = NULL;
}

/* (Re)starts a node without any configuration. @fleet_key as for config_new(). */
static inline void simsync_start(struct simnet *net, uint32_t i, uint32_t incarnation,
				 const uint8_t *fleet_key)
{
	struct sim_node *node = &net->nodes[i];
	struct sync_node *sn = g_new0(struct sync_node, 1);

	simsync_stop(node);
	for (guint c = 0; node->calls && c < node->calls->len; c++)
		g_bytes_unref(g_array_index(node->calls, struct sim_call, c).bytes);
	if (node->calls)
		g_array_set_size(node->calls, 0);
	simnet_start(net, i, incarnation);
	sn->cfg = config_new(fleet_key);
	sn->sync = confsync_new(sn->cfg, node->mem);
	node->user = sn;
}

static inline struct simnet *simsync_new(uint64_t seed, uint32_t nr, uint32_t group_size,
					 const uint8_t *fleet_key)
{
	struct simnet *net = simnet_new(seed, nr, group_size, group_size);

	net->on_message = simsync_message;
	net->on_reply = simsync_reply;
	net->on_timer = simsync_timer;
	net->on_action = simsync_action;
	for (uint32_t i = 0; i < nr; i++)
		simsync_start(net, i, 1, fleet_key);
	return net;
}

static inline void simsync_free(struct simnet *net)
{
	for (uint32_t i = 0; i < net->nr; i++)
		simsync_stop(&net->nodes[i]);
	simnet_free(net);
}

/* Passes an object from the platform's watch to one node. Returns whether it was applied. */
static inline bool simsync_object(struct simnet *net, uint32_t i, const struct object *obj)
{
	struct sim_node *node = &net->nodes[i];
	struct sync_node *sn = node->user;
	struct ctx ctx = sim_ctx(net, node);
	bool changed = confsync_object(sn->sync, &ctx, obj);

	if (changed)
		simsync_changed(node, &ctx);
	sim_run_actions(net, node);
	return changed;
}

/* Document of an organisation with one service, padded in its parameters to at least @len bytes. */
static inline GString *simsync_document(const char *org, uint64_t generation, uint32_t ip,
					size_t len)
{
	GString *doc = g_string_new(NULL);

	g_string_printf(
		doc,
		"{\"organisation\":\"%s\",\"generation\":%u,\"services\":[{\"name\":\"s\","
		"\"address\":\"192.0.2.%u:443\",\"protocol\":\"tcp\",\"targets\":[{"
		"\"name\":\"t\",\"address\":\"198.51.100.%u:6080\",\"data_centre\":\"dc-0\","
		"\"health\":\"198.51.100.%u:8080\"}]}],\"parameters\":{\"pad\":\"",
		org, (unsigned)generation, ip, ip, ip);
	while (doc->len + 3 < len)
		g_string_append_c(doc, (char)('a' + doc->len % 26));
	g_string_append(doc, "\"}}");
	return doc;
}

static inline void simsync_put(struct simnet *net, uint32_t i, const char *org, uint64_t generation,
			       uint32_t ip, size_t len)
{
	GString *doc = simsync_document(org, generation, ip, len);
	struct object obj = {
		.kind = PEER_OBJECT_ORGANISATION,
		.name = org,
		.generation = generation,
		.document = (const uint8_t *)doc->str,
		.len = doc->len,
	};

	simsync_object(net, i, &obj);
	g_string_free(doc, TRUE);
}

static inline uint64_t simsync_generation(const struct simnet *net, uint32_t i, const char *org)
{
	const struct sync_node *sn = net->nodes[i].user;
	const struct object *obj = config_object(sn->cfg, PEER_OBJECT_ORGANISATION, org);

	return obj ? obj->generation : 0;
}

/* Runs until all running nodes of a range have the generation. Returns the ms, or @limit_ms. */
static inline int64_t simsync_wait(struct simnet *net, uint32_t first, uint32_t nr, const char *org,
				   uint64_t generation, int64_t limit_ms)
{
	int64_t start = sim_ms(net);

	while (sim_ms(net) < start + limit_ms) {
		uint32_t have = 0;

		for (uint32_t i = first; i < first + nr; i++)
			have += net->nodes[i].down || simsync_generation(net, i, org) >= generation;
		if (have == nr)
			return sim_ms(net) - start;
		sim_step(net);
	}
	return limit_ms;
}

#endif
