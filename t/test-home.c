/*
 * Tests of the packet path in a small simulated fleet. Each test names the failure that it guards
 * against.
 */
#include "fleet.h"
#include "shard.h"

struct recorded {
	uint32_t node;
	enum action_type type;
	uint32_t target;
	struct sim_bytes sim;
};

struct fixture {
	struct fleet fleet;
	GArray *recorded;
};

static void record_packet(struct fleet *fleet, struct node *node, const struct action *act,
			  const struct sim_bytes *sim)
{
	struct fixture *fix = fleet->arg;
	struct recorded recorded = { node->id, act->type, TARGET_NONE, *sim };

	if (act->type == ACTION_FORWARD)
		recorded.target = fleet_target(act);
	g_array_append_val(fix->recorded, recorded);
}

static void fixture_init(struct fixture *fix, gconstpointer nodes)
{
	fleet_init(&fix->fleet, GPOINTER_TO_UINT(nodes), 7);
	fix->fleet.on_packet = record_packet;
	fix->fleet.arg = fix;
	fix->recorded = g_array_new(FALSE, FALSE, sizeof(struct recorded));
	fleet_run(&fix->fleet, 2000);
}

static void fixture_release(struct fixture *fix, gconstpointer nodes)
{
	(void)nodes;
	fleet_release(&fix->fleet);
	g_array_unref(fix->recorded);
}

static uint32_t count(const struct fixture *fix, enum action_type type, uint32_t target)
{
	uint32_t nr = 0;

	for (guint i = 0; i < fix->recorded->len; i++) {
		const struct recorded *recorded = &g_array_index(fix->recorded, struct recorded, i);

		nr += recorded->type == type &&
		      (target == TARGET_NONE || recorded->target == target);
	}
	return nr;
}

static uint32_t last_target(const struct fixture *fix)
{
	for (guint i = fix->recorded->len; i-- > 0;)
		if (g_array_index(fix->recorded, struct recorded, i).type == ACTION_FORWARD)
			return g_array_index(fix->recorded, struct recorded, i).target;
	return TARGET_NONE;
}

static void syn(struct fixture *fix, uint32_t node, uint32_t flow, uint32_t id)
{
	struct sim_bytes sim = { .flow = flow, .kind = PACKET_OPENING, .opening_id = id };

	fleet_packet(&fix->fleet, node, tcp_service, &sim);
}

static void data(struct fixture *fix, uint32_t node, uint32_t flow)
{
	struct sim_bytes sim = { .flow = flow, .kind = PACKET_DATA, .payload_len = 10 };

	fleet_packet(&fix->fleet, node, tcp_service, &sim);
}

static void answer(struct fixture *fix, uint32_t node, uint32_t flow, uint32_t id, uint32_t target,
		   enum answer_kind kind)
{
	struct sim_bytes sim = { .flow = flow, .opening_id = id };

	fleet_answer(&fix->fleet, node, tcp_service, target, kind, &sim);
}

static struct shard *flow_shard(struct fixture *fix, uint32_t node, uint32_t flow)
{
	return homes_shard(fix->fleet.nodes[node].homes, tcp_service,
			   shard_of(fleet_hash(tcp_service, flow)));
}

static struct bucket *flow_bucket(struct fixture *fix, uint32_t node, uint32_t flow)
{
	return shard_bucket(flow_shard(fix, node, flow), fleet_hash(tcp_service, flow));
}

static uint32_t home_of(struct fixture *fix, uint32_t flow)
{
	for (uint32_t id = 1; id <= fix->fleet.nr; id++)
		if (fix->fleet.nodes[id].up && flow_shard(fix, id, flow)->role == SHARD_HOME)
			return id;
	g_assert_not_reached();
}

static uint32_t other_than(struct fixture *fix, uint32_t a)
{
	return a % fix->fleet.nr + 1;
}

/* A flow whose bucket has base @target and whose home is @home (0 for any). */
static uint32_t flow_at(struct fixture *fix, uint32_t target, uint32_t home)
{
	for (uint32_t flow = 1; flow < 10000; flow++)
		if (flow_bucket(fix, 1, flow)->base == target &&
		    (!home || home_of(fix, flow) == home))
			return flow;
	g_assert_not_reached();
}

