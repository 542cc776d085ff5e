/*
 * HTTP/1.1 calls over libwebsockets' client on a given context. Each call has its own deadline and
 * ends exactly once, always from the loop and never inside http_call_start().
 */
#ifndef HTTPCALL_H
#define HTTPCALL_H

#include <libwebsockets.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "packet.h"

struct http_client;
struct http_call;

enum http_error {
	HTTP_RESPONDED,
	HTTP_TIMEOUT,		/* the deadline passed; the server may have acted */
	HTTP_REFUSED,		/* no connection; the server has not received the request */
	HTTP_CONNECTION_LOST,	/* it ended before the whole response; the server may have acted */
	HTTP_RESPONSE_TOO_LONG, /* longer than max_response_bytes */
};

struct http_response {
	enum http_error error;
	unsigned int status; /* 0 unless the headers arrived */
	const char *body;    /* 0-terminated; NULL when @chunk was given */
	size_t len;
	const char *header; /* value of http_request.header; NULL if it is missing */
};

struct http_request {
	struct endpoint server;
	const char *method;
	const char *path; /* with the query */
	const char *body; /* NULL for none */
	size_t len;
	uint32_t deadline_ms;
	size_t max_response_bytes;
	const char *header; /* optional: name, in lower case and with ":", of a header to return */
	/* Optional: the headers of the response arrived. May cancel the call. */
	void (*opened)(void *arg, unsigned int status);
	/* Optional: receives the body in parts, for endless responses. May cancel the call. */
	void (*chunk)(void *arg, const char *bytes, size_t len);
	void (*done)(void *arg, const struct http_response *response);
	void *arg;
};

/* The context must outlive the client. Returns NULL when libwebsockets has no memory. */
struct http_client *http_client_new(struct lws_context *context);
/* Cancels all calls. */
void http_client_free(struct http_client *client);

struct http_call *http_call_start(struct http_client *client, const struct http_request *req);
/* Ends a call without calling @done. */
void http_call_cancel(struct http_call *call);
/* Sets the deadline to @deadline_ms from now. */
void http_call_extend(struct http_call *call, uint32_t deadline_ms);

#endif
