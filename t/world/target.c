/* Targets of the emulator: the server side of flows, entries in the store, and health listeners. */
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "world.h"

#define PREFIX_BYTES 8
#define LAPSE_MS     2300 /* three heartbeats: a silent target's entry is removed then */
#define LINGER_MS    4500 /* a draining target leaves this long after it said so */
#define HALF_OPEN_MS 2000
#define BLOCKERS     4
#define BACKLOG	     64

/* A datagram that waits because its target is slow. */
struct held {
	int64_t due_ms;
	uint32_t from;
	size_t size;
	uint8_t bytes[MAX_PACKET + PREFIX_BYTES];
};

enum target_state { LIVE, DRAINING, DARK, CLOSED };

struct tflow {
	uint32_t caller_ip;
	uint16_t caller_port;
	uint16_t service_port;
	uint32_t echo;
	uint32_t peer_next; /* next byte that is expected */
	bool open;
	int64_t began_ms;
	GString *request;
	GString *answering; /* id of the request that is worked on, "" for none */
	int64_t answer_ms;
	struct sender out;
	bool closing;
};

struct target {
	unsigned int nr;
	char id[32];
	uint64_t wire_id;
	uint32_t ip;
	char *service;
	unsigned int dc;
	enum target_state state;
	int64_t born_ms;
	int64_t drained_ms; /* when the store took the report */
	int64_t gone_ms;    /* when the entry is to be removed */
	int64_t disturbed_ms;
	int fd;
	int listener;
	int blockers[BLOCKERS]; /* connections that fill the queue of a dark target */
	GPtrArray *flows;
	GQueue held; /* struct held, the earliest first */
	int64_t delay_ms;
	int64_t slow_until_ms;
	int64_t hang_until_ms;
	int64_t rejects_until_ms; /* 0 while it rejects no requests */
	int64_t refuses_from_ms;  /* connections and openings, until then */
};

static void free_flow(gpointer data)
{
	struct tflow *flow = data;

	g_string_free(flow->request, TRUE);
	g_string_free(flow->answering, TRUE);
	sender_release(&flow->out);
	g_free(flow);
}

static void publish(struct world *w, struct target *tgt)
{
	char address[ADDRESS_TEXT];
	char *spec = g_strdup_printf(
		"{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"dc%u\",\"version\":\"v1\","
		"\"slots\":2,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":1,\"born\":"
		"%" G_GINT64_FORMAT "}",
		tgt->service,
		world_address(PART_TARGET, tgt->nr >> 8, tgt->nr & 255, TARGET_PORT, address),
		tgt->dc, tgt->state == DRAINING ? "draining" : "ready", tgt->born_ms);

	store_put(w, "servers", tgt->id, spec);
	g_free(spec);
}

struct target *target_start(struct world *w, const char *service, unsigned int dc)
{
	struct target *tgt = g_new0(struct target, 1);

	tgt->nr = ++w->next_target;
	tgt->wire_id = 0xabc0000000ull + tgt->nr;
	g_snprintf(tgt->id, sizeof(tgt->id), "i-%010" G_GINT64_MODIFIER "x", tgt->wire_id);
	tgt->ip = world_ip(PART_TARGET, tgt->nr >> 8, tgt->nr & 255);
	tgt->service = g_strdup(service);
	tgt->dc = dc;
	tgt->born_ms = 1700000000000 + w->now_ms;
	tgt->fd = open_udp(tgt->ip, TARGET_PORT);
	tgt->listener = open_listener(tgt->ip, TARGET_PORT, BACKLOG);
	tgt->flows = g_ptr_array_new_with_free_func(free_flow);
	g_ptr_array_add(w->targets, tgt);
	publish(w, tgt);
	return tgt;
}

void target_free(struct target *tgt)
{
	if (tgt->fd >= 0)
		close(tgt->fd);
	if (tgt->listener >= 0)
		close(tgt->listener);
	for (int i = 0; i < BLOCKERS; i++) {
		if (tgt->blockers[i] > 0)
			close(tgt->blockers[i]);
	}
	g_queue_clear_full(&tgt->held, g_free);
	g_ptr_array_unref(tgt->flows);
	g_free(tgt->service);
	g_free(tgt);
}

