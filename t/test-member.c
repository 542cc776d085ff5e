/* Guards against diverging views of a group, false deaths and homes that act without a lease. */
#include <sodium.h>

#include "simnet.h"

static struct simnet *start_group(uint64_t seed, uint32_t nr, uint32_t dc_size, int64_t ms)
{
	struct simnet *net = simnet_new(seed, nr, nr, dc_size);

	for (uint32_t i = 0; i < nr; i++)
		simnet_start(net, i, 1);
	sim_run(net, ms);
	return net;
}

static enum member_state state_at(struct simnet *net, uint32_t observer, uint32_t subject)
{
	return members_state(net->nodes[observer].mem, subject + 1);
}

/* Guards against instances that disagree on the home of a shard, or choose a dead one. */
static void test_homes_agree(void)
{
	static const struct {
		uint32_t nr, loss, killed;
		int64_t dead_by_ms;
	} cases[] = {
		{ 1, 0, 0, 0 },		{ 2, 0, 1, 8000 },    { 3, 0, 1, 8000 },
		{ 3, 100, 2, 9000 },	{ 9, 100, 4, 10000 }, { 9, 0, 8, 9000 },
		{ 61, 100, 30, 20000 },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct simnet *net = simnet_new(c + 1, cases[c].nr, cases[c].nr, cases[c].nr);

		net->loss_permille = cases[c].loss;
		for (uint32_t i = 0; i < cases[c].nr; i++)
			simnet_start(net, i, 1);
		sim_run(net, 15000);
		if (cases[c].nr > 1) {
			net->nodes[cases[c].killed].down = true;
			sim_run(net, cases[c].dead_by_ms);
		}
		for (uint64_t key = 0; key < 50; key++) {
			uint32_t home = members_ranked(net->nodes[0].mem, key, 0);
			uint32_t backup = members_ranked(net->nodes[0].mem, key, 1);

			g_assert_cmpuint(home, !=, MEMBER_NONE);
			g_assert_cmpuint(home, !=, backup);
			for (uint32_t i = 0; i < cases[c].nr; i++) {
				if (net->nodes[i].down)
					continue;
				g_assert_cmpuint(members_ranked(net->nodes[i].mem, key, 0), ==,
						 home);
				g_assert_cmpuint(members_ranked(net->nodes[i].mem, key, 1), ==,
						 backup);
				g_assert_true(!sim_node(net, home)->down);
			}
		}
		simnet_free(net);
	}
}

/* Guards against a survivor that waits for a second observer after all others died at once. */
static void test_sole_survivor(void)
{
	struct simnet *net = start_group(3, 3, 3, 5000);

	net->nodes[1].down = net->nodes[2].down = true;
	sim_run(net, 9000);
	g_assert_cmpuint(members_count(net->nodes[0].mem), ==, 1);
	g_assert_cmpuint(members_lost_since(net->nodes[0].mem, ts_from_ms(1000000)), ==, 2);
	g_assert_true(members_lease_fresh(net->nodes[0].mem, net->now));
	simnet_free(net);
}

/*
 * Guards against an observer that declares the others dead after its own pause, and against a lease
 * renewed by heartbeats that were queued while the process was paused.
 */
static void test_paused(void)
{
	static const struct {
		uint32_t nr;
		int64_t pause_ms;
		bool paused;
	} cases[] = {
		{ 3, 1500, false }, { 3, 10000, true }, { 9, 30000, true }, { 9, 4000, true }
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct simnet *net = start_group(c + 1, cases[c].nr, cases[c].nr, 8000);
		struct members *mem = net->nodes[0].mem;

		net->nodes[0].paused_until = sim_ms(net) + cases[c].pause_ms;
		sim_run(net, cases[c].pause_ms - SIM_STEP_MS);
		if (cases[c].pause_ms > 9000)
			g_assert_cmpint(state_at(net, 1, 0), ==, MEMBER_DEAD);
		if (cases[c].paused) {
			g_assert_false(members_lease_fresh(mem, net->now));
			sim_step(net);
			g_assert_false(members_lease_fresh(mem, net->now));
		}
		for (int step = 0; step < 600; step++) {
			for (uint32_t i = 1; i < cases[c].nr; i++)
				g_assert_cmpint(state_at(net, 0, i), ==, MEMBER_LIVE);
			sim_step(net);
		}
		g_assert_true(members_paused(mem) == cases[c].paused);
		g_assert_false(members_paused(mem));
		sim_run(net, 5000);
		g_assert_true(members_lease_fresh(mem, net->now));
		/* The paused member kept its state: no loss. */
		g_assert_cmpint(state_at(net, 1, 0), ==, MEMBER_LIVE);
		g_assert_cmpuint(members_lost_since(net->nodes[1].mem, ts_from_ms(1000000)), ==, 0);
		simnet_free(net);
	}
}

