/* Descriptors that libwebsockets polls for their owner and closes in the end. */
#ifndef RAWSOURCE_H
#define RAWSOURCE_H

#include <libwebsockets.h>

struct rawsource {
	void (*readable)(struct rawsource *src); /* first member */
	int fd;
};

/* The vhost must have these protocols. */
extern const struct lws_protocols rawsource_protocols[];

/* Takes @fd, or passes on a negative errno. Returns 0 or a negative errno. */
int rawsource_adopt(struct lws_vhost *vhost, struct rawsource *src, int fd,
		    void (*readable)(struct rawsource *src));

#endif
