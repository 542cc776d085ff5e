#include "httpcall.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "address.h"

#define BODY_PART_BYTES 4096
/* A longer value of a header is treated as an empty one. */
#define HEADER_MAX_BYTES 64

struct http_client {
	struct lws_context *context;
	struct lws_vhost *vhost;
	GPtrArray *calls; /* struct http_call, owned */
};

struct http_call {
	struct http_client *client;
	struct http_request req;
	struct lws *wsi;
	lws_sorted_usec_list_t
		timer; /* deadline, or the end of a call whose connection failed or closed */
	GString *path;
	GString *body;
	GString *response;
	size_t sent;
	char header[HEADER_MAX_BYTES]; /* value of req.header */
	bool has_header;
	unsigned int status;
	enum http_error error; /* reported when the connection closes */
	bool complete;
};

static int on_event(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
		    size_t len);

static const struct lws_protocols protocols[] = {
	{ .name = "http-call", .callback = on_event },
	{ 0 },
};

struct http_client *http_client_new(struct lws_context *context)
{
	struct http_client *client = g_new0(struct http_client, 1);
	struct lws_context_creation_info info = {
		.port = CONTEXT_PORT_NO_LISTEN,
		.protocols = protocols,
		.vhost_name = "http-call",
		.timeout_secs = 120, /* longer than every deadline; the calls enforce their own */
	};

	client->context = context;
	client->vhost = lws_create_vhost(context, &info);
	if (!client->vhost) {
		g_free(client);
		return NULL;
	}
	client->calls = g_ptr_array_new();
	return client;
}

/* Frees the call; its connection, if any, is closed asynchronously. */
static void release_call(struct http_call *call)
{
	g_ptr_array_remove_fast(call->client->calls, call);
	lws_sul_schedule(call->client->context, 0, &call->timer, NULL, LWS_SET_TIMER_USEC_CANCEL);
	if (call->wsi) {
		lws_set_opaque_user_data(call->wsi, NULL);
		lws_set_timeout(call->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
	}
	g_string_free(call->path, TRUE);
	g_string_free(call->body, TRUE);
	g_string_free(call->response, TRUE);
	g_free(call);
}

void http_client_free(struct http_client *client)
{
	if (!client)
		return;
	while (client->calls->len)
		release_call(g_ptr_array_steal_index_fast(client->calls, 0));
	g_ptr_array_unref(client->calls);
	g_free(client);
}

static void finish_call(struct http_call *call, enum http_error error)
{
	void (*done)(void *, const struct http_response *) = call->req.done;
	void *arg = call->req.arg;
	GString *body = call->response;
	char header[HEADER_MAX_BYTES];
	struct http_response response = {
		.error = error,
		.status = call->status,
		.body = call->req.chunk ? NULL : body->str,
		.len = body->len,
		.header = call->has_header ? header : NULL,
	};

	memcpy(header, call->header, sizeof(header));
	call->response = g_string_new(NULL);
	release_call(call);
	done(arg, &response);
	g_string_free(body, TRUE);
}

static void on_deadline(lws_sorted_usec_list_t *sul)
{
	struct http_call *call = lws_container_of(sul, struct http_call, timer);

	finish_call(call, HTTP_TIMEOUT);
}

static void on_deferred_end(lws_sorted_usec_list_t *sul)
{
	struct http_call *call = lws_container_of(sul, struct http_call, timer);

	finish_call(call, call->error);
}

static int append_headers(struct http_call *call, struct lws *wsi, unsigned char **pos,
			  unsigned char *end)
{
	char text[24];
	int n;

	if (!call->req.body)
		return 0;
	n = snprintf(text, sizeof(text), "%zu", call->body->len);
	if (lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
					 (const unsigned char *)text, n, pos, end) ||
	    lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE,
					 (const unsigned char *)"application/json", 16, pos, end))
		return -1;
	lws_client_http_body_pending(wsi, 1);
	lws_callback_on_writable(wsi);
	return 0;
}

static int write_body(struct http_call *call, struct lws *wsi)
{
	unsigned char buf[LWS_PRE + BODY_PART_BYTES];
	size_t part = MIN(call->body->len - call->sent, (size_t)BODY_PART_BYTES);

	if (!part)
		return 0;
	memcpy(buf + LWS_PRE, call->body->str + call->sent, part);
	call->sent += part;
	if (lws_write(wsi, buf + LWS_PRE, part, LWS_WRITE_HTTP) < 0)
		return -1;
	if (call->sent == call->body->len)
		lws_client_http_body_pending(wsi, 0);
	else
		lws_callback_on_writable(wsi);
	return 0;
}

