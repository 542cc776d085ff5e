#include "relay-internal.h"

#include <stddef.h>
#include <string.h>

/* Readers of other data centres with an open channel; the oldest one is closed for another. */
#define MAX_LENDERS 32

/* Channel to the reader of another data centre, with the key of its entry. */
struct relay_lender {
	struct relay_channel channel;
	struct reader_entry entry;
};

static struct relay *relay_of(struct exchange_out *out)
{
	return (struct relay *)((char *)out - offsetof(struct relay, exchange_out));
}

static void send_report(struct exchange_out *out, const peer_msg *msg)
{
	struct relay *relay = relay_of(out);

	if (relay->to_reader.peer)
		relay_send(&relay->to_reader, relay->reader.ep.ip, msg);
}

static void send_grant(struct exchange_out *out, uint32_t id, const peer_msg *msg)
{
	struct relay *relay = relay_of(out);

	if (relay->to_followers.peer)
		relay_send(&relay->to_followers, id, msg);
}

static void list_readers(struct exchange_out *out)
{
	struct upstream *up = relay_of(out)->opts.upstream;

	if (up->ops->list_readers)
		up->ops->list_readers(up);
}

static void lender_message(struct peer_handler *handler, uint32_t src, uint32_t xid,
			   const peer_msg *msg)
{
	struct relay_channel *chan =
		(struct relay_channel *)((char *)handler - offsetof(struct relay_channel, handler));
	const struct relay_lender *lender = (const struct relay_lender *)chan;

	(void)xid;
	if (msg->type == PEER_CREDIT_GRANT && src == lender->entry.ep.ip)
		relay_credit_message(chan->relay, src, msg);
}

static const struct peer_handler_ops lender_ops = {
	.message = lender_message,
	.result = relay_no_result,
	.endpoint = relay_endpoint,
};

static void free_lender(gpointer data)
{
	struct relay_lender *lender = data;

	relay_channel_close(&lender->channel);
	g_free(lender);
}

/*
 * Channels stay open while the entry is the same: a new one would begin its counters again, and
 * the other reader would take its messages for replays.
 */
static struct relay_lender *get_lender(struct relay *relay, const struct reader_entry *entry)
{
	struct relay_lender *lender;

	for (guint i = 0; i < relay->lenders->len; i++) {
		lender = g_ptr_array_index(relay->lenders, i);
		if (!endpoint_equal(lender->entry.ep, entry->ep))
			continue;
		if (!memcmp(lender->entry.key, entry->key, PEER_KEY_BYTES))
			return lender;
		g_ptr_array_remove_index(relay->lenders, i);
		break;
	}
	if (relay->lenders->len == MAX_LENDERS)
		g_ptr_array_remove_index(relay->lenders, 0);
	lender = g_new0(struct relay_lender, 1);
	lender->entry = *entry;
	relay_channel_open(relay, &lender->channel, &lender_ops, entry->key);
	g_ptr_array_add(relay->lenders, lender);
	return lender;
}

static void borrow(struct exchange_out *out, const struct reader_entry *reader, const peer_msg *msg)
{
	relay_send(&get_lender(relay_of(out), reader)->channel, reader->ep.ip, msg);
}

static const struct exchange_out_ops exchange_out_ops = {
	.report = send_report,
	.grant = send_grant,
	.list_readers = list_readers,
	.borrow = borrow,
};

void relay_credit_init(struct relay *relay)
{
	struct exchange_options opts = {
		.control_state = relay->opts.control_state,
		.account = relay->opts.account,
		.out = &relay->exchange_out,
		.random = relay->opts.random,
		.self = relay->opts.self.ip,
		.incarnation = relay->opts.incarnation,
		.interval_ms = relay->opts.credit_interval_ms,
	};

	if (!opts.account)
		return;
	relay->exchange_out.ops = &exchange_out_ops;
	relay->lenders = g_ptr_array_new_with_free_func(free_lender);
	relay->exchange = exchange_new(&opts);
}

void relay_credit_release(struct relay *relay)
{
	exchange_free(relay->exchange);
	if (relay->lenders)
		g_ptr_array_unref(relay->lenders);
}

void relay_credit_set_role(struct relay *relay)
{
	static const enum exchange_role roles[] = {
		[RELAY_ALONE] = EXCHANGE_OFF,
		[RELAY_JOINING] = EXCHANGE_OFF,
		[RELAY_FOLLOWING] = EXCHANGE_FOLLOWER,
		[RELAY_READING] = EXCHANGE_READER,
	};

	if (relay->exchange)
		exchange_set_role(relay->exchange, roles[relay->role], relay->now);
}

void relay_credit_message(struct relay *relay, uint32_t src, const peer_msg *msg)
{
	if (!relay->exchange)
		return;
	if (msg->type == PEER_CREDIT_REPORT)
		exchange_receive_report(relay->exchange, src, &msg->peer_msg_u.credit_report,
					relay->now);
	else if (msg->type == PEER_CREDIT_GRANT)
		exchange_receive_grant(relay->exchange, src, &msg->peer_msg_u.credit_grant,
				       relay->now);
}

/*
 * A reader may lend to this one and borrow from it, so the address alone does not tell the
 * channel. The first byte of a datagram is that of its key; of two keys with the same first byte,
 * the lender's is tried alone, and the other reader's requests are lost meanwhile.
 */
struct relay_channel *relay_credit_channel(const struct relay *relay, struct endpoint src,
					   const uint8_t *bytes, size_t len)
{
	if (!relay->exchange || relay->role != RELAY_READING || !len)
		return NULL;
	for (guint i = 0; i < relay->lenders->len; i++) {
		struct relay_lender *lender = g_ptr_array_index(relay->lenders, i);

		if (lender->entry.ep.ip == src.ip && lender->entry.key[0] == bytes[0])
			return &lender->channel;
	}
	return NULL;
}

void relay_readers_listed(struct relay *relay, const struct exchange_reader *readers, size_t nr,
			  struct timespec now)
{
	relay->now = now;
	if (relay->exchange)
		exchange_readers(relay->exchange, readers, nr, now);
}

const struct exchange *relay_exchange(const struct relay *relay)
{
	return relay->exchange;
}
