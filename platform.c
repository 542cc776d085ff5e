#include "platform.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#include "address.h"
#include "jsondepth.h"
#include "jsontext.h"

#define API_PREFIX	   "/apis/jujubestage/v1/"
#define MAX_RESPONSE_BYTES (64 << 20) /* a list of the organisations, each up to 1 MB */
#define MAX_LINE_BYTES	   (4 << 20) /* an event with a document of 1 MB whose quotes are escaped */
/* Levels that are read: collection, "items", object, "metadata" or "status", and two below. */
#define MAX_DEPTH      6
#define HTTP_OK	       200
#define HTTP_CREATED   201
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT  409
#define HTTP_GONE      410

struct platform_http {
	struct platform platform; /* first member */
	struct lws_context *context;
	struct http_client *http;
	struct endpoint server;
	struct random *random;
	struct counters *counters;
	uint32_t silence_timeout_ms;
	struct counters own_counters; /* used when the caller gave none */
	GPtrArray *calls;
	GPtrArray *watches;
};

struct platform_call {
	struct platform_http *owner;
	struct http_call *http;
	platform_done_fn done;
	void *arg;
	bool write;
};

struct platform_watch {
	struct platform_http *owner;
	struct http_call *http;
	lws_sorted_usec_list_t retry;
	GString *kind;
	GString *version;
	GString *line; /* start of a line whose end has not arrived */
	uint32_t retry_ms;
	bool up;
	bool expired;
	bool released; /* by the callback, during the delivery of an event */
	bool delivering;
	platform_watch_fn fn;
	void *arg;
};

static struct platform_http *http_of(struct platform *pf)
{
	return (struct platform_http *)pf;
}

const char *platform_kind(peer_object_kind kind)
{
	switch (kind) {
	case PEER_OBJECT_ORGANISATION:
		return PLATFORM_KIND_ORGS;
	case PEER_OBJECT_DATA_CENTRE:
		return PLATFORM_KIND_DCS;
	case PEER_OBJECT_GRANTS:
		return PLATFORM_KIND_GRANTS;
	}
	return "";
}

static json_object *metadata(json_object *obj)
{
	json_object *meta = NULL;

	if (obj && json_object_is_type(obj, json_type_object))
		json_object_object_get_ex(obj, "metadata", &meta);
	return meta;
}

const char *platform_version(json_object *obj)
{
	return json_str(metadata(obj), "resourceVersion");
}

const char *platform_name(json_object *obj)
{
	return json_str(metadata(obj), "name");
}

bool platform_signed_object(json_object *obj, peer_object_kind kind, struct object *out)
{
	const char *document = json_str(obj, "document");
	json_object *root = json_tokener_parse(document);
	json_object *generation = NULL;
	bool ok = false;

	if (root && json_object_is_type(root, json_type_object))
		json_object_object_get_ex(root, "generation", &generation);
	if (generation && json_object_is_type(generation, json_type_int) &&
	    json_object_get_int64(generation) > 0 &&
	    hex_parse(json_str(obj, "signature"), out->signature, sizeof(out->signature))) {
		out->kind = kind;
		out->name = platform_name(obj);
		out->generation = json_object_get_uint64(generation);
		out->document = (const uint8_t *)document;
		out->len = strlen(document);
		ok = *out->name != 0;
	}
	json_object_put(root);
	return ok;
}

static enum call_status status_of(const struct platform_call *call,
				  const struct http_response *response)
{
	switch (response->error) {
	case HTTP_RESPONDED:
		break;
	case HTTP_REFUSED:
		return CALL_FAILED;
	default:
		/* The request may have arrived, which matters only for a write. */
		return call->write || response->error == HTTP_TIMEOUT ? CALL_TIMEOUT : CALL_FAILED;
	}
	switch (response->status) {
	case HTTP_OK:
	case HTTP_CREATED:
		return CALL_OK;
	case HTTP_NOT_FOUND:
		return CALL_NOT_FOUND;
	case HTTP_CONFLICT:
		return CALL_CONFLICT;
	default:
		/* A gateway may have forwarded the write before it failed. */
		return call->write && response->status >= 500 ? CALL_TIMEOUT : CALL_FAILED;
	}
}

