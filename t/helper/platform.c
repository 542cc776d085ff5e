/*
 * Stand-in of the platform's object API. Faults are set over HTTP, see set_fault():
 *
 *	GET /control/set?KEY=VALUE    GET /control/stats
 */
#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"
#include "store.h"

#define API_PREFIX	"/apis/jujubestage/v1/"
#define BOOKMARK_MS	10000
#define MAX_OBJECT	(1 << 20)
#define MAX_CONNS	2000
#define DEFAULT_SECONDS 600
#define POLL_MS		20

struct client {
	int fd;
	GString *in;
	GString *out;
	GString *watch; /* kind, NULL unless this is a watch */
	uint64_t version;
	int64_t bookmark_ms;
	int64_t due_ms; /* the answer is held until then */
	bool closing;	/* after the output */
	bool mute;	/* takes input and never answers */
};

struct server {
	struct store store;
	GPtrArray *clients;
	int listener;
	bool down;	      /* connections are closed at once */
	bool hang;	      /* connections are taken, nothing is answered */
	bool silent;	      /* watches stay open without events or bookmarks */
	unsigned int slow_ms; /* before each answer */
	unsigned int lose;    /* this many writes take effect but lose their answer */
	unsigned int die;     /* so many writes lose their answer, and the platform goes down */
	unsigned int refuse;  /* this many writes lose their answer and take no effect */
	unsigned int lag_ms;  /* of the list of instances */
	unsigned int bookmark_ms;
	unsigned int gets, lists, puts, conflicts, watches, lost;
};

static void client_free(gpointer data)
{
	struct client *cl = data;

	if (cl->fd >= 0)
		close(cl->fd);
	g_string_free(cl->in, TRUE);
	g_string_free(cl->out, TRUE);
	if (cl->watch)
		g_string_free(cl->watch, TRUE);
	g_free(cl);
}

static void answer(struct server *srv, struct client *cl, int status, const char *body)
{
	g_string_append_printf(cl->out,
			       "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
			       "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
			       status, strlen(body), body);
	cl->closing = true;
	cl->due_ms = now_ms() + srv->slow_ms;
}

static void answer_obj(struct server *srv, struct client *cl, int status, json_object *obj)
{
	answer(srv, cl, status, json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN));
}

static void send_event(struct client *cl, const char *type, json_object *obj)
{
	const char *text = json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN);
	gchar *line = g_strdup_printf("{\"type\":\"%s\",\"object\":%s}\n", type, text);

	g_string_append_printf(cl->out, "%zx\r\n%s\r\n", strlen(line), line);
	g_free(line);
}

/* Sends the changes after the version that the watch has. */
static void feed_watch(struct server *srv, struct client *cl)
{
	json_object *mark;
	gchar *text;

	if (srv->silent)
		return;
	for (guint i = 0; i < srv->store.changes->len; i++) {
		const struct change *change = g_ptr_array_index(srv->store.changes, i);

		if (change->version <= cl->version || strcmp(change->kind, cl->watch->str) != 0)
			continue;
		cl->version = change->version;
		send_event(cl, change->deleted ? "DELETED" : "MODIFIED", change->obj);
	}
	if (now_ms() < cl->bookmark_ms)
		return;
	cl->bookmark_ms = now_ms() + srv->bookmark_ms;
	text = g_strdup_printf("{\"metadata\":{\"resourceVersion\":\"%" PRIu64 "\"}}",
			       srv->store.version);
	mark = json_tokener_parse(text);
	send_event(cl, "BOOKMARK", mark);
	json_object_put(mark);
	g_free(text);
}

/* Value of a query's key, to be freed, or NULL. */
static gchar *query_value(const char *query, const char *key)
{
	gchar **parts = g_strsplit(query ? query : "", "&", -1);
	gchar *value = NULL;

	for (gchar **part = parts; *part && !value; part++) {
		if (g_str_has_prefix(*part, key) && (*part)[strlen(key)] == '=')
			value = g_uri_unescape_string(*part + strlen(key) + 1, NULL);
	}
	g_strfreev(parts);
	return value;
}

static void start_watch(struct server *srv, struct client *cl, const char *kind, const char *query)
{
	gchar *version = query_value(query, "resourceVersion");

	cl->version = version ? strtoull(version, NULL, 10) : srv->store.version;
	g_free(version);
	if (cl->version < srv->store.oldest) {
		answer(srv, cl, 410, "{\"code\":410}");
		return;
	}
	srv->watches++;
	cl->watch = g_string_new(kind);
	cl->bookmark_ms = now_ms() + srv->bookmark_ms;
	g_string_append(cl->out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
				 "Transfer-Encoding: chunked\r\n\r\n");
}

