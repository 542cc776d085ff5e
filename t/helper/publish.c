/*
 * Writes a signed document to the platform, as an operator would.
 *
 *   standin publish --platform EP --kind KIND --name NAME --document FILE --seed HEX
 *   standin key --seed HEX
 *
 * KIND is grants, organisations or data-centres. The seed is that of an Ed25519 signing key, 32
 * bytes; "key" prints the public key.
 */
#include "standin.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define HTTP_TIMEOUT_S 5

static bool read_seed(int argc, char **argv, uint8_t *public, uint8_t *secret)
{
	uint8_t seed[crypto_sign_SEEDBYTES];
	const char *hex = opt_nth(argc, argv, "--seed", 0, "");
	size_t len;

	if (sodium_init() < 0 ||
	    sodium_hex2bin(seed, sizeof(seed), hex, strlen(hex), NULL, &len, NULL) ||
	    len != sizeof(seed)) {
		fprintf(stderr, "standin: --seed needs 32 bytes in hexadecimal\n");
		return false;
	}
	return crypto_sign_seed_keypair(public, secret, seed) == 0;
}

int standin_key(int argc, char **argv)
{
	uint8_t public[crypto_sign_PUBLICKEYBYTES];
	uint8_t secret[crypto_sign_SECRETKEYBYTES];
	char hex[crypto_sign_PUBLICKEYBYTES * 2 + 1];

	if (!read_seed(argc, argv, public, secret))
		return 2;
	puts(sodium_bin2hex(hex, sizeof(hex), public, sizeof(public)));
	return 0;
}

/* Returns the status, and the body in @body. */
static int http(struct endpoint ep, const char *method, const char *path, const char *body,
		GString *answer)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(ep.port),
		.sin_addr.s_addr = htonl(ep.ip),
	};
	struct timeval timeout = { .tv_sec = HTTP_TIMEOUT_S };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char buf[4096];
	char *end;
	int status = 0;
	ssize_t len;

	g_string_truncate(answer, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 ||
	    dprintf(fd,
		    "%s %s HTTP/1.1\r\nHost: platform\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		    method, path, strlen(body), body) < 0) {
		close(fd);
		return 0;
	}
	while ((len = recv(fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(answer, buf, len);
	close(fd);
	if (sscanf(answer->str, "HTTP/1.1 %d", &status) != 1)
		return 0;
	end = strstr(answer->str, "\r\n\r\n");
	g_string_erase(answer, 0, end ? end + 4 - answer->str : 0);
	return status;
}

static json_object *signed_object(const char *name, const char *document, const uint8_t *secret)
{
	uint8_t signature[crypto_sign_BYTES];
	char hex[crypto_sign_BYTES * 2 + 1];
	json_object *obj = json_object_new_object();
	json_object *meta = json_object_new_object();

	crypto_sign_detached(signature, NULL, (const uint8_t *)document, strlen(document), secret);
	sodium_bin2hex(hex, sizeof(hex), signature, sizeof(signature));
	json_object_object_add(meta, "name", json_object_new_string(name));
	json_object_object_add(obj, "metadata", meta);
	json_object_object_add(obj, "document", json_object_new_string(document));
	json_object_object_add(obj, "signature", json_object_new_string(hex));
	return obj;
}

/* Takes over the version of the stored object, if there is one. */
static void copy_version(json_object *obj, const char *stored)
{
	json_object *old = json_tokener_parse(stored);
	json_object *version = NULL;

	version =
		json_object_object_get(json_object_object_get(old, "metadata"), "resourceVersion");
	if (version)
		json_object_object_add(json_object_object_get(obj, "metadata"), "resourceVersion",
				       json_object_get(version));
	json_object_put(old);
}

int standin_publish(int argc, char **argv)
{
	uint8_t public[crypto_sign_PUBLICKEYBYTES];
	uint8_t secret[crypto_sign_SECRETKEYBYTES];
	const char *name = opt_nth(argc, argv, "--name", 0, "");
	struct endpoint platform = opt_endpoint(opt_nth(argc, argv, "--platform", 0, NULL));
	char *path = g_strdup_printf("/apis/jujubestage/v1/%s/%s",
				     opt_nth(argc, argv, "--kind", 0, ""), name);
	GString *answer = g_string_new(NULL);
	char *document = NULL;
	json_object *obj = NULL;
	int status = 0;

	if (!read_seed(argc, argv, public, secret) ||
	    !g_file_get_contents(opt_nth(argc, argv, "--document", 0, ""), &document, NULL, NULL))
		goto cleanup;
	obj = signed_object(name, document, secret);
	if (http(platform, "GET", path, "", answer) == 200)
		copy_version(obj, answer->str);
	status = http(platform, "PUT", path, json_object_to_json_string(obj), answer);
cleanup:
	if (status != 200 && status != 201)
		fprintf(stderr, "standin: publishing %s failed with status %d\n", path, status);
	json_object_put(obj);
	g_string_free(answer, TRUE);
	g_free(document);
	g_free(path);
	return status == 200 || status == 201 ? 0 : 1;
}