/* Guards against instances that choose different targets, and calls for single buckets. */
static void test_single(struct fixture *fix, gconstpointer nodes)
{
	(void)nodes;
	for (uint32_t flow = 1; flow <= 50; flow++) {
		uint32_t base = flow_bucket(fix, 1, flow)->base;

		for (uint32_t id = 1; id <= fix->fleet.nr; id++) {
			guint before = fix->fleet.pending_calls->len;

			syn(fix, id, flow, 5);
			g_assert_cmpuint(last_target(fix), ==, base);
			data(fix, id, flow);
			g_assert_cmpuint(last_target(fix), ==, base);
			g_assert_cmpuint(fix->fleet.pending_calls->len, ==, before);
		}
	}
	g_assert_cmpuint(count(fix, ACTION_FORWARD, TARGET_NONE), ==, 100 * fix->fleet.nr);
}

/* Guards against a new target before every member has stopped forwarding to the old one. */
static void test_two_phases(struct fixture *fix, gconstpointer nodes)
{
	uint32_t flow = flow_at(fix, 1, 1);
	uint32_t flow2;

	(void)nodes;
	fix->fleet.nodes[2].paused = true;
	fleet_eligible(&fix->fleet, 1, false);
	for (int ms = 0; ms < 1500; ms += 100) {
		fleet_run(&fix->fleet, 100);
		syn(fix, 1, flow, 5);
		g_assert_cmpuint(last_target(fix), ==, 1);
	}
	fleet_run(&fix->fleet, 3000);
	/* Later, new flows go elsewhere, and the one that was opened keeps its target. */
	for (flow2 = flow + 1; flow_bucket(fix, 1, flow2)->base != 1 || home_of(fix, flow2) != 1;)
		flow2++;
	syn(fix, 3, flow2, 6);
	fleet_run(&fix->fleet, 100);
	g_assert_cmpuint(last_target(fix), !=, 1);
	syn(fix, 3, flow, 5);
	fleet_run(&fix->fleet, 100);
	g_assert_cmpuint(last_target(fix), ==, 1);
	/* Data of a flow without an entry goes to the base, as the home's table is complete. */
	for (flow2++; flow_bucket(fix, 1, flow2)->base != 1 || home_of(fix, flow2) != 1;)
		flow2++;
	data(fix, 3, flow2);
	fleet_run(&fix->fleet, 100);
	g_assert_cmpuint(last_target(fix), ==, 1);
}

/* Guards against a second target for an opening that is repeated in a shared bucket. */
static void test_recent(struct fixture *fix, gconstpointer nodes)
{
	uint32_t flow = flow_at(fix, 1, 1);

	(void)nodes;
	syn(fix, 2, flow, 5);
	fleet_eligible(&fix->fleet, 1, false);
	fleet_run(&fix->fleet, 500);
	g_assert_cmpuint(flow_bucket(fix, 3, flow)->mode, ==, BUCKET_SHARED);
	for (uint32_t id = 1; id <= fix->fleet.nr; id++) {
		syn(fix, id, flow, 5);
		fleet_run(&fix->fleet, 100);
		g_assert_cmpuint(last_target(fix), ==, 1);
	}
	g_assert_cmpuint(count(fix, ACTION_FORWARD, 1), ==, fix->fleet.nr + 1);
}

/* Guards against a flow that is forwarded before a second instance holds its pin. */
static void test_second_holder(struct fixture *fix, gconstpointer nodes)
{
	uint32_t flow = flow_at(fix, 1, 1);

	(void)nodes;
	fleet_eligible(&fix->fleet, 1, false);
	fleet_run(&fix->fleet, 1000);
	fix->fleet.loss_permille = 1000;
	syn(fix, 1, flow, 5);
	fleet_run(&fix->fleet, 300);
	syn(fix, 1, flow, 5);
	fleet_run(&fix->fleet, 300);
	g_assert_cmpuint(count(fix, ACTION_FORWARD, TARGET_NONE), ==, 0);
	fix->fleet.loss_permille = 0;
	syn(fix, 1, flow, 5);
	fleet_run(&fix->fleet, 100);
	g_assert_cmpuint(count(fix, ACTION_FORWARD, TARGET_NONE), ==, 1);
}