/* Guards against messages of an old incarnation that overwrite the state of the new one. */
static void test_restart(void)
{
	struct simnet *net = start_group(5, 3, 3, 5000);
	struct members *mem = net->nodes[0].mem;
	struct ctx ctx = sim_ctx(net, &net->nodes[0]);
	uint64_t version = members_version(mem);
	peer_heartbeat old = {
		.instance = 2,
		.incarnation = 1,
		.counter_state = 100000u << 4 | PEER_MEMBER_LEAVING,
		.group = sim_group_hash(net, 1),
	};

	simnet_start(net, 1, 2);
	sim_run(net, 3000);
	g_assert_cmpuint(members_incarnation(mem, 2), ==, 2);
	g_assert_cmpuint(members_version(mem), >, version);
	g_assert_cmpuint(members_lost_since(mem, ts_from_ms(1000000)), ==, 1);
	version = members_version(mem);
	ctx.now = net->now;
	g_assert_false(members_receive_heartbeat(mem, &ctx, 2, &old));
	g_assert_cmpint(state_at(net, 0, 1), ==, MEMBER_LIVE);
	/* The same heartbeat from the new incarnation applies, but not from another group. */
	old.incarnation = 2;
	old.group++;
	g_assert_false(members_receive_heartbeat(mem, &ctx, 2, &old));
	old.group--;
	g_assert_true(members_receive_heartbeat(mem, &ctx, 2, &old));
	g_assert_cmpint(state_at(net, 0, 1), ==, MEMBER_LEAVING);
	g_assert_cmpuint(members_version(mem), >, version);
	simnet_free(net);
}

/*
 * Guards against an outdated list that makes a live member dead, keeps a silent one, or lets
 * another member become home before the lease of a partitioned home that it lists as gone has
 * expired.
 */
static void test_list(void)
{
	static const struct {
		enum instance_phase phase;
		bool down;
		enum member_state want;
		bool home;
	} cases[] = {
		{ INSTANCE_LIVE, false, MEMBER_LIVE, true },
		{ INSTANCE_LEAVING, false, MEMBER_LEAVING, false },
		{ INSTANCE_GONE, false, MEMBER_LIVE, true },
		{ INSTANCE_GONE, true, MEMBER_DEAD, false },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct simnet *net = start_group(c + 1, 3, 3, 5000);
		bool home = false;

		net->nodes[1].down = cases[c].down;
		net->infos[1].phase = cases[c].phase;
		for (uint32_t i = 0; i < 3; i++) {
			struct ctx ctx = sim_ctx(net, &net->nodes[i]);

			members_apply_list(net->nodes[i].mem, &ctx, net->infos, 3);
		}
		sim_run(net, 2 * ROUTING_LEASE_MIN_MS - 500);
		g_assert_cmpint(state_at(net, 0, 1), !=, MEMBER_DEAD);
		sim_run(net, ROUTING_LEASE_MIN_MS + 1500);
		g_assert_cmpint(state_at(net, 0, 1), ==, cases[c].want);
		for (uint64_t key = 0; key < 50; key++)
			home |= members_ranked(net->nodes[0].mem, key, 0) == 2;
		g_assert_true(home == cases[c].home);
		simnet_free(net);
	}
}

/* Guards against members that do not watch the list and never receive its changes. */
static void test_list_told(void)
{
	struct simnet *net = start_group(17, 9, 9, 8000);
	struct ctx ctx = sim_ctx(net, &net->nodes[0]);

	net->nodes[1].down = true;
	net->infos[1].phase = INSTANCE_GONE;
	net->infos[2].phase = INSTANCE_LEAVING;
	members_apply_list(net->nodes[0].mem, &ctx, net->infos, 9);
	/* Three leases, and the time for the change to spread. */
	sim_run(net, 4 * ROUTING_LEASE_MIN_MS);
	for (uint32_t i = 3; i < 9; i++) {
		g_assert_cmpint(state_at(net, i, 1), ==, MEMBER_DEAD);
		g_assert_cmpint(state_at(net, i, 2), ==, MEMBER_LEAVING);
	}
	sim_run(net, 120000);
	g_assert_cmpint(state_at(net, 8, 2), ==, MEMBER_LEAVING);
	/* The list has it as live again; the others drop the leaving flag after a time. */
	net->infos[2].phase = INSTANCE_LIVE;
	ctx.now = net->now;
	members_apply_list(net->nodes[0].mem, &ctx, net->infos, 9);
	sim_run(net, 90000);
	g_assert_cmpint(state_at(net, 8, 2), ==, MEMBER_LIVE);
	simnet_free(net);
}

