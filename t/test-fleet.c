/*
 * Random sequences of kills, pauses, message loss and changes of targets in a small simulated
 * fleet, with callers whose packets go to random instances. Guards against payload that reaches a
 * second target or one that never accepted the flow, a caller that gets answers of two targets,
 * refusals of requests that were run, and flows that are reset or get stuck. FLEET_SEED and
 * FLEET_RUNS select sequences, FLEET_TRACE=1 prints the events, and FLEET_EVERY sets how many
 * steps of STEP_MS pass between events on average.
 */
#include <stdlib.h>

#include "fleet.h"
#include "shard.h"

#define NR_CALLERS 40
#define FLOWS_MAX  20000
#define STEP_MS	   10

enum phase { IDLE, OPENING, OPEN };

struct sim_flow {
	uint32_t payload_target;		/* TARGET_NONE before any payload */
	uint32_t accepted_target;		/* target whose acceptance reached the caller */
	uint32_t accepted_opening[TARGETS_MAX]; /* opening id that each target accepted */
};

struct caller {
	enum phase phase;
	uint32_t flow;
	uint32_t opening_id;
	int64_t next_at;
	int64_t waiting_since; /* first unanswered packet, 0 for none */
	int64_t end_at;
	uint32_t tries;
};

struct pending_answer {
	int64_t at;
	uint32_t target;
	enum answer_kind kind;
	struct sim_bytes sim;
};

struct world {
	struct fleet fleet;
	struct sim_flow *flows;
	struct caller callers[NR_CALLERS];
	uint32_t next_flow;
	GArray *answers; /* struct pending_answer */
	uint32_t shed_permille;
	uint32_t opened, abandoned, broken, refused, stuck;
	uint64_t seed;
	bool reuse_keys;
	int64_t down_since; /* when instance down was killed or paused, or began to leave */
	uint32_t down;	    /* 0 for none */
	bool partitions;
	uint32_t event_every;
	int64_t heal_at;
	bool trace;
};

static void trace(const struct world *w, const char *what, uint32_t a, uint32_t b, uint32_t c)
{
	if (w->trace)
		printf("# %lld %s %u %u %u\n", (long long)w->fleet.now_ms, what, a, b, c);
}

static void violation(const struct world *w, const char *what, const struct sim_bytes *sim,
		      uint32_t was, uint32_t is)
{
	uint64_t hash = fleet_hash(tcp_service, sim->flow);

	for (uint32_t id = 1; id <= w->fleet.nr; id++) {
		const struct node *node = &w->fleet.nodes[id];
		const struct flow *flow = node->up ? flowtab_find(node->tab, hash) : NULL;

		if (node->up) {
			const struct shard *shard =
				homes_shard(node->homes, tcp_service, shard_of(hash));
			const struct bucket *bucket =
				&shard->buckets[bucket_of(hash) % BUCKETS_PER_SHARD];

			g_printerr("instance %u: role %u, valid %u, term %u of %u, epoch %u, "
				   "mode %u, base %u, current %u\n",
				   id, shard->role, shard->valid, shard->term, shard->home,
				   shard->epoch, bucket->mode, bucket->base, bucket->current);
		}
		if (flow)
			g_printerr(
				"instance %u: target %u, flags %#x, opening %u, used %u ms ago\n",
				id, flow->target, flow->flags, flow->opening_id,
				flowtab_ms(node->tab, ts_from_ms(w->fleet.now_ms)) - flow->used_ms);
	}
	g_error("seed %llu at %lld ms: %s (flow %u, shard %u, bucket %u: target %u, then %u)",
		(unsigned long long)w->seed, (long long)w->fleet.now_ms, what, sim->flow,
		shard_of(hash), bucket_of(hash), was, is);
}

static void answer_later(struct world *w, uint32_t target, enum answer_kind kind,
			 const struct sim_bytes *sim)
{
	struct pending_answer ans = {
		.at = w->fleet.now_ms + 1 + fleet_random(&w->fleet, 30),
		.target = target,
		.kind = kind,
		.sim = *sim,
	};

	ans.sim.target = target;
	ans.sim.answer_kind = kind;
	g_array_append_val(w->answers, ans);
}

