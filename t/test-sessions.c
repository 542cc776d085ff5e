/*
 * Whole sessions of operators' commands against the platform stand-in, compared with t/golden/.
 * Guards against changes that are applied twice, lost silently or reported without being written,
 * and against messages that do not name the operator's next step.
 *
 * In a session, "$ COMMAND" runs in a shell, "! KEY=VALUE" sets a fault of the stand-in,
 * "> KIND/NAME JSON" writes an object to the stand-in, with "HERE" for the stand-in's address. The
 * lines after a command are its expected output, with "[N]" for an exit code other than 0. Request
 * ids, times, keys and the session's directory are replaced by placeholders. GOLDEN_UPDATE=1 in the
 * environment rewrites the files.
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "platform-sync.h"
#include "standin-child.h"

#define FAULT_TIMEOUT_MS 5000

static const struct {
	const char *pattern;
	const char *placeholder;
} placeholders[] = {
	{ "/[^ ]*/session-[A-Za-z0-9]{6}", "WORK" },
	{ "\\b[0-9a-f]{64}\\b", "KEY" },
	{ "\\b[0-9a-f]{16}\\b", "REQUEST" },
	{ "[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}Z", "TIME" },
};

static gchar *with_placeholders(const gchar *text)
{
	gchar *out = g_strdup(text);

	for (size_t i = 0; i < G_N_ELEMENTS(placeholders); i++) {
		GRegex *regex = g_regex_new(placeholders[i].pattern, 0, 0, NULL);
		gchar *next = g_regex_replace_literal(regex, out, -1, 0,
						      placeholders[i].placeholder, 0, NULL);

		g_free(out);
		g_regex_unref(regex);
		out = next;
	}
	return out;
}

static void put_object(const struct standin_child *child, const char *text)
{
	struct platform_sync *sync = platform_sync_new(child->ep);
	gchar **parts = g_strsplit_set(text, "/ ", 3);
	gchar **around = g_strsplit(parts[2], "HERE", -1);
	gchar *json = g_strjoinv(child->listen, around);
	json_object *obj = json_tokener_parse(json);
	struct sync_result res;

	g_assert_nonnull(obj);
	sync_result_init(&res);
	platform_sync_get(sync, parts[0], parts[1], &res);
	platform_sync_put(sync, parts[0], parts[1], res.version->str, obj, &res);
	g_assert_cmpint(res.status, ==, CALL_OK);
	sync_result_release(&res);
	json_object_put(obj);
	g_free(json);
	g_strfreev(around);
	g_strfreev(parts);
	platform_sync_free(sync);
}

static void run(const char *command, GString *out)
{
	gchar *merged = g_strconcat("exec 2>&1\n", command, NULL);
	gchar *argv[] = { "/bin/sh", "-c", merged, NULL };
	gchar *text;
	gchar *replaced;
	int status;

	g_assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &text, NULL,
				   &status, NULL));
	replaced = with_placeholders(text);
	g_string_append(out, replaced);
	if (out->len && out->str[out->len - 1] != '\n')
		g_string_append_c(out, '\n');
	if (status)
		g_string_append_printf(out, "[%d]\n", WEXITSTATUS(status));
	g_free(text);
	g_free(replaced);
	g_free(merged);
}

static void set_fault(const struct standin_child *child, const char *fault)
{
	struct platform_sync *sync = platform_sync_new(child->ep);
	struct sync_fetch fetch = { .server = child->ep };
	gchar *path = g_strdup_printf("/control/set?%s", fault);

	platform_sync_fetch(sync, path, FAULT_TIMEOUT_MS, &fetch, 1);
	g_assert_cmpuint(fetch.status, ==, 200);
	g_string_free(fetch.body, TRUE);
	g_free(path);
	platform_sync_free(sync);
}

static void test_session(gconstpointer data)
{
	const char *path = data;
	struct standin_child child;
	GString *out = g_string_new(NULL);
	gchar *dir = g_dir_make_tmp("session-XXXXXX", NULL);
	gchar *rm = g_strdup_printf("rm -rf '%s'", dir);
	gchar *want;
	gchar **lines;

	g_assert_true(g_file_get_contents(path, &want, NULL, NULL));
	standin_child_start(&child);
	g_setenv("JUJUBESTAGE_PLATFORM", child.listen, TRUE);
	g_setenv("WORK", dir, TRUE);
	lines = g_strsplit(want, "\n", -1);
	for (gchar **line = lines; *line; line++) {
		if (g_str_has_prefix(*line, "# ") || g_str_has_prefix(*line, "! ") ||
		    g_str_has_prefix(*line, "> ") || g_str_has_prefix(*line, "$ "))
			g_string_append_printf(out, "%s\n", *line);
		if (g_str_has_prefix(*line, "> "))
			put_object(&child, *line + 2);
		else if (g_str_has_prefix(*line, "! "))
			set_fault(&child, *line + 2);
		else if (g_str_has_prefix(*line, "$ "))
			run(*line + 2, out);
	}
	if (g_getenv("GOLDEN_UPDATE"))
		g_assert_true(g_file_set_contents(path, out->str, (gssize)out->len, NULL));
	else
		g_assert_cmpstr(out->str, ==, want);
	standin_child_stop(&child);
	g_assert_cmpint(system(rm), ==, 0);
	g_strfreev(lines);
	g_free(want);
	g_free(rm);
	g_free(dir);
	g_string_free(out, TRUE);
}

int main(int argc, char **argv)
{
	GDir *dir;
	const char *name;
	gchar *cwd = g_get_current_dir();
	gchar *path = g_strdup_printf("%s:%s", cwd, g_getenv("PATH"));

	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_setenv("PATH", path, TRUE);
	g_setenv("JUJUBESTAGE_AUTHOR", "ana", TRUE);
	g_unsetenv("JUJUBESTAGE_FLEET_KEY");
	g_unsetenv("JUJUBESTAGE_TEMPLATES");
	dir = g_dir_open("t/golden", 0, NULL);
	g_assert_nonnull(dir);
	while ((name = g_dir_read_name(dir))) {
		gchar *test = g_strdup_printf("/sessions/%s", name);

		if (g_str_has_suffix(name, ".session"))
			g_test_add_data_func_full(test, g_strdup_printf("t/golden/%s", name),
						  test_session, g_free);
		g_free(test);
	}
	g_dir_close(dir);
	g_free(path);
	g_free(cwd);
	return g_test_run();
}
