#include "burn.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "fleet.h"

#define DEFAULT_SAMPLE_INTERVAL_S 60

struct burn_args {
	struct arg_file *samples;
	struct arg_lit *record;
	struct arg_int *every;
	struct arg_int *count;
	struct arg_lit *html;
	struct arg_int *period;
};

/* Appends one sample of each target of each instance. Returns an enum exit_code. */
static int record_once(struct cli *cli, FILE *file)
{
	struct fleet fleet;
	GString *lines = g_string_new(NULL);
	size_t nr = 0;
	int exit_code = EXIT_REFUSED;

	fleet_init(&fleet);
	if (fleet_read(cli, &fleet)) {
		fleet_read_status(cli, &fleet);
		for (guint i = 0; i < fleet.list->len; i++)
			nr += burn_samples(fleet_at(&fleet, i)->status, (int64_t)time(NULL), lines);
		if (!nr)
			cli_error(cli, "none of %u instances reports counters of flows",
				  fleet.list->len);
		else if (fwrite(lines->str, 1, lines->len, file) != lines->len || fflush(file))
			cli_error(cli, "cannot write: %s", strerror(errno));
		else
			exit_code = EXIT_DONE;
	}
	fleet_release(&fleet);
	g_string_free(lines, TRUE);
	return exit_code;
}

static int record(struct cli *cli, const struct burn_args *args)
{
	FILE *file = fopen(args->samples->filename[0], "ae");
	int exit_code = EXIT_REFUSED;

	if (!file) {
		cli_error(cli, "%s: %s", args->samples->filename[0], strerror(errno));
		return EXIT_USAGE;
	}
	/* A failed round leaves a gap; counters are cumulative, so the next sample covers it. */
	for (int i = 0; i < args->count->ival[0]; i++) {
		if (i)
			platform_sync_wait(cli->sync, (uint32_t)args->every->ival[0] * 1000);
		exit_code = record_once(cli, file);
	}
	fclose(file);
	return exit_code;
}

static struct burn *read_samples(struct cli *cli, const char *path)
{
	struct burn *burn;
	FILE *file = fopen(path, "re");
	char *line = NULL;
	size_t size = 0;
	unsigned int nr = 0;

	if (!file) {
		cli_error(cli, "%s: %s", path, strerror(errno));
		return NULL;
	}
	burn = burn_new();
	while (getline(&line, &size, file) > 0) {
		nr++;
		if (*line != '\n' && burn_add(burn, line)) {
			cli_error(cli, "%s:%u: no sample, or older than the one before", path, nr);
			burn_free(burn);
			burn = NULL;
			break;
		}
	}
	free(line);
	fclose(file);
	return burn;
}

static int report(struct cli *cli, const struct burn_args *args)
{
	struct burn *burn = read_samples(cli, args->samples->filename[0]);
	GString *text = g_string_new(NULL);
	GPtrArray *services;

	if (!burn) {
		g_string_free(text, TRUE);
		return EXIT_USAGE;
	}
	services = burn_report(burn, 0, (uint32_t)args->period->ival[0]);
	if (cli->json->count)
		cli_print_json(burn_to_json(services));
	else if (args->html->count)
		burn_print_html(services, text);
	else
		burn_print_text(services, text);
	fputs(text->str, stdout);
	g_ptr_array_unref(services);
	burn_free(burn);
	g_string_free(text, TRUE);
	return EXIT_DONE;
}

int cmd_burn(int argc, char **argv)
{
	struct cli cli;
	struct burn_args args;
	int exit_code;

	cli_init(&cli, "burn",
		 "reports how fast services spend their error budgets, from a file of samples",
		 CLI_PLATFORM);
	args.record = cli_add(
		&cli, arg_lit0(NULL, "record", "append samples of all instances to the file"));
	args.every = cli_add(
		&cli, arg_int0(NULL, "every", "SECONDS", "interval between samples, default 60"));
	args.count = cli_add(&cli, arg_int0(NULL, "count", "N", "number of samples, default 1"));
	args.html = cli_add(&cli, arg_lit0(NULL, "html", "print a page with plots"));
	args.period = cli_add(
		&cli, arg_int0(NULL, "period", "DAYS", "period of the error budget, default 30"));
	args.samples = cli_add(&cli, arg_file1(NULL, NULL, "FILE", "file of samples"));
	args.every->ival[0] = DEFAULT_SAMPLE_INTERVAL_S;
	args.count->ival[0] = 1;
	args.period->ival[0] = BURN_PERIOD_DAYS;
	if (!cli_parse(&cli, argc, argv, &exit_code))
		goto cleanup;
	exit_code = EXIT_USAGE;
	if (args.every->ival[0] < 1 || args.every->ival[0] > 86400 || args.count->ival[0] < 1 ||
	    args.period->ival[0] < 1 || args.period->ival[0] > 366)
		cli_error(&cli, "--every, --count or --period is out of range");
	else if (!args.record->count)
		exit_code = report(&cli, &args);
	else if (cli_open(&cli, &exit_code))
		exit_code = record(&cli, &args);
cleanup:
	cli_release(&cli);
	return exit_code;
}
