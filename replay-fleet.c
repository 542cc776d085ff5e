/* The fleet of a replay: instances, the network between them, and the platform. */
#include "replay-internal.h"

#include <string.h>

#define INBOX_MAX_EVENTS       4096 /* datagrams queued for a paused process; more are dropped */
#define RECONNECT_MAX_MS       1000
#define FLOW_TABLE_MAX_FLOWS   65536
#define FABRIC_RETRY_MS	       100
#define RESUME_GRACE_MS	       2000
#define PROBE_TIMEOUT_MS       1000
#define CONTROL_OVERHEAD_BYTES 104 /* ONC RPC call header and seal */
#define NO_TARGET	       UINT32_MAX

static void instance_handle(struct sim *sim, uint32_t i, struct event *ev);
static void schedule_list_update(struct sim *sim, uint32_t i);

int64_t sim_delay(struct sim *sim, uint32_t dc_a, uint32_t dc_b)
{
	int64_t us = dc_a == dc_b ? sim->local_us : sim->dc_us;

	return us + us * sim_random_below(sim, (uint32_t)sim->jitter_permille + 1) / 1000;
}

/* Whether a datagram is lost; only links between data centres lose any. */
static bool link_drops(struct sim *sim, uint32_t dc_a, uint32_t dc_b)
{
	return dc_a != dc_b && sim->loss && sim_random_below(sim, 1000) < sim->loss;
}

static bool peers_cut(const struct sim *sim, uint32_t dc_a, uint32_t dc_b)
{
	return dc_a != dc_b && (sim->dcs[dc_a].cut_peers || sim->dcs[dc_b].cut_peers);
}

static bool platform_reachable(const struct sim *sim, uint32_t i)
{
	return !sim->platform_down && !sim->dcs[sim_instance(sim, i)->dc].cut_platform;
}

static bool targets_cut(const struct sim *sim, uint32_t dc_a, uint32_t dc_b)
{
	return dc_a != dc_b && (sim->dcs[dc_a].cut_targets || sim->dcs[dc_b].cut_targets);
}

/* Platform: versions, watches and the list of instances. */

static const struct sim_version *latest_version(const struct sim *sim, peer_object_kind kind,
						const char *name)
{
	for (guint v = sim->versions->len; v-- > 0;) {
		const struct sim_version *ver = g_ptr_array_index(sim->versions, v);

		if (ver->kind == kind && !strcmp(ver->name, name))
			return ver;
	}
	return NULL;
}

static void send_full_state(struct sim *sim, uint32_t i, int64_t after_us)
{
	for (guint v = 0; v < sim->versions->len; v++) {
		const struct sim_version *ver = g_ptr_array_index(sim->versions, v);

		if (latest_version(sim, ver->kind, ver->name) == ver)
			sim_schedule(sim, after_us, SIM_OBJECT, i, v);
	}
	sim_schedule(sim, after_us, SIM_INSTANCE_LIST, i, 0);
}

static void set_watch(struct sim *sim, uint32_t i, bool on)
{
	struct sim_instance *inst = sim_instance(sim, i);
	struct event ev = { .type = EVENT_PLATFORM };

	if (inst->watching == on)
		return;
	inst->watching = on;
	sim->m.platform_calls++;
	if (!on || !platform_reachable(sim, i))
		return;
	ev.platform.reachable = true;
	instance_handle(sim, i, &ev);
	send_full_state(sim, i, sim->platform_us);
}

void sim_set_platform_down(struct sim *sim, bool down)
{
	sim->platform_down = down;
	/* Changes during the outage appear in the list after the lag. */
	for (uint32_t i = 0; !down && i < sim->instances->len; i++) {
		if (sim_instance(sim, i)->incarnation)
			schedule_list_update(sim, i);
	}
	for (uint32_t i = 0; i < sim->instances->len; i++) {
		struct event ev = { .type = EVENT_PLATFORM };

		if (!sim_instance(sim, i)->watching)
			continue;
		ev.platform.reachable = platform_reachable(sim, i);
		instance_handle(sim, i, &ev);
		if (ev.platform.reachable)
			send_full_state(sim, i,
					(int64_t)sim_random_below(sim, RECONNECT_MAX_MS) *
						SIM_US_PER_MS);
	}
}

static void publish(struct sim *sim, peer_object_kind kind, const char *name, uint64_t *generation,
		    char *document)
{
	struct sim_version *ver;

	if (sim->platform_down) {
		g_free(document);
		return;
	}
	ver = g_new0(struct sim_version, 1);
	*ver = (struct sim_version){
		.kind = kind,
		.name = g_strdup(name),
		.generation = *generation,
		.document = document,
		.at_us = sim->now_us,
		.applied_by_all_us = -1,
	};
	g_ptr_array_add(sim->versions, ver);
	for (uint32_t i = 0; i < sim->instances->len; i++) {
		if (sim_instance(sim, i)->watching && platform_reachable(sim, i))
			sim_schedule(sim, sim->platform_us, SIM_OBJECT, i, sim->versions->len - 1);
	}
}

