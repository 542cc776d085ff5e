/*
 * Guards against peer messages that are forged, replayed or handled twice, against calls without a
 * result or with two, and against reads past the end of a datagram.
 */
#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "peer.h"

#define NODES 3 /* instances 1 to 3; instance n receives on port n */

struct sent {
	uint32_t dst;
	GByteArray *bytes;
};

struct node;

struct node_transport {
	struct peer_transport base;
	struct node *node;
};

struct node_handler {
	struct peer_handler base;
	struct node *node;
};

struct node {
	uint32_t id;
	struct node_transport transport;
	struct node_handler handler;
	struct seeded_random random;
	struct counters counters;
	struct peer *peer;
	GPtrArray *out; /* struct sent */
	unsigned int messages;
	uint32_t last_xid;
	unsigned int results;
	enum call_status last_status;
	uint64_t last_call_id;
};

static const struct peer_key keys[] = { { 1, { 11 } }, { 2, { 22 } } };

static struct endpoint node_ep(uint32_t id)
{
	return (struct endpoint){ 0x7f000001, (uint16_t)id };
}

static void sent_free(void *p)
{
	struct sent *sent = p;

	g_byte_array_unref(sent->bytes);
	g_free(sent);
}

static void node_send(struct peer_transport *tr, struct endpoint dst, const uint8_t *bytes,
		      size_t len)
{
	struct node *node = ((struct node_transport *)tr)->node;
	struct sent *sent = g_new(struct sent, 1);

	*sent = (struct sent){ dst.port, g_byte_array_new() };
	g_byte_array_append(sent->bytes, bytes, (guint)len);
	g_ptr_array_add(node->out, sent);
}

static const struct peer_transport_ops transport_ops = { .send = node_send };

static void node_message(struct peer_handler *handler, uint32_t src, uint32_t xid,
			 const peer_msg *msg)
{
	struct node *node = ((struct node_handler *)handler)->node;

	(void)src;
	(void)msg;
	node->messages++;
	node->last_xid = xid;
}

static void node_result(struct peer_handler *handler, uint32_t src, uint64_t call_id,
			enum call_status status, const peer_msg *msg)
{
	struct node *node = ((struct node_handler *)handler)->node;

	(void)src;
	g_assert_true((status == CALL_OK) == (msg != NULL));
	node->results++;
	node->last_status = status;
	node->last_call_id = call_id;
}

static bool node_endpoint(struct peer_handler *handler, uint32_t id, struct endpoint *ep)
{
	(void)handler;
	*ep = node_ep(id);
	return id >= 1 && id <= NODES;
}

static const struct peer_handler_ops handler_ops = {
	.message = node_message,
	.result = node_result,
	.endpoint = node_endpoint,
};

static void node_init(struct node *node, uint32_t id, uint32_t incarnation,
		      const struct peer_key *with, size_t nr)
{
	struct peer_options opts = {
		.self = id,
		.incarnation = incarnation,
		.keys = with,
		.nr_keys = nr,
		.transport = &node->transport.base,
		.handler = &node->handler.base,
		.random = &node->random.random,
		.counters = &node->counters,
	};

	memset(node, 0, sizeof(*node));
	node->id = id;
	node->transport = (struct node_transport){ { &transport_ops }, node };
	node->handler = (struct node_handler){ { &handler_ops }, node };
	seeded_random_init(&node->random, id);
	node->out = g_ptr_array_new_with_free_func(sent_free);
	node->peer = peer_new(&opts);
}

static void node_release(struct node *node)
{
	peer_free(node->peer);
	g_ptr_array_unref(node->out);
}

static const struct sent *node_sent(const struct node *node, guint i)
{
	g_assert_cmpuint(i, <, node->out->len);
	return g_ptr_array_index(node->out, i);
}

/* Delivers the datagram that @from sent as number @i to @to. */
static void deliver(struct node *from, guint i, struct node *to)
{
	const struct sent *sent = node_sent(from, i);

	peer_receive(to->peer, node_ep(from->id), sent->bytes->data, sent->bytes->len);
}

