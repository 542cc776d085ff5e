/*
 * Stand-in for the fabric: hands packets of callers and answers of targets to balancers, chosen
 * anew for each packet by a seeded generator, with loss, delay and duplication on request.
 *
 *   standin fabric --callers EP --answers EP --egress EP --balancer PACKETS,ANSWERS[,ADMIN] ...
 *       [--seed 1] [--loss 0] [--dup 0] [--delay-ms 0] [--jitter-ms 0] [--seconds 60]
 *
 * Callers send to the first address, targets to the second, balancers to the third. A balancer
 * with an ADMIN address gets packets only while GET /healthz there answers 200. Loss and
 * duplication are per mille. Answers keep the outer source of their target.
 */
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_BALANCERS 64
#define PROBE_MS      100
#define PROBE_WAIT_MS 400
#define BATCH	      64

struct balancer {
	struct endpoint packets;
	struct endpoint answers;
	struct endpoint admin;
	bool live;
	int probe; /* socket of a health check under way, or -1 */
	int64_t probed_ms;
};

struct delayed {
	int64_t due_ms;
	int fd;
	struct endpoint to;
	size_t len;
	uint8_t bytes[];
};

static struct balancer balancers[MAX_BALANCERS];
static size_t nr_balancers;
static GHashTable *callers; /* inner address to outer endpoint */
static GHashTable *sources; /* outer endpoint of a target to a socket that sends from it */
static GQueue delay_line = G_QUEUE_INIT;
static uint64_t seed;
static long loss, dup_permille, delay_ms, jitter_ms;
static unsigned long carried, lost;

static gpointer endpoint_key(struct endpoint ep)
{
	return GSIZE_TO_POINTER((gsize)ep.ip << 16 | ep.port);
}

static void emit(int fd, struct endpoint to, const uint8_t *bytes, size_t len)
{
	long wait = delay_ms + (jitter_ms ? prng_below(&seed, (uint32_t)jitter_ms) : 0);
	struct delayed *item;

	if (!wait) {
		udp_send(fd, to, bytes, len);
		return;
	}
	item = g_malloc(sizeof(*item) + len);
	item->due_ms = now_ms() + wait;
	item->fd = fd;
	item->to = to;
	item->len = len;
	memcpy(item->bytes, bytes, len);
	g_queue_push_tail(&delay_line, item);
}

static void carry(int fd, struct endpoint to, const uint8_t *bytes, size_t len)
{
	carried++;
	if (loss && prng_below(&seed, 1000) < loss) {
		lost++;
		return;
	}
	emit(fd, to, bytes, len);
	if (dup_permille && prng_below(&seed, 1000) < dup_permille)
		emit(fd, to, bytes, len);
}

static void flush_delayed(int64_t now)
{
	for (GList *l = delay_line.head, *next; l; l = next) {
		struct delayed *item = l->data;

		next = l->next;
		if (item->due_ms > now)
			continue;
		udp_send(item->fd, item->to, item->bytes, item->len);
		g_free(item);
		g_queue_delete_link(&delay_line, l);
	}
}

static struct balancer *pick(void)
{
	struct balancer *live[MAX_BALANCERS];
	uint32_t nr = 0;

	for (size_t i = 0; i < nr_balancers; i++) {
		if (balancers[i].live)
			live[nr++] = &balancers[i];
	}
	return nr ? live[prng_below(&seed, nr)] : NULL;
}

/*
 * A second socket at the target's address. Connecting it to the discard port keeps it from taking
 * packets that are meant for the target itself.
 */
static int source_socket(struct endpoint ep)
{
	gpointer found = g_hash_table_lookup(sources, endpoint_key(ep));
	struct sockaddr_in nobody = { .sin_family = AF_INET, .sin_port = htons(9) };
	int fd;

	if (found)
		return GPOINTER_TO_INT(found);
	fd = udp_socket(ep);
	nobody.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&nobody, sizeof(nobody)) < 0)
		exit(1);
	g_hash_table_insert(sources, endpoint_key(ep), GINT_TO_POINTER(fd));
	return fd;
}

static void from_callers(int fd)
{
	uint8_t buf[SEG_BUFFER];
	struct endpoint from;
	struct balancer *bal;
	struct seg seg;
	size_t len;

	for (int i = 0; i < BATCH && (len = udp_receive(fd, &from, buf, sizeof(buf))); i++) {
		if (!seg_parse(buf, len, &seg))
			continue;
		g_hash_table_insert(callers, GUINT_TO_POINTER(seg.src.ip), endpoint_key(from));
		bal = pick();
		if (bal)
			carry(fd, bal->packets, buf, len);
	}
}