static void add_target_json(const struct sim *sim, GString *doc, const struct sim_target *tgt)
{
	g_string_append_printf(
		doc,
		"{\"name\":\"%s\",\"address\":\"%u.%u.%u.%u:%u\",\"data_centre\":\"%s\","
		"\"slots\":%u,\"max_flows\":%u,\"warmup_ms\":%u,\"health\":\"%u.%u.%u.%u:8080\","
		"\"draining\":%s}",
		tgt->name, tgt->ep.ip >> 24, tgt->ep.ip >> 16 & 255, tgt->ep.ip >> 8 & 255,
		tgt->ep.ip & 255, tgt->ep.port, sim->dcs[tgt->dc].name, tgt->slots, tgt->max_flows,
		sim->variant == VARIANT_NO_SLOW_START ? 0 : tgt->warmup_ms, tgt->ep.ip >> 24,
		tgt->ep.ip >> 16 & 255, tgt->ep.ip >> 8 & 255, tgt->ep.ip & 255,
		tgt->draining && sim->variant != VARIANT_NO_DRAIN ? "true" : "false");
}

static void add_service_json(const struct sim *sim, GString *doc, uint32_t s)
{
	const struct sim_service *svc = sim_service(sim, s);
	bool first = true;

	g_string_append_printf(
		doc,
		"{\"name\":\"%s\",\"address\":\"%s\",\"protocol\":\"tcp\",\"idle_timeout_ms\":%ld,"
		"\"silence_ms\":%ld,\"retry_permille\":%ld,\"targets\":[",
		svc->name, svc->address, (long)trace_number(svc->line, "idle_ms", 3600000),
		(long)trace_number(svc->line, "silence_ms", 15000),
		(long)trace_number(svc->line, "retry_permille", 100));
	for (uint32_t t = 0; t < sim->targets->len; t++) {
		const struct sim_target *tgt = sim_target(sim, t);

		if (tgt->service != s || !tgt->configured)
			continue;
		if (!first)
			g_string_append_c(doc, ',');
		first = false;
		add_target_json(sim, doc, tgt);
	}
	g_string_append(doc, "]}");
}

void sim_publish_org(struct sim *sim, const char *name)
{
	GString *doc = g_string_new(NULL);
	struct sim_org *org = NULL;
	bool first = true;

	for (guint i = 0; i < sim->orgs->len; i++) {
		org = g_ptr_array_index(sim->orgs, i);
		if (!strcmp(org->name, name))
			break;
	}
	if (!org || sim->platform_down) {
		g_string_free(doc, TRUE);
		return;
	}
	org->generation++;
	g_string_printf(doc,
			"{\"organisation\":\"%s\",\"generation\":%lu,\"request_id\":\"%lx\","
			"\"author\":\"replay\",\"time\":\"2026-12-04T05:00:00Z\",\"services\":[",
			name, (unsigned long)org->generation, (unsigned long)org->generation);
	for (uint32_t s = 0; s < sim->services->len; s++) {
		if (strcmp(sim_service(sim, s)->org, name) != 0)
			continue;
		if (!first)
			g_string_append_c(doc, ',');
		first = false;
		add_service_json(sim, doc, s);
	}
	g_string_append(doc, "]}");
	publish(sim, PEER_OBJECT_ORGANISATION, name, &org->generation, g_string_free(doc, FALSE));
}

void sim_publish_dc(struct sim *sim, uint32_t dc)
{
	struct sim_dc *entry = &sim->dcs[dc];

	entry->generation++;
	publish(sim, PEER_OBJECT_DATA_CENTRE, entry->name, &entry->generation,
		g_strdup_printf("{\"data_centre\":\"%s\",\"generation\":%lu,\"state\":\"%s\","
				"\"request_id\":\"%lx\",\"author\":\"replay\","
				"\"time\":\"2026-12-04T05:00:00Z\"}",
				entry->name, (unsigned long)entry->generation,
				entry->withdrawn ? "withdrawn" : "serving",
				(unsigned long)entry->generation));
}

/* Organisation number i has services in 192.0.2.(16 i)/28 and targets in 10.(100 + i).0.0/16. */
void sim_publish_grants(struct sim *sim)
{
	GString *doc = g_string_new("{\"grants\":\"fleet\",\"generation\":1,\"organisations\":[");
	uint64_t generation = 1;

	for (guint i = 0; i < sim->orgs->len; i++) {
		const struct sim_org *org = g_ptr_array_index(sim->orgs, i);

		g_string_append_printf(doc,
				       "%s{\"name\":\"%s\",\"key\":\"%064x\",\"max_flows\":500000,"
				       "\"addresses\":[\"192.0.2.%u/28\"],"
				       "\"targets\":[\"10.%u.0.0/16\"]}",
				       i ? "," : "", org->name, i, i * 16, 100 + i);
	}
	g_string_append(doc, "]}");
	publish(sim, PEER_OBJECT_GRANTS, "fleet", &generation, g_string_free(doc, FALSE));
}