/*
 * Guards against a wrong target's acceptance that pins a flow without an entry, which the home
 * knows to be at the base only because its table is complete.
 */
static void test_crossed_acceptance(struct fixture *fix, gconstpointer nodes)
{
	uint32_t flow = flow_at(fix, 1, 1);

	(void)nodes;
	fleet_eligible(&fix->fleet, 1, false);
	fleet_run(&fix->fleet, 4000);
	g_assert_cmpuint(flow_bucket(fix, 1, flow)->mode, ==, BUCKET_SHARED);
	for (uint32_t id = 1; id <= fix->fleet.nr; id++) {
		answer(fix, id, flow, 5, 2, ANSWER_ACCEPTED);
		fleet_run(&fix->fleet, 100);
	}
	g_assert_cmpuint(count(fix, ACTION_ANSWER, TARGET_NONE), ==, 0);
	data(fix, 3, flow);
	fleet_run(&fix->fleet, 100);
	g_assert_cmpuint(last_target(fix), ==, 1);
	answer(fix, 3, flow, 5, 1, ANSWER_ACCEPTED);
	fleet_run(&fix->fleet, 100);
	g_assert_cmpuint(count(fix, ACTION_ANSWER, TARGET_NONE), ==, 1);
}

/* Guards against an instance that resumes after a suspension and routes by its old buckets. */
static void test_pause(struct fixture *fix, gconstpointer nodes)
{
	uint32_t flow = flow_at(fix, 1, 1);
	uint32_t target;

	(void)nodes;
	fix->fleet.nodes[2].paused = true;
	fleet_run(&fix->fleet, 100);
	fleet_eligible(&fix->fleet, 1, false);
	fleet_run(&fix->fleet, 4500);
	syn(fix, 3, flow, 5);
	fleet_run(&fix->fleet, 100);
	target = last_target(fix);
	g_assert_cmpuint(target, !=, 1);
	answer(fix, 4, flow, 5, target, ANSWER_ACCEPTED);
	fleet_run(&fix->fleet, 100);
	fix->fleet.nodes[2].paused = false;
	/* The resumed member has just received heartbeats, but has run no timer yet. */
	fix->fleet.nodes[2].mem.last_contact = fix->fleet.now_ms;
	for (uint32_t id = 1; id <= fix->fleet.nr; id++)
		if (id != 2)
			fix->fleet.nodes[2].mem.last_heartbeat[id] = fix->fleet.now_ms;
	data(fix, 2, flow);
	for (int i = 0; i < 20; i++) {
		fleet_run(&fix->fleet, 50);
		data(fix, 2, flow);
	}
	g_assert_cmpuint(count(fix, ACTION_FORWARD, 1), ==, 0);
	g_assert_cmpuint(count(fix, ACTION_FORWARD, target), >, 10);
}

/* Guards against refusals of open flows, retries after payload, and retries beyond the budget. */
static void test_shed(struct fixture *fix, gconstpointer nodes)
{
	const struct {
		uint32_t budget;
		bool accepted, payload;
		bool retried, to_caller;
	} cases[] = {
		{ 1, false, false, true, false }, /* the saved opening goes to another target */
		{ 0, false, false, false, true }, /* no budget: the caller gets the refusal */
		{ 1, true, false, false, false }, /* accepted before: the refusal is dropped */
		{ 1, true, true, false, false },
	};

	(void)nodes;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint32_t flow = 100 + (uint32_t)i;
		uint32_t base = flow_bucket(fix, 1, flow)->base;
		uint32_t before;

		fix->fleet.retries = cases[i].budget;
		g_array_set_size(fix->recorded, 0);
		syn(fix, 1, flow, 9);
		if (cases[i].accepted)
			answer(fix, 2, flow, 9, base, ANSWER_ACCEPTED);
		if (cases[i].payload)
			data(fix, 3, flow);
		before = count(fix, ACTION_ANSWER, TARGET_NONE);
		answer(fix, 3, flow, 9, base, ANSWER_REFUSED);
		fleet_run(&fix->fleet, 600);
		g_assert_cmpint(last_target(fix) != base, ==, cases[i].retried);
		g_assert_cmpint(count(fix, ACTION_ANSWER, TARGET_NONE) > before, ==,
				cases[i].to_caller);
		g_assert_cmpuint(count(fix, ACTION_REFUSE, TARGET_NONE), ==, 0);
		if (!cases[i].retried)
			continue;
		/* A late acceptance by the first target must be dropped, the second's forwarded. */
		before = count(fix, ACTION_ANSWER, TARGET_NONE);
		answer(fix, 2, flow, 9, base, ANSWER_ACCEPTED);
		fleet_run(&fix->fleet, 100);
		g_assert_cmpuint(count(fix, ACTION_ANSWER, TARGET_NONE), ==, before);
		answer(fix, 2, flow, 9, last_target(fix), ANSWER_ACCEPTED);
		fleet_run(&fix->fleet, 100);
		g_assert_cmpuint(count(fix, ACTION_ANSWER, TARGET_NONE), ==, before + 1);
	}
}

