/* Callers of the emulator: the client side of flows, requests, and checks of what comes back. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "world.h"

#define OPEN_MS	     1400
#define DEADLINE_MS  1500
#define PAUSE_MS     250 /* between requests of a caller, at most */
#define RETRIES	     2
#define SEGMENT_MAX  16
#define RESET_WINDOW 76800

static const int64_t copies_ms[] = { 200, 600 };

enum cstate { IDLE, OPENING, OPEN };

struct segment {
	uint32_t seq;
	uint16_t len;
	uint8_t data[MAX_DATA];
};

struct caller {
	unsigned int nr;
	unsigned int dc;
	uint32_t ip;
	int fd;
	uint16_t next_port;
	enum cstate state;
	uint16_t sport;
	uint16_t dport;
	uint32_t echo;
	uint32_t opening_seq;
	unsigned int copies;
	int64_t opened_ms;
	uint32_t peer_next;
	uint32_t last_ack;
	struct sender out;
	bool has_out;
	struct segment early[SEGMENT_MAX]; /* data that came before its turn */
	GString *answer;
	struct target *target; /* that has taken the flow, as far as the emulator can tell */

	bool busy; /* a request is under way */
	bool once; /* it may run once at most */
	bool sent; /* its bytes have been sent on a flow */
	char id[40];
	unsigned int serial;
	unsigned int tries;
	int64_t asked_ms;
	int64_t next_ms;
	unsigned int second;
};

struct caller *caller_start(struct world *w, unsigned int nr, unsigned int dc)
{
	struct caller *cl = g_new0(struct caller, 1);

	cl->nr = nr;
	cl->dc = dc;
	cl->ip = world_ip(PART_CALLER, dc, nr + 1);
	cl->fd = open_udp(cl->ip, UDP_PORT);
	cl->next_port = 10000;
	cl->once = nr % 3 == 0;
	cl->answer = g_string_new(NULL);
	cl->next_ms = w->now_ms + wrandom(w, PAUSE_MS);
	g_ptr_array_add(w->callers, cl);
	return cl;
}

static void drop_flow(struct caller *cl)
{
	if (cl->has_out)
		sender_release(&cl->out);
	cl->has_out = false;
	cl->state = IDLE;
}

void caller_free(struct caller *cl)
{
	drop_flow(cl);
	close(cl->fd);
	g_string_free(cl->answer, TRUE);
	g_free(cl);
}

/* The fabric: rendezvous hash over the instances in rotation of the caller's data centre. */
static struct instance *route(struct world *w, const struct caller *cl, bool rotation)
{
	struct instance *best = NULL;
	uint32_t best_score = 0;

	for (guint i = 0; i < w->instances->len; i++) {
		struct instance *inst = g_ptr_array_index(w->instances, i);
		uint32_t score = (cl->ip ^ (uint32_t)cl->sport << 8 ^ cl->dport) * 2654435761u;

		score = (score ^ (inst->nr + 1) * 0x9e3779b1u) * 2246822519u;
		if (inst->dc == cl->dc && (!rotation || inst->in_rotation) && score >= best_score) {
			best = inst;
			best_score = score;
		}
	}
	return best || !rotation ? best : route(w, cl, false);
}

static void send_packet(struct world *w, struct caller *cl, uint8_t flags, uint32_t seq,
			uint32_t ack, const uint8_t *data, uint16_t len)
{
	struct wpacket pkt = {
		.seq = seq,
		.ack = ack,
		.echo = flags & FLAG_SYN ? 0 : cl->echo,
		.flags = flags,
		.src = cl->ip,
		.dst = SERVICE_IP,
		.sport = cl->sport,
		.dport = cl->dport,
		.data = data,
		.len = len,
	};
	const struct instance *inst = route(w, cl, true);
	uint8_t bytes[MAX_PACKET];
	size_t size = wpacket_encode(&pkt, bytes);

	cl->last_ack = ack;
	if (inst && wrandom(w, 1000) >= w->loss_permille)
		send_udp(cl->fd, inst->ip, UDP_PORT, bytes, size);
}