/* Guards against elimination while a partitioned data centre may have opened flows. */
static void test_maybe_cut(void)
{
	struct simnet *net = start_group(7, 6, 2, 6000);
	struct members *mem = net->nodes[0].mem;
	struct ctx ctx;

	g_assert_false(members_maybe_partitioned(mem));
	net->nodes[4].partition = 1;
	sim_run(net, 12000);
	g_assert_false(members_maybe_partitioned(mem));
	net->nodes[5].partition = 1;
	sim_run(net, 12000);
	g_assert_true(members_maybe_partitioned(mem));
	g_assert_true(members_maybe_partitioned(net->nodes[4].mem));
	g_assert_cmpuint(members_lost_since(mem, ts_from_ms(1000000)), ==, 2);
	net->nodes[4].partition = net->nodes[5].partition = 0;
	sim_run(net, 12000);
	g_assert_false(members_maybe_partitioned(mem));
	g_assert_cmpuint(members_lost_since(mem, ts_from_ms(1000000)), ==, 0);
	/* The same again, but the list no longer has the data centre. */
	net->nodes[4].down = net->nodes[5].down = true;
	sim_run(net, 12000);
	g_assert_true(members_maybe_partitioned(mem));
	ctx = sim_ctx(net, &net->nodes[0]);
	members_apply_list(mem, &ctx, net->infos, 6);
	g_assert_true(members_maybe_partitioned(mem));
	members_apply_list(mem, &ctx, net->infos, 4);
	g_assert_false(members_maybe_partitioned(mem));
	simnet_free(net);
}

/* Guards against a new member that only one member learns of while the platform is down. */
static void test_contacts(void)
{
	struct simnet *net = simnet_new(9, 5, 5, 5);
	struct instance_info saved[5];
	struct endpoint ep;

	memcpy(saved, net->infos, sizeof(saved));
	for (uint32_t i = 0; i < 4; i++) {
		net->nr = 4;
		simnet_start(net, i, 1);
	}
	sim_run(net, 4000);
	net->infos[0] = saved[4];
	net->infos[1] = saved[2];
	net->infos[4] = saved[4];
	net->nr = 2;
	simnet_start(net, 0, 1);
	net->nodes[4] = net->nodes[0];
	memset(&net->nodes[0], 0, sizeof(net->nodes[0]));
	net->infos[0] = saved[0];
	net->infos[1] = saved[1];
	net->nr = 4;
	simnet_start(net, 0, 2);
	net->nr = 5;
	sim_run(net, 12000);
	for (uint32_t i = 0; i < 5; i++) {
		g_assert_cmpuint(members_count(net->nodes[i].mem), ==, 5);
		g_assert_true(members_endpoint(net->nodes[i].mem, 5, &ep));
		g_assert_cmpuint(ep.port, ==, 7100);
	}
	simnet_free(net);
}

/* Guards against vectors larger than a datagram: ids far apart take more bytes each. */
static void test_large_vector(void)
{
	struct simnet *net = simnet_new(11, 200, 200, 200);
	uint32_t live = 0;

	for (uint32_t i = 0; i < 200; i++)
		net->infos[i].id = (i + 1) * 20000;
	for (uint32_t i = 0; i < 200; i++)
		simnet_start(net, i, 1);
	sim_run(net, 60000);
	for (uint32_t i = 0; i < 200; i++) {
		g_assert_cmpuint(net->nodes[i].largest, <=, 1200);
		live += members_count(net->nodes[i].mem);
	}
	/* The remaining members are still joining at that observer. */
	g_assert_cmpuint(live, >, 200 * 195);
	simnet_free(net);
}

/* Guards against reads past the end of a truncated vector. */
static void test_malformed_vector(void)
{
	struct simnet *net = start_group(13, 3, 3, 3000);
	struct ctx ctx = sim_ctx(net, &net->nodes[0]);
	uint8_t bytes[] = { 0x80, 0x80, 0x80, 0x80, 0xff, 0xff, 0x80 };

	for (u_int len = 0; len <= sizeof(bytes); len++) {
		uint8_t *copy = g_memdup2(bytes, len);
		peer_heartbeat hb = {
			.instance = 2,
			.incarnation = 1,
			.counter_state = (1000 + len) << 4 | PEER_MEMBER_LIVE,
			.group = sim_group_hash(net, 1),
		};

		hb.vector.vector_len = len;
		hb.vector.vector_val = (char *)copy;
		members_receive_heartbeat(net->nodes[0].mem, &ctx, 2, &hb);
		g_free(copy);
	}
	simnet_free(net);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/member/homes-agree", test_homes_agree);
	g_test_add_func("/member/sole-survivor", test_sole_survivor);
	g_test_add_func("/member/paused", test_paused);
	g_test_add_func("/member/restart", test_restart);
	g_test_add_func("/member/list", test_list);
	g_test_add_func("/member/list-told", test_list_told);
	g_test_add_func("/member/maybe-cut", test_maybe_cut);
	g_test_add_func("/member/contacts", test_contacts);
	g_test_add_func("/member/large-vector", test_large_vector);
	g_test_add_func("/member/malformed-vector", test_malformed_vector);
	return g_test_run();
}