/* Guards against openings that get no refusal, or are forwarded, when all targets are full. */
static void test_refusal(struct fixture *fix, gconstpointer nodes)
{
	(void)nodes;
	for (uint32_t t = 0; t < 4; t++)
		fix->fleet.full[t] = true;
	fleet_run(&fix->fleet, 3000);
	for (uint32_t id = 1; id <= fix->fleet.nr; id++)
		syn(fix, id, 30, 3);
	fleet_run(&fix->fleet, 300);
	g_assert_cmpuint(count(fix, ACTION_REFUSE, TARGET_NONE), ==, fix->fleet.nr);
	for (uint32_t id = 1; id <= fix->fleet.nr; id++)
		g_assert_cmpuint(fix->fleet.nodes[id].tgs.refused, ==, 1);
	g_assert_cmpuint(count(fix, ACTION_FORWARD, TARGET_NONE), ==, 0);
}

/* Guards against packets that still reach a withdrawn data centre, and callers without a reset. */
static void test_withdrawal(struct fixture *fix, gconstpointer nodes)
{
	uint32_t flow = flow_at(fix, 1, 0);

	(void)nodes;
	syn(fix, 1, flow, 5);
	answer(fix, 2, flow, 5, 1, ANSWER_ACCEPTED);
	data(fix, 1, flow);
	g_array_set_size(fix->recorded, 0);
	for (uint32_t id = 1; id <= fix->fleet.nr; id++) {
		struct node *node = &fix->fleet.nodes[id];
		struct actions acts;
		struct ctx ctx;

		fleet_object(node, PEER_OBJECT_DATA_CENTRE, "dc1", 1,
			     "{\"data_centre\":\"dc1\",\"generation\":1,\"state\":\"withdrawn\"}");
		ctx = fleet_ctx(&fix->fleet, node, &acts);
		homes_config_changed(node->homes, &ctx);
		fleet_finish_event(&fix->fleet, node, &acts);
		data(fix, id, flow);
	}
	fleet_run(&fix->fleet, 1000);
	for (uint32_t id = 1; id <= fix->fleet.nr; id++)
		data(fix, id, flow);
	answer(fix, 1, flow, 0, 1, ANSWER_DATA);
	fleet_run(&fix->fleet, 1000);
	g_assert_cmpuint(count(fix, ACTION_FORWARD, TARGET_NONE), ==, 0);
	g_assert_cmpuint(count(fix, ACTION_ANSWER, TARGET_NONE), ==, 0);
	g_assert_cmpuint(count(fix, ACTION_REFUSE, TARGET_NONE), ==, 2 * fix->fleet.nr);
	/* Each instance sent two resets for the flow and counts it once. */
	for (uint32_t id = 1; id <= fix->fleet.nr; id++)
		g_assert_cmpuint(fix->fleet.nodes[id].tgs.outcomes[1][FLOW_TERMINATED], ==, 1);
	syn(fix, 1, flow_at(fix, 1, 0) + 1, 8);
	fleet_run(&fix->fleet, 100);
	g_assert_cmpuint(last_target(fix) % 2, ==, 0);
}

