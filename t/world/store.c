/* Stand-in of the platform's store: lists, watches, and the faults of each instance's way to it. */
#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "world.h"

#define SLOW_MS	     600
#define LOST_PERCENT 30
#define PAGE	     5 /* entries of a list's part: small, so that parts are used */

struct object {
	char *kind;
	char *name;
	char *spec;
	int64_t rev;
	bool deleted;
};

struct connection {
	int fd;
	struct instance *inst;
	GString *request;
	char *kind; /* of the watch that waits, NULL for none */
	int64_t watch_rev;
	int64_t due_ms;	 /* the watch ends, or a slow answer is given */
	GString *answer; /* a slow answer that waits */
	GString *rest;	 /* of an answer that is larger than the socket's buffer; NULL for none */
	bool silent;
	bool unanswered; /* the call is carried out and its answer lost */
	bool stale_ok;	 /* the call accepts a stale answer */
};

static struct {
	GPtrArray *objects; /* in the order of their names; deleted ones stay as history */
	GPtrArray *connections;
	int64_t rev;
	int64_t era;
	int64_t oldest; /* history starts here */
	int listeners[64];
	unsigned int nr_listeners;
	GPtrArray *frozen; /* what stale reads get, NULL while they are fresh */
	int64_t frozen_rev;
	int64_t frozen_until_ms;
	int64_t lost_until_ms;
} store;

static void free_object(gpointer data)
{
	struct object *obj = data;

	g_free(obj->kind);
	g_free(obj->name);
	g_free(obj->spec);
	g_free(obj);
}

static void free_connection(gpointer data)
{
	struct connection *conn = data;

	close(conn->fd);
	g_string_free(conn->request, TRUE);
	if (conn->answer)
		g_string_free(conn->answer, TRUE);
	if (conn->rest)
		g_string_free(conn->rest, TRUE);
	g_free(conn->kind);
	g_free(conn);
}

void store_init(struct world *w)
{
	store.objects = g_ptr_array_new_with_free_func(free_object);
	store.connections = g_ptr_array_new_with_free_func(free_connection);
	store.rev = 100;
	store.era = 3;
	for (guint i = 0; i < w->instances->len; i++)
		store.listeners[store.nr_listeners++] =
			open_listener(world_ip(PART_STORE, 0, i), STORE_PORT, 16);
}

void store_freeze_reads(struct world *w, int64_t until_ms)
{
	(void)w;
	if (store.frozen)
		return;
	store.frozen = g_ptr_array_new_with_free_func(free_object);
	for (guint i = 0; i < store.objects->len; i++) {
		const struct object *obj = g_ptr_array_index(store.objects, i);
		struct object *copy = g_memdup2(obj, sizeof(*obj));

		copy->kind = g_strdup(obj->kind);
		copy->name = g_strdup(obj->name);
		copy->spec = g_strdup(obj->spec);
		g_ptr_array_add(store.frozen, copy);
	}
	store.frozen_rev = store.rev;
	store.frozen_until_ms = until_ms;
}

void store_lose_answers(struct world *w, int64_t until_ms)
{
	(void)w;
	store.lost_until_ms = until_ms;
	for (guint i = 0; i < store.connections->len; i++) {
		struct connection *conn = g_ptr_array_index(store.connections, i);

		conn->silent |= conn->kind != NULL;
	}
}

static void thaw(void)
{
	if (store.frozen)
		g_ptr_array_unref(store.frozen);
	store.frozen = NULL;
}

void store_release(void)
{
	thaw();
	for (unsigned int i = 0; i < store.nr_listeners; i++)
		close(store.listeners[i]);
	g_ptr_array_unref(store.connections);
	g_ptr_array_unref(store.objects);
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp((*(struct object *const *)a)->name, (*(struct object *const *)b)->name);
}

static struct object *find(const char *kind, const char *name)
{
	for (guint i = 0; i < store.objects->len; i++) {
		struct object *obj = g_ptr_array_index(store.objects, i);

		if (!strcmp(obj->kind, kind) && !strcmp(obj->name, name))
			return obj;
	}
	return NULL;
}

static void append_object(GString *out, const struct object *obj)
{
	g_string_append_printf(out,
			       "{\"meta\":{\"name\":\"%s\",\"rev\":%" G_GINT64_FORMAT
			       ",\"created\":1,\"finalizers\":[],\"deleting\":false},"
			       "\"spec\":%s,\"status\":null}",
			       obj->name, obj->rev, obj->spec);
}

