/* Fuzzing of the platform's packets: nothing is read past the end, and what is sent on is whole. */
#include <glib.h>
#include <string.h>

#include "platform/echo-packet.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	uint8_t out[WIRE_MAX_BYTES];
	struct caller_packet pkt;
	size_t size;

	if (!echo_wire.ops->decode(&echo_wire, bytes, len, &pkt))
		return 0;
	g_assert_true(pkt.bytes == bytes && pkt.size == len && pkt.len < len);
	if (pkt.request)
		g_assert_true((const uint8_t *)pkt.request + pkt.request_len <= bytes + len);
	size = echo_wire.ops->encode(&echo_wire, 1, 2, bytes, len, out);
	g_assert_cmpuint(size, ==, len + 8);
	g_assert_cmpuint(size, <=, sizeof(out));
	/* All but the mark reaches the target as it came. */
	memcpy(out + 8 + 12, bytes + 12, 4);
	g_assert_cmpmem(out + 8, len, bytes, len);
	return 0;
}
