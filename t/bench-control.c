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
#define CHANGE_MS      13000 /* 6,700 a day */

/*
 * Targets that the members of one group probe: 18 today, 9,800 over 23 data centres at the design
 * scale of 61 members. The largest group is measured with few targets, to keep the run short.
 */
static uint32_t nr_targets(uint32_t nr)
{
	return nr == 61 ? 426 : 18;
}

static void put_targets(struct simnet *net, uint32_t i)
{
	GString *doc = g_string_new("{\"organisation\":\"t\",\"generation\":1,\"services\":[{"
				    "\"name\":\"s\",\"address\":\"192.0.2.200:443\","
				    "\"protocol\":\"tcp\",\"targets\":[");
	struct object obj = { .kind = PEER_OBJECT_ORGANISATION, .name = "t", .generation = 1 };

	for (uint32_t t = 0; t < nr_targets(net->nr); t++)
		g_string_append_printf(doc,
				       "%s{\"name\":\"t%u\",\"address\":\"198.51.%u.%u:6080\","
				       "\"data_centre\":\"dc-0\","
				       "\"health\":\"198.51.%u.%u:8080\"}",
				       t ? "," : "", t, t / 200, t % 200 + 1, t / 200, t % 200 + 1);
	g_string_append(doc, "]}]}");
	obj.document = (const uint8_t *)doc->str;
	obj.len = doc->len;
	g_assert_true(simsync_object(net, i, &obj));
	g_string_free(doc, TRUE);
}

/* Share of all members' targets with a load report that is young enough to be used. */
static double young_reports(const struct simnet *net)
{
	uint32_t young = 0, all = 0;

	for (uint32_t i = 0; i < net->nr; i++) {
		for (uint32_t t = 0; t < nr_targets(net->nr) + 1; t++) {
			const struct sync_node *sn = net->nodes[i].user;
			struct target_status st;

			target_get_status(sn->tgs, t, net->now, &st);
			young += st.report_age_ms <= LOAD_REPORT_MAX_AGE_MS;
			all++;
		}
	}
	return 100.0 * young / all;
}

/* Time until a change that one member got from the platform is in force at all of its group. */
static void measure_spread(uint32_t nr, uint32_t loss, uint64_t seed)
{
	struct simnet *net = simsync_new(seed, nr, nr, NULL);
	int64_t sum = 0, worst = 0;
	uint64_t bytes = 0, highest = 0;
	uint32_t late = 0;
	double young = 0;

	for (uint32_t i = 0; i < nr; i++)
		simsync_targets(&net->nodes[i]);
	net->loss_permille = loss;
	sim_run(net, WARMUP_MS + 300 * nr);
	simsync_put(net, 0, "a", 1, 1, DOCUMENT_BYTES);
	put_targets(net, 0);
	sim_run(net, 20000);
	for (uint32_t i = 0; i < nr; i++)
		net->nodes[i].bytes_in = net->nodes[i].bytes_out = 0;
	for (uint64_t g = 2; g < 2 + CHANGES; g++) {
		int64_t start = sim_ms(net), ms;

		simsync_put(net, (uint32_t)(g * 7 % nr), "a", g, 1, DOCUMENT_BYTES);
		ms = simsync_wait(net, 0, nr, "a", g, CHANGE_MS);
		sum += ms;
		worst = MAX(worst, ms);
		late += ms > 2000;
		sim_run(net, start + CHANGE_MS - sim_ms(net));
		young += young_reports(net) / CHANGES;
	}
	for (uint32_t i = 0; i < nr; i++) {
		uint64_t both = net->nodes[i].bytes_in + net->nodes[i].bytes_out;

		bytes += both;
		highest = MAX(highest, both);
	}
	printf("%5u %4u%% %4u %7u %6u %6u %5u %8.0f %8.0f %7.1f\n", nr, loss / 10, (unsigned)seed,
	       nr_targets(nr), (unsigned)(sum / CHANGES), (unsigned)worst, late,
	       (double)bytes * MSEC_PER_SEC / nr / CHANGES / CHANGE_MS,
	       (double)highest * MSEC_PER_SEC / CHANGES / CHANGE_MS, young);
	fflush(stdout);
	simsync_free(net);
}

static void table_spread(void)
{
	printf("\nall traffic: %d changes of %d bytes, one in %d s; ms until all members have it, "
	       "changes that took over 2 s, bytes/s of a daemon in and out, %% of load reports "
	       "younger than 5 s\n",
	       CHANGES, DOCUMENT_BYTES, CHANGE_MS / 1000);
	printf("%5s %5s %4s %7s %6s %6s %5s %8s %8s %7s\n", "size", "loss", "seed", "targets",
	       "mean", "worst", "late", "bytes/s", "highest", "young");
	for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
		for (size_t l = 0; l < G_N_ELEMENTS(losses); l++) {
			for (uint64_t seed = 1; seed <= SEEDS; seed++)
				measure_spread(sizes[s], losses[l], seed);
		}
	}
}

/* Pairs that a member suspects wrongly after it was paused itself. */
static void table_paused(void)
{
	printf("\npaused observer: samples (pairs) in the 10 s after a pause\n");
	printf("%5s %4s %6s %9s %5s %7s\n", "size", "seed", "pause", "suspected", "dead",
	       "samples");
	for (size_t s = 0; s < 3; s++) {
		for (uint64_t seed = 1; seed <= SEEDS; seed++) {
			struct simnet *net = simnet_new(seed, sizes[s], sizes[s], sizes[s]);
			uint32_t suspected = 0, dead = 0, samples = 0;

			start_all(net);
			sim_run(net, WARMUP_MS + 900 * sizes[s]);
			net->nodes[0].paused_until = sim_ms(net) + 20000;
			sim_run(net, 20000);
			for (int step = 0; step < 200; step++) {
				sim_run(net, 50);
				for (uint32_t j = 1; j < net->nr; j++) {
					enum member_state st =
						members_state(net->nodes[0].mem, j + 1);

					suspected += st == MEMBER_SUSPECT;
					dead += st == MEMBER_DEAD;
					samples++;
				}
			}
			printf("%5u %4u %6u %9u %5u %7u\n", sizes[s], (unsigned)seed, 20000,
			       suspected, dead, samples);
			simnet_free(net);
		}
	}
}

int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : "";

	if (sodium_init() < 0)
		return 1;
	if (!*only || !strcmp(only, "members"))
		table_members();
	if (!*only || !strcmp(only, "paused"))
		table_paused();
	if (!*only || !strcmp(only, "spread"))
		table_spread();
	return 0;
}
