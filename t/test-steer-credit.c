/* Tests the placing of openings by credits and their wait, in steer.c and credit/steer-credit.c. */
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "credit-script.h"
#include "decision.h"
#include "log.h"

#define RANDOM_CALLERS 40
#define RANDOM_STEPS   20000
#define RANDOM_SEEDS   8

/* A random command for scripts. */
static char *random_command(const struct fixture *fix, struct random *random, unsigned int config)
{
	static const char *const names[] = { "i-a", "i-b", "i-c" };
	static const char *const openings[] = { "open c%u 80", "open c%u 443", "open c%u 443",
						"open c%u 8080" };
	static const char *const packets[] = { "accept c%u", "request c%u", "request c%u",
					       "answer c%u", "answer c%u",  "answer c%u",
					       "reject c%u", "close c%u",   "close c%u",
					       "reset c%u" };
	static const char *const targets[] = {
		"trust %s suspected", "trust %s alive", "trust %s alive",
		"trust %s alive",     "gone %s",	"target %s web",
		"target %s web",      "target %s web",	"target %s web",
		"target %s other"
	};
	static const char *const configs[] = { "web web", "web other", "web web", "web -" };
	unsigned int caller = 1 + random_below(random, RANDOM_CALLERS);

	switch (random_below(random, 64)) {
	case 0:
		return g_strdup_printf("wait %u", 1 + random_below(random, 300));
	case 1:
		return g_strdup_printf("config %u %s", config,
				       configs[random_below(random, G_N_ELEMENTS(configs))]);
	case 2:
		return g_strdup_printf(targets[random_below(random, G_N_ELEMENTS(targets))],
				       names[random_below(random, G_N_ELEMENTS(names))]);
	case 3:
		return g_strdup(random_below(random, 8) ? "drop" : "stop");
	case 4:
	case 5:
	case 6:
		return g_strdup_printf("%s web i-a=%u+%u i-b=%u+1",
				       random_below(random, 2) ? "grant" : "untold-grant",
				       random_below(random, 3), random_below(random, 3),
				       random_below(random, 3));
	case 7:
	case 8:
		return g_strdup_printf("wait %u", 1 + random_below(random, 10));
	default:
		if (fix->callers[caller].target)
			return g_strdup_printf(packets[random_below(random, G_N_ELEMENTS(packets))],
					       caller);
		return g_strdup_printf(openings[random_below(random, G_N_ELEMENTS(openings))],
				       caller);
	}
}

/* Any order of events must leave no credit in use, and no opening in the backlog. */
static void test_random(void)
{
	for (uint32_t seed = 1; seed <= RANDOM_SEEDS; seed++) {
		struct seeded_random random;
		struct fixture fix;

		seeded_random_init(&random, seed);
		begin(&fix, seed % 2 ? 20 : 1000);
		run_command(&fix, "target i-a web");
		run_command(&fix, "target i-b web");
		run_command(&fix, "target i-c other");
		run_command(&fix, "config 1 web web");
		for (unsigned int i = 0; i < RANDOM_STEPS; i++) {
			char *command = random_command(&fix, &random.random, 2 + i);

			run_command(&fix, command);
			g_free(command);
		}
		g_assert_cmpuint(fix.control_state.counters.openings_placed_credit, >, 0);
		end(&fix);
	}
}

/* Opens a flow; callers from CALLERS_MAX on are not recorded in fix->sent. */
static void open_from(struct fixture *fix, unsigned int caller, uint16_t caller_port, uint16_t port)
{
	uint8_t bytes[31] = { 0 };
	struct caller_packet pkt = {
		.caller = { CALLER_IP + caller, caller_port },
		.service = { SERVICE_IP, port },
		.seq = 100,
		.syn = true,
		.bytes = bytes,
		.size = sizeof(bytes),
	};

	steer_packet(fix->control_state.steer, &pkt, fix->now);
}

#define FULL_OPENINGS  2000 /* more than the backlog holds */
#define CALLER_FREE    8    /* openings that a caller may always add to a queue */
#define CALLER_ATTEMPT 50