/* An encoded message of about @len bytes. */
static GByteArray *message(size_t len)
{
	peer_msg msg = { .type = PEER_HEARTBEAT };
	GByteArray *bytes = g_byte_array_new();

	msg.peer_msg_u.heartbeat.members.members_len = (u_int)(len / sizeof(peer_member));
	msg.peer_msg_u.heartbeat.members.members_val =
		g_new0(peer_member, len / sizeof(peer_member) + 1);
	g_assert_cmpint(peer_msg_encode(&msg, bytes), ==, 0);
	g_free(msg.peer_msg_u.heartbeat.members.members_val);
	return bytes;
}

static uint64_t nr_dropped(const struct counters *cnt)
{
	return cnt->peer_bad + cnt->peer_unauthentic + cnt->peer_replayed;
}

static void test_changed_datagram(void)
{
	GByteArray *msg = message(40);
	struct node a;
	struct node b;
	const struct sent *sent;

	node_init(&a, 1, 1, keys, 2);
	node_init(&b, 2, 1, keys, 2);
	g_assert_cmpint(peer_send(a.peer, 2, msg->data, msg->len), ==, 0);
	sent = node_sent(&a, 0);
	for (guint i = 0; i < sent->bytes->len; i++) {
		sent->bytes->data[i] ^= 0x40;
		deliver(&a, 0, &b);
		sent->bytes->data[i] ^= 0x40;
	}
	for (guint len = 0; len < sent->bytes->len; len++) {
		uint8_t *exact = g_memdup2(sent->bytes->data, len);

		peer_receive(b.peer, node_ep(1), exact, len);
		g_free(exact);
	}
	g_assert_cmpuint(b.messages, ==, 0);
	g_assert_cmpuint(nr_dropped(&b.counters), ==, 2 * sent->bytes->len);
	/* None of them changed the replay window: the real one is still accepted, once. */
	deliver(&a, 0, &b);
	deliver(&a, 0, &b);
	g_assert_cmpuint(b.messages, ==, 1);
	g_assert_cmpuint(b.counters.peer_replayed, ==, 1);
	node_release(&a);
	node_release(&b);
	g_byte_array_unref(msg);
}

static void test_keys(void)
{
	static const struct peer_key other[] = { { 1, { 99 } } };
	static const struct {
		const char *label;
		uint32_t sender;
		const struct peer_key *sealing;
		size_t nr;
		uint32_t receiver; /* instance that it is sealed for; instance 2 gets it */
		unsigned int accepted;
	} cases[] = {
		{ "same keys", 1, keys, 2, 2, 1 },
		{ "sealed with the second key", 1, keys + 1, 1, 2, 1 },
		{ "other key under the same id", 1, other, 1, 2, 0 },
		{ "sealed for another instance", 1, keys, 2, 3, 0 },
		{ "sealed by the receiver itself", 2, keys, 2, 2, 0 },
	};
	GByteArray *msg = message(40);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct node a;
		struct node b;

		g_test_message("%s", cases[i].label);
		node_init(&a, cases[i].sender, 1, cases[i].sealing, cases[i].nr);
		node_init(&b, 2, 1, keys, 2);
		g_assert_cmpint(peer_send(a.peer, cases[i].receiver, msg->data, msg->len), ==, 0);
		deliver(&a, 0, &b);
		g_assert_cmpuint(b.messages, ==, cases[i].accepted);
		g_assert_cmpuint(b.counters.peer_unauthentic, ==, !cases[i].accepted);
		node_release(&a);
		node_release(&b);
	}
	g_byte_array_unref(msg);
}

