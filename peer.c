#include "peer.h"

#include <errno.h>
#include <rpc/rpc.h>
#include <string.h>

/* Calls stored to detect repeats. At 2,000 calls a second they cover two seconds of retries. */
#define DEDUP_CALLS_MAX 4096
/* Longer replies are not stored: they answer reads, which can be handled again. */
#define DEDUP_REPLY_MAX_BYTES 256

struct call {
	uint32_t xid;
	uint32_t dst;
	uint64_t call_id;
	uint32_t timeout_ms;
	uint32_t tries_left;
	bool failed;
	struct timespec due;
	GByteArray *rpc; /* the call as it is sealed for each try */
};

/* A received call, with its reply once it has been sent. */
struct dedup {
	uint32_t src;
	uint32_t incarnation;
	uint32_t xid;
	uint8_t type; /* of the reply */
	uint16_t len; /* of the reply, 0 while none is stored */
	bool handled; /* a reply was sent */
	uint8_t reply[DEDUP_REPLY_MAX_BYTES];
};

/* Where the last verified datagram of a sender came from. */
struct source {
	struct endpoint ep;
	uint32_t incarnation;
};

struct peer {
	struct peer_options opts;
	struct seal *seal;
	uint32_t next_xid;
	GHashTable *calls;	  /* xid -> struct call */
	GHashTable *sources;	  /* sender -> struct source */
	GHashTable *dedup;	  /* struct dedup, by sender, incarnation and xid */
	struct dedup *dedup_ring; /* DEDUP_CALLS_MAX entries, oldest overwritten first */
	uint32_t dedup_next;
	struct peer_traffic traffic;
	GByteArray *rpc;      /* scratch: header and message */
	GByteArray *datagram; /* scratch: sealed */
	uint8_t plain[PEER_MAX_DATAGRAM_BYTES];
};

static guint dedup_hash(gconstpointer p)
{
	const struct dedup *t = p;

	return t->src * 0x9e3779b1u ^ t->incarnation * 0x85ebca6bu ^ t->xid * 0xc2b2ae35u;
}

static gboolean dedup_equal(gconstpointer a, gconstpointer b)
{
	const struct dedup *x = a;
	const struct dedup *y = b;

	return x->src == y->src && x->incarnation == y->incarnation && x->xid == y->xid;
}

static void call_free(void *p)
{
	struct call *call = p;

	g_byte_array_unref(call->rpc);
	g_free(call);
}

struct peer *peer_new(const struct peer_options *opts)
{
	struct peer *peer = g_new0(struct peer, 1);
	uint32_t salt = random_below(opts->random, UINT32_MAX);

	peer->opts = *opts;
	peer->seal = seal_new(opts->self, opts->incarnation, opts->keys, opts->nr_keys, salt);
	peer->opts.keys = NULL;
	peer->calls = g_hash_table_new_full(NULL, NULL, NULL, call_free);
	peer->sources = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	peer->dedup = g_hash_table_new(dedup_hash, dedup_equal);
	peer->dedup_ring = g_new0(struct dedup, DEDUP_CALLS_MAX);
	peer->rpc = g_byte_array_new();
	peer->datagram = g_byte_array_new();
	return peer;
}

void peer_free(struct peer *peer)
{
	if (!peer)
		return;
	g_hash_table_unref(peer->calls);
	g_hash_table_unref(peer->sources);
	g_hash_table_unref(peer->dedup);
	g_free(peer->dedup_ring);
	g_byte_array_unref(peer->rpc);
	g_byte_array_unref(peer->datagram);
	seal_free(peer->seal);
	g_free(peer);
}

static uint8_t message_type(const uint8_t *bytes)
{
	uint32_t type;

	memcpy(&type, bytes, sizeof(type));
	type = GUINT32_FROM_BE(type);
	return type < PEER_TYPES ? (uint8_t)type : PEER_NULL;
}

/* A forwarded packet (PEER_PASS) is caller traffic; all other messages are control traffic. */
static void count_bytes(uint64_t *by_type, uint64_t *control, uint8_t type, size_t len)
{
	by_type[type] += len;
	if (type != PEER_PASS)
		*control += len;
}

static void transmit(struct peer *peer, struct endpoint ep, uint32_t dst, uint8_t type,
		     const uint8_t *rpc, size_t len)
{
	struct counters *cnt = peer->opts.counters;

	g_byte_array_set_size(peer->datagram, 0);
	seal_encrypt(peer->seal, dst, rpc, len, peer->datagram);
	cnt->peer_out++;
	count_bytes(peer->traffic.out, &cnt->peer_bytes_out, type, peer->datagram->len);
	peer->opts.transport->ops->send(peer->opts.transport, ep, peer->datagram->data,
					peer->datagram->len);
}

