/*
 * Guards against a division of credits that gives members more or less than their share, that
 * moves credits without need, that starves a class, or that lends what the members need.
 */
#include <glib.h>
#include <math.h>
#include <sodium.h>

#include "credit/allocator.h"
#include "timeutil.h"

#define INTERVAL_MS 250
#define TENURE_MS   1000
#define MAX_TARGETS 1200
#define MAX_MEMBERS 500
#define SERVICE_US  100000 /* 10 openings a second occupy a slot */

struct fixture {
	struct seeded_random random;
	struct allocator *al;
	struct alloc_target targets[MAX_TARGETS];
	struct alloc_member members[MAX_MEMBERS];
	struct alloc_round round;
	int64_t now_ms;
};

static void fixture_init(struct fixture *fx, size_t nr_targets, size_t nr_members)
{
	*fx = (struct fixture){ .now_ms = 1000000 };
	seeded_random_init(&fx->random, 1);
	fx->al = allocator_new(&fx->random.random);
	for (size_t i = 0; i < MAX_TARGETS; i++)
		fx->targets[i] = (struct alloc_target){ .key = (i + 1) * 0x517cc1b727220a95ULL,
							.slots = 2,
							.speed_permille = 1000,
							.capacity_permille = 1000 };
	for (uint32_t i = 0; i < MAX_MEMBERS; i++)
		fx->members[i].id = i + 1;
	fx->round = (struct alloc_round){
		.targets = fx->targets,
		.nr_targets = nr_targets,
		.members = fx->members,
		.nr_members = nr_members,
		.service_time_us = SERVICE_US,
	};
}

static void fixture_release(struct fixture *fx)
{
	allocator_free(fx->al);
}

/* Openings a second of priority 1 that occupy @slots. */
static uint64_t demand_milli(double slots)
{
	return (uint64_t)(slots * 1000 * G_USEC_PER_SEC / SERVICE_US);
}

static void run_round(struct fixture *fx)
{
	fx->now_ms += INTERVAL_MS;
	fx->round.now = ts_from_ms(fx->now_ms);
	allocator_run(fx->al, &fx->round);
}

static const struct credit_entry *find_entry(const struct fixture *fx, uint32_t member,
					     uint64_t target)
{
	const GArray *entries = allocator_credits(fx->al, member);

	for (size_t i = 0; entries && i < entries->len; i++) {
		const struct credit_entry *entry = &g_array_index(entries, struct credit_entry, i);

		if (entry->target == target)
			return entry;
	}
	return NULL;
}

struct held {
	uint32_t slots, queue;
	double slot_units, queue_units;
};

static struct held sum_held(const struct fixture *fx, uint32_t member)
{
	const GArray *entries = allocator_credits(fx->al, member);
	struct held held = { 0 };

	for (size_t i = 0; entries && i < entries->len; i++) {
		const struct credit_entry *entry = &g_array_index(entries, struct credit_entry, i);

		held.slots += entry->slots;
		held.queue += entry->queue;
		held.slot_units += entry->slots * entry->speed_permille / 1000.0;
		held.queue_units += entry->queue * entry->speed_permille / 1000.0;
	}
	return held;
}

static struct held sum_target(const struct fixture *fx, uint64_t target)
{
	struct held held = { 0 };

	for (uint32_t i = 0; i < MAX_MEMBERS; i++) {
		const struct credit_entry *entry = find_entry(fx, i + 1, target);

		held.slots += entry ? entry->slots : 0;
		held.queue += entry ? entry->queue : 0;
	}
	return held;
}

/*
 * Each member has its share of what is given, within one credit on average: members take turns at
 * the remainder of the division. What is left free is not needed.
 */
