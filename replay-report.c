#include "replay-internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define SAMPLE_INTERVAL_MS	50
#define FLOW_SAMPLE_INTERVAL_MS 1000

/* Measurements. */

static void sample_flows(struct sim *sim)
{
	if (sim->now_us < sim->measure_from_us || sim->now_us >= sim->measure_to_us)
		return;
	for (uint32_t t = 0; t < sim->targets->len; t++)
		sim_target(sim, t)->flow_samples += sim_target_flows(sim, t);
}

void sim_sample(struct sim *sim)
{
	sim_check_versions(sim);
	if (sim->now_us / SIM_US_PER_MS % FLOW_SAMPLE_INTERVAL_MS == 0)
		sample_flows(sim);
	sim_schedule(sim, SAMPLE_INTERVAL_MS * SIM_US_PER_MS, SIM_SAMPLE, 0, 0);
}

/* Highest value relative to the mean of a service's undisturbed targets, in per mille; the worst
 * service counts. */
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

static uint64_t ratio_permille(uint64_t part, uint64_t whole)
{
	return whole ? part * 1000 / whole : 1000;
}

static void put_value(GString *report, const char *key, uint64_t value)
{
	g_string_append_printf(report, "%s = %" G_GUINT64_FORMAT "\n", key, value);
}

static uint64_t versions_behind(const struct sim *sim)
{
	uint64_t nr = 0;

	for (guint v = 0; v < sim->versions->len; v++) {
		const struct sim_version *ver = g_ptr_array_index(sim->versions, v);

		nr += ver->applied_by_all_us < 0;
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
		flows = MAX(flows, inst->peak_flows);
		pins = MAX(pins, inst->peak_pins);
	}
	put_value(report, "control_bytes_per_s", control);
	put_value(report, "pass_bytes_per_s", pass);
	put_value(report, "passed_on_permille",
		  sum->packets_in ? sum->passed_on * 1000 / sum->packets_in : 0);
	put_value(report, "flow_entry_bytes", sizeof(struct flow));
	put_value(report, "most_cached_flows", flows);
	put_value(report, "most_pins", pins);
	put_value(report, "platform_calls", sim->m.platform_calls);
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

void sim_write_report(struct sim *sim, const struct replay_options *opts, GString *report)
{
	struct sim_measurements *m = &sim->m;
	struct counters sum;

	sum_counters(sim, &sum);
	g_array_sort(m->answer_ms, compare_ms);
	g_string_append_printf(report, "policy = %s\n", replay_policies[sim->variant].name);
	put_value(report, "seed", opts->seed);
	put_value(report, "flows_opened", m->opened);
	put_value(report, "flows_established", m->established);
	put_value(report, "flows_refused", m->refused);
	put_value(report, "flows_unanswered", m->unanswered);
	put_value(report, "flows_closed", m->closed);
	put_value(report, "broken_flows", m->broken);
	put_value(report, "ended_with_target", m->exempt);
	put_value(report, "requests", m->requests);
	put_value(report, "answered", m->answered);
	put_value(report, "answered_permille", ratio_permille(m->answered, m->requests));
	put_value(report, "answered_after_permille",
		  ratio_permille(m->answered_after_fault, m->requests_after_fault));
	put_value(report, "answer_ms_median", percentile(m->answer_ms, 500));
	put_value(report, "answer_ms_99", percentile(m->answer_ms, 990));
	put_value(report, "answer_ms_max", percentile(m->answer_ms, 1000));
	put_value(report, "run_twice", m->run_twice);
	put_value(report, "false_refusals", m->false_refusals);
	put_value(report, "crossed", m->crossed);
	put_value(report, "wrong_service", m->wrong_service);
	put_value(report, "falls", m->overload_restarts);
	put_value(report, "peak_start_share", m->peak_start_share);
	put_value(report, "withdrawn_last_packet_ms",
		  (uint64_t)(m->withdrawn_last_us / SIM_US_PER_MS));
	put_value(report, "drained_last_flow_ms", (uint64_t)(m->drained_last_us / SIM_US_PER_MS));
	put_value(report, "config_everywhere_ms",
		  (uint64_t)(m->max_config_delay_us / SIM_US_PER_MS));
	put_value(report, "config_behind", versions_behind(sim));
	put_value(report, "config_reverts", m->config_reverts);
	put_value(report, "imbalance_flows", imbalance(sim, false));
	put_value(report, "imbalance_openings", imbalance(sim, true));
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
#define COUNTER_PUT(name, help) put_value(report, "total_" #name, sum.name);
	COUNTER_LIST(COUNTER_PUT)
#undef COUNTER_PUT
}

/* Expected outcomes. */

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

static bool satisfies(int64_t value, const char *op, int64_t bound)
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
		} else if (!find_value(report, key, &value) || !satisfies(value, op, bound)) {
			g_string_append_printf(faults, "%s:%u: %s is %ld, expected %s %ld\n", path,
					       n + 1, key, (long)value, op, bound);
			failed++;
		}
	}
	g_strfreev(lines);
	return failed;
}
