/*
 * Baselines of the replay: consistent hashing alone, and consistent hashing with a private flow
 * table in each instance. They get configuration and health like the product, but exchange no
 * messages.
 */
#include "replay-internal.h"

#include <xxhash.h>

#define MAX_PROBE_FAILURES 3

struct baseline_health {
	unsigned int failures;
	bool unready;
};

struct baseline {
	struct config *cfg;
	struct counters counters;
	unsigned char flow_key[FLOW_KEY_BYTES];
	GHashTable *flows;  /* hash to target index + 1; NULL without flow tables */
	GHashTable *health; /* endpoint to struct baseline_health */
	int64_t probed_ms;
};

struct baseline *baseline_new(bool private_tables, const unsigned char flow_key[FLOW_KEY_BYTES])
{
	struct baseline *base = g_new0(struct baseline, 1);

	base->cfg = config_new(NULL);
	memcpy(base->flow_key, flow_key, FLOW_KEY_BYTES);
	if (private_tables)
		base->flows = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	base->health = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	base->probed_ms = -PROBE_INTERVAL_MS;
	return base;
}

void baseline_free(struct baseline *base)
{
	if (!base)
		return;
	config_free(base->cfg);
	if (base->flows)
		g_hash_table_unref(base->flows);
	g_hash_table_unref(base->health);
	g_free(base);
}

struct config *baseline_config(struct baseline *base)
{
	return base->cfg;
}

struct counters *baseline_counters(struct baseline *base)
{
	return &base->counters;
}

size_t baseline_flows(const struct baseline *base)
{
	return base->flows ? g_hash_table_size(base->flows) : 0;
}

static int64_t endpoint_key(struct endpoint ep)
{
	return (int64_t)ep.ip << 16 | ep.port;
}

static struct baseline_health *get_health(struct baseline *base, struct endpoint ep)
{
	int64_t key = endpoint_key(ep);
	struct baseline_health *health = g_hash_table_lookup(base->health, &key);

	if (!health) {
		health = g_new0(struct baseline_health, 1);
		g_hash_table_insert(base->health, g_memdup2(&key, sizeof(key)), health);
	}
	return health;
}

/* Rendezvous hashing over the targets that are healthy, not draining and not withdrawn. */
static const struct target_config *choose_target(struct baseline *base, const struct service *svc,
						 uint64_t hash)
{
	const struct target_config *best = NULL;
	uint64_t best_weight = 0;

	for (guint i = 0; i < svc->targets->len; i++) {
		const struct target_config *tgt =
			&g_array_index(svc->targets, struct target_config, i);
		const struct baseline_health *health = get_health(base, tgt->ep);
		int64_t key = endpoint_key(tgt->ep);
		uint64_t weight = XXH3_64bits_withSeed(&key, sizeof(key), hash % 1024);

		if (tgt->draining || config_withdrawn(base->cfg, svc->org, tgt->dc) ||
		    health->failures >= MAX_PROBE_FAILURES || health->unready)
			continue;
		if (!best || weight > best_weight) {
			best = tgt;
			best_weight = weight;
		}
	}
	return best;
}

static const struct target_config *route(struct baseline *base, const struct service *svc,
					 uint64_t hash, bool opening)
{
	const struct target_config *tgt = NULL;
	gpointer found;

	if (base->flows && !opening) {
		found = g_hash_table_lookup(base->flows, &hash);
		if (found)
			tgt = config_target_by_index(base->cfg, GPOINTER_TO_UINT(found) - 1, NULL);
		if (tgt && !config_withdrawn(base->cfg, svc->org, tgt->dc))
			return tgt;
	}
	tgt = choose_target(base, svc, hash);
	if (tgt && base->flows)
		g_hash_table_replace(base->flows, g_memdup2(&hash, sizeof(hash)),
				     GUINT_TO_POINTER(tgt->index + 1));
	return tgt;
}

static void handle_packet(struct baseline *base, const struct packet *pkt, struct actions *out)
{
	const struct service *svc = config_service(base->cfg, pkt->key.service);
	const struct target_config *tgt;

	base->counters.packets_in++;
	if (!svc)
		return;
	tgt = route(base, svc, flow_hash(&pkt->key, base->flow_key), pkt->kind == PACKET_OPENING);
	if (!tgt)
		return;
	base->counters.forwarded++;
	actions_add(out, (struct action){ .type = ACTION_FORWARD, .target = tgt->ep }, pkt->bytes,
		    pkt->len);
}

struct probe_context {
	struct baseline *base;
	struct actions *out;
};

static void probe_service(struct service *svc, void *arg)
{
	struct probe_context *probe_context = arg;

	for (guint i = 0; i < svc->targets->len; i++) {
		const struct target_config *tgt =
			&g_array_index(svc->targets, struct target_config, i);

		probe_context->base->counters.probes++;
		actions_add(probe_context->out,
			    (struct action){ .type = ACTION_PROBE, .target = tgt->ep }, NULL, 0);
	}
}

static void handle_timer(struct baseline *base, struct timespec now, struct actions *out)
{
	struct probe_context probe_context = { base, out };

	if (ts_to_ms(now) - base->probed_ms < PROBE_INTERVAL_MS)
		return;
	base->probed_ms = ts_to_ms(now);
	config_each_service(base->cfg, probe_service, &probe_context);
}

static void handle_health(struct baseline *base, const struct health_report *rep)
{
	struct baseline_health *health = get_health(base, rep->target);

	health->failures = rep->reachable ? 0 : health->failures + 1;
	health->unready = rep->reachable && !rep->ready;
}

void baseline_handle(struct baseline *base, const struct event *ev, struct actions *out)
{
	switch (ev->type) {
	case EVENT_PACKET:
		handle_packet(base, &ev->packet, out);
		break;
	case EVENT_ANSWER:
		base->counters.answers_in++;
		actions_add(out, (struct action){ .type = ACTION_ANSWER }, ev->answer.bytes,
			    ev->answer.len);
		break;
	case EVENT_HEALTH:
		handle_health(base, &ev->health);
		break;
	case EVENT_OBJECT:
		config_apply(base->cfg, &ev->object);
		break;
	case EVENT_TIMER:
		handle_timer(base, ev->now, out);
		break;
	default:
		break;
	}
}
