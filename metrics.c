#include "metrics.h"

#include <inttypes.h>

#include "flowtab.h"

static const char *const type_names[PEER_TYPES] = {
	[PEER_NULL] = "null",
	[PEER_HEARTBEAT] = "heartbeat",
	[PEER_SHARD_ANNOUNCE] = "shard_announce",
	[PEER_SHARD_ACK] = "shard_ack",
	[PEER_SHARD_PULL] = "shard_pull",
	[PEER_SHARD_STATE] = "shard_state",
	[PEER_PASS] = "pass",
	[PEER_PASS_RESULT] = "pass_result",
	[PEER_PIN_BATCH] = "pin_batch",
	[PEER_ANSWER_NOTE] = "answer_note",
	[PEER_FLOW_QUERY] = "flow_query",
	[PEER_FLOW_ANSWER] = "flow_answer",
	[PEER_CONFIG_DIGEST] = "config_digest",
	[PEER_CONFIG_PULL] = "config_pull",
	[PEER_CONFIG_OBJECT] = "config_object",
};

const char *message_type_name(unsigned int type)
{
	return type < PEER_TYPES ? type_names[type] : "unknown";
}

static void add_head(GString *out, const char *name, const char *type, const char *help)
{
	g_string_append_printf(out,
			       "# HELP " METRICS_PREFIX "%s %s\n# TYPE " METRICS_PREFIX "%s %s\n",
			       name, help, name, type);
}

void metrics_add(GString *out, const char *name, const char *type, const char *help, uint64_t value)
{
	add_head(out, name, type, help);
	g_string_append_printf(out, METRICS_PREFIX "%s %" PRIu64 "\n", name, value);
}

void metrics_add_label(GString *out, const char *name, const char *value)
{
	g_string_append_printf(out, "%s=\"", name);
	for (; *value; value++) {
		if (*value == '\n')
			g_string_append(out, "\\n");
		else if (*value == '\\' || *value == '"')
			g_string_append_printf(out, "\\%c", *value);
		else
			g_string_append_c(out, *value);
	}
	g_string_append_c(out, '"');
}

void metrics_add_counters(GString *out, const struct counters *cnt)
{
#define ADD_COUNTER(name, help) metrics_add(out, #name "_total", "counter", help, cnt->name);
	COUNTER_LIST(ADD_COUNTER)
#undef ADD_COUNTER
}

static void add_traffic(GString *out, const char *name, const char *help, const uint64_t *by_type)
{
	add_head(out, name, "counter", help);
	for (unsigned int type = PEER_HEARTBEAT; type < PEER_TYPES; type++)
		g_string_append_printf(out, METRICS_PREFIX "%s{type=\"%s\"} %" PRIu64 "\n", name,
				       type_names[type], by_type[type]);
}

static void add_homes(GString *out, const struct homes *homes)
{
	struct homes_status st;

	homes_get_status(homes, &st);
	metrics_add(out, "shards_homed", "gauge", "shards whose home is here", st.homed);
	metrics_add(out, "shards_uncertain", "gauge",
		    "shards homed here that may not tell flows by elimination", st.uncertain);
	metrics_add(out, "buckets_shared", "gauge", "buckets in mode shared", st.shared);
	metrics_add(out, "pins_held", "gauge", "pins held", st.pins);
	metrics_add(out, "packets_parked", "gauge", "packets that wait for a home's answer",
		    st.parked);
}

/* A metric with one value per target; the format requires its lines to be consecutive. */
struct target_metric {
	const char *name;
	const char *help;
	uint64_t (*value)(const struct target_status *st);
	const char *type;
};

static uint64_t get_eligible(const struct target_status *st)
{
	return st->eligible;
}

static uint64_t get_share(const struct target_status *st)
{
	return st->share_permille;
}

static uint64_t get_load(const struct target_status *st)
{
	return st->load_permille;
}

static uint64_t get_report_age(const struct target_status *st)
{
	return st->report_age_ms;
}

static uint64_t get_flows(const struct target_status *st)
{
	return st->flows;
}

static uint64_t get_good(const struct target_status *st)
{
	return st->good;
}

static uint64_t get_bad(const struct target_status *st)
{
	return st->bad;
}

static const struct target_metric target_metrics[] = {
	{ "target_eligible", "1 when the target takes new flows", get_eligible, "gauge" },
	{ "target_share_permille", "slow start share, 1000 when warm", get_share, "gauge" },
	{ "target_load_permille", "load that the target reported", get_load, "gauge" },
	{ "target_report_age_ms", "age of the target's report", get_report_age, "gauge" },
	{ "target_flows", "flows opened here to the target and not closed", get_flows, "gauge" },
	{ "target_flows_good_total", "flows that the target accepted", get_good, "counter" },
	{ "target_flows_bad_total", "flows that the target shed or that were terminated", get_bad,
	  "counter" },
};

