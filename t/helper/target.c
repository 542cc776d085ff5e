/*
 * Stand-in for targets: several in one process, each with a GUE address and an HTTP endpoint.
 *
 *   standin target --answers FABRIC --target NAME,GUE,HTTP [--target ...] [--slots 2]
 *       [--max-flows 2000] [--cold-ms 0] [--cold-openings 20] [--seconds 60]
 *
 * A request is a line "REQ ID SIZE WORK_MS", its answer "ANS ID SIZE" and SIZE bytes that follow
 * from ID. GET /control?KEY=VALUE changes a target: drain, shed, silent, dead, fall, lag_ms (age
 * of reports), lie_ready and lie_load (reported in place of the truth, -1 for none). A cold target
 * that gets more than its share of openings falls over: it forgets its flows and starts again.
 * Closing line of each target: what it received, for checks.
 */
#include "standin.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_TARGETS	32
#define TICK_MS		10
#define CLOSED_KEEP_MS	3000
#define RESTART_MS	500
#define COLD_MIN_PERMIL 100

struct flow_id {
	struct endpoint src;
	struct endpoint dst;
};

struct served {
	struct flow_id id;
	struct conn conn;
	int64_t closed_ms;
};

struct work {
	struct served *flow;
	uint32_t id;
	uint32_t size;
	uint32_t work_ms;
	int64_t done_ms; /* 0 while it waits for a slot */
};

struct target {
	char name[64];
	int fd;
	int http;
	GHashTable *flows;
	GQueue work;
	uint32_t open;
	int64_t started_ms;
	int64_t down_until_ms;
	int64_t second_start_ms;
	uint32_t second_openings;
	uint32_t marker;
	long drain, shed, silent, dead, lag_ms, lie_ready, lie_load;
	/* the last report, renewed every lag_ms */
	int64_t report_ms;
	uint32_t report_load, report_flows;
	/* totals */
	uint32_t packets, openings, refused, unknown, requests, twice, falls, peak_open;
	int64_t last_packet_ms, last_opening_ms;
};

static struct target targets[MAX_TARGETS];
static size_t nr_targets;
static struct endpoint fabric;
static long slots, max_flows, cold_ms, cold_openings;
static int64_t begin_ms;
static GHashTable *ran; /* request ids that any target of this process started */

static guint flow_id_hash(gconstpointer key)
{
	const struct flow_id *id = key;

	return id->src.ip * 31 + id->src.port * 65599u + id->dst.ip + id->dst.port;
}

static gboolean flow_id_equal(gconstpointer a, gconstpointer b)
{
	const struct flow_id *x = a;
	const struct flow_id *y = b;

	return endpoint_equal(x->src, y->src) && endpoint_equal(x->dst, y->dst);
}

static void served_free(gpointer data)
{
	struct served *flow = data;

	conn_release(&flow->conn);
	g_free(flow);
}

static void send_seg(struct target *tgt, const struct seg *seg)
{
	uint8_t buf[SEG_BUFFER];

	if (!tgt->silent)
		udp_send(tgt->fd, fabric, buf, seg_build(seg, buf));
}

static void conn_send(struct conn *conn, const struct seg *seg)
{
	send_seg(conn->owner, seg);
}

static void send_reset(struct target *tgt, const struct seg *in)
{
	bool opening = in->flags & SEG_SYN;
	struct seg rst = {
		.src = in->dst,
		.dst = in->src,
		.seq = opening ? 0 : in->ack,
		.ack = opening ? in->seq + 1 : 0,
		.flags = opening ? SEG_RST | SEG_ACK : SEG_RST,
		.deadline_ms = NO_DEADLINE,
	};

	send_seg(tgt, &rst);
}

static void drop_work(struct target *tgt, const struct served *flow)
{
	for (GList *l = tgt->work.head, *next; l; l = next) {
		struct work *work = l->data;

		next = l->next;
		if (flow && work->flow != flow)
			continue;
		g_free(work);
		g_queue_delete_link(&tgt->work, l);
	}
}

static void fall_over(struct target *tgt, int64_t now)
{
	drop_work(tgt, NULL);
	g_hash_table_remove_all(tgt->flows);
	tgt->open = 0;
	tgt->falls++;
	tgt->marker++;
	tgt->down_until_ms = now + RESTART_MS;
	tgt->started_ms = now + RESTART_MS;
}

/* Openings a second that the target bears; 0 means no limit. */
static long bearable(const struct target *tgt, int64_t now)
{
	int64_t age = now - tgt->started_ms;

	if (!cold_ms || age >= cold_ms)
		return 0;
	return MAX(1, cold_openings * MAX(COLD_MIN_PERMIL, age * 1000 / cold_ms) / 1000);
}

