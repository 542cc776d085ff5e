/* Pages over HTTP on a libwebsockets context, read only. */
#ifndef HTTPSERVE_H
#define HTTPSERVE_H

#include <glib.h>
#include <libwebsockets.h>

#include "packet.h"

struct http_pages {
	/* Makes the page at @path. Returns its HTTP status; *type gets the content type. */
	unsigned int (*page)(void *arg, const char *path, GString *body, const char **type);
	void *arg;
};

/*
 * Listens until the context is destroyed; @pages must last as long. @name is that of the vhost.
 * Returns 0, or -EADDRINUSE when the address cannot be bound.
 */
int http_serve(struct lws_context *context, struct endpoint listen, const char *name,
	       const struct http_pages *pages);

#endif