static struct config *instance_config(const struct sim_instance *inst)
{
	if (inst->baseline)
		return baseline_config(inst->baseline);
	return inst->core ? core_config(inst->core) : NULL;
}

static uint64_t generation_at(const struct sim_instance *inst, const struct sim_version *ver)
{
	const struct object *obj = config_object(instance_config(inst), ver->kind, ver->name);

	return obj ? obj->generation : 0;
}

/* Notes when each version has reached all instances, and counts reversions to an older one. */
void sim_check_versions(struct sim *sim)
{
	for (guint v = 0; v < sim->versions->len; v++) {
		struct sim_version *ver = g_ptr_array_index(sim->versions, v);
		bool applied_by_all = true;

		for (uint32_t i = 0; i < sim->instances->len; i++) {
			const struct sim_instance *inst = sim_instance(sim, i);
			bool has;

			if (inst->state != INSTANCE_STATE_RUNNING || inst->leaving)
				continue;
			has = generation_at(inst, ver) >= ver->generation;
			/* A resumed process may be behind for RESUME_GRACE_MS: no reversion. */
			if (!has && ver->applied_by_all_us >= 0 &&
			    config_ready(instance_config(inst)) &&
			    (!inst->resumed_us ||
			     sim->now_us - inst->resumed_us > RESUME_GRACE_MS * SIM_US_PER_MS))
				sim->m.config_reverts++;
			if (!has && inst->running_since_us <= ver->at_us)
				applied_by_all = false;
		}
		if (applied_by_all && ver->applied_by_all_us < 0) {
			ver->applied_by_all_us = sim->now_us;
			sim->m.max_config_delay_us =
				MAX(sim->m.max_config_delay_us, sim->now_us - ver->at_us);
		}
	}
}

static void deliver_object(struct sim *sim, uint32_t i, const struct sim_version *ver)
{
	struct event ev = {
		.type = EVENT_OBJECT,
		.object = {
			.kind = ver->kind,
			.name = ver->name,
			.generation = ver->generation,
			.document = (const uint8_t *)ver->document,
			.len = strlen(ver->document),
		},
	};

	if (sim_instance(sim, i)->watching && platform_reachable(sim, i))
		instance_handle(sim, i, &ev);
}

/* The instances that the platform ever listed, or with @as_seeds all of them as seeds. */
static GArray *instance_list(const struct sim *sim, bool as_seeds)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct instance_info));

	for (uint32_t i = 0; i < sim->instances->len; i++) {
		const struct sim_instance *inst = sim_instance(sim, i);
		struct instance_info info = {
			.id = inst->id,
			.peer = { 0x0a000000u + inst->id, 7000 },
			.phase = as_seeds ? INSTANCE_LIVE : inst->listed,
		};

		if (!as_seeds && !inst->ever_listed)
			continue;
		g_strlcpy(info.name, inst->name, sizeof(info.name));
		g_strlcpy(info.group, inst->group, sizeof(info.group));
		g_strlcpy(info.data_centre, sim->dcs[inst->dc].name, sizeof(info.data_centre));
		g_array_append_val(list, info);
	}
	return list;
}

static void deliver_list(struct sim *sim, uint32_t i)
{
	GArray *list = instance_list(sim, false);
	struct event ev = { .type = EVENT_INSTANCES };

	ev.instances.list = (const struct instance_info *)(void *)list->data;
	ev.instances.nr = list->len;
	if (platform_reachable(sim, i))
		instance_handle(sim, i, &ev);
	g_array_unref(list);
}

/* Schedules the update of an instance in the platform's list, which lags. */
static void schedule_list_update(struct sim *sim, uint32_t i)
{
	sim_schedule(sim, sim->list_lag_ms * SIM_US_PER_MS, SIM_LIST_UPDATE, i, 0);
}

static void update_list(struct sim *sim, uint32_t i)
{
	struct sim_instance *inst = sim_instance(sim, i);

	if (sim->platform_down)
		return;
	if (inst->state == INSTANCE_STATE_DOWN)
		inst->listed = INSTANCE_GONE;
	else
		inst->listed = inst->leaving ? INSTANCE_LEAVING : INSTANCE_LIVE;
	inst->ever_listed = true;
	for (uint32_t j = 0; j < sim->instances->len; j++)
		sim_schedule(sim, sim->platform_us, SIM_INSTANCE_LIST, j, 0);
}

/* Messages between instances. */

static void count_message(struct sim_instance *inst, GBytes *bytes)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(bytes, &len);
	uint32_t type = len >= 4 ? data[3] : 0;

	inst->type_bytes[type % SIM_PEER_TYPES] += len + CONTROL_OVERHEAD_BYTES;
	if (type == PEER_PASS || type == PEER_PASS_RESULT)
		inst->pass_bytes += len + CONTROL_OVERHEAD_BYTES;
	else
		inst->control_bytes += len + CONTROL_OVERHEAD_BYTES;
}

