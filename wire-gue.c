#include "wire-gue.h"

#include <netinet/in.h>
#include <string.h>

#define GUE_CONTROL	   0x20
#define GUE_HLEN_MASK	   0x1f
#define GUE_VERSION_SHIFT  6
#define GUE_DEADLINE_WORDS 2

#define IP_MIN_BYTES	20
#define IP_MORE_OR_FRAG 0x3fff /* more-fragments flag and fragment offset */
#define RST_TTL		64

#define TCP_MIN_BYTES 20
#define UDP_BYTES     8
#define TCP_FIN	      0x01
#define TCP_SYN	      0x02
#define TCP_RST	      0x04
#define TCP_ACK	      0x10

/* Fields of an inner packet that callers' and targets' packets have in common. */
struct inner {
	uint32_t src;
	uint32_t dst;
	uint16_t sport;
	uint16_t dport;
	uint8_t proto;
	uint8_t flags; /* TCP */
	uint32_t seq;
	uint32_t ack;
	uint32_t payload_len;
};

static inline uint16_t get16(const uint8_t *p)
{
	uint16_t v;

	memcpy(&v, p, sizeof(v));
	return ntohs(v);
}

static inline uint32_t get32(const uint8_t *p)
{
	uint32_t v;

	memcpy(&v, p, sizeof(v));
	return ntohl(v);
}

static inline void put16(uint8_t *p, uint16_t v)
{
	v = htons(v);
	memcpy(p, &v, sizeof(v));
}

static inline void put32(uint8_t *p, uint32_t v)
{
	v = htonl(v);
	memcpy(p, &v, sizeof(v));
}

uint16_t inet_checksum(const uint8_t *bytes, size_t len, uint32_t sum)
{
	uint64_t acc = sum;

	for (; len >= 2; bytes += 2, len -= 2)
		acc += get16(bytes);
	if (len)
		acc += (uint64_t)bytes[0] << 8;
	while (acc >> 16)
		acc = (acc & 0xffff) + (acc >> 16);
	return (uint16_t)~acc;
}

enum wire_status gue_parse(const uint8_t *bytes, size_t len, int32_t *deadline_ms,
			   const uint8_t **inner, size_t *inner_len)
{
	size_t words;
	uint32_t left;

	if (len < GUE_BASE_BYTES)
		return WIRE_MALFORMED;
	if (bytes[0] >> GUE_VERSION_SHIFT || bytes[0] & GUE_CONTROL || bytes[1] != IPPROTO_IPIP ||
	    get16(bytes + 2))
		return WIRE_MALFORMED;
	words = bytes[0] & GUE_HLEN_MASK;
	if (words != 0 && words != GUE_DEADLINE_WORDS)
		return WIRE_MALFORMED;
	if (len < GUE_BASE_BYTES + words * 4)
		return WIRE_MALFORMED;
	*deadline_ms = NO_DEADLINE;
	if (words) {
		if (get16(bytes + 4) != GUE_ENTRY_DEADLINE || get16(bytes + 6) != 4)
			return WIRE_MALFORMED;
		left = get32(bytes + 8);
		if (left > INT32_MAX)
			return WIRE_MALFORMED;
		*deadline_ms = (int32_t)left;
	}
	*inner = bytes + GUE_BASE_BYTES + words * 4;
	*inner_len = len - GUE_BASE_BYTES - words * 4;
	return WIRE_OK;
}

size_t gue_build(uint8_t out[GUE_MAX_BYTES], int32_t deadline_ms)
{
	out[0] = deadline_ms == NO_DEADLINE ? 0 : GUE_DEADLINE_WORDS;
	out[1] = IPPROTO_IPIP;
	put16(out + 2, 0);
	if (deadline_ms == NO_DEADLINE)
		return GUE_BASE_BYTES;
	put16(out + 4, GUE_ENTRY_DEADLINE);
	put16(out + 6, 4);
	put32(out + 8, deadline_ms > 0 ? (uint32_t)deadline_ms : 0);
	return GUE_MAX_BYTES;
}

static enum wire_status parse_tcp(const uint8_t *bytes, size_t len, struct inner *in)
{
	size_t header;

	if (len < TCP_MIN_BYTES)
		return WIRE_MALFORMED;
	header = (size_t)(bytes[12] >> 4) * 4;
	if (header < TCP_MIN_BYTES || header > len)
		return WIRE_MALFORMED;
	in->seq = get32(bytes + 4);
	in->ack = get32(bytes + 8);
	in->flags = bytes[13];
	in->payload_len = (uint32_t)(len - header);
	/* Valid TCP never combines these flags, and a SYN must be unambiguously an opening. */
	if (in->flags & TCP_SYN && in->flags & (TCP_FIN | TCP_RST))
		return WIRE_MALFORMED;
	return WIRE_OK;
}

static enum wire_status parse_ip(const uint8_t *bytes, size_t len, struct inner *in)
{
	const uint8_t *l4;
	size_t header;
	size_t l4_len;

