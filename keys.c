#include "keys.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "address.h"

static int write_key_file(const char *path, const uint8_t *bytes, size_t len, mode_t mode)
{
	char text[2 * SECRET_KEY_BYTES + 2];
	int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
	size_t size = 2 * len + 1;
	int rc = 0;

	if (fd < 0)
		return -errno;
	hex_format(bytes, len, text);
	text[2 * len] = '\n';
	if (write(fd, text, size) != (ssize_t)size || fsync(fd) < 0)
		rc = -EIO;
	sodium_memzero(text, sizeof(text));
	close(fd);
	return rc;
}

int keys_generate(const char *base)
{
	struct signing_key key;
	gchar *secret = g_strconcat(base, ".key", NULL);
	gchar *public = g_strconcat(base, ".pub", NULL);
	int rc = -EEXIST;

	crypto_sign_keypair(key.public, key.secret);
	if (access(public, F_OK) != 0)
		rc = write_key_file(secret, key.secret, sizeof(key.secret), 0600);
	if (!rc)
		rc = write_key_file(public, key.public, sizeof(key.public), 0644);
	sodium_memzero(&key, sizeof(key));
	g_free(secret);
	g_free(public);
	return rc;
}

static int read_key_file(const char *path, uint8_t *bytes, size_t len, struct faults *faults)
{
	GError *error = NULL;
	gchar *text;
	int rc = 0;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		faults_add(faults, path, 1, "", "%s", error->message);
		g_error_free(error);
		return -EINVAL;
	}
	if (!hex_parse(g_strchomp(text), bytes, len)) {
		faults_add(faults, path, 1, "", "must be %zu bytes in hexadecimal", len);
		rc = -EINVAL;
	}
	sodium_memzero(text, strlen(text));
	g_free(text);
	return rc;
}

int keys_read_secret(const char *path, struct signing_key *key, struct faults *faults)
{
	struct stat st;

	if (!stat(path, &st) && st.st_mode & (S_IRWXG | S_IRWXO)) {
		faults_add(faults, path, 1, "", "is open to other users, set its mode to 0600");
		return -EINVAL;
	}
	if (read_key_file(path, key->secret, sizeof(key->secret), faults))
		return -EINVAL;
	crypto_sign_ed25519_sk_to_pk(key->public, key->secret);
	return 0;
}

int keys_read_public(const char *path, uint8_t key[PUBLIC_KEY_BYTES], struct faults *faults)
{
	return read_key_file(path, key, PUBLIC_KEY_BYTES, faults);
}