static void send_message(struct sim *sim, uint32_t src, uint32_t dst, enum sim_kind kind,
			 uint32_t xid, GBytes *bytes)
{
	uint32_t from = sim_instance(sim, src)->dc;
	uint32_t to = sim_instance(sim, dst)->dc;
	unsigned int copies = 1;

	count_message(sim_instance(sim, src), bytes);
	if (peers_cut(sim, from, to) || link_drops(sim, from, to))
		return;
	if (from != to && sim->dup && sim_random_below(sim, 1000) < sim->dup)
		copies = 2;
	while (copies--) {
		struct sim_event *ev = sim_schedule(sim, sim_delay(sim, from, to), kind, dst, src);

		ev->c = xid;
		ev->bytes = g_bytes_ref(bytes);
	}
}

static void finish_call(struct sim *sim, struct sim_call *call, enum call_status status,
			GBytes *reply)
{
	struct sim_instance *inst = sim_instance(sim, call->src);
	struct event ev = { .type = EVENT_PEER_REPLY };
	peer_msg msg;
	gsize len = 0;
	const uint8_t *data = reply ? g_bytes_get_data(reply, &len) : NULL;

	if (call->done)
		return;
	if (status == CALL_OK && peer_msg_decode(&msg, data, len))
		return;
	if (status == CALL_OK && sim->variant == VARIANT_LOCAL_WITHDRAWAL &&
	    msg.type == PEER_CONFIG_OBJECT &&
	    msg.peer_msg_u.object.id.kind == PEER_OBJECT_DATA_CENTRE) {
		peer_msg_release(&msg);
		status = CALL_FAILED;
	}
	call->done = true;
	ev.reply.src = call->dst + 1;
	ev.reply.call_id = call->call_id;
	ev.reply.status = status;
	ev.reply.msg = status == CALL_OK ? &msg : NULL;
	if (inst->state == INSTANCE_STATE_RUNNING && inst->incarnation == call->src_incarnation)
		instance_handle(sim, call->src, &ev);
	if (status == CALL_OK)
		peer_msg_release(&msg);
}

/* The reply with which a wrong variant replaces the callee's; NULL for all other calls. */
static GBytes *substitute_reply(const struct sim *sim, const uint8_t *bytes, size_t len)
{
	GByteArray *out;
	peer_msg msg;
	peer_msg reply = { 0 };

	if (peer_msg_decode(&msg, bytes, len))
		return NULL;
	if (sim->variant == VARIANT_NO_ACK_WAIT && msg.type == PEER_SHARD_ANNOUNCE) {
		reply.type = PEER_SHARD_ACK;
		reply.peer_msg_u.ack.shard = msg.peer_msg_u.announce.shard;
	} else if (sim->variant == VARIANT_NO_RECOVERY && msg.type == PEER_SHARD_PULL) {
		reply.type = PEER_SHARD_STATE;
		reply.peer_msg_u.state.shard = msg.peer_msg_u.pull.shard;
		reply.peer_msg_u.state.complete = TRUE;
	} else if (sim->variant == VARIANT_LOCAL_WITHDRAWAL && msg.type == PEER_CONFIG_PULL &&
		   msg.peer_msg_u.config_pull.kind == PEER_OBJECT_DATA_CENTRE) {
		reply.type = PEER_CONFIG_OBJECT;
		reply.peer_msg_u.object.id.kind = PEER_OBJECT_DATA_CENTRE;
		reply.peer_msg_u.object.id.name = msg.peer_msg_u.config_pull.name;
	} else {
		peer_msg_release(&msg);
		return NULL;
	}
	out = g_byte_array_new();
	peer_msg_encode(&reply, out);
	peer_msg_release(&msg);
	return g_byte_array_free_to_bytes(out);
}

static void start_call(struct sim *sim, uint32_t src, const struct action *act,
		       const uint8_t *bytes)
{
	struct sim_call *call = g_new0(struct sim_call, 1);
	uint32_t xid = ++sim->next_xid;
	GBytes *substitute =
		sim->variant >= VARIANT_NO_ACK_WAIT ? substitute_reply(sim, bytes, act->len) : NULL;
	struct sim_event *ev;

	*call = (struct sim_call){
		.src = src,
		.src_incarnation = sim_instance(sim, src)->incarnation,
		.dst = act->dst - 1,
		.call_id = act->call_id,
		.timeout_ms = MAX(act->timeout_ms, 1),
		.tries = substitute ? 0 : MAX(act->tries, 1),
		.request = g_bytes_new(bytes, act->len),
	};
	g_hash_table_insert(sim->calls, GUINT_TO_POINTER(xid), call);
	if (substitute) {
		ev = sim_schedule(sim, 0, SIM_REPLY, src, call->dst);
		ev->c = xid;
		ev->bytes = substitute;
	}
	ev = sim_schedule(sim, substitute ? SIM_US_PER_MS : 0, SIM_CALL, src, call->dst);
	ev->c = xid;
}

