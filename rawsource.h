/* Descriptors that libwebsockets polls for their owner and closes in the end. */
#ifndef RAWSOURCE_H
#define RAWSOURCE_H

#include <libwebsockets.h>

struct rawsource {
	void (*readable)(struct rawsource *src); /* first member */
	int fd;
};

/*
 * Creates a context without a listener and a vhost for the sources of its owner. libwebsockets logs
 * through log_event(). Returns 0 or -ENOMEM; what was created is then left to the owner.
 */
int rawsource_context(struct lws_context **context, struct lws_vhost **vhost);

/* Takes @fd into a vhost of rawsource_context(), or passes on a negative errno. Returns 0 or a
 * negative errno. */
int rawsource_adopt(struct lws_vhost *vhost, struct rawsource *src, int fd,
		    void (*readable)(struct rawsource *src));

#endif
