/*
 * Measures slopes of a decision core's memory, timer and control traffic, from which
 * docs/CAPACITY.md works out the figures at the design scale. Groups of cores run in memory with a
 * passed-in clock and exchange messages without loss; one of them is measured.
 */
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "core.h"
#include "flowtab.h"
#include "member-internal.h"
#include "shard.h"

#define SEED	      1
#define ORG_SERVICES  20
#define SVC_TARGETS   10
#define WARMUP_MS     60000
#define MEASURE_MS    5000
#define CONTROL_MS    30000
#define GROUP_FLOWS   1000
#define LOOKUPS	      2000000
#define SETTLE_MS     90000 /* until shards and targets of a new group are quiet */
#define PEER_TYPES    32
#define DOWN_MS	      5000
#define MEMORY_MEMBER 1 /* a group of its own */

static const uint32_t service_sizes[] = { 100, 300, 980 };

struct member_node {
	struct core *core;
	struct seeded_random random;
	struct actions acts;
	uint32_t incarnation;
	bool stopped;
	uint64_t bytes; /* control, in and out */
	uint64_t cpu_ns, peer_ns;
	uint64_t timers;
};

struct wire {
	int64_t at;
	enum event_type type; /* EVENT_PEER, EVENT_PEER_REPLY or EVENT_HEALTH */
	uint32_t src, dst;
	uint32_t xid;
	GBytes *bytes;
	struct endpoint target;
};

struct waiting {
	uint32_t src, dst;
	uint64_t call_id;
	int64_t until;
};

struct group {
	struct member_node *nodes;
	uint32_t nr, services;
	int64_t now_ms;
	GQueue wires;	   /* struct wire, in the order of their times */
	GHashTable *calls; /* xid to struct waiting */
	uint32_t next_xid;
	struct endpoint changed; /* target with the condition below */
	bool not_ready, unreachable;
	uint64_t type_bytes[PEER_TYPES]; /* sent by all */
	uint32_t marker;
};

static uint64_t cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * 1000000000u + (uint64_t)ts.tv_nsec;
}

static uint64_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void apply(struct config *cfg, struct core *core, const struct object *obj, int64_t now_ms,
		  struct actions *acts)
{
	struct event ev = { .type = EVENT_OBJECT, .now = ts_from_ms(now_ms), .object = *obj };

	if (core)
		core_handle(core, &ev, acts);
	else
		g_assert_cmpint(config_apply(cfg, obj), >=, 0);
}

static GString *org_document(uint32_t org, uint32_t services, uint64_t generation)
{
	GString *doc = g_string_new(NULL);
	uint32_t nr = MIN(ORG_SERVICES, services - org * ORG_SERVICES);

	g_string_printf(doc, "{\"organisation\":\"o%u\",\"generation\":%u,\"services\":[", org,
			(unsigned)generation);
	for (uint32_t s = 0; s < nr; s++) {
		g_string_append_printf(doc,
				       "%s{\"name\":\"s%u\",\"address\":\"10.%u.0.%u:443\","
				       "\"protocol\":\"tcp\",\"idle_timeout_ms\":120000,"
				       "\"targets\":[",
				       s ? "," : "", s, org, s + 1);
		for (uint32_t t = 0; t < SVC_TARGETS; t++)
			g_string_append_printf(
				doc,
				"%s{\"name\":\"t%u-%u\",\"address\":\"11.%u.%u.%u:6080\","
				"\"data_centre\":\"dc\",\"warmup_ms\":1,"
				"\"health\":\"11.%u.%u.%u:8080\"}",
				t ? "," : "", s, t, org, s, t + 1, org, s, t + 1);
		g_string_append(doc, "]}");
	}
	g_string_append(doc, "]}");
	return doc;
}

static void put(struct config *cfg, struct core *core, peer_object_kind kind, const char *name,
		uint64_t generation, GString *doc, int64_t now_ms, struct actions *acts)
{
	struct object obj = {
		.kind = kind,
		.name = name,
		.generation = generation,
		.document = (const uint8_t *)doc->str,
		.len = doc->len,
	};

	apply(cfg, core, &obj, now_ms, acts);
	g_string_free(doc, TRUE);
}

static void configure(struct config *cfg, struct core *core, uint32_t services, int64_t now_ms,
		      struct actions *acts)
{
	GString *doc = g_string_new("{\"grants\":\"fleet\",\"generation\":1,\"organisations\":[");
	uint32_t orgs = (services + ORG_SERVICES - 1) / ORG_SERVICES;

