#include "rawsource.h"

#include <errno.h>

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

const struct lws_protocols rawsource_protocols[] = {
	{ .name = "rawsource", .callback = on_event },
	{ 0 },
};

int rawsource_adopt(struct lws_vhost *vhost, struct rawsource *src, int fd,
		    void (*readable)(struct rawsource *src))
{
	lws_adopt_desc_t info = {
		.vh = vhost,
		.type = LWS_ADOPT_RAW_FILE_DESC,
		.fd.filefd = fd,
		.vh_prot_name = rawsource_protocols[0].name,
		.opaque = src,
	};

	if (fd < 0)
		return fd;
	*src = (struct rawsource){ readable, fd };
	return lws_adopt_descriptor_vhost_via_info(&info) ? 0 : -ENOMEM;
}
