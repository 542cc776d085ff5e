/*
 * Tests openings by credits in steer.c and credit/steer-credit.c, without a network. Each case is a
 * script as in test-steer.c; output names the caller and the target ("c1>i-a") or the reset caller
 * ("reset c1"). After each script all flows expire, and no credit may be in use then: one that is
 * not returned is lost until the process ends.
 *
 * Route 80 has the priority 1 and openings wait for up to 200 ms; 443 has the priority 2 and 100
 * ms; 8080 has no goal.
 */
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "beliefs.h"
#include "credit/account.h"
#include "decision.h"
#include "log.h"
#include "random.h"
#include "timeutil.h"

#define SERVICE_IP  0xc6120001u
#define CALLER_IP   0x64400000u
#define START_S	    1000
#define CALLERS_MAX 64
#define FLOW_END_MS 70000 /* longer than the idle timeout of flows */

struct script_caller {
	struct reg_target *target;
	uint16_t port;
	uint32_t seq;
	uint32_t ack;
};

struct fixture {
	struct steer_out out; /* first member */
	struct control_state control_state;
	struct seeded_random random;
	struct timespec now;
	GString *sent;
	struct script_caller callers[CALLERS_MAX];
	unsigned int current; /* caller of the packet that is being handled */
};

static void add_output(struct fixture *fix, const char *format, unsigned int caller, const char *id)
{
	if (fix->sent->len)
		g_string_append(fix->sent, ", ");
	g_string_append_printf(fix->sent, format, caller, id);
}

/* The first byte of an opening is the number of its caller; other packets are not recorded. */
static void out_forward(struct steer_out *out, const struct reg_target *tgt, uint32_t mark,
			const uint8_t *bytes, size_t size)
{
	struct fixture *fix = (struct fixture *)out;

	(void)mark;
	g_assert_cmpuint(size, >, 0);
	if (!bytes[0])
		return;
	fix->callers[bytes[0]].target = registry_by_id(fix->control_state.registry, tgt->id->str);
	add_output(fix, "c%u>%s", bytes[0], tgt->id->str);
}

static void out_reset(struct steer_out *out, const struct flow_addr *addr, uint32_t seq)
{
	struct fixture *fix = (struct fixture *)out;
	unsigned int nr = addr->caller.ip - CALLER_IP;

	(void)seq;
	if (nr >= CALLERS_MAX)
		return;
	fix->callers[nr].target = NULL;
	add_output(fix, "reset c%u%s", nr, "");
}

static void out_probe(struct steer_out *out, struct reg_target *tgt, unsigned int nr)
{
	(void)out;
	(void)tgt;
	(void)nr;
}

static const struct steer_out_ops out_ops = { out_forward, out_reset, out_probe };

static uint32_t symbol(struct fixture *fix, const char *name)
{
	return symbols_intern(&fix->control_state.symbols, name);
}

/* target NAME SERVICE */
static void do_target(struct fixture *fix, char **words)
{
	struct target_info info = {
		.id = words[1],
		.wire_id = 1,
		.ep = { 0x0a000001, 80 },
		.service = symbol(fix, words[2]),
		.data_centre = symbol(fix, "home"),
		.slots = 2,
	};

	control_state_put_target(&fix->control_state, &info, fix->now);
}

/* config VERSION SERVICE80 SERVICE443: services of the routes 80 and 443, "-" for no such route */
static void do_config(struct fixture *fix, char **words)
{
	static const struct {
		uint16_t port;
		struct admission_class cls;
	} routes[] = {
		{ 80, { .goal_ms = 400, .priority = 1, .timeout_ms = 1500 } },
		{ 443, { .goal_ms = 400, .priority = 2, .timeout_ms = 1500 } },
		{ 8080, { .priority = 2, .timeout_ms = 1500 } },
	};
	struct routing *rt = fix->control_state.routing;

	g_assert_true(routing_begin(rt, g_ascii_strtoull(words[1], NULL, 10)));
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		const char *service = i < 2 ? words[2 + i] : words[2];
		struct route_rule rule = {
			.address = { SERVICE_IP, routes[i].port },
			.services = { { .service = symbol(fix, service), .weight = 1 } },
			.nr_services = 1,
			.weight_sum = 1,
			.admission = routes[i].cls,
		};

		if (strcmp(service, "-") != 0)
			routing_add_route(rt, &rule);
	}
	control_state_commit_config(&fix->control_state, fix->now);
}

