#include "edge.h"

#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "connprobe.h"
#include "decision.h"
#include "edge-metrics.h"
#include "edge-snapshot.h"
#include "httpserve.h"
#include "log.h"
#include "rawsource.h"
#include "timeutil.h"
#include "udp.h"

/* Batches read before other event sources are served. */
#define READ_BATCHES_PER_WAKEUP 4
/*
 * The fabric checks readiness twice a second and stops sending after two failures. A stopping
 * instance forwards packets for at least that long, and until none has arrived for STOP_QUIET_MS.
 */
#define STOP_MIN_MS   1200
#define STOP_QUIET_MS 400
/* The process exits this long before it would be killed. */
#define STOP_KILL_MARGIN_MS 500
/* A connection takes a round trip of a few ms; a lost SYN is repeated only after a second. */
#define PROBE_TIMEOUT_MS 100
/* Packets held until the store data is complete; callers repeat openings after 200 ms. */
#define HELD_PACKETS_MAX       256
#define HELD_PACKET_MAX_AGE_MS 600
/* The settings file is also reloaded when it changes without a signal. */
#define SETTINGS_CHECK_INTERVAL_MS 5000
/*
 * The loop wakes up at least every LOOP_MAX_SLEEP_MS, so a gap of SUSPENSION_MIN_MS between two
 * wake-ups means that the process was suspended. A slow core delays wake-ups by up to 0.2 s.
 */
#define LOOP_MAX_SLEEP_MS 250
#define SUSPENSION_MIN_MS 500

struct edge;

struct edge_out {
	struct steer_out base; /* first member */
	struct edge *edge;
};

/* Datagrams to be sent over one socket at the end of a loop iteration. */
struct outbox {
	struct udp_out out;
	GByteArray *buffer;
};

struct edge_relay_out {
	struct relay_out base; /* first member */
	struct edge *edge;
};

struct held_packet {
	struct timespec arrived;
	size_t size;
	uint8_t bytes[];
};

struct edge {
	struct edge_options opts;
	struct control_state control_state;
	struct edge_out out;
	struct lws_context *context;
	struct lws_vhost *vhost;
	struct connprobes *probes;
	lws_sorted_usec_list_t timer;
	struct timespec timer_due;
	struct rawsource packets;
	struct rawsource signals;
	struct rawsource peers;
	struct udp_in in;
	struct outbox packet_outbox; /* also packets to targets */
	struct outbox peer_outbox;
	struct upstream *upstream;
	struct relay *relay; /* NULL if the instance reads the store without the relay */
	struct edge_relay_out relay_out;
	struct edge_snapshot *snapshot;
	GPtrArray *held; /* struct held_packet */
	struct http_pages ready_pages;
	struct http_pages metrics_pages;
	struct http_pages snapshot_pages;
	struct histogram loop_delays;
	struct timespec started;
	struct timespec last_packet;
	struct timespec last_iteration;
	struct timespec resumed; /* end of a suspension; 0 once store data has been confirmed */
	struct timespec stop_began;
	struct timespec settings_checked;
	bool stopping;
	bool was_ready;
};

static struct timespec edge_now(struct edge *edge)
{
	return clock_now(edge->opts.clock);
}

static void outbox_flush(struct outbox *box)
{
	if (box->out.nr)
		udp_out_flush(&box->out, box->buffer->data);
	g_byte_array_set_size(box->buffer, 0);
}

static void flush_outboxes(struct edge *edge)
{
	outbox_flush(&edge->packet_outbox);
	outbox_flush(&edge->peer_outbox);
	edge->control_state.counters.send_lost =
		edge->packet_outbox.out.lost + edge->peer_outbox.out.lost;
}

/* Reserves room for one datagram at the end of the buffer. */
static uint8_t *outbox_reserve(struct outbox *box, size_t size, size_t *offset)
{
	if (udp_out_full(&box->out))
		outbox_flush(box);
	*offset = box->buffer->len;
	g_byte_array_set_size(box->buffer, (guint)(box->buffer->len + size));
	return box->buffer->data + *offset;
}

static void outbox_commit(struct outbox *box, struct endpoint dst, size_t offset, size_t size)
{
	g_byte_array_set_size(box->buffer, (guint)(offset + size));
	udp_out_add(&box->out, dst, offset, size);
}

