/*
 * Scripts for tests of openings by credits, without a network. Each is a list of commands as in
 * test-steer.c; output names the caller and the target ("c1>i-a") or the reset caller ("reset c1").
 * After each script all flows expire, and no credit may be in use then: one that is not returned is
 * lost until the process ends.
 *
 * Route 80 has the priority 1 and openings wait for up to 200 ms; 443 has the priority 2 and 100
 * ms; 8080 has no goal.
 */
#ifndef T_CREDIT_SCRIPT_H
#define T_CREDIT_SCRIPT_H

#include <glib.h>
#include <string.h>

#include "beliefs.h"
#include "credit/account.h"
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

/* pause MS: time passes without a timer */
static void do_pause(struct fixture *fix, char **words)
{
	fix->now = ts_add_ms(fix->now, g_ascii_strtoll(words[1], NULL, 10));
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
	{ "waiting", do_waiting }, { "reset", do_reset },	 { "pause", do_pause },
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

static void add_scripts(const char *prefix, const struct script *scripts, size_t nr)
{
	for (size_t i = 0; i < nr; i++) {
		char *path = g_strconcat(prefix, scripts[i].name, NULL);

		g_test_add_data_func(path, &scripts[i], run_script);
		g_free(path);
	}
}

#endif