	for (uint32_t o = 0; o < orgs; o++) {
		g_string_append_printf(doc, "%s{\"name\":\"o%u\",\"key\":\"", o ? "," : "", o);
		for (int i = 0; i < 64; i++)
			g_string_append_c(doc, 'a');
		g_string_append_printf(doc,
				       "\",\"max_flows\":1000,\"addresses\":[\"10.%u.0.0/16\"],"
				       "\"targets\":[\"11.%u.0.0/16\"]}",
				       o, o);
	}
	g_string_append(doc, "]}");
	put(cfg, core, PEER_OBJECT_GRANTS, "fleet", 1, doc, now_ms, acts);
	for (uint32_t o = 0; o < orgs; o++) {
		char name[16];

		g_snprintf(name, sizeof(name), "o%u", o);
		put(cfg, core, PEER_OBJECT_ORGANISATION, name, 1, org_document(o, services, 1),
		    now_ms, acts);
	}
}

static void wire_add(struct group *grp, struct wire wire)
{
	struct wire *copy = g_new(struct wire, 1);

	wire.at = grp->now_ms + 1;
	*copy = wire;
	g_queue_push_tail(&grp->wires, copy);
}

static void carry_out(struct group *grp, uint32_t i)
{
	struct member_node *node = &grp->nodes[i];

	for (size_t k = 0; k < node->acts.list->len; k++) {
		const struct action *act = actions_at(&node->acts, k);
		struct wire wire = { .src = i + 1, .dst = act->dst, .xid = act->xid };

		if (act->type == ACTION_STOP)
			node->stopped = true;
		if (act->type == ACTION_PROBE) {
			wire_add(grp, (struct wire){ .type = EVENT_HEALTH,
						     .dst = i + 1,
						     .target = act->target });
			continue;
		}
		if (act->type != ACTION_PEER_SEND && act->type != ACTION_PEER_CALL &&
		    act->type != ACTION_PEER_REPLY)
			continue;
		if (act->type == ACTION_PEER_CALL) {
			struct waiting *wait = g_new(struct waiting, 1);

			*wait = (struct waiting){
				.src = i + 1,
				.dst = act->dst,
				.call_id = act->call_id,
				.until = grp->now_ms + (int64_t)act->timeout_ms * act->tries,
			};
			wire.xid = ++grp->next_xid;
			g_hash_table_insert(grp->calls, GUINT_TO_POINTER(wire.xid), wait);
		}
		wire.type = act->type == ACTION_PEER_REPLY ? EVENT_PEER_REPLY : EVENT_PEER;
		wire.bytes = g_bytes_new(action_bytes(&node->acts, act), act->len);
		node->bytes += act->len + DATAGRAM_OVERHEAD_BYTES;
		grp->type_bytes[action_bytes(&node->acts, act)[3] % PEER_TYPES] +=
			act->len + DATAGRAM_OVERHEAD_BYTES;
		wire_add(grp, wire);
	}
	actions_reset(&node->acts);
}

static void handle(struct group *grp, uint32_t i, struct event *ev)
{
	struct member_node *node = &grp->nodes[i];
	uint64_t start;

	if (!node->core)
		return;
	ev->now = ts_from_ms(grp->now_ms);
	start = cpu_ns();
	core_handle(node->core, ev, &node->acts);
	if (ev->type == EVENT_TIMER) {
		node->cpu_ns += cpu_ns() - start;
		node->timers++;
	} else {
		node->peer_ns += cpu_ns() - start;
	}
	carry_out(grp, i);
}

static void deliver_health(struct group *grp, const struct wire *wire)
{
	struct event ev = { .type = EVENT_HEALTH };
	bool changed = wire->target.ip == grp->changed.ip;

	ev.health = (struct health_report){
		.target = wire->target,
		.reachable = !(changed && grp->unreachable),
		.ready = !(changed && (grp->not_ready || grp->unreachable)),
		.start_marker = changed ? grp->marker : 1,
		.load_permille = 100,
	};
	handle(grp, wire->dst - 1, &ev);
}

