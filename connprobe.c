#include "connprobe.h"

#include <string.h>

#include "address.h"

/* A timer that is this late shows that the event loop was blocked, by a freeze or a busy CPU. */
#define TIMER_LATE_MIN_MS 20

struct connprobes {
	struct lws_context *context;
	struct lws_vhost *vhost;
	GPtrArray *running;
	uint32_t timeout_ms;
	connprobe_fn fn;
	void *arg;
};

struct connprobe {
	struct connprobes *owner;
	GString *id;
	struct lws *wsi;
	lws_sorted_usec_list_t timer; /* for the deadline, or to report a result */
	enum probe_result result;
	lws_usec_t due;
	bool deadline_extended; /* the deadline has been extended once */
};

static void release(struct connprobe *probe)
{
	g_ptr_array_remove_fast(probe->owner->running, probe);
	lws_sul_cancel(&probe->timer);
	if (probe->wsi) {
		lws_set_opaque_user_data(probe->wsi, NULL);
		lws_set_timeout(probe->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
	}
	g_string_free(probe->id, TRUE);
	g_free(probe);
}

static void on_timer(lws_sorted_usec_list_t *sul)
{
	struct connprobe *probe = lws_container_of(sul, struct connprobe, timer);
	struct connprobes *owner = probe->owner;
	enum probe_result result = probe->result;
	GString *id = probe->id;

	/* After a blocked loop, an answer may wait in the kernel: extend the deadline once. */
	if (result == PROBE_TIMEOUT && !probe->deadline_extended &&
	    lws_now_usecs() - probe->due > (lws_usec_t)TIMER_LATE_MIN_MS * LWS_US_PER_MS) {
		probe->deadline_extended = true;
		lws_sul_schedule(owner->context, 0, &probe->timer, on_timer,
				 (lws_usec_t)TIMER_LATE_MIN_MS * LWS_US_PER_MS);
		return;
	}
	probe->id = g_string_new(NULL);
	release(probe);
	owner->fn(owner->arg, id->str, result);
	g_string_free(id, TRUE);
}

static void schedule_report(struct connprobe *probe, enum probe_result result)
{
	probe->result = result;
	lws_sul_schedule(probe->owner->context, 0, &probe->timer, on_timer, 1);
}

static int on_event(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
		    size_t len)
{
	struct connprobe *probe = wsi ? lws_get_opaque_user_data(wsi) : NULL;

	if (!probe)
		return reason == LWS_CALLBACK_RAW_CONNECTED || reason == LWS_CALLBACK_RAW_RX
			       ? -1
			       : lws_callback_http_dummy(wsi, reason, user, in, len);
	switch (reason) {
	case LWS_CALLBACK_RAW_CONNECTED:
		lws_set_opaque_user_data(wsi, NULL);
		probe->wsi = NULL;
		schedule_report(probe, PROBE_CONNECTED);
		return -1;
	case LWS_CALLBACK_RAW_CLOSE:
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
		lws_set_opaque_user_data(wsi, NULL);
		probe->wsi = NULL;
		schedule_report(probe, PROBE_REFUSED);
		return 0;
	default:
		return lws_callback_http_dummy(wsi, reason, user, in, len);
	}
}

static const struct lws_protocols protocols[] = {
	{ .name = "connprobe", .callback = on_event },
	{ 0 },
};

struct connprobes *connprobes_new(struct lws_context *context, uint32_t timeout_ms, connprobe_fn fn,
				  void *arg)
{
	struct connprobes *probes = g_new0(struct connprobes, 1);
	struct lws_context_creation_info info = {
		.port = CONTEXT_PORT_NO_LISTEN,
		.protocols = protocols,
		.vhost_name = "connprobe",
	};

	probes->context = context;
	probes->timeout_ms = timeout_ms;
	probes->fn = fn;
	probes->arg = arg;
	probes->vhost = lws_create_vhost(context, &info);
	if (!probes->vhost) {
		g_free(probes);
		return NULL;
	}
	probes->running = g_ptr_array_new();
	return probes;
}

void connprobes_free(struct connprobes *probes)
{
	if (!probes)
		return;
	while (probes->running->len)
		release(g_ptr_array_steal_index_fast(probes->running, 0));
	g_ptr_array_unref(probes->running);
	g_free(probes);
}

void connprobe_start(struct connprobes *probes, const char *id, struct endpoint ep)
{
	struct connprobe *probe = g_new0(struct connprobe, 1);
	char ip[ENDPOINT_TEXT_LEN];
	struct lws_client_connect_info info = {
		.context = probes->context,
		.vhost = probes->vhost,
		.address = ip,
		.host = ip,
		.port = ep.port,
		.method = "RAW",
		.local_protocol_name = protocols[0].name,
		.opaque_user_data = probe,
		.pwsi = &probe->wsi,
	};

	endpoint_format(ep, ip);
	*strchr(ip, ':') = 0;
	probe->owner = probes;
	probe->id = g_string_new(id);
	probe->result = PROBE_TIMEOUT;
	probe->due = lws_now_usecs() + (lws_usec_t)probes->timeout_ms * LWS_US_PER_MS;
	g_ptr_array_add(probes->running, probe);
	lws_sul_schedule(probes->context, 0, &probe->timer, on_timer,
			 (lws_usec_t)probes->timeout_ms * LWS_US_PER_MS);
	/* On failure the callback may have run already and scheduled the report. */
	if (!lws_client_connect_via_info(&info)) {
		probe->wsi = NULL;
		schedule_report(probe, PROBE_REFUSED);
	}
}
