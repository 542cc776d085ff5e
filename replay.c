#include "replay-internal.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SAMPLE_MS      50
#define FLOW_SAMPLE_MS 1000
#define SETTLE_MS      5000 /* before measures of load start, unless the trace says otherwise */
#define TARGET_PORT    6080
#define SLOTS_DEFAULT  2
#define FLOWS_DEFAULT  2000
#define WARMUP_DEFAULT 30000

const struct replay_policy replay_policies[] = {
	[VARIANT_PRODUCT] = { "product", "the decision core" },
	[VARIANT_HASH] = { "hash", "baseline: consistent hashing alone" },
	[VARIANT_PRIVATE] = { "private", "baseline: consistent hashing with private flow tables" },
	[VARIANT_NO_ACK_WAIT] = { "no-ack-wait",
				  "wrong: a home does not announce changed buckets" },
	[VARIANT_NO_RECOVERY] = { "no-recovery", "wrong: a new home asks nobody for pins" },
	[VARIANT_NO_SLOW_START] = { "no-slow-start", "wrong: starting targets get a full share" },
	[VARIANT_LOCAL_WITHDRAWAL] = { "local-withdrawal", "wrong: withdrawals stay with those "
							   "that watch the platform" },
	[VARIANT_NO_DRAIN] = { "no-drain", "wrong: draining targets get new flows" },
	[VARIANT_UNCHECKED_ANSWERS] = { "unchecked-answers", "wrong: every answer is passed on" },
	[VARIANT_RESEND_PAYLOAD] = { "resend-payload",
				     "wrong: payload is sent to a second target after a timeout" },
	{ NULL, NULL },
};

uint32_t sim_below(struct sim *sim, uint32_t bound)
{
	return random_below(&sim->random.random, bound);
}

struct timespec sim_now(const struct sim *sim)
{
	struct timespec ts = ts_from_ms(sim->now_us / SIM_US_PER_MS);

	ts.tv_nsec += sim->now_us % SIM_US_PER_MS * 1000;
	return ts;
}

void sim_note(struct sim *sim, const char *format, ...)
{
	va_list args;

	if (!sim->notes)
		return;
	g_string_append_printf(sim->notes, "%d ms: ", (int)(sim->now_us / SIM_US_PER_MS));
	va_start(args, format);
	g_string_append_vprintf(sim->notes, format, args);
	va_end(args);
	g_string_append_c(sim->notes, '\n');
}

/* Binary heap of events by time and order. */