static void relay_out_send(struct relay_out *out, struct endpoint dst, const uint8_t *bytes,
			   size_t len)
{
	struct outbox *box = &((struct edge_relay_out *)out)->edge->peer_outbox;
	size_t offset;

	memcpy(outbox_reserve(box, len, &offset), bytes, len);
	outbox_commit(box, dst, offset, len);
}

static const struct relay_out_ops relay_out_ops = { relay_out_send };

static void out_forward(struct steer_out *out, const struct reg_target *tgt, uint32_t mark,
			const uint8_t *bytes, size_t size)
{
	struct edge *edge = ((struct edge_out *)out)->edge;
	const struct wire *wire = edge->opts.wire;
	size_t offset;
	uint8_t *room = outbox_reserve(&edge->packet_outbox, WIRE_MAX_BYTES, &offset);

	outbox_commit(&edge->packet_outbox, tgt->ep, offset,
		      wire->ops->encode(wire, tgt->wire_id, mark, bytes, size, room));
}

static void out_reset(struct steer_out *out, const struct flow_addr *addr, uint32_t seq)
{
	struct edge *edge = ((struct edge_out *)out)->edge;
	const struct wire *wire = edge->opts.wire;
	struct endpoint dst = { addr->caller.ip, edge->opts.set->packets.port };
	size_t offset;
	uint8_t *room = outbox_reserve(&edge->packet_outbox, WIRE_MAX_BYTES, &offset);

	outbox_commit(&edge->packet_outbox, dst, offset, wire->ops->reset(wire, addr, seq, room));
}

static void out_probe(struct steer_out *out, struct reg_target *tgt, unsigned int nr)
{
	struct edge *edge = ((struct edge_out *)out)->edge;

	for (unsigned int i = 0; i < nr; i++)
		connprobe_start(edge->probes, tgt->id->str, tgt->ep);
}

static const struct steer_out_ops out_ops = {
	.forward = out_forward,
	.reset = out_reset,
	.probe = out_probe,
};

static void schedule(struct edge *edge);
static struct timespec begin_iteration(struct edge *edge);
static bool is_confirming(const struct edge *edge);

static void probe_done(void *arg, const char *id, enum probe_result result)
{
	struct edge *edge = arg;
	struct reg_target *tgt = registry_by_id(edge->control_state.registry, id);
	struct timespec now = begin_iteration(edge);

	/* A probe pending during a suspension may have timed out because of it. */
	if (is_confirming(edge))
		result = PROBE_INCONCLUSIVE;
	if (tgt)
		steer_probe_done(edge->control_state.steer, tgt, result, now);
	flush_outboxes(edge);
	schedule(edge);
}

static bool is_confirming(const struct edge *edge)
{
	return edge->resumed.tv_sec;
}

static void hold_packet(struct edge *edge, const uint8_t *bytes, size_t size, struct timespec now)
{
	struct held_packet *held;

	if (edge->held->len == HELD_PACKETS_MAX) {
		edge->control_state.counters.packets_dropped++;
		return;
	}
	held = g_malloc(sizeof(*held) + size);
	held->arrived = now;
	held->size = size;
	memcpy(held->bytes, bytes, size);
	g_ptr_array_add(edge->held, held);
}

static void handle_packet(struct edge *edge, const uint8_t *bytes, size_t size, struct timespec now)
{
	struct caller_packet pkt;

	if (!edge->opts.wire->ops->decode(edge->opts.wire, bytes, size, &pkt))
		edge->control_state.counters.packets_malformed++;
	else if (pkt.syn && is_confirming(edge))
		hold_packet(edge, bytes, size, now);
	else
		steer_packet(edge->control_state.steer, &pkt, now);
}

static void handle_held_packets(struct edge *edge, struct timespec now)
{
	for (guint i = 0; i < edge->held->len; i++) {
		struct held_packet *held = g_ptr_array_index(edge->held, i);

		if (ts_diff_ms(now, held->arrived) < HELD_PACKET_MAX_AGE_MS)
			handle_packet(edge, held->bytes, held->size, now);
	}
	g_ptr_array_set_size(edge->held, 0);
}