/* Guards against flows that the burn report omits, counts twice or counts as good by mistake. */
static void test_outcomes(struct fixture *fix, gconstpointer nodes)
{
	const struct {
		enum answer_kind answers[3];
		int nr;
		uint32_t outcomes[FLOW_TERMINATED + 1];
	} cases[] = {
		{ { ANSWER_ACCEPTED }, 1, { [FLOW_GOOD] = 1 } },
		{ { ANSWER_ACCEPTED, ANSWER_ACCEPTED, ANSWER_DATA }, 3, { [FLOW_GOOD] = 1 } },
		{ { ANSWER_REFUSED }, 1, { [FLOW_SHED] = 1 } },
		{ { ANSWER_ACCEPTED, ANSWER_REFUSED }, 2, { [FLOW_GOOD] = 1 } },
		{ { ANSWER_ACCEPTED, ANSWER_RESET, ANSWER_RESET },
		  3,
		  { [FLOW_GOOD] = 1, [FLOW_RESET] = 1 } },
	};

	(void)nodes;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint32_t sum[FLOW_TERMINATED + 1] = { 0 };
		uint32_t flow = 300 + (uint32_t)i;
		uint32_t base = flow_bucket(fix, 1, flow)->base;

		for (uint32_t id = 1; id <= fix->fleet.nr; id++)
			memset(fix->fleet.nodes[id].tgs.outcomes, 0,
			       sizeof(fix->fleet.nodes[id].tgs.outcomes));
		fix->fleet.retries = 0;
		syn(fix, 1, flow, 9);
		for (int j = 0; j < cases[i].nr; j++) {
			answer(fix, 2, flow, 9, base, cases[i].answers[j]);
			fleet_run(&fix->fleet, 300);
		}
		for (uint32_t id = 1; id <= fix->fleet.nr; id++)
			for (int k = 0; k <= FLOW_TERMINATED; k++)
				sum[k] += fix->fleet.nodes[id].tgs.outcomes[base][k];
		for (int k = 0; k <= FLOW_TERMINATED; k++)
			g_assert_cmpuint(sum[k], ==, cases[i].outcomes[k]);
	}
}

/* Guards against silent flows that are not reset, and answered flows that are. */
static void test_silence(struct fixture *fix, gconstpointer nodes)
{
	(void)nodes;
	for (uint32_t answered = 0; answered <= 1; answered++) {
		uint32_t flow = 200 + answered;
		uint32_t base = flow_bucket(fix, 1, flow)->base;

		g_array_set_size(fix->recorded, 0);
		syn(fix, 1, flow, 4);
		answer(fix, 2, flow, 4, base, ANSWER_ACCEPTED);
		for (int s = 0; s < 20; s++) {
			data(fix, 1, flow);
			if (answered)
				answer(fix, 3, flow, 0, base, ANSWER_DATA);
			fleet_run(&fix->fleet, 1000);
		}
		g_assert_cmpint(count(fix, ACTION_REFUSE, TARGET_NONE) > 0, ==, !answered);
	}
}

/* Guards against a former home, or an unexpected reply, that overwrites newer buckets. */
static void test_old_term(struct fixture *fix, gconstpointer nodes)
{
	uint32_t flow = 40;
	uint32_t home = home_of(fix, flow);
	uint32_t member;
	u_int bucket = 0; /* the first one, unassigned */
	peer_msg msg = { .type = PEER_SHARD_ANNOUNCE };
	struct shard *shard;
	struct bucket before;
	struct actions acts;
	struct ctx ctx;

	(void)nodes;
	msg.peer_msg_u.announce = (peer_shard_announce){
		.shard = shard_header(flow_shard(fix, home, flow)),
		.buckets = { .buckets = { 1, &bucket } },
	};
	fleet_kill(&fix->fleet, home);
	fleet_run(&fix->fleet, 10000);
	g_assert_cmpuint(home_of(fix, flow), !=, home);
	member = other_than(fix, home_of(fix, flow));
	member = member == home ? other_than(fix, member) : member;
	shard = flow_shard(fix, member, flow);
	g_assert_cmpuint(shard->term, >, msg.peer_msg_u.announce.shard.term);
	before = shard->buckets[0];
	msg.peer_msg_u.announce.shard.epoch = 1000;
	ctx = fleet_ctx(&fix->fleet, &fix->fleet.nodes[member], &acts);
	homes_peer(fix->fleet.nodes[member].homes, &ctx, home, 77, &msg);
	g_assert_cmpuint(acts.list->len, ==, 1);
	homes_reply(fix->fleet.nodes[member].homes, &ctx, home, 123456, CALL_OK, &msg);
	g_assert_cmpuint(acts.list->len, ==, 1);
	actions_release(&acts);
	g_assert_cmpmem(&before, sizeof(before), &shard->buckets[0], sizeof(before));
	g_assert_cmpuint(fix->fleet.nodes[member].counters.peer_stale_term, ==, 1);
}