const char *target_id(const struct target *tgt)
{
	return tgt->id;
}

bool target_takes_faults(const struct target *tgt)
{
	return tgt->state == LIVE;
}

bool target_calm(const struct world *w, const struct target *tgt)
{
	return (tgt->state == LIVE || tgt->state == DRAINING) && w->now_ms >= tgt->disturbed_ms;
}

void target_drain(struct world *w, struct target *tgt)
{
	tgt->state = DRAINING;
	tgt->drained_ms = w->now_ms;
	tgt->gone_ms = w->now_ms + LINGER_MS;
	publish(w, tgt);
}

static void close_ports(struct target *tgt)
{
	close(tgt->fd);
	close(tgt->listener);
	tgt->fd = -1;
	tgt->listener = -1;
}

void target_hang(struct target *tgt, int64_t until_ms)
{
	tgt->hang_until_ms = until_ms;
}

void target_fill(const struct world *w, struct target *tgt, int64_t until_ms)
{
	if (!tgt->rejects_until_ms)
		tgt->refuses_from_ms = w->now_ms + w->full_notice_ms;
	tgt->rejects_until_ms = until_ms;
}

static bool refuses(const struct target *tgt)
{
	return tgt->listener < 0;
}

static void run_full(const struct world *w, struct target *tgt)
{
	if (w->now_ms >= tgt->rejects_until_ms) {
		tgt->rejects_until_ms = 0;
		if (refuses(tgt))
			tgt->listener = open_listener(tgt->ip, TARGET_PORT, BACKLOG);
	} else if (!refuses(tgt) && w->now_ms >= tgt->refuses_from_ms) {
		close(tgt->listener);
		tgt->listener = -1;
	}
}

void target_crash(struct world *w, struct target *tgt, bool dark)
{
	g_ptr_array_set_size(tgt->flows, 0);
	g_queue_clear_full(&tgt->held, g_free);
	if (refuses(tgt))
		tgt->listener = open_listener(tgt->ip, TARGET_PORT, BACKLOG);
	tgt->rejects_until_ms = 0;
	tgt->state = dark ? DARK : CLOSED;
	tgt->gone_ms = w->now_ms + LAPSE_MS;
	if (!dark) {
		close_ports(tgt);
		return;
	}
	/* A full queue of connections drops further ones, as a machine without power does. */
	listen(tgt->listener, 0);
	for (int i = 0; i < BLOCKERS; i++) {
		struct sockaddr_storage sa;
		socklen_t len = sizeof(sa);

		tgt->blockers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		getsockname(tgt->listener, (struct sockaddr *)&sa, &len);
		(void)!connect(tgt->blockers[i], (struct sockaddr *)&sa, len);
	}
}

void target_slow_down(struct target *tgt, int64_t delay_ms, int64_t until_ms)
{
	tgt->delay_ms = delay_ms;
	tgt->slow_until_ms = until_ms;
}

void target_restart_same(struct world *w, struct target *tgt)
{
	g_ptr_array_set_size(tgt->flows, 0);
	g_queue_clear_full(&tgt->held, g_free);
	tgt->born_ms++;
	tgt->disturbed_ms = w->now_ms + CONTACT_MS;
	publish(w, tgt);
}

static struct tflow *find_flow(const struct target *tgt, const struct wpacket *pkt)
{
	for (guint i = 0; i < tgt->flows->len; i++) {
		struct tflow *flow = g_ptr_array_index(tgt->flows, i);

		if (flow->caller_ip == pkt->src && flow->caller_port == pkt->sport &&
		    flow->service_port == pkt->dport)
			return flow;
	}
	return NULL;
}

static void reply(const struct target *tgt, const struct wpacket *to, uint8_t flags, uint32_t seq,
		  uint32_t ack, const uint8_t *data, uint16_t len)
{
	struct wpacket pkt = {
		.seq = seq,
		.ack = ack,
		.echo = to->echo,
		.flags = flags,
		.src = to->dst,
		.dst = to->src,
		.sport = to->dport,
		.dport = to->sport,
		.data = data,
		.len = len,
	};
	uint8_t bytes[MAX_PACKET];
	size_t size = wpacket_encode(&pkt, bytes);

	send_udp(tgt->fd, to->src, UDP_PORT, bytes, size);
}