/* grant SERVICE [NAME=SLOTS+QUEUE ...]; after "untold-grant", steer learns of it by itself. */
static void do_grant(struct fixture *fix, char **words)
{
	struct credit_service_grant *svc;
	struct credit_grant grant;

	credit_grant_init(&grant);
	svc = credit_grant_add(&grant, symbol(fix, words[1]));
	for (char **word = words + 2; *word; word++) {
		char **parts = g_strsplit_set(*word, "=+", 3);
		struct credit_entry entry = {
			.target = registry_by_id(fix->control_state.registry, parts[0])->digest,
			.slots = (uint8_t)g_ascii_strtoull(parts[1], NULL, 10),
			.queue = (uint8_t)g_ascii_strtoull(parts[2], NULL, 10),
			.speed_permille = 1000,
		};

		g_array_append_val(svc->entries, entry);
		g_strfreev(parts);
	}
	credit_apply_grant(fix->control_state.credit, &grant, fix->now);
	credit_grant_release(&grant);
	if (!strcmp(words[0], "grant"))
		steer_credits_changed(fix->control_state.steer, fix->now);
}

static void do_drop(struct fixture *fix, char **words)
{
	(void)words;
	credit_drop_grants(fix->control_state.credit);
	steer_credits_changed(fix->control_state.steer, fix->now);
}

static void send_packet(struct fixture *fix, unsigned int nr, struct caller_packet *pkt)
{
	struct script_caller *caller = &fix->callers[nr];
	uint8_t bytes[31] = { pkt->syn ? (uint8_t)nr : 0 };

	pkt->caller = (struct endpoint){ CALLER_IP + nr, (uint16_t)(40000 + nr) };
	pkt->service = (struct endpoint){ SERVICE_IP, caller->port };
	pkt->bytes = bytes;
	pkt->size = sizeof(bytes);
	if (caller->target && !pkt->syn)
		pkt->mark = registry_mark(caller->target, pkt->service);
	steer_packet(fix->control_state.steer, pkt, fix->now);
}

static unsigned int caller_nr(char **words)
{
	unsigned int nr = (unsigned int)g_ascii_strtoull(words[1] + 1, NULL, 10);

	g_assert_cmpuint(nr, >, 0);
	g_assert_cmpuint(nr, <, CALLERS_MAX);
	return nr;
}

/* open CALLER PORT, also for a copy */
static void do_open(struct fixture *fix, char **words)
{
	struct script_caller *caller = &fix->callers[caller_nr(words)];

	caller->port = (uint16_t)g_ascii_strtoull(words[2], NULL, 10);
	caller->seq = 101;
	caller->ack = 501;
	send_packet(fix, caller_nr(words), &(struct caller_packet){ .seq = 100, .syn = true });
}

/* request CALLER: acknowledges the target's acceptance, or an answer, and sends a request. */
static void do_request(struct fixture *fix, char **words)
{
	struct script_caller *caller = &fix->callers[caller_nr(words)];
	struct caller_packet pkt = { .seq = caller->seq, .ack = caller->ack, .len = 100 };

	caller->seq += 100;
	send_packet(fix, caller_nr(words), &pkt);
}

static void acknowledge(struct fixture *fix, char **words, uint32_t bytes)
{
	struct script_caller *caller = &fix->callers[caller_nr(words)];
	struct caller_packet pkt = { .seq = caller->seq, .ack = caller->ack += bytes };

	send_packet(fix, caller_nr(words), &pkt);
}

static void do_accept(struct fixture *fix, char **words)
{
	acknowledge(fix, words, 0);
}

static void do_answer(struct fixture *fix, char **words)
{
	acknowledge(fix, words, 1000);
}

static void do_reject(struct fixture *fix, char **words)
{
	acknowledge(fix, words, 190);
}

static void do_close(struct fixture *fix, char **words)
{
	struct script_caller *caller = &fix->callers[caller_nr(words)];
	struct caller_packet pkt = { .seq = caller->seq, .ack = caller->ack, .fin = true };

	send_packet(fix, caller_nr(words), &pkt);
	caller->target = NULL;
}

static void do_reset(struct fixture *fix, char **words)
{
	struct script_caller *caller = &fix->callers[caller_nr(words)];
	struct caller_packet pkt = { .seq = caller->seq, .ack = caller->ack, .rst = true };

	send_packet(fix, caller_nr(words), &pkt);
	caller->target = NULL;
}

/* mark CALLER NAME: the target whose mark the caller's next packets echo */
static void do_mark(struct fixture *fix, char **words)
{
	fix->callers[caller_nr(words)].target =
		registry_by_id(fix->control_state.registry, words[2]);
}

