/*
 * Fuzzing of peer datagrams and messages: what a peer sends, sealed or not, must not read past its
 * end, allocate without bound or leave a message undecoded behind. Messages of credits are also
 * handled by a follower and by a reader.
 */
#include <glib.h>
#include <sodium.h>

#include "credit/exchange.h"
#include "peer.h"
#include "t/silent-out.h"
#include "timeutil.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static void no_send(struct peer_transport *tr, struct endpoint dst, const uint8_t *bytes,
		    size_t len)
{
	(void)tr;
	(void)dst;
	(void)bytes;
	(void)len;
}

static void no_message(struct exchange_out *out, const peer_msg *msg)
{
	(void)out;
	(void)msg;
}

static void no_grant(struct exchange_out *out, uint32_t id, const peer_msg *msg)
{
	(void)out;
	(void)id;
	(void)msg;
}

static void no_list(struct exchange_out *out)
{
	(void)out;
}

static void no_borrow(struct exchange_out *out, const struct reader_entry *reader,
		      const peer_msg *msg)
{
	(void)out;
	(void)reader;
	(void)msg;
}

static const struct exchange_out_ops exchange_out_ops = {
	no_message,
	no_grant,
	no_list,
	no_borrow,
};

/* A follower or a reader that knows a service with two targets. */
static struct exchange *start_exchange(enum exchange_role role, struct random *random)
{
	static struct exchange_out out = { &exchange_out_ops };
	static struct steer_out steer_out = { &null_out_ops };
	struct control_state *cs = g_new0(struct control_state, 1);
	struct control_state_options cs_opts = {
		.data_centre = "home",
		.max_flows = 16,
		.credits = true,
		.random = random,
		.out = &steer_out,
	};
	struct exchange_options opts = {
		.control_state = cs,
		.out = &out,
		.random = random,
		.self = 2,
		.incarnation = 1,
		.interval_ms = 250,
	};
	struct route_rule rule = { .nr_services = 1, .admission = { .goal_ms = 100 } };
	struct exchange *ex;

	control_state_init(cs, &cs_opts);
	rule.services[0].service = symbols_intern(&cs->symbols, "web");
	routing_begin(cs->routing, 1);
	routing_add_route(cs->routing, &rule);
	control_state_commit_config(cs, ts_from_ms(1));
	for (uint64_t i = 1; i < 3; i++) {
		struct target_info info = {
			.id = i == 1 ? "a-1" : "a-2",
			.service = rule.services[0].service,
			.data_centre = symbols_intern(&cs->symbols, "home"),
			.slots = 2,
		};

		control_state_put_target(cs, &info, ts_from_ms(1));
	}
	opts.account = cs->credit;
	ex = exchange_new(&opts);
	exchange_set_role(ex, role, ts_from_ms(1));
	return ex;
}

static void take_credits(const peer_msg *msg)
{
	static struct exchange *exchanges[2];
	static struct seeded_random random;
	static int64_t now_ms = 1000;
	struct timespec now = ts_from_ms(now_ms += 100);

	if (!exchanges[0]) {
		seeded_random_init(&random, 2);
		exchanges[0] = start_exchange(EXCHANGE_FOLLOWER, &random.random);
		exchanges[1] = start_exchange(EXCHANGE_READER, &random.random);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(exchanges); i++) {
		if (msg->type == PEER_CREDIT_REPORT)
			exchange_receive_report(exchanges[i], 1, &msg->peer_msg_u.credit_report,
						now);
		else
			exchange_receive_grant(exchanges[i], 1, &msg->peer_msg_u.credit_grant, now);
		exchange_timer(exchanges[i], now);
	}
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
	if (msg->type == PEER_CREDIT_REPORT || msg->type == PEER_CREDIT_GRANT)
		take_credits(msg);
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