static void open_flow(struct world *w, struct caller *cl)
{
	drop_flow(cl);
	cl->state = OPENING;
	cl->sport = cl->next_port++;
	cl->dport = w->extra_port && wrandom(w, 4) == 0 ? w->extra_port : w->route_port;
	cl->echo = 0;
	cl->opening_seq = wrandom(w, 1u << 30);
	cl->copies = 0;
	cl->opened_ms = w->now_ms;
	cl->target = NULL;
	g_string_truncate(cl->answer, 0);
	memset(cl->early, 0, sizeof(cl->early));
	send_packet(w, cl, FLAG_SYN, cl->opening_seq, 0, NULL, 0);
}

static void put_request(struct caller *cl)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "GET /%s HTTP/1.1\r\nHost: x\r\nX-Jujubestage-Request-Id: %s\r\n\r\n",
			cl->id, cl->id);
	g_byte_array_append(cl->out.bytes, (const guint8 *)text->str, (guint)text->len);
	g_string_free(text, TRUE);
	cl->sent = true;
}

static void finish(struct world *w, struct caller *cl, bool served)
{
	if (served) {
		w->served++;
		w->second_served[cl->second]++;
	} else {
		w->failed++;
	}
	cl->busy = false;
	cl->next_ms = w->now_ms + 20 + wrandom(w, PAUSE_MS);
}

static void note_failed_try(struct world *w, const struct caller *cl, const char *how)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.000Z");

	g_string_append_printf(w->failed_tries, "%s %s %u.%u.%u.%u:%u %s\n", time, cl->id,
			       cl->ip >> 24, cl->ip >> 16 & 255, cl->ip >> 8 & 255, cl->ip & 255,
			       cl->sport, how);
	g_free(time);
	g_date_time_unref(now);
}

/*
 * The flow has ended without an answer, as @how says: the request is tried again where that is
 * allowed.
 */
static void flow_failed(struct world *w, struct caller *cl, const char *how)
{
	bool may_have_run = cl->sent;

	if (cl->busy)
		note_failed_try(w, cl, how);
	drop_flow(cl);
	if (!cl->busy)
		return;
	if ((may_have_run && cl->once) || cl->tries >= RETRIES ||
	    w->now_ms - cl->asked_ms >= DEADLINE_MS) {
		finish(w, cl, false);
		return;
	}
	cl->tries++;
	cl->sent = false;
	open_flow(w, cl);
}

static void ask(struct world *w, struct caller *cl)
{
	cl->busy = true;
	cl->sent = false;
	cl->tries = 0;
	cl->asked_ms = w->now_ms;
	cl->second = (unsigned int)MIN((w->now_ms - w->start_ms) / 1000, 255);
	g_snprintf(cl->id, sizeof(cl->id), "%s-%u-%u", cl->once ? "once" : "many", cl->nr,
		   ++cl->serial);
	w->asked++;
	w->second_asked[cl->second]++;
	if (cl->state == OPEN)
		put_request(cl);
	else
		open_flow(w, cl);
}

static bool answer_is_whole(struct world *w, const struct caller *cl, bool *closes)
{
	const char *head = cl->answer->str;
	const char *body = strstr(head, "\r\n\r\n");
	const char *length = strstr(head, "Content-Length: ");
	size_t len;

	if (!body || !length || length > body)
		return false;
	body += 4;
	len = strtoul(length + strlen("Content-Length: "), NULL, 10);
	if (cl->answer->len - (size_t)(body - head) < len)
		return false;
	if (strncmp(body, cl->id, strlen(cl->id)) != 0 || body[strlen(cl->id)] != ':')
		breach(w, "MIXED: caller %u got the answer of another request", cl->nr);
	*closes = strstr(head, "Connection: close") != NULL;
	return true;
}

static void close_flow(struct world *w, struct caller *cl)
{
	send_packet(w, cl, FLAG_FIN | FLAG_ACK, cl->out.base + cl->out.sent, cl->peer_next, NULL,
		    0);
}

/* A rejected request has not run, so any may be tried again. */
static bool is_rejected(const struct caller *cl)
{
	return g_str_has_prefix(cl->answer->str, "HTTP/1.1 503 ") &&
	       strstr(cl->answer->str, "\r\n\r\n");
}