static void from_targets(int fd)
{
	uint8_t buf[SEG_BUFFER];
	struct endpoint from;
	struct balancer *bal;
	size_t len;

	for (int i = 0; i < BATCH && (len = udp_receive(fd, &from, buf, sizeof(buf))); i++) {
		bal = pick();
		if (bal)
			carry(source_socket(from), bal->answers, buf, len);
	}
}

static void from_balancers(int fd)
{
	uint8_t buf[SEG_BUFFER];
	struct endpoint from;
	struct seg seg;
	gsize to;
	size_t len;

	for (int i = 0; i < BATCH && (len = udp_receive(fd, &from, buf, sizeof(buf))); i++) {
		if (!seg_parse(buf, len, &seg)) {
			fprintf(stderr, "fabric: a balancer sent a malformed packet\n");
			continue;
		}
		to = GPOINTER_TO_SIZE(g_hash_table_lookup(callers, GUINT_TO_POINTER(seg.dst.ip)));
		if (to)
			carry(fd, (struct endpoint){ (uint32_t)(to >> 16), (uint16_t)to }, buf,
			      len);
	}
}

static void probe_end(struct balancer *bal, bool live)
{
	close(bal->probe);
	bal->probe = -1;
	bal->live = live;
}

static void probe_start(struct balancer *bal, int64_t now)
{
	static const char request[] =
		"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(bal->admin.port),
		.sin_addr.s_addr = htonl(bal->admin.ip),
	};

	bal->probed_ms = now;
	bal->probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	/* A connection to loopback is accepted or refused at once, even by a paused process. */
	if (connect(bal->probe, (struct sockaddr *)&sin, sizeof(sin)) < 0 ||
	    write(bal->probe, request, strlen(request)) < 0)
		probe_end(bal, false);
}

static void probe_all(int64_t now)
{
	char head[16];
	ssize_t len;

	for (size_t i = 0; i < nr_balancers; i++) {
		struct balancer *bal = &balancers[i];

		if (!bal->admin.port)
			continue;
		if (bal->probe < 0) {
			if (now - bal->probed_ms >= PROBE_MS)
				probe_start(bal, now);
			continue;
		}
		len = recv(bal->probe, head, sizeof(head), MSG_DONTWAIT);
		if (len >= 12)
			probe_end(bal, !memcmp(head + 8, " 200", 4));
		else if (len >= 0 || errno != EAGAIN || now - bal->probed_ms > PROBE_WAIT_MS)
			probe_end(bal, false);
	}
}

static void add_balancer(const char *text)
{
	struct balancer *bal = &balancers[nr_balancers++];
	char **part = g_strsplit(text, ",", 3);
	guint nr = g_strv_length(part);

	if (nr < 2)
		exit(2);
	bal->packets = opt_endpoint(part[0]);
	bal->answers = opt_endpoint(part[1]);
	if (nr > 2)
		bal->admin = opt_endpoint(part[2]);
	bal->live = nr == 2;
	bal->probe = -1;
	g_strfreev(part);
}

int standin_fabric(int argc, char **argv)
{
	int64_t end_ms = now_ms() + opt_num(argc, argv, "--seconds", 60) * 1000;
	struct pollfd pfds[3];
	const char *text;

	seed = (uint64_t)opt_num(argc, argv, "--seed", 1);
	loss = opt_num(argc, argv, "--loss", 0);
	dup_permille = opt_num(argc, argv, "--dup", 0);
	delay_ms = opt_num(argc, argv, "--delay-ms", 0);
	jitter_ms = opt_num(argc, argv, "--jitter-ms", 0);
	callers = g_hash_table_new(NULL, NULL);
	sources = g_hash_table_new(NULL, NULL);
	while (nr_balancers < MAX_BALANCERS &&
	       (text = opt_nth(argc, argv, "--balancer", (unsigned int)nr_balancers, NULL)))
		add_balancer(text);
	pfds[0].fd = udp_socket(opt_endpoint(opt_nth(argc, argv, "--callers", 0, NULL)));
	pfds[1].fd = udp_socket(opt_endpoint(opt_nth(argc, argv, "--answers", 0, NULL)));
	pfds[2].fd = udp_socket(opt_endpoint(opt_nth(argc, argv, "--egress", 0, NULL)));
	for (int i = 0; i < 3; i++)
		pfds[i].events = POLLIN;
	while (running() && now_ms() < end_ms) {
		poll(pfds, 3, delay_line.length ? 1 : 20);
		from_callers(pfds[0].fd);
		from_targets(pfds[1].fd);
		from_balancers(pfds[2].fd);
		flush_delayed(now_ms());
		probe_all(now_ms());
	}
	printf("fabric: carried=%lu lost=%lu\n", carried, lost);
	return 0;
}
