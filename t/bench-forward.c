/*
 * Measures processor time per packet of the finished path against a bare recvmmsg/sendmmsg poll
 * forwarder, with many open flows. Everything runs in one thread over loopback UDP: a batch is put
 * into the forwarder's socket, one step of the forwarder is measured, and the batch is taken from
 * its destination. Blocks of both forwarders alternate, so that a busy machine slows both.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "flowtab.h"
#include "loop.h"
#include "udp.h"
#include "wire-gue.h"

#define INNER_BYTES  200
#define BLOCKS	     41
#define BLOCK_ROUNDS 250 /* batches in a block */
#define TARGETS	     14
#define LOOPBACK     0x7f000001u
#define SERVICE_IP   0xc0000201u
#define SERVICE_PORT 7000
#define RATIO_LIMIT  1.5
#define SETTLE_MS    4000
#define NSEC(ts)     ((uint64_t)(ts).tv_sec * 1000000000u + (uint64_t)(ts).tv_nsec)

struct bench {
	struct settings set;
	struct loop *loop;
	struct endpoint sink_ep; /* of the first target; the bare forwarder sends there */
	int source;
	int sinks[TARGETS]; /* the others have the same port and the next addresses */
	int egress;
	int bare;
	int health;
	pthread_t health_thread;
	struct endpoint bare_ep;
	struct udp_in bare_in;
	struct udp_out bare_out;
	struct udp_out feed;
	struct udp_out answers;
	struct udp_in drain;
	uint8_t packets[UDP_BATCH][GUE_BASE_BYTES + INNER_BYTES];
	uint32_t flows;
	uint64_t rng;
	uint64_t lost;
	uint8_t sk[crypto_sign_SECRETKEYBYTES];
};

static void die(const char *what)
{
	fprintf(stderr, "bench-forward: %s\n", what);
	exit(1);
}

static int open_any(struct endpoint *ep)
{
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);
	int fd = udp_open((struct endpoint){ LOOPBACK, 0 });

	if (fd < 0 || getsockname(fd, (struct sockaddr *)&sa, &len))
		die("cannot open a socket");
	*ep = (struct endpoint){ LOOPBACK, ntohs(sa.sin_port) };
	return fd;
}

/* A free address: an unused port, as the socket is closed again. */
static struct endpoint free_ep(void)
{
	struct endpoint ep = { 0 };

	close(open_any(&ep));
	return ep;
}

static void post(struct bench *b, struct event ev)
{
	ev.now = loop_now(b->loop);
	loop_post(b->loop, &ev);
}

static void put_object(struct bench *b, peer_object_kind kind, const char *name, const char *doc)
{
	struct event ev = { .type = EVENT_OBJECT };

	ev.object = (struct object){
		.kind = kind,
		.name = name,
		.generation = 1,
		.document = (const uint8_t *)doc,
		.len = strlen(doc),
	};
	crypto_sign_detached(ev.object.signature, NULL, ev.object.document, ev.object.len, b->sk);
	post(b, ev);
}

/* One service; the addresses of its targets differ in the last byte. */
static void configure(struct bench *b)
{
	char key[2 * sizeof(b->set.fleet_key) + 1];
	GString *grants = g_string_new(NULL);
	GString *org = g_string_new(NULL);

	sodium_bin2hex(key, sizeof(key), b->set.fleet_key, sizeof(b->set.fleet_key));
	g_string_printf(grants,
			"{\"grants\":\"fleet\",\"generation\":1,\"organisations\":[{\"name\":"
			"\"bench\",\"key\":\"%s\",\"max_flows\":4000000,\"addresses\":"
			"[\"192.0.2.0/28\"],\"targets\":[\"127.0.0.0/8\"]}]}",
			key);
	g_string_append(org, "{\"organisation\":\"bench\",\"generation\":1,\"request_id\":\"00\","
			     "\"author\":\"bench\",\"time\":\"2026-12-04T05:00:00Z\","
			     "\"template\":\"none\",\"parameters\":{},\"withdrawn\":[],"
			     "\"services\":[{\"name\":\"bench\",\"address\":\"192.0.2.1:7000\","
			     "\"protocol\":\"tcp\",\"idle_timeout_ms\":3600000,\"silence_ms\":0,"
			     "\"retry_permille\":100,\"max_new_flows\":0,\"slo_permille\":999,"
			     "\"targets\":[");
	for (int i = 0; i < TARGETS; i++)
		g_string_append_printf(org,
				       "%s{\"name\":\"t-%d\",\"address\":\"127.0.0.%d:%u\","
				       "\"data_centre\":\"dc\",\"slots\":2,\"max_flows\":4000000,"
				       "\"warmup_ms\":1,\"health\":\"127.0.0.%d:%u\","
				       "\"draining\":false}",
				       i ? "," : "", i, i + 1, b->sink_ep.port, i + 1,
				       b->sink_ep.port);
	g_string_append(org, "]}]}");
	put_object(b, PEER_OBJECT_GRANTS, "fleet", grants->str);
	put_object(b, PEER_OBJECT_ORGANISATION, "bench", org->str);
	if (!config_ready(core_config(loop_core(b->loop))))
		die("the configuration was rejected");
	g_string_free(grants, TRUE);
	g_string_free(org, TRUE);
}