static void target_receive(struct world *w, const struct node *node, uint32_t target,
			   const struct sim_bytes *sim)
{
	struct sim_flow *flow = &w->flows[sim->flow];

	trace(w, sim->kind == PACKET_OPENING ? "syn node/flow/target" : "data node/flow/target",
	      node->id, sim->flow, target);
	if (target >= 4)
		violation(w, "packet for a target of another organisation", sim, 0, target);
	if (sim->kind == PACKET_OPENING) {
		if (flow->accepted_opening[target] != sim->opening_id &&
		    fleet_random(&w->fleet, 1000) < w->shed_permille) {
			answer_later(w, target, ANSWER_REFUSED, sim);
			return;
		}
		flow->accepted_opening[target] = sim->opening_id;
		answer_later(w, target, ANSWER_ACCEPTED, sim);
		return;
	}
	if (flow->accepted_opening[target] != sim->opening_id)
		violation(w, "payload for a target that did not accept the flow", sim,
			  flow->accepted_target, target);
	if (flow->payload_target != TARGET_NONE && flow->payload_target != target)
		violation(w, "payload for a second target", sim, flow->payload_target, target);
	flow->payload_target = target;
	answer_later(w, target, sim->kind == PACKET_CLOSE ? ANSWER_CLOSE : ANSWER_DATA, sim);
}

static struct caller *find_caller(struct world *w, const struct sim_bytes *sim)
{
	for (size_t i = 0; i < NR_CALLERS; i++)
		if (w->callers[i].phase != IDLE && w->callers[i].flow == sim->flow &&
		    w->callers[i].opening_id == sim->opening_id)
			return &w->callers[i];
	return NULL;
}

static void end_flow(struct world *w, struct caller *caller)
{
	caller->phase = IDLE;
	caller->next_at = w->fleet.now_ms + 200 + fleet_random(&w->fleet, 2000);
}

static void caller_receive(struct world *w, const struct sim_bytes *sim, bool refuse)
{
	struct caller *caller = find_caller(w, sim);
	struct sim_flow *flow = &w->flows[sim->flow];

	if (!caller)
		return;
	if (!refuse && sim->answer_kind == ANSWER_REFUSED) {
		/* A target's own refusal; TCP ignores a late one in an open flow. */
		if (caller->phase == OPENING) {
			w->refused++;
			end_flow(w, caller);
		}
		return;
	}
	if (refuse) {
		trace(w, "reset flow", sim->flow, 0, 0);
		if (sim->kind == PACKET_OPENING && flow->payload_target != TARGET_NONE)
			violation(w, "refusal of a request that was run", sim, flow->payload_target,
				  0);
		/* The reset of an opening is outside the TCP window of a flow that is now open. */
		if (caller->phase == OPEN && sim->kind == PACKET_OPENING)
			return;
		if (caller->phase == OPEN)
			w->broken++;
		w->refused++;
		end_flow(w, caller);
		return;
	}
	/*
	 * The sides of a partition may both open a flow whose SYN reached both; TCP takes the first
	 * acceptance and ignores the later one.
	 */
	if (w->partitions && caller->phase == OPEN && sim->answer_kind == ANSWER_ACCEPTED)
		return;
	caller->waiting_since = 0;
	if (caller->phase == OPEN) {
		if (flow->accepted_target != sim->target)
			violation(w, "answers of two targets", sim, flow->accepted_target,
				  sim->target);
		return;
	}
	trace(w, "opened flow/target", sim->flow, sim->target, 0);
	caller->phase = OPEN;
	caller->next_at = w->fleet.now_ms + 1;
	caller->end_at = w->fleet.now_ms + 1000 + fleet_random(&w->fleet, 40000);
	flow->accepted_target = sim->target;
	w->opened++;
}

static void on_packet(struct fleet *fleet, struct node *node, const struct action *act,
		      const struct sim_bytes *sim)
{
	struct world *w = fleet->arg;

	if (act->type == ACTION_FORWARD)
		target_receive(w, node, fleet_target(act), sim);
	else
		caller_receive(w, sim, act->type == ACTION_REFUSE);
}

static void send_packet(struct world *w, struct caller *caller, enum packet_kind kind)
{
	struct sim_bytes sim = {
		.flow = caller->flow,
		.kind = kind,
		.opening_id = caller->opening_id,
		.payload_len = kind == PACKET_DATA ? 100 : 0,
	};

	if (!caller->waiting_since)
		caller->waiting_since = w->fleet.now_ms;
	fleet_packet(&w->fleet, 1 + fleet_random(&w->fleet, w->fleet.nr), tcp_service, &sim);
}

static void start_flow(struct world *w, struct caller *caller)
{
	if (!w->reuse_keys || !caller->flow || fleet_random(&w->fleet, 2)) {
		g_assert_cmpuint(w->next_flow, <, FLOWS_MAX);
		caller->flow = w->next_flow++;
	}
	w->flows[caller->flow].payload_target = TARGET_NONE;
	w->flows[caller->flow].accepted_target = TARGET_NONE;
	caller->phase = OPENING;
	caller->opening_id = 1 + fleet_random(&w->fleet, 1u << 30);
	caller->tries = 0;
	caller->waiting_since = 0;
}