/* Handles held openings once the store data is confirmed, or after the confirm_ms setting. */
static void end_confirming(struct edge *edge, struct timespec now)
{
	bool confirmed = control_state_received_since(&edge->control_state, edge->resumed);

	if (!is_confirming(edge) ||
	    (!confirmed && ts_diff_ms(now, edge->resumed) < edge->opts.set->confirm_ms))
		return;
	decision_log(DECISION_PROCESS, now, "state=confirmed told=%d after_ms=%lld held=%u",
		     confirmed, (long long)ts_diff_ms(now, edge->resumed), edge->held->len);
	edge->resumed = (struct timespec){ 0 };
	if (edge->was_ready)
		handle_held_packets(edge, now);
}

/*
 * Begins a loop iteration. After a suspension, queued packets are read before the store's answers,
 * and targets may have left or routes been withdrawn meanwhile.
 */
static struct timespec begin_iteration(struct edge *edge)
{
	struct timespec now = edge_now(edge);
	int64_t passed = ts_diff_ms(now, edge->last_iteration);

	edge->last_iteration = now;
	if (passed < SUSPENSION_MIN_MS)
		return now;
	decision_log(DECISION_PROCESS, now, "state=resumed paused_ms=%lld flows=%u",
		     (long long)passed, steer_flow_count(edge->control_state.steer));
	if (!edge->upstream || !edge->was_ready || !edge->opts.set->confirm_ms)
		return now;
	edge->resumed = now;
	if (edge->relay)
		relay_process_resumed(edge->relay, now);
	else
		edge->upstream->ops->refresh(edge->upstream);
	return now;
}

/* Enough is known to place openings; @source: where it came from. */
static void become_ready(struct edge *edge, const char *source, struct timespec now)
{
	if (edge->was_ready)
		return;
	edge->was_ready = true;
	decision_log(DECISION_PROCESS, now,
		     "state=ready source=%s after_ms=%lld targets=%u config=%llu held=%u", source,
		     (long long)ts_diff_ms(now, edge->started),
		     registry_count(edge->control_state.registry),
		     (unsigned long long)routing_version(edge->control_state.routing),
		     edge->held->len);
	handle_held_packets(edge, now);
}

void edge_control_state_changed(struct edge *edge)
{
	struct timespec now = begin_iteration(edge);

	if (edge->relay)
		relay_control_state_changed(edge->relay, now);
	end_confirming(edge, now);
	if (control_state_ready(&edge->control_state))
		become_ready(edge, "store", now);
	flush_outboxes(edge);
	schedule(edge);
}

static void packets_readable(struct rawsource *raw)
{
	struct edge *edge = lws_container_of(raw, struct edge, packets);
	int nr = UDP_BATCH;

	begin_iteration(edge);
	for (int round = 0; round < READ_BATCHES_PER_WAKEUP && nr == UDP_BATCH; round++) {
		struct timespec now = edge_now(edge);

		nr = udp_in_receive(&edge->in, edge->packets.fd);
		for (int i = 0; i < nr; i++) {
			const uint8_t *bytes;
			size_t size;
			struct endpoint src;

			edge->last_packet = now;
			if (!udp_in_at(&edge->in, i, &bytes, &size, &src))
				edge->control_state.counters.packets_malformed++;
			else if (edge->was_ready)
				handle_packet(edge, bytes, size, now);
			else
				hold_packet(edge, bytes, size, now);
		}
		flush_outboxes(edge);
	}
	schedule(edge);
}

static void peers_readable(struct rawsource *raw)
{
	struct edge *edge = lws_container_of(raw, struct edge, peers);
	int nr;

	begin_iteration(edge);
	nr = udp_in_receive(&edge->in, edge->peers.fd);

	for (int i = 0; i < nr; i++) {
		const uint8_t *bytes;
		size_t size;
		struct endpoint src;

		if (edge->relay && udp_in_at(&edge->in, i, &bytes, &size, &src))
			relay_receive(edge->relay, src, bytes, size, edge_now(edge));
	}
	edge_control_state_changed(edge);
}

static void begin_stop(struct edge *edge)
{
	if (edge->stopping)
		return;
	edge->stopping = true;
	edge->stop_began = edge_now(edge);
	decision_log(DECISION_PROCESS, edge->stop_began, "state=stopping flows=%u",
		     steer_flow_count(edge->control_state.steer));
	if (edge->relay)
		relay_stop(edge->relay, edge->stop_began);
	flush_outboxes(edge);
	schedule(edge);
}