/* Answers health probes of all targets, in a thread of its own that is not measured. */
static void *serve_health(void *arg)
{
	static const char answer[] =
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 65\r\n"
		"Connection: close\r\n\r\n"
		"{\"ready\":true,\"start_marker\":1,\"load_permille\":1,\"connections\":0}";
	int listener = *(int *)arg;
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		char request[2048];

		if (read(fd, request, sizeof(request)) > 0 &&
		    write(fd, answer, sizeof(answer) - 1) < 0)
			perror("bench-forward: health");
		close(fd);
	}
	return NULL;
}

static void start_health(struct bench *b)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(b->sink_ep.port) };

	b->health = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (b->health < 0 || bind(b->health, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(b->health, 64) ||
	    pthread_create(&b->health_thread, NULL, serve_health, &b->health))
		die("cannot serve health probes");
}

/* Time for probes and for the assignment of buckets. */
static void settle(struct bench *b)
{
	struct timespec end = ts_add_ms(loop_now(b->loop), SETTLE_MS);

	while (ts_cmp(loop_now(b->loop), end) < 0)
		loop_serve(b->loop);
}

static void bench_open(struct bench *b)
{
	struct loop_options opts = {
		.set = &b->set,
		.clock = system_clock(),
		.random = system_random(),
		.incarnation = 1,
	};
	struct endpoint ep;
	const unsigned char seed[crypto_sign_SEEDBYTES] = { 1 };

	settings_init(&b->set);
	crypto_sign_seed_keypair(b->set.fleet_key, b->sk, seed);
	b->set.id = 1;
	g_string_assign(b->set.name, "bench");
	g_string_assign(b->set.group, "bench");
	g_string_assign(b->set.data_centre, "dc");
	b->set.packets = free_ep();
	b->set.answers = free_ep();
	b->set.peers = free_ep();
	b->egress = open_any(&b->set.egress);
	b->set.nr_peer_keys = 1;
	b->set.max_flows = 4000000;
	b->sinks[0] = open_any(&b->sink_ep);
	for (uint32_t i = 1; i < TARGETS; i++) {
		b->sinks[i] = udp_open((struct endpoint){ LOOPBACK + i, b->sink_ep.port });
		if (b->sinks[i] < 0)
			die("cannot open a target's socket");
	}
	b->source = open_any(&ep);
	b->bare = open_any(&b->bare_ep);
	udp_in_init(&b->bare_in, 2304);
	udp_in_init(&b->drain, 2304);
	udp_out_init(&b->feed, b->source);
	udp_out_init(&b->answers, -1);
	udp_out_init(&b->bare_out, b->bare);
	if (loop_new(&opts, &b->loop))
		die("cannot start the loop");
	start_health(b);
	configure(b);
	settle(b);
}

static void bench_close(struct bench *b)
{
	loop_free(b->loop);
	shutdown(b->health, SHUT_RDWR);
	pthread_join(b->health_thread, NULL);
	close(b->health);
	settings_release(&b->set);
	udp_in_release(&b->bare_in);
	udp_in_release(&b->drain);
	close(b->source);
	for (size_t i = 0; i < TARGETS; i++)
		close(b->sinks[i]);
	close(b->egress);
	close(b->bare);
}

static uint64_t next_random(struct bench *b)
{
	b->rng ^= b->rng << 13;
	b->rng ^= b->rng >> 7;
	b->rng ^= b->rng << 17;
	return b->rng;
}

/* A packet of flow @flow: its opening or a later one with data. */
static void make_packet(uint8_t *p, uint32_t flow, bool opening)
{
	uint32_t ip = htonl(0x0a000000u + flow / 50000);
	uint32_t service = htonl(SERVICE_IP);
	uint32_t seq = htonl(opening ? 1000 : 1001);
	uint16_t ports[] = { htons((uint16_t)(1024 + flow % 50000)), htons(SERVICE_PORT) };
	uint16_t sum;

	memset(p, 0, INNER_BYTES);
	p[0] = 0x45;
	p[3] = INNER_BYTES;
	p[8] = 64;
	p[9] = IPPROTO_TCP;
	memcpy(p + 12, &ip, 4);
	memcpy(p + 16, &service, 4);
	sum = htons(inet_checksum(p, 20, 0));
	memcpy(p + 10, &sum, 2);
	memcpy(p + 20, ports, 4);
	memcpy(p + 24, &seq, 4);
	/* An opening has no payload: its header fills the packet as far as options can. */
	p[32] = 5 << 4;
	p[33] = opening ? 0x02 : 0x10;
}

/* Puts one batch of packets into the socket of @to. */
static void feed(struct bench *b, struct endpoint to, uint32_t first, bool opening)
{
	for (uint32_t i = 0; i < UDP_BATCH; i++) {
		uint32_t flow =
			opening ? (first + i) % b->flows : (uint32_t)(next_random(b) % b->flows);

		make_packet(b->packets[i] + gue_build(b->packets[i], NO_DEADLINE), flow, opening);
		udp_out_add(&b->feed, to, i * sizeof(b->packets[0]), sizeof(b->packets[0]));
	}
	udp_out_flush(&b->feed, b->packets[0]);
}

