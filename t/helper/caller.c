/*
 * Stand-in for callers: many flows over minimal TCP, each with one or several requests. Every
 * answer is checked whole against the id of its request.
 *
 *   standin caller --fabric EP --service EP [--flows 100] [--requests 1000] [--open-per-s 200]
 *       [--size 4000] [--work-ms 5] [--think-ms 20] [--address 10.9.0.1] [--seed 1]
 *       [--seconds 30] [--progress FILE]
 *
 * Prints "requests=N answered=N refused=N lost=N crossed=N broken_flows=N"; exits 0 only when
 * lost, crossed and broken_flows are 0. With --progress, FILE holds the number of finished
 * requests while the run goes on.
 */
#include "standin.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS	      5
#define PORTS	      50000
#define FIRST_PORT    10000
#define PROGRESS_STEP 50

struct caller_flow {
	struct conn conn;
	uint32_t first; /* its requests are first .. first + count - 1 */
	uint32_t count;
	uint32_t done;
	bool asked;	 /* the current request was sent */
	bool have_head;	 /* its answer's first line was read */
	uint32_t got;	 /* bytes of its answer checked */
	int64_t next_ms; /* when the next request may be sent */
	bool started;
	bool ended;
};

static struct caller_flow *flows;
static uint32_t nr_flows;
static struct endpoint fabric, service;
static int fd;
static long size, work_ms, think_ms;
static uint64_t seed;
static uint32_t answered, refused, lost, crossed, broken;

static void conn_send(struct conn *conn, const struct seg *seg)
{
	uint8_t buf[SEG_BUFFER];

	(void)conn;
	udp_send(fd, fabric, buf, seg_build(seg, buf));
}

static void end_flow(struct caller_flow *flow, uint32_t *count)
{
	if (flow->ended)
		return;
	flow->ended = true;
	*count += flow->count - flow->done;
}

/* Checks the bytes of the current answer; false when they belong to another request. */
static bool check_answer(struct caller_flow *flow, int64_t now)
{
	GByteArray *in = flow->conn.in;
	uint32_t id = flow->first + flow->done;
	uint8_t *end;

	if (!flow->have_head) {
		char line[64] = "";
		char want[64];

		end = memchr(in->data, '\n', in->len);
		if (!end)
			return in->len < sizeof(line);
		memcpy(line, in->data, MIN((size_t)(end - in->data), sizeof(line) - 1));
		snprintf(want, sizeof(want), "ANS %u %ld", id, size);
		if (strcmp(line, want) != 0)
			return false;
		g_byte_array_remove_range(in, 0, (guint)(end - in->data) + 1);
		flow->have_head = true;
		flow->got = 0;
	}
	for (guint i = 0; i < in->len; i++) {
		if (in->data[i] != answer_byte(id, flow->got + i))
			return false;
	}
	flow->got += in->len;
	g_byte_array_set_size(in, 0);
	if (flow->got < size)
		return true;
	answered++;
	flow->done++;
	flow->asked = flow->have_head = false;
	flow->next_ms = now + (think_ms ? prng_below(&seed, (uint32_t)think_ms * 2) : 0);
	return flow->got == size;
}

static void advance(struct caller_flow *flow, int64_t now)
{
	struct conn *conn = &flow->conn;
	char line[64];
	int len;

	if (conn->state == CONN_REFUSED) {
		end_flow(flow, &refused);
		return;
	}
	if (conn->in->len && flow->asked && !check_answer(flow, now)) {
		crossed++;
		end_flow(flow, &lost);
		return;
	}
	if (conn->state == CONN_DONE) {
		end_flow(flow, &lost);
		return;
	}
	if (conn->state == CONN_RESET || (conn->peer_fin && !conn->fin)) {
		if (flow->done < flow->count)
			broken++;
		end_flow(flow, &lost);
		return;
	}
	if (conn->state != CONN_OPEN || flow->asked || now < flow->next_ms)
		return;
	if (flow->done == flow->count) {
		conn->fin = true;
	} else {
		len = snprintf(line, sizeof(line), "REQ %u %ld %ld\n", flow->first + flow->done,
			       size, work_ms);
		g_byte_array_append(conn->out, (const guint8 *)line, (guint)len);
		flow->asked = true;
	}
	conn_output(conn, now);
}