/* Datagram numbers in the order of their arrival, and how many of them are accepted. */
static void test_replay_window(void)
{
	static const struct {
		const char *label;
		guint order[6];
		unsigned int accepted;
	} cases[] = {
		{ "in order", { 0, 1, 2, 3, 4, 5 }, 6 },
		{ "reordered", { 5, 3, 4, 0, 2, 1 }, 6 },
		{ "each twice", { 0, 0, 1, 1, 2, 2 }, 3 },
		{ "last of the window", { SEAL_WINDOW_COUNTERS - 1, 0, 0, 1, 1, 2 }, 4 },
		{ "older than the window", { SEAL_WINDOW_COUNTERS, 0, 1, 1, 0, 2 }, 3 },
		{ "far ahead and back",
		  { 0, 3 * SEAL_WINDOW_COUNTERS, 0, 3 * SEAL_WINDOW_COUNTERS, 1, 2 },
		  2 },
		{ "same bit of the ring",
		  { 1, SEAL_WINDOW_COUNTERS + 1, 1, SEAL_WINDOW_COUNTERS + 1, 2, 2 },
		  3 },
	};
	GByteArray *msg = message(0);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct node a;
		struct node b;

		g_test_message("%s", cases[i].label);
		node_init(&a, 1, 1, keys, 1);
		node_init(&b, 2, 1, keys, 1);
		for (guint j = 0; j <= 3 * SEAL_WINDOW_COUNTERS; j++)
			peer_send(a.peer, 2, msg->data, msg->len);
		for (size_t j = 0; j < G_N_ELEMENTS(cases[i].order); j++)
			deliver(&a, cases[i].order[j], &b);
		g_assert_cmpuint(b.messages, ==, cases[i].accepted);
		g_assert_cmpuint(b.counters.peer_replayed, ==,
				 G_N_ELEMENTS(cases[i].order) - cases[i].accepted);
		node_release(&a);
		node_release(&b);
	}
	g_byte_array_unref(msg);
}

/* Datagrams of an earlier incarnation of a sender are rejected after one of the new incarnation. */
static void test_incarnations(void)
{
	GByteArray *msg = message(0);
	struct node old;
	struct node new;
	struct node b;

	node_init(&old, 1, 7, keys, 1);
	node_init(&new, 1, 8, keys, 1);
	node_init(&b, 2, 1, keys, 1);
	peer_send(old.peer, 2, msg->data, msg->len);
	peer_send(old.peer, 2, msg->data, msg->len);
	peer_send(new.peer, 2, msg->data, msg->len);
	deliver(&old, 0, &b);
	deliver(&new, 0, &b);
	g_assert_cmpuint(b.messages, ==, 2);
	deliver(&old, 1, &b);
	deliver(&new, 0, &b);
	g_assert_cmpuint(b.messages, ==, 2);
	g_assert_cmpuint(b.counters.peer_replayed, ==, 2);
	node_release(&old);
	node_release(&new);
	node_release(&b);
	g_byte_array_unref(msg);
}

static void test_call(void)
{
	GByteArray *msg = message(0);
	struct timespec now = ts_from_ms(1000);
	struct node a;
	struct node b;
	struct node c;

	node_init(&a, 1, 1, keys, 1);
	node_init(&b, 2, 1, keys, 1);
	node_init(&c, 3, 1, keys, 1);
	peer_call(a.peer, now, 2, 42, 100, 3, msg->data, msg->len);
	peer_timer(a.peer, ts_add_ms(now, 130));
	g_assert_cmpuint(a.out->len, ==, 2);
	deliver(&a, 0, &b);
	g_assert_cmpuint(b.messages, ==, 1);
	g_assert_cmpuint(b.last_xid, !=, 0);
	/* The second try arrives while the call is still being handled. */
	deliver(&a, 1, &b);
	g_assert_cmpuint(b.messages, ==, 1);
	g_assert_cmpuint(b.out->len, ==, 0);
	/* Another instance replies with the xid of the call. */
	g_assert_cmpint(peer_send_reply(c.peer, 1, b.last_xid, msg->data, msg->len), ==, 0);
	deliver(&c, 0, &a);
	g_assert_cmpuint(a.results, ==, 0);
	g_assert_cmpint(peer_send_reply(b.peer, 1, b.last_xid, msg->data, msg->len), ==, 0);
	deliver(&b, 0, &a);
	g_assert_cmpuint(a.results, ==, 1);
	g_assert_cmpint(a.last_status, ==, CALL_OK);
	g_assert_cmpuint(a.last_call_id, ==, 42);
	/* A second reply finds no call. */
	g_assert_cmpint(peer_send_reply(b.peer, 1, b.last_xid, msg->data, msg->len), ==, 0);
	deliver(&b, 1, &a);
	peer_timer(a.peer, ts_add_ms(now, 10000));
	g_assert_cmpuint(a.results, ==, 1);
	g_assert_cmpuint(peer_calls_open(a.peer), ==, 0);
	node_release(&a);
	node_release(&b);
	node_release(&c);
	g_byte_array_unref(msg);
}