/* Makes the accepting answer of a target out of an opening in its place. */
static void make_answer(uint8_t *p)
{
	static const uint8_t ack[] = { 0, 0, 0x03, 0xe9 };
	uint8_t caller[4];
	uint8_t port[2];

	memcpy(caller, p + 12, 4);
	memmove(p + 12, p + 16, 4);
	memcpy(p + 16, caller, 4);
	memcpy(port, p + 20, 2);
	memmove(p + 20, p + 22, 2);
	memcpy(p + 22, port, 2);
	memcpy(p + 28, ack, sizeof(ack));
	p[33] = 0x12;
}

/* Takes a batch from the targets, which accept the openings in it when @answer is set. */
static void take(struct bench *b, bool answer)
{
	int taken = 0;

	for (size_t t = 0; t < TARGETS; t++) {
		int nr = udp_in_receive(&b->drain, b->sinks[t]);

		for (int i = 0; answer && i < nr; i++) {
			make_answer((uint8_t *)b->drain.iovs[i].iov_base + GUE_BASE_BYTES);
			udp_out_add(&b->answers, b->set.answers, (size_t)i * b->drain.size,
				    b->drain.msgs[i].msg_len);
		}
		b->answers.fd = b->sinks[t];
		udp_out_flush(&b->answers, b->drain.buffers);
		taken += MAX(nr, 0);
	}
	b->lost += UDP_BATCH - (uint64_t)taken;
	if (answer) {
		loop_serve(b->loop);
		udp_in_receive(&b->drain, b->egress);
	}
}

/* The least that a forwarder does: wait, read a batch, send it on. */
static void bare_step(struct bench *b)
{
	struct pollfd pfd = { .fd = b->bare, .events = POLLIN };
	int nr;

	poll(&pfd, 1, -1);
	nr = udp_in_receive(&b->bare_in, b->bare);
	for (int i = 0; i < nr; i++) {
		const uint8_t *bytes;
		struct endpoint src;
		size_t len;

		udp_in_at(&b->bare_in, i, &bytes, &len, &src);
		udp_out_add(&b->bare_out, b->sink_ep, (size_t)(bytes - b->bare_in.buffers), len);
	}
	udp_out_flush(&b->bare_out, b->bare_in.buffers);
}

static uint64_t cpu_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return NSEC(ts);
}

/* Nanoseconds a packet in one block. */
static double block(struct bench *b, bool bare)
{
	uint64_t used = 0;

	for (int i = 0; i < BLOCK_ROUNDS; i++) {
		uint64_t start;

		feed(b, bare ? b->bare_ep : b->set.packets, 0, false);
		start = cpu_now();
		if (bare)
			bare_step(b);
		else
			loop_serve(b->loop);
		used += cpu_now() - start;
		take(b, false);
	}
	return (double)used / (BLOCK_ROUNDS * UDP_BATCH);
}

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double median(double *values, size_t nr)
{
	qsort(values, nr, sizeof(*values), compare_double);
	return values[nr / 2];
}

static double measure(uint32_t flows)
{
	struct bench *b = g_new0(struct bench, 1);
	double bare[BLOCKS];
	double ours[BLOCKS];
	double ratio;

	b->flows = flows;
	b->rng = 0x9e3779b97f4a7c15u;
	bench_open(b);
	for (uint32_t first = 0; first < flows; first += UDP_BATCH) {
		feed(b, b->set.packets, first, true);
		loop_serve(b->loop);
		take(b, true);
	}
	b->lost = 0;
	for (int i = 0; i < BLOCKS; i++) {
		bare[i] = block(b, true);
		ours[i] = block(b, false);
	}
	ratio = median(ours, BLOCKS) / median(bare, BLOCKS);
	printf("%8u %8zu %8.0f %8.0f %7.2f %8" PRIu64 "\n", flows,
	       flowtab_count(core_flows(loop_core(b->loop))), bare[BLOCKS / 2], ours[BLOCKS / 2],
	       ratio, b->lost);
	bench_close(b);
	g_free(b);
	return ratio;
}

int main(void)
{
	static const uint32_t flows[] = { 200000, 2000000 };
	double worst = 0;

	if (sodium_init() < 0)
		die("cannot initialise libsodium");
	printf("processor time of one thread, %d-byte packets, batches of %d, median of %d blocks "
	       "of "
	       "%d packets each\n",
	       INNER_BYTES, UDP_BATCH, BLOCKS, BLOCK_ROUNDS * UDP_BATCH);
	printf("%8s %8s %8s %8s %7s %8s\n", "flows", "cached", "bare ns", "path ns", "ratio",
	       "lost");
	for (size_t i = 0; i < G_N_ELEMENTS(flows); i++) {
		double ratio = measure(flows[i]);
		worst = MAX(worst, ratio);
	}
	printf("highest ratio %.2f, target %.2f: %s\n", worst, RATIO_LIMIT,
	       worst <= RATIO_LIMIT ? "met" : "missed");
	return 0;
}
