#include "watcher.h"

#include "feed.h"

struct feed_watcher {
	struct watcher watcher;
	struct platform *platform;
	struct feed *feed;
};

static void watcher_watch(struct watcher *watcher, bool on)
{
	feed_watch(((struct feed_watcher *)watcher)->feed, on);
}

static void watcher_leaving(struct watcher *watcher, bool gone)
{
	feed_set_phase(((struct feed_watcher *)watcher)->feed,
		       gone ? INSTANCE_GONE : INSTANCE_LEAVING);
}

static bool watcher_idle(struct watcher *watcher)
{
	return feed_phase_written(((struct feed_watcher *)watcher)->feed);
}

static const struct watcher_ops feed_watcher_ops = {
	.watch = watcher_watch,
	.leaving = watcher_leaving,
	.idle = watcher_idle,
};

static void post_event(void *arg, const struct event *ev)
{
	loop_post(arg, ev);
}

static struct instance_info own_entry(const struct settings *set)
{
	struct instance_info info = {
		.id = set->id,
		.peer = set->peers,
		.phase = INSTANCE_LIVE,
	};

	g_strlcpy(info.name, set->name->str, sizeof(info.name));
	g_strlcpy(info.group, set->group->str, sizeof(info.group));
	g_strlcpy(info.data_centre, set->data_centre->str, sizeof(info.data_centre));
	return info;
}

struct watcher *watcher_start(struct loop *loop, struct clock *clock, struct random *random)
{
	const struct settings *set = loop_settings(loop);
	struct feed_watcher *fw = g_new0(struct feed_watcher, 1);

	fw->watcher.ops = &feed_watcher_ops;
	fw->platform = platform_http_new(loop_context(loop), set->platform, random,
					 core_counters(loop_core(loop)));
	if (!fw->platform) {
		g_free(fw);
		return NULL;
	}
	fw->feed = feed_new(&(struct feed_options){
		.context = loop_context(loop),
		.platform = fw->platform,
		.clock = clock,
		.random = random,
		.self = own_entry(set),
		.admin = set->admin,
		.fleet_key = set->fleet_key,
		.event = post_event,
		.arg = loop,
	});
	loop_set_watcher(loop, &fw->watcher);
	return &fw->watcher;
}

void watcher_free(struct watcher *watcher)
{
	struct feed_watcher *fw = (struct feed_watcher *)watcher;

	if (!fw)
		return;
	feed_free(fw->feed);
	platform_free(fw->platform);
	g_free(fw);
}
