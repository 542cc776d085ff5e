#include "probe.h"

#include <errno.h>
#include <arpa/inet.h>
#include <json-c/json.h>
#include <string.h>

struct probe {
	struct probes *probes;
	struct endpoint target;
	struct lws *wsi;
	struct lws_sorted_usec_list deadline;
	unsigned int http_status;
	bool starting; /* inside lws_client_connect_via_info() */
	bool closed;   /* the connection is gone */
	bool reported;
	GByteArray *body;
};

struct probes {
	struct lws_context *context;
	struct lws_vhost *vhost;
	probe_done done;
	void *arg;
	GHashTable *running; /* key of the target's endpoint -> struct probe */
};

static uint64_t endpoint_key(struct endpoint ep)
{
	return (uint64_t)ep.ip << 16 | ep.port;
}

static uint32_t json_u32(struct json_object *doc, const char *key)
{
	struct json_object *value;
	int64_t number;

	if (!json_object_object_get_ex(doc, key, &value) ||
	    !json_object_is_type(value, json_type_int))
		return 0;
	number = json_object_get_int64(value);
	return number < 0 ? 0 : number > UINT32_MAX ? UINT32_MAX : (uint32_t)number;
}

int probe_parse(const char *body, size_t len, struct health_report *rep)
{
	struct json_tokener *tok;
	struct json_object *doc;
	struct json_object *ready;
	int ret = -EBADMSG;

	if (len > PROBE_BODY_MAX_BYTES)
		return ret;
	tok = json_tokener_new();
	doc = json_tokener_parse_ex(tok, body, (int)len);
	if (doc && json_object_is_type(doc, json_type_object) &&
	    json_object_object_get_ex(doc, "ready", &ready) &&
	    json_object_is_type(ready, json_type_boolean)) {
		rep->reachable = true;
		rep->ready = json_object_get_boolean(ready);
		rep->start_marker = json_u32(doc, "start_marker");
		rep->load_permille = json_u32(doc, "load_permille");
		rep->connections = json_u32(doc, "connections");
		ret = 0;
	}
	json_object_put(doc);
	json_tokener_free(tok);
	return ret;
}

static void probe_free(struct probe *probe)
{
	lws_sul_cancel(&probe->deadline);
	g_byte_array_unref(probe->body);
	g_free(probe);
}

/* Reports the result of a probe, once. */
static void report_result(struct probe *probe, bool answered)
{
	struct probes *probes = probe->probes;
	struct health_report rep = { .target = probe->target };
	uint64_t key = endpoint_key(probe->target);

	if (probe->reported)
		return;
	probe->reported = true;
	g_hash_table_remove(probes->running, &key);
	if (answered && !probe_parse((const char *)probe->body->data, probe->body->len, &rep) &&
	    probe->http_status != HTTP_STATUS_OK)
		rep.ready = false;
	if (probes->done)
		probes->done(probes->arg, &rep);
}

/* Detaches the probe from its ended connection, so that no further callback uses it. */
static void connection_closed(struct lws *wsi, struct probe *probe)
{
	lws_set_wsi_user(wsi, NULL);
	probe->closed = true;
	report_result(probe, false);
	if (!probe->starting)
		probe_free(probe);
}

static void deadline_passed(struct lws_sorted_usec_list *sul)
{
	struct probe *probe = lws_container_of(sul, struct probe, deadline);

	report_result(probe, false);
	lws_set_timeout(probe->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static int read_body(struct lws *wsi)
{
	char buf[LWS_PRE + 1024];
	char *at = buf + LWS_PRE;
	int len = sizeof(buf) - LWS_PRE;

	return lws_http_client_read(wsi, &at, &len) < 0 ? -1 : 0;
}

static int probe_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
			  size_t len)
{
	struct probe *probe = user;

	if (!probe)
		return 0;
	switch (reason) {
	case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
		probe->http_status = lws_http_client_http_response(wsi);
		return 0;
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
		return read_body(wsi);
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
		if (probe->body->len + len > PROBE_BODY_MAX_BYTES)
			return -1;
		g_byte_array_append(probe->body, in, (guint)len);
		return 0;
	case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
		report_result(probe, true);
		return -1;
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
		connection_closed(wsi, probe);
		return 0;
	default:
		return 0;
	}
}

static const struct lws_protocols protocols[] = {
	{ .name = "probe", .callback = probe_callback },
	{ .name = NULL },
};

struct probes *probes_new(struct lws_context *context, probe_done done, void *arg)
{
	struct lws_context_creation_info info = {
		.port = CONTEXT_PORT_NO_LISTEN_SERVER,
		.protocols = protocols,
		.vhost_name = "probes",
	};
	struct lws_vhost *vhost = lws_create_vhost(context, &info);
	struct probes *probes;

	if (!vhost)
		return NULL;
	probes = g_new0(struct probes, 1);
	probes->context = context;
	probes->vhost = vhost;
	probes->done = done;
	probes->arg = arg;
	probes->running = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	return probes;
}

void probes_stop(struct probes *probes)
{
	probes->done = NULL;
}

void probes_free(struct probes *probes)
{
	if (!probes)
		return;
	g_hash_table_unref(probes->running);
	g_free(probes);
}

void probe_start(struct probes *probes, struct endpoint target, struct endpoint health)
{
	uint64_t key = endpoint_key(target);
	struct lws_client_connect_info info;
	struct probe *probe;
	struct lws *wsi;
	char address[INET_ADDRSTRLEN];
	char host[INET_ADDRSTRLEN + 8];
	struct in_addr ip = { htonl(health.ip) };

	if (g_hash_table_contains(probes->running, &key))
		return;
	inet_ntop(AF_INET, &ip, address, sizeof(address));
	snprintf(host, sizeof(host), "%s:%u", address, health.port);
	probe = g_new0(struct probe, 1);
	probe->probes = probes;
	probe->target = target;
	probe->body = g_byte_array_new();
	probe->starting = true;
	g_hash_table_insert(probes->running, g_memdup2(&key, sizeof(key)), probe);
	info = (struct lws_client_connect_info){
		.context = probes->context,
		.vhost = probes->vhost,
		.address = address,
		.port = health.port,
		.path = "/health",
		.host = host,
		.origin = host,
		.method = "GET",
		.alpn = "http/1.1",
		.protocol = protocols[0].name,
		.local_protocol_name = protocols[0].name,
		.userdata = probe,
	};
	wsi = lws_client_connect_via_info(&info);
	probe->starting = false;
	if (!wsi || probe->closed) {
		report_result(probe, false);
		probe_free(probe);
		return;
	}
	probe->wsi = wsi;
	lws_sul_schedule(probes->context, 0, &probe->deadline, deadline_passed,
			 (lws_usec_t)PROBE_DEADLINE_MS * LWS_US_PER_MS);
}
