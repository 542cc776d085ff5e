#include "builtin.h"

#include <argtable2.h>
#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decision.h"
#include "edge.h"
#include "log.h"
#include "platform/echo-packet.h"
#include "platform/store.h"
#include "timeutil.h"

/*
 * Returns a number that is higher at each start unless the clock was set back: real time in units
 * of 64 ms. Instances that received a higher one earlier reject this instance's messages; it then
 * reads the store by itself.
 */
static uint32_t current_incarnation(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint32_t)(ts_to_ms(now) >> 6);
}

static int serve(struct edge_settings *set, const char *path)
{
	struct seeded_random random;
	struct edge_options opts = {
		.set = set,
		.settings_path = path,
		.clock = system_clock(),
		.random = &random.random,
		.incarnation = current_incarnation(),
		.wire = &echo_wire,
	};
	struct store_options store_opts = {
		.set = set,
		.clock = opts.clock,
		.random = opts.random,
	};
	struct store *store = NULL;
	struct edge *edge = NULL;
	int ret;

	/* Seeded once: a system call per random number would cost more than choosing a target. */
	seeded_random_init(&random, (uint64_t)randombytes_random() << 32 | randombytes_random());
	if (log_init(set->log_level->str, set->name->str)) {
		fprintf(stderr, "jujubestage: unknown log level \"%s\"\n", set->log_level->str);
		return EXIT_USAGE;
	}
	log_defer();
	ret = edge_new(&opts, &edge);
	if (ret)
		goto cleanup;
	store_opts.edge = edge;
	store = store_new(&store_opts);
	if (!store) {
		ret = -ENOMEM;
		goto cleanup;
	}
	decision_log(DECISION_PROCESS, clock_now(opts.clock),
		     "state=started version=" JUJUBESTAGE_VERSION " data_centre=%s",
		     set->data_centre->str);
	edge_start(edge, store_upstream(store));
	edge_run(edge);
cleanup:
	if (ret)
		log_event(LOG_LEVEL_ERROR, "event=process state=start_failed error=\"%s\"",
			  strerror(-ret));
	store_free(store);
	edge_free(edge);
	log_release();
	return ret ? EXIT_REFUSED : EXIT_DONE;
}

int cmd_edge(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "describe this command");
	struct arg_file *file = arg_file0(NULL, "settings", "FILE", "settings of the instance");
	struct arg_str *variable = arg_str0(NULL, "settings-from", "VARIABLE",
					    "environment variable that names the settings file");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, file, variable, end };
	struct edge_settings set;
	struct faults faults;
	const char *path = NULL;
	int errors = arg_parse(argc, argv, table);
	int ret = EXIT_USAGE;

	if (file->count)
		path = file->filename[0];
	else if (variable->count)
		path = getenv(variable->sval[0]);
	if (help->count || errors || !path) {
		if (errors && !help->count)
			arg_print_errors(stderr, end, "jujubestage edge");
		fprintf(help->count ? stdout : stderr, "usage: jujubestage edge");
		arg_print_syntax(help->count ? stdout : stderr, table, "\n");
		arg_print_glossary(help->count ? stdout : stderr, table, "  %-26s %s\n");
		if (help->count)
			ret = EXIT_DONE;
		goto cleanup_table;
	}
	edge_settings_init(&set);
	faults_init(&faults);
	if (edge_settings_read(&set, path, &faults))
		faults_print(&faults, stderr);
	else
		ret = serve(&set, path);
	faults_release(&faults);
	edge_settings_release(&set);
cleanup_table:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