static void on_done(void *arg, const struct http_response *response)
{
	struct platform_call *call = arg;
	struct platform_result res = { .status = status_of(call, response), .version = "" };

	if (res.status == CALL_OK) {
		res.body = json_parse_depth(response->body, response->len, MAX_DEPTH);
		if (res.body)
			res.version = platform_version(res.body);
		else
			res.status = call->write ? CALL_TIMEOUT : CALL_FAILED;
	}
	if (res.status == CALL_FAILED || res.status == CALL_TIMEOUT)
		call->owner->counters->platform_errors++;
	g_ptr_array_remove_fast(call->owner->calls, call);
	call->done(call->arg, &res);
	json_object_put(res.body);
	g_free(call);
}

static struct platform_call *start_call(struct platform *pf, const char *method, const char *path,
					const char *body, uint32_t deadline_ms,
					platform_done_fn done, void *arg)
{
	struct platform_http *ph = http_of(pf);
	struct platform_call *call = g_new0(struct platform_call, 1);
	struct http_request req = {
		.server = ph->server,
		.method = method,
		.path = path,
		.body = body,
		.len = body ? strlen(body) : 0,
		.deadline_ms = deadline_ms,
		.max_response_bytes = MAX_RESPONSE_BYTES,
		.done = on_done,
		.arg = call,
	};

	call->owner = ph;
	call->done = done;
	call->arg = arg;
	call->write = body != NULL;
	ph->counters->platform_calls++;
	g_ptr_array_add(ph->calls, call);
	call->http = http_call_start(ph->http, &req);
	return call;
}

static struct platform_call *http_get(struct platform *pf, const char *kind, const char *name,
				      uint32_t deadline_ms, platform_done_fn done, void *arg)
{
	gchar *path = g_strdup_printf(API_PREFIX "%s/%s", kind, name);
	struct platform_call *call = start_call(pf, "GET", path, NULL, deadline_ms, done, arg);

	g_free(path);
	return call;
}

static struct platform_call *http_list(struct platform *pf, const char *kind, const char *query,
				       uint32_t deadline_ms, platform_done_fn done, void *arg)
{
	gchar *path =
		g_strdup_printf(API_PREFIX "%s%s%s", kind, query ? "?" : "", query ? query : "");
	struct platform_call *call = start_call(pf, "GET", path, NULL, deadline_ms, done, arg);

	g_free(path);
	return call;
}

static struct platform_call *http_put(struct platform *pf, const char *kind, const char *name,
				      const char *version, json_object *obj, uint32_t deadline_ms,
				      platform_done_fn done, void *arg)
{
	gchar *path = g_strdup_printf(API_PREFIX "%s/%s", kind, name);
	json_object *meta = json_object_new_object();
	struct platform_call *call;

	json_object_object_add(meta, "name", json_object_new_string(name));
	if (*version)
		json_object_object_add(meta, "resourceVersion", json_object_new_string(version));
	json_object_object_add(obj, "metadata", meta);
	call = start_call(pf, "PUT", path,
			  json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN), deadline_ms,
			  done, arg);
	g_free(path);
	return call;
}

static void http_cancel(struct platform *pf, struct platform_call *call)
{
	g_ptr_array_remove_fast(http_of(pf)->calls, call);
	http_call_cancel(call->http);
	g_free(call);
}

static void open_watch(struct platform_watch *watch);

static void free_watch(struct platform_watch *watch)
{
	lws_sul_schedule(watch->owner->context, 0, &watch->retry, NULL, LWS_SET_TIMER_USEC_CANCEL);
	if (watch->http)
		http_call_cancel(watch->http);
	g_string_free(watch->kind, TRUE);
	g_string_free(watch->version, TRUE);
	g_string_free(watch->line, TRUE);
	g_free(watch);
}