/* Sends what is left of an answer, and closes the connection after its end. */
static void send_rest(struct connection *conn)
{
	ssize_t len = send(conn->fd, conn->rest->str, conn->rest->len, MSG_NOSIGNAL | MSG_DONTWAIT);

	if (len < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (len > 0)
		g_string_erase(conn->rest, 0, len);
	if (len <= 0 || !conn->rest->len)
		g_ptr_array_remove_fast(store.connections, conn);
}

static void write_answer(struct connection *conn, const char *status, const char *body)
{

	if (conn->unanswered) {
		conn->silent = true;
		return;
	}
	conn->due_ms = 0;
	g_clear_pointer(&conn->kind, g_free);
	conn->rest = g_string_new(NULL);
	g_string_printf(conn->rest,
			"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n"
			"Store-Era: %" G_GINT64_FORMAT "\r\nConnection: close\r\n\r\n%s",
			status, strlen(body), store.era, body);
	send_rest(conn);
}

static bool reads_frozen(const struct connection *conn)
{
	return store.frozen && conn->stale_ok;
}

static int64_t read_rev(const struct connection *conn)
{
	return reads_frozen(conn) ? store.frozen_rev : store.rev;
}

static bool append_events(const struct connection *conn, GString *body)
{
	const GPtrArray *objects = reads_frozen(conn) ? store.frozen : store.objects;
	bool any = false;

	g_string_append(body, "{\"events\":[");
	for (guint i = 0; i < objects->len; i++) {
		const struct object *obj = g_ptr_array_index(objects, i);

		if (strcmp(obj->kind, conn->kind) != 0 || obj->rev <= conn->watch_rev)
			continue;
		g_string_append(body, any ? ",{\"object\":" : "{\"object\":");
		append_object(body, obj);
		g_string_append_printf(body, ",\"deleted\":%s}", obj->deleted ? "true" : "false");
		any = true;
	}
	g_string_append_printf(body, "],\"as_of\":%" G_GINT64_FORMAT "}", read_rev(conn));
	return any;
}

/* Answers a watch that has something to tell, or whose time is over. */
static void run_watch(struct world *w, struct connection *conn)
{
	GString *body = g_string_new(NULL);
	bool any = append_events(conn, body);

	if (conn->watch_rev < store.oldest)
		write_answer(conn, "410 Gone", "{\"error\":\"history is gone\"}");
	else if (any || w->now_ms >= conn->due_ms)
		write_answer(conn, "200 OK", body->str);
	g_string_free(body, TRUE);
}

static void list_objects(struct world *w, struct connection *conn, const char *kind,
			 const char *after)
{
	GPtrArray *objects = reads_frozen(conn) ? store.frozen : store.objects;
	GString *body = g_string_new("{\"items\":[");
	unsigned int nr = 0;
	bool more = false;

	g_ptr_array_sort(objects, by_name);
	for (guint i = 0; i < objects->len; i++) {
		const struct object *obj = g_ptr_array_index(objects, i);

		if (obj->deleted || strcmp(obj->kind, kind) != 0 || strcmp(obj->name, after) <= 0)
			continue;
		if (nr == PAGE) {
			more = true;
			break;
		}
		if (nr++)
			g_string_append_c(body, ',');
		append_object(body, obj);
		/* Another writer's entries cannot be read at times, also at the end of a part. */
		if (nr == PAGE)
			g_string_append(body, ",{\"meta\":7,\"spec\":[]}");
	}
	g_string_append_printf(body, "],\"more\":%s,\"as_of\":%" G_GINT64_FORMAT "}",
			       more ? "true" : "false", read_rev(conn));
	if (conn->inst->store_mode == STORE_SLOW) {
		conn->answer = body;
		conn->due_ms = w->now_ms + SLOW_MS;
		return;
	}
	write_answer(conn, "200 OK", body->str);
	g_string_free(body, TRUE);
}

static char *query_value(const char *query, const char *key)
{
	char **pairs = g_strsplit(query, "&", 0);
	char *val = g_strdup("");

	for (char **pair = pairs; *pair; pair++) {
		if (g_str_has_prefix(*pair, key) && (*pair)[strlen(key)] == '=') {
			g_free(val);
			val = g_strdup(*pair + strlen(key) + 1);
		}
	}
	g_strfreev(pairs);
	return val;
}

static void reset_connection(struct connection *conn)
{
	struct linger hard = { .l_onoff = 1 };

	setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	g_ptr_array_remove_fast(store.connections, conn);
}

static void answer_object(struct connection *conn, const char *status, const struct object *obj)
{
	GString *body = g_string_new(NULL);

	append_object(body, obj);
	write_answer(conn, status, body->str);
	g_string_free(body, TRUE);
}

static void get_object(struct connection *conn, const char *kind, const char *name)
{
	const GPtrArray *objects = reads_frozen(conn) ? store.frozen : store.objects;

	for (guint i = 0; i < objects->len; i++) {
		const struct object *obj = g_ptr_array_index(objects, i);

		if (strcmp(obj->kind, kind) != 0 || strcmp(obj->name, name) != 0 || obj->deleted)
			continue;
		answer_object(conn, "200 OK", obj);
		return;
	}
	write_answer(conn, "404 Not Found", "{\"error\":\"no such object\"}");
}

/* POST creates an object, PUT replaces one if its revision is that of the call. */
static void write_object(struct world *w, struct connection *conn, const char *kind, bool create)
{
	const char *head_end = strstr(conn->request->str, "\r\n\r\n");
	json_object *body = json_tokener_parse(head_end + 4);
	json_object *meta = NULL;
	json_object *spec = NULL;
	json_object *val = NULL;
	const struct object *obj;
	const char *name;
	int64_t rev = 0;

	json_object_object_get_ex(body, "meta", &meta);
	json_object_object_get_ex(body, "spec", &spec);
	json_object_object_get_ex(meta, "name", &val);
	name = val ? json_object_get_string(val) : "";
	if (json_object_object_get_ex(meta, "rev", &val))
		rev = json_object_get_int64(val);
	obj = find(kind, name);
	if (obj && obj->deleted)
		obj = NULL;
	if (!*name) {
		write_answer(conn, "400 Bad Request", "{}");
	} else if (create && obj) {
		write_answer(conn, "409 Conflict", "{}");
	} else if (!create && !obj) {
		write_answer(conn, "404 Not Found", "{}");
	} else if (!create && rev != obj->rev) {
		answer_object(conn, "409 Conflict", obj);
	} else {
		store_put(w, kind, name, json_object_to_json_string(spec));
		answer_object(conn, "200 OK", find(kind, name));
	}
	json_object_put(body);
}

static void handle(struct world *w, struct connection *conn)
{
	char method[8] = "";
	char path[512] = "";
	char *query;
	char *name;
	char *watch;
	char *wait;
	char *escaped;
	char *after;

	switch (conn->inst->store_mode) {
	case STORE_SILENT:
		conn->silent = true;
		return;
	case STORE_BUSY:
		write_answer(conn, wrandom(w, 2) ? "503 Busy" : "429 Too Many", "{}");
		return;
	case STORE_RESET:
		reset_connection(conn);
		return;
	case STORE_WELL:
	case STORE_SLOW:
		break;
	}
	if (sscanf(conn->request->str, "%7s /objects/%511s", method, path) != 2) {
		write_answer(conn, "404 Not Found", "{}");
		return;
	}
	query = strchr(path, '?');
	if (query)
		*query++ = 0;
	name = strchr(path, '/');
	if (name)
		*name++ = 0;
	if (w->now_ms < store.lost_until_ms && wrandom(w, 100) < LOST_PERCENT) {
		/* A write whose answer is lost may have been done. */
		if (strcmp(method, "GET") != 0 && wrandom(w, 2))
			conn->unanswered = true;
		else
			conn->silent = true;
	}
	if (conn->silent)
		return;
	if (strcmp(method, "GET") != 0) {
		write_object(w, conn, path, !strcmp(method, "POST"));
		return;
	}
	conn->stale_ok = query && strstr(query, "stale_ok=1");
	if (name) {
		get_object(conn, path, name);
		return;
	}
	watch = query_value(query ? query : "", "watch");
	wait = query_value(query ? query : "", "wait_ms");
	escaped = query_value(query ? query : "", "after");
	after = g_uri_unescape_string(escaped, NULL);
	g_free(escaped);
	if (*watch) {
		conn->kind = g_strdup(path);
		conn->watch_rev = g_ascii_strtoll(watch, NULL, 10);
		conn->due_ms = w->now_ms + g_ascii_strtoll(wait, NULL, 10);
		run_watch(w, conn);
	} else {
		list_objects(w, conn, path, after);
	}
	g_free(watch);
	g_free(wait);
	g_free(after);
}

static void wake_watches(struct world *w)
{
	for (guint i = store.connections->len; i-- > 0;) {
		struct connection *conn = g_ptr_array_index(store.connections, i);

		if (conn->kind && !conn->silent)
			run_watch(w, conn);
	}
}

void store_put(struct world *w, const char *kind, const char *name, const char *spec_json)
{
	struct object *obj = find(kind, name);

	if (!obj) {
		obj = g_new0(struct object, 1);
		obj->kind = g_strdup(kind);
		obj->name = g_strdup(name);
		g_ptr_array_add(store.objects, obj);
	}
	g_free(obj->spec);
	obj->spec = g_strdup(spec_json);
	obj->deleted = false;
	obj->rev = ++store.rev;
	wake_watches(w);
}

void store_delete(struct world *w, const char *kind, const char *name)
{
	struct object *obj = find(kind, name);

	if (!obj || obj->deleted)
		return;
	obj->deleted = true;
	obj->rev = ++store.rev;
	wake_watches(w);
}

void store_forget(void)
{
	store.oldest = ++store.rev;
}

void store_fds(struct world *w, GArray *fds)
{
	(void)w;
	for (unsigned int i = 0; i < store.nr_listeners; i++) {
		struct pollfd fd = { store.listeners[i], POLLIN, 0 };

		g_array_append_val(fds, fd);
	}
	for (guint i = 0; i < store.connections->len; i++) {
		const struct connection *conn = g_ptr_array_index(store.connections, i);
		struct pollfd fd = { conn->fd, conn->rest ? POLLOUT : POLLIN, 0 };

		g_array_append_val(fds, fd);
	}
}

/* Whether the head of the request and all of its body have come. */
static bool is_whole(const GString *request)
{
	const char *end = strstr(request->str, "\r\n\r\n");
	const char *length;

	if (!end)
		return false;
	length = strcasestr(request->str, "\r\ncontent-length:");
	if (!length || length > end)
		return true;
	return strlen(end + 4) >= strtoul(strchr(length, ':') + 1, NULL, 10);
}

static void read_connection(struct world *w, struct connection *conn)
{
	char buf[2048];
	ssize_t len = read(conn->fd, buf, sizeof(buf));

	if (len < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (len <= 0) {
		g_ptr_array_remove_fast(store.connections, conn);
		return;
	}
	g_string_append_len(conn->request, buf, len);
	if (!conn->kind && !conn->answer && !conn->silent && is_whole(conn->request))
		handle(w, conn);
}

void store_ready(struct world *w, const struct pollfd *fd)
{
	for (unsigned int i = 0; i < store.nr_listeners; i++) {
		struct connection *conn;
		int client;

		if (store.listeners[i] != fd->fd)
			continue;
		client = accept4(fd->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (client < 0)
			return;
		conn = g_new0(struct connection, 1);
		conn->fd = client;
		conn->inst = g_ptr_array_index(w->instances, i);
		conn->request = g_string_new(NULL);
		g_ptr_array_add(store.connections, conn);
		return;
	}
	for (guint i = 0; i < store.connections->len; i++) {
		struct connection *conn = g_ptr_array_index(store.connections, i);

		if (conn->fd == fd->fd) {
			if (conn->rest)
				send_rest(conn);
			else
				read_connection(w, conn);
			return;
		}
	}
}

void store_timer(struct world *w)
{
	if (store.frozen && w->now_ms >= store.frozen_until_ms) {
		thaw();
		wake_watches(w);
	}
	for (guint i = store.connections->len; i-- > 0;) {
		struct connection *conn = g_ptr_array_index(store.connections, i);

		/* A store that is away answers no watch either, and stays silent on that one. */
		if (conn->kind && conn->inst->store_mode == STORE_SILENT)
			conn->silent = true;
		if (conn->silent || !conn->due_ms || w->now_ms < conn->due_ms)
			continue;
		if (conn->kind)
			run_watch(w, conn);
		else
			write_answer(conn, "200 OK", conn->answer->str);
	}
}
