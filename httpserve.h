/* Serves read-only pages over HTTP on a libwebsockets context. */
#ifndef HTTPSERVE_H
#define HTTPSERVE_H

#include <glib.h>
#include <libwebsockets.h>

#include "packet.h"

struct http_pages {
	/* Writes the page at @path to @body. Returns its HTTP status; sets *type to the content
	 * type. */
	unsigned int (*page)(void *arg, const char *path, GString *body, const char **type);
	void *arg;
};

/*
 * Listens until the context is destroyed; @pages must outlive it. @name is the name of the vhost.
 * Returns 0, or -EADDRINUSE when the address cannot be bound.
 */
int http_serve(struct lws_context *context, struct endpoint listen, const char *name,
	       const struct http_pages *pages);

#endif