static void deliver(struct group *grp, const struct wire *wire)
{
	struct event ev = { .type = wire->type };
	struct waiting *wait = NULL;
	gsize len;
	const uint8_t *bytes;
	peer_msg msg;

	if (wire->type == EVENT_HEALTH) {
		deliver_health(grp, wire);
		return;
	}
	if (!grp->nodes[wire->dst - 1].core)
		return;
	bytes = g_bytes_get_data(wire->bytes, &len);
	grp->nodes[wire->dst - 1].bytes += len + DATAGRAM_OVERHEAD_BYTES;
	if (wire->type == EVENT_PEER_REPLY) {
		wait = g_hash_table_lookup(grp->calls, GUINT_TO_POINTER(wire->xid));
		if (!wait)
			return;
	}
	g_assert_cmpint(peer_msg_decode(&msg, bytes, len), ==, 0);
	if (wait) {
		ev.reply.src = wire->src;
		ev.reply.call_id = wait->call_id;
		ev.reply.status = CALL_OK;
		ev.reply.msg = &msg;
		g_hash_table_remove(grp->calls, GUINT_TO_POINTER(wire->xid));
	} else {
		ev.peer.src = wire->src;
		ev.peer.xid = wire->xid;
		ev.peer.msg = &msg;
	}
	handle(grp, wire->dst - 1, &ev);
	peer_msg_release(&msg);
}

/* Calls to a member that is down time out. */
static void expire_calls(struct group *grp)
{
	GHashTableIter it;
	gpointer value;
	GArray *late = g_array_new(FALSE, FALSE, sizeof(struct waiting));

	g_hash_table_iter_init(&it, grp->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((struct waiting *)value)->until > grp->now_ms)
			continue;
		g_array_append_vals(late, value, 1);
		g_hash_table_iter_remove(&it);
	}
	for (guint i = 0; i < late->len; i++) {
		const struct waiting *wait = &g_array_index(late, struct waiting, i);
		struct event ev = { .type = EVENT_PEER_REPLY };

		ev.reply.src = wait->dst;
		ev.reply.call_id = wait->call_id;
		ev.reply.status = CALL_TIMEOUT;
		handle(grp, wait->src - 1, &ev);
	}
	g_array_unref(late);
}

static void wire_free(gpointer arg)
{
	struct wire *wire = arg;

	if (wire->bytes)
		g_bytes_unref(wire->bytes);
	g_free(wire);
}

static void group_run(struct group *grp, int64_t ms)
{
	for (int64_t end = grp->now_ms + ms; grp->now_ms < end;) {
		struct wire *wire;

		grp->now_ms++;
		while ((wire = g_queue_peek_head(&grp->wires)) && wire->at <= grp->now_ms) {
			g_queue_pop_head(&grp->wires);
			deliver(grp, wire);
			wire_free(wire);
		}
		if (grp->now_ms % 100 == 0)
			expire_calls(grp);
		for (uint32_t i = 0; i < grp->nr; i++) {
			struct event ev = { .type = EVENT_TIMER };

			if ((grp->now_ms + i * 7) % TIMER_INTERVAL_MS == 0)
				handle(grp, i, &ev);
		}
	}
}

static void start(struct group *grp, uint32_t i)
{
	struct member_node *node = &grp->nodes[i];
	struct core_options opts = {
		.members = { .self = i + 1, .group = "g", .data_centre = "dc" },
		.max_flows = GROUP_FLOWS,
		.random = &node->random.random,
		.start = ts_from_ms(grp->now_ms),
	};
	struct instance_info *list = g_new0(struct instance_info, grp->nr);
	struct event ev = { .type = EVENT_INSTANCES };

	opts.members.incarnation = ++node->incarnation;
	seeded_random_init(&node->random, SEED * 1000 + i + node->incarnation * 100000);
	node->stopped = false;
	node->core = core_new(&opts);
	for (uint32_t k = 0; k < grp->nr; k++) {
		list[k].id = k + 1;
		g_snprintf(list[k].name, sizeof(list[k].name), "i%u", k);
		g_strlcpy(list[k].group, "g", sizeof(list[k].group));
		g_strlcpy(list[k].data_centre, "dc", sizeof(list[k].data_centre));
		list[k].peer = (struct endpoint){ 0x0c000001 + k, 1 };
	}
	ev.instances.list = list;
	ev.instances.nr = grp->nr;
	handle(grp, i, &ev);
	g_free(list);
}

static struct group *group_new(uint32_t nr, uint32_t services)
{
	struct group *grp = g_new0(struct group, 1);

