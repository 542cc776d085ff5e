/*
 * Guards against packets that are read past their end, taken for another kind of packet, or sent
 * with wrong checksums; and against a refusal or termination that acknowledges what the caller has
 * not sent, or that the caller could take for the other.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "wire-gue.h"

#define FIN 0x01
#define SYN 0x02
#define RST 0x04
#define ACK 0x10

#define CALLER	0x0a000001u
#define SERVICE 0xc0000201u

struct packet_spec {
	uint8_t proto;
	uint8_t flags;
	uint32_t seq;
	uint32_t ack;
	size_t payload;
};

static void put16(uint8_t *p, uint16_t v)
{
	v = htons(v);
	memcpy(p, &v, sizeof(v));
}

static void put32(uint8_t *p, uint32_t v)
{
	v = htonl(v);
	memcpy(p, &v, sizeof(v));
}

static void update_ip_checksum(uint8_t *ip)
{
	put16(ip + 10, 0);
	put16(ip + 10, inet_checksum(ip, (size_t)(ip[0] & 15) * 4, 0));
}

/* Builds GUE and inner packet; returns the length. The inner packet starts at byte 4. */
static size_t build_packet(uint8_t *out, const struct packet_spec *spec)
{
	size_t l4 = spec->proto == IPPROTO_TCP ? 20 : 8;
	size_t len = 20 + l4 + spec->payload;
	uint8_t *ip = out + gue_build(out, NO_DEADLINE);

	memset(ip, 0, len);
	ip[0] = 0x45;
	put16(ip + 2, (uint16_t)len);
	ip[8] = 64;
	ip[9] = spec->proto;
	put32(ip + 12, CALLER);
	put32(ip + 16, SERVICE);
	put16(ip + 20, 40000);
	put16(ip + 22, 443);
	if (spec->proto == IPPROTO_TCP) {
		put32(ip + 24, spec->seq);
		put32(ip + 28, spec->ack);
		ip[32] = 5 << 4;
		ip[33] = spec->flags;
	} else {
		put16(ip + 24, (uint16_t)(l4 + spec->payload));
	}
	update_ip_checksum(ip);
	return GUE_BASE_BYTES + len;
}

