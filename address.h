/* Text form of IPv4 endpoints ("192.0.2.1:7000") and prefixes ("192.0.2.0/28"), and hexadecimal. */
#ifndef ADDRESS_H
#define ADDRESS_H

#include <stdbool.h>
#include <stddef.h>

#include "packet.h"

#define ENDPOINT_TEXT_LEN 22 /* with the terminating NUL */

/* An IPv4 prefix in host byte order; bits below the mask are 0. */
struct prefix {
	uint32_t ip;
	uint32_t mask;
};

/* Strict: no spaces, no leading zeros, port 1 to 65535. Return false when malformed. */
bool endpoint_parse(const char *text, struct endpoint *ep);
bool prefix_parse(const char *text, struct prefix *pfx);
void endpoint_format(struct endpoint ep, char text[ENDPOINT_TEXT_LEN]);

static inline bool prefix_contains(struct prefix pfx, uint32_t ip)
{
	return (ip & pfx.mask) == pfx.ip;
}

static inline bool prefix_overlap(struct prefix a, struct prefix b)
{
	return prefix_contains(a, b.ip) || prefix_contains(b, a.ip);
}

/* Decodes exactly @len bytes. Returns false when @text is shorter, longer or not hexadecimal. */
bool hex_parse(const char *text, uint8_t *bytes, size_t len);
/* Writes 2 * @len characters and a terminating NUL. */
void hex_format(const uint8_t *bytes, size_t len, char *text);

#endif