/*
 * A caller that has its share of a full backlog must not have less important openings of others
 * refused by openings that are refused themselves.
 */
static void test_full_backlog(void)
{
	const struct edge_counters *cnt;
	struct fixture fix;
	uint32_t others;
	uint64_t refused;

	begin(&fix, FULL_OPENINGS + CALLER_ATTEMPT);
	cnt = &fix.control_state.counters;
	run_command(&fix, "target i-a web");
	run_command(&fix, "config 1 web web");
	run_command(&fix, "grant web i-a=1+0");
	open_from(&fix, CALLERS_MAX, 1, 80);
	for (unsigned int i = 1; i <= FULL_OPENINGS; i++)
		open_from(&fix, CALLERS_MAX + i, 1, 443);
	others = steer_credit_waiting_count(fix.control_state.steer, 2);
	refused = cnt->refused_no_room;
	g_assert_cmpuint(refused, ==, FULL_OPENINGS - others);
	for (uint16_t i = 0; i < CALLER_ATTEMPT; i++)
		open_from(&fix, CALLERS_MAX, (uint16_t)(2 + i), 80);
	g_assert_cmpuint(steer_credit_waiting_count(fix.control_state.steer, 1), ==, CALLER_FREE);
	g_assert_cmpuint(steer_credit_waiting_count(fix.control_state.steer, 2), ==,
			 others - CALLER_FREE);
	g_assert_cmpuint(cnt->refused_no_room - refused, ==, CALLER_ATTEMPT);
	end(&fix);
}

