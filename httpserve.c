#include "httpserve.h"

#include <arpa/inet.h>
#include <errno.h>

#define HEADER_BYTES 1024
#define CHUNK_BYTES  16384
/* Closes idle connections of monitoring systems. */
#define IDLE_TIMEOUT_S 30

struct session {
	GString *body;
	size_t sent;
};

static void session_release(struct session *ses)
{
	if (ses && ses->body) {
		g_string_free(ses->body, TRUE);
		ses->body = NULL;
	}
}

/* Sends the headers of the response; the body follows when the connection is writable. */
static int respond(struct lws *wsi, struct session *ses, const char *path)
{
	const struct http_pages *pages = lws_vhost_user(lws_get_vhost(wsi));
	unsigned char buf[LWS_PRE + HEADER_BYTES];
	unsigned char *start = buf + LWS_PRE;
	unsigned char *end = buf + sizeof(buf);
	unsigned char *p = start;
	const char *type;
	unsigned int status;

	session_release(ses);
	ses->body = g_string_new(NULL);
	ses->sent = 0;
	if (lws_hdr_total_length(wsi, WSI_TOKEN_GET_URI) <= 0) {
		status = HTTP_STATUS_METHOD_NOT_ALLOWED;
		type = "text/plain";
		g_string_append(ses->body, "only GET\n");
	} else {
		status = pages->page(pages->arg, path, ses->body, &type);
	}
	if (lws_add_http_common_headers(wsi, status, type, ses->body->len, &p, end) ||
	    lws_finalize_write_http_header(wsi, start, &p, end))
		return -1;
	lws_callback_on_writable(wsi);
	return 0;
}

/* Writes the next part of the body; a long page takes several rounds of the loop. */
static int write_body(struct lws *wsi, struct session *ses)
{
	unsigned char buf[LWS_PRE + CHUNK_BYTES];
	size_t left;
	size_t len;

	if (!ses->body)
		return 0;
	left = ses->body->len - ses->sent;
	len = MIN(left, CHUNK_BYTES);
	memcpy(buf + LWS_PRE, ses->body->str + ses->sent, len);
	if (lws_write(wsi, buf + LWS_PRE, len,
		      len == left ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) != (int)len)
		return -1;
	ses->sent += len;
	if (len < left) {
		lws_callback_on_writable(wsi);
		return 0;
	}
	session_release(ses);
	return lws_http_transaction_completed(wsi) ? -1 : 0;
}

static int http_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
			 size_t len)
{
	struct session *ses = user;

	switch (reason) {
	case LWS_CALLBACK_HTTP:
		return respond(wsi, ses, in);
	case LWS_CALLBACK_HTTP_WRITEABLE:
		return write_body(wsi, ses);
	case LWS_CALLBACK_CLOSED_HTTP:
	case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
		session_release(ses);
		return 0;
	case LWS_CALLBACK_HTTP_BODY:
	case LWS_CALLBACK_HTTP_BODY_COMPLETION:
		/* No page accepts a request body. */
		return -1;
	default:
		return lws_callback_http_dummy(wsi, reason, user, in, len);
	}
}

static const struct lws_protocols protocols[] = {
	{ .name = "http",
	  .callback = http_callback,
	  .per_session_data_size = sizeof(struct session) },
	{ .name = NULL },
};

int http_serve(struct lws_context *context, struct endpoint listen, const char *name,
	       const struct http_pages *pages)
{
	struct in_addr ip = { htonl(listen.ip) };
	char address[INET_ADDRSTRLEN];
	struct lws_context_creation_info info = {
		.port = listen.port,
		.iface = address,
		.protocols = protocols,
		.vhost_name = name,
		.user = (void *)pages,
		.keepalive_timeout = IDLE_TIMEOUT_S,
		.options =
			LWS_SERVER_OPTION_DISABLE_IPV6 | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND,
	};

	inet_ntop(AF_INET, &ip, address, sizeof(address));
	return lws_create_vhost(context, &info) ? 0 : -EADDRINUSE;
}
