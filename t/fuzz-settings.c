/* Fuzzing of the settings reader: any file is accepted or has a fault, and nothing leaks. */
#include <glib.h>
#include <sys/mman.h>
#include <unistd.h>

#include "settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	int fd = memfd_create("settings", MFD_CLOEXEC);
	struct settings set;
	struct faults faults;
	char path[64];

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(write(fd, bytes, len), ==, (ssize_t)len);
	g_snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	settings_init(&set);
	faults_init(&faults);
	if (settings_read(&set, path, &faults))
		g_assert_cmpuint(faults.list->len, >, 0);
	else
		g_assert_cmpuint(faults.list->len, ==, 0);
	faults_release(&faults);
	settings_release(&set);
	close(fd);
	return 0;
}