/* The reply is lost: the repeated call gets the reply again, but is handled once. */
static void test_lost_reply(void)
{
	GByteArray *msg = message(0);
	struct timespec now = ts_from_ms(1000);
	struct node a;
	struct node b;

	node_init(&a, 1, 1, keys, 1);
	node_init(&b, 2, 1, keys, 1);
	peer_call(a.peer, now, 2, 42, 100, 3, msg->data, msg->len);
	deliver(&a, 0, &b);
	peer_send_reply(b.peer, 1, b.last_xid, msg->data, msg->len);
	peer_timer(a.peer, ts_add_ms(now, 130));
	deliver(&a, 1, &b);
	g_assert_cmpuint(b.messages, ==, 1);
	g_assert_cmpuint(b.out->len, ==, 2);
	deliver(&b, 1, &a);
	g_assert_cmpuint(a.results, ==, 1);
	g_assert_cmpint(a.last_status, ==, CALL_OK);
	node_release(&a);
	node_release(&b);
	g_byte_array_unref(msg);
}

static void test_call_limits(void)
{
	GByteArray *small = message(0);
	uint8_t *large = g_malloc0(PEER_MAX_MESSAGE_BYTES + 1);
	const struct {
		const char *label;
		uint32_t dst;
		uint32_t tries;
		size_t len;
		guint sent;
		enum call_status status;
	} cases[] = {
		{ "no reply", 2, 3, small->len, 3, CALL_TIMEOUT },
		{ "one try", 2, 1, small->len, 1, CALL_TIMEOUT },
		{ "zero tries", 2, 0, small->len, 1, CALL_TIMEOUT },
		{ "unknown instance", 9, 2, small->len, 0, CALL_TIMEOUT },
		{ "larger than one datagram", 2, 3, PEER_MAX_MESSAGE_BYTES + 1, 0, CALL_FAILED },
		{ "too short for a message", 2, 3, 3, 0, CALL_FAILED },
	};

	memcpy(large, small->data, small->len);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct timespec now = ts_from_ms(1000);
		int64_t elapsed_ms = 0;
		struct node a;

		g_test_message("%s", cases[i].label);
		node_init(&a, 1, 1, keys, 1);
		peer_call(a.peer, now, cases[i].dst, 42, 100, cases[i].tries, large, cases[i].len);
		for (; !a.results && elapsed_ms < 1000; elapsed_ms += 5)
			peer_timer(a.peer, ts_add_ms(now, elapsed_ms));
		g_assert_cmpuint(a.results, ==, 1);
		g_assert_cmpint(a.last_status, ==, cases[i].status);
		g_assert_cmpuint(a.out->len, ==, cases[i].sent);
		g_assert_cmpint(elapsed_ms, <=, 5 + 130 * MAX(cases[i].tries, 1u));
		if (cases[i].status == CALL_TIMEOUT)
			g_assert_cmpint(elapsed_ms, >=, 100 * cases[i].tries);
		node_release(&a);
	}
	g_free(large);
	g_byte_array_unref(small);
}

