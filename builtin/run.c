#include "builtin.h"

#include <argtable2.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "feed.h"
#include "http.h"
#include "log.h"
#include "loop.h"

/* Incarnations count quarter seconds from here, so that a restart always has a higher one. */
#define INCARNATION_EPOCH_S 1704067200 /* 2024-01-01; 32 bits last until 2058 */
#define INCARNATION_NSEC    (NSEC_PER_SEC / 4)

static uint32_t current_incarnation(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint32_t)((now.tv_sec - INCARNATION_EPOCH_S) * 4 + now.tv_nsec / INCARNATION_NSEC);
}

/* The feed as the loop's watcher of the platform. */
struct feed_watcher {
	struct watcher base;
	struct feed *feed;
};

static struct feed *feed_of(struct watcher *watcher)
{
	return ((struct feed_watcher *)watcher)->feed;
}

static void set_watch(struct watcher *watcher, bool on)
{
	feed_watch(feed_of(watcher), on);
}

static void set_leaving(struct watcher *watcher, bool gone)
{
	feed_set_phase(feed_of(watcher), gone ? INSTANCE_GONE : INSTANCE_LEAVING);
}

static bool is_idle(struct watcher *watcher)
{
	return feed_phase_written(feed_of(watcher));
}

static const struct watcher_ops watcher_ops = {
	.watch = set_watch,
	.leaving = set_leaving,
	.idle = is_idle,
};

static void post_event(void *arg, const struct event *ev)
{
	loop_post(arg, ev);
}

static struct feed *start_feed(struct loop *loop, struct platform *platform,
			       const struct loop_options *opts)
{
	const struct settings *set = opts->set;
	struct feed_options feed = {
		.context = loop_context(loop),
		.platform = platform,
		.clock = opts->clock,
		.random = opts->random,
		.self = { .id = set->id, .peer = set->peers, .phase = INSTANCE_LIVE },
		.admin = set->admin,
		.event = post_event,
		.arg = loop,
	};

	g_strlcpy(feed.self.name, set->name->str, sizeof(feed.self.name));
	g_strlcpy(feed.self.group, set->group->str, sizeof(feed.self.group));
	g_strlcpy(feed.self.data_centre, set->data_centre->str, sizeof(feed.self.data_centre));
	return feed_new(&feed);
}

/* Serves with the platform's client until the stop is complete. */
static int run_loop(struct loop *loop, const struct loop_options *opts)
{
	struct feed_watcher watcher = { .base = { &watcher_ops } };
	struct platform *platform = platform_http_new(loop_context(loop), opts->set->platform,
						      opts->random, core_counters(loop_core(loop)));
	int ret;

	if (!platform)
		return -ENOMEM;
	watcher.feed = start_feed(loop, platform, opts);
	loop_set_watcher(loop, &watcher.base);
	log_event(LOG_LEVEL_INFO,
		  "event=start version=" JUJUBESTAGE_VERSION
		  " id=%u group=%s data_centre=%s incarnation=%u",
		  opts->set->id, opts->set->group->str, opts->set->data_centre->str,
		  opts->incarnation);
	ret = loop_run(loop);
	log_event(LOG_LEVEL_INFO, "event=stop complete=%d", !ret);
	loop_set_watcher(loop, NULL);
	feed_free(watcher.feed);
	platform->ops->free(platform);
	return ret;
}

static int serve(const struct settings *set)
{
	struct loop_options opts = {
		.set = set,
		.clock = system_clock(),
		.random = system_random(),
		.incarnation = current_incarnation(),
	};
	struct loop *loop;
	int ret;

	if (log_init(set->log_level->str, set->name->str)) {
		fprintf(stderr, "jujubestage: unknown log level \"%s\"\n", set->log_level->str);
		return EXIT_USAGE;
	}
	ret = loop_new(&opts, &loop);
	if (ret) {
		log_event(LOG_LEVEL_ERROR, "event=start_failed error=\"%s\"", strerror(-ret));
		goto cleanup;
	}
	ret = http_listen(loop);
	if (!ret)
		ret = loop_catch_signals(loop);
	if (!ret)
		ret = run_loop(loop, &opts);
	if (ret && ret != -ETIMEDOUT)
		log_event(LOG_LEVEL_ERROR, "event=start_failed error=\"%s\"", strerror(-ret));
	loop_free(loop);
cleanup:
	log_release();
	return ret ? EXIT_REFUSED : EXIT_DONE;
}

int cmd_run(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "describe this command");
	struct arg_file *file = arg_file0(NULL, "settings", "FILE", "settings of the instance");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, file, end };
	struct settings set;
	struct faults faults;
	int errors;
	int ret = EXIT_USAGE;

	errors = arg_parse(argc, argv, table);
	if (help->count || errors || !file->count) {
		if (errors && !help->count)
			arg_print_errors(stderr, end, "jujubestage run");
		fprintf(help->count ? stdout : stderr, "usage: jujubestage run");
		arg_print_syntax(help->count ? stdout : stderr, table, "\n");
		arg_print_glossary(help->count ? stdout : stderr, table, "  %-18s %s\n");
		if (help->count)
			ret = EXIT_DONE;
		goto cleanup_table;
	}
	settings_init(&set);
	faults_init(&faults);
	if (settings_read(&set, file->filename[0], &faults))
		faults_print(&faults, stderr);
	else
		ret = serve(&set);
	faults_release(&faults);
	settings_release(&set);
cleanup_table:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