/* Sends the next try of a call, or ends it. */
static void retry_call(struct sim *sim, uint32_t xid)
{
	struct sim_call *call = g_hash_table_lookup(sim->calls, GUINT_TO_POINTER(xid));

	if (!call)
		return;
	if (call->done || !call->tries) {
		finish_call(sim, call, CALL_TIMEOUT, NULL);
		g_hash_table_remove(sim->calls, GUINT_TO_POINTER(xid));
		return;
	}
	call->tries--;
	if (call->dst < sim->instances->len)
		send_message(sim, call->src, call->dst, SIM_PEER, xid, call->request);
	sim_schedule(sim, (int64_t)call->timeout_ms * SIM_US_PER_MS, SIM_CALL, call->src, call->dst)
		->c = xid;
}

static void send_reply(struct sim *sim, uint32_t src, const struct action *act,
		       const uint8_t *bytes)
{
	struct sim_call *call = g_hash_table_lookup(sim->calls, GUINT_TO_POINTER(act->xid));

	if (!call || call->dst != src)
		return;
	if (!call->reply)
		call->reply = g_bytes_new(bytes, act->len);
	send_message(sim, src, call->src, SIM_REPLY, act->xid, call->reply);
}

static void deliver_message(struct sim *sim, const struct sim_event *sev)
{
	struct sim_call *call = g_hash_table_lookup(sim->calls, GSIZE_TO_POINTER(sev->c));
	struct event ev = { .type = EVENT_PEER };
	peer_msg msg;
	gsize len;
	const uint8_t *data = g_bytes_get_data(sev->bytes, &len);

	if (sev->c && (!call || call->delivered)) {
		/* A repeated request gets the saved reply; the core gets it once. */
		if (call && call->reply)
			send_message(sim, sev->a, call->src, SIM_REPLY, (uint32_t)sev->c,
				     call->reply);
		return;
	}
	if (peer_msg_decode(&msg, data, len))
		return;
	if (call)
		call->delivered = true;
	ev.peer.src = sev->b + 1;
	ev.peer.xid = (uint32_t)sev->c;
	ev.peer.msg = &msg;
	instance_handle(sim, sev->a, &ev);
	peer_msg_release(&msg);
}

/* Actions. */

static void forward(struct sim *sim, uint32_t i, const struct action *act, const uint8_t *bytes)
{
	const struct sim_instance *inst = sim_instance(sim, i);
	uint32_t t = sim_target_find(sim, act->target);
	struct sim_packet pkt;
	struct sim_event *ev;

	if (!sim_packet_decode(&pkt, bytes, act->len))
		return;
	if (sim->variant == VARIANT_RESEND_PAYLOAD && pkt.request && pkt.slot < sim->flows->len &&
	    g_array_index(sim->flows, struct sim_flow, pkt.slot).tries > 0)
		t = (t + 1) % sim->targets->len;
	if (t == UINT32_MAX || link_drops(sim, inst->dc, sim_target(sim, t)->dc) ||
	    targets_cut(sim, inst->dc, sim_target(sim, t)->dc))
		return;
	ev = sim_schedule(sim, sim_delay(sim, inst->dc, sim_target(sim, t)->dc), SIM_TO_TARGET, t,
			  i);
	ev->bytes = g_bytes_new(bytes, act->len);
}

static void probe(struct sim *sim, uint32_t i, const struct action *act)
{
	uint32_t t = sim_target_find(sim, act->target);
	const struct sim_instance *inst = sim_instance(sim, i);
	struct sim_event *ev;

	if (t == UINT32_MAX)
		return;
	if (targets_cut(sim, inst->dc, sim_target(sim, t)->dc)) {
		ev = sim_schedule(sim, PROBE_TIMEOUT_MS * SIM_US_PER_MS, SIM_PROBE, i, t);
		ev->c = inst->incarnation;
		ev->report = g_new0(struct health_report, 1);
		ev->report->target = act->target;
		return;
	}
	ev = sim_schedule(sim, sim_delay(sim, inst->dc, sim_target(sim, t)->dc), SIM_PROBE, i, t);
	ev->c = inst->incarnation;
}