static bool addresses_changed(const struct edge_settings *a, const struct edge_settings *b)
{
	return !endpoint_equal(a->packets, b->packets) || !endpoint_equal(a->ready, b->ready) ||
	       !endpoint_equal(a->metrics, b->metrics) || !endpoint_equal(a->store, b->store) ||
	       !endpoint_equal(a->peers, b->peers) || !endpoint_equal(a->snapshot, b->snapshot) ||
	       !g_string_equal(a->data_centre, b->data_centre);
}

/* Applies the settings that may change at run time; changed addresses need a restart. */
static void reload(struct edge *edge, const char *why, struct timespec now)
{
	struct edge_settings set;
	struct edge_settings *old = edge->opts.set;
	struct faults faults;

	edge_settings_init(&set);
	faults_init(&faults);
	if (edge_settings_read(&set, edge->opts.settings_path, &faults)) {
		const struct fault *fault = g_ptr_array_index(faults.list, 0);

		decision_log(DECISION_PROCESS, now,
			     "state=reload_refused why=%s faults=%u first=\"%s: %s\"", why,
			     faults.list->len, fault->key->str, fault->text->str);
	} else if (addresses_changed(&set, old)) {
		decision_log(DECISION_PROCESS, now, "state=restart_needed why=%s addresses=changed",
			     why);
	} else if (strcmp(why, "timer") != 0 || set.verify_ms != old->verify_ms ||
		   set.confirm_ms != old->confirm_ms || set.remote_percent != old->remote_percent ||
		   set.cold_gap_ms != old->cold_gap_ms ||
		   set.watch_pause_ms != old->watch_pause_ms || set.stop_s != old->stop_s) {
		old->verify_ms = set.verify_ms;
		old->confirm_ms = set.confirm_ms;
		old->remote_percent = set.remote_percent;
		old->cold_gap_ms = set.cold_gap_ms;
		old->watch_pause_ms = set.watch_pause_ms;
		old->stop_s = set.stop_s;
		edge->control_state.placing.opts.remote_percent = set.remote_percent;
		edge->control_state.placing.opts.cold_gap_ms = set.cold_gap_ms;
		steer_set_verify_ms(edge->control_state.steer, set.verify_ms);
		decision_log(DECISION_PROCESS, now, "state=reloaded why=%s", why);
	}
	faults_release(&faults);
	edge_settings_release(&set);
}

static void signals_readable(struct rawsource *raw)
{
	struct edge *edge = lws_container_of(raw, struct edge, signals);
	struct signalfd_siginfo info;

	while (read(edge->signals.fd, &info, sizeof(info)) == sizeof(info)) {
		if (info.ssi_signo == SIGHUP)
			reload(edge, "signal", edge_now(edge));
		else
			begin_stop(edge);
	}
}

static bool stop_complete(struct edge *edge)
{
	struct timespec now;
	int64_t passed;

	if (!edge->stopping)
		return false;
	now = edge_now(edge);
	passed = ts_diff_ms(now, edge->stop_began);
	return (passed >= STOP_MIN_MS && ts_diff_ms(now, edge->last_packet) >= STOP_QUIET_MS) ||
	       passed >= (int64_t)edge->opts.set->stop_s * MSEC_PER_SEC - STOP_KILL_MARGIN_MS;
}

static void timer_due(lws_sorted_usec_list_t *sul)
{
	struct edge *edge = lws_container_of(sul, struct edge, timer);
	struct timespec now = begin_iteration(edge);

	histogram_add(&edge->loop_delays, ts_diff_ms(now, edge->timer_due));
	edge->timer_due = (struct timespec){ 0 };
	/* Unconfirmed store data must not move openings to other targets. */
	if (!is_confirming(edge))
		control_state_timer(&edge->control_state, now);
	if (edge->relay)
		relay_timer(edge->relay, now);
	if (edge_snapshot_timer(edge->snapshot, now))
		become_ready(edge, "snapshot", now);
	end_confirming(edge, now);
	if (ts_diff_ms(now, edge->settings_checked) >= SETTINGS_CHECK_INTERVAL_MS) {
		edge->settings_checked = now;
		reload(edge, "timer", now);
	}
	flush_outboxes(edge);
	schedule(edge);
}

