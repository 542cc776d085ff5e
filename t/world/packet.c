/* Packets of the emulator's callers and targets, and their senders. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "world.h"

/* Key of the sum; instances do not know it. */
#define SUM_KEY	  0x6a75756au
#define IN_FLIGHT 16

unsigned int world_net;

uint32_t world_ip(enum world_part part, unsigned int a, unsigned int b)
{
	return 127u << 24 | (8 * world_net + part) << 16 | a << 8 | b;
}

const char *world_address(enum world_part part, unsigned int a, unsigned int b, unsigned int port,
			  char text[ADDRESS_TEXT])
{
	g_snprintf(text, ADDRESS_TEXT, "127.%u.%u.%u:%u", 8 * world_net + part, a, b, port);
	return text;
}

static uint32_t sum_of(const struct wpacket *pkt)
{
	uint32_t head[] = { pkt->seq,	pkt->ack, pkt->flags, pkt->src,
			    pkt->sport, pkt->dst, pkt->dport, pkt->len };

	return XXH32(pkt->data, pkt->len, XXH32(head, sizeof(head), SUM_KEY));
}

static uint8_t *put(uint8_t *at, uint32_t val, unsigned int bytes)
{
	for (unsigned int i = 0; i < bytes; i++)
		*at++ = (uint8_t)(val >> (8 * i));
	return at;
}

static uint32_t get(const uint8_t **at, unsigned int bytes)
{
	uint32_t val = 0;

	for (unsigned int i = 0; i < bytes; i++)
		val |= (uint32_t) * (*at)++ << (8 * i);
	return val;
}

size_t wpacket_encode(struct wpacket *pkt, uint8_t *out)
{
	uint8_t *at = out;

	pkt->sum = sum_of(pkt);
	at = put(at, pkt->seq, 4);
	at = put(at, pkt->ack, 4);
	at = put(at, pkt->sum, 4);
	at = put(at, pkt->echo, 4);
	at = put(at, pkt->flags, 1);
	at = put(at, pkt->sport, 2);
	at = put(at, pkt->dst, 4);
	at = put(at, pkt->src, 4);
	at = put(at, pkt->dport, 2);
	at = put(at, pkt->len, 2);
	if (pkt->len)
		memcpy(at, pkt->data, pkt->len);
	return HEAD_BYTES + pkt->len;
}

bool wpacket_decode(struct wpacket *pkt, const uint8_t *bytes, size_t size)
{
	const uint8_t *at = bytes;

	if (size < HEAD_BYTES)
		return false;
	pkt->seq = get(&at, 4);
	pkt->ack = get(&at, 4);
	pkt->sum = get(&at, 4);
	pkt->echo = get(&at, 4);
	pkt->flags = (uint8_t)get(&at, 1);
	pkt->sport = (uint16_t)get(&at, 2);
	pkt->dst = get(&at, 4);
	pkt->src = get(&at, 4);
	pkt->dport = (uint16_t)get(&at, 2);
	pkt->len = (uint16_t)get(&at, 2);
	pkt->data = at;
	return pkt->len == size - HEAD_BYTES;
}

bool wpacket_sum_ok(const struct wpacket *pkt)
{
	return pkt->sum == sum_of(pkt);
}

void sender_init(struct sender *snd, uint32_t base)
{
	*snd = (struct sender){ .bytes = g_byte_array_new(), .base = base };
}

void sender_release(struct sender *snd)
{
	g_byte_array_unref(snd->bytes);
}

bool sender_done(const struct sender *snd)
{
	return snd->acked == snd->bytes->len + snd->fin;
}

void sender_run(struct sender *snd, int64_t now_ms, send_fn fn, void *arg)
{
	uint32_t limit = snd->acked + IN_FLIGHT * MAX_DATA;

	if (snd->due_ms && now_ms >= snd->due_ms) {
		snd->sent = snd->acked;
		snd->wait_ms = MIN(snd->wait_ms * 2, RETRANSMIT_MAX_MS);
		snd->due_ms = 0;
	}
	while (snd->sent < snd->bytes->len && snd->sent < limit) {
		uint16_t len = (uint16_t)MIN(snd->bytes->len - snd->sent, (uint32_t)MAX_DATA);

		fn(arg, snd->base + snd->sent, snd->bytes->data + snd->sent, len, false);
		snd->sent += len;
	}
	if (snd->fin && snd->sent == snd->bytes->len) {
		fn(arg, snd->base + snd->sent, NULL, 0, true);
		snd->sent++;
	}
	if (snd->sent > snd->acked && !snd->due_ms) {
		if (!snd->wait_ms)
			snd->wait_ms = RETRANSMIT_MS;
		snd->due_ms = now_ms + snd->wait_ms;
	}
}

void sender_acked(struct sender *snd, uint32_t ack)
{
	uint32_t bytes = ack - snd->base;

	if (bytes <= snd->acked || bytes > snd->bytes->len + snd->fin)
		return;
	snd->acked = bytes;
	snd->sent = MAX(snd->sent, bytes);
	snd->due_ms = 0;
	snd->wait_ms = 0;
}

static struct sockaddr_in address(uint32_t ip, uint16_t port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(ip),
		.sin_port = htons(port),
	};
}

int open_udp(uint32_t ip, uint16_t port)
{
	struct sockaddr_in sa = address(ip, port);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof(sa)))
		g_error("cannot bind UDP port %u", port);
	return fd;
}

int open_listener(uint32_t ip, uint16_t port, int backlog)
{
	struct sockaddr_in sa = address(ip, port);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, backlog))
		g_error("cannot listen on port %u", port);
	return fd;
}

void send_udp(int fd, uint32_t ip, uint16_t port, const uint8_t *bytes, size_t size)
{
	struct sockaddr_in sa = address(ip, port);

	sendto(fd, bytes, size, MSG_DONTWAIT, (struct sockaddr *)&sa, sizeof(sa));
}