static void run_actions(struct sim *sim, uint32_t i)
{
	struct sim_instance *inst = sim_instance(sim, i);
	/* An action may call the core again, which adds actions: detach the list first. */
	struct actions acts = inst->acts;

	actions_init(&inst->acts);
	for (guint n = 0; n < acts.list->len; n++) {
		const struct action *act = actions_at(&acts, n);
		const uint8_t *bytes = action_bytes(&acts, act);

		switch (act->type) {
		case ACTION_FORWARD:
			forward(sim, i, act, bytes);
			break;
		case ACTION_ANSWER:
			sim_schedule(sim, sim->caller_us, SIM_TO_CALLER, i, 0)->bytes =
				g_bytes_new(bytes, act->len);
			break;
		case ACTION_REFUSE:
			sim_deliver_reset(sim, bytes, act->len);
			break;
		case ACTION_PEER_SEND:
			if (act->dst && act->dst <= sim->instances->len) {
				GBytes *copy = g_bytes_new(bytes, act->len);

				send_message(sim, i, act->dst - 1, SIM_PEER, 0, copy);
				g_bytes_unref(copy);
			}
			break;
		case ACTION_PEER_CALL:
			start_call(sim, i, act, bytes);
			break;
		case ACTION_PEER_REPLY:
			send_reply(sim, i, act, bytes);
			break;
		case ACTION_PROBE:
			probe(sim, i, act);
			break;
		case ACTION_WATCH:
			set_watch(sim, i, act->on);
			break;
		case ACTION_STOP:
			sim_instance_kill(sim, i);
			break;
		}
	}
	actions_release(&acts);
}

static void instance_handle(struct sim *sim, uint32_t i, struct event *ev)
{
	struct sim_instance *inst = sim_instance(sim, i);

	if (inst->state != INSTANCE_STATE_RUNNING)
		return;
	ev->now = sim_now(sim);
	if (inst->baseline)
		baseline_handle(inst->baseline, ev, &inst->acts);
	else
		core_handle(inst->core, ev, &inst->acts);
	if (inst->acts.list->len)
		run_actions(sim, i);
}

static enum packet_kind packet_kind(const struct sim_packet *pkt)
{
	if (pkt->flags & 0x04)
		return PACKET_CANCEL;
	if (pkt->flags & 0x02)
		return PACKET_OPENING;
	return pkt->flags & 0x01 ? PACKET_CLOSE : PACKET_DATA;
}

static enum answer_kind answer_kind(const struct sim_packet *pkt)
{
	if (pkt->flags & 0x04)
		return pkt->flags & 0x10 ? ANSWER_REFUSED : ANSWER_RESET;
	if (pkt->flags & 0x02)
		return ANSWER_ACCEPTED;
	return pkt->flags & 0x01 ? ANSWER_CLOSE : ANSWER_DATA;
}

static void deliver_packet(struct sim *sim, const struct sim_event *sev)
{
	struct event ev = { .type = EVENT_PACKET };
	gsize len;
	const uint8_t *bytes = g_bytes_get_data(sev->bytes, &len);
	struct sim_packet pkt;
	struct flow_key key;

	if (!sim_packet_decode(&pkt, bytes, len))
		return;
	key = sim_packet_key(&pkt);
	if (sev->b == NO_TARGET) {
		ev.packet = (struct packet){
			.key = key,
			.kind = packet_kind(&pkt),
			.opening_id = pkt.flags & 0x02 ? pkt.seq : 0,
			.payload_len = pkt.len > 40 ? SIM_PAYLOAD_BYTES : 0,
			.deadline_ms = NO_DEADLINE,
			.bytes = bytes,
			.len = len,
		};
	} else {
		ev.type = EVENT_ANSWER;
		ev.answer = (struct answer){
			.key = key,
			.target = sim_target(sim, sev->b)->ep,
			.kind = answer_kind(&pkt),
			.opening_id = pkt.flags & 0x02 || (pkt.flags & 0x14) == 0x14 ? pkt.seq : 0,
			.payload_len = pkt.len > 40 ? SIM_PAYLOAD_BYTES : 0,
			.bytes = bytes,
			.len = len,
		};
		if (sim->variant == VARIANT_UNCHECKED_ANSWERS) {
			sim_schedule(sim, sim->caller_us, SIM_TO_CALLER, sev->a, 0)->bytes =
				g_bytes_ref(sev->bytes);
			return;
		}
	}
	instance_handle(sim, sev->a, &ev);
}

static void deliver_probe(struct sim *sim, const struct sim_event *sev)
{
	struct event ev = { .type = EVENT_HEALTH };
	struct sim_event *back;

	if (sev->report) {
		ev.health = *sev->report;
		if (sim_instance(sim, sev->a)->incarnation == sev->c)
			instance_handle(sim, sev->a, &ev);
		return;
	}
	back = sim_schedule(
		sim, sim_delay(sim, sim_instance(sim, sev->a)->dc, sim_target(sim, sev->b)->dc),
		SIM_PROBE, sev->a, sev->b);
	back->c = sev->c;
	back->report = g_new(struct health_report, 1);
	*back->report = sim_target_report(sim, sev->b);
}

static void queue_event(struct sim_instance *inst, const struct sim_event *sev)
{
	struct sim_event *copy;

	if (inst->inbox.length >= INBOX_MAX_EVENTS)
		return;
	copy = g_memdup2(sev, sizeof(*sev));
	if (copy->bytes)
		g_bytes_ref(copy->bytes);
	if (copy->report)
		copy->report = g_memdup2(copy->report, sizeof(*copy->report));
	g_queue_push_tail(&inst->inbox, copy);
}