	grp->nodes = g_new0(struct member_node, nr);
	grp->nr = nr;
	grp->services = services;
	grp->now_ms = 100000;
	grp->marker = 1;
	g_queue_init(&grp->wires);
	grp->calls = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	for (uint32_t i = 0; i < nr; i++) {
		actions_init(&grp->nodes[i].acts);
		start(grp, i);
		configure(NULL, grp->nodes[i].core, services, grp->now_ms, &grp->nodes[i].acts);
		carry_out(grp, i);
	}
	return grp;
}

static void group_free(struct group *grp)
{
	for (uint32_t i = 0; i < grp->nr; i++) {
		core_free(grp->nodes[i].core);
		actions_release(&grp->nodes[i].acts);
	}
	g_queue_clear_full(&grp->wires, wire_free);
	g_hash_table_unref(grp->calls);
	g_free(grp->nodes);
	g_free(grp);
}

static void table_memory(void)
{
	printf("memory of a core that has no peers, bytes per service with %d targets; seed %d\n",
	       SVC_TARGETS, SEED);
	printf("%8s %8s %8s %8s %8s\n", "services", "config", "buckets", "rest", "all");
	for (size_t i = 0; i < G_N_ELEMENTS(service_sizes); i++) {
		uint32_t nr = service_sizes[i];
		uint64_t before = heap_bytes(), cfg_bytes, tab_bytes, all;
		struct config *cfg = config_new(NULL);
		struct flowtab *tab;
		struct group *grp;
		uint64_t buckets = sizeof(struct service_state);

		configure(cfg, NULL, nr, 0, NULL);
		cfg_bytes = (heap_bytes() - before) / nr;
		config_free(cfg);
		before = heap_bytes();
		tab = flowtab_new(GROUP_FLOWS, ts_from_ms(0));
		tab_bytes = heap_bytes() - before;
		flowtab_free(tab);
		before = heap_bytes();
		grp = group_new(MEMORY_MEMBER, nr);
		group_run(grp, WARMUP_MS);
		all = (heap_bytes() - before - tab_bytes) / nr;
		group_free(grp);
		printf("%8u %8u %8u %8u %8u\n", nr, (unsigned)cfg_bytes, (unsigned)buckets,
		       (unsigned)(all - cfg_bytes - buckets), (unsigned)all);
		fflush(stdout);
	}
}

static void table_flows(void)
{
	static const uint32_t sizes[] = { 200000, 1000000, 2000000 };

	printf("\nflow cache; seed %d\n%8s %10s %10s\n", SEED, "flows", "bytes/flow", "ns/lookup");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		uint64_t before = heap_bytes(), bytes, begin, found = 0;
		struct flowtab *tab = flowtab_new(sizes[i], ts_from_ms(0));
		struct seeded_random random;
		struct counters counters = { 0 };
		struct ctx ctx = { .now = ts_from_ms(1000), .counters = &counters };
		uint64_t *keys = g_new(uint64_t, sizes[i]);

		seeded_random_init(&random, SEED);
		for (uint32_t k = 0; k < sizes[i]; k++) {
			keys[k] = (uint64_t)random_below(&random.random, UINT32_MAX) << 32 |
				  random_below(&random.random, UINT32_MAX);
			flowtab_put(tab, &ctx, keys[k], 0, sizes[i] * 2);
		}
		bytes = heap_bytes() - before - sizes[i] * sizeof(*keys);
		begin = cpu_ns();
		for (uint32_t k = 0; k < LOOKUPS; k++)
			found += flowtab_find(tab, keys[k * 7919ULL % sizes[i]]) != NULL;
		begin = cpu_ns() - begin;
		printf("%8u %10.1f %10.1f   found %.1f%%\n", sizes[i],
		       (double)bytes / (double)flowtab_count(tab), (double)begin / LOOKUPS,
		       100.0 * (double)found / LOOKUPS);
		fflush(stdout);
		g_free(keys);
		flowtab_free(tab);
	}
}

/* Larger products take minutes and gigabytes; docs/CAPACITY.md extends the fitted slopes. */
#define PRODUCT_MAX 3000