static void test_share(void)
{
	const struct {
		size_t nr_targets, nr_members;
		double demand[8];
		bool mixed_speeds;
	} cases[] = {
		{ 4, 2, { 4, 4 }, false },
		{ 4, 2, { 6, 2 }, false },
		{ 12, 8, { 1, 2, 3, 4, 5, 6, 7, 8 }, false },
		{ 12, 8, { 3, 3, 3, 3, 3, 3, 3, 3 }, true },
		{ 3, 8, { 1, 1, 1, 1, 1, 1, 1, 1 }, true },
		{ 40, 5, { 20, 1, 1, 10, 8 }, true },
		{ 100, 5, { 200, 10, 10, 100, 80 }, true },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		const int rounds = 800;
		double mean[8] = { 0 };
		struct fixture fx;
		double demand = 0;
		double units = 0;
		double given = 0;

		fixture_init(&fx, cases[c].nr_targets, cases[c].nr_members);
		for (size_t t = 0; t < cases[c].nr_targets; t++) {
			if (cases[c].mixed_speeds)
				fx.targets[t].speed_permille = t % 4 ? 1200 : 550;
			units += 2 * fx.targets[t].speed_permille / 1000.0;
		}
		for (size_t m = 0; m < cases[c].nr_members; m++) {
			fx.members[m].openings_milli_per_s[1] = demand_milli(cases[c].demand[m]);
			demand += cases[c].demand[m];
		}
		for (int r = 0; r < rounds; r++) {
			double now = 0;

			run_round(&fx);
			for (uint32_t m = 0; m < cases[c].nr_members; m++) {
				double held = sum_held(&fx, m + 1).slot_units;

				mean[m] += held / rounds;
				now += held;
				g_assert_cmpfloat(held, <=,
						  units * cases[c].demand[m] / demand + 2.4);
			}
			given += now / rounds;
			g_assert_cmpfloat(now, >=, MIN(units - 0.001, demand));
		}
		for (size_t m = 0; m < cases[c].nr_members; m++)
			g_assert_cmpfloat(fabs(mean[m] - given * cases[c].demand[m] / demand), <=,
					  1.0);
		fixture_release(&fx);
	}
}

/* Credits that lose their holder are in use twice while the old holder's requests end. */
static void test_sticky(void)
{
	const struct {
		size_t nr_targets, nr_members;
		uint32_t noise_percent; /* of the demand, in each round */
		bool mixed_speeds;
	} cases[] = {
		{ 120, 60, 0, false }, { 120, 60, 0, true },   { 120, 60, 20, true },
		{ 100, 200, 0, true }, { 100, 200, 20, true }, { 30, 300, 0, true },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		const int rounds = 400;
		uint32_t *before = g_new0(uint32_t, cases[c].nr_targets * cases[c].nr_members);
		uint64_t moved = 0;
		struct fixture fx;

		fixture_init(&fx, cases[c].nr_targets, cases[c].nr_members);
		for (size_t t = 0; cases[c].mixed_speeds && t < cases[c].nr_targets; t++)
			fx.targets[t].speed_permille = t % 4 ? 1200 : 550;
		for (int r = 0; r <= rounds; r++) {
			for (uint32_t m = 0; m < cases[c].nr_members; m++)
				fx.members[m].openings_milli_per_s[1] =
					demand_milli(1.0 + m % 3) *
					(100 - cases[c].noise_percent +
					 random_below(&fx.random.random,
						      2 * cases[c].noise_percent + 1)) /
					100;
			run_round(&fx);
			for (size_t i = 0; i < cases[c].nr_targets * cases[c].nr_members; i++) {
				const struct credit_entry *entry =
					find_entry(&fx, (uint32_t)(i / cases[c].nr_targets) + 1,
						   fx.targets[i % cases[c].nr_targets].key);
				uint32_t slots = entry ? entry->slots : 0;

				moved += r && slots < before[i] ? before[i] - slots : 0;
				before[i] = slots;
			}
		}
		g_test_message("case %zu: %.3f of the slot credits moved a round", c,
			       (double)moved / rounds / (2.0 * cases[c].nr_targets));
		g_assert_cmpfloat((double)moved / rounds / (2.0 * cases[c].nr_targets), <=,
				  (double)INTERVAL_MS / TENURE_MS);
		g_free(before);
		fixture_release(&fx);
	}
}