/* dead NAME: suspected, then two rounds of probes fail. */
static void do_dead(struct fixture *fix, char **words)
{
	struct reg_target *tgt = registry_by_id(fix->control_state.registry, words[1]);

	while (tgt->trust != TRUST_DEAD) {
		g_assert_cmpuint(tgt->probing, >, 0);
		steer_probe_done(fix->control_state.steer, tgt, PROBE_TIMEOUT, fix->now);
	}
}

/* trust NAME TRUST, without any consequence for flows */
static void do_trust(struct fixture *fix, char **words)
{
	struct reg_target *tgt = registry_by_id(fix->control_state.registry, words[1]);

	tgt->trust = TRUST_ALIVE;
	while (strcmp(target_trust_name(tgt->trust), words[2]) != 0)
		tgt->trust++;
}

static void do_gone(struct fixture *fix, char **words)
{
	control_state_remove_target(&fix->control_state, words[1], fix->now);
}

static void do_wait(struct fixture *fix, char **words)
{
	int64_t left = g_ascii_strtoll(words[1], NULL, 10);

	while (left > 0) {
		int64_t step = MIN(left, steer_due_ms(fix->control_state.steer, fix->now));

		fix->now = ts_add_ms(fix->now, step);
		control_state_timer(&fix->control_state, fix->now);
		left -= step;
	}
}

static void do_stop(struct fixture *fix, char **words)
{
	(void)words;
	steer_stop(fix->control_state.steer, fix->now);
}

/* in_use NAME NUMBER */
static void do_in_use(struct fixture *fix, char **words)
{
	const struct reg_target *tgt = registry_by_id(fix->control_state.registry, words[1]);

	g_assert_cmpuint(tgt->credit.in_use, ==, g_ascii_strtoull(words[2], NULL, 10));
}

/* seen NAME completed|rejected|failed|overdue|busy_ms NUMBER: since the start of the script */
static void do_seen(struct fixture *fix, char **words)
{
	const struct target_credit *tc =
		&registry_by_id(fix->control_state.registry, words[1])->credit;
	const struct {
		const char *name;
		uint32_t value;
	} values[] = {
		{ "completed", tc->completed },
		{ "rejected", tc->rejected },
		{ "failed", tc->failed },
		{ "overdue", tc->overdue },
		{ "busy_ms", (uint32_t)MAX(tc->busy_ms, 0) },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		if (!strcmp(words[2], values[i].name))
			g_assert_cmpuint(values[i].value, ==, g_ascii_strtoull(words[3], NULL, 10));
	}
}

/* counts WAITED PLACED REFUSED OVERLOADED */
static void do_counts(struct fixture *fix, char **words)
{
	const struct edge_counters *cnt = &fix->control_state.counters;
	const uint64_t values[] = { cnt->openings_waited_credit, cnt->openings_placed_credit,
				    cnt->refused_no_room, cnt->refused_overloaded };

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
		g_assert_cmpuint(values[i], ==, g_ascii_strtoull(words[i + 1], NULL, 10));
}

/* waiting PRIORITY NUMBER */
static void do_waiting(struct fixture *fix, char **words)
{
	uint32_t priority = (uint32_t)g_ascii_strtoull(words[1], NULL, 10);

	g_assert_cmpuint(steer_credit_waiting_count(fix->control_state.steer, priority), ==,
			 g_ascii_strtoull(words[2], NULL, 10));
}

/* reused NUMBER: in a report of the demand, which ends the count */
static void do_reused(struct fixture *fix, char **words)
{
	struct credit_report rep;
	uint64_t reused = 0;

	credit_report_init(&rep);
	credit_collect(fix->control_state.credit, &rep, fix->now);
	for (guint i = 0; i < rep.demands->len; i++)
		reused += g_array_index(rep.demands, struct credit_demand, i).reused;
	credit_report_release(&rep);
	g_assert_cmpuint(reused, ==, g_ascii_strtoull(words[1], NULL, 10));
}

static const struct {
	const char *name;
	void (*run)(struct fixture *fix, char **words);
} commands[] = {
	{ "target", do_target },   { "config", do_config },	 { "grant", do_grant },
	{ "drop", do_drop },	   { "open", do_open },		 { "request", do_request },
	{ "accept", do_accept },   { "answer", do_answer },	 { "reject", do_reject },
	{ "close", do_close },	   { "dead", do_dead },		 { "trust", do_trust },
	{ "gone", do_gone },	   { "wait", do_wait },		 { "stop", do_stop },
	{ "in_use", do_in_use },   { "seen", do_seen },		 { "counts", do_counts },
	{ "reused", do_reused },   { "untold-grant", do_grant }, { "mark", do_mark },
	{ "waiting", do_waiting }, { "reset", do_reset },
};

