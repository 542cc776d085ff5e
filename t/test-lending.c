/*
 * Guards against lending between data centres that begins and ends in turn, outlasts the shortage,
 * calls the store on calm days, or accepts credits that were not asked for.
 */
#include <sodium.h>

#include "t/exchange-sim.h"

/* Nodes 0 to 4 are in "home", which has half of the targets that it needs, 5 to 9 in "away". */
static struct exsim *lending_new(void)
{
	struct exsim *sim = g_new(struct exsim, 1);

	exsim_init(sim);
	exsim_add_targets(sim, "home", 5);
	exsim_add_targets(sim, "away", 20);
	for (unsigned int i = 0; i < 5; i++)
		exsim_add_node(sim, "home", 0, i ? EXCHANGE_FOLLOWER : EXCHANGE_READER, 10);
	for (unsigned int i = 5; i < 10; i++)
		exsim_add_node(sim, "away", 5, i > 5 ? EXCHANGE_FOLLOWER : EXCHANGE_READER, 10);
	for (unsigned int i = 0; i < 2; i++) {
		sim->readers[i].data_centre = i ? "away" : "home";
		sim->readers[i].entry.ep = (struct endpoint){ EXSIM_SELF_IP + 5 * i, 7000 };
		sim->readers[i].entry.revision = store_version_make(0, 1);
	}
	sim->nr_readers = 2;
	exsim_run(sim, 5000);
	return sim;
}

static void set_demand(struct exsim *sim, uint32_t per_s)
{
	for (unsigned int i = 0; i < 5; i++)
		sim->nodes[i].per_s = per_s;
}

/* Lending must neither begin and end in turn nor outlast the shortage. */
static void test_lending(void)
{
	struct exsim *sim = lending_new();
	struct exsim_node *home = &sim->nodes[0];
	struct exsim_node *lender = &sim->nodes[5];
	uint32_t least = UINT32_MAX;
	uint32_t most = 0;
	uint32_t last;
	unsigned int changes = 0;
	unsigned int placed;

	/* 50 of 170 openings a second that 10 slots of 50 ms bear: no shortage, no call. */
	g_assert_cmpuint(exsim_status(home).borrowed, ==, 0);
	g_assert_cmpuint(home->lists, ==, 0);
	/* 300 openings a second need 15 slots, 8.5 of 10 are usable: 6.5 are missing. */
	set_demand(sim, 60);
	exsim_run(sim, 6000);
	g_assert_cmpuint(exsim_status(home).borrowed, >=, 4);
	/* The times measured during the shortage leave the average after some 15 s. */
	exsim_run(sim, 9000);
	last = exsim_status(home).borrowed;
	for (int round = 0; round < 200; round++) {
		exsim_run(sim, 50);
		changes += exsim_status(home).borrowed != last;
		last = exsim_status(home).borrowed;
		least = MIN(least, last);
		most = MAX(most, last);
	}
	g_test_message("borrowed %u to %u, %u changes in 10 s", least, most, changes);
	g_assert_cmpuint(changes, <=, 4);
	g_assert_cmpuint(least, >=, 4);
	g_assert_cmpuint(most, <=, 10);
	g_assert_cmpuint(most - least, <=, 3);
	g_assert_cmpuint(exsim_status(lender).lent, >=, least);
	/* Followers, too, use lent targets. */
	placed = sim->nodes[2].placed;
	exsim_run(sim, 1000);
	g_assert_cmpuint(sim->nodes[2].placed - placed, >, 45);
	/* One list in 10 s. */
	g_assert_cmpuint(home->lists, <=, 3);
	g_assert_cmpuint(lender->lists, ==, 0);
	set_demand(sim, 10);
	exsim_run(sim, 5000);
	g_assert_cmpuint(exsim_status(home).borrowed, ==, 0);
	g_assert_cmpuint(exsim_status(lender).lent, ==, 0);
	exsim_release(sim);
}

