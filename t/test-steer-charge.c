/* Tests how flows take and return credits, in steer.c and credit/steer-charge.c. */
#include <glib.h>
#include <sodium.h>

#include "credit-script.h"

static const struct script scripts[] = {
	{ "moved-opening", TWO_TARGETS
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nin_use i-a 1\nwait 60\n"
	  "dead i-a => c1>i-b\nin_use i-a 0\nin_use i-b 1\nrequest c1\nanswer c1\nin_use i-b 0\n"
	  "seen i-a failed 0\nseen i-b completed 1\n" },
	/* A request that the caller sends late is not overdue early. */
	{ "late-request", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\naccept c1\nwait 150\nrequest c1\nwait 150\n"
	  "close c1\nseen i-a overdue 0\nseen i-a failed 0\n" },
	/* The first target has accepted after all. */
	{ "accepted-by-the-first-target", TWO_TARGETS
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nwait 60\ndead i-a => c1>i-b\ntrust i-a alive\n"
	  "mark c1 i-a\nrequest c1\nin_use i-a 1\nin_use i-b 0\nanswer c1\nin_use i-a 0\n" },
	{ "flow-of-a-withdrawn-route",
	  ONE_TARGET "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nin_use i-a 1\n"
		     "config 2 - web => reset c1\nin_use i-a 0\nseen i-a failed 0\n" },
	{ "flow-of-a-dead-target", ONE_TARGET
	  "grant web i-a=2+0\nopen c1 80 => c1>i-a\nrequest c1\nopen c2 80 => c2>i-a\nwait 60\n"
	  "dead i-a => reset c1\nin_use i-a 1\nseen i-a failed 1\n" },
	{ "second-request-is-not-charged", ONE_TARGET
	  "grant web i-a=2+0\nopen c1 80 => c1>i-a\nrequest c1\nin_use i-a 1\nanswer c1\n"
	  "in_use i-a 0\nrequest c1\nin_use i-a 0\nanswer c1\nrequest c1\nanswer c1\nreused 1\n"
	  "reused 0\n" },
	/* Early closes say nothing about the target, an answer that does not come does. */
	{ "closed-without-a-request", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\naccept c1\nwait 10\nclose c1\nin_use i-a 0\n"
	  "seen i-a failed 0\n" },
	{ "closed-early", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nwait 150\nclose c1\nin_use i-a 0\n"
	  "seen i-a failed 0\nseen i-a overdue 0\n" },
	{ "closed-when-overdue", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nwait 400\nseen i-a overdue 1\n"
	  "in_use i-a 1\nwait 400\nseen i-a overdue 1\nclose c1\nin_use i-a 0\nseen i-a failed "
	  "1\n" },
	/*
	 * The caller has left without a packet by its time-out, 1,500 ms. Its credit must not be
	 * lost until the flow expires.
	 */
	{ "caller-left", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nwait 1490\nin_use i-a 1\nwait 120\n"
	  "in_use i-a 0\nseen i-a overdue 1\nseen i-a failed 1\nanswer c1\nclose c1\n"
	  "seen i-a failed 1\nseen i-a completed 0\n" },
	/* Half-closed by the caller: the target still works on the request. */
	{ "half-closed", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nclose c1\nopen c2 80\nwait 30\n"
	  "in_use i-a 1\nmark c1 i-a\nanswer c1 => c2>i-a\nin_use i-a 1\nseen i-a completed 2\n" },
	{ "half-closed-and-reset", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nclose c1\nin_use i-a 1\nreset c1\n"
	  "in_use i-a 0\nseen i-a failed 0\n" },
	/* No packet shows when the caller has left: it waits for twice the mean of 50 ms. */
	{ "half-closed-and-left", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nwait 20\nclose c1\nwait 70\n"
	  "in_use i-a 1\nwait 120\nin_use i-a 0\nseen i-a failed 0\nseen i-a overdue 0\n" },
	{ "answered-when-overdue",
	  ONE_TARGET "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nwait 400\nanswer c1\n"
		     "seen i-a overdue 1\nseen i-a completed 1\nseen i-a failed 0\n" },
	{ "opening-that-expires", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nwait 5000\nin_use i-a 0\nseen i-a failed 1\n"
	  "seen i-a overdue 1\n" },
	/* A caller that sends no request does not keep a credit; its later request has one again.
	 */
	{ "flow-without-a-request",
	  ONE_TARGET "grant web i-a=1+0\nopen c1 80 => c1>i-a\naccept c1\nwait 400\nin_use i-a 0\n"
		     "seen i-a overdue 0\nrequest c1\nin_use i-a 1\nanswer c1\nin_use i-a 0\n"
		     "seen i-a completed 1\n" },
	/* The target was not busy: a service time that counts this shows it slower than it is. */
	{ "not-busy-without-a-request", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\naccept c1\nwait 100\nclose c1\nin_use i-a 0\n"
	  "seen i-a busy_ms 0\nopen c2 80 => c2>i-a\naccept c2\nwait 400\nin_use i-a 0\n"
	  "seen i-a busy_ms 0\n" },
	{ "same-address-opens-again", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nclose c1\nopen c1 80 => c1>i-a\n"
	  "in_use i-a 1\n" },
	{ "evicted-opening",
	  TWO_TARGETS
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nopen c2 8080 => c2>i-b\nin_use i-a 0\n"
	  "in_use i-b 1\n",
	  1 },
};

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	add_scripts("/steer-charge/", scripts, G_N_ELEMENTS(scripts));
	return g_test_run();
}
