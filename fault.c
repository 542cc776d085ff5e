#include "fault.h"

static void fault_free(gpointer data)
{
	struct fault *fault = data;

	g_string_free(fault->file, TRUE);
	g_string_free(fault->key, TRUE);
	g_string_free(fault->text, TRUE);
	g_free(fault);
}

void faults_init(struct faults *faults)
{
	faults->list = g_ptr_array_new_with_free_func(fault_free);
}

void faults_release(struct faults *faults)
{
	g_ptr_array_unref(faults->list);
	faults->list = NULL;
}

void faults_add(struct faults *faults, const char *file, unsigned int line, const char *key,
		const char *format, ...)
{
	struct fault *fault = g_new0(struct fault, 1);
	va_list ap;

	fault->file = g_string_new(file);
	fault->line = line;
	fault->key = g_string_new(key);
	fault->text = g_string_new(NULL);
	va_start(ap, format);
	g_string_vprintf(fault->text, format, ap);
	va_end(ap);
	g_ptr_array_add(faults->list, fault);
}

void faults_print(const struct faults *faults, FILE *out)
{
	for (guint i = 0; i < faults->list->len; i++) {
		const struct fault *fault = g_ptr_array_index(faults->list, i);

		fprintf(out, "%s:%u: ", fault->file->str, fault->line);
		if (fault->key->len)
			fprintf(out, "%s: ", fault->key->str);
		fprintf(out, "%s\n", fault->text->str);
	}
}