/* The important class is served as if the others were not there; these are not starved. */
static void test_priorities(void)
{
	const struct {
		double demand[2][CREDIT_PRIORITIES]; /* of two members, for 20 slots */
		double least, most;		     /* mean slots of the first */
	} cases[] = {
		{ { { 0, 16 }, { 0, 0, 40 } }, 15.2, 16.8 },
		{ { { 8, 8 }, { 0, 0, 0, 40 } }, 15.2, 16.8 },
		{ { { 0, 5 }, { 0, 0, 100 } }, 4.5, 5.5 },
		{ { { 0, 0, 10 }, { 0, 0, 0, 30 } }, 4.5, 5.5 },
		/* Nothing is scarce: lower priorities count in full, and 9 slots are to spare. */
		{ { { 0, 4 }, { 0, 0, 4 } }, 4.5, 10.5 },
		/* More than fits: the lower class keeps a twentieth of its demand. */
		{ { { 0, 30 }, { 0, 0, 30 } }, 18.0, 19.5 },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		const int rounds = 400;
		double mean = 0;
		int64_t idle_ms = 0;
		struct fixture fx;

		fixture_init(&fx, 10, 2);
		for (size_t m = 0; m < 2; m++)
			for (size_t p = 0; p < CREDIT_PRIORITIES; p++)
				fx.members[m].openings_milli_per_s[p] =
					demand_milli(cases[c].demand[m][p]);
		for (int r = 0; r < rounds; r++) {
			run_round(&fx);
			mean += (double)sum_held(&fx, 1).slots / rounds;
			idle_ms = sum_held(&fx, 2).slots ? 0 : idle_ms + INTERVAL_MS;
			g_assert_cmpint(idle_ms, <=, 2000);
		}
		g_assert_cmpfloat(mean, >=, cases[c].least);
		g_assert_cmpfloat(mean, <=, cases[c].most);
		fixture_release(&fx);
	}
}

/* An idle member holds credits now and then, also when nobody has any demand. */
static void test_idle(void)
{
	struct fixture fx;
	uint32_t idle = 0;

	fixture_init(&fx, 50, 20);
	for (size_t m = 1; m < 20; m++)
		fx.members[m].openings_milli_per_s[1] = demand_milli(5);
	for (int r = 0; r < 100; r++) {
		run_round(&fx);
		idle += sum_held(&fx, 1).slots;
	}
	g_assert_cmpuint(idle, >, 0);
	g_assert_cmpuint(idle, <, 100);
	for (size_t m = 1; m < 20; m++)
		fx.members[m].openings_milli_per_s[1] = 0;
	for (int r = 0; r < 8; r++)
		run_round(&fx);
	for (uint32_t m = 0; m < 20; m++)
		g_assert_cmpuint(sum_held(&fx, m + 1).slots, >=, 4);
	fixture_release(&fx);
}

/* Queue credits: one to three a slot, two credits a member in between. */
static void test_queue_credits(void)
{
	const struct {
		size_t nr_targets, nr_members;
		uint32_t queue;
	} cases[] = {
		{ 10, 1, 20 },	{ 10, 19, 20 }, { 10, 20, 20 },	 { 10, 25, 30 },
		{ 10, 30, 40 }, { 10, 40, 60 }, { 10, 200, 60 },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct fixture fx;
		uint32_t queue = 0;

		fixture_init(&fx, cases[c].nr_targets, cases[c].nr_members);
		for (int r = 0; r < 6; r++)
			run_round(&fx);
		for (uint32_t m = 0; m < cases[c].nr_members; m++)
			queue += sum_held(&fx, m + 1).queue;
		g_assert_cmpuint(queue, ==, cases[c].queue);
		fixture_release(&fx);
	}
}

/* What a target's state leaves of its credits, and that entries say its speed and lender. */
static void test_targets(void)
{
	const struct {
		struct alloc_target target; /* without key */
		uint32_t slots, queue;
		uint16_t speed_permille;
	} cases[] = {
		{ { .slots = 2, .speed_permille = 550, .capacity_permille = 1000 }, 2, 3, 550 },
		{ { .slots = 2, .speed_permille = 9000, .capacity_permille = 1000 }, 2, 6, 2000 },
		{ { .slots = 2, .speed_permille = 0, .capacity_permille = 1000 }, 2, 2, 250 },
		{ { .slots = 2, .speed_permille = 1000, .capacity_permille = 500 }, 1, 3, 1000 },
		{ { .slots = 2, .speed_permille = 1000, .capacity_permille = 62 }, 1, 0, 1000 },
		{ { .slots = 2, .speed_permille = 1000, .capacity_permille = 0 }, 1, 0, 1000 },
		{ { .slots = 8, .speed_permille = 1000, .capacity_permille = 250 }, 2, 6, 1000 },
		{ { 0, 2, 1000, 1000, .cold_limited = true }, 1, 0, 1000 },
		{ { 0, 2, 1200, 1000, .lent = true }, 2, 0, 1200 },
		{ { .slots = 0, .speed_permille = 1000, .capacity_permille = 1000 }, 0, 0, 0 },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct fixture fx;
		struct held held;

		fixture_init(&fx, 10, 100);
		/* More demand than slots: none is left free. */
		for (size_t m = 0; m < 100; m++)
			fx.members[m].openings_milli_per_s[1] = demand_milli(1);
		/* Before it changes, it has all credits. */
		run_round(&fx);
		fx.targets[3] = cases[c].target;
		fx.targets[3].key = 77;
		for (int r = 0; r < 20; r++) {
			run_round(&fx);
			held = sum_target(&fx, 77);
			g_assert_cmpuint(held.slots, ==, cases[c].slots);
			/* Queue credits come one at a time. */
			g_assert_cmpuint(held.queue, ==, MIN(cases[c].queue, (uint32_t)r + 1));
		}
		for (uint32_t m = 0; m < 100; m++) {
			const struct credit_entry *entry = find_entry(&fx, m + 1, 77);

			if (!entry)
				continue;
			g_assert_cmpuint(entry->speed_permille, ==, cases[c].speed_permille);
			g_assert_cmpint(entry->lent, ==, cases[c].target.lent);
		}
		fixture_release(&fx);
	}
}