static void run_caller(struct world *w, struct caller *caller)
{
	int64_t now = w->fleet.now_ms;

	if (now < caller->next_at)
		return;
	switch (caller->phase) {
	case IDLE:
		start_flow(w, caller);
		send_packet(w, caller, PACKET_OPENING);
		caller->next_at = now + 1000;
		break;
	case OPENING:
		if (++caller->tries > 5) {
			w->abandoned++;
			end_flow(w, caller);
			break;
		}
		send_packet(w, caller, PACKET_OPENING);
		caller->next_at = now + (1000 << caller->tries);
		break;
	case OPEN:
		if (caller->waiting_since && now - caller->waiting_since > 30000) {
			w->stuck++;
			trace(w, "stuck flow", caller->flow, 0, 0);
			end_flow(w, caller);
			break;
		}
		if (!caller->waiting_since && now >= caller->end_at) {
			send_packet(w, caller, PACKET_CLOSE);
			end_flow(w, caller);
			break;
		}
		send_packet(w, caller, PACKET_DATA);
		caller->next_at = now + 100 + fleet_random(&w->fleet, 600);
		break;
	}
}

static void world_step(struct world *w)
{
	fleet_run(&w->fleet, STEP_MS);
	for (guint i = 0; i < w->answers->len;) {
		struct pending_answer ans = g_array_index(w->answers, struct pending_answer, i);

		if (ans.at > w->fleet.now_ms) {
			i++;
			continue;
		}
		g_array_remove_index_fast(w->answers, i);
		fleet_answer(&w->fleet, 1 + fleet_random(&w->fleet, w->fleet.nr), tcp_service,
			     ans.target, ans.kind, &ans.sim);
	}
	for (size_t i = 0; i < NR_CALLERS; i++)
		run_caller(w, &w->callers[i]);
}

static void leave_node(struct world *w, uint32_t id)
{
	struct node *node = &w->fleet.nodes[id];
	struct actions acts;
	struct ctx ctx = fleet_ctx(&w->fleet, node, &acts);

	homes_leave(node->homes, &ctx);
	fleet_finish_event(&w->fleet, node, &acts);
}

/* Only one instance at a time fails, for long enough for a recovery and a copy of pins. */
static void fail_node(struct world *w)
{
	uint32_t id = 1 + fleet_random(&w->fleet, w->fleet.nr);

	if (w->down || w->heal_at)
		return;
	w->down = id;
	w->down_since = w->fleet.now_ms;
	switch (fleet_random(&w->fleet, 3)) {
	case 0:
		trace(w, "pause", id, 0, 0);
		w->fleet.nodes[id].paused = true;
		break;
	case 1:
		trace(w, "leave", id, 0, 0);
		leave_node(w, id);
		break;
	default:
		trace(w, "kill", id, 0, 0);
		fleet_kill(&w->fleet, id);
		break;
	}
}

static void repair_node(struct world *w)
{
	struct node *node = &w->fleet.nodes[w->down];
	int64_t down_ms = w->fleet.now_ms - w->down_since;

	if (!w->down)
		return;
	if (node->paused && down_ms > 200 + (int64_t)fleet_random(&w->fleet, 20000)) {
		trace(w, "wake", node->id, 0, 0);
		node->paused = false;
	}
	if (node->up && node->mem.state == MEMBER_LEAVING && homes_left(node->homes)) {
		trace(w, "left", node->id, 0, 0);
		fleet_kill(&w->fleet, node->id);
		w->fleet.listed_gone[node->id] = true;
	}
	if (node->up && node->mem.state == MEMBER_LEAVING && down_ms > 30000)
		g_error("seed %llu: instance %u does not leave", (unsigned long long)w->seed,
			node->id);
	if (!node->up && down_ms > 8000) {
		w->fleet.listed_gone[node->id] = true;
		if (fleet_random(&w->fleet, 300) == 0) {
			trace(w, "restart", node->id, 0, 0);
			fleet_start_node(&w->fleet, node->id, MEMBER_JOINING);
		}
	}
	if (node->up && !node->paused && down_ms > 40000)
		w->down = 0;
}

static void random_event(struct world *w)
{
	struct fleet *fleet = &w->fleet;
	uint32_t target = fleet_random(fleet, 4);

	switch (fleet_random(fleet, w->partitions ? 5 : 4)) {
	case 4:
		/* The link between the data centres fails for a while. */
		if (w->heal_at || w->down)
			break;
		for (uint32_t id = 1; id <= fleet->nr; id++)
			fleet->other_side[id] = id % 2;
		w->heal_at = fleet->now_ms + 500 + fleet_random(fleet, 25000);
		trace(w, "cut", 0, 0, 0);
		break;
	case 0:
		fail_node(w);
		break;
	case 1:
		/* Draining: no new flows. At least one target stays. */
		if (!fleet->eligible[target] || target)
			fleet_eligible(fleet, target, !fleet->eligible[target]);
		trace(w, "eligible", target, fleet->eligible[target], 0);
		break;
	case 2:
		fleet->full[target] = target && !fleet->full[target];
		trace(w, "full", target, fleet->full[target], 0);
		break;
	case 3:
		w->shed_permille = fleet_random(fleet, 3) ? 0 : 300;
		fleet->loss_permille = fleet_random(fleet, 3) ? 0 : 30;
		fleet->dup_permille = fleet_random(fleet, 3) ? 0 : 50;
		break;
	}
}

