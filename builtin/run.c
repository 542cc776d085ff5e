#include "builtin.h"

#include <argtable2.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "http.h"
#include "log.h"
#include "loop.h"
#include "watcher.h"

/* Incarnations count quarter seconds from this epoch, so that a restart always has a higher one. */
#define INCARNATION_EPOCH_S   1704067200 /* 2024-01-01; 32 bits last until 2058 */
#define INCARNATION_UNIT_NSEC (NSEC_PER_SEC / 4)

static uint32_t current_incarnation(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint32_t)((now.tv_sec - INCARNATION_EPOCH_S) * 4 +
			  now.tv_nsec / INCARNATION_UNIT_NSEC);
}

static int serve(const struct settings *set)
{
	struct loop_options opts = {
		.set = set,
		.clock = system_clock(),
		.random = system_random(),
		.incarnation = current_incarnation(),
	};
	struct watcher *watcher = NULL;
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
	if (!ret) {
		watcher = watcher_start(loop, opts.clock, opts.random);
		ret = watcher ? 0 : -ENOMEM;
	}
	if (!ret) {
		log_event(LOG_LEVEL_INFO,
			  "event=start version=" JUJUBESTAGE_VERSION
			  " id=%u group=%s data_centre=%s incarnation=%u",
			  set->id, set->group->str, set->data_centre->str, opts.incarnation);
		ret = loop_run(loop);
		log_event(LOG_LEVEL_INFO, "event=stop complete=%d", !ret);
	} else {
		log_event(LOG_LEVEL_ERROR, "event=start_failed error=\"%s\"", strerror(-ret));
	}
	if (watcher)
		loop_set_watcher(loop, NULL);
	watcher_free(watcher);
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
