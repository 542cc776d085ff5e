#include "platform-sync.h"

#include <glib.h>

#define FETCH_MAX_RESPONSE_BYTES (16 << 20)
#define FD_LIMIT		 256

struct platform_sync {
	struct lws_context *context;
	struct platform *platform;
	struct http_client *http;
	bool done;
	struct sync_result *res;
};

void sync_result_init(struct sync_result *res)
{
	*res = (struct sync_result){ .status = CALL_FAILED, .version = g_string_new(NULL) };
}

void sync_result_release(struct sync_result *res)
{
	g_string_free(res->version, TRUE);
	json_object_put(res->body);
	*res = (struct sync_result){ 0 };
}

struct platform_sync *platform_sync_new(struct endpoint server)
{
	struct platform_sync *sync = g_new0(struct platform_sync, 1);
	struct lws_context_creation_info info = {
		.port = CONTEXT_PORT_NO_LISTEN,
		.fd_limit_per_thread = FD_LIMIT,
	};

	lws_set_log_level(0, NULL);
	sync->context = lws_create_context(&info);
	if (sync->context) {
		sync->platform = platform_http_new(sync->context, server, system_random(), NULL);
		sync->http = http_client_new(sync->context);
	}
	if (!sync->platform || !sync->http) {
		platform_sync_free(sync);
		return NULL;
	}
	return sync;
}

void platform_sync_free(struct platform_sync *sync)
{
	if (!sync)
		return;
	platform_free(sync->platform);
	http_client_free(sync->http);
	if (sync->context)
		lws_context_destroy(sync->context);
	g_free(sync);
}

struct platform *platform_sync_client(struct platform_sync *sync)
{
	return sync->platform;
}

/*
 * Interrupts lws_service(). It runs timers first and then polls, so that a result set by a timer
 * would otherwise be noticed only at the next event.
 */
static void interrupt_service(struct lws_context *context)
{
	lws_cancel_service(context);
}

struct lws_context *platform_sync_context(struct platform_sync *sync)
{
	return sync->context;
}

static void on_done(void *arg, const struct platform_result *res)
{
	struct platform_sync *sync = arg;

	sync->done = true;
	interrupt_service(sync->context);
	sync->res->status = res->status;
	g_string_assign(sync->res->version, res->version);
	json_object_put(sync->res->body);
	sync->res->body = json_object_get(res->body);
}

static void begin_call(struct platform_sync *sync, struct sync_result *res)
{
	sync->done = false;
	sync->res = res;
}

/* Runs the loop until the call ends, at the latest at its deadline. */
static void wait_for_call(struct platform_sync *sync)
{
	while (!sync->done && lws_service(sync->context, 0) >= 0)
		continue;
}

void platform_sync_get(struct platform_sync *sync, const char *kind, const char *name,
		       struct sync_result *res)
{
	begin_call(sync, res);
	sync->platform->ops->get(sync->platform, kind, name, PLATFORM_CALL_MS, on_done, sync);
	wait_for_call(sync);
}

void platform_sync_list(struct platform_sync *sync, const char *kind, struct sync_result *res)
{
	begin_call(sync, res);
	sync->platform->ops->list(sync->platform, kind, NULL, PLATFORM_CALL_MS, on_done, sync);
	wait_for_call(sync);
}

void platform_sync_put(struct platform_sync *sync, const char *kind, const char *name,
		       const char *version, json_object *obj, struct sync_result *res)
{
	begin_call(sync, res);
	sync->platform->ops->put(sync->platform, kind, name, version, obj, PLATFORM_CALL_MS,
				 on_done, sync);
	wait_for_call(sync);
}

struct pause {
	struct lws_context *context;
	lws_sorted_usec_list_t timer;
	bool over;
};

static void on_pause_over(lws_sorted_usec_list_t *sul)
{
	struct pause *pause = lws_container_of(sul, struct pause, timer);

	pause->over = true;
	interrupt_service(pause->context);
}

void platform_sync_wait(struct platform_sync *sync, uint32_t ms)
{
	struct pause pause = { .context = sync->context };

	lws_sul_schedule(sync->context, 0, &pause.timer, on_pause_over,
			 (lws_usec_t)ms * LWS_US_PER_MS);
	while (!pause.over && lws_service(sync->context, 0) >= 0)
		continue;
}

static void on_fetched(void *arg, const struct http_response *response)
{
	struct sync_fetch *fetch = arg;

	fetch->error = response->error;
	fetch->status = response->status;
	/* A body that is not NULL also marks the fetch as ended. */
	fetch->body = g_string_new_len(response->body, (gssize)response->len);
	interrupt_service(fetch->sync->context);
}

static size_t nr_pending(const struct sync_fetch *list, size_t nr)
{
	size_t n = 0;

	for (size_t i = 0; i < nr; i++)
		n += !list[i].body;
	return n;
}

void platform_sync_fetch(struct platform_sync *sync, const char *path, uint32_t deadline_ms,
			 struct sync_fetch *list, size_t nr)
{
	size_t started = 0;

	for (size_t i = 0; i < nr; i++) {
		list[i].body = NULL;
		list[i].sync = sync;
	}
	while (nr_pending(list, nr)) {
		while (started < nr && nr_pending(list, started) < SYNC_FETCH_PARALLEL) {
			struct http_request req = {
				.server = list[started].server,
				.method = "GET",
				.path = path,
				.deadline_ms = deadline_ms,
				.max_response_bytes = FETCH_MAX_RESPONSE_BYTES,
				.done = on_fetched,
				.arg = &list[started],
			};

			http_call_start(sync->http, &req);
			started++;
		}
		if (lws_service(sync->context, 0) < 0)
			break;
	}
}
