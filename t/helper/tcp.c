/* GUE, inner IPv4 and TCP, and a minimal TCP endpoint for the stand-ins. */
#include "standin.h"

#include <string.h>

#define GUE_LEN	     4
#define IP_LEN	     20
#define TCP_LEN	     20
#define RTO_MS	     150
#define WINDOW_BYTES (16 * SEG_MSS)

static void put16(uint8_t *p, uint32_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

static void put32(uint8_t *p, uint32_t v)
{
	put16(p, v >> 16);
	put16(p + 2, v);
}

static uint32_t get16(const uint8_t *p)
{
	return (uint32_t)p[0] << 8 | p[1];
}

static uint32_t get32(const uint8_t *p)
{
	return get16(p) << 16 | get16(p + 2);
}

static uint32_t sum16(const uint8_t *p, size_t len, uint32_t sum)
{
	for (size_t i = 0; i + 1 < len; i += 2)
		sum += get16(p + i);
	if (len & 1)
		sum += (uint32_t)p[len - 1] << 8;
	while (sum >> 16)
		sum = (sum & 0xffff) + (sum >> 16);
	return sum;
}

/* Sum over the TCP segment with its pseudo header; 0xffff when the checksum holds. */
static uint32_t tcp_sum(const uint8_t *ip, size_t tcp_len)
{
	uint32_t sum = sum16(ip + 12, 8, 6 + (uint32_t)tcp_len);

	return sum16(ip + IP_LEN, tcp_len, sum);
}

size_t seg_build(const struct seg *seg, uint8_t out[SEG_BUFFER])
{
	size_t gue = seg->deadline_ms >= 0 ? GUE_LEN + 4 : GUE_LEN;
	uint8_t *ip = out + gue;
	uint8_t *tcp = ip + IP_LEN;
	size_t tcp_len = TCP_LEN + seg->len;

	memset(out, 0, gue + IP_LEN + TCP_LEN);
	out[0] = (uint8_t)((gue - GUE_LEN) / 4);
	out[1] = 4;
	if (gue > GUE_LEN)
		put32(out + GUE_LEN, (uint32_t)seg->deadline_ms);
	ip[0] = 0x45;
	put16(ip + 2, (uint32_t)(IP_LEN + tcp_len));
	ip[6] = 0x40;
	ip[8] = 64;
	ip[9] = 6;
	put32(ip + 12, seg->src.ip);
	put32(ip + 16, seg->dst.ip);
	put16(ip + 10, ~sum16(ip, IP_LEN, 0));
	put16(tcp, seg->src.port);
	put16(tcp + 2, seg->dst.port);
	put32(tcp + 4, seg->seq);
	put32(tcp + 8, seg->ack);
	tcp[12] = 0x50;
	tcp[13] = seg->flags;
	put16(tcp + 14, WINDOW_BYTES);
	if (seg->len)
		memcpy(tcp + TCP_LEN, seg->data, seg->len);
	put16(tcp + 16, ~tcp_sum(ip, tcp_len));
	return gue + IP_LEN + tcp_len;
}

bool seg_parse(const uint8_t *bytes, size_t len, struct seg *seg)
{
	size_t gue = len ? GUE_LEN + (size_t)(bytes[0] & 0x1f) * 4 : 0;
	const uint8_t *ip = bytes + gue;
	const uint8_t *tcp = ip + IP_LEN;
	size_t total;
	size_t off;

	if (len < gue + IP_LEN + TCP_LEN || bytes[0] & 0xe0 || bytes[1] != 4)
		return false;
	total = get16(ip + 2);
	if (ip[0] != 0x45 || ip[9] != 6 || total != len - gue || sum16(ip, IP_LEN, 0) != 0xffff)
		return false;
	off = (size_t)(tcp[12] >> 4) * 4;
	if (off < TCP_LEN || IP_LEN + off > total || tcp_sum(ip, total - IP_LEN) != 0xffff)
		return false;
	*seg = (struct seg){
		.src = { get32(ip + 12), (uint16_t)get16(tcp) },
		.dst = { get32(ip + 16), (uint16_t)get16(tcp + 2) },
		.seq = get32(tcp + 4),
		.ack = get32(tcp + 8),
		.flags = tcp[13],
		.deadline_ms = gue >= GUE_LEN + 4 ? (int32_t)get32(bytes + gue - 4) : NO_DEADLINE,
		.data = tcp + off,
		.len = total - IP_LEN - off,
	};
	return true;
}

static void emit(struct conn *conn, uint32_t seq, uint8_t flags, const uint8_t *data, size_t len)
{
	struct seg seg = {
		.src = conn->local,
		.dst = conn->remote,
		.seq = seq,
		.ack = flags & SEG_ACK ? conn->rcv : 0,
		.flags = flags,
		.deadline_ms = NO_DEADLINE,
		.data = data,
		.len = len,
	};

	conn->send(conn, &seg);
}

void conn_connect(struct conn *conn, int64_t now)
{
	conn->state = CONN_SYN_SENT;
	conn->una = conn->iss;
	conn->nxt = conn->iss + 1;
	conn->out = g_byte_array_new();
	conn->in = g_byte_array_new();
	conn->sent_ms = now;
	emit(conn, conn->iss, SEG_SYN, NULL, 0);
}

void conn_accept(struct conn *conn, const struct seg *syn, int64_t now)
{
	conn->state = CONN_OPEN;
	conn->irs = syn->seq;
	conn->rcv = syn->seq + 1;
	conn->una = conn->iss;
	conn->nxt = conn->iss + 1;
	conn->out = g_byte_array_new();
	conn->in = g_byte_array_new();
	conn->sent_ms = now;
	emit(conn, conn->iss, SEG_SYN | SEG_ACK, NULL, 0);
}

void conn_release(struct conn *conn)
{
	if (conn->out)
		g_byte_array_unref(conn->out);
	if (conn->in)
		g_byte_array_unref(conn->in);
	conn->out = conn->in = NULL;
}

/* Whether our SYN is still unacknowledged (passive side). */
static bool syn_pending(const struct conn *conn)
{
	return conn->una == conn->iss;
}

void conn_output(struct conn *conn, int64_t now)
{
	uint32_t end = conn->una + conn->out->len;

	if (conn->state != CONN_OPEN || syn_pending(conn))
		return;
	while ((int32_t)(end - conn->nxt) > 0 && conn->nxt - conn->una < WINDOW_BYTES) {
		uint32_t off = conn->nxt - conn->una;
		uint32_t len = MIN(conn->out->len - off, SEG_MSS);

		emit(conn, conn->nxt, SEG_ACK, conn->out->data + off, len);
		conn->nxt += len;
		conn->sent_ms = now;
	}
	if (conn->fin && !conn->fin_acked && conn->nxt == end) {
		emit(conn, end, SEG_ACK | SEG_FIN, NULL, 0);
		conn->nxt = end + 1;
		conn->sent_ms = now;
	}
}

void conn_timer(struct conn *conn, int64_t now)
{
	if (conn->una == conn->nxt || conn->state > CONN_OPEN ||
	    now - conn->sent_ms < (int64_t)RTO_MS << MIN(conn->tries, 3))
		return;
	conn->tries++;
	conn->sent_ms = now;
	if (conn->state == CONN_SYN_SENT) {
		emit(conn, conn->iss, SEG_SYN, NULL, 0);
	} else if (syn_pending(conn)) {
		emit(conn, conn->iss, SEG_SYN | SEG_ACK, NULL, 0);
	} else {
		conn->nxt = conn->una;
		conn_output(conn, now);
	}
}

static void take_ack(struct conn *conn, uint32_t ack, int64_t now)
{
	uint32_t count = ack - conn->una;
	/* After go-back-N, nxt is behind what the peer may have received already. */
	uint32_t most = conn->out->len + (syn_pending(conn) ? 1 : 0) + (conn->fin ? 1 : 0);

	if (!count || count > most)
		return;
	conn->tries = 0;
	conn->sent_ms = now;
	if ((int32_t)(ack - conn->nxt) > 0)
		conn->nxt = ack;
	if (syn_pending(conn))
		count--;
	if (count > conn->out->len) {
		conn->fin_acked = true;
		count = conn->out->len;
	}
	g_byte_array_remove_range(conn->out, 0, count);
	conn->una = ack;
}

static void take_syn_ack(struct conn *conn, const struct seg *seg, int64_t now)
{
	if (seg->ack != conn->iss + 1)
		return;
	if (conn->state == CONN_SYN_SENT) {
		conn->irs = seg->seq;
		conn->rcv = seg->seq + 1;
		conn->una = conn->nxt = conn->iss + 1;
		conn->state = CONN_OPEN;
		conn->tries = 0;
		conn_output(conn, now);
	} else if (seg->seq != conn->irs) {
		conn->strays++;
		return;
	}
	emit(conn, conn->nxt, SEG_ACK, NULL, 0);
}

void conn_input(struct conn *conn, const struct seg *seg, int64_t now)
{
	uint32_t seq = seg->seq;

	if (conn->state > CONN_OPEN) {
		if (conn->state == CONN_DONE && seg->flags & SEG_FIN)
			emit(conn, conn->nxt, SEG_ACK, NULL, 0);
		return;
	}
	if (seg->flags & SEG_RST) {
		if (conn->state == CONN_SYN_SENT && seg->flags & SEG_ACK &&
		    seg->ack == conn->iss + 1)
			conn->state = CONN_REFUSED;
		else if (conn->state == CONN_OPEN && seq - conn->rcv < 65536)
			conn->state = CONN_RESET;
		else
			conn->strays++;
		return;
	}
	if (seg->flags & SEG_SYN) {
		if (seg->flags & SEG_ACK)
			take_syn_ack(conn, seg, now);
		else if (seq == conn->irs && syn_pending(conn))
			emit(conn, conn->iss, SEG_SYN | SEG_ACK, NULL, 0);
		return;
	}
	if (conn->state != CONN_OPEN || seq - conn->rcv + WINDOW_BYTES * 4 > WINDOW_BYTES * 8) {
		conn->strays++;
		return;
	}
	take_ack(conn, seg->ack, now);
	if (seg->len || seg->flags & SEG_FIN) {
		if (seq == conn->rcv && !conn->peer_fin) {
			g_byte_array_append(conn->in, seg->data, (guint)seg->len);
			conn->rcv += (uint32_t)seg->len;
			if (seg->flags & SEG_FIN) {
				conn->rcv++;
				conn->peer_fin = true;
			}
		}
		emit(conn, conn->nxt, SEG_ACK, NULL, 0);
	}
	conn_output(conn, now);
	if (conn->peer_fin && conn->fin_acked)
		conn->state = CONN_DONE;
}