/* Returns false when the callback released the watch, which is then freed. */
static bool deliver(struct platform_watch *watch, enum watch_event what, json_object *obj)
{
	watch->delivering = true;
	watch->fn(watch->arg, what, obj);
	watch->delivering = false;
	if (!watch->released)
		return true;
	free_watch(watch);
	return false;
}

static void on_retry(lws_sorted_usec_list_t *sul)
{
	struct platform_watch *watch = lws_container_of(sul, struct platform_watch, retry);

	watch->owner->counters->watch_replaced++;
	open_watch(watch);
}

/* Half of the delay is random, so that watchers do not all reconnect at once. */
static void retry_later(struct platform_watch *watch)
{
	uint32_t half = watch->retry_ms / 2;
	uint32_t ms = half + random_below(watch->owner->random, half + 1);

	watch->retry_ms = MIN(watch->retry_ms * 2, (uint32_t)WATCH_RETRY_MAX_MS);
	lws_sul_schedule(watch->owner->context, 0, &watch->retry, on_retry,
			 (lws_usec_t)ms * LWS_US_PER_MS);
}

static void on_watch_opened(void *arg, unsigned int status)
{
	struct platform_watch *watch = arg;

	if (status == HTTP_GONE)
		watch->expired = true;
	if (status != HTTP_OK)
		return;
	watch->up = true;
	watch->retry_ms = WATCH_RETRY_MIN_MS;
	http_call_extend(watch->http, watch->owner->silence_timeout_ms);
	deliver(watch, WATCH_UP, NULL);
}

/* An error event ends the watch; code 410 means that the version is too old. */
static bool handle_error_event(struct platform_watch *watch, json_object *obj)
{
	json_object *code = json_object_object_get(obj, "code");

	http_call_cancel(watch->http);
	watch->http = NULL;
	watch->up = false;
	if (json_object_get_int(code) == HTTP_GONE)
		return deliver(watch, WATCH_LIST_AGAIN, NULL) && false;
	if (deliver(watch, WATCH_DOWN, NULL))
		retry_later(watch);
	return false;
}

/* Returns false when the connection of the watch was closed or the watch freed. */
static bool handle_event_line(struct platform_watch *watch, const char *bytes, size_t len)
{
	json_object *event = json_parse_depth(bytes, len, MAX_DEPTH);
	json_object *obj = event ? json_object_object_get(event, "object") : NULL;
	const char *type = json_str(event, "type");
	const char *version = platform_version(obj);
	bool alive = true;

	/* The version is stored before the delivery, so that no event is delivered twice. */
	if (*version && strcmp(type, "ERROR") != 0)
		g_string_assign(watch->version, version);
	if (!strcmp(type, "ADDED") || !strcmp(type, "MODIFIED"))
		alive = deliver(watch, WATCH_CHANGED, obj);
	else if (!strcmp(type, "DELETED"))
		alive = deliver(watch, WATCH_DELETED, obj);
	else if (!strcmp(type, "ERROR") && obj)
		alive = handle_error_event(watch, obj);
	json_object_put(event);
	return alive;
}

static void on_watch_chunk(void *arg, const char *bytes, size_t len)
{
	struct platform_watch *watch = arg;
	GString *line = watch->line;
	const char *end;

	if (!watch->up)
		return;
	http_call_extend(watch->http, watch->owner->silence_timeout_ms);
	while ((end = memchr(bytes, '\n', len))) {
		g_string_append_len(line, bytes, end - bytes);
		len -= (size_t)(end - bytes) + 1;
		bytes = end + 1;
		if (line->len) {
			GString *whole = g_string_new_len(line->str, (gssize)line->len);
			bool alive;

			g_string_truncate(line, 0);
			alive = handle_event_line(watch, whole->str, whole->len);
			g_string_free(whole, TRUE);
			if (!alive)
				return;
		}
	}
	/* An overlong line is not stored further; the silence time-out then replaces the watch. */
	if (line->len + len <= MAX_LINE_BYTES)
		g_string_append_len(line, bytes, (gssize)len);
}