static void take_opening(struct target *tgt, const struct seg *seg, int64_t now)
{
	struct served *flow;
	long limit = bearable(tgt, now);

	tgt->openings++;
	tgt->last_opening_ms = now;
	if (now - tgt->second_start_ms >= 1000) {
		tgt->second_start_ms = now;
		tgt->second_openings = 0;
	}
	if (tgt->shed || tgt->open >= max_flows) {
		tgt->refused++;
		send_reset(tgt, seg);
		return;
	}
	if (limit && ++tgt->second_openings > limit) {
		fall_over(tgt, now);
		return;
	}
	flow = g_new0(struct served, 1);
	flow->id = (struct flow_id){ seg->src, seg->dst };
	flow->conn = (struct conn){
		.local = seg->dst,
		.remote = seg->src,
		.iss = seg->seq * 2654435761u + tgt->marker * 40503u + (uint32_t)tgt->fd,
		.send = conn_send,
		.owner = tgt,
	};
	g_hash_table_replace(tgt->flows, &flow->id, flow);
	tgt->open++;
	tgt->peak_open = MAX(tgt->peak_open, tgt->open);
	conn_accept(&flow->conn, seg, now);
}

static void close_flow(struct target *tgt, struct served *flow, int64_t now)
{
	if (flow->closed_ms)
		return;
	flow->closed_ms = now;
	tgt->open--;
	drop_work(tgt, flow);
}

static void take_requests(struct target *tgt, struct served *flow)
{
	GByteArray *in = flow->conn.in;
	uint8_t *end;

	while ((end = memchr(in->data, '\n', in->len))) {
		struct work *work = g_new0(struct work, 1);
		guint len = (guint)(end - in->data) + 1;
		char line[64] = "";

		memcpy(line, in->data, MIN(len, sizeof(line) - 1));
		g_byte_array_remove_range(in, 0, len);
		work->flow = flow;
		if (sscanf(line, "REQ %u %u %u", &work->id, &work->size, &work->work_ms) != 3) {
			g_free(work);
			continue;
		}
		tgt->requests++;
		if (!g_hash_table_add(ran, GUINT_TO_POINTER(work->id)))
			tgt->twice++;
		g_queue_push_tail(&tgt->work, work);
	}
}

static void take_packet(struct target *tgt, const struct seg *seg, int64_t now)
{
	struct flow_id id = { seg->src, seg->dst };
	struct served *flow = g_hash_table_lookup(tgt->flows, &id);

	tgt->packets++;
	tgt->last_packet_ms = now;
	if (tgt->dead || now < tgt->down_until_ms)
		return;
	if (seg->flags & SEG_SYN && (!flow || flow->conn.irs != seg->seq)) {
		if (flow) {
			close_flow(tgt, flow, now);
			g_hash_table_remove(tgt->flows, &id);
		}
		take_opening(tgt, seg, now);
		return;
	}
	if (!flow) {
		if (seg->flags & SEG_RST)
			return;
		tgt->unknown++;
		send_reset(tgt, seg);
		return;
	}
	conn_input(&flow->conn, seg, now);
	take_requests(tgt, flow);
	if (flow->conn.peer_fin)
		flow->conn.fin = true;
	conn_output(&flow->conn, now);
	if (flow->conn.state > CONN_OPEN)
		close_flow(tgt, flow, now);
}

static void answer(struct work *work, int64_t now)
{
	struct conn *conn = &work->flow->conn;
	char head[64];
	int len = snprintf(head, sizeof(head), "ANS %u %u\n", work->id, work->size);

	g_byte_array_append(conn->out, (const guint8 *)head, (guint)len);
	for (uint32_t i = 0; i < work->size; i++) {
		uint8_t byte = answer_byte(work->id, i);

		g_byte_array_append(conn->out, &byte, 1);
	}
	conn_output(conn, now);
}

static void run_work(struct target *tgt, int64_t now)
{
	long busy = 0;

	for (GList *l = tgt->work.head, *next; l && busy < slots; l = next, busy++) {
		struct work *work = l->data;

		next = l->next;
		if (!work->done_ms)
			work->done_ms = now + work->work_ms;
		if (work->done_ms > now)
			continue;
		answer(work, now);
		g_free(work);
		g_queue_delete_link(&tgt->work, l);
	}
}

static gboolean tick_flow(gpointer key, gpointer value, gpointer arg)
{
	struct served *flow = value;
	int64_t now = *(int64_t *)arg;

	(void)key;
	if (flow->closed_ms)
		return now - flow->closed_ms > CLOSED_KEEP_MS;
	conn_timer(&flow->conn, now);
	return FALSE;
}

static void tick(struct target *tgt, int64_t now)
{
	if (tgt->dead || now < tgt->down_until_ms)
		return;
	run_work(tgt, now);
	g_hash_table_foreach_remove(tgt->flows, tick_flow, &now);
	if (now - tgt->report_ms >= tgt->lag_ms) {
		tgt->report_ms = now;
		tgt->report_flows = tgt->open;
		tgt->report_load = (uint32_t)(MAX(tgt->work.length * 1000 / MAX(slots, 1),
						  tgt->open * 1000 / MAX(max_flows, 1)));
	}
}