static uint64_t env_number(const char *name, uint64_t otherwise)
{
	const char *value = g_getenv(name);

	return value ? strtoull(value, NULL, 10) : otherwise;
}

static void run_world(uint64_t seed, uint32_t nr, int64_t ms, bool reuse_keys, bool partitions)
{
	struct world w = {
		.seed = seed,
		.reuse_keys = reuse_keys,
		.partitions = partitions,
		.event_every = (uint32_t)env_number("FLEET_EVERY", 100),
	};
	struct counters sum = { 0 };
	int64_t start, events_end;

	fleet_init(&w.fleet, nr, seed);
	w.fleet.on_packet = on_packet;
	w.fleet.arg = &w;
	w.fleet.retries = 1u << 20;
	w.trace = g_getenv("FLEET_TRACE") != NULL;
	w.flows = g_new0(struct sim_flow, FLOWS_MAX);
	w.next_flow = 1;
	w.answers = g_array_new(FALSE, FALSE, sizeof(struct pending_answer));
	fleet_run(&w.fleet, 1500);
	start = w.fleet.now_ms;
	for (size_t i = 0; i < NR_CALLERS; i++)
		w.callers[i].next_at = start + fleet_random(&w.fleet, 3000);
	events_end = start + ms - 45000;
	while (w.fleet.now_ms < start + ms) {
		world_step(&w);
		repair_node(&w);
		if (w.heal_at && w.fleet.now_ms >= w.heal_at) {
			trace(&w, "heal", 0, 0, 0);
			memset(w.fleet.other_side, 0, sizeof(w.fleet.other_side));
			w.heal_at = 0;
		}
		if (w.fleet.now_ms < events_end && fleet_random(&w.fleet, w.event_every) == 0)
			random_event(&w);
		if (w.fleet.now_ms >= events_end && w.fleet.now_ms < events_end + STEP_MS) {
			w.shed_permille = w.fleet.loss_permille = w.fleet.dup_permille = 0;
			for (uint32_t t = 0; t < 4; t++)
				w.fleet.full[t] = false;
		}
	}
	for (uint32_t id = 1; id <= nr; id++) {
		const struct counters *c = &w.fleet.nodes[id].counters;

		sum.flips += c->flips;
		sum.pins += c->pins;
		sum.settles += c->settles;
		sum.retried += c->retried;
		sum.recoveries += c->recoveries;
	}
	g_test_message(
		"seed %llu: %llu flips, %llu settles, %llu pins, %llu retries, %llu recoveries",
		(unsigned long long)seed, (unsigned long long)sum.flips,
		(unsigned long long)sum.settles, (unsigned long long)sum.pins,
		(unsigned long long)sum.retried, (unsigned long long)sum.recoveries);
	g_test_message("seed %llu: %u opened, %u openings given up, %u resets, %u broken, %u stuck",
		       (unsigned long long)seed, w.opened, w.abandoned, w.refused, w.broken,
		       w.stuck);
	if (w.broken || w.stuck)
		g_error("seed %llu: %u flows broken, %u stuck", (unsigned long long)seed, w.broken,
			w.stuck);
	g_assert_cmpuint(w.opened, >, NR_CALLERS);
	fleet_release(&w.fleet);
	g_array_unref(w.answers);
	g_free(w.flows);
}

struct variant {
	bool reuse_keys, partitions;
	uint64_t runs;
};

static void test_variant(gconstpointer data)
{
	const struct variant *variant = data;
	uint64_t first = env_number("FLEET_SEED", 1);
	uint64_t runs = env_number("FLEET_RUNS", variant->runs);

	for (uint64_t seed = first; seed < first + runs; seed++)
		run_world(seed, 3 + (uint32_t)(seed % 4), 150000, variant->reuse_keys,
			  variant->partitions);
}

static const struct variant failures = { .runs = 4 };
static const struct variant reused_keys = { .reuse_keys = true, .runs = 3 };
static const struct variant partitions = { .partitions = true, .runs = 4 };

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_data_func("/fleet/failures", &failures, test_variant);
	g_test_add_data_func("/fleet/reused-keys", &reused_keys, test_variant);
	g_test_add_data_func("/fleet/partitions", &partitions, test_variant);
	return g_test_run();
}