static void get(struct server *srv, struct client *cl, const char *kind, const char *name,
		const char *query)
{
	int64_t at = !strcmp(kind, "instances") ? now_ms() - srv->lag_ms : INT64_MAX;
	gchar *watch = query_value(query, "watch");
	gchar *label = query_value(query, "labelSelector");
	json_object *obj;

	if (name) {
		srv->gets++;
		obj = store_get(&srv->store, kind, name, INT64_MAX);
		if (obj)
			answer_obj(srv, cl, 200, obj);
		else
			answer(srv, cl, 404, "{\"code\":404}");
	} else if (watch) {
		start_watch(srv, cl, kind, query);
	} else {
		srv->lists++;
		obj = store_list(&srv->store, kind,
				 label && g_str_has_prefix(label, "group=") ? label + 6 : NULL, at);
		answer_obj(srv, cl, 200, obj);
		json_object_put(obj);
	}
	g_free(watch);
	g_free(label);
}

static void put(struct server *srv, struct client *cl, const char *kind, const char *name,
		const char *body)
{
	json_object *obj = json_tokener_parse(body);
	json_object *meta = obj ? json_object_object_get(obj, "metadata") : NULL;
	const char *version =
		json_object_get_string(json_object_object_get(meta, "resourceVersion"));
	gchar *copy = g_strdup(version ? version : "");
	int status;

	srv->puts++;
	if (!obj || strlen(body) > MAX_OBJECT) {
		json_object_put(obj);
		answer(srv, cl, obj ? 413 : 400, "{}");
		g_free(copy);
		return;
	}
	if (srv->refuse) {
		srv->refuse--;
		srv->lost++;
		json_object_put(obj);
		cl->mute = true;
		cl->closing = true;
		g_free(copy);
		return;
	}
	status = store_put(&srv->store, kind, name, copy, obj, now_ms());
	g_free(copy);
	if (status == 409)
		srv->conflicts++;
	if (status < 400 && srv->die) {
		srv->die--;
		srv->down = true;
		cl->closing = true;
		return;
	}
	if (status < 400 && srv->lose) {
		srv->lose--;
		srv->lost++;
		cl->closing = true;
		return;
	}
	if (status < 400)
		answer_obj(srv, cl, status, store_get(&srv->store, kind, name, INT64_MAX));
	else
		answer(srv, cl, status, "{}");
}

/* The faults of /control/set. */
static bool set_fault(struct server *srv, const char *key, const char *value)
{
	unsigned int number = (unsigned int)strtoul(value, NULL, 10);
	const struct {
		const char *key;
		unsigned int *field;
	} numbers[] = {
		{ "slow_ms", &srv->slow_ms }, { "lose", &srv->lose },
		{ "refuse", &srv->refuse },   { "lag_ms", &srv->lag_ms },
		{ "die", &srv->die },	      { "bookmark_ms", &srv->bookmark_ms },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		if (!strcmp(key, numbers[i].key)) {
			*numbers[i].field = number;
			return true;
		}
	}
	if (!strcmp(key, "down"))
		srv->down = number;
	else if (!strcmp(key, "hang"))
		srv->hang = number;
	else if (!strcmp(key, "silent"))
		srv->silent = number;
	else if (!strcmp(key, "compact"))
		srv->store.oldest = srv->store.version;
	else if (!strcmp(key, "remove")) /* the platform saw that the instance is gone */
		store_delete(&srv->store, "instances", value, now_ms());
	else
		return false;
	return true;
}

static unsigned int waiting_watches(const struct server *srv)
{
	unsigned int nr = 0;

	for (guint i = 0; i < srv->clients->len; i++)
		nr += ((struct client *)g_ptr_array_index(srv->clients, i))->watch != NULL;
	return nr;
}

static void control(struct server *srv, struct client *cl, const char *what, const char *query)
{
	gchar **pair;
	gchar *text;
	bool ok;

	if (!strcmp(what, "stats")) {
		text = g_strdup_printf(
			"{\"gets\":%u,\"lists\":%u,\"puts\":%u,\"conflicts\":%u,\"watches\":%u,"
			"\"waiting\":%u,\"lost\":%u,\"version\":%" PRIu64 "}",
			srv->gets, srv->lists, srv->puts, srv->conflicts, srv->watches,
			waiting_watches(srv), srv->lost, srv->store.version);
		answer(srv, cl, 200, text);
		g_free(text);
	} else {
		pair = g_strsplit(query ? query : "", "=", 2);
		ok = !strcmp(what, "set") && pair[0] && pair[1] && set_fault(srv, pair[0], pair[1]);
		answer(srv, cl, ok ? 200 : 400, "{}");
		g_strfreev(pair);
	}
	cl->due_ms = 0;
}

