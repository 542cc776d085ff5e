/* Connects the platform's feed to the loop of an instance, as the loop's watcher. */
#ifndef WATCHER_H
#define WATCHER_H

#include "loop.h"

/*
 * Starts a feed for the instance of @loop and sets it as the loop's watcher. Returns NULL when
 * libwebsockets has no memory. @clock, @random and @loop must outlive it.
 */
struct watcher *watcher_start(struct loop *loop, struct clock *clock, struct random *random);
void watcher_free(struct watcher *watcher);

#endif