/* With two lenders, of which the first has little room, the other one makes up for it. */
static void test_two_lenders(gconstpointer data)
{
	unsigned int roomy = GPOINTER_TO_UINT(data); /* node of the lender with much room */
	struct exsim *sim = g_new(struct exsim, 1);
	struct exsim_node *home;
	uint32_t least = UINT32_MAX;
	uint32_t most = 0;

	exsim_init(sim);
	exsim_add_targets(sim, "home", 5);
	exsim_add_targets(sim, "away", roomy == 1 ? 20 : 5);
	exsim_add_targets(sim, "far", roomy == 2 ? 20 : 5);
	home = exsim_add_node(sim, "home", 0, EXCHANGE_READER, 300);
	exsim_add_node(sim, "away", 1, EXCHANGE_READER, 100);
	exsim_add_node(sim, "far", 2, EXCHANGE_READER, 100);
	for (unsigned int i = 0; i < 3; i++) {
		sim->readers[i].data_centre = (const char *[]){ "home", "away", "far" }[i];
		sim->readers[i].entry.ep = (struct endpoint){ EXSIM_SELF_IP + i, 7000 };
		sim->readers[i].entry.revision = store_version_make(0, 1);
	}
	sim->nr_readers = 3;
	exsim_run(sim, 15000);
	for (int round = 0; round < 200; round++) {
		exsim_run(sim, 50);
		least = MIN(least, exsim_status(home).borrowed);
		most = MAX(most, exsim_status(home).borrowed);
	}
	g_test_message("borrowed %u to %u", least, most);
	g_assert_cmpuint(least, >=, 5);
	g_assert_cmpuint(most, <=, 10);
	g_assert_cmpuint(most - least, <=, 3);
	g_assert_cmpuint(exsim_status(&sim->nodes[roomy]).lent, >, 2);
	exsim_release(sim);
}

/* Data centres with 40 slots each, of which the first has a demand of @per_s of 800 openings. */
static struct exsim *equal_lenders_new(unsigned int nr, uint32_t per_s)
{
	const char *names[] = { "home", "away", "far", "east", "west", "north" };
	struct exsim *sim = g_new(struct exsim, 1);

	exsim_init(sim);
	for (unsigned int i = 0; i < nr; i++)
		exsim_add_targets(sim, names[i], 20);
	for (unsigned int i = 0; i < nr; i++) {
		exsim_add_node(sim, names[i], i, EXCHANGE_READER, i ? 400 : per_s);
		sim->readers[i].data_centre = names[i];
		sim->readers[i].entry.ep = (struct endpoint){ EXSIM_SELF_IP + i, 7000 };
		sim->readers[i].entry.revision = store_version_make(0, 1);
	}
	sim->nr_readers = nr;
	return sim;
}

/* Several lenders that answer one request must neither lend too much together nor swing. */
static void test_equal_lenders(gconstpointer data)
{
	unsigned int lenders = GPOINTER_TO_UINT(data);

	for (uint32_t per_s = 1050; per_s <= 1300; per_s += 50) {
		struct exsim *sim = equal_lenders_new(lenders + 1, per_s);
		uint32_t least = UINT32_MAX;
		uint32_t most = 0;

		exsim_run(sim, 15000);
		for (int round = 0; round < 400; round++) {
			exsim_run(sim, 50);
			least = MIN(least, exsim_status(&sim->nodes[0]).borrowed);
			most = MAX(most, exsim_status(&sim->nodes[0]).borrowed);
		}
		g_test_message("%u lenders, %u openings a second: borrowed %u to %u", lenders,
			       per_s, least, most);
		g_assert_cmpuint(most - least, <=, 2);
		/* Equal ratios are at about 20 slots with two lenders at the least demand. */
		g_assert_cmpuint(least, >=, 18);
		exsim_release(sim);
	}
}

/* A data centre without demand of its own lends too. */
static void test_idle_lender(void)
{
	struct exsim *sim = lending_new();

	for (unsigned int i = 5; i < 10; i++)
		sim->nodes[i].per_s = 0;
	exsim_run(sim, 4000);
	g_assert_cmpuint(exsim_status(&sim->nodes[5]).services, ==, 0);
	set_demand(sim, 60);
	exsim_run(sim, 6000);
	g_assert_cmpuint(exsim_status(&sim->nodes[0]).borrowed, >=, 4);
	exsim_release(sim);
}

static void withdraw(struct exsim *sim, const char *data_centre, bool withdrawn)
{
	for (unsigned int i = 0; i < sim->nr; i++)
		control_state_withdraw(&sim->nodes[i].cs, data_centre, withdrawn, exsim_now(sim));
}

