/*
 * The admin socket of an instance: /metrics, /healthz and /status.json over HTTP, read only.
 */
#ifndef HTTP_H
#define HTTP_H

#include "loop.h"

/*
 * Listens on the admin address of the loop's settings, until the loop is freed. Returns 0, or
 * -EADDRINUSE when the address cannot be bound.
 */
int http_listen(struct loop *loop);

/* Writes the page at @path to @body. Returns its HTTP status; sets *type to the content type. */
unsigned int http_page(struct loop *loop, const char *path, GString *body, const char **type);

#endif
