#include "edge-metrics.h"

#include "metrics.h"
#include "timeutil.h"

static void add_gauge(GString *out, const char *name, const char *help, uint64_t value)
{
	metrics_add(out, name, "gauge", help, value);
}

static void add_age(GString *out, const struct edge_status *status, enum control_kind kind,
		    const char *name, const char *help)
{
	const struct timespec last_answer = status->control_state->last_answer[kind];

	if (last_answer.tv_sec || last_answer.tv_nsec)
		add_gauge(out, name, help, (uint64_t)MAX(ts_diff_ms(status->now, last_answer), 0));
}

struct phase_counts {
	uint64_t phases[TARGET_GONE + 1];
	uint64_t suspected;
	uint64_t dead;
};

static void count_target(struct reg_target *tgt, void *arg)
{
	struct phase_counts *counts = arg;

	counts->phases[tgt->phase]++;
	counts->suspected += tgt->trust == TRUST_SUSPECTED;
	counts->dead += tgt->trust == TRUST_DEAD;
}

static void add_relay(GString *out, const struct relay *relay)
{
	const struct counters *cnt = relay_counters(relay);

	add_gauge(out, "relay_following",
		  "1 while this instance receives store changes from a reader",
		  relay_role(relay) == RELAY_FOLLOWING);
	add_gauge(out, "relay_reading", "1 while this instance reads the store for others",
		  relay_role(relay) == RELAY_READING);
	add_gauge(out, "relay_followers", "instances that receive store changes from this one",
		  relay_followers(relay));
	metrics_add(out, "relay_in_total", "counter", "messages accepted", cnt->peer_in);
	metrics_add(out, "relay_out_total", "counter", "messages sent", cnt->peer_out);
	metrics_add(out, "relay_bytes_in_total", "counter", "bytes of messages accepted",
		    cnt->peer_bytes_in);
	metrics_add(out, "relay_bytes_out_total", "counter", "bytes of messages sent",
		    cnt->peer_bytes_out);
	metrics_add(out, "relay_unsent_total", "counter",
		    "messages not sent because they are too long or cannot be encoded",
		    cnt->peer_unsent);
	metrics_add(out, "relay_malformed_total", "counter", "messages that cannot be decoded",
		    cnt->peer_bad);
	metrics_add(out, "relay_unauthentic_total", "counter", "messages that fail authentication",
		    cnt->peer_unauthentic);
	metrics_add(out, "relay_replayed_total", "counter", "messages rejected as replays",
		    cnt->peer_replayed);
}

static void add_credits(GString *out, const struct exchange *ex, struct timespec now)
{
	struct exchange_status status;

	exchange_status(ex, now, &status);
	add_gauge(out, "credit_members", "instances whose demand this one allocates credits to",
		  status.members);
	add_gauge(out, "credit_services", "services that take part in the allocation of credits",
		  status.services);
	add_gauge(out, "credit_targets_left_out", "targets left out in part because they fail",
		  status.left_out);
	add_gauge(out, "credits_lent", "credits lent to other data centres", status.lent);
	add_gauge(out, "credits_borrowed", "credits borrowed from other data centres",
		  status.borrowed);
	add_gauge(out, "credits_held", "credits held by this instance", status.held);
	add_gauge(out, "credits_in_use", "requests in progress at targets with credits",
		  status.in_use);
	add_gauge(out, "credit_grant_in_force", "1 while this instance has a grant of credits",
		  status.age_ms >= 0);
	if (status.age_ms >= 0)
		add_gauge(out, "credit_grant_age_milliseconds", "age of the grant in force",
			  (uint64_t)status.age_ms);
}

void edge_metrics_write(GString *out, const struct edge_status *status)
{
	struct control_state *cs = status->control_state;
	struct phase_counts counts = { 0 };

#define ADD_COUNTER(name, help)                                                                    \
	metrics_add(out, #name "_total", "counter", help, cs->counters.name);
	EDGE_COUNTER_LIST(ADD_COUNTER)
#undef ADD_COUNTER
	registry_each(cs->registry, count_target, &counts);
	add_gauge(out, "flows", "flows in the flow table", steer_flow_count(cs->steer));
	add_gauge(out, "openings_waiting", "openings that wait for a usable target",
		  steer_waiting_count(cs->steer));
	add_gauge(out, "targets_ready", "targets that are ready", counts.phases[TARGET_READY]);
	add_gauge(out, "targets_draining", "targets that are draining",
		  counts.phases[TARGET_DRAINING]);
	add_gauge(out, "targets_remembered", "targets that have left and are kept for their flows",
		  counts.phases[TARGET_GONE]);
	add_gauge(out, "targets_suspected_now", "targets being verified", counts.suspected);
	add_gauge(out, "targets_dead_now", "listed targets found dead", counts.dead);
	add_gauge(out, "config_version", "version of the configuration in force",
		  routing_version(cs->routing));
	add_gauge(out, "routes", "routes in force", routing_count(cs->routing));
	add_gauge(out, "store_lost", "1 while the store does not answer", cs->store_lost);
	add_gauge(out, "stopping", "1 during a planned stop", status->stopping);
	add_gauge(out, "uptime_seconds", "time since the start",
		  (uint64_t)(ts_diff_ms(status->now, status->started) / MSEC_PER_SEC));
	add_age(out, status, CONTROL_TARGETS, "targets_age_milliseconds",
		"time since the store last answered about targets");
	add_age(out, status, CONTROL_CONFIG, "config_age_milliseconds",
		"time since the store last answered about the configuration");
	if (status->relay)
		add_relay(out, status->relay);
	if (status->relay && relay_exchange(status->relay))
		add_credits(out, relay_exchange(status->relay), status->now);
	histogram_write(out, steer_accept_times(cs->steer), "opening_seconds",
			"time from an opening to the first packet after its acceptance");
	histogram_write(out, steer_target_list_ages(cs->steer), "belief_age_seconds",
			"age of the target data when an opening is placed");
	histogram_write(out, &cs->store_times, "store_call_seconds",
			"duration of calls to the store other than watches");
	histogram_write(out, status->loop_delays, "loop_delay_seconds",
			"delay of the loop's timer after its scheduled time");
}