static void test_sizes(void)
{
	uint8_t *bytes = g_malloc0(PEER_MAX_DATAGRAM_BYTES + 1);
	struct node a;

	node_init(&a, 1, 1, keys, 1);
	g_assert_cmpint(peer_send(a.peer, 2, bytes, PEER_MAX_MESSAGE_BYTES), ==, 0);
	g_assert_cmpuint(node_sent(&a, 0)->bytes->len, ==, PEER_MAX_DATAGRAM_BYTES);
	g_assert_cmpint(peer_send(a.peer, 2, bytes, PEER_MAX_MESSAGE_BYTES + 1), ==, -EMSGSIZE);
	g_assert_cmpint(peer_send_reply(a.peer, 2, 1, bytes, PEER_MAX_MESSAGE_BYTES + 1), ==,
			-EMSGSIZE);
	g_assert_cmpint(peer_send(a.peer, 2, bytes, 3), ==, -EBADMSG);
	g_assert_cmpint(peer_send(a.peer, 9, bytes, 4), ==, -EHOSTUNREACH);
	g_assert_cmpuint(a.out->len, ==, 1);
	g_assert_cmpuint(a.counters.peer_unsent, ==, 4);
	peer_receive(a.peer, node_ep(2), bytes, PEER_MAX_DATAGRAM_BYTES + 1);
	g_assert_cmpuint(a.counters.peer_bad, ==, 1);
	node_release(&a);
	g_free(bytes);
}

/* Correctly sealed heartbeats with one invalid word must be dropped and counted as bad. */
static void test_bad_calls(void)
{
	static const struct {
		const char *label;
		size_t at;
		uint32_t value;
	} cases[] = {
		{ "direction", 4, 7 },	    { "RPC version", 8, 3 },
		{ "program", 12, 100003 },  { "program version", 16, 2 },
		{ "procedure", 20, 6 },	    { "credential length", 28, 0xffffffff },
		{ "message type", 40, 99 }, { "array length", 68, 0xffffffff },
	};
	GByteArray *msg = message(0);
	struct node b;
	struct seal *seal = seal_new(1, 1, keys, 1, 0);
	uint64_t bad = 0;

	node_init(&b, 2, 1, keys, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint32_t call[] = { 5, 0, 2, PEER_PROG, PEER_VERS, PEER_HEARTBEAT, 0, 0, 0, 0 };
		GByteArray *plain = g_byte_array_new();
		GByteArray *datagram = g_byte_array_new();
		uint32_t value = GUINT32_TO_BE(cases[i].value);

		g_test_message("%s", cases[i].label);
		for (size_t j = 0; j < G_N_ELEMENTS(call); j++)
			call[j] = GUINT32_TO_BE(call[j]);
		g_byte_array_append(plain, (const guint8 *)call, sizeof(call));
		g_byte_array_append(plain, msg->data, msg->len);
		memcpy(plain->data + cases[i].at, &value, sizeof(value));
		seal_encrypt(seal, 2, plain->data, plain->len, datagram);
		peer_receive(b.peer, node_ep(1), datagram->data, datagram->len);
		g_assert_cmpuint(b.counters.peer_bad, ==, ++bad);
		g_assert_cmpuint(b.messages, ==, 0);
		g_byte_array_unref(plain);
		g_byte_array_unref(datagram);
	}
	seal_free(seal);
	node_release(&b);
	g_byte_array_unref(msg);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/peer/changed-datagram", test_changed_datagram);
	g_test_add_func("/peer/keys", test_keys);
	g_test_add_func("/peer/replay-window", test_replay_window);
	g_test_add_func("/peer/incarnations", test_incarnations);
	g_test_add_func("/peer/call", test_call);
	g_test_add_func("/peer/lost-reply", test_lost_reply);
	g_test_add_func("/peer/call-limits", test_call_limits);
	g_test_add_func("/peer/sizes", test_sizes);
	g_test_add_func("/peer/bad-calls", test_bad_calls);
	return g_test_run();
}