/* The configured address of an instance, else where its last verified datagram came from. */
static bool find_endpoint(struct peer *peer, uint32_t id, struct endpoint *ep)
{
	const struct source *src;

	if (peer->opts.handler->ops->endpoint(peer->opts.handler, id, ep))
		return true;
	src = g_hash_table_lookup(peer->sources, GUINT_TO_POINTER(id));
	if (src)
		*ep = src->ep;
	return src;
}

/* The results are the message, which is encoded separately after the reply header. */
static bool_t xdr_no_results(XDR *xdr, ...)
{
	(void)xdr;
	return TRUE;
}

/* Encodes an RPC header and @bytes after it into @out. */
static int encode_rpc(struct rpc_msg *rpc, const uint8_t *bytes, size_t len, GByteArray *out)
{
	XDR xdr;
	bool ok;
	u_int used;

	if (len < sizeof(uint32_t))
		return -EBADMSG;
	if (len > PEER_MAX_MESSAGE_BYTES)
		return -EMSGSIZE;
	g_byte_array_set_size(out, PEER_RPC_HEADER_BYTES);
	xdrmem_create(&xdr, (char *)out->data, PEER_RPC_HEADER_BYTES, XDR_ENCODE);
	if (rpc->rm_direction == CALL)
		ok = xdr_callmsg(&xdr, rpc);
	else
		ok = xdr_replymsg(&xdr, rpc);
	used = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	if (!ok)
		return -EBADMSG;
	g_byte_array_set_size(out, used);
	g_byte_array_append(out, bytes, (guint)len);
	return 0;
}

static int encode_call(uint32_t xid, const uint8_t *bytes, size_t len, GByteArray *out)
{
	struct rpc_msg rpc = { .rm_xid = xid, .rm_direction = CALL };

	rpc.rm_call = (struct call_body){
		.cb_rpcvers = RPC_MSG_VERSION,
		.cb_prog = PEER_PROG,
		.cb_vers = PEER_VERS,
		.cb_proc = len >= sizeof(uint32_t) ? message_type(bytes) : PEER_NULL,
	};
	return encode_rpc(&rpc, bytes, len, out);
}

int peer_send(struct peer *peer, uint32_t dst, const uint8_t *bytes, size_t len)
{
	struct endpoint ep;
	int ret = encode_call(0, bytes, len, peer->rpc);

	if (!ret && !find_endpoint(peer, dst, &ep))
		ret = -EHOSTUNREACH;
	if (ret) {
		peer->opts.counters->peer_unsent++;
		return ret;
	}
	transmit(peer, ep, dst, message_type(bytes), peer->rpc->data, peer->rpc->len);
	return 0;
}

/* Stores the reply in peer->rpc with the call of the newest incarnation of @dst, for repeats. */
static void store_reply(struct peer *peer, uint32_t dst, uint32_t xid, uint8_t type)
{
	const struct source *src = g_hash_table_lookup(peer->sources, GUINT_TO_POINTER(dst));
	struct dedup key = { .src = dst, .xid = xid };
	struct dedup *t;

	if (!src)
		return;
	key.incarnation = src->incarnation;
	t = g_hash_table_lookup(peer->dedup, &key);
	if (!t)
		return;
	t->handled = true;
	t->type = type;
	if (peer->rpc->len <= DEDUP_REPLY_MAX_BYTES) {
		t->len = (uint16_t)peer->rpc->len;
		memcpy(t->reply, peer->rpc->data, t->len);
	}
}

int peer_send_reply(struct peer *peer, uint32_t dst, uint32_t xid, const uint8_t *bytes, size_t len)
{
	struct rpc_msg rpc = { .rm_xid = xid, .rm_direction = REPLY };
	struct endpoint ep;
	int ret;

	rpc.rm_reply.rp_stat = MSG_ACCEPTED;
	rpc.acpted_rply.ar_stat = SUCCESS;
	rpc.acpted_rply.ar_results.proc = xdr_no_results;
	ret = encode_rpc(&rpc, bytes, len, peer->rpc);
	if (!ret) {
		store_reply(peer, dst, xid, message_type(bytes));
		if (!find_endpoint(peer, dst, &ep))
			ret = -EHOSTUNREACH;
	}
	if (ret) {
		peer->opts.counters->peer_unsent++;
		return ret;
	}
	transmit(peer, ep, dst, message_type(bytes), peer->rpc->data, peer->rpc->len);
	return 0;
}