struct target_writer {
	GString *out;
	const struct instance_view *view;
	const struct target_metric *metric;
};

static void add_service_targets(struct service *svc, void *arg)
{
	const struct target_writer *writer = arg;
	const struct organisation *org =
		config_organisation(core_config(writer->view->core), svc->org);
	struct target_status st;

	for (guint i = 0; i < svc->targets->len; i++) {
		const struct target_config *tgt =
			&g_array_index(svc->targets, struct target_config, i);

		target_get_status(core_targets(writer->view->core), tgt->index, writer->view->now,
				  &st);
		g_string_append_printf(writer->out, METRICS_PREFIX "%s{", writer->metric->name);
		metrics_add_label(writer->out, "organisation", org ? org->name : "");
		g_string_append_c(writer->out, ',');
		metrics_add_label(writer->out, "service", svc->name);
		g_string_append_c(writer->out, ',');
		metrics_add_label(writer->out, "target", tgt->name);
		g_string_append_printf(writer->out, "} %" PRIu64 "\n", writer->metric->value(&st));
	}
}

static void add_service_refused(struct service *svc, void *arg)
{
	const struct target_writer *writer = arg;
	const struct organisation *org =
		config_organisation(core_config(writer->view->core), svc->org);

	g_string_append(writer->out, METRICS_PREFIX "service_flows_refused_total{");
	metrics_add_label(writer->out, "organisation", org ? org->name : "");
	g_string_append_c(writer->out, ',');
	metrics_add_label(writer->out, "service", svc->name);
	g_string_append_printf(writer->out, "} %" PRIu64 "\n",
			       targets_get_refused(core_targets(writer->view->core), svc));
}

static void add_generation(const struct object *obj, void *arg)
{
	static const char *const kinds[] = {
		[PEER_OBJECT_ORGANISATION] = "organisation",
		[PEER_OBJECT_DATA_CENTRE] = "data_centre",
		[PEER_OBJECT_GRANTS] = "grants",
	};
	GString *out = arg;

	g_string_append_printf(out, METRICS_PREFIX "config_generation{kind=\"%s\",",
			       kinds[obj->kind]);
	metrics_add_label(out, "name", obj->name);
	g_string_append_printf(out, "} %" PRIu64 "\n", obj->generation);
}

void metrics_write(GString *out, const struct instance_view *view)
{
	struct core *core = view->core;

	metrics_add_counters(out, core_counters(core));
	if (view->traffic) {
		add_traffic(out, "peer_message_bytes_in_total", "bytes from peers by message type",
			    view->traffic->in);
		add_traffic(out, "peer_message_bytes_out_total", "bytes to peers by message type",
			    view->traffic->out);
	}
	metrics_add(out, "send_lost_total", "counter",
		    "packets that the kernel did not take for sending", view->lost_packets);
	metrics_add(out, "uptime_seconds", "gauge", "time since the start",
		    (uint64_t)(ts_diff_ms(view->now, view->start) / MSEC_PER_SEC));
	metrics_add(out, "leaving", "gauge", "1 during a planned stop", view->leaving);
	metrics_add(out, "platform_reachable", "gauge", "1 while the platform answers",
		    view->platform_reachable);
	metrics_add(out, "peer_calls_open", "gauge", "peer calls without a result yet",
		    view->calls_open);
	metrics_add(out, "members", "gauge", "members of the entry group, with this instance",
		    members_count(core_members(core)));
	metrics_add(out, "flows", "gauge", "flows in the flow cache",
		    flowtab_count(core_flows(core)));
	add_homes(out, core_homes(core));
	add_head(out, "config_generation", "gauge",
		 "generation of a configuration object in force");
	config_each_object(core_config(core), add_generation, out);
	add_head(out, "service_flows_refused_total", "counter",
		 "openings of the service that were refused without a target");
	config_each_service(core_config(core), add_service_refused,
			    &(struct target_writer){ out, view, NULL });
	for (size_t i = 0; i < G_N_ELEMENTS(target_metrics); i++) {
		struct target_writer writer = { out, view, &target_metrics[i] };

		add_head(out, target_metrics[i].name, target_metrics[i].type,
			 target_metrics[i].help);
		config_each_service(core_config(core), add_service_targets, &writer);
	}
}

const char *metrics_unhealthy_reason(const struct instance_view *view)
{
	if (view->leaving)
		return "leaving";
	return config_ready(core_config(view->core)) ? NULL : "no configuration in force";
}
