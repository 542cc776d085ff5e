/*
 * Plays days of the emulator before real instances: the whole path over platform/, with packets,
 * entries and calls that are written apart from it. Guards the promises under faults by fixed
 * seeds; a variant with beliefs that are 10 s old must break one, so that the checks can fail.
 */
#include <glib.h>
#include <stdbool.h>

struct day {
	const char *name;
	const char *args;
	bool breaks;
};

static const struct day days[] = {
	{ "calm", "--seconds 9 --net 20", false },
	{ "faults", "--seconds 20 --net 21 --faults --seed 1", false },
	{ "drains", "--seconds 16 --net 22 --faults --seed 3 --only target-release", false },
	{ "changes-around-outages-of-the-store",
	  "--seconds 24 --net 24 --faults --seed 5 "
	  "--only store-silent,store-busy,config,target-release",
	  false },
	{ "drains-with-old-beliefs",
	  "--seconds 16 --net 23 --faults --seed 3 --only target-release --watch-pause 10000",
	  true },
};

static void test_day(gconstpointer data)
{
	const struct day *day = data;
	GError *error = NULL;
	char *dir = g_dir_make_tmp("edge-XXXXXX", &error);
	char *command = g_strdup_printf("build/world --dir %s %s", dir, day->args);
	char *clean = g_strdup_printf("rm -rf %s", dir);
	char *out = NULL;
	int status = -1;

	g_assert_no_error(error);
	g_spawn_command_line_sync(command, &out, NULL, &status, &error);
	g_assert_no_error(error);
	g_test_message("%s", out);
	if (day->breaks)
		g_assert_nonnull(g_strstr_len(out, -1, "DRAIN: "));
	else
		g_assert_nonnull(g_strstr_len(out, -1, " breaches=0 "));
	g_assert_true(g_spawn_check_wait_status(status, NULL) == !day->breaks);
	g_spawn_command_line_sync(clean, NULL, NULL, NULL, NULL);
	g_free(clean);
	g_free(command);
	g_free(out);
	g_free(dir);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(days); i++) {
		char *path = g_strconcat("/edge/", days[i].name, NULL);

		g_test_add_data_func(path, &days[i], test_day);
		g_free(path);
	}
	return g_test_run();
}