/*
 * What an instance sends when it wakes from a pause: the packets that waited must not go by what
 * ran out meanwhile. Its way to the store must have been well.
 */
static void check_paused(struct world *w, const struct instance *inst, const struct target *tgt,
			 const struct wpacket *pkt)
{
	if (!inst->resumed_ms || w->now_ms - inst->resumed_ms > PAUSED_MS ||
	    w->now_ms < inst->store_disturbed_ms)
		return;
	if (tgt->drained_ms && w->now_ms > tgt->drained_ms + DRAIN_MS)
		breach(w, "PAUSED: opening reached %s %d ms after it said that it leaves, from %u",
		       tgt->id, (int)(w->now_ms - tgt->drained_ms), inst->nr);
	if (pkt->dport == w->dropped_port && w->now_ms > w->dropped_ms + APPLY_MS)
		breach(w, "PAUSED: opening on a dropped route from %u", inst->nr);
}

/* Promises about openings, judged where they arrive. */
static void check_opening(struct world *w, const struct target *tgt, const struct wpacket *pkt,
			  uint32_t from)
{
	const struct instance *inst = instance_by_ip(w, from);

	if (!inst) {
		breach(w, "UNASKED: target %s got a packet from no instance", tgt->id);
		return;
	}
	if ((pkt->dport == w->route_port && strcmp(tgt->service, "web") != 0 &&
	     strcmp(tgt->service, "web2") != 0) ||
	    (pkt->dport != w->route_port && strcmp(tgt->service, "docs") != 0))
		breach(w, "ROUTE: opening for port %u reached %s of %s", pkt->dport, tgt->id,
		       tgt->service);
	check_paused(w, inst, tgt, pkt);
	if (!instance_calm(w, inst))
		return;
	if (tgt->drained_ms && w->now_ms > tgt->drained_ms + DRAIN_MS)
		breach(w, "DRAIN: opening reached %s %d ms after it said so, from %u", tgt->id,
		       (int)(w->now_ms - tgt->drained_ms), inst->nr);
	if (w->withdrawn_dc == (int)tgt->dc && w->now_ms > w->withdrawn_ms + WITHDRAW_MS)
		breach(w, "EVAC: opening reached dc%u from %u", tgt->dc, inst->nr);
	if (pkt->dport == w->dropped_port && w->now_ms > w->dropped_ms + APPLY_MS)
		breach(w, "CONFIG: opening on a dropped route from %u", inst->nr);
}

static void take_opening(struct world *w, struct target *tgt, const struct wpacket *pkt,
			 uint32_t from)
{
	struct tflow *flow = find_flow(tgt, pkt);

	check_opening(w, tgt, pkt, from);
	if (!flow && refuses(tgt)) {
		reply(tgt, pkt, FLAG_RST, 0, pkt->seq + 1, NULL, 0);
		return;
	}
	if (!flow) {
		flow = g_new0(struct tflow, 1);
		flow->caller_ip = pkt->src;
		flow->caller_port = pkt->sport;
		flow->service_port = pkt->dport;
		flow->peer_next = pkt->seq + 1;
		flow->began_ms = w->now_ms;
		flow->request = g_string_new(NULL);
		flow->answering = g_string_new(NULL);
		sender_init(&flow->out, wrandom(w, 1u << 30) + 1);
		g_ptr_array_add(tgt->flows, flow);
	}
	flow->echo = pkt->echo;
	reply(tgt, pkt, FLAG_SYN | FLAG_ACK, flow->out.base - 1, flow->peer_next, NULL, 0);
}

static void put_text(struct tflow *flow, const char *text)
{
	g_byte_array_append(flow->out.bytes, (const guint8 *)text, (guint)strlen(text));
}