/* Guards against a pin that is lost with its home, and a guessed target after two losses. */
static void test_losses(struct fixture *fix, gconstpointer nodes)
{
	uint32_t base = 1;
	uint32_t flow = flow_at(fix, base, 0);
	uint32_t home = home_of(fix, flow);
	uint32_t receiver = other_than(fix, home);
	uint32_t second, target;

	(void)nodes;
	fleet_eligible(&fix->fleet, base, false);
	fleet_run(&fix->fleet, 1000);
	syn(fix, receiver, flow, 5);
	fleet_run(&fix->fleet, 100);
	target = last_target(fix);
	g_assert_cmpuint(target, !=, base);
	fleet_kill(&fix->fleet, home);
	fleet_run(&fix->fleet, 10000);
	fix->fleet.listed_gone[home] = true;
	fleet_run(&fix->fleet, 1000);
	for (uint32_t id = 1; id <= fix->fleet.nr; id++)
		if (id != receiver && fix->fleet.nodes[id].up)
			data(fix, id, flow);
	fleet_run(&fix->fleet, 500);
	g_assert_cmpuint(last_target(fix), ==, target);
	g_assert_cmpuint(count(fix, ACTION_FORWARD, base), ==, 0);
	/* After two losses at once pins may be missing: an unknown flow need not be at the base. */
	home = home_of(fix, flow);
	second = other_than(fix, home);
	while (!fix->fleet.nodes[second].up)
		second = other_than(fix, second);
	fleet_kill(&fix->fleet, home);
	fleet_kill(&fix->fleet, second);
	fleet_run(&fix->fleet, 10000);
	fix->fleet.listed_gone[home] = fix->fleet.listed_gone[second] = true;
	fleet_run(&fix->fleet, 1000);
	g_array_set_size(fix->recorded, 0);
	for (uint32_t i = flow + 1; i < flow + 3000; i++)
		if (shard_of(fleet_hash(tcp_service, i)) ==
			    shard_of(fleet_hash(tcp_service, flow)) &&
		    flow_bucket(fix, home_of(fix, flow), i)->mode == BUCKET_SHARED)
			data(fix, home_of(fix, flow), i);
	fleet_run(&fix->fleet, 1000);
	g_assert_cmpuint(count(fix, ACTION_FORWARD, TARGET_NONE), ==, 0);
	g_assert_cmpuint(fix->fleet.nodes[home_of(fix, flow)].counters.drop_unknown_flow, >, 0);
}

/* Guards against a known UDP flow that is treated as new after a change of targets. */
static void test_udp(struct fixture *fix, gconstpointer nodes)
{
	struct sim_bytes sim = { .flow = 1, .kind = PACKET_DATA, .payload_len = 5 };
	uint32_t old[200];

	(void)nodes;
	for (sim.flow = 0; sim.flow < 200; sim.flow++) {
		fleet_packet(&fix->fleet, 1 + sim.flow % fix->fleet.nr, udp_service, &sim);
		old[sim.flow] = last_target(fix);
	}
	fleet_eligible(&fix->fleet, 4, false);
	fleet_run(&fix->fleet, 1000);
	for (sim.flow = 0; sim.flow < 400; sim.flow++) {
		guint before = fix->recorded->len;

		fleet_packet(&fix->fleet, 1 + (sim.flow + 1) % fix->fleet.nr, udp_service, &sim);
		fleet_run(&fix->fleet, 100);
		g_assert_cmpuint(fix->recorded->len, ==, before + 1);
		if (sim.flow < 200)
			g_assert_cmpuint(last_target(fix), ==, old[sim.flow]);
		else
			g_assert_cmpuint(last_target(fix), ==, 5);
	}
}

