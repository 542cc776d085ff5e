#include "builtin.h"

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>

#include "explain.h"

#define MAX_LOGS 1000

static int explain_files(const struct explain_query *q, const struct arg_file *files)
{
	struct explain *ex = explain_new();
	GString *warnings = g_string_new(NULL);
	GString *out = g_string_new(NULL);
	int ret = EXIT_REFUSED;

	for (int i = 0; i < files->count; i++) {
		GError *error = NULL;
		gchar *text;
		gsize len;

		if (!g_file_get_contents(files->filename[i], &text, &len, &error)) {
			fprintf(stderr, "jujubestage explain: %s\n", error->message);
			g_error_free(error);
			continue;
		}
		if (!explain_read(ex, files->filename[i], text, len, warnings))
			g_string_append_printf(warnings, "%s: no log lines\n", files->filename[i]);
		g_free(text);
	}
	fputs(warnings->str, stderr);
	if (explain_write(ex, q, out)) {
		fputs(out->str, stdout);
		ret = EXIT_DONE;
	} else {
		fprintf(stderr,
			"jujubestage explain: no line names it; an instance writes a "
			"request's id only when something happens to its flow; --at shows what "
			"instances wrote at the time of the failure\n");
	}
	g_string_free(out, TRUE);
	g_string_free(warnings, TRUE);
	explain_free(ex);
	return ret;
}

int cmd_explain(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "describe this command");
	struct arg_str *request = arg_str0(NULL, "request", "ID", "id of the request");
	struct arg_str *flow =
		arg_str0(NULL, "flow", "TEXT", "caller's address and port, or a part of them");
	struct arg_str *at = arg_str0(NULL, "at", "TIME",
				      "when it failed, as in the logs: 2026-01-01T00:00:00.000Z");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 0, MAX_LOGS, "logs of instances, in any order");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, request, flow, at, files, end };
	int errors = arg_parse(argc, argv, table);
	struct explain_query q = { 0 };
	int ret = EXIT_USAGE;

	if (help->count || errors || !files->count || request->count + flow->count != 1) {
		if (errors && !help->count)
			arg_print_errors(stderr, end, "jujubestage explain");
		fprintf(help->count ? stdout : stderr, "usage: jujubestage explain");
		arg_print_syntax(help->count ? stdout : stderr, table, "\n");
		arg_print_glossary(help->count ? stdout : stderr, table, "  %-18s %s\n");
		fprintf(help->count ? stdout : stderr, "Exactly one of --request and --flow.\n");
		if (help->count)
			ret = EXIT_DONE;
	} else if (at->count && !explain_parse_time(at->sval[0], &q.at_ms)) {
		fprintf(stderr, "jujubestage explain: --at: not a time of the form "
				"2026-01-01T00:00:00.000Z\n");
	} else {
		q.request = request->count ? request->sval[0] : NULL;
		q.flow = flow->count ? flow->sval[0] : NULL;
		ret = explain_files(&q, files);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