static void event_free(gpointer data)
{
	struct sim_event *ev = data;

	if (ev->bytes)
		g_bytes_unref(ev->bytes);
	g_free(ev->report);
	g_free(ev);
}

static void handle_timer(struct sim *sim, const struct sim_event *sev)
{
	struct sim_instance *inst = sim_instance(sim, sev->a);
	struct event ev = { .type = EVENT_TIMER };
	struct homes_status st;

	if (inst->incarnation != sev->b || inst->state == INSTANCE_STATE_DOWN)
		return;
	sim_schedule(sim, TIMER_INTERVAL_MS * SIM_US_PER_MS, SIM_TIMER, sev->a, sev->b);
	if (inst->state == INSTANCE_STATE_PAUSED)
		return;
	instance_handle(sim, sev->a, &ev);
	if (inst->core) {
		homes_get_status(core_homes(inst->core), &st);
		inst->peak_pins = MAX(inst->peak_pins, st.pins);
		inst->peak_flows = MAX(inst->peak_flows, flowtab_count(core_flows(inst->core)));
	} else if (inst->baseline) {
		inst->peak_flows = MAX(inst->peak_flows, baseline_flows(inst->baseline));
	}
}

void sim_deliver_event(struct sim *sim, const struct sim_event *sev)
{
	struct sim_instance *inst = sim_instance(sim, sev->a);

	if (inst->state == INSTANCE_STATE_PAUSED && sev->kind != SIM_TIMER) {
		queue_event(inst, sev);
		return;
	}
	if (sev->kind == SIM_TIMER) {
		handle_timer(sim, sev);
		return;
	}
	if (inst->state != INSTANCE_STATE_RUNNING)
		return;
	switch (sev->kind) {
	case SIM_TO_CORE:
		deliver_packet(sim, sev);
		break;
	case SIM_PEER:
		deliver_message(sim, sev);
		break;
	case SIM_REPLY: {
		struct sim_call *call = g_hash_table_lookup(sim->calls, GSIZE_TO_POINTER(sev->c));

		if (call)
			finish_call(sim, call, CALL_OK, sev->bytes);
		break;
	}
	case SIM_PROBE:
		deliver_probe(sim, sev);
		break;
	case SIM_OBJECT:
		deliver_object(sim, sev->a, g_ptr_array_index(sim->versions, sev->b));
		break;
	case SIM_INSTANCE_LIST:
		deliver_list(sim, sev->a);
		break;
	default:
		break;
	}
}

/* The fabric's health check: instances that are ready and not leaving get packets. */
static void check_fabric(struct sim *sim, uint32_t i)
{
	struct sim_instance *inst = sim_instance(sim, i);
	bool up = inst->state == INSTANCE_STATE_RUNNING && !inst->leaving;

	inst->in_fabric = up && config_ready(instance_config(inst));
	if (up && !inst->in_fabric)
		sim_schedule(sim, FABRIC_RETRY_MS * SIM_US_PER_MS, SIM_FABRIC, i, 0);
}

void sim_fleet_event(struct sim *sim, const struct sim_event *sev)
{
	if (sev->kind == SIM_CALL)
		retry_call(sim, (uint32_t)sev->c);
	else if (sev->kind == SIM_FABRIC)
		check_fabric(sim, sev->a);
	else if (sev->kind == SIM_LIST_UPDATE)
		update_list(sim, sev->a);
}

/* Start, stop and pause of an instance. */

static struct core *new_core(struct sim *sim, struct sim_instance *inst)
{
	GArray *seeds = instance_list(sim, true);
	struct core_options opts = {
		.members = {
			.self = inst->id,
			.group = inst->group,
			.data_centre = sim->dcs[inst->dc].name,
			.incarnation = inst->incarnation,
			.peer = { 0x0a000000u + inst->id, 7000 },
		},
		.max_flows = FLOW_TABLE_MAX_FLOWS,
		.random = &inst->random.random,
		.start = sim_now(sim),
	};
	struct core *core;

	for (guint i = 0; i < seeds->len; i++)
		g_array_index(seeds, struct instance_info, i).phase = INSTANCE_LIVE;
	opts.members.seeds = (const struct instance_info *)(void *)seeds->data;
	opts.members.nr_seeds = seeds->len;
	memcpy(opts.flow_key, sim->flow_key, sizeof(opts.flow_key));
	core = core_new(&opts);
	g_array_unref(seeds);
	return core;
}