/* Guards against accepted answers of another organisation's target, and unbounded parking. */
static void test_bounds(struct fixture *fix, gconstpointer nodes)
{
	uint32_t home = home_of(fix, 1);
	uint32_t receiver = other_than(fix, home);
	struct homes_status st;

	(void)nodes;
	answer(fix, 1, 1, 5, 4, ANSWER_ACCEPTED);
	g_assert_cmpuint(fix->fleet.nodes[1].counters.drop_foreign, ==, 1);
	for (uint32_t t = 1; t < 4; t++)
		fleet_eligible(&fix->fleet, t, false);
	fleet_run(&fix->fleet, 1000);
	fix->fleet.loss_permille = 1000;
	for (uint32_t flow = 1; flow < 5000; flow++)
		syn(fix, receiver, flow, 5);
	homes_get_status(fix->fleet.nodes[receiver].homes, &st);
	g_assert_cmpuint(st.parked, >, 0);
	g_assert_cmpuint(st.parked, <=, PARKED_MAX_PER_ORG);
	fix->fleet.loss_permille = 0;
	fleet_run(&fix->fleet, 1000);
	homes_get_status(fix->fleet.nodes[receiver].homes, &st);
	g_assert_cmpuint(st.parked, ==, 0);
}

/*
 * Guards against instances that all stop together and wait for a member to take over their shards;
 * one that stops alone must wait for the member that remains.
 */
static void test_last_leave(struct fixture *fix, gconstpointer nodes)
{
	struct fleet *fleet = &fix->fleet;
	uint32_t nr = GPOINTER_TO_UINT(nodes);
	struct actions acts;

	for (uint32_t id = 1; id <= nr; id++) {
		struct ctx ctx = fleet_ctx(fleet, &fleet->nodes[id], &acts);

		homes_leave(fleet->nodes[id].homes, &ctx);
		actions_release(&acts);
		g_assert_false(homes_left(fleet->nodes[id].homes));
	}
	fleet_run(fleet, 2 * ROUTING_LEASE_MIN_MS);
	for (uint32_t id = 1; id <= nr; id++)
		g_assert_true(homes_left(fleet->nodes[id].homes));
}

/* Guards against a parked packet that is forwarded after its deadline. */
static void test_deadline(struct fixture *fix, gconstpointer nodes)
{
	static const struct {
		int32_t deadline_ms;
		int64_t waited_ms;
		bool in_time;
		int32_t left_ms;
	} cases[] = {
		{ NO_DEADLINE, 5000, true, NO_DEADLINE },
		{ 100, 0, true, 100 },
		{ 100, 40, true, 60 },
		{ 100, 100, false, 100 },
		{ 100, 5000, false, 100 },
	};

	(void)nodes;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct actions acts;
		struct ctx ctx = fleet_ctx(&fix->fleet, &fix->fleet.nodes[1], &acts);
		uint64_t dropped = ctx.counters->drop_deadline;
		struct parked parked = {
			.pkt = { .deadline_ms = cases[i].deadline_ms },
			.since = ctx.now,
		};

		ctx.now = ts_add_ms(ctx.now, cases[i].waited_ms);
		g_assert_true(parked_in_time(&ctx, &parked) == cases[i].in_time);
		g_assert_cmpint(parked.pkt.deadline_ms, ==, cases[i].left_ms);
		g_assert_cmpuint(ctx.counters->drop_deadline, ==, dropped + !cases[i].in_time);
		actions_release(&acts);
	}
}

#define ADD(name, nodes, fn)                                                                       \
	g_test_add("/home/" name, struct fixture, GUINT_TO_POINTER(nodes), fixture_init, fn,       \
		   fixture_release)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD("single", 3, test_single);
	ADD("two-phases", 5, test_two_phases);
	ADD("recent", 4, test_recent);
	ADD("second-holder", 4, test_second_holder);
	ADD("crossed-acceptance", 4, test_crossed_acceptance);
	ADD("pause", 5, test_pause);
	ADD("shed", 4, test_shed);
	ADD("refusal", 4, test_refusal);
	ADD("withdrawal", 4, test_withdrawal);
	ADD("outcomes", 4, test_outcomes);
	ADD("silence", 4, test_silence);
	ADD("old-term", 5, test_old_term);
	ADD("losses", 6, test_losses);
	ADD("udp", 4, test_udp);
	ADD("bounds", 4, test_bounds);
	ADD("last-leave", 2, test_last_leave);
	ADD("deadline", 2, test_deadline);
	return g_test_run();
}
