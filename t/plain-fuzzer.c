/*
 * Driver for the fuzz entry points where libFuzzer's runtime is not installed: runs every file of
 * the folders given, then random changes of them for a number of seconds.
 *
 * usage: fuzz-NAME -max_total_time=SECONDS FOLDER...
 */
#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEED	    1
#define MAX_CHANGES 8
#define MAX_BYTES   4096
#define LAST_INPUT  "build/fuzz-last-input"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static void read_folder(const char *path, GPtrArray *files)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *file = g_build_filename(path, name, NULL);
		gchar *data;
		gsize len;

		if (g_file_get_contents(file, &data, &len, NULL)) {
			g_ptr_array_add(files, g_bytes_new_take(data, len));
			LLVMFuzzerTestOneInput((const uint8_t *)data, len);
		}
		g_free(file);
	}
	if (dir)
		g_dir_close(dir);
}

/* Changes, inserts or removes a few bytes. */
static void mutate(GRand *rand, GByteArray *input)
{
	for (int i = g_rand_int_range(rand, 1, MAX_CHANGES); i > 0; i--) {
		guint at = input->len ? (guint)g_rand_int_range(rand, 0, (gint32)input->len) : 0;
		guint8 byte = (guint8)g_rand_int_range(rand, 0, 256);

		switch (g_rand_int_range(rand, 0, 4)) {
		case 0:
			if (input->len < MAX_BYTES)
				g_byte_array_append(input, &byte, 1);
			break;
		case 1:
			if (input->len)
				g_byte_array_remove_index(input, at);
			break;
		default:
			if (input->len)
				input->data[at] = byte;
			break;
		}
	}
}

int main(int argc, char **argv)
{
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	GRand *rand = g_rand_new_with_seed(SEED);
	gint64 end = g_get_monotonic_time();
	uint64_t runs = 0;

	for (int i = 1; i < argc; i++) {
		if (g_str_has_prefix(argv[i], "-max_total_time="))
			end += atoll(strchr(argv[i], '=') + 1) * G_USEC_PER_SEC;
		else
			read_folder(argv[i], files);
	}
	for (; g_get_monotonic_time() < end; runs++) {
		GByteArray *input = g_byte_array_new();

		if (files->len) {
			gint32 pick = g_rand_int_range(rand, 0, (gint32)files->len);
			gsize len;
			gconstpointer data = g_bytes_get_data(g_ptr_array_index(files, pick), &len);

			g_byte_array_append(input, data, (guint)len);
		}
		mutate(rand, input);
		g_file_set_contents(LAST_INPUT, (const gchar *)input->data, input->len, NULL);
		LLVMFuzzerTestOneInput(input->data, input->len);
		g_byte_array_unref(input);
	}
	printf("%u files and %" G_GUINT64_FORMAT " random inputs\n", files->len, runs);
	g_rand_free(rand);
	g_ptr_array_unref(files);
	return 0;
}
