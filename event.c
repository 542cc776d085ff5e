#include "event.h"

#include <errno.h>
#include <rpc/rpc.h>
#include <string.h>

/* Bytes; above the largest valid message, a part of a hand-over with 4096 pins of 20 bytes. */
#define ENCODED_MAX_BYTES (128 * 1024)

void actions_init(struct actions *acts)
{
	acts->list = g_array_new(FALSE, FALSE, sizeof(struct action));
	acts->data = g_byte_array_new();
}

void actions_release(struct actions *acts)
{
	g_array_unref(acts->list);
	g_byte_array_unref(acts->data);
	*acts = (struct actions){ NULL, NULL };
}

void actions_reset(struct actions *acts)
{
	g_array_set_size(acts->list, 0);
	g_byte_array_set_size(acts->data, 0);
}

void actions_add(struct actions *acts, struct action act, const uint8_t *bytes, size_t len)
{
	act.offset = acts->data->len + ACTION_HEADROOM;
	act.len = len;
	if (len) {
		g_byte_array_set_size(acts->data, (guint)(act.offset + len));
		memcpy(acts->data->data + act.offset, bytes, len);
	}
	g_array_append_val(acts->list, act);
}

int actions_add_peer(struct actions *acts, struct action act, const peer_msg *msg)
{
	size_t before = acts->data->len;
	int ret = peer_msg_encode(msg, acts->data);

	if (ret)
		return ret;
	act.offset = before;
	act.len = acts->data->len - before;
	g_array_append_val(acts->list, act);
	return 0;
}

int peer_msg_encode(const peer_msg *msg, GByteArray *out)
{
	guint before = out->len;
	u_int used;
	XDR xdr;
	bool ok;
	u_long need = xdr_sizeof((xdrproc_t)xdr_peer_msg, (void *)msg);

	if (!need || need > ENCODED_MAX_BYTES)
		return -EMSGSIZE;
	g_byte_array_set_size(out, before + (guint)need);
	xdrmem_create(&xdr, (char *)out->data + before, (u_int)need, XDR_ENCODE);
	ok = xdr_peer_msg(&xdr, (peer_msg *)msg);
	used = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	g_byte_array_set_size(out, ok ? before + used : before);
	return ok ? 0 : -EMSGSIZE;
}

int peer_msg_decode(peer_msg *msg, const uint8_t *bytes, size_t len)
{
	XDR xdr;
	bool ok;

	memset(msg, 0, sizeof(*msg));
	if (len > ENCODED_MAX_BYTES)
		return -EBADMSG;
	xdrmem_create(&xdr, (char *)bytes, (u_int)len, XDR_DECODE);
	ok = xdr_peer_msg(&xdr, msg) && xdr_getpos(&xdr) == len;
	xdr_destroy(&xdr);
	if (ok)
		return 0;
	peer_msg_release(msg);
	return -EBADMSG;
}

void peer_msg_release(peer_msg *msg)
{
	xdr_free((xdrproc_t)xdr_peer_msg, (char *)msg);
	memset(msg, 0, sizeof(*msg));
}