/* Ends a loop iteration: sets the timer to the next work, unless it is due sooner already. */
static void schedule(struct edge *edge)
{
	struct timespec now = edge_now(edge);
	int64_t ms = steer_due_ms(edge->control_state.steer, now);
	struct timespec due;

	log_flush();
	if (edge->relay)
		ms = MIN(ms, relay_due_ms(edge->relay, now));
	ms = MIN(ms, MAX(edge_snapshot_due_ms(edge->snapshot, now), 1));
	ms = MIN(ms, LOOP_MAX_SLEEP_MS);
	if (is_confirming(edge))
		ms = MIN(ms, HELD_PACKET_MAX_AGE_MS / 4);
	if (edge->stopping)
		ms = MIN(ms, STOP_QUIET_MS / 4);
	due = ts_add_ms(now, ms);
	if (edge->timer_due.tv_sec && ts_cmp(edge->timer_due, due) <= 0)
		return;
	edge->timer_due = due;
	lws_sul_schedule(edge->context, 0, &edge->timer, timer_due, (lws_usec_t)ms * LWS_US_PER_MS);
}

static int catch_signals(struct edge *edge)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	if (sigprocmask(SIG_BLOCK, &set, NULL))
		return -errno;
	signal(SIGPIPE, SIG_IGN);
	return rawsource_adopt(edge->vhost, &edge->signals,
			       signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC), signals_readable);
}

static unsigned int ready_page(void *arg, const char *path, GString *body, const char **type)
{
	struct edge *edge = arg;
	bool ready = edge->was_ready && !edge->stopping;

	*type = "application/json";
	if (strcmp(path, edge->opts.set->ready_path->str) != 0) {
		g_string_append(body, "{\"error\":\"not found\"}\n");
		return HTTP_STATUS_NOT_FOUND;
	}
	g_string_append_printf(body, "{\"ready\":%s}\n", ready ? "true" : "false");
	return ready ? HTTP_STATUS_OK : HTTP_STATUS_SERVICE_UNAVAILABLE;
}

static unsigned int metrics_page(void *arg, const char *path, GString *body, const char **type)
{
	struct edge *edge = arg;
	struct edge_status status = {
		.control_state = &edge->control_state,
		.relay = edge->relay,
		.loop_delays = &edge->loop_delays,
		.now = edge_now(edge),
		.started = edge->started,
		.stopping = edge->stopping,
	};

	*type = "text/plain; version=0.0.4; charset=utf-8";
	if (strcmp(path, "/metrics") != 0) {
		g_string_append(body, "not found\n");
		return HTTP_STATUS_NOT_FOUND;
	}
	edge_metrics_write(body, &status);
	return HTTP_STATUS_OK;
}

static bool is_ready(void *arg)
{
	return ((struct edge *)arg)->was_ready;
}

static void seed_answered(void *arg)
{
	schedule(arg);
}

static int open_snapshot(struct edge *edge)
{
	struct edge_snapshot_options opts = {
		.set = edge->opts.set,
		.context = edge->context,
		.control_state = &edge->control_state,
		.clock = edge->opts.clock,
		.random = edge->opts.random,
		.ready = is_ready,
		.answered = seed_answered,
		.arg = edge,
	};

	return edge_snapshot_new(&opts, &edge->snapshot);
}

static int open_context(struct edge *edge)
{
	int ret = rawsource_context(&edge->context, &edge->vhost);

	if (ret)
		return ret;
	edge->probes = connprobes_new(edge->context, PROBE_TIMEOUT_MS, probe_done, edge);
	return edge->probes ? 0 : -ENOMEM;
}

