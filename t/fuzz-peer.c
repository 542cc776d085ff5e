/*
 * Fuzzing of peer datagrams and messages: what a peer sends, sealed or not, must not read past its
 * end, allocate without bound or leave a message undecoded behind.
 */
#include <glib.h>
#include <sodium.h>

#include "peer.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static void no_send(struct peer_transport *tr, struct endpoint dst, const uint8_t *bytes,
		    size_t len)
{
	(void)tr;
	(void)dst;
	(void)bytes;
	(void)len;
}

static void take_message(struct peer_handler *handler, uint32_t src, uint32_t xid,
			 const peer_msg *msg)
{
	GByteArray *again = g_byte_array_new();

	(void)handler;
	(void)src;
	(void)xid;
	/* What was decoded has a type of the schema, so it encodes again. */
	g_assert_cmpint(peer_msg_encode(msg, again), ==, 0);
	g_byte_array_unref(again);
}

static void take_result(struct peer_handler *handler, uint32_t src, uint64_t call_id,
			enum call_status status, const peer_msg *msg)
{
	(void)handler;
	(void)src;
	(void)call_id;
	(void)status;
	(void)msg;
}

static bool no_endpoint(struct peer_handler *handler, uint32_t id, struct endpoint *ep)
{
	(void)handler;
	(void)id;
	(void)ep;
	return false;
}

static const struct peer_transport_ops transport_ops = { .send = no_send };
static const struct peer_handler_ops handler_ops = {
	.message = take_message,
	.result = take_result,
	.endpoint = no_endpoint,
};

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	static const struct peer_key key = { 1, { 1 } };
	static const uint8_t call[] = { 0, 0, 0, 1 }; /* PEER_HEARTBEAT */
	static struct peer_transport transport = { &transport_ops };
	static struct peer_handler handler = { &handler_ops };
	static struct seeded_random random;
	static struct counters counters;
	static struct seal *seal;
	static struct peer *peer;
	static int64_t now_ms;
	struct endpoint src = { 1, 1 };
	GByteArray *datagram;
	peer_msg msg;

	if (!peer) {
		struct peer_options opts = {
			.self = 2,
			.incarnation = 1,
			.keys = &key,
			.nr_keys = 1,
			.transport = &transport,
			.handler = &handler,
			.random = &random.random,
			.counters = &counters,
		};

		g_assert_cmpint(sodium_init(), >=, 0);
		seeded_random_init(&random, 1);
		peer = peer_new(&opts);
		seal = seal_new(1, 1, &key, 1, 1);
	}
	if (!peer_msg_decode(&msg, bytes, len)) {
		take_message(&handler, 1, 0, &msg);
		peer_msg_release(&msg);
	}
	peer_receive(peer, src, bytes, len);
	if (len > PEER_MAX_DATAGRAM_BYTES - SEAL_OVERHEAD_BYTES)
		return 0;
	/* A reply may belong to an open call: there always is one. */
	peer_timer(peer, ts_from_ms(now_ms += 1000));
	if (!peer_calls_open(peer))
		peer_call(peer, ts_from_ms(now_ms), 1, 1, 100, 1, call, sizeof(call));
	datagram = g_byte_array_new();
	seal_encrypt(seal, 2, bytes, len, datagram);
	peer_receive(peer, src, datagram->data, datagram->len);
	g_byte_array_unref(datagram);
	return 0;
}