/*
 * Lends so that demand and capacity come to the same ratio in both data centres: guards against one
 * that refuses openings beside one with room, and against lending to one that is no worse off.
 */
static void test_borrowers(void)
{
	const struct {
		double demand; /* in slots, of 40 */
		struct {
			uint32_t wanted, demand, capacity; /* in thousandths */
		} borrowers[2];
		uint32_t credits[2];	/* lent */
		int64_t shortage_milli; /* with 40 slots, of which 34 count */
	} cases[] = {
		{ 30, { { 20000, 51000, 40000 } }, { 10 }, -4000 },
		{ 10, { { 20000, 30000, 20000 }, { 20000, 30000, 20000 } }, { 12, 12 }, -24000 },
		{ 10, { { 3900, 50000, 40000 } }, { 3 }, -24000 },
		{ 10, { { 900, 50000, 40000 } }, { 0 }, -24000 },
		/* No clear difference, and a lender with the higher ratio. */
		{ 30, { { 20000, 32000, 40000 } }, { 0 }, -4000 },
		{ 50, { { 20000, 40000, 40000 } }, { 0 }, 16000 },
		/* Both are short: each serves the same part of its demand. */
		{ 50, { { 90000, 152000, 40000 } }, { 20 }, 16000 },
		{ 50, { { 90000, 152000, 40000 }, { 9000, 10000, 40000 } }, { 20, 0 }, 16000 },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct fixture fx;

		fixture_init(&fx, 21, 6);
		/* What is lent by others is not lent on, nor does it count as room. */
		fx.targets[20].lent = true;
		for (size_t m = 0; m < 4; m++)
			fx.members[m].openings_milli_per_s[1] = demand_milli(cases[c].demand / 4);
		for (size_t b = 0; b < 2; b++) {
			fx.members[4 + b].borrower = true;
			fx.members[4 + b].wanted_milli = cases[c].borrowers[b].wanted;
			fx.members[4 + b].demand_milli = cases[c].borrowers[b].demand;
			fx.members[4 + b].important_milli = cases[c].borrowers[b].demand;
			fx.members[4 + b].capacity_milli = cases[c].borrowers[b].capacity;
		}
		for (int r = 0; r < 60; r++) {
			run_round(&fx);
			g_assert_cmpint(allocator_shortage_milli(fx.al), ==,
					cases[c].shortage_milli);
			for (uint32_t b = 0; b < 2; b++) {
				struct held held = sum_held(&fx, 5 + b);

				g_assert_cmpuint(held.slots * 1000, <=,
						 cases[c].borrowers[b].wanted);
				g_assert_null(find_entry(&fx, 5 + b, fx.targets[20].key));
				/* Lent in steps and by tenures. */
				if (r >= 30)
					g_assert_cmpuint(held.slots, ==, cases[c].credits[b]);
				/* Places in queues come with slots. */
				if (r >= 30 && cases[c].credits[b] >= 2)
					g_assert_cmpuint(held.queue, >, 0);
			}
		}
		/* Own demand takes back what is lent within one round. */
		for (size_t m = 0; m < 4; m++)
			fx.members[m].openings_milli_per_s[1] = demand_milli(100);
		run_round(&fx);
		g_assert_cmpuint(sum_held(&fx, 5).slots + sum_held(&fx, 6).slots, ==, 0);
		fixture_release(&fx);
	}
}

/*
 * A member that reports nonsense, or gets a flood of openings, must not take all credits, nor those
 * that the others' important class needs when its own openings are of a lower one.
 */