static int receive_body(struct http_call *call, struct lws *wsi, const char *bytes, size_t len)
{
	if (call->req.chunk) {
		call->req.chunk(call->req.arg, bytes, len);
		/* The callback may have cancelled the call. */
		return lws_get_opaque_user_data(wsi) ? 0 : -1;
	}
	if (call->response->len + len > call->req.max_response_bytes) {
		call->error = HTTP_RESPONSE_TOO_LONG;
		return -1;
	}
	g_string_append_len(call->response, bytes, (gssize)len);
	return 0;
}

static int read_body(struct lws *wsi)
{
	char buf[LWS_PRE + BODY_PART_BYTES];
	char *pos = buf + LWS_PRE;
	int len = BODY_PART_BYTES;

	return lws_http_client_read(wsi, &pos, &len) < 0 ? -1 : 0;
}

/*
 * Handles the end of the connection. The call is reported from a timer, because this function may
 * run inside http_call_start().
 */
static void connection_closed(struct http_call *call, struct lws *wsi, enum http_error error)
{
	lws_set_opaque_user_data(wsi, NULL);
	call->wsi = NULL;
	call->error = error;
	lws_sul_schedule(call->client->context, 0, &call->timer, on_deferred_end, 1);
}

static void read_header(struct http_call *call, struct lws *wsi)
{
	const char *name = call->req.header;
	int len = name ? (int)strlen(name) : 0;

	call->has_header = name && lws_hdr_custom_length(wsi, name, len) >= 0;
	if (call->has_header &&
	    lws_hdr_custom_copy(wsi, call->header, sizeof(call->header), name, len) < 0)
		call->header[0] = 0;
}

static int on_event(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
		    size_t len)
{
	struct http_call *call = wsi ? lws_get_opaque_user_data(wsi) : NULL;

	if (!call) {
		/* A connection without its call belongs to a call that was cancelled or has ended.
		 */
		if (reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ||
		    reason == LWS_CALLBACK_CLIENT_HTTP_WRITEABLE)
			return -1;
		return lws_callback_http_dummy(wsi, reason, user, in, len);
	}
	switch (reason) {
	case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
		unsigned char **pos = in;

		return append_headers(call, wsi, pos, *pos + len);
	}
	case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
		return write_body(call, wsi);
	case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
		call->status = lws_http_client_http_response(wsi);
		call->error = HTTP_CONNECTION_LOST;
		read_header(call, wsi);
		if (call->req.opened)
			call->req.opened(call->req.arg, call->status);
		return lws_get_opaque_user_data(wsi) ? 0 : -1;
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
		return read_body(wsi);
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
		return receive_body(call, wsi, in, len);
	case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
		call->complete = true;
		return -1;
	case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
		connection_closed(call, wsi, call->complete ? HTTP_RESPONDED : call->error);
		return 0;
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
		/* Also reported when a connection ends before the headers of the response. */
		connection_closed(call, wsi,
				  call->sent || call->status ? HTTP_CONNECTION_LOST : call->error);
		return 0;
	default:
		return lws_callback_http_dummy(wsi, reason, user, in, len);
	}
}

struct http_call *http_call_start(struct http_client *client, const struct http_request *req)
{
	struct http_call *call = g_new0(struct http_call, 1);
	char server[ENDPOINT_TEXT_LEN];
	char ip[ENDPOINT_TEXT_LEN];
	struct lws_client_connect_info info = {
		.context = client->context,
		.vhost = client->vhost,
		.address = ip,
		.port = req->server.port,
		.path = req->path,
		.host = server,
		.origin = server,
		.method = req->method,
		.local_protocol_name = "http-call",
		.opaque_user_data = call,
		.pwsi = &call->wsi,
	};

	endpoint_format(req->server, server);
	g_strlcpy(ip, server, sizeof(ip));
	*strchr(ip, ':') = 0;
	call->client = client;
	call->req = *req;
	call->path = g_string_new(req->path);
	call->body = g_string_new_len(req->body ? req->body : "", (gssize)req->len);
	call->response = g_string_new(NULL);
	call->error = HTTP_REFUSED;
	g_ptr_array_add(client->calls, call);
	lws_sul_schedule(client->context, 0, &call->timer, on_deadline,
			 (lws_usec_t)req->deadline_ms * LWS_US_PER_MS);
	/* On failure connection_closed() may have run already and scheduled the end of the call. */
	if (!lws_client_connect_via_info(&info)) {
		call->wsi = NULL;
		lws_sul_schedule(client->context, 0, &call->timer, on_deferred_end, 1);
	}
	return call;
}

void http_call_cancel(struct http_call *call)
{
	release_call(call);
}

void http_call_extend(struct http_call *call, uint32_t deadline_ms)
{
	lws_sul_schedule(call->client->context, 0, &call->timer, on_deadline,
			 (lws_usec_t)deadline_ms * LWS_US_PER_MS);
}