static const struct script scripts[] = {
	/* Without a grant, today's placing, and its admission, decide. */
	{ "grant/none",
	  ONE_TARGET "open c1 443 => c1>i-a\nopen c2 443 => c2>i-a\nopen c3 443 => c3>i-a\n"
		     "in_use i-a 3\ncounts 0 0 0 0\n" },
	/* Requests from before the first grant use its credits. */
	{ "grant/finds-requests-in-progress",
	  ONE_TARGET "open c1 443 => c1>i-a\ngrant web i-a=1+0\nopen c2 443\ncounts 1 0 0 0\n"
		     "request c1\nwait 20\nanswer c1 => c2>i-a\n" },
	{ "grant/without-credits-uses-placing",
	  ONE_TARGET "grant web\nopen c1 443 => c1>i-a\nin_use i-a 1\n" },
	{ "grant/of-another-service",
	  ONE_TARGET "grant other\nopen c1 443 => c1>i-a\nopen c2 443 => c2>i-a\n" },
	{ "grant/not-used-for-a-suspected-target", TWO_TARGETS
	  "grant web i-a=2+0\ntrust i-a suspected\nopen c1 443 => c1>i-b\nin_use i-b 1\n" },
	/* An opening must not reach a target that has changed its service since the grant. */
	{ "grant/not-used-for-a-target-of-another-service", TWO_TARGETS
	  "grant web i-a=2+0\ntarget i-a other\nopen c1 443 => c1>i-b\nin_use i-a 0\n" },
	/* Routes without a goal are refused no more than without credits. */
	{ "grant/route-without-goal", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 8080 => c1>i-a\nopen c2 8080 => c2>i-a\nin_use i-a 2\n"
	  "open c3 443\ncounts 1 0 0 0\n" },
	{ "grant/shrinks", ONE_TARGET ONE_ANSWER
	  "grant web i-a=2+0\nopen c1 80 => c1>i-a\nopen c2 80 => c2>i-a\n"
	  "request c1\nrequest c2\ngrant web i-a=1+0\nopen c3 80\n"
	  "wait 10\nanswer c1\nin_use i-a 1\nwait 10\nanswer c2 => c3>i-a\nin_use i-a 1\n" },

	{ "wait/placed-when-an-answer-begins", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 443 => c1>i-a\nrequest c1\nopen c2 443\nwait 30\n"
	  "answer c1 => c2>i-a\nin_use i-a 1\ncounts 1 1 0 0\nseen i-a completed 2\n" },
	{ "wait/placed-when-a-flow-ends",
	  ONE_TARGET ONE_ANSWER "grant web i-a=1+0\nopen c1 443 => c1>i-a\naccept c1\nopen c2 443\n"
				"close c1 => c2>i-a\nseen i-a failed 0\n" },
	{ "wait/placed-when-a-target-rejects", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 443 => c1>i-a\nrequest c1\nopen c2 443\n"
	  "reject c1 => c2>i-a\nseen i-a rejected 1\n" },
	{ "wait/placed-when-a-grant-arrives",
	  ONE_TARGET ONE_ANSWER "grant web i-a=1+0\nopen c1 443 => c1>i-a\nopen c2 443\n"
				"grant web i-a=2+0 => c2>i-a\n" },
	/* c4 is more important than c2 and c3, which came before it. */
	{ "wait/important-first",
	  ONE_TARGET ONE_ANSWER "grant web i-a=2+0\nopen c1 80 => c1>i-a\nopen c5 80 => "
				"c5>i-a\nopen c2 443\nopen c3 443\n"
				"open c4 80\nrequest c1\nrequest c5\nwait 10\n"
				"answer c1 => c4>i-a\nanswer c5 => c2>i-a\nin_use i-a 2\n" },
	/* A credit that is free goes to the one that waits, not to a newcomer. */
	{ "wait/not-overtaken", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nopen c2 80\nopen c3 80\nwait 5\n"
	  "answer c1 => c2>i-a\nopen c4 80\nrequest c2\nwait 5\nanswer c2 => c3>i-a\n" },
	{ "wait/not-overtaken-after-a-grant", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\naccept c1\nopen c2 443\nuntold-grant web "
	  "i-a=2+0\n"
	  "open c3 80 => c2>i-a\nuntold-grant web i-a=3+0\nwait 20 => c3>i-a\n" },
	{ "wait/limits", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\naccept c1\nopen c2 443\nopen c3 80\n"
	  "wait 90\nwait 40 => reset c2\nwait 60\nwait 40 => reset c3\ncounts 2 0 2 0\n" },
	{ "wait/copies-change-nothing", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nopen c2 80\nwait 20\nopen c2 80\n"
	  "answer c1 => c2>i-a\nopen c2 80 => c2>i-a\nin_use i-a 1\ncounts 1 1 0 0\n" },
	{ "wait/planned-stop",
	  ONE_TARGET ONE_ANSWER "grant web i-a=1+0\nopen c1 80 => c1>i-a\nopen c2 80\nopen c3 443\n"
				"waiting 1 1\nwaiting 2 1\nstop => reset c2, reset c3\nwaiting 1 "
				"0\nwaiting 2 0\ncounts 2 0 2 0\nin_use i-a 1\n" },
	{ "wait/route-withdrawn",
	  ONE_TARGET ONE_ANSWER "grant web i-a=1+0\nopen c1 80 => c1>i-a\nopen c2 443\nopen c3 80\n"
				"config 2 web - => reset c2\ncounts 2 0 0 0\n" },
	{ "wait/route-to-a-service-without-grant", ONE_TARGET ONE_ANSWER
	  "target i-b other\ngrant web i-a=1+0\nopen c1 80 => c1>i-a\nopen c2 443\n"
	  "config 2 web other => c2>i-b\n" },
	{ "wait/end-of-grants",
	  ONE_TARGET ONE_ANSWER "grant web i-a=1+0\nopen c1 80 => c1>i-a\nopen c2 80\nopen c3 443\n"
				"drop => c2>i-a, c3>i-a\nin_use i-a 3\n" },
	{ "wait/grants-expire", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nwait 1450\nopen c1 80 => c1>i-a\nopen c2 80\nwait 80 => c2>i-a\n" },
	/* Nor is it overtaken by a less important one between the expiry and the next pass. */
	{ "wait/not-overtaken-when-grants-expire", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nwait 1495\nopen c1 80 => c1>i-a\nopen c2 80\nwait 6\n"
	  "open c3 443 => c2>i-a, c3>i-a\n" },
	/* Without a usable target when the grants end, it waits in the other queue. */
	{ "wait/end-of-grants-without-target",
	  ONE_TARGET ONE_ANSWER "grant web i-a=1+0\nopen c1 80 => c1>i-a\nopen c2 80\n"
				"gone i-a\ndrop => reset c2\n" },
	/* Both waits together are no longer than that of an opening without a target, 750 ms. */
	{ "wait/for-a-credit-and-then-for-a-target", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\naccept c1\nopen c2 80\nwait 100\n"
	  "trust i-a dead\ndrop\nwait 600\nwait 80 => reset c2\n" },
	/*
	 * A placement after the wait for a credit ends an outage. The next one, 6 s after the begin
	 * of the first, must not be taken for a part of it, in which waiting is not worthwhile.
	 */
	{ "wait/ends-an-outage", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\ntrust i-a dead\nopen c2 443\n"
	  "wait 800 => reset c2\ntrust i-a alive\nopen c3 443\nwait 10\nanswer c1 => c3>i-a\n"
	  "request c3\nanswer c3\nwait 5400\ntrust i-a dead\nopen c4 443\nwait 700\n"
	  "wait 100 => reset c4\n" },
	/* Placed after a pause of the process, it only occupies the target: the caller has left. */
	{ "wait/not-placed-after-its-limit", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nopen c2 443\nopen c3 80\npause 2000\n"
	  "drop => reset c3, reset c2\nin_use i-a 1\ncounts 2 0 2 0\n" },
	{ "wait/full-table",
	  ONE_TARGET "grant web i-a=1+0\nopen c1 80 => c1>i-a\naccept c1\nopen c2 80 => reset c2\n"
		     "counts 0 0 1 0\n",
	  1 },

	/* 50 ms a request: the first one waits 50, the second 100, the third 150 ms. */
	{ "refuse/at-once", ONE_TARGET ONE_ANSWER
	  "wait 1100\ngrant web i-a=1+0\nopen c1 443 => c1>i-a\nopen c2 443\nopen c3 443\n"
	  "open c4 443 => reset c4\nopen c5 80\ncounts 3 0 1 0\n" },
	/* The lower class must not make the important one wait longer, or be refused. */
	{ "refuse/important-ones-are-not-behind-others", ONE_TARGET ONE_ANSWER
	  "wait 1100\ngrant web i-a=1+0\nopen c1 443 => c1>i-a\nopen c2 443\nopen c3 443\n"
	  "open c5 80\nopen c6 80\nopen c7 80\nopen c8 80\nopen c9 80 => reset c9\n" },
};

static const struct script log_script = {
	"log",
	ONE_TARGET ONE_ANSWER "wait 1100\ngrant web i-a=1+0\nopen c1 443 => c1>i-a\nrequest "
			      "c1\nopen c2 443\nopen c3 443\n"
			      "open c4 443 => reset c4\nwait 30\nanswer c1 => c2>i-a\n",
};

/* The figures of a decision are needed to explain it afterwards, by explain.c or an operator. */
static void test_logs(void)
{
	struct edge_counters counters = { 0 };

	if (g_test_subprocess()) {
		g_assert_cmpint(log_init("info", "test"), ==, 0);
		decision_init(&counters);
		run_script(&log_script);
		decision_init(NULL);
		log_release();
		return;
	}
	g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
	g_test_trap_assert_passed();
	g_test_trap_assert_stdout(
		"*event=open flow=*target=i-a why=credit *held=1 in_use=0 credit_age_ms=0 "
		"waited_ms=0*"
		"event=wait flow=*reason=no_credit limit_ms=100 predicted_ms=50 *waiting=1 *"
		"event=wait flow=*reason=no_credit limit_ms=100 predicted_ms=100 *waiting=2 *"
		"event=refuse flow=*reason=no_room *waiting=2 predicted_ms=150 limit_ms=100 "
		"credits=1 in_use=1 credit_age_ms=0*"
		"event=open flow=*why=credit *waited_ms=30*");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	add_scripts("/steer-credit/", scripts, G_N_ELEMENTS(scripts));
	g_test_add_func("/steer-credit/logs", test_logs);
	g_test_add_func("/steer-credit/full-backlog", test_full_backlog);
	g_test_add_func("/steer-credit/random", test_random);
	return g_test_run();
}