static int open_sockets(struct edge *edge)
{
	const struct edge_settings *set = edge->opts.set;
	int ret = rawsource_adopt(edge->vhost, &edge->packets, udp_open(set->packets),
				  packets_readable);

	if (ret)
		return ret;
	udp_out_init(&edge->packet_outbox.out, edge->packets.fd);
	if (set->peers.port) {
		ret = rawsource_adopt(edge->vhost, &edge->peers, udp_open(set->peers),
				      peers_readable);
		if (ret)
			return ret;
		udp_out_init(&edge->peer_outbox.out, edge->peers.fd);
	}
	edge->ready_pages = (struct http_pages){ ready_page, edge };
	edge->metrics_pages = (struct http_pages){ metrics_page, edge };
	ret = http_serve(edge->context, set->ready, "ready", &edge->ready_pages);
	if (!ret)
		ret = http_serve(edge->context, set->metrics, "metrics", &edge->metrics_pages);
	if (!ret)
		ret = open_snapshot(edge);
	edge->snapshot_pages = (struct http_pages){ edge_snapshot_page, edge->snapshot };
	if (!ret && set->snapshot.port)
		ret = http_serve(edge->context, set->snapshot, "snapshot", &edge->snapshot_pages);
	return ret ? ret : catch_signals(edge);
}

int edge_new(const struct edge_options *opts, struct edge **res)
{
	struct edge *edge = g_new0(struct edge, 1);
	struct control_state_options control_state = {
		.data_centre = opts->set->data_centre->str,
		.placing = opts->set->placing,
		.remote_percent = opts->set->remote_percent,
		.cold_gap_ms = opts->set->cold_gap_ms,
		.verify_ms = opts->set->verify_ms,
		.max_flows = opts->set->max_flows,
		.credits = opts->set->credits,
		.random = opts->random,
		.out = &edge->out.base,
	};
	int ret;

	edge->opts = *opts;
	edge->started = edge_now(edge);
	edge->last_iteration = edge->started;
	edge->settings_checked = edge->started;
	edge->out = (struct edge_out){ { &out_ops }, edge };
	edge->packet_outbox.buffer = g_byte_array_new();
	edge->peer_outbox.buffer = g_byte_array_new();
	edge->held = g_ptr_array_new_with_free_func(g_free);
	udp_in_init(&edge->in, WIRE_MAX_BYTES);
	control_state_init(&edge->control_state, &control_state);
	decision_init(&edge->control_state.counters);
	ret = open_context(edge);
	if (!ret)
		ret = open_sockets(edge);
	if (ret) {
		edge_free(edge);
		return ret;
	}
	schedule(edge);
	*res = edge;
	return 0;
}

void edge_free(struct edge *edge)
{
	if (!edge)
		return;
	lws_sul_cancel(&edge->timer);
	connprobes_free(edge->probes);
	edge_snapshot_free(edge->snapshot);
	if (edge->context)
		lws_context_destroy(edge->context);
	decision_init(NULL);
	relay_free(edge->relay);
	control_state_release(&edge->control_state);
	udp_in_release(&edge->in);
	g_byte_array_unref(edge->packet_outbox.buffer);
	g_byte_array_unref(edge->peer_outbox.buffer);
	g_ptr_array_unref(edge->held);
	g_free(edge);
}

void edge_start(struct edge *edge, struct upstream *upstream)
{
	struct relay_options opts = {
		.control_state = &edge->control_state,
		.upstream = upstream,
		.out = &edge->relay_out.base,
		.self = edge->opts.set->peers,
		.incarnation = edge->opts.incarnation,
		.memory_mb = edge->opts.set->memory_mb,
		.random = system_random(),
		.account = edge->control_state.credit,
		.credit_interval_ms = edge->opts.set->credit_interval_ms,
	};

	edge->upstream = upstream;
	if (!opts.self.port) {
		upstream->ops->run(upstream);
		return;
	}
	edge->relay_out = (struct edge_relay_out){ { &relay_out_ops }, edge };
	edge->relay = relay_new(&opts);
	relay_start(edge->relay, edge_now(edge));
	schedule(edge);
}

struct relay *edge_relay(struct edge *edge)
{
	return edge->relay;
}

void edge_run(struct edge *edge)
{
	while (lws_service(edge->context, 0) >= 0 && !stop_complete(edge))
		;
	steer_stop(edge->control_state.steer, edge_now(edge));
	flush_outboxes(edge);
	decision_log(DECISION_PROCESS, edge_now(edge), "state=stopped flows=%u",
		     steer_flow_count(edge->control_state.steer));
}

struct lws_context *edge_context(struct edge *edge)
{
	return edge->context;
}

struct control_state *edge_control_state(struct edge *edge)
{
	return &edge->control_state;
}
