/*
 * Guards against a division of credits that, used with old grants as instances use it, rejects
 * openings, starves a class, or loads targets unevenly.
 */
#include <glib.h>
#include <sodium.h>

#include "t/allocator-sim.h"

/* Load in steps, each with a burst of both classes; loads are in times the capacity. */
static const struct {
	double important, lower;
} steps[] = {
	{ 0.35, 0.65 }, { 0.6, 1.4 }, { 0.6, 4.4 }, { 0.35, 2.65 },
	{ 0.7, 1.3 },	{ 0.7, 4.3 }, { 0.2, 0.8 }, { 0.5, 3.5 },
};

#define STEP_MS		6000
#define BURST_MS	400
#define BURST_IMPORTANT 0.78

static void run_step(struct allocsim *sim, double important, double lower)
{
	allocsim_run(sim, STEP_MS / 2, important, lower);
	allocsim_run(sim, BURST_MS, BURST_IMPORTANT, MIN(2 * lower, 5 - BURST_IMPORTANT));
	allocsim_run(sim, STEP_MS / 2 - BURST_MS, important, lower);
}

static void message_figures(const struct allocsim *sim, const char *what)
{
	g_test_message("%s: %.4f of %" G_GUINT64_FORMAT " arrivals rejected; in time %.4f of "
		       "the important class, %.4f of the lower one; no answer of the lower one "
		       "for %" G_GINT64_FORMAT " ms",
		       what, allocsim_rejected(sim), sim->arrived, allocsim_in_time(sim, 0),
		       allocsim_in_time(sim, 1), sim->classes[1].gap_ms);
}

/* Instances that have one slot each on average, and four. */
static const struct {
	uint64_t seed;
	uint32_t nr_instances, nr_targets;
} fleets[] = {
	{ 1, 200, 100 },
	{ 2, 200, 100 },
	{ 3, 200, 100 },
	{ 4, 58, 120 },
};

static void test_scarcity(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
		struct allocsim *sim =
			allocsim_new(fleets[i].seed, fleets[i].nr_instances, fleets[i].nr_targets);

		allocsim_run(sim, 10000, 0.3, 0.3);
		allocsim_count(sim, true);
		for (size_t step = 0; step < G_N_ELEMENTS(steps); step++)
			run_step(sim, steps[step].important, steps[step].lower);
		allocsim_count(sim, false);
		allocsim_run(sim, 2000, 0.3, 0.3);
		message_figures(sim, "scarcity");
		g_assert_cmpfloat(allocsim_rejected(sim), <, 0.05);
		g_assert_cmpfloat(allocsim_in_time(sim, 0), >=, 0.95);
		g_assert_cmpint(sim->classes[1].gap_ms, <=, 2000);
		allocsim_free(sim);
	}
}

/* The important class alone exceeds the capacity. */
static void test_starvation(void)
{
	struct allocsim *sim = allocsim_new(4, 200, 100);

	allocsim_run(sim, 5000, 0.3, 0.3);
	allocsim_count(sim, true);
	allocsim_run(sim, 20000, 1.5, 1.5);
	message_figures(sim, "more of the important class than fits");
	g_assert_cmpfloat(allocsim_rejected(sim), <, 0.05);
	g_assert_cmpint(sim->classes[1].gap_ms, <=, 2000);
	allocsim_free(sim);
}

static void test_calm(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
		struct allocsim *sim =
			allocsim_new(fleets[i].seed, fleets[i].nr_instances, fleets[i].nr_targets);

		allocsim_run(sim, 10000, 0.15, 0.15);
		allocsim_count(sim, true);
		allocsim_run(sim, 30000, 0.15, 0.15);
		message_figures(sim, "calm");
		g_test_message("busiest to mean, by speed: %.3f", allocsim_busiest(sim));
		g_assert_cmpfloat(allocsim_busiest(sim), <=, 1.25);
		g_assert_cmpfloat(allocsim_rejected(sim), <, 0.05);
		allocsim_free(sim);
	}
}

static uint32_t most_arrivals_after_deaths(uint64_t seed, double load)
{
	struct allocsim *sim = allocsim_new(seed, 200, 100);
	uint32_t most = 0;

	sim->same_lag = true;
	allocsim_run(sim, 10000, load / 2, load / 2);
	/* Just before a round; its grants arrive after 200 ms. */
	for (uint32_t t = 0; t < SIM_TARGETS; t += 2)
		sim->targets[t].dead = true;
	allocsim_run(sim, 200, load / 2, load / 2);
	allocsim_count(sim, true);
	allocsim_run(sim, 200, load / 2, load / 2);
	for (uint32_t t = 1; t < SIM_TARGETS; t += 2)
		most = MAX(most, sim->targets[t].arrived);
	allocsim_free(sim);
	return most;
}

/* All instances move the requests of dead targets at the same moment. */
static void test_deaths(void)
{
	const double loads[] = { 0.3, 0.6, 0.9, 2 };

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		for (uint64_t seed = 8; seed < 12; seed++) {
			uint32_t most = most_arrivals_after_deaths(seed, loads[i]);

			g_test_message("load %.1f: %u arrivals at one target in the 200 ms after "
				       "half of the targets died",
				       loads[i], most);
			g_assert_cmpuint(most, <=, SIM_SLOTS + SIM_QUEUE);
		}
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/allocator-load/scarcity", test_scarcity);
	g_test_add_func("/allocator-load/starvation", test_starvation);
	g_test_add_func("/allocator-load/calm", test_calm);
	g_test_add_func("/allocator-load/deaths", test_deaths);
	return g_test_run();
}