/* One size, or with 0 those that fit a short run. */
static void table_timer(uint32_t members, uint32_t services)
{
	static const uint32_t sizes[] = { 3, 9, 31, 61 };

	printf("\nquiet group: %% of a core for the timer and for other events of one member, mean "
	       "heap of a member; seed %d\n%8s %8s %8s %8s %8s %8s\n",
	       SEED, "members", "services", "timer %", "us/timer", "events %", "MB");
	for (size_t m = 0; m < G_N_ELEMENTS(sizes); m++) {
		for (size_t s = 0; s < G_N_ELEMENTS(service_sizes); s++) {
			uint64_t before = heap_bytes();
			struct member_node *node;
			struct group *grp;

			if (members ? sizes[m] != members || service_sizes[s] != services
				    : sizes[m] * service_sizes[s] > PRODUCT_MAX)
				continue;
			grp = group_new(sizes[m], service_sizes[s]);
			node = &grp->nodes[sizes[m] / 2];
			group_run(grp, WARMUP_MS);
			node->cpu_ns = node->peer_ns = node->timers = 0;
			group_run(grp, MEASURE_MS);
			printf("%8u %8u %8.2f %8.0f %8.2f %8.1f\n", sizes[m], service_sizes[s],
			       (double)node->cpu_ns / (MEASURE_MS * 1e4),
			       (double)node->cpu_ns / 1e3 / (double)node->timers,
			       (double)node->peer_ns / (MEASURE_MS * 1e4),
			       (double)(heap_bytes() - before) / 1e6 / sizes[m]);
			fflush(stdout);
			group_free(grp);
		}
	}
}

static double control_bytes(struct group *grp)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < grp->nr; i++) {
		sum += grp->nodes[i].bytes;
		grp->nodes[i].bytes = 0;
	}
	return (double)sum / grp->nr;
}

static void table_control(void)
{
	static const uint32_t counts[] = { 10, 20, 30 };
	const uint32_t members = 9;

	printf("\ncontrol bytes in and out of a member, mean; group of %u; events as bytes above "
	       "the quiet state in %d s; seed %d\n%8s %8s %8s %8s %8s\n",
	       members, CONTROL_MS / 1000, SEED, "services", "quiet/s", "change", "target",
	       "instance");
	for (size_t m = 0; m < G_N_ELEMENTS(counts); m++) {
		struct group *grp = group_new(members, counts[m]);
		double quiet, change, target, instance;
		struct event ev = { .type = EVENT_SHUTDOWN };

		group_run(grp, SETTLE_MS);
		control_bytes(grp);
		memset(grp->type_bytes, 0, sizeof(grp->type_bytes));
		group_run(grp, CONTROL_MS);
		quiet = control_bytes(grp);
		printf("%8u quiet, bytes/s sent by type:", counts[m]);
		for (int k = 0; k < PEER_TYPES; k++)
			if (grp->type_bytes[k])
				printf(" %d:%.0f", k,
				       (double)grp->type_bytes[k] * 1000 / CONTROL_MS / members);
		printf("\n");
		put(NULL, grp->nodes[0].core, PEER_OBJECT_ORGANISATION, "o0", 2,
		    org_document(0, counts[m], 2), grp->now_ms, &grp->nodes[0].acts);
		carry_out(grp, 0);
		group_run(grp, CONTROL_MS);
		change = control_bytes(grp) - quiet;
		grp->changed = (struct endpoint){ 0x0b000001, 6080 };
		grp->not_ready = true;
		group_run(grp, DOWN_MS);
		grp->unreachable = true;
		group_run(grp, DOWN_MS);
		grp->not_ready = grp->unreachable = false;
		grp->marker++;
		group_run(grp, CONTROL_MS - 2 * DOWN_MS);
		target = control_bytes(grp) - quiet;
		handle(grp, 1, &ev);
		for (int k = 0; k < 200 && !grp->nodes[1].stopped; k++)
			group_run(grp, TIMER_INTERVAL_MS);
		core_free(grp->nodes[1].core);
		grp->nodes[1].core = NULL;
		start(grp, 1);
		group_run(grp, CONTROL_MS);
		instance = control_bytes(grp) - quiet;
		printf("%8u %8.0f %8.0f %8.0f %8.0f\n", counts[m], quiet * 1000 / CONTROL_MS,
		       change, target, instance);
		fflush(stdout);
		group_free(grp);
	}
}

int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : "";

	if (sodium_init() < 0)
		return 1;
	if (!*only || !strcmp(only, "memory"))
		table_memory();
	if (!*only || !strcmp(only, "flows"))
		table_flows();
	if (!*only || !strcmp(only, "timer"))
		table_timer(argc > 3 ? (uint32_t)strtoul(argv[2], NULL, 10) : 0,
			    argc > 3 ? (uint32_t)strtoul(argv[3], NULL, 10) : 0);
	if (!*only || !strcmp(only, "control"))
		table_control();
	return 0;
}