static bool before(const struct sim_event *a, const struct sim_event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static struct sim_event *heap_at(const struct sim *sim, guint i)
{
	return g_array_index(sim->heap, struct sim_event *, i);
}

struct sim_event *sim_schedule(struct sim *sim, int64_t after_us, enum sim_kind kind, uint32_t a,
			       uint32_t b)
{
	struct sim_event *ev = g_new0(struct sim_event, 1);
	guint i = sim->heap->len;

	ev->at_us = sim->now_us + after_us;
	ev->order = ++sim->order;
	ev->kind = kind;
	ev->a = a;
	ev->b = b;
	g_array_append_val(sim->heap, ev);
	for (; i && before(ev, heap_at(sim, (i - 1) / 2)); i = (i - 1) / 2)
		g_array_index(sim->heap, struct sim_event *, i) = heap_at(sim, (i - 1) / 2);
	g_array_index(sim->heap, struct sim_event *, i) = ev;
	return ev;
}

static struct sim_event *heap_pop(struct sim *sim)
{
	struct sim_event *first = heap_at(sim, 0);
	struct sim_event *last = heap_at(sim, sim->heap->len - 1);
	guint nr = sim->heap->len - 1;
	guint i = 0;

	g_array_set_size(sim->heap, nr);
	while (i * 2 + 1 < nr) {
		guint child = i * 2 + 1;

		if (child + 1 < nr && before(heap_at(sim, child + 1), heap_at(sim, child)))
			child++;
		if (!before(heap_at(sim, child), last))
			break;
		g_array_index(sim->heap, struct sim_event *, i) = heap_at(sim, child);
		i = child;
	}
	if (nr)
		g_array_index(sim->heap, struct sim_event *, i) = last;
	return first;
}

static void event_free(struct sim_event *ev)
{
	if (ev->bytes)
		g_bytes_unref(ev->bytes);
	g_free(ev->report);
	g_free(ev);
}

/* Names. */

static uint32_t find_dc(const struct sim *sim, const char *name)
{
	for (uint32_t i = 0; i < sim->nr_dcs; i++) {
		if (!strcmp(sim->dcs[i].name, name))
			return i;
	}
	return UINT32_MAX;
}

static uint32_t find_service(const struct sim *sim, const char *name)
{
	for (uint32_t i = 0; i < sim->services->len; i++) {
		if (!strcmp(sim_service(sim, i)->name, name))
			return i;
	}
	return UINT32_MAX;
}

static uint32_t find_instance(const struct sim *sim, const char *name)
{
	for (uint32_t i = 0; i < sim->instances->len; i++) {
		if (!strcmp(sim_instance(sim, i)->name, name))
			return i;
	}
	return UINT32_MAX;
}

static uint32_t find_target(const struct sim *sim, const char *name)
{
	for (uint32_t i = 0; i < sim->targets->len; i++) {
		if (!strcmp(sim_target(sim, i)->name, name))
			return i;
	}
	return UINT32_MAX;
}

static uint32_t find_org(const struct sim *sim, const char *name)
{
	for (uint32_t i = 0; i < sim->orgs->len; i++) {
		const struct sim_org *org = g_ptr_array_index(sim->orgs, i);

		if (!strcmp(org->name, name))
			return i;
	}
	return UINT32_MAX;
}

/* The fleet. Each function returns a fault, or NULL. */

static const char *add_dc(struct sim *sim, const struct trace_line *line)
{
	const char *group = trace_text(line, "group", "main");
	guint group_index;

	if (sim->nr_dcs == SIM_MAX_DCS || find_dc(sim, line->arg[0]) != UINT32_MAX)
		return "data centre named twice, or too many";
	if (!g_ptr_array_find_with_equal_func(sim->groups, group, g_str_equal, &group_index)) {
		group_index = sim->groups->len;
		g_ptr_array_add(sim->groups, g_strdup(group));
	}
	for (int64_t n = 1; n <= trace_number(line, "instances", 1); n++) {
		struct sim_instance *inst = g_new0(struct sim_instance, 1);

		inst->id = sim->instances->len + 1;
		inst->name = g_strdup_printf("%s-%d", line->arg[0], (int)n);
		inst->group = g_strdup(group);
		inst->group_index = group_index;
		inst->dc = sim->nr_dcs;
		g_ptr_array_add(sim->instances, inst);
	}
	sim->dcs[sim->nr_dcs++].name = g_strdup(line->arg[0]);
	return NULL;
}

static const char *add_service(struct sim *sim, const struct trace_line *line)
{
	struct sim_service *svc = g_new0(struct sim_service, 1);
	const char *org = trace_text(line, "org", "org");
	uint32_t o = find_org(sim, org);

	if (o == UINT32_MAX) {
		struct sim_org *entry = g_new0(struct sim_org, 1);

		o = sim->orgs->len;
		entry->name = g_strdup(org);
		g_ptr_array_add(sim->orgs, entry);
	}
	svc->name = g_strdup(line->arg[0]);
	svc->org = g_strdup(org);
	svc->line = line;
	svc->addr.proto = 6;
	svc->addr.ep.ip = 0xc0000200u + o * 16 + 1;
	svc->addr.ep.port = (uint16_t)(7000 + sim->services->len);
	svc->address = g_strdup_printf("192.0.2.%u:%u", o * 16 + 1, svc->addr.ep.port);
	g_ptr_array_add(sim->services, svc);
	return NULL;
}

static const char *add_targets(struct sim *sim, const struct trace_line *line)
{
	uint32_t s = find_service(sim, trace_text(line, "service", ""));
	uint32_t dc = find_dc(sim, trace_text(line, "dc", ""));
	int64_t count = trace_number(line, "count", 1);

	if (s == UINT32_MAX || dc == UINT32_MAX || count < 1 || count > 4096)
		return "unknown service or data centre, or a bad count";
	for (int64_t n = 1; n <= count; n++) {
		struct sim_target *tgt = g_new0(struct sim_target, 1);

		tgt->name = g_strdup_printf("%s-%d", line->arg[0], (int)n);
		tgt->service = s;
		tgt->dc = dc;
		tgt->ep.ip = (10u << 24) + ((100 + find_org(sim, sim_service(sim, s)->org)) << 16) +
			     sim->targets->len + 1;
		tgt->ep.port = TARGET_PORT;
		tgt->slots = (uint32_t)trace_number(line, "slots", SLOTS_DEFAULT);
		tgt->max_flows = (uint32_t)trace_number(line, "max_flows", FLOWS_DEFAULT);
		tgt->warmup_ms = (uint32_t)trace_number(line, "warmup_ms", WARMUP_DEFAULT);
		tgt->bears = (uint32_t)trace_number(line, "bears", 0);
		tgt->fragile = trace_number(line, "fragile", 0);
		tgt->configured = !trace_number(line, "later", 0);
		tgt->disturbed = !tgt->configured;
		tgt->marker = 1;
		tgt->started_us = tgt->drained_us = tgt->withdrawn_us = -1;
		tgt->lie_load = tgt->lie_ready = -1;
		tgt->flows = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		tgt->reports = g_array_new(FALSE, FALSE, sizeof(struct sim_report));
		tgt->openings_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
		g_ptr_array_add(sim->targets, tgt);
	}
	return NULL;
}

static const char *set_net(struct sim *sim, const struct trace_line *line)
{
	const struct {
		const char *key;
		int64_t *value;
	} keys[] = {
		{ "local_us", &sim->local_us },
		{ "dc_us", &sim->dc_us },
		{ "caller_us", &sim->caller_us },
		{ "platform_us", &sim->platform_us },
		{ "jitter_permille", &sim->jitter_permille },
		{ "loss", &sim->loss },
		{ "dup", &sim->dup },
		{ "detect_ms", &sim->detect_ms },
		{ "list_lag_ms", &sim->list_lag_ms },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		*keys[i].value = trace_number(line, keys[i].key, *keys[i].value);
		if (*keys[i].value < 0)
			return "negative number";
	}
	return NULL;
}

static const char *add_line(struct sim *sim, const struct trace_line *line)
{
	switch (line->verb) {
	case TRACE_DC:
		return add_dc(sim, line);
	case TRACE_SERVICE:
		return add_service(sim, line);
	case TRACE_TARGETS:
		return add_targets(sim, line);
	case TRACE_NET:
		return set_net(sim, line);
	case TRACE_END:
		sim->end_us = g_ascii_strtoll(line->arg[0], NULL, 10) * SIM_US_PER_MS;
		return sim->end_us > 0 ? NULL : "bad end";
	case TRACE_MEASURE:
		sim->measure_from_us = g_ascii_strtoll(line->arg[0], NULL, 10) * SIM_US_PER_MS;
		sim->measure_to_us = g_ascii_strtoll(line->arg[1], NULL, 10) * SIM_US_PER_MS;
		return NULL;
	default:
		return NULL;
	}
}

/* Timed lines. Each function returns false when a name is unknown. */

static bool do_open(struct sim *sim, const struct trace_line *line)
{
	struct sim_generator gen = {
		.line = line,
		.service = find_service(sim, line->arg[0]),
		.until_us = trace_number(line, "until", INT32_MAX) * SIM_US_PER_MS,
	};

	if (gen.service == UINT32_MAX)
		return false;
	g_array_append_val(sim->generators, gen);
	sim_schedule(sim, 0, SIM_OPEN, sim->generators->len - 1, 0);
	return true;
}

static bool do_instance(struct sim *sim, const struct trace_line *line)
{
	uint32_t i = find_instance(sim, line->arg[0]);

	if (i == UINT32_MAX)
		return false;
	if (line->verb == TRACE_KILL)
		sim_instance_kill(sim, i);
	else if (line->verb == TRACE_START)
		sim_instance_start(sim, i);
	else if (line->verb == TRACE_LEAVE)
		sim_instance_leave(sim, i);
	else
		sim_instance_pause(sim, i, line->verb == TRACE_PAUSE);
	return true;
}

static void publish_of(struct sim *sim, const struct sim_target *tgt)
{
	sim_publish_org(sim, sim_service(sim, tgt->service)->org);
}

static void change_target(struct sim *sim, const struct trace_line *line, uint32_t t)
{
	struct sim_target *tgt = sim_target(sim, t);

	switch (line->verb) {
	case TRACE_DRAIN:
		tgt->draining = true;
		tgt->drained_us = sim->platform_down ? -1 : sim->now_us;
		publish_of(sim, tgt);
		break;
	case TRACE_ADD:
		tgt->configured = true;
		tgt->draining = false;
		tgt->drained_us = -1;
		sim_target_restart(sim, t, false);
		publish_of(sim, tgt);
		break;
	case TRACE_DIE:
		sim_target_exempt(sim, t);
		tgt->dead = true;
		break;
	case TRACE_COLD:
		tgt->dead = false;
		sim_target_restart(sim, t, !trace_number(line, "marker", 1));
		break;
	case TRACE_SILENT:
		sim_target_silence(sim, t);
		break;
	case TRACE_SHED:
		tgt->shed = trace_number(line, "on", 1);
		break;
	case TRACE_REPORT:
		tgt->lie_load = trace_number(line, "load", -1);
		tgt->lie_ready = trace_number(line, "ready", -1);
		tgt->lag_ms = trace_number(line, "lag_ms", 0);
		break;
	default:
		break;
	}
	if (line->verb != TRACE_REPORT)
		tgt->disturbed = true;
}

static bool do_target(struct sim *sim, const struct trace_line *line)
{
	uint32_t t = find_target(sim, line->arg[0]);

	if (t == UINT32_MAX)
		return false;
	change_target(sim, line, t);
	return true;
}

static bool do_dc(struct sim *sim, const struct trace_line *line)
{
	uint32_t d = find_dc(sim, line->arg[0]);
	bool withdraw = line->verb == TRACE_WITHDRAW;

	if (d == UINT32_MAX)
		return false;
	sim->dcs[d].withdrawn = withdraw;
	sim_publish_dc(sim, d);
	for (uint32_t t = 0; t < sim->targets->len; t++) {
		struct sim_target *tgt = sim_target(sim, t);

		if (tgt->dc != d)
			continue;
		tgt->disturbed = true;
		tgt->withdrawn_us = withdraw && !sim->platform_down ? sim->now_us : -1;
		if (withdraw) {
			sim_target_exempt(sim, t);
		} else {
			/* Its caches and pools are empty again after the time without work. */
			tgt->started_us = sim->now_us;
			g_array_set_size(tgt->openings_us, 0);
		}
	}
	return true;
}

static bool do_cut(struct sim *sim, const struct trace_line *line)
{
	uint32_t d = find_dc(sim, line->arg[0]);
	bool cut = line->verb == TRACE_CUT;
	bool all = !*line->arg[1] || !strcmp(line->arg[1], "all");

	if (d == UINT32_MAX)
		return false;
	if (all || !cut || !strcmp(line->arg[1], "peers"))
		sim->dcs[d].cut_peers = cut;
	if (all || !cut || !strcmp(line->arg[1], "targets"))
		sim->dcs[d].cut_targets = cut;
	if (all || !cut)
		sim->dcs[d].cut_fabric = cut;
	if (all || !cut || !strcmp(line->arg[1], "platform")) {
		sim->dcs[d].cut_platform = cut;
		sim_platform_set(sim, sim->platform_down);
	}
	return true;
}

static bool do_change(struct sim *sim, const struct trace_line *line)
{
	uint32_t o = find_org(sim, line->arg[0]);
	const struct sim_org *org = o == UINT32_MAX ? NULL : g_ptr_array_index(sim->orgs, o);

	if (!org)
		return false;
	sim_publish_org(sim, org->name);
	return true;
}

static bool do_line(struct sim *sim, const struct trace_line *line)
{
	uint32_t s;

	switch (line->verb) {
	case TRACE_OPEN:
		return do_open(sim, line);
	case TRACE_KILL:
	case TRACE_PAUSE:
	case TRACE_RESUME:
	case TRACE_START:
	case TRACE_LEAVE:
		return do_instance(sim, line);
	case TRACE_DRAIN:
	case TRACE_ADD:
	case TRACE_DIE:
	case TRACE_COLD:
	case TRACE_SILENT:
	case TRACE_SHED:
	case TRACE_REPORT:
		return do_target(sim, line);
	case TRACE_CROSS:
		s = find_service(sim, line->arg[0]);
		if (s != UINT32_MAX)
			sim_cross(sim, s, (uint32_t)trace_number(line, "count", 1));
		return s != UINT32_MAX;
	case TRACE_CUT:
	case TRACE_HEAL:
		return do_cut(sim, line);
	case TRACE_PLATFORM:
		sim_platform_set(sim, !strcmp(line->arg[0], "down"));
		return true;
	case TRACE_WITHDRAW:
	case TRACE_RESTORE:
		return do_dc(sim, line);
	case TRACE_CHANGE:
		return do_change(sim, line);
	case TRACE_LINK:
		return !set_net(sim, line);
	case TRACE_SHOW:
		sim_show(sim);
		return true;
	default:
		return true;
	}
}

/* "roll" replaces every instance, one after another. */
static void schedule_roll(struct sim *sim, const struct trace_line *line)
{
	int64_t every = trace_number(line, "every_ms", 3000);
	int64_t down = trace_number(line, "down_ms", 1000);

	for (uint32_t i = 0; i < sim->instances->len; i++) {
		int64_t at_us = (line->at_ms + i * every) * SIM_US_PER_MS;

		sim_schedule(sim, at_us, SIM_ROLL, i, 0);
		sim_schedule(sim, at_us + down * SIM_US_PER_MS, SIM_ROLL, i, 1);
	}
}

static void schedule_lines(struct sim *sim)
{
	for (guint n = 0; n < sim->trace->lines->len; n++) {
		const struct trace_line *line =
			&g_array_index(sim->trace->lines, struct trace_line, n);
		int64_t count = trace_number(line, "count", 1);
		int64_t every = trace_number(line, "every_ms", 1000);

		if (line->verb < TRACE_OPEN)
			continue;
		if (line->verb != TRACE_OPEN && line->verb != TRACE_CHANGE &&
		    line->verb != TRACE_SHOW &&
		    (!sim->m.first_fault_us || line->at_ms * SIM_US_PER_MS < sim->m.first_fault_us))
			sim->m.first_fault_us = line->at_ms * SIM_US_PER_MS;
		if (line->verb == TRACE_ROLL) {
			schedule_roll(sim, line);
			continue;
		}
		if (line->verb != TRACE_CHANGE)
			count = 1;
		for (int64_t k = 0; k < count; k++)
			sim_schedule(sim, (line->at_ms + k * every) * SIM_US_PER_MS, SIM_TRACE, n,
				     0);
	}
}

/* Measures. */

static void sample_flows(struct sim *sim)
{
	if (sim->now_us < sim->measure_from_us || sim->now_us >= sim->measure_to_us)
		return;
	for (uint32_t t = 0; t < sim->targets->len; t++)
		sim_target(sim, t)->flow_samples += sim_target_flows(sim, t);
}

static void sample(struct sim *sim)
{
	sim_check_versions(sim);
	if (sim->now_us / SIM_US_PER_MS % FLOW_SAMPLE_MS == 0)
		sample_flows(sim);
	sim_schedule(sim, SAMPLE_MS * SIM_US_PER_MS, SIM_SAMPLE, 0, 0);
}

/* Highest to mean over the undisturbed targets of a service, in per mille; the worst service. */
static uint64_t imbalance(const struct sim *sim, bool openings)
{
	uint64_t worst = 0;

	for (uint32_t s = 0; s < sim->services->len; s++) {
		uint64_t sum = 0, most = 0, nr = 0;

		for (uint32_t t = 0; t < sim->targets->len; t++) {
			const struct sim_target *tgt = sim_target(sim, t);
			uint64_t value = openings ? tgt->opened : tgt->flow_samples;

			if (tgt->service != s || tgt->disturbed)
				continue;
			sum += value;
			most = MAX(most, value);
			nr++;
		}
		if (sum)
			worst = MAX(worst, most * 1000 * nr / sum);
	}
	return worst;
}

static int compare_ms(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static uint64_t percentile(const GArray *sorted, uint32_t permille)
{
	if (!sorted->len)
		return 0;
	return g_array_index(
		sorted, uint32_t,
		MIN(sorted->len - 1, (guint)((uint64_t)sorted->len * permille / 1000)));
}

static uint64_t ratio(uint64_t part, uint64_t whole)
{
	return whole ? part * 1000 / whole : 1000;
}

static void put(GString *report, const char *key, uint64_t value)
{
	g_string_append_printf(report, "%s = %" G_GUINT64_FORMAT "\n", key, value);
}

static uint64_t versions_behind(const struct sim *sim)
{
	uint64_t nr = 0;

	for (guint v = 0; v < sim->versions->len; v++) {
		const struct sim_version *ver = g_ptr_array_index(sim->versions, v);

		nr += ver->everywhere_us < 0;
	}
	return nr;
}

static void report_instances(const struct sim *sim, const struct counters *sum, GString *report)
{
	uint64_t control = 0, pass = 0, flows = 0, pins = 0;

	for (uint32_t i = 0; i < sim->instances->len; i++) {
		const struct sim_instance *inst = sim_instance(sim, i);
		uint64_t alive_ms = (uint64_t)MAX(inst->alive_us / SIM_US_PER_MS, 1);

		control = MAX(control, inst->control_bytes * 1000 / alive_ms);
		pass = MAX(pass, inst->pass_bytes * 1000 / alive_ms);
		flows = MAX(flows, inst->most_flows);
		pins = MAX(pins, inst->most_pins);
	}
	put(report, "control_bytes_per_s", control);
	put(report, "pass_bytes_per_s", pass);
	put(report, "passed_on_permille",
	    sum->packets_in ? sum->passed_on * 1000 / sum->packets_in : 0);
	put(report, "flow_entry_bytes", sizeof(struct flow));
	put(report, "most_cached_flows", flows);
	put(report, "most_pins", pins);
	put(report, "platform_calls", sim->m.platform_calls);
}

static void sum_counters(const struct sim *sim, struct counters *sum)
{
	memset(sum, 0, sizeof(*sum));
	for (uint32_t i = 0; i < sim->instances->len; i++) {
		const struct counters *c = &sim_instance(sim, i)->counters;

#define COUNTER_SUM(name, help) sum->name += c->name;
		COUNTER_LIST(COUNTER_SUM)
#undef COUNTER_SUM
	}
}

static void write_report(struct sim *sim, const struct replay_options *opts, GString *report)
{
	struct sim_measures *m = &sim->m;
	struct counters sum;

	sum_counters(sim, &sum);
	g_array_sort(m->answer_ms, compare_ms);
	g_string_append_printf(report, "policy = %s\n", replay_policies[sim->variant].name);
	put(report, "seed", opts->seed);
	put(report, "flows_opened", m->opened);
	put(report, "flows_established", m->established);
	put(report, "flows_refused", m->refused);
	put(report, "flows_unanswered", m->unanswered);
	put(report, "flows_closed", m->closed);
	put(report, "broken_flows", m->broken);
	put(report, "ended_with_target", m->exempt);
	put(report, "requests", m->requests);
	put(report, "answered", m->answered);
	put(report, "answered_permille", ratio(m->answered, m->requests));
	put(report, "answered_after_permille", ratio(m->answered_after, m->requests_after));
	put(report, "answer_ms_median", percentile(m->answer_ms, 500));
	put(report, "answer_ms_99", percentile(m->answer_ms, 990));
	put(report, "answer_ms_max", percentile(m->answer_ms, 1000));
	put(report, "run_twice", m->run_twice);
	put(report, "false_refusals", m->false_refusals);
	put(report, "crossed", m->crossed);
	put(report, "wrong_service", m->wrong_service);
	put(report, "falls", m->falls);
	put(report, "peak_start_share", m->peak_start_share);
	put(report, "withdrawn_last_packet_ms", (uint64_t)(m->withdrawn_last_us / SIM_US_PER_MS));
	put(report, "drained_last_flow_ms", (uint64_t)(m->drained_last_us / SIM_US_PER_MS));
	put(report, "config_everywhere_ms", (uint64_t)(m->config_max_us / SIM_US_PER_MS));
	put(report, "config_behind", versions_behind(sim));
	put(report, "config_reverts", m->config_reverts);
	put(report, "imbalance_flows", imbalance(sim, false));
	put(report, "imbalance_openings", imbalance(sim, true));
	report_instances(sim, &sum, report);
	if (!opts->counters)
		return;
	for (uint32_t type = 0; type < SIM_PEER_TYPES; type++) {
		uint64_t bytes = 0;

		for (uint32_t i = 0; i < sim->instances->len; i++)
			bytes += sim_instance(sim, i)->type_bytes[type];
		g_string_append_printf(report, "bytes_of_type_%u = %" G_GUINT64_FORMAT "\n", type,
				       bytes);
	}
#define COUNTER_PUT(name, help) put(report, "total_" #name, sum.name);
	COUNTER_LIST(COUNTER_PUT)
#undef COUNTER_PUT
}

/* The run. */

static void dispatch(struct sim *sim, const struct sim_event *ev)
{
	switch (ev->kind) {
	case SIM_TRACE:
		do_line(sim, &g_array_index(sim->trace->lines, struct trace_line, ev->a));
		break;
	case SIM_ROLL:
		if (ev->b)
			sim_instance_start(sim, ev->a);
		else
			sim_instance_leave(sim, ev->a);
		/* A stop that takes longer than planned delays the start. */
		if (ev->b && sim_instance(sim, ev->a)->leaving)
			sim_schedule(sim, 100 * SIM_US_PER_MS, SIM_ROLL, ev->a, 1);
		break;
	case SIM_OPEN:
		sim_open(sim, ev->a);
		break;
	case SIM_FLOW:
		sim_flow_event(sim, ev->a, ev->b);
		break;
	case SIM_TO_TARGET:
		sim_at_target(sim, ev);
		break;
	case SIM_TO_CALLER:
		sim_at_caller(sim, ev);
		break;
	case SIM_WORK_DONE:
		sim_work_done(sim, ev);
		break;
	case SIM_SAMPLE:
		sample(sim);
		break;
	case SIM_CALL:
	case SIM_FABRIC:
	case SIM_LISTED:
		sim_fleet_event(sim, ev);
		break;
	default:
		sim_instance_event(sim, ev);
		break;
	}
}

static void call_free(gpointer data)
{
	struct sim_call *call = data;

	g_bytes_unref(call->request);
	if (call->reply)
		g_bytes_unref(call->reply);
	g_free(call);
}

static void instance_free(gpointer data)
{
	sim_instance_release(data);
}

static void target_free(gpointer data)
{
	struct sim_target *tgt = data;

	g_hash_table_unref(tgt->flows);
	g_array_unref(tgt->reports);
	g_array_unref(tgt->openings_us);
	g_free(tgt->name);
	g_free(tgt);
}

static void service_free_sim(gpointer data)
{
	struct sim_service *svc = data;

	g_free(svc->name);
	g_free(svc->org);
	g_free(svc->address);
	g_free(svc);
}

static void org_free(gpointer data)
{
	struct sim_org *org = data;

	g_free(org->name);
	g_free(org);
}

static void version_free(gpointer data)
{
	struct sim_version *ver = data;

	g_free(ver->name);
	g_free(ver->document);
	g_free(ver);
}

static void sim_init(struct sim *sim, const struct trace *trace, const struct replay_options *opts)
{
	*sim = (struct sim){
		.trace = trace,
		.notes = opts->notes,
		.local_us = 300,
		.dc_us = 4000,
		.caller_us = 1000,
		.platform_us = 5000,
		.jitter_permille = 200,
		.detect_ms = 300,
		.list_lag_ms = 2000,
		.measure_from_us = SETTLE_MS * SIM_US_PER_MS,
		.measure_to_us = INT64_MAX,
	};
	seeded_random_init(&sim->random, opts->seed);
	for (size_t i = 0; i < sizeof(sim->flow_key); i++)
		sim->flow_key[i] = (unsigned char)sim_below(sim, 256);
	sim->heap = g_array_new(FALSE, FALSE, sizeof(struct sim_event *));
	sim->instances = g_ptr_array_new_with_free_func(instance_free);
	sim->targets = g_ptr_array_new_with_free_func(target_free);
	sim->services = g_ptr_array_new_with_free_func(service_free_sim);
	sim->orgs = g_ptr_array_new_with_free_func(org_free);
	sim->versions = g_ptr_array_new_with_free_func(version_free);
	sim->groups = g_ptr_array_new_with_free_func(g_free);
	sim->calls = g_hash_table_new_full(NULL, NULL, NULL, call_free);
	sim->flows = g_array_new(FALSE, TRUE, sizeof(struct sim_flow));
	sim->generators = g_array_new(FALSE, FALSE, sizeof(struct sim_generator));
	sim->m.answer_ms = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

static void sim_release(struct sim *sim)
{
	while (sim->heap->len)
		event_free(heap_pop(sim));
	g_array_unref(sim->heap);
	g_ptr_array_unref(sim->instances);
	g_ptr_array_unref(sim->targets);
	g_ptr_array_unref(sim->services);
	g_ptr_array_unref(sim->orgs);
	g_ptr_array_unref(sim->versions);
	g_ptr_array_unref(sim->groups);
	g_hash_table_unref(sim->calls);
	g_array_unref(sim->flows);
	g_array_unref(sim->generators);
	g_array_unref(sim->m.answer_ms);
	for (uint32_t i = 0; i < sim->nr_dcs; i++)
		g_free(sim->dcs[i].name);
}

/* Names of timed lines are checked before the run, so that a wrong trace has no report. */
static bool names_known(struct sim *sim, const struct trace_line *line)
{
	const char *name = line->arg[0];

	switch (line->verb) {
	case TRACE_OPEN:
	case TRACE_CROSS:
		return find_service(sim, name) != UINT32_MAX;
	case TRACE_KILL:
	case TRACE_PAUSE:
	case TRACE_RESUME:
	case TRACE_START:
	case TRACE_LEAVE:
		return find_instance(sim, name) != UINT32_MAX;
	case TRACE_DRAIN:
	case TRACE_ADD:
	case TRACE_DIE:
	case TRACE_COLD:
	case TRACE_SILENT:
	case TRACE_SHED:
	case TRACE_REPORT:
		return find_target(sim, name) != UINT32_MAX;
	case TRACE_CUT:
	case TRACE_HEAL:
	case TRACE_WITHDRAW:
	case TRACE_RESTORE:
		return find_dc(sim, name) != UINT32_MAX;
	case TRACE_CHANGE:
		return find_org(sim, name) != UINT32_MAX;
	case TRACE_PLATFORM:
		return !strcmp(name, "up") || !strcmp(name, "down");
	default:
		return true;
	}
}

static int set_up(struct sim *sim, const struct replay_options *opts, GString *faults)
{
	gsize before_len = faults->len;
	const char *policy = opts->policy ? opts->policy : "product";

	while (replay_policies[sim->variant].name &&
	       strcmp(replay_policies[sim->variant].name, policy) != 0)
		sim->variant++;
	if (!replay_policies[sim->variant].name)
		g_string_append_printf(faults, "unknown policy \"%s\"\n", policy);
	for (guint n = 0; n < sim->trace->lines->len; n++) {
		const struct trace_line *line =
			&g_array_index(sim->trace->lines, struct trace_line, n);
		const char *fault = add_line(sim, line);

		if (!fault && !names_known(sim, line))
			fault = "unknown name";
		if (fault)
			g_string_append_printf(faults, "line %u: %s\n", line->number, fault);
	}
	if (!sim->instances->len || !sim->targets->len || !sim->end_us)
		g_string_append(faults, "a trace needs dc, service, targets and end\n");
	return faults->len == before_len ? 0 : -EINVAL;
}

static void run(struct sim *sim)
{
	sim_publish_grants(sim);
	for (guint i = 0; i < sim->orgs->len; i++)
		sim_publish_org(sim, ((struct sim_org *)g_ptr_array_index(sim->orgs, i))->name);
	for (uint32_t i = 0; i < sim->instances->len; i++)
		sim_instance_start(sim, i);
	schedule_lines(sim);
	sim_schedule(sim, 0, SIM_SAMPLE, 0, 0);
	while (sim->heap->len && heap_at(sim, 0)->at_us <= sim->end_us) {
		struct sim_event *ev = heap_pop(sim);

		sim->now_us = ev->at_us;
		dispatch(sim, ev);
		event_free(ev);
	}
	for (uint32_t i = 0; i < sim->instances->len; i++)
		sim_instance_kill(sim, i);
}

int replay_run(const struct trace *trace, const struct replay_options *opts, GString *report,
	       GString *faults)
{
	struct sim sim;
	int ret;

	sim_init(&sim, trace, opts);
	ret = set_up(&sim, opts, faults);
	if (!ret) {
		run(&sim);
		write_report(&sim, opts, report);
	}
	sim_release(&sim);
	return ret;
}

/* Stated outcomes. */

static bool find_value(const char *report, const char *key, int64_t *value)
{
	size_t len = strlen(key);

	for (const char *p = report; p && *p; p = strchr(p, '\n') ? strchr(p, '\n') + 1 : NULL) {
		if (strncmp(p, key, len) != 0 || strncmp(p + len, " = ", 3) != 0)
			continue;
		*value = g_ascii_strtoll(p + len + 3, NULL, 10);
		return true;
	}
	return false;
}

static bool holds(int64_t value, const char *op, int64_t bound)
{
	switch (op[0]) {
	case '<':
		return op[1] ? value <= bound : value < bound;
	case '>':
		return op[1] ? value >= bound : value > bound;
	default:
		return value == bound;
	}
}

int replay_check(const char *report, const char *text, const char *path, GString *faults)
{
	static const char *const ops[] = { "=", "<", "<=", ">", ">=", NULL };
	char **lines = g_strsplit(text, "\n", -1);
	int failed = 0;

	for (unsigned int n = 0; lines[n] && failed >= 0; n++) {
		char key[64];
		char op[3];
		long bound;
		int64_t value = 0;
		char *hash = strchr(lines[n], '#');

		if (hash)
			*hash = '\0';
		if (!*g_strstrip(lines[n]))
			continue;
		if (sscanf(lines[n], "%63[a-z_0-9] %2[<>=] %ld", key, op, &bound) != 3 ||
		    !g_strv_contains(ops, op)) {
			g_string_append_printf(faults, "%s:%u: expected: KEY OP NUMBER\n", path,
					       n + 1);
			failed = -EINVAL;
		} else if (!find_value(report, key, &value) || !holds(value, op, bound)) {
			g_string_append_printf(faults, "%s:%u: %s is %ld, stated %s %ld\n", path,
					       n + 1, key, (long)value, op, bound);
			failed++;
		}
	}
	g_strfreev(lines);
	return failed;
}