/* Sends a call once and sets the time of the next try. */
static void send_call(struct peer *peer, struct timespec now, struct call *call)
{
	struct endpoint ep;

	call->tries_left--;
	/* Jitter, so that callers of a home that did not reply do not retry at the same time. */
	call->due =
		ts_add_ms(now, (int64_t)call->timeout_ms +
				       random_below(peer->opts.random, call->timeout_ms / 4 + 1));
	if (find_endpoint(peer, call->dst, &ep))
		transmit(peer, ep, call->dst, message_type(call->rpc->data + PEER_RPC_HEADER_BYTES),
			 call->rpc->data, call->rpc->len);
}

void peer_call(struct peer *peer, struct timespec now, uint32_t dst, uint64_t call_id,
	       uint32_t timeout_ms, uint32_t tries, const uint8_t *bytes, size_t len)
{
	struct call *call = g_new0(struct call, 1);

	do {
		peer->next_xid++;
	} while (!peer->next_xid ||
		 g_hash_table_contains(peer->calls, GUINT_TO_POINTER(peer->next_xid)));
	*call = (struct call){
		.xid = peer->next_xid,
		.dst = dst,
		.call_id = call_id,
		.timeout_ms = timeout_ms ? timeout_ms : 1,
		.tries_left = tries ? tries : 1,
		.due = now,
		.rpc = g_byte_array_new(),
	};
	call->failed = encode_call(call->xid, bytes, len, call->rpc) ||
		       g_hash_table_size(peer->calls) >= PEER_MAX_OPEN_CALLS;
	g_hash_table_insert(peer->calls, GUINT_TO_POINTER(call->xid), call);
	if (!call->failed)
		send_call(peer, now, call);
}

static void finish_call(struct peer *peer, struct call *call, enum call_status status,
			const peer_msg *msg)
{
	uint32_t dst = call->dst;
	uint64_t call_id = call->call_id;

	g_hash_table_remove(peer->calls, GUINT_TO_POINTER(call->xid));
	peer->opts.handler->ops->result(peer->opts.handler, dst, call_id, status, msg);
}

void peer_timer(struct peer *peer, struct timespec now)
{
	GPtrArray *expired = NULL;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, peer->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct call *call = value;

		if (ts_cmp(call->due, now) > 0)
			continue;
		if (!call->failed && call->tries_left) {
			send_call(peer, now, call);
			continue;
		}
		if (!expired)
			expired = g_ptr_array_new();
		g_ptr_array_add(expired, call);
	}
	if (!expired)
		return;
	/* The handler may start new calls, so it is called after the iteration. */
	for (guint i = 0; i < expired->len; i++) {
		struct call *call = g_ptr_array_index(expired, i);

		peer->opts.counters->peer_timeout += !call->failed;
		finish_call(peer, call, call->failed ? CALL_FAILED : CALL_TIMEOUT, NULL);
	}
	g_ptr_array_unref(expired);
}

/* Whether a call must be handled. Resends the stored reply of a repeated call. */
static bool dedup_call(struct peer *peer, struct seal_sender from, uint32_t xid,
		       struct endpoint src)
{
	struct dedup key = { .src = from.instance, .incarnation = from.incarnation, .xid = xid };
	struct dedup *t = g_hash_table_lookup(peer->dedup, &key);

	if (t) {
		if (t->len)
			transmit(peer, src, from.instance, t->type, t->reply, t->len);
		/* A reply that was too long to store answers a read, which is handled again. */
		return t->handled && !t->len;
	}
	t = &peer->dedup_ring[peer->dedup_next % DEDUP_CALLS_MAX];
	peer->dedup_next++;
	if (t->src)
		g_hash_table_remove(peer->dedup, t);
	*t = key;
	g_hash_table_add(peer->dedup, t);
	return true;
}

static void receive_call(struct peer *peer, struct seal_sender from, struct endpoint src,
			 const struct rpc_msg *rpc, const uint8_t *bytes, size_t len)
{
	struct counters *cnt = peer->opts.counters;
	peer_msg msg;

	if (rpc->rm_call.cb_rpcvers != RPC_MSG_VERSION || rpc->rm_call.cb_prog != PEER_PROG ||
	    rpc->rm_call.cb_vers != PEER_VERS || peer_msg_decode(&msg, bytes, len)) {
		cnt->peer_bad++;
		return;
	}
	if (rpc->rm_call.cb_proc != (rpcproc_t)msg.type) {
		cnt->peer_bad++;
		goto cleanup;
	}
	cnt->peer_in++;
	if (!rpc->rm_xid || dedup_call(peer, from, rpc->rm_xid, src))
		peer->opts.handler->ops->message(peer->opts.handler, from.instance, rpc->rm_xid,
						 &msg);
cleanup:
	peer_msg_release(&msg);
}

