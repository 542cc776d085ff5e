#include "address.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* Decimal number without leading zeros, of at most @max. */
static bool number_parse(const char *text, unsigned int max, unsigned int *number)
{
	unsigned int n = 0;

	if (!*text || (text[0] == '0' && text[1]))
		return false;
	for (; *text; text++) {
		if (*text < '0' || *text > '9')
			return false;
		n = n * 10 + (unsigned int)(*text - '0');
		if (n > max)
			return false;
	}
	*number = n;
	return true;
}

/* Parses the address before @sep. Returns the text after @sep, or NULL when malformed. */
static const char *split_ip(const char *text, char sep, uint32_t *ip)
{
	const char *end = strchr(text, sep);
	char buf[INET_ADDRSTRLEN];
	struct in_addr addr;

	if (!end || (size_t)(end - text) >= sizeof(buf))
		return NULL;
	memcpy(buf, text, (size_t)(end - text));
	buf[end - text] = 0;
	if (inet_pton(AF_INET, buf, &addr) != 1)
		return NULL;
	*ip = ntohl(addr.s_addr);
	return end + 1;
}

bool endpoint_parse(const char *text, struct endpoint *ep)
{
	unsigned int port;
	const char *rest = split_ip(text, ':', &ep->ip);

	if (!rest || !number_parse(rest, 65535, &port) || !port)
		return false;
	ep->port = (uint16_t)port;
	return true;
}

bool prefix_parse(const char *text, struct prefix *pfx)
{
	unsigned int bits;
	const char *rest = split_ip(text, '/', &pfx->ip);

	if (!rest || !number_parse(rest, 32, &bits))
		return false;
	pfx->mask = bits ? UINT32_MAX << (32 - bits) : 0;
	return (pfx->ip & ~pfx->mask) == 0;
}

void endpoint_format(struct endpoint ep, char text[ENDPOINT_TEXT_LEN])
{
	snprintf(text, ENDPOINT_TEXT_LEN, "%u.%u.%u.%u:%u", ep.ip >> 24, ep.ip >> 16 & 255,
		 ep.ip >> 8 & 255, ep.ip & 255, ep.port);
}

bool hex_parse(const char *text, uint8_t *bytes, size_t len)
{
	const char *end;
	size_t decoded;

	if (strlen(text) != 2 * len)
		return false;
	return !sodium_hex2bin(bytes, len, text, 2 * len, NULL, &decoded, &end) && decoded == len &&
	       !*end;
}

void hex_format(const uint8_t *bytes, size_t len, char *text)
{
	sodium_bin2hex(text, 2 * len + 1, bytes, len);
}
