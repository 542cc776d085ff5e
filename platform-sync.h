/* Blocking platform calls for command-line tools. Each has a deadline. */
#ifndef PLATFORM_SYNC_H
#define PLATFORM_SYNC_H

#include "platform.h"

struct platform_sync;

struct sync_result {
	enum call_status status;
	GString *version;
	json_object *body; /* NULL on failure */
};

void sync_result_init(struct sync_result *res);
void sync_result_release(struct sync_result *res);

/* Returns NULL when libwebsockets cannot start. */
struct platform_sync *platform_sync_new(struct endpoint server);
void platform_sync_free(struct platform_sync *sync);
struct platform *platform_sync_client(struct platform_sync *sync);
struct lws_context *platform_sync_context(struct platform_sync *sync);

/* The calls of struct platform_ops; @res is overwritten. */
void platform_sync_get(struct platform_sync *sync, const char *kind, const char *name,
		       struct sync_result *res);
void platform_sync_list(struct platform_sync *sync, const char *kind, struct sync_result *res);
void platform_sync_put(struct platform_sync *sync, const char *kind, const char *name,
		       const char *version, json_object *obj, struct sync_result *res);

/* Runs the loop for @ms milliseconds. */
void platform_sync_wait(struct platform_sync *sync, uint32_t ms);

/* One GET request to an instance, with its result. */
struct sync_fetch {
	struct endpoint server;
	enum http_error error;
	unsigned int status;
	struct platform_sync *sync; /* set by platform_sync_fetch() */
	GString *body;		    /* made by platform_sync_fetch(), freed by the caller */
};

/* Fetches @path from all servers, at most SYNC_FETCH_PARALLEL at a time. */
#define SYNC_FETCH_PARALLEL 32
void platform_sync_fetch(struct platform_sync *sync, const char *path, uint32_t deadline_ms,
			 struct sync_fetch *list, size_t nr);

#endif
