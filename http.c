#include "http.h"

#include <string.h>

#include "httpserve.h"
#include "status.h"

static void get_view(struct loop *loop, struct instance_view *view)
{
	const struct settings *set = loop_settings(loop);
	struct loop_status st;

	loop_get_status(loop, &st);
	*view = (struct instance_view){
		.core = loop_core(loop),
		.id = set->id,
		.name = set->name->str,
		.group = set->group->str,
		.data_centre = set->data_centre->str,
		.now = loop_now(loop),
		.start = st.start,
		.leaving = st.leaving,
		.platform_reachable = st.platform_reachable,
		.lost_packets = st.lost_packets,
		.calls_open = st.calls_open,
		.traffic = st.traffic,
	};
}

unsigned int http_page(struct loop *loop, const char *path, GString *body, const char **type)
{
	struct instance_view view;
	const char *unhealthy_reason;

	get_view(loop, &view);
	*type = "text/plain; charset=utf-8";
	if (!strcmp(path, "/metrics")) {
		*type = "text/plain; version=0.0.4; charset=utf-8";
		metrics_write(body, &view);
		return HTTP_STATUS_OK;
	}
	if (!strcmp(path, "/status.json")) {
		*type = "application/json";
		status_write(body, &view);
		return HTTP_STATUS_OK;
	}
	if (!strcmp(path, "/healthz")) {
		unhealthy_reason = metrics_unhealthy_reason(&view);
		g_string_append_printf(body, "%s\n", unhealthy_reason ? unhealthy_reason : "ok");
		return unhealthy_reason ? HTTP_STATUS_SERVICE_UNAVAILABLE : HTTP_STATUS_OK;
	}
	g_string_append(body, "not found\n");
	return HTTP_STATUS_NOT_FOUND;
}

static unsigned int admin_page(void *arg, const char *path, GString *body, const char **type)
{
	return http_page(arg, path, body, type);
}

int http_listen(struct loop *loop)
{
	struct http_pages *pages = loop_admin_pages(loop);

	*pages = (struct http_pages){ admin_page, loop };
	return http_serve(loop_context(loop), loop_settings(loop)->admin, "admin", pages);
}