static void test_nonsense_demand(void)
{
	const uint32_t prios[] = { 1, 2 };

	for (size_t p = 0; p < G_N_ELEMENTS(prios); p++) {
		struct fixture fx;
		double mean = 0;

		fixture_init(&fx, 20, 10);
		for (size_t m = 0; m < 10; m++) {
			fx.members[m].openings_milli_per_s[1] = demand_milli(2);
			fx.members[m].openings_milli_per_s[2] = demand_milli(1.5);
		}
		fx.members[0].openings_milli_per_s[prios[p]] = demand_milli(1e6);
		for (int r = 0; r < 200; r++) {
			run_round(&fx);
			if (r >= 100)
				for (uint32_t m = 1; m < 10; m++)
					mean += sum_held(&fx, m + 1).slots / 100.0;
		}
		g_test_message("others hold %.1f of 40 slots", mean);
		/* Their important class alone needs 18. */
		g_assert_cmpfloat(mean, >=, p ? 18 : 7);
		g_assert_cmpint(allocator_shortage_milli(fx.al), <=, 100000);
		fixture_release(&fx);
	}
}

/*
 * Guards against a lender whose important class no longer fits because of the lower classes of
 * borrowers. When the important classes do not fit together, each serves the same part of its own.
 */
static void test_lender_keeps_important(void)
{
	const struct {
		double important, lower; /* own demand, in slots, of 40 */
		uint32_t demand, demand_important;
		double kept; /* slots, at least */
		double lent; /* likewise */
	} cases[] = {
		/* 20 slots for the important class at 85% of use. */
		{ 20, 0, 400000, 0, 23, 12 },
		{ 20, 40, 400000, 10000, 23, 12 },
		{ 34, 0, 400000, 0, 40, 0 },
		{ 38, 40, 400000, 10000, 40, 0 },
		/* Lower classes alone, and important ones that exceed all slots alike. */
		{ 0, 60, 180000, 0, 20, 18 },
		{ 60, 0, 180000, 180000, 20, 18 },
		/* Nonsense counts as twice the slots of both. */
		{ 20, 0, 60000000, 60000000, 8, 30 },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct fixture fx;
		struct held lent;

		fixture_init(&fx, 20, 5);
		for (size_t m = 0; m < 4; m++) {
			fx.members[m].openings_milli_per_s[1] =
				demand_milli(cases[c].important / 4);
			fx.members[m].openings_milli_per_s[2] = demand_milli(cases[c].lower / 4);
		}
		fx.members[4].borrower = true;
		fx.members[4].wanted_milli = MAX(cases[c].demand, 400000u);
		fx.members[4].demand_milli = cases[c].demand;
		fx.members[4].important_milli = cases[c].demand_important;
		fx.members[4].capacity_milli = 40000;
		for (int r = 0; r < 60; r++) {
			run_round(&fx);
			lent = sum_held(&fx, 5);
			g_assert_cmpfloat(40 - lent.slots, >=, cases[c].kept);
		}
		g_assert_cmpfloat(lent.slots, >=, cases[c].lent);
		fixture_release(&fx);
	}
}

/*
 * The queue of a target holds at most a quarter of the goal: guards against idle slots while
 * instances without a free credit refuse openings, and against requests that are late in queues.
 */
static void test_queue_by_goal(void)
{
	const struct {
		uint32_t goal_ms, service_time_ms, speed_permille;
		uint32_t queue; /* of 2 slots */
	} cases[] = {
		{ 300, 22, 1000, 6 }, { 300, 37, 1000, 4 }, { 500, 50, 1000, 5 },
		{ 500, 50, 2000, 6 }, { 500, 50, 500, 2 },  { 500, 500, 1000, 2 },
		{ 0, 50, 1000, 2 },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct fixture fx;

		fixture_init(&fx, 10, 5);
		fx.round.goal_ms = cases[c].goal_ms;
		fx.round.service_time_us = cases[c].service_time_ms * 1000;
		fx.targets[3].speed_permille = cases[c].speed_permille;
		for (size_t m = 0; m < 5; m++)
			fx.members[m].openings_milli_per_s[1] = demand_milli(1);
		for (int r = 0; r < 20; r++)
			run_round(&fx);
		g_assert_cmpuint(sum_target(&fx, fx.targets[3].key).queue, ==, cases[c].queue);
		fixture_release(&fx);
	}
}