static void take_answer(struct world *w, struct caller *cl)
{
	bool closes = false;

	if (cl->busy && is_rejected(cl)) {
		cl->sent = false;
		close_flow(w, cl);
		flow_failed(w, cl, "rejected-by-target");
		return;
	}
	if (!cl->busy || !answer_is_whole(w, cl, &closes))
		return;
	g_string_truncate(cl->answer, 0);
	finish(w, cl, true);
	if (closes || w->one_request || wrandom(w, 8) == 0) {
		close_flow(w, cl);
		drop_flow(cl);
	}
}

static void keep_early(struct caller *cl, const struct wpacket *pkt)
{
	for (int i = 0; i < SEGMENT_MAX; i++) {
		if (cl->early[i].len)
			continue;
		cl->early[i].seq = pkt->seq;
		cl->early[i].len = pkt->len;
		memcpy(cl->early[i].data, pkt->data, pkt->len);
		return;
	}
}

static void take_early(struct caller *cl)
{
	bool found = true;

	while (found) {
		found = false;
		for (int i = 0; i < SEGMENT_MAX; i++) {
			struct segment *seg = &cl->early[i];

			if (!seg->len || seg->seq != cl->peer_next)
				continue;
			g_string_append_len(cl->answer, (const char *)seg->data, seg->len);
			cl->peer_next += seg->len;
			seg->len = 0;
			found = true;
		}
	}
}

static void take_data(struct world *w, struct caller *cl, const struct wpacket *pkt)
{
	if (pkt->seq == cl->peer_next) {
		g_string_append_len(cl->answer, (const char *)pkt->data, pkt->len);
		cl->peer_next += pkt->len;
		take_early(cl);
	} else if ((int32_t)(pkt->seq - cl->peer_next) > 0) {
		keep_early(cl, pkt);
	}
	send_packet(w, cl, FLAG_ACK, cl->out.base + cl->out.sent, cl->peer_next, NULL, 0);
	take_answer(w, cl);
}

static struct target *target_by_ip(struct world *w, uint32_t ip)
{
	for (guint i = 0; i < w->targets->len; i++) {
		if (world_ip(PART_TARGET, (i + 1) >> 8, (i + 1) & 255) == ip)
			return g_ptr_array_index(w->targets, i);
	}
	return NULL;
}

static bool all_instances_calm(const struct world *w)
{
	for (guint i = 0; i < w->instances->len; i++) {
		if (!instance_calm(w, g_ptr_array_index(w->instances, i)))
			return false;
	}
	return true;
}

/* A reset that an instance made has no sum. */
static void take_reset(struct world *w, struct caller *cl, const struct wpacket *pkt, uint32_t from)
{
	const struct instance *inst = instance_by_ip(w, from);

	if (inst && pkt->sum)
		breach(w, "MIXED: an instance sent a packet with a sum to caller %u", cl->nr);
	if (cl->state == OPEN && (uint32_t)(pkt->seq - cl->last_ack) > RESET_WINDOW &&
	    (uint32_t)(cl->last_ack - pkt->seq) > RESET_WINDOW)
		return;
	if (inst && cl->state == OPENING)
		w->refused++;
	if (inst && cl->state == OPEN && cl->target && target_calm(w, cl->target) &&
	    instance_calm(w, inst) && cl->dport == w->route_port)
		breach(w, "FLOW: instance %u reset a flow of caller %u whose target %s lives",
		       inst->nr, cl->nr, target_id(cl->target));
	/* A target answers packets of a flow that it does not hold with a reset. */
	if (!inst && cl->state == OPEN && cl->target && target_by_ip(w, from) != cl->target &&
	    target_calm(w, cl->target) && all_instances_calm(w))
		breach(w, "FLOW: packets of caller %u for %s reached another target", cl->nr,
		       target_id(cl->target));
	if (cl->state == OPENING)
		flow_failed(w, cl, inst ? "refused-by-instance" : "refused-by-target");
	else
		flow_failed(w, cl, inst ? "reset-by-instance" : "reset-by-target");
}

static void accept_flow(struct world *w, struct caller *cl, const struct wpacket *pkt,
			struct target *tgt)
{
	cl->state = OPEN;
	cl->target = tgt;
	cl->peer_next = pkt->seq + 1;
	sender_init(&cl->out, cl->opening_seq + 1);
	cl->has_out = true;
	send_packet(w, cl, FLAG_ACK, cl->out.base, cl->peer_next, NULL, 0);
	if (cl->busy)
		put_request(cl);
}