static void receive_reply(struct peer *peer, struct seal_sender from, const struct rpc_msg *rpc,
			  const uint8_t *bytes, size_t len)
{
	struct counters *cnt = peer->opts.counters;
	struct call *call = g_hash_table_lookup(peer->calls, GUINT_TO_POINTER(rpc->rm_xid));
	bool accepted =
		rpc->rm_reply.rp_stat == MSG_ACCEPTED && rpc->acpted_rply.ar_stat == SUCCESS;
	peer_msg msg;

	/* A second reply to a call, or one from an instance that was not called. */
	if (!call || call->dst != from.instance) {
		cnt->peer_replayed++;
		return;
	}
	if (!accepted) {
		cnt->peer_in++;
		finish_call(peer, call, CALL_FAILED, NULL);
		return;
	}
	if (peer_msg_decode(&msg, bytes, len)) {
		cnt->peer_bad++;
		return;
	}
	cnt->peer_in++;
	finish_call(peer, call, CALL_OK, &msg);
	peer_msg_release(&msg);
}

/* Decodes the RPC header; sets *used to its length. Credentials are neither used nor allocated. */
static bool decode_rpc(const uint8_t *bytes, size_t len, struct rpc_msg *rpc, size_t *used)
{
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	uint32_t direction;
	XDR xdr;
	bool ok;

	if (len < 2 * sizeof(uint32_t))
		return false;
	memcpy(&direction, bytes + sizeof(uint32_t), sizeof(direction));
	direction = GUINT32_FROM_BE(direction);
	memset(rpc, 0, sizeof(*rpc));
	xdrmem_create(&xdr, (char *)bytes, (u_int)len, XDR_DECODE);
	if (direction == CALL) {
		rpc->rm_call.cb_cred.oa_base = cred;
		rpc->rm_call.cb_verf.oa_base = verf;
		ok = xdr_callmsg(&xdr, rpc);
		rpc->rm_call.cb_cred.oa_base = NULL;
		rpc->rm_call.cb_verf.oa_base = NULL;
	} else if (direction == REPLY) {
		rpc->acpted_rply.ar_verf.oa_base = verf;
		rpc->acpted_rply.ar_results.proc = xdr_no_results;
		ok = xdr_replymsg(&xdr, rpc);
		if (rpc->rm_reply.rp_stat == MSG_ACCEPTED)
			rpc->acpted_rply.ar_verf.oa_base = NULL;
	} else {
		ok = false;
	}
	*used = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return ok && *used <= len;
}

void peer_receive(struct peer *peer, struct endpoint src, const uint8_t *bytes, size_t len)
{
	struct counters *cnt = peer->opts.counters;
	struct seal_sender from;
	struct source *last;
	struct rpc_msg rpc;
	size_t plain_len;
	size_t used;

	if (len > PEER_MAX_DATAGRAM_BYTES) {
		cnt->peer_bad++;
		return;
	}
	switch (seal_decrypt(peer->seal, bytes, len, peer->plain, &plain_len, &from)) {
	case SEAL_OK:
		break;
	case SEAL_MALFORMED:
		cnt->peer_bad++;
		return;
	case SEAL_UNAUTHENTIC:
		cnt->peer_unauthentic++;
		return;
	case SEAL_REPLAYED:
		cnt->peer_replayed++;
		return;
	}
	last = g_hash_table_lookup(peer->sources, GUINT_TO_POINTER(from.instance));
	if (!last) {
		last = g_new(struct source, 1);
		g_hash_table_insert(peer->sources, GUINT_TO_POINTER(from.instance), last);
	}
	*last = (struct source){ src, from.incarnation };
	if (!decode_rpc(peer->plain, plain_len, &rpc, &used) ||
	    plain_len - used < sizeof(uint32_t)) {
		cnt->peer_bad++;
		return;
	}
	count_bytes(peer->traffic.in, &cnt->peer_bytes_in, message_type(peer->plain + used), len);
	if (rpc.rm_direction == CALL)
		receive_call(peer, from, src, &rpc, peer->plain + used, plain_len - used);
	else
		receive_reply(peer, from, &rpc, peer->plain + used, plain_len - used);
}

const struct peer_traffic *peer_traffic(const struct peer *peer)
{
	return &peer->traffic;
}

size_t peer_calls_open(const struct peer *peer)
{
	return g_hash_table_size(peer->calls);
}