/* While the service time is unknown, credits follow openings, and nothing is lent. */
static void test_unknown_service_time(void)
{
	struct fixture fx;
	double mean = 0;

	fixture_init(&fx, 10, 3);
	fx.round.service_time_us = 0;
	fx.members[0].openings_milli_per_s[1] = 30000;
	fx.members[1].openings_milli_per_s[2] = 10000;
	fx.members[2].borrower = true;
	fx.members[2].wanted_milli = 5000;
	for (int r = 0; r < 200; r++) {
		run_round(&fx);
		mean += sum_held(&fx, 1).slots / 200.0;
		g_assert_null(allocator_credits(fx.al, 3));
		g_assert_cmpint(allocator_shortage_milli(fx.al), ==, 0);
	}
	g_assert_cmpfloat(fabs(mean - 15), <=, 0.75);
	fixture_release(&fx);
}

/* Credits of who leaves are given on at the next round; input that repeats itself is ignored. */
static void test_come_and_go(void)
{
	struct fixture fx;

	fixture_init(&fx, 10, 4);
	for (size_t m = 0; m < 4; m++)
		fx.members[m].openings_milli_per_s[1] = demand_milli(5);
	run_round(&fx);
	for (uint32_t m = 0; m < 4; m++)
		g_assert_cmpuint(sum_held(&fx, m + 1).slots, ==, 5);
	/* A member leaves. */
	fx.round.nr_members = 3;
	run_round(&fx);
	g_assert_null(allocator_credits(fx.al, 4));
	g_assert_cmpuint(sum_held(&fx, 1).slots + sum_held(&fx, 2).slots + sum_held(&fx, 3).slots,
			 ==, 20);
	/* It comes back, and has its share after the tenures of the others. */
	fx.round.nr_members = 4;
	for (int r = 0; r < 8; r++)
		run_round(&fx);
	g_assert_cmpuint(sum_held(&fx, 4).slots, >=, 4);
	/* Targets leave. */
	fx.round.nr_targets = 5;
	run_round(&fx);
	g_assert_cmpuint(sum_target(&fx, fx.targets[7].key).slots, ==, 0);
	g_assert_cmpuint(sum_target(&fx, fx.targets[4].key).slots, ==, 2);
	/* Nobody is left; then nothing. */
	fx.round.nr_members = 0;
	run_round(&fx);
	g_assert_null(allocator_credits(fx.al, 1));
	fx.round.nr_members = 4;
	fx.round.nr_targets = 0;
	run_round(&fx);
	g_assert_null(allocator_credits(fx.al, 1));
	/* A target and a member that are listed twice. */
	fx.round.nr_targets = 10;
	fx.targets[1].key = fx.targets[0].key;
	fx.members[1].id = 1;
	run_round(&fx);
	g_assert_cmpuint(sum_target(&fx, fx.targets[0].key).slots, ==, 2);
	fixture_release(&fx);
}

/* Scans of members for each credit would take seconds. */
static void test_large(void)
{
	static struct fixture fx;
	double least_ms = 1000;

	fixture_init(&fx, MAX_TARGETS, MAX_MEMBERS);
	for (uint32_t m = 0; m < MAX_MEMBERS; m++)
		fx.members[m].openings_milli_per_s[1 + m % 2] = demand_milli(1 + m % 7);
	for (int r = 0; r < 20; r++) {
		clock_t start = clock();

		run_round(&fx);
		least_ms = MIN(least_ms, (double)(clock() - start) * 1000 / CLOCKS_PER_SEC);
	}
	g_test_message("a round of %d members and %d targets takes %.2f ms", MAX_MEMBERS,
		       MAX_TARGETS, least_ms);
	g_assert_cmpfloat(least_ms, <=, 5);
	fixture_release(&fx);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/allocator/share", test_share);
	g_test_add_func("/allocator/sticky", test_sticky);
	g_test_add_func("/allocator/priorities", test_priorities);
	g_test_add_func("/allocator/nonsense", test_nonsense_demand);
	g_test_add_func("/allocator/idle", test_idle);
	g_test_add_func("/allocator/queue-credits", test_queue_credits);
	g_test_add_func("/allocator/targets", test_targets);
	g_test_add_func("/allocator/borrowers", test_borrowers);
	g_test_add_func("/allocator/lender-keeps-important", test_lender_keeps_important);
	g_test_add_func("/allocator/queue-by-goal", test_queue_by_goal);
	g_test_add_func("/allocator/unknown-service-time", test_unknown_service_time);
	g_test_add_func("/allocator/come-and-go", test_come_and_go);
	g_test_add_func("/allocator/large", test_large);
	return g_test_run();
}
