/* Guards against flow hashes that ignore a field or differ for the same key, and against peer
 * messages that are decoded from truncated or padded bytes. */
#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "event.h"
#include "packet.h"

static const unsigned char secret[FLOW_KEY_BYTES] = { 1, 2, 3, 4 };

static struct flow_key base_key(void)
{
	return (struct flow_key){
		.caller = { 0x0a000001, 40000 },
		.service = { { 0xc0000201, 443 }, 6 },
	};
}

static void test_hash_fields(void)
{
	struct flow_key base = base_key();
	struct flow_key cases[] = { base, base, base, base, base };

	cases[0].caller.ip++;
	cases[1].caller.port++;
	cases[2].service.ep.ip++;
	cases[3].service.ep.port++;
	cases[4].service.proto = 17;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpuint(flow_hash(&base, secret), !=, flow_hash(&cases[i], secret));
	g_assert_cmpuint(flow_hash(&base, secret), ==, flow_hash(&base, secret));
}

static void test_message_bounds(void)
{
	peer_member member = { .instance = 7, .incarnation = 2, .counter_state = 17 };
	peer_msg msg = { .type = PEER_HEARTBEAT };
	GByteArray *buf = g_byte_array_new();
	peer_msg back;

	msg.peer_msg_u.heartbeat = (peer_heartbeat){
		.instance = 7,
		.members = { .members_len = 1, .members_val = &member },
	};
	g_assert_cmpint(peer_msg_encode(&msg, buf), ==, 0);
	g_assert_cmpint(peer_msg_decode(&back, buf->data, buf->len), ==, 0);
	g_assert_cmpuint(back.peer_msg_u.heartbeat.members.members_val[0].counter_state, ==, 17);
	peer_msg_release(&back);
	for (guint len = 0; len < buf->len; len++)
		g_assert_cmpint(peer_msg_decode(&back, buf->data, len), ==, -EBADMSG);
	g_byte_array_append(buf, (const guint8 *)"", 1);
	g_assert_cmpint(peer_msg_decode(&back, buf->data, buf->len), ==, -EBADMSG);
	g_byte_array_unref(buf);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/packet/hash-fields", test_hash_fields);
	g_test_add_func("/packet/message-bounds", test_message_bounds);
	return g_test_run();
}
