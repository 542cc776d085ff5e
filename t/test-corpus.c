/*
 * Guards against the return of faults that fuzzing has found: runs every file under t/corpus
 * through the fuzz entry point of its folder.
 */
#include <glib.h>
#include <stdint.h>

/* The entry points of t/fuzz-*.c, which the Makefile compiles again under these names. */
int fuzz_echo(const uint8_t *bytes, size_t len);
int fuzz_entries(const uint8_t *bytes, size_t len);
int fuzz_wire(const uint8_t *bytes, size_t len);
int fuzz_peer(const uint8_t *bytes, size_t len);
int fuzz_settings(const uint8_t *bytes, size_t len);
int fuzz_snapshot(const uint8_t *bytes, size_t len);

struct corpus {
	const char *folder;
	int (*run)(const uint8_t *bytes, size_t len);
};

static void replay(gconstpointer arg)
{
	const struct corpus *corpus = arg;
	char *path = g_build_filename("t/corpus", corpus->folder, NULL);
	GDir *dir = g_dir_open(path, 0, NULL);
	unsigned int runs = 0;
	const char *name;

	g_assert_nonnull(dir);
	for (; (name = g_dir_read_name(dir)); runs++) {
		char *file = g_build_filename(path, name, NULL);
		gchar *data;
		gsize len;

		g_assert_true(g_file_get_contents(file, &data, &len, NULL));
		/* Named first, so that the log of a crash ends with it. */
		g_test_message("%s", file);
		corpus->run((const uint8_t *)data, len);
		g_free(data);
		g_free(file);
	}
	g_assert_cmpuint(runs, >, 0);
	g_dir_close(dir);
	g_free(path);
}

int main(int argc, char **argv)
{
	static const struct corpus all[] = {
		{ "echo", fuzz_echo }, { "entries", fuzz_entries },   { "wire", fuzz_wire },
		{ "peer", fuzz_peer }, { "settings", fuzz_settings }, { "snapshot", fuzz_snapshot },
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
		char *name = g_strdup_printf("/corpus/%s", all[i].folder);

		g_test_add_data_func(name, &all[i], replay);
		g_free(name);
	}
	return g_test_run();
}