static void handle(struct server *srv, struct client *cl, const char *method, char *path,
		   const char *body)
{
	char *query = strchr(path, '?');
	char *name;

	if (query)
		*query++ = 0;
	if (g_str_has_prefix(path, "/control/")) {
		control(srv, cl, path + strlen("/control/"), query);
		return;
	}
	if (srv->hang) {
		cl->mute = true;
		return;
	}
	if (!strcmp(path, "/status.json")) { /* of an instance whose entry names this address */
		get(srv, cl, "status", "self", NULL);
		return;
	}
	if (!g_str_has_prefix(path, API_PREFIX)) {
		answer(srv, cl, 404, "{}");
		return;
	}
	path += strlen(API_PREFIX);
	name = strchr(path, '/');
	if (name)
		*name++ = 0;
	if (!strcmp(method, "GET"))
		get(srv, cl, path, name, query);
	else if (!strcmp(method, "PUT") && name)
		put(srv, cl, path, name, body);
	else
		answer(srv, cl, 405, "{}");
}

/* Handles the request once it is whole. */
static void input(struct server *srv, struct client *cl)
{
	char *end = strstr(cl->in->str, "\r\n\r\n");
	char *length;
	char method[8] = "";
	char path[512] = "";
	size_t body_len = 0;

	if (!end || cl->closing || cl->watch || cl->mute)
		return;
	length = strcasestr(cl->in->str, "\r\ncontent-length:");
	if (length && length < end)
		body_len = strtoul(length + strlen("\r\ncontent-length:"), NULL, 10);
	if (cl->in->len < (size_t)(end + 4 - cl->in->str) + body_len)
		return;
	if (sscanf(cl->in->str, "%7s %511s", method, path) == 2)
		handle(srv, cl, method, path, end + 4);
	else
		answer(srv, cl, 400, "{}");
}

static void accept_client(struct server *srv)
{
	struct client *cl;
	int fd = accept4(srv->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0)
		return;
	if (srv->clients->len >= MAX_CONNS) {
		close(fd);
		return;
	}
	cl = g_new0(struct client, 1);
	cl->fd = fd;
	cl->in = g_string_new(NULL);
	cl->out = g_string_new(NULL);
	g_ptr_array_add(srv->clients, cl);
}

/* Returns false when the connection is over. */
static bool serve(struct server *srv, struct client *cl)
{
	char buf[16384];
	ssize_t len = recv(cl->fd, buf, sizeof(buf), 0);

	if (!len || (len < 0 && errno != EAGAIN))
		return false;
	if (len > 0) {
		g_string_append_len(cl->in, buf, len);
		input(srv, cl);
	}
	if (srv->down && !g_str_has_prefix(cl->in->str, "GET /control/") && cl->in->len)
		return false;
	if (cl->watch && !srv->hang)
		feed_watch(srv, cl);
	if (now_ms() < cl->due_ms)
		return true;
	if (cl->out->len && !(cl->watch && srv->hang)) {
		len = send(cl->fd, cl->out->str, cl->out->len, MSG_NOSIGNAL);
		if (len < 0 && errno != EAGAIN)
			return false;
		if (len > 0)
			g_string_erase(cl->out, 0, len);
	}
	return !cl->closing || cl->out->len;
}

static void turn(struct server *srv)
{
	struct pollfd *fds = g_new0(struct pollfd, srv->clients->len + 1);

	for (guint i = 0; i < srv->clients->len; i++) {
		struct client *cl = g_ptr_array_index(srv->clients, i);

		fds[i] = (struct pollfd){ cl->fd, POLLIN, 0 };
	}
	fds[srv->clients->len] = (struct pollfd){ srv->listener, POLLIN, 0 };
	poll(fds, srv->clients->len + 1, POLL_MS);
	if (fds[srv->clients->len].revents)
		accept_client(srv);
	g_free(fds);
	for (guint i = srv->clients->len; i-- > 0;) {
		if (!serve(srv, g_ptr_array_index(srv->clients, i)))
			g_ptr_array_remove_index(srv->clients, i);
	}
}

int standin_platform(int argc, char **argv)
{
	struct server srv = {
		.clients = g_ptr_array_new_with_free_func(client_free),
		.bookmark_ms = BOOKMARK_MS,
	};
	int64_t end = now_ms() + 1000 * opt_num(argc, argv, "--seconds", DEFAULT_SECONDS);
	struct sockaddr_in sin = { 0 };
	socklen_t len = sizeof(sin);

	/* Never outlives a test that started it. */
	prctl(PR_SET_PDEATHSIG, SIGTERM);
	store_init(&srv.store);
	srv.listener =
		tcp_listener(opt_endpoint(opt_nth(argc, argv, "--listen", 0, "127.0.0.1:0")));
	getsockname(srv.listener, (struct sockaddr *)&sin, &len);
	printf("%s:%u\n", inet_ntoa(sin.sin_addr), ntohs(sin.sin_port));
	while (running() && now_ms() < end)
		turn(&srv);
	g_ptr_array_unref(srv.clients);
	store_release(&srv.store);
	close(srv.listener);
	return 0;
}