static void test_packet_kinds(void)
{
	static const struct {
		struct packet_spec packet_spec;
		enum wire_status status;
		enum packet_kind kind;
		uint32_t opening_id;
	} cases[] = {
		{ { IPPROTO_TCP, SYN, 77, 0, 0 }, WIRE_OK, PACKET_OPENING, 77 },
		{ { IPPROTO_TCP, SYN, 77, 0, 9 }, WIRE_OK, PACKET_OPENING, 77 },
		{ { IPPROTO_TCP, ACK, 78, 5, 100 }, WIRE_OK, PACKET_DATA, 0 },
		{ { IPPROTO_TCP, FIN | ACK, 78, 5, 0 }, WIRE_OK, PACKET_CLOSE, 0 },
		{ { IPPROTO_TCP, RST, 78, 0, 0 }, WIRE_OK, PACKET_CANCEL, 0 },
		{ { IPPROTO_TCP, RST | ACK, 78, 5, 0 }, WIRE_OK, PACKET_CANCEL, 0 },
		{ { IPPROTO_UDP, 0, 0, 0, 100 }, WIRE_OK, PACKET_DATA, 0 },
		{ { IPPROTO_UDP, 0, 0, 0, 0 }, WIRE_OK, PACKET_DATA, 0 },
		{ { IPPROTO_TCP, SYN | ACK, 77, 5, 0 }, WIRE_MALFORMED, 0, 0 },
		{ { IPPROTO_TCP, SYN | FIN, 77, 0, 0 }, WIRE_MALFORMED, 0, 0 },
		{ { IPPROTO_TCP, SYN | RST, 77, 0, 0 }, WIRE_MALFORMED, 0, 0 },
		{ { IPPROTO_ICMP, 0, 0, 0, 40 }, WIRE_MALFORMED, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint8_t buf[256];
		size_t len = build_packet(buf, &cases[i].packet_spec);
		struct packet pkt;

		g_assert_cmpint(wire_parse_packet(buf, len, &pkt), ==, cases[i].status);
		if (cases[i].status != WIRE_OK)
			continue;
		g_assert_cmpint(pkt.kind, ==, cases[i].kind);
		g_assert_cmpuint(pkt.opening_id, ==, cases[i].opening_id);
		g_assert_cmpuint(pkt.payload_len, ==, cases[i].packet_spec.payload);
		g_assert_cmpint(pkt.deadline_ms, ==, NO_DEADLINE);
		g_assert_cmphex(pkt.key.caller.ip, ==, CALLER);
		g_assert_cmpuint(pkt.key.caller.port, ==, 40000);
		g_assert_cmphex(pkt.key.service.ep.ip, ==, SERVICE);
		g_assert_cmpuint(pkt.key.service.ep.port, ==, 443);
		g_assert_true(pkt.bytes == buf + GUE_BASE_BYTES);
		g_assert_cmpuint(pkt.len, ==, len - GUE_BASE_BYTES);
	}
}

static void test_answer_kinds(void)
{
	static const struct {
		struct packet_spec packet_spec;
		enum wire_status status;
		enum answer_kind kind;
		uint32_t opening_id;
	} cases[] = {
		{ { IPPROTO_TCP, SYN | ACK, 5, 78, 0 }, WIRE_OK, ANSWER_ACCEPTED, 77 },
		{ { IPPROTO_TCP, RST | ACK, 0, 78, 0 }, WIRE_OK, ANSWER_REFUSED, 77 },
		{ { IPPROTO_TCP, RST | ACK, 9, 78, 0 }, WIRE_OK, ANSWER_RESET, 0 },
		{ { IPPROTO_TCP, RST, 0, 0, 0 }, WIRE_OK, ANSWER_RESET, 0 },
		{ { IPPROTO_TCP, FIN | ACK, 9, 78, 3 }, WIRE_OK, ANSWER_CLOSE, 0 },
		{ { IPPROTO_TCP, ACK, 9, 78, 3 }, WIRE_OK, ANSWER_DATA, 0 },
		{ { IPPROTO_UDP, 0, 0, 0, 3 }, WIRE_OK, ANSWER_DATA, 0 },
		{ { IPPROTO_TCP, SYN, 5, 0, 0 }, WIRE_MALFORMED, 0, 0 },
	};
	struct endpoint target = { 0xc6336401, 6080 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint8_t buf[256];
		size_t len = build_packet(buf, &cases[i].packet_spec);
		struct answer ans;

		g_assert_cmpint(wire_parse_answer(buf, len, target, &ans), ==, cases[i].status);
		if (cases[i].status != WIRE_OK)
			continue;
		g_assert_cmpint(ans.kind, ==, cases[i].kind);
		g_assert_cmpuint(ans.opening_id, ==, cases[i].opening_id);
		/* The key is from the caller's side: an answer's destination is the caller. */
		g_assert_cmphex(ans.key.caller.ip, ==, SERVICE);
		g_assert_cmphex(ans.key.service.ep.ip, ==, CALLER);
		g_assert_cmpuint(ans.key.service.ep.port, ==, 40000);
		g_assert_true(endpoint_equal(ans.target, target));
	}
}

/* Each case changes one byte of a valid packet; offsets count from the GUE header. */
static void test_rejections(void)
{
	static const struct {
		const char *what;
		size_t offset;
		uint8_t value;
		bool fix_checksum; /* correct the IPv4 checksum afterwards */
		enum wire_status status;
	} cases[] = {
		{ "version 1", 0, 0x40, false, WIRE_MALFORMED },
		{ "control message", 0, 0x20, false, WIRE_MALFORMED },
		{ "header length 1", 0, 0x01, false, WIRE_MALFORMED },
		{ "header length 2 without an entry", 0, 0x02, false, WIRE_MALFORMED },
		{ "header length past the end", 0, 0x1f, false, WIRE_MALFORMED },
		{ "inner IPv6", 1, 41, false, WIRE_MALFORMED },
		{ "flag of the first byte", 2, 0x80, false, WIRE_MALFORMED },
		{ "flag of the second byte", 3, 0x01, false, WIRE_MALFORMED },
		{ "IP version", 4, 0x65, true, WIRE_MALFORMED },
		{ "short IP header", 4, 0x44, true, WIRE_MALFORMED },
		{ "long total length", 7, 61, true, WIRE_MALFORMED },
		{ "short total length", 7, 59, true, WIRE_MALFORMED },
		{ "checksum", 14, 0xff, false, WIRE_MALFORMED },
		{ "first fragment", 10, 0x20, true, WIRE_FRAGMENT },
		{ "later fragment", 11, 0x01, true, WIRE_FRAGMENT },
		{ "don't fragment", 10, 0x40, true, WIRE_OK },
		{ "short TCP header", 36, 4 << 4, false, WIRE_MALFORMED },
		{ "long TCP header", 36, 15 << 4, false, WIRE_MALFORMED },
	};
	const struct packet_spec packet_spec = { IPPROTO_TCP, ACK, 1, 1, 20 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint8_t buf[256];
		size_t len = build_packet(buf, &packet_spec);
		struct packet pkt;

		g_test_message("%s", cases[i].what);
		g_assert_cmpint(wire_parse_packet(buf, len, &pkt), ==, WIRE_OK);
		buf[cases[i].offset] = cases[i].value;
		if (cases[i].fix_checksum)
			update_ip_checksum(buf + GUE_BASE_BYTES);
		g_assert_cmpint(wire_parse_packet(buf, len, &pkt), ==, cases[i].status);
	}
}

/* Every shorter length is rejected; exact allocations let a sanitizer detect reads past the end. */
static void test_truncated(void)
{
	static const struct packet_spec packet_specs[] = {
		{ IPPROTO_TCP, ACK, 1, 1, 7 },
		{ IPPROTO_UDP, 0, 0, 0, 7 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(packet_specs); i++) {
		uint8_t buf[256];
		size_t full = build_packet(buf, &packet_specs[i]);

		for (size_t len = 0; len < full; len++) {
			uint8_t *exact = g_memdup2(buf, len);
			struct packet pkt;
			struct answer ans;

			g_assert_cmpint(wire_parse_packet(exact, len, &pkt), ==, WIRE_MALFORMED);
			g_assert_cmpint(
				wire_parse_answer(exact, len, (struct endpoint){ 1, 1 }, &ans), ==,
				WIRE_MALFORMED);
			g_free(exact);
		}
	}
}

static void test_deadline(void)
{
	static const struct {
		int32_t given;
		int32_t read;
	} cases[] = { { NO_DEADLINE, NO_DEADLINE },
		      { 0, 0 },
		      { 1500, 1500 },
		      { INT32_MAX, INT32_MAX },
		      { -7, 0 } };
	uint8_t buf[GUE_MAX_BYTES];
	const uint8_t *inner;
	size_t inner_len;
	int32_t read;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t len = gue_build(buf, cases[i].given);

		g_assert_cmpint(gue_parse(buf, len, &read, &inner, &inner_len), ==, WIRE_OK);
		g_assert_cmpint(read, ==, cases[i].read);
		g_assert_cmpuint(inner_len, ==, 0);
	}
	/* Another entry type, another entry length, and a time above the largest one. */
	for (size_t offset = 5; offset <= 8; offset++) {
		size_t len = gue_build(buf, 1500);

		if (offset == 6)
			continue;
		buf[offset] = 0x80;
		g_assert_cmpint(gue_parse(buf, len, &read, &inner, &inner_len), ==, WIRE_MALFORMED);
	}
}

static uint32_t tcp_sum(const uint8_t *ip)
{
	uint32_t sum = IPPROTO_TCP + 20;

	for (int i = 12; i < 20; i += 2)
		sum += (uint32_t)ip[i] << 8 | ip[i + 1];
	return sum;
}

static void test_reset(void)
{
	static const struct {
		struct packet_spec packet_spec;
		enum wire_status status;
		uint8_t flags;
		uint32_t seq;
		uint32_t ack;
	} cases[] = {
		{ { IPPROTO_TCP, SYN, 77, 0, 0 }, WIRE_OK, RST | ACK, 0, 78 },
		{ { IPPROTO_TCP, SYN, UINT32_MAX, 0, 0 }, WIRE_OK, RST | ACK, 0, 0 },
		{ { IPPROTO_TCP, SYN, 77, 0, 10 }, WIRE_OK, RST | ACK, 0, 88 },
		/* A termination has no ACK, so that a caller cannot take it for a refusal. */
		{ { IPPROTO_TCP, ACK, 500, 900, 100 }, WIRE_OK, RST, 900, 0 },
		{ { IPPROTO_TCP, FIN | ACK, 500, 900, 0 }, WIRE_OK, RST, 900, 0 },
		{ { IPPROTO_TCP, RST | ACK, 500, 900, 0 }, WIRE_NO_RESET, 0, 0, 0 },
		{ { IPPROTO_TCP, 0, 500, 0, 0 }, WIRE_NO_RESET, 0, 0, 0 },
		{ { IPPROTO_UDP, 0, 0, 0, 10 }, WIRE_NO_RESET, 0, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint8_t buf[256];
		uint8_t rst[GUE_BASE_BYTES + RST_BYTES];
		uint8_t *ip = rst + gue_build(rst, NO_DEADLINE);
		size_t len = build_packet(buf, &cases[i].packet_spec);
		struct answer ans;
		uint32_t seq;
		uint32_t ack;

		g_assert_cmpint(rst_build(buf + 4, len - 4, ip), ==, cases[i].status);
		if (cases[i].status != WIRE_OK)
			continue;
		memcpy(&seq, ip + 24, sizeof(seq));
		memcpy(&ack, ip + 28, sizeof(ack));
		g_assert_cmpuint(ntohl(seq), ==, cases[i].seq);
		g_assert_cmpuint(ntohl(ack), ==, cases[i].ack);
		g_assert_cmphex(ip[33], ==, cases[i].flags);
		g_assert_cmphex(inet_checksum(ip, 20, 0), ==, 0);
		g_assert_cmphex(inet_checksum(ip + 20, 20, tcp_sum(ip)), ==, 0);
		/* The reset parses as an answer of the service in the same flow. */
		g_assert_cmpint(
			wire_parse_answer(rst, sizeof(rst), (struct endpoint){ 1, 1 }, &ans), ==,
			WIRE_OK);
		g_assert_cmpint(ans.kind, ==, cases[i].flags & ACK ? ANSWER_REFUSED : ANSWER_RESET);
		g_assert_cmphex(ans.key.caller.ip, ==, CALLER);
		g_assert_cmpuint(ans.key.caller.port, ==, 40000);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wire/packet-kinds", test_packet_kinds);
	g_test_add_func("/wire/answer-kinds", test_answer_kinds);
	g_test_add_func("/wire/rejections", test_rejections);
	g_test_add_func("/wire/truncated", test_truncated);
	g_test_add_func("/wire/deadline", test_deadline);
	g_test_add_func("/wire/reset", test_reset);
	return g_test_run();
}