static void on_watch_done(void *arg, const struct http_response *response)
{
	struct platform_watch *watch = arg;

	(void)response;
	watch->http = NULL;
	watch->up = false;
	if (watch->expired) {
		deliver(watch, WATCH_LIST_AGAIN, NULL);
		return;
	}
	watch->owner->counters->platform_errors++;
	if (deliver(watch, WATCH_DOWN, NULL))
		retry_later(watch);
}

static void open_watch(struct platform_watch *watch)
{
	gchar *path = g_strdup_printf(API_PREFIX "%s?watch=1&resourceVersion=%s", watch->kind->str,
				      watch->version->str);
	struct http_request req = {
		.server = watch->owner->server,
		.method = "GET",
		.path = path,
		.deadline_ms = PLATFORM_CALL_MS,
		.opened = on_watch_opened,
		.chunk = on_watch_chunk,
		.done = on_watch_done,
		.arg = watch,
	};

	g_string_truncate(watch->line, 0);
	watch->owner->counters->platform_calls++;
	watch->http = http_call_start(watch->owner->http, &req);
	g_free(path);
}

static struct platform_watch *http_watch(struct platform *pf, const char *kind, const char *version,
					 platform_watch_fn fn, void *arg)
{
	struct platform_watch *watch = g_new0(struct platform_watch, 1);

	watch->owner = http_of(pf);
	watch->kind = g_string_new(kind);
	watch->version = g_string_new(version);
	watch->line = g_string_new(NULL);
	watch->retry_ms = WATCH_RETRY_MIN_MS;
	watch->fn = fn;
	watch->arg = arg;
	g_ptr_array_add(watch->owner->watches, watch);
	open_watch(watch);
	return watch;
}

static void http_unwatch(struct platform *pf, struct platform_watch *watch)
{
	g_ptr_array_remove_fast(http_of(pf)->watches, watch);
	if (watch->delivering)
		watch->released = true;
	else
		free_watch(watch);
}

static void http_free(struct platform *pf)
{
	struct platform_http *ph = http_of(pf);

	while (ph->watches->len)
		http_unwatch(pf, g_ptr_array_index(ph->watches, ph->watches->len - 1));
	while (ph->calls->len)
		http_cancel(pf, g_ptr_array_index(ph->calls, ph->calls->len - 1));
	g_ptr_array_unref(ph->watches);
	g_ptr_array_unref(ph->calls);
	http_client_free(ph->http);
	g_free(ph);
}

static const struct platform_ops http_ops = {
	.get = http_get,
	.list = http_list,
	.put = http_put,
	.cancel = http_cancel,
	.watch = http_watch,
	.unwatch = http_unwatch,
	.free = http_free,
};

struct platform *platform_http_new(struct lws_context *context, struct endpoint server,
				   struct random *random, struct counters *counters)
{
	struct platform_http *ph;
	struct http_client *http = http_client_new(context);

	if (!http)
		return NULL;
	ph = g_new0(struct platform_http, 1);
	ph->platform.ops = &http_ops;
	ph->context = context;
	ph->http = http;
	ph->server = server;
	ph->random = random;
	ph->silence_timeout_ms = WATCH_SILENCE_TIMEOUT_MS;
	ph->counters = counters ? counters : &ph->own_counters;
	ph->calls = g_ptr_array_new();
	ph->watches = g_ptr_array_new();
	return &ph->platform;
}

void platform_http_set_silence_timeout(struct platform *pf, uint32_t silence_timeout_ms)
{
	http_of(pf)->silence_timeout_ms = silence_timeout_ms;
}