static void take_packet(struct world *w, struct caller *cl, const struct wpacket *pkt,
			uint32_t from)
{
	if (pkt->dport != cl->sport || pkt->sport != cl->dport || cl->state == IDLE)
		return;
	if (pkt->flags & FLAG_RST) {
		take_reset(w, cl, pkt, from);
		return;
	}
	if (!wpacket_sum_ok(pkt)) {
		breach(w, "MIXED: caller %u got a packet that no target wrote so", cl->nr);
		return;
	}
	cl->echo = pkt->echo;
	if (pkt->flags & FLAG_SYN) {
		if (cl->state == OPENING)
			accept_flow(w, cl, pkt, target_by_ip(w, from));
		return;
	}
	if (cl->state != OPEN)
		return;
	sender_acked(&cl->out, pkt->ack);
	if (pkt->len)
		take_data(w, cl, pkt);
	if (pkt->flags & FLAG_FIN && cl->state == OPEN && !cl->busy)
		drop_flow(cl);
}

static void receive(struct world *w, struct caller *cl)
{
	uint8_t bytes[MAX_PACKET];
	struct sockaddr_storage from;
	ssize_t size;

	for (;;) {
		socklen_t len = sizeof(from);
		struct wpacket pkt;
		uint32_t ip;

		size = recvfrom(cl->fd, bytes, sizeof(bytes), MSG_DONTWAIT,
				(struct sockaddr *)&from, &len);
		if (size < 0)
			return;
		memcpy(&ip, (char *)&from + 4, sizeof(ip));
		if (wrandom(w, 1000) < w->loss_permille)
			continue;
		if (wpacket_decode(&pkt, bytes, (size_t)size))
			take_packet(w, cl, &pkt, GUINT32_FROM_BE(ip));
		else
			breach(w, "MIXED: caller %u got bytes that are no packet", cl->nr);
	}
}

void callers_fds(struct world *w, GArray *fds)
{
	for (guint i = 0; i < w->callers->len; i++) {
		const struct caller *cl = g_ptr_array_index(w->callers, i);
		struct pollfd fd = { cl->fd, POLLIN, 0 };

		g_array_append_val(fds, fd);
	}
}

void callers_ready(struct world *w, const struct pollfd *fd)
{
	for (guint i = 0; i < w->callers->len; i++) {
		struct caller *cl = g_ptr_array_index(w->callers, i);

		if (cl->fd == fd->fd)
			receive(w, cl);
	}
}

struct caller_send {
	struct world *w;
	struct caller *cl;
};

static void send_part(void *arg, uint32_t seq, const uint8_t *data, uint16_t len, bool fin)
{
	const struct caller_send *cs = arg;

	(void)fin;
	send_packet(cs->w, cs->cl, FLAG_ACK, seq, cs->cl->peer_next, data, len);
}

static void run_caller(struct world *w, struct caller *cl)
{
	struct caller_send cs = { w, cl };

	if (cl->state == OPENING && cl->copies < G_N_ELEMENTS(copies_ms) &&
	    w->now_ms - cl->opened_ms >= copies_ms[cl->copies]) {
		cl->copies++;
		send_packet(w, cl, FLAG_SYN, cl->opening_seq, cl->copies, NULL, 0);
	}
	if (cl->busy && w->now_ms - cl->asked_ms >= DEADLINE_MS) {
		note_failed_try(w, cl, "deadline");
		drop_flow(cl);
		finish(w, cl, false);
	} else if (cl->state == OPENING && w->now_ms - cl->opened_ms >= OPEN_MS) {
		flow_failed(w, cl, "not-accepted");
	}
	if (cl->state == OPEN)
		sender_run(&cl->out, w->now_ms, send_part, &cs);
	if (!cl->busy && w->now_ms >= cl->next_ms && w->now_ms + DEADLINE_MS < w->end_ms)
		ask(w, cl);
}

void callers_shift(struct world *w)
{
	for (guint i = 0; i < w->callers->len; i++) {
		struct caller *cl = g_ptr_array_index(w->callers, i);

		if (wrandom(w, 2))
			cl->dc = (cl->dc + 1) % DATA_CENTRES;
	}
}

void callers_timer(struct world *w)
{
	for (guint i = 0; i < w->callers->len; i++)
		run_caller(w, g_ptr_array_index(w->callers, i));
}
