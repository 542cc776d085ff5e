/* Descriptors that libwebsockets polls for their owner, and closes with its context. */
#ifndef RAWSOURCE_H
#define RAWSOURCE_H

#include <libwebsockets.h>

struct rawsource {
	void (*readable)(struct rawsource *src); /* first member */
	int fd;
};

/*
 * Creates a context without a listener, and a vhost for its sources. libwebsockets logs through
 * log_event(). Returns 0, or -ENOMEM; on failure the caller still destroys *context if not NULL.
 */
int rawsource_context(struct lws_context **context, struct lws_vhost **vhost);

/*
 * Adds @fd to a vhost of rawsource_context(). A negative @fd is an errno and is returned. Returns 0
 * or a negative errno.
 */
int rawsource_adopt(struct lws_vhost *vhost, struct rawsource *src, int fd,
		    void (*readable)(struct rawsource *src));

#endif
