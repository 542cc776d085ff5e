#include "replay-internal.h"

#define TARGET_PORT	  6080
#define DEFAULT_SLOTS	  2
#define DEFAULT_MAX_FLOWS 2000
#define DEFAULT_WARMUP_MS 30000

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

/* Lines about the fleet. Each function returns a fault, or NULL. */

static const char *add_dc(struct sim *sim, const struct trace_line *line)
{
	const char *group = trace_text(line, "group", "main");
	guint group_index;

	if (sim->nr_dcs == SIM_MAX_DCS || find_dc(sim, line->arg[0]) != UINT32_MAX)
		return "duplicate data centre, or too many";
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
		return "unknown service or data centre, or count not in 1 to 4096";
	for (int64_t n = 1; n <= count; n++) {
		struct sim_target *tgt = g_new0(struct sim_target, 1);

		tgt->name = g_strdup_printf("%s-%d", line->arg[0], (int)n);
		tgt->service = s;
		tgt->dc = dc;
		tgt->ep.ip = (10u << 24) + ((100 + find_org(sim, sim_service(sim, s)->org)) << 16) +
			     sim->targets->len + 1;
		tgt->ep.port = TARGET_PORT;
		tgt->slots = (uint32_t)trace_number(line, "slots", DEFAULT_SLOTS);
		tgt->max_flows = (uint32_t)trace_number(line, "max_flows", DEFAULT_MAX_FLOWS);
		tgt->warmup_ms = (uint32_t)trace_number(line, "warmup_ms", DEFAULT_WARMUP_MS);
		tgt->capacity = (uint32_t)trace_number(line, "bears", 0);
		tgt->fragile = trace_number(line, "fragile", 0);
		tgt->configured = !trace_number(line, "later", 0);
		tgt->disturbed = !tgt->configured;
		tgt->marker = 1;
		tgt->started_us = tgt->drained_us = tgt->withdrawn_us = -1;
		tgt->forced_load_permille = tgt->forced_ready = -1;
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
			return "negative value";
	}
	return NULL;
}

const char *sim_add_line(struct sim *sim, const struct trace_line *line)
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
		return sim->end_us > 0 ? NULL : "end is not a positive time in ms";
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
	sim_schedule(sim, 0, SIM_OPEN_FLOW, sim->generators->len - 1, 0);
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

static void publish_target_org(struct sim *sim, const struct sim_target *tgt)
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
		publish_target_org(sim, tgt);
		break;
	case TRACE_ADD:
		tgt->configured = true;
		tgt->draining = false;
		tgt->drained_us = -1;
		sim_target_restart(sim, t, false);
		publish_target_org(sim, tgt);
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
		sim_target_stop_answers(sim, t);
		break;
	case TRACE_SHED:
		tgt->shed = trace_number(line, "on", 1);
		break;
	case TRACE_REPORT:
		tgt->forced_load_permille = trace_number(line, "load", -1);
		tgt->forced_ready = trace_number(line, "ready", -1);
		tgt->report_lag_ms = trace_number(line, "lag_ms", 0);
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
			/* Idle, its caches and pools have emptied: it is cold again. */
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
		sim_set_platform_down(sim, sim->platform_down);
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

bool sim_run_line(struct sim *sim, const struct trace_line *line)
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
			sim_send_wrong_answers(sim, s, (uint32_t)trace_number(line, "count", 1));
		return s != UINT32_MAX;
	case TRACE_CUT:
	case TRACE_HEAL:
		return do_cut(sim, line);
	case TRACE_PLATFORM:
		sim_set_platform_down(sim, !strcmp(line->arg[0], "down"));
		return true;
	case TRACE_WITHDRAW:
	case TRACE_RESTORE:
		return do_dc(sim, line);
	case TRACE_CHANGE:
		return do_change(sim, line);
	case TRACE_LINK:
		return !set_net(sim, line);
	case TRACE_SHOW:
		sim_note_state(sim);
		return true;
	default:
		return true;
	}
}

/* "roll" restarts every instance, one after another. */
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

void sim_schedule_lines(struct sim *sim)
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
			sim_schedule(sim, (line->at_ms + k * every) * SIM_US_PER_MS, SIM_TRACE_LINE,
				     n, 0);
	}
}

bool sim_names_known(struct sim *sim, const struct trace_line *line)
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