	if (len < IP_MIN_BYTES || bytes[0] >> 4 != 4)
		return WIRE_MALFORMED;
	header = (size_t)(bytes[0] & 0x0f) * 4;
	if (header < IP_MIN_BYTES || header > len || get16(bytes + 2) != len)
		return WIRE_MALFORMED;
	if (inet_checksum(bytes, header, 0))
		return WIRE_MALFORMED;
	if (get16(bytes + 6) & IP_MORE_OR_FRAG)
		return WIRE_FRAGMENT;
	l4 = bytes + header;
	l4_len = len - header;
	*in = (struct inner){
		.src = get32(bytes + 12),
		.dst = get32(bytes + 16),
		.proto = bytes[9],
	};
	/* Both protocols have the ports in the first four bytes. */
	if (l4_len < 4)
		return WIRE_MALFORMED;
	in->sport = get16(l4);
	in->dport = get16(l4 + 2);
	if (in->proto == IPPROTO_TCP)
		return parse_tcp(l4, l4_len, in);
	if (in->proto != IPPROTO_UDP || l4_len < UDP_BYTES || get16(l4 + 4) != l4_len)
		return WIRE_MALFORMED;
	in->payload_len = (uint32_t)(l4_len - UDP_BYTES);
	return WIRE_OK;
}

enum wire_status inner_parse(const uint8_t *bytes, size_t len, struct packet *pkt)
{
	struct inner in;
	enum wire_status st = parse_ip(bytes, len, &in);

	if (st != WIRE_OK)
		return st;
	pkt->key = (struct flow_key){
		.caller = { in.src, in.sport },
		.service = { { in.dst, in.dport }, in.proto },
	};
	pkt->kind = PACKET_DATA;
	pkt->opening_id = 0;
	pkt->hash = 0;
	pkt->payload_len = in.payload_len;
	pkt->bytes = bytes;
	pkt->len = len;
	if (in.flags & TCP_SYN) {
		if (in.flags & TCP_ACK)
			return WIRE_MALFORMED;
		pkt->kind = PACKET_OPENING;
		pkt->opening_id = in.seq;
	} else if (in.flags & TCP_RST) {
		pkt->kind = PACKET_CANCEL;
	} else if (in.flags & TCP_FIN) {
		pkt->kind = PACKET_CLOSE;
	}
	return WIRE_OK;
}

enum wire_status wire_parse_packet(const uint8_t *bytes, size_t len, struct packet *pkt)
{
	const uint8_t *inner;
	size_t inner_len;
	enum wire_status st = gue_parse(bytes, len, &pkt->deadline_ms, &inner, &inner_len);

	return st == WIRE_OK ? inner_parse(inner, inner_len, pkt) : st;
}

enum wire_status wire_parse_answer(const uint8_t *bytes, size_t len, struct endpoint src,
				   struct answer *ans)
{
	const uint8_t *inner;
	size_t inner_len;
	int32_t deadline_ms;
	struct inner in;
	enum wire_status st = gue_parse(bytes, len, &deadline_ms, &inner, &inner_len);

	if (st == WIRE_OK)
		st = parse_ip(inner, inner_len, &in);
	if (st != WIRE_OK)
		return st;
	*ans = (struct answer){
		.key = { .caller = { in.dst, in.dport },
			 .service = { { in.src, in.sport }, in.proto } },
		.target = src,
		.kind = ANSWER_DATA,
		.payload_len = in.payload_len,
		.bytes = inner,
		.len = inner_len,
	};
	if (in.flags & TCP_SYN) {
		if (!(in.flags & TCP_ACK))
			return WIRE_MALFORMED;
		ans->kind = ANSWER_ACCEPTED;
		ans->opening_id = in.ack - 1;
	} else if (in.flags & TCP_RST) {
		ans->kind = ANSWER_RESET;
		if (in.flags & TCP_ACK && !in.seq) {
			ans->kind = ANSWER_REFUSED;
			ans->opening_id = in.ack - 1;
		}
	} else if (in.flags & TCP_FIN) {
		ans->kind = ANSWER_CLOSE;
	}
	return WIRE_OK;
}

enum wire_status rst_build(const uint8_t *bytes, size_t len, uint8_t out[RST_BYTES])
{
	uint8_t *tcp = out + IP_MIN_BYTES;
	struct inner in;
	enum wire_status st = parse_ip(bytes, len, &in);
	uint32_t sum;

	if (st != WIRE_OK)
		return st;
	if (in.proto != IPPROTO_TCP || in.flags & TCP_RST)
		return WIRE_NO_RESET;
	if (!(in.flags & (TCP_SYN | TCP_ACK)) || (in.flags & TCP_SYN && in.flags & TCP_ACK))
		return WIRE_NO_RESET;
	memset(out, 0, RST_BYTES);
	out[0] = 0x45;
	put16(out + 2, RST_BYTES);
	out[8] = RST_TTL;
	out[9] = IPPROTO_TCP;
	put32(out + 12, in.dst);
	put32(out + 16, in.src);
	put16(out + 10, inet_checksum(out, IP_MIN_BYTES, 0));
	put16(tcp, in.dport);
	put16(tcp + 2, in.sport);
	tcp[12] = (TCP_MIN_BYTES / 4) << 4;
	if (in.flags & TCP_SYN) {
		/* A SYN occupies one sequence number, and data sent with it counts too. */
		put32(tcp + 8, in.seq + 1 + in.payload_len);
		tcp[13] = TCP_RST | TCP_ACK;
	} else {
		put32(tcp + 4, in.ack);
		tcp[13] = TCP_RST;
	}
	sum = (in.src >> 16) + (in.src & 0xffff) + (in.dst >> 16) + (in.dst & 0xffff) +
	      IPPROTO_TCP + TCP_MIN_BYTES;
	put16(tcp + 16, inet_checksum(tcp, TCP_MIN_BYTES, sum));
	return WIRE_OK;
}