static void run_command(struct fixture *fix, const char *command)
{
	char **words = g_strsplit(command, " ", 0);
	bool known = false;

	g_string_truncate(fix->sent, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (!strcmp(words[0], commands[i].name)) {
			commands[i].run(fix, words);
			known = true;
		}
	}
	g_assert_true(known);
	g_strfreev(words);
}

static void run_line(struct fixture *fix, const char *script, const char *line)
{
	char **halves = g_strsplit(line, "=>", 2);
	const char *expected = halves[1] ? g_strstrip(halves[1]) : "";

	run_command(fix, g_strstrip(halves[0]));
	if (strcmp(fix->sent->str, expected) != 0)
		g_error("in \"%s\"\n  line \"%s\" sent \"%s\", expected \"%s\"", script, line,
			fix->sent->str, expected);
	g_strfreev(halves);
}

struct script {
	const char *name;
	const char *lines;
	unsigned int max_flows; /* 0 for a limit that is not reached */
};

static void check_returned(struct reg_target *tgt, void *arg)
{
	(void)arg;
	g_assert_cmpuint(tgt->credit.in_use, ==, 0);
}

static void begin(struct fixture *fix, unsigned int max_flows)
{
	struct control_state_options opts = {
		.data_centre = "home",
		.placing = PLACING_LEAST_LOADED,
		.remote_percent = 100,
		.verify_ms = 50,
		.max_flows = max_flows,
		.random = &fix->random.random,
		.out = &fix->out,
		.credits = true,
	};

	*fix = (struct fixture){
		.out = { &out_ops },
		.now = { .tv_sec = START_S },
		.sent = g_string_new(NULL),
	};
	seeded_random_init(&fix->random, 1);
	control_state_init(&fix->control_state, &opts);
}

/* All flows expire; no credit may be in use then. */
static void end(struct fixture *fix)
{
	char *words[] = { NULL, g_strdup_printf("%d", FLOW_END_MS), NULL };

	do_wait(fix, words);
	g_assert_cmpuint(steer_flow_count(fix->control_state.steer), ==, 0);
	registry_each(fix->control_state.registry, check_returned, NULL);
	control_state_release(&fix->control_state);
	g_string_free(fix->sent, TRUE);
	g_free(words[1]);
}

static void run_script(gconstpointer data)
{
	const struct script *script = data;
	char **lines = g_strsplit(script->lines, "\n", 0);
	struct fixture fix;

	begin(&fix, script->max_flows ? script->max_flows : 1000);
	for (char **line = lines; *line; line++) {
		if (**line)
			run_line(&fix, script->name, *line);
	}
	end(&fix);
	g_strfreev(lines);
}

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
					       "reject c%u", "close c%u",   "close c%u" };
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

#define ONE_TARGET                                                                                 \
	"target i-a web\n"                                                                         \
	"config 1 web web\n"
#define TWO_TARGETS                                                                                \
	"target i-a web\n"                                                                         \
	"target i-b web\n"                                                                         \
	"config 1 web web\n"
