/* Fuzzing of the packet parsers: no input may be read past its end or give a packet outside it. */
#include <glib.h>

#include "wire-gue.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	uint8_t rst[GUE_BASE_BYTES + RST_BYTES];
	struct endpoint src = { 1, 1 };
	struct packet pkt;
	struct answer ans;
	size_t head = gue_build(rst, NO_DEADLINE);

	if (wire_parse_packet(bytes, len, &pkt) == WIRE_OK) {
		g_assert_true(pkt.bytes > bytes && pkt.bytes + pkt.len == bytes + len);
		g_assert_cmpuint(pkt.payload_len, <, pkt.len);
		g_assert_cmpint(pkt.deadline_ms, >=, NO_DEADLINE);
		/* A reset that is built parses as an answer to the same flow. */
		if (rst_build(pkt.bytes, pkt.len, rst + head) == WIRE_OK) {
			g_assert_cmpint(wire_parse_answer(rst, sizeof(rst), src, &ans), ==,
					WIRE_OK);
			g_assert_cmphex(ans.key.caller.ip, ==, pkt.key.caller.ip);
			g_assert_cmpint(ans.kind, ==,
					pkt.kind == PACKET_OPENING ? ANSWER_REFUSED : ANSWER_RESET);
		}
	}
	if (wire_parse_answer(bytes, len, src, &ans) == WIRE_OK) {
		g_assert_true(ans.bytes > bytes && ans.bytes + ans.len == bytes + len);
		g_assert_cmpuint(ans.payload_len, <, ans.len);
	}
	rst_build(bytes, len, rst + head);
	return 0;
}