void sim_instance_start(struct sim *sim, uint32_t i)
{
	struct sim_instance *inst = sim_instance(sim, i);

	if (inst->state != INSTANCE_STATE_DOWN)
		return;
	inst->incarnation++;
	inst->state = INSTANCE_STATE_RUNNING;
	inst->leaving = false;
	inst->resumed_us = 0;
	inst->running_since_us = sim->now_us;
	seeded_random_init(&inst->random,
			   (uint64_t)sim_random_below(sim, UINT32_MAX) << 8 | inst->id);
	actions_init(&inst->acts);
	g_queue_init(&inst->inbox);
	if (sim->variant == VARIANT_HASH || sim->variant == VARIANT_PRIVATE)
		inst->baseline = baseline_new(sim->variant == VARIANT_PRIVATE, sim->flow_key);
	else
		inst->core = new_core(sim, inst);
	sim_schedule(sim, sim_random_below(sim, TIMER_INTERVAL_MS * SIM_US_PER_MS), SIM_TIMER, i,
		     inst->incarnation);
	sim_schedule(sim, sim->detect_ms * SIM_US_PER_MS, SIM_FABRIC, i, 0);
	if (inst->baseline)
		set_watch(sim, i, true);
	schedule_list_update(sim, i);
}

static void add_counters(struct sim_instance *inst)
{
	const struct counters *c =
		inst->core ? core_counters(inst->core) : baseline_counters(inst->baseline);

#define COUNTER_ADD(name, help) inst->counters.name += c->name;
	COUNTER_LIST(COUNTER_ADD)
#undef COUNTER_ADD
}

void sim_instance_kill(struct sim *sim, uint32_t i)
{
	struct sim_instance *inst = sim_instance(sim, i);

	if (inst->state == INSTANCE_STATE_DOWN)
		return;
	inst->state = INSTANCE_STATE_DOWN;
	inst->alive_us += sim->now_us - inst->running_since_us;
	add_counters(inst);
	core_free(inst->core);
	baseline_free(inst->baseline);
	inst->core = NULL;
	inst->baseline = NULL;
	inst->watching = false;
	actions_release(&inst->acts);
	g_queue_clear_full(&inst->inbox, event_free);
	sim_schedule(sim, sim->detect_ms * SIM_US_PER_MS, SIM_FABRIC, i, 0);
	schedule_list_update(sim, i);
}

void sim_instance_leave(struct sim *sim, uint32_t i)
{
	struct sim_instance *inst = sim_instance(sim, i);
	struct event ev = { .type = EVENT_SHUTDOWN };

	if (inst->state != INSTANCE_STATE_RUNNING || inst->leaving)
		return;
	if (inst->baseline) {
		sim_instance_kill(sim, i);
		return;
	}
	inst->leaving = true;
	sim_schedule(sim, sim->detect_ms * SIM_US_PER_MS, SIM_FABRIC, i, 0);
	schedule_list_update(sim, i);
	instance_handle(sim, i, &ev);
}

void sim_instance_pause(struct sim *sim, uint32_t i, bool paused)
{
	struct sim_instance *inst = sim_instance(sim, i);
	struct event ev = { .type = EVENT_TIMER };
	GQueue waiting;

	if (inst->state != (paused ? INSTANCE_STATE_RUNNING : INSTANCE_STATE_PAUSED))
		return;
	sim_schedule(sim, sim->detect_ms * SIM_US_PER_MS, SIM_FABRIC, i, 0);
	if (paused) {
		inst->state = INSTANCE_STATE_PAUSED;
		return;
	}
	inst->state = INSTANCE_STATE_RUNNING;
	inst->alive_us += sim->now_us - inst->running_since_us;
	inst->running_since_us = inst->resumed_us = sim->now_us;
	/* The timer and the queued datagrams may come in either order: random. */
	if (sim_random_below(sim, 2))
		instance_handle(sim, i, &ev);
	waiting = inst->inbox;
	g_queue_init(&inst->inbox);
	for (struct sim_event *sev; (sev = g_queue_pop_head(&waiting));) {
		sim_deliver_event(sim, sev);
		event_free(sev);
	}
}

void sim_note_state(struct sim *sim)
{
	static const char states[] = "jLlsd"; /* joining, live, leaving, suspect, dead */

	for (uint32_t i = 0; i < sim->instances->len; i++) {
		const struct sim_instance *inst = sim_instance(sim, i);
		GString *members = g_string_new(NULL);
		struct homes_status st;

		for (uint32_t id = 1; inst->core && id <= sim->instances->len; id++)
			g_string_append_c(members,
					  states[members_state(core_members(inst->core), id)]);
		if (inst->core) {
			homes_get_status(core_homes(inst->core), &st);
			sim_note(sim,
				 "%s: members %s, maybe partitioned %d, homed %u, uncertain %u, "
				 "shared %u, pins %u",
				 inst->name, members->str,
				 members_maybe_partitioned(core_members(inst->core)), st.homed,
				 st.uncertain, st.shared, st.pins);
		}
		g_string_free(members, TRUE);
	}
}

void sim_instance_release(struct sim_instance *inst)
{
	core_free(inst->core);
	baseline_free(inst->baseline);
	if (inst->state != INSTANCE_STATE_DOWN) {
		actions_release(&inst->acts);
		g_queue_clear_full(&inst->inbox, event_free);
	}
	g_free(inst->name);
	g_free(inst->group);
	g_free(inst);
}