static void control(struct target *tgt, const char *query)
{
	const struct {
		const char *key;
		long *value;
	} keys[] = {
		{ "drain=", &tgt->drain },	 { "shed=", &tgt->shed },
		{ "silent=", &tgt->silent },	 { "dead=", &tgt->dead },
		{ "lag_ms=", &tgt->lag_ms },	 { "lie_ready=", &tgt->lie_ready },
		{ "lie_load=", &tgt->lie_load },
	};

	if (g_str_has_prefix(query, "fall="))
		fall_over(tgt, now_ms());
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		if (g_str_has_prefix(query, keys[i].key))
			*keys[i].value = strtol(strchr(query, '=') + 1, NULL, 10);
	}
}

static const char *http_reply(const char *path, GString *body, void *arg)
{
	struct target *tgt = arg;
	bool ready = tgt->lie_ready >= 0 ? tgt->lie_ready : !tgt->drain && !tgt->shed;
	long load = tgt->lie_load >= 0 ? tgt->lie_load : (long)tgt->report_load;

	if (tgt->dead || now_ms() < tgt->down_until_ms)
		return "503 Service Unavailable";
	if (g_str_has_prefix(path, "/control?"))
		control(tgt, path + strlen("/control?"));
	g_string_printf(body,
			"{\"ready\": %s, \"start_marker\": %u, \"load_permille\": %ld, "
			"\"connections\": %u}\n",
			ready ? "true" : "false", tgt->marker, load, tgt->report_flows);
	return "200 OK";
}

static void add_target(const char *text)
{
	struct target *tgt = &targets[nr_targets++];
	char **part = g_strsplit(text, ",", 3);

	if (g_strv_length(part) != 3) {
		fprintf(stderr, "standin: bad target \"%s\"\n", text);
		exit(2);
	}
	g_strlcpy(tgt->name, part[0], sizeof(tgt->name));
	tgt->fd = udp_socket(opt_endpoint(part[1]));
	tgt->http = tcp_listener(opt_endpoint(part[2]));
	tgt->flows = g_hash_table_new_full(flow_id_hash, flow_id_equal, NULL, served_free);
	tgt->started_ms = now_ms();
	tgt->marker = (uint32_t)tgt->started_ms | 1;
	tgt->lie_ready = tgt->lie_load = -1;
	g_strfreev(part);
}

static void serve_once(struct pollfd *pfds)
{
	uint8_t buf[SEG_BUFFER];
	struct endpoint from;
	struct seg seg;
	size_t len;

	poll(pfds, nr_targets * 2, TICK_MS);
	for (size_t i = 0; i < nr_targets; i++) {
		int64_t now = now_ms();

		while (pfds[i * 2].revents &&
		       (len = udp_receive(targets[i].fd, &from, buf, sizeof(buf)))) {
			if (seg_parse(buf, len, &seg))
				take_packet(&targets[i], &seg, now);
		}
		if (pfds[i * 2 + 1].revents)
			http_answer(targets[i].http, http_reply, &targets[i]);
		tick(&targets[i], now);
	}
}

static void print_totals(const struct target *tgt)
{
	printf("target=%s packets=%u openings=%u refused=%u unknown=%u requests=%u run_twice=%u "
	       "falls=%u peak_flows=%u last_packet_ms=%ld last_opening_ms=%ld\n",
	       tgt->name, tgt->packets, tgt->openings, tgt->refused, tgt->unknown, tgt->requests,
	       tgt->twice, tgt->falls, tgt->peak_open,
	       tgt->packets ? (long)(tgt->last_packet_ms - begin_ms) : -1,
	       tgt->openings ? (long)(tgt->last_opening_ms - begin_ms) : -1);
}

int standin_target(int argc, char **argv)
{
	struct pollfd pfds[MAX_TARGETS * 2];
	const char *text;
	int64_t end_ms;

	begin_ms = now_ms();
	end_ms = begin_ms + opt_num(argc, argv, "--seconds", 60) * 1000;
	fabric = opt_endpoint(opt_nth(argc, argv, "--answers", 0, NULL));
	slots = opt_num(argc, argv, "--slots", 2);
	max_flows = opt_num(argc, argv, "--max-flows", 2000);
	cold_ms = opt_num(argc, argv, "--cold-ms", 0);
	cold_openings = opt_num(argc, argv, "--cold-openings", 20);
	ran = g_hash_table_new(NULL, NULL);
	while (nr_targets < MAX_TARGETS &&
	       (text = opt_nth(argc, argv, "--target", (unsigned int)nr_targets, NULL)))
		add_target(text);
	for (size_t i = 0; i < nr_targets; i++) {
		pfds[i * 2] = (struct pollfd){ .fd = targets[i].fd, .events = POLLIN };
		pfds[i * 2 + 1] = (struct pollfd){ .fd = targets[i].http, .events = POLLIN };
	}
	while (running() && now_ms() < end_ms)
		serve_once(pfds);
	for (size_t i = 0; i < nr_targets; i++)
		print_totals(&targets[i]);
	return 0;
}