static void run_request(struct world *w, struct target *tgt, struct tflow *flow)
{
	char id[64] = "";
	const char *header = strstr(flow->request->str, "X-Jujubestage-Request-Id: ");

	if (header)
		(void)!sscanf(header, "X-Jujubestage-Request-Id: %63s", id);
	g_string_truncate(flow->request, 0);
	if (!*id) {
		breach(w, "UNASKED: %s got a request without an id", tgt->id);
		return;
	}
	if (tgt->rejects_until_ms && wrandom(w, 2)) {
		put_text(flow, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
		return;
	}
	if (strstr(id, "once") && g_hash_table_contains(w->ran, id))
		breach(w, "ONCE: request %s ran again at %s", id, tgt->id);
	g_hash_table_add(w->ran, g_strdup(id));
	if (w->now_ms < tgt->hang_until_ms && wrandom(w, 2))
		return;
	g_string_assign(flow->answering, id);
	flow->answer_ms = w->now_ms + w->work_ms;
}

static void take_data(struct world *w, struct target *tgt, struct tflow *flow,
		      const struct wpacket *pkt)
{
	if (pkt->seq == flow->peer_next) {
		g_string_append_len(flow->request, (const char *)pkt->data, pkt->len);
		flow->peer_next += pkt->len;
	}
	if (!flow->answering->len && strstr(flow->request->str, "\r\n\r\n"))
		run_request(w, tgt, flow);
	else
		reply(tgt, pkt, FLAG_ACK, flow->out.base + flow->out.sent, flow->peer_next, NULL,
		      0);
}

static void take_packet(struct world *w, struct target *tgt, const struct wpacket *pkt)
{
	struct tflow *flow = find_flow(tgt, pkt);

	if (pkt->flags & FLAG_RST) {
		if (flow)
			g_ptr_array_remove_fast(tgt->flows, flow);
		return;
	}
	if (!flow) {
		reply(tgt, pkt, FLAG_RST, pkt->ack, 0, NULL, 0);
		return;
	}
	flow->echo = pkt->echo;
	flow->open = true;
	sender_acked(&flow->out, pkt->ack);
	if (pkt->len)
		take_data(w, tgt, flow, pkt);
	if (pkt->flags & FLAG_FIN) {
		reply(tgt, pkt, FLAG_ACK | FLAG_FIN, flow->out.base + flow->out.sent, pkt->seq + 1,
		      NULL, 0);
		g_ptr_array_remove_fast(tgt->flows, flow);
	}
}

static void take_datagram(struct world *w, struct target *tgt, const uint8_t *bytes, size_t size,
			  uint32_t from)
{
	struct wpacket pkt;
	uint64_t prefix = 0;

	for (int i = 0; i < PREFIX_BYTES; i++)
		prefix = prefix << 8 | bytes[i];
	if (prefix && prefix != tgt->wire_id)
		return;
	if (!wpacket_decode(&pkt, bytes + PREFIX_BYTES, size - PREFIX_BYTES) ||
	    !wpacket_sum_ok(&pkt)) {
		breach(w, "UNASKED: %s got a packet that no caller wrote so", tgt->id);
		return;
	}
	if (pkt.flags & FLAG_SYN)
		take_opening(w, tgt, &pkt, from);
	else
		take_packet(w, tgt, &pkt);
}

static void hold(struct world *w, struct target *tgt, const uint8_t *bytes, size_t size,
		 uint32_t from)
{
	struct held *held = g_new0(struct held, 1);

	held->due_ms = w->now_ms + tgt->delay_ms;
	held->from = from;
	held->size = size;
	memcpy(held->bytes, bytes, size);
	g_queue_push_tail(&tgt->held, held);
}

static void receive(struct world *w, struct target *tgt)
{
	uint8_t bytes[MAX_PACKET + PREFIX_BYTES];
	struct sockaddr_storage from;
	uint32_t ip;
	ssize_t size;

	for (;;) {
		socklen_t len = sizeof(from);

		size = recvfrom(tgt->fd, bytes, sizeof(bytes), MSG_DONTWAIT,
				(struct sockaddr *)&from, &len);
		if (size < PREFIX_BYTES)
			return;
		if (tgt->state == DARK)
			continue;
		memcpy(&ip, (char *)&from + 4, sizeof(ip));
		ip = GUINT32_FROM_BE(ip);
		/* Packets keep their order when the target is fast again. */
		if (w->now_ms < tgt->slow_until_ms || tgt->held.length)
			hold(w, tgt, bytes, (size_t)size, ip);
		else
			take_datagram(w, tgt, bytes, (size_t)size, ip);
	}
}

static void take_held(struct world *w, struct target *tgt)
{
	struct held *held;

	while ((held = g_queue_peek_head(&tgt->held)) && w->now_ms >= held->due_ms) {
		g_queue_pop_head(&tgt->held);
		take_datagram(w, tgt, held->bytes, held->size, held->from);
		g_free(held);
	}
}

void targets_fds(struct world *w, GArray *fds)
{
	for (guint i = 0; i < w->targets->len; i++) {
		const struct target *tgt = g_ptr_array_index(w->targets, i);
		struct pollfd udp = { tgt->fd, POLLIN, 0 };
		struct pollfd tcp = { tgt->listener, POLLIN, 0 };

		if (tgt->fd < 0)
			continue;
		g_array_append_val(fds, udp);
		if (tgt->state != DARK)
			g_array_append_val(fds, tcp);
	}
}

void targets_ready(struct world *w, const struct pollfd *fd)
{
	for (guint i = 0; i < w->targets->len; i++) {
		struct target *tgt = g_ptr_array_index(w->targets, i);

		if (tgt->fd == fd->fd) {
			receive(w, tgt);
			return;
		}
		if (tgt->listener == fd->fd) {
			int client = accept4(tgt->listener, NULL, NULL, SOCK_CLOEXEC);

			if (client >= 0)
				close(client);
			return;
		}
	}
}

struct flow_send {
	struct target *tgt;
	struct tflow *flow;
};

static void send_part(void *arg, uint32_t seq, const uint8_t *data, uint16_t len, bool fin)
{
	const struct flow_send *fs = arg;
	struct wpacket to = {
		.src = fs->flow->caller_ip,
		.sport = fs->flow->caller_port,
		.dst = SERVICE_IP,
		.dport = fs->flow->service_port,
		.echo = fs->flow->echo,
	};

	reply(fs->tgt, &to, FLAG_ACK | (fin ? FLAG_FIN : 0), seq, fs->flow->peer_next, data, len);
}

static void run_flow(struct world *w, struct target *tgt, struct tflow *flow)
{
	struct flow_send fs = { tgt, flow };

	if (flow->answering->len && w->now_ms >= flow->answer_ms) {
		GString *body = g_string_new(NULL);
		GString *text = g_string_new(NULL);

		/* Two packets and a bit, so that answers span packets. */
		for (int i = 0; i < 60; i++)
			g_string_append_printf(body, "%s:%03d:xxxxxxxxxxxxxxxxxxxxxxxxxx\n",
					       flow->answering->str, i);
		flow->closing |= tgt->state == DRAINING;
		g_string_printf(text, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n%s\r\n%s",
				body->len, flow->closing ? "Connection: close\r\n" : "", body->str);
		put_text(flow, text->str);
		flow->out.fin = flow->closing;
		g_string_truncate(flow->answering, 0);
		g_string_free(body, TRUE);
		g_string_free(text, TRUE);
	}
	sender_run(&flow->out, w->now_ms, send_part, &fs);
}

static void run_target(struct world *w, struct target *tgt)
{
	take_held(w, tgt);
	if (tgt->rejects_until_ms)
		run_full(w, tgt);
	for (guint i = tgt->flows->len; i-- > 0;) {
		struct tflow *flow = g_ptr_array_index(tgt->flows, i);

		if (!flow->open && w->now_ms - flow->began_ms > HALF_OPEN_MS)
			g_ptr_array_remove_index_fast(tgt->flows, i);
		else
			run_flow(w, tgt, flow);
	}
	if (!tgt->gone_ms || w->now_ms < tgt->gone_ms)
		return;
	tgt->gone_ms = 0;
	store_delete(w, "servers", tgt->id);
	if (tgt->state == DRAINING) {
		tgt->state = CLOSED;
		close_ports(tgt);
	}
}

void targets_timer(struct world *w)
{
	for (guint i = 0; i < w->targets->len; i++)
		run_target(w, g_ptr_array_index(w->targets, i));
}