/* One answer after 50 ms, by which waits are predicted. */
#define ONE_ANSWER                                                                                 \
	"open c60 80 => c60>i-a\n"                                                                 \
	"request c60\nwait 50\nanswer c60\nclose c60\n"

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

	{ "charge/moved-opening", TWO_TARGETS
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nin_use i-a 1\nwait 60\n"
	  "dead i-a => c1>i-b\nin_use i-a 0\nin_use i-b 1\nrequest c1\nanswer c1\nin_use i-b 0\n"
	  "seen i-a failed 0\nseen i-b completed 1\n" },
	/* A request that the caller sends late is not overdue early. */
	{ "charge/late-request", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\naccept c1\nwait 150\nrequest c1\nwait 150\n"
	  "close c1\nseen i-a overdue 0\nseen i-a failed 0\n" },
	/* The first target has accepted after all. */
	{ "charge/accepted-by-the-first-target", TWO_TARGETS
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nwait 60\ndead i-a => c1>i-b\ntrust i-a alive\n"
	  "mark c1 i-a\nrequest c1\nin_use i-a 1\nin_use i-b 0\nanswer c1\nin_use i-a 0\n" },
	{ "charge/flow-of-a-withdrawn-route",
	  ONE_TARGET "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nin_use i-a 1\n"
		     "config 2 - web => reset c1\nin_use i-a 0\nseen i-a failed 0\n" },
	{ "charge/flow-of-a-dead-target", ONE_TARGET
	  "grant web i-a=2+0\nopen c1 80 => c1>i-a\nrequest c1\nopen c2 80 => c2>i-a\nwait 60\n"
	  "dead i-a => reset c1\nin_use i-a 1\nseen i-a failed 1\n" },
	{ "charge/second-request-is-not-charged", ONE_TARGET
	  "grant web i-a=2+0\nopen c1 80 => c1>i-a\nrequest c1\nin_use i-a 1\nanswer c1\n"
	  "in_use i-a 0\nrequest c1\nin_use i-a 0\nanswer c1\nrequest c1\nanswer c1\nreused 1\n"
	  "reused 0\n" },
	/* Early closes say nothing about the target, an answer that does not come does. */
	{ "charge/closed-without-a-request", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\naccept c1\nwait 10\nclose c1\nin_use i-a 0\n"
	  "seen i-a failed 0\n" },
	{ "charge/closed-early", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nwait 150\nclose c1\nin_use i-a 0\n"
	  "seen i-a failed 0\nseen i-a overdue 0\n" },
	{ "charge/closed-when-overdue", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nwait 400\nseen i-a overdue 1\n"
	  "in_use i-a 1\nwait 400\nseen i-a overdue 1\nclose c1\nin_use i-a 0\nseen i-a failed "
	  "1\n" },
	/*
	 * The caller has left without a packet by its time-out, 1,500 ms. Its credit must not be
	 * lost until the flow expires.
	 */
	{ "charge/caller-left", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nwait 1490\nin_use i-a 1\nwait 120\n"
	  "in_use i-a 0\nseen i-a overdue 1\nseen i-a failed 1\nanswer c1\nclose c1\n"
	  "seen i-a failed 1\nseen i-a completed 0\n" },
	/* Half-closed by the caller: the target still works on the request. */
	{ "charge/half-closed", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nclose c1\nopen c2 80\nwait 30\n"
	  "in_use i-a 1\nmark c1 i-a\nanswer c1 => c2>i-a\nin_use i-a 1\nseen i-a completed 2\n" },
	{ "charge/half-closed-and-reset", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nclose c1\nin_use i-a 1\nreset c1\n"
	  "in_use i-a 0\nseen i-a failed 0\n" },
	/* No packet shows when the caller has left: it waits for twice the mean of 50 ms. */
	{ "charge/half-closed-and-left", ONE_TARGET ONE_ANSWER
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nwait 20\nclose c1\nwait 70\n"
	  "in_use i-a 1\nwait 120\nin_use i-a 0\nseen i-a failed 0\nseen i-a overdue 0\n" },
	{ "charge/answered-when-overdue",
	  ONE_TARGET "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nwait 400\nanswer c1\n"
		     "seen i-a overdue 1\nseen i-a completed 1\nseen i-a failed 0\n" },
	{ "charge/opening-that-expires", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nwait 5000\nin_use i-a 0\nseen i-a failed 1\n"
	  "seen i-a overdue 1\n" },
	/* A caller that sends no request does not keep a credit; its later request has one again.
	 */
	{ "charge/flow-without-a-request",
	  ONE_TARGET "grant web i-a=1+0\nopen c1 80 => c1>i-a\naccept c1\nwait 400\nin_use i-a 0\n"
		     "seen i-a overdue 0\nrequest c1\nin_use i-a 1\nanswer c1\nin_use i-a 0\n"
		     "seen i-a completed 1\n" },
	/* The target was not busy: a service time that counts this shows it slower than it is. */
	{ "charge/not-busy-without-a-request", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\naccept c1\nwait 100\nclose c1\nin_use i-a 0\n"
	  "seen i-a busy_ms 0\nopen c2 80 => c2>i-a\naccept c2\nwait 400\nin_use i-a 0\n"
	  "seen i-a busy_ms 0\n" },
	{ "charge/same-address-opens-again", ONE_TARGET
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nrequest c1\nclose c1\nopen c1 80 => c1>i-a\n"
	  "in_use i-a 1\n" },
	{ "charge/evicted-opening",
	  TWO_TARGETS
	  "grant web i-a=1+0\nopen c1 80 => c1>i-a\nopen c2 8080 => c2>i-b\nin_use i-a 0\n"
	  "in_use i-b 1\n",
	  1 },
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
	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
		char *path = g_strconcat("/steer-credit/", scripts[i].name, NULL);

		g_test_add_data_func(path, &scripts[i], run_script);
		g_free(path);
	}
	g_test_add_func("/steer-credit/logs", test_logs);
	g_test_add_func("/steer-credit/full-backlog", test_full_backlog);
	g_test_add_func("/steer-credit/random", test_random);
	return g_test_run();
}
