#include "rawsource.h"

#include <errno.h>
#include <string.h>

#include "log.h"

static int on_event(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
		    size_t len)
{
	struct rawsource *src;

	(void)user;
	(void)in;
	(void)len;
	if (reason != LWS_CALLBACK_RAW_RX_FILE)
		return 0;
	src = lws_get_opaque_user_data(wsi);
	src->readable(src);
	return 0;
}

static const struct lws_protocols protocols[] = {
	{ .name = "rawsource", .callback = on_event },
	{ 0 },
};

static void log_lws_line(int level, const char *line)
{
	size_t len = strcspn(line, "\n");

	(void)level;
	log_event(LOG_LEVEL_WARN, "event=libwebsockets text=\"%.*s\"", (int)len, line);
}

int rawsource_context(struct lws_context **context, struct lws_vhost **vhost)
{
	struct lws_context_creation_info info = {
		.port = CONTEXT_PORT_NO_LISTEN,
		.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6,
		.protocols = protocols,
		.vhost_name = "sources",
		.uid = (uid_t)-1,
		.gid = (gid_t)-1,
	};

	lws_set_log_level(LLL_ERR, log_lws_line);
	*context = lws_create_context(&info);
	*vhost = *context ? lws_create_vhost(*context, &info) : NULL;
	return *vhost ? 0 : -ENOMEM;
}

int rawsource_adopt(struct lws_vhost *vhost, struct rawsource *src, int fd,
		    void (*readable)(struct rawsource *src))
{
	lws_adopt_desc_t info = {
		.vh = vhost,
		.type = LWS_ADOPT_RAW_FILE_DESC,
		.fd.filefd = fd,
		.vh_prot_name = protocols[0].name,
		.opaque = src,
	};

	if (fd < 0)
		return fd;
	*src = (struct rawsource){ readable, fd };
	return lws_adopt_descriptor_vhost_via_info(&info) ? 0 : -ENOMEM;
}