static void receive(struct endpoint first, int64_t now)
{
	uint8_t buf[SEG_BUFFER];
	struct endpoint from;
	struct seg seg;
	size_t len;

	while ((len = udp_receive(fd, &from, buf, sizeof(buf)))) {
		uint32_t index;

		if (!seg_parse(buf, len, &seg) || seg.dst.ip < first.ip ||
		    seg.dst.port < FIRST_PORT)
			continue;
		index = (seg.dst.ip - first.ip) * PORTS + seg.dst.port - FIRST_PORT;
		if (index >= nr_flows || !flows[index].started ||
		    !endpoint_equal(seg.src, service)) {
			crossed++;
			continue;
		}
		conn_input(&flows[index].conn, &seg, now);
		if (!flows[index].ended)
			advance(&flows[index], now);
	}
}

static void start_flow(uint32_t index, struct endpoint first, int64_t now)
{
	struct caller_flow *flow = &flows[index];

	flow->started = true;
	flow->conn = (struct conn){
		.local = { first.ip + index / PORTS, (uint16_t)(FIRST_PORT + index % PORTS) },
		.remote = service,
		.iss = prng_below(&seed, UINT32_MAX),
		.send = conn_send,
	};
	conn_connect(&flow->conn, now);
}

static void write_progress(const char *path, uint32_t count)
{
	FILE *file = path ? fopen(path, "w") : NULL;

	if (!file)
		return;
	fprintf(file, "%u\n", count);
	fclose(file);
}

/* Starts flows at their rate and drives all; returns the number of flows that are not over. */
static uint32_t tick(struct endpoint first, int64_t age_ms, long rate, int64_t now)
{
	uint32_t left = 0;

	for (uint32_t i = 0; i < nr_flows; i++) {
		struct caller_flow *flow = &flows[i];

		if (!flow->started && age_ms * rate / 1000 >= i)
			start_flow(i, first, now);
		if (!flow->ended)
			left++;
		if (!flow->started || flow->ended)
			continue;
		conn_timer(&flow->conn, now);
		advance(flow, now);
	}
	return left;
}

int standin_caller(int argc, char **argv)
{
	int64_t begin = now_ms();
	int64_t end = begin + opt_num(argc, argv, "--seconds", 30) * 1000;
	uint32_t requests = (uint32_t)opt_num(argc, argv, "--requests", 1000);
	long rate = opt_num(argc, argv, "--open-per-s", 200);
	const char *progress = opt_nth(argc, argv, "--progress", 0, NULL);
	char *address = g_strdup_printf("%s:0", opt_nth(argc, argv, "--address", 0, "10.9.0.1"));
	struct endpoint first = opt_endpoint(address);
	uint32_t shown = 0;
	struct pollfd pfd;

	g_free(address);
	fabric = opt_endpoint(opt_nth(argc, argv, "--fabric", 0, NULL));
	service = opt_endpoint(opt_nth(argc, argv, "--service", 0, NULL));
	nr_flows = (uint32_t)opt_num(argc, argv, "--flows", 100);
	size = opt_num(argc, argv, "--size", 4000);
	work_ms = opt_num(argc, argv, "--work-ms", 5);
	think_ms = opt_num(argc, argv, "--think-ms", 20);
	seed = (uint64_t)opt_num(argc, argv, "--seed", 1);
	fd = udp_socket((struct endpoint){ 0x7f000001, 0 });
	pfd = (struct pollfd){ .fd = fd, .events = POLLIN };
	flows = g_new0(struct caller_flow, nr_flows);
	for (uint32_t i = 0; i < nr_flows; i++) {
		flows[i].first = (uint32_t)((uint64_t)requests * i / nr_flows);
		flows[i].count =
			(uint32_t)((uint64_t)requests * (i + 1) / nr_flows) - flows[i].first;
	}
	while (running() && now_ms() < end) {
		poll(&pfd, 1, TICK_MS);
		receive(first, now_ms());
		if (!tick(first, now_ms() - begin, rate, now_ms()))
			break;
		if (answered + refused >= shown + PROGRESS_STEP)
			write_progress(progress, shown = answered + refused);
	}
	/* A flow that is still open has lost only the requests without an answer. */
	for (uint32_t i = 0; i < nr_flows; i++)
		end_flow(&flows[i], &lost);
	printf("requests=%u answered=%u refused=%u lost=%u crossed=%u broken_flows=%u\n", requests,
	       answered, refused, lost, crossed, broken);
	return lost || crossed || broken ? 1 : 0;
}
