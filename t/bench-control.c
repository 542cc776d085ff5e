/*
 * Measures the control plane in an in-memory network: bytes a second of a daemon, the age of
 * counters, false suspicions, and the time until a killed member is known to be dead.
 */
#include <sodium.h>
#include <stdio.h>

#include "simsync.h"

#define SEEDS	   5
#define WARMUP_MS  20000
#define MEASURE_MS 30000

static const uint32_t sizes[] = { 3, 9, 61, 200 };
static const uint32_t losses[] = { 0, 100 }; /* in 1000 */

static void start_all(struct simnet *net)
{
	for (uint32_t i = 0; i < net->nr; i++)
		simnet_start(net, i, 1);
}

struct figures {
	double mean, highest;	     /* bytes a second, both directions */
	uint64_t largest;	     /* datagram */
	uint32_t suspected;	     /* pairs that were suspect at a sample */
	uint32_t dead;		     /* pairs that were dead at a sample */
	uint32_t stale;		     /* own leases that were not fresh at a sample */
	uint32_t samples;	     /* pairs */
	int64_t suspect_ms, dead_ms; /* until all others saw a kill */
	uint32_t lease_ms;
};

static void sample(struct simnet *net, struct figures *fig)
{
	for (uint32_t i = 0; i < net->nr; i++) {
		fig->stale += !members_lease_fresh(net->nodes[i].mem, net->now);
		for (uint32_t j = 0; j < net->nr; j++) {
			enum member_state st = members_state(net->nodes[i].mem, j + 1);

			fig->samples++;
			fig->suspected += st == MEMBER_SUSPECT;
			fig->dead += st == MEMBER_DEAD;
		}
	}
}

static bool all_see(struct simnet *net, uint32_t id, enum member_state least)
{
	for (uint32_t i = 0; i < net->nr; i++) {
		if (net->nodes[i].id != id && members_state(net->nodes[i].mem, id) < least)
			return false;
	}
	return true;
}

static int64_t time_until(struct simnet *net, uint32_t id, enum member_state least)
{
	int64_t start = sim_ms(net);

	while (!all_see(net, id, least) && sim_ms(net) < start + 120000)
		sim_step(net);
	return sim_ms(net) - start;
}

static struct figures measure_members(uint32_t nr, uint32_t loss, uint64_t seed)
{
	struct simnet *net = simnet_new(seed, nr, nr, nr);
	struct figures fig = { 0 };

	net->loss_permille = loss;
	start_all(net);
	/* A group that starts all at once needs a while to know itself. */
	sim_run(net, WARMUP_MS + 900 * nr);
	for (uint32_t i = 0; i < nr; i++)
		net->nodes[i].bytes_in = net->nodes[i].bytes_out = 0;
	for (int64_t end = sim_ms(net) + MEASURE_MS; sim_ms(net) < end;) {
		sim_run(net, 500);
		sample(net, &fig);
	}
	for (uint32_t i = 0; i < nr; i++) {
		double rate = (double)(net->nodes[i].bytes_in + net->nodes[i].bytes_out) *
			      MSEC_PER_SEC / MEASURE_MS;

		fig.mean += rate / nr;
		fig.highest = MAX(fig.highest, rate);
		fig.largest = MAX(fig.largest, net->nodes[i].largest);
	}
	fig.lease_ms = members_lease_ms(net->nodes[0].mem);
	net->nodes[nr / 2].down = true;
	fig.suspect_ms = time_until(net, nr / 2 + 1, MEMBER_SUSPECT);
	fig.dead_ms = fig.suspect_ms + time_until(net, nr / 2 + 1, MEMBER_DEAD);
	simnet_free(net);
	return fig;
}

static void table_members(void)
{
	printf("members: bytes/s in and out, kill seen by all, false suspicions\n");
	printf("%5s %5s %4s %7s %7s %7s %6s %8s %8s %9s %5s %6s\n", "size", "loss", "seed", "mean",
	       "highest", "largest", "lease", "suspect", "dead", "suspected", "dead", "stale");
	for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
		for (size_t l = 0; l < G_N_ELEMENTS(losses); l++) {
			for (uint64_t seed = 1; seed <= SEEDS; seed++) {
				struct figures fig = measure_members(sizes[s], losses[l], seed);

				printf("%5u %4u%% %4u %7.0f %7.0f %7u %6u %8u %8u %9u %5u %6u\n",
				       sizes[s], losses[l] / 10, (unsigned)seed, fig.mean,
				       fig.highest, (unsigned)fig.largest, fig.lease_ms,
				       (unsigned)fig.suspect_ms, (unsigned)fig.dead_ms,
				       fig.suspected, fig.dead, fig.stale);
				fflush(stdout);
			}
		}
	}
}

#define DOCUMENT_BYTES 4000
#define CHANGES	       5

/* Time until a change that one member got from the platform is in force at all of its group. */
static void measure_spread(uint32_t nr, uint32_t loss, uint64_t seed)
{
	struct simnet *net = simsync_new(seed, nr, nr, NULL);
	int64_t sum = 0, worst = 0, most = 0;
	uint64_t bytes = 0;

	net->loss_permille = loss;
	sim_run(net, WARMUP_MS + 300 * nr);
	simsync_put(net, 0, "a", 1, 1, DOCUMENT_BYTES);
	sim_run(net, 20000);
	for (uint32_t i = 0; i < nr; i++)
		net->nodes[i].bytes_in = net->nodes[i].bytes_out = 0;
	for (uint64_t g = 2; g < 2 + CHANGES; g++) {
		uint32_t have = 0;
		int64_t ms;

		simsync_put(net, (uint32_t)(g * 7 % nr), "a", g, 1, DOCUMENT_BYTES);
		sim_run(net, 1000);
		for (uint32_t i = 0; i < nr; i++)
			have += simsync_generation(net, i, "a") == g;
		most += have;
		ms = 1000 + simsync_wait(net, 0, nr, "a", g, 60000);
		sum += ms;
		worst = MAX(worst, ms);
		sim_run(net, 10000 - ms % 10000);
	}
	for (uint32_t i = 0; i < nr; i++)
		bytes += net->nodes[i].bytes_in + net->nodes[i].bytes_out;
	printf("%5u %4u%% %4u %8.1f %8u %8u %9.0f\n", nr, loss / 10, (unsigned)seed,
	       100.0 * (double)most / CHANGES / nr, (unsigned)(sum / CHANGES), (unsigned)worst,
	       (double)bytes / nr / CHANGES / 10);
	fflush(stdout);
	simsync_free(net);
}

static void table_spread(void)
{
	printf("\nconfiguration: %d changes of %d bytes, one in 10 s; share of members that have "
	       "it "
	       "after 1 s, ms until all have it, bytes/s of a daemon with heartbeats\n",
	       CHANGES, DOCUMENT_BYTES);
	printf("%5s %5s %4s %8s %8s %8s %9s\n", "size", "loss", "seed", "% in 1 s", "mean", "worst",
	       "bytes/s");
	for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
		for (size_t l = 0; l < G_N_ELEMENTS(losses); l++) {
			for (uint64_t seed = 1; seed <= SEEDS; seed++)
				measure_spread(sizes[s], losses[l], seed);
		}
	}
}

int main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return 1;
	if (argc < 2 || !strcmp(argv[1], "members"))
		table_members();
	if (argc < 2 || !strcmp(argv[1], "spread"))
		table_spread();
	return 0;
}