static void test_withdrawn(void)
{
	struct exsim *sim = lending_new();
	struct exsim_node *home = &sim->nodes[0];

	set_demand(sim, 60);
	exsim_run(sim, 6000);
	g_assert_cmpuint(exsim_status(home).borrowed, >=, 4);
	withdraw(sim, "away", true);
	g_assert_cmpuint(exsim_status(home).borrowed, ==, 0);
	exsim_run(sim, 2000);
	g_assert_cmpuint(exsim_status(home).borrowed, ==, 0);
	g_assert_cmpuint(exsim_status(&sim->nodes[5]).lent, ==, 0);
	for (unsigned int i = 6; i < 10; i++)
		g_assert_cmpuint(exsim_held(&sim->nodes[i]), ==, 0);
	withdraw(sim, "away", false);
	exsim_run(sim, 3000);
	g_assert_cmpuint(exsim_status(home).borrowed, >=, 4);
	exsim_release(sim);
}

/* An isolated data centre goes on with its own targets when lent credits have expired. */
static void test_lender_dies(void)
{
	struct exsim *sim = lending_new();
	struct exsim_node *home = &sim->nodes[0];

	set_demand(sim, 60);
	exsim_run(sim, 6000);
	exsim_kill(&sim->nodes[5]);
	exsim_run(sim, 1000);
	g_assert_cmpuint(exsim_status(home).borrowed, >, 0);
	exsim_run(sim, 1000);
	g_assert_cmpuint(exsim_status(home).borrowed, ==, 0);
	for (unsigned int i = 0; i < 5; i++)
		g_assert_cmpuint(exsim_held(&sim->nodes[i]), >, 0);
	exsim_release(sim);
}

static char away[] = "away";

/* Lent credits come only from a reader that was asked, and only for its own targets. */
static void test_spoiled_lent(void)
{
	struct exsim *sim = lending_new();
	struct exsim_node *home = &sim->nodes[0];
	uint64_t own = registry_by_id(home->cs.registry, "home-1")->digest;
	uint64_t dropped;
	peer_msg msg, copy;
	peer_credit_grant *grant = &copy.peer_msg_u.credit_grant;

	set_demand(sim, 60);
	exsim_run(sim, 6000);
	exsim_decode(home->last_grant, &msg, &copy);
	grant->sequence = UINT64_MAX - 2;
	dropped = home->cs.counters.credit_dropped;
	exchange_receive_grant(home->ex, EXSIM_SELF_IP + 6, grant, exsim_now(sim));
	grant->flags = 0;
	exchange_receive_grant(home->ex, EXSIM_SELF_IP + 5, grant, exsim_now(sim));
	grant->flags = PEER_CREDIT_LENT;
	grant->data_centre = (char[]){ "home" };
	exchange_receive_grant(home->ex, EXSIM_SELF_IP + 5, grant, exsim_now(sim));
	g_assert_cmpuint(home->cs.counters.credit_dropped, ==, dropped + 3);
	g_assert_cmpuint(exsim_status(home).borrowed, >=, 4);
	grant->data_centre = away;
	grant->entries.entries_len = 2;
	grant->entries.entries_val[0].target = own;
	grant->entries.entries_val[1].amounts = 3u << 24 | 1000; /* more than its slots */
	exchange_receive_grant(home->ex, EXSIM_SELF_IP + 5, grant, exsim_now(sim));
	g_assert_cmpuint(home->cs.counters.credit_dropped, ==, dropped + 3);
	g_assert_cmpuint(exsim_status(home).borrowed, ==, 0);
	peer_msg_release(&msg);
	exsim_release(sim);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (sodium_init() < 0)
		return 1;
	g_test_add_func("/lending/shortage", test_lending);
	g_test_add_data_func("/lending/two-lenders/first", GUINT_TO_POINTER(1), test_two_lenders);
	g_test_add_data_func("/lending/two-lenders/second", GUINT_TO_POINTER(2), test_two_lenders);
	g_test_add_data_func("/lending/equal-lenders/2", GUINT_TO_POINTER(2), test_equal_lenders);
	g_test_add_data_func("/lending/equal-lenders/3", GUINT_TO_POINTER(3), test_equal_lenders);
	g_test_add_data_func("/lending/equal-lenders/5", GUINT_TO_POINTER(5), test_equal_lenders);
	g_test_add_func("/lending/idle-lender", test_idle_lender);
	g_test_add_func("/lending/withdrawn", test_withdrawn);
	g_test_add_func("/lending/lender-dies", test_lender_dies);
	g_test_add_func("/lending/spoiled-lent-credits", test_spoiled_lent);
	return g_test_run();
}
