#include "packet.h"

#include <sodium.h>

uint64_t flow_hash(const struct flow_key *key, const unsigned char secret[FLOW_KEY_BYTES])
{
	unsigned char in[13];
	uint64_t hash;

	_Static_assert(FLOW_KEY_BYTES == crypto_shorthash_KEYBYTES, "SipHash key size");
	_Static_assert(sizeof(hash) == crypto_shorthash_BYTES, "SipHash output size");
	in[0] = (unsigned char)(key->caller.ip >> 24);
	in[1] = (unsigned char)(key->caller.ip >> 16);
	in[2] = (unsigned char)(key->caller.ip >> 8);
	in[3] = (unsigned char)key->caller.ip;
	in[4] = (unsigned char)(key->caller.port >> 8);
	in[5] = (unsigned char)key->caller.port;
	in[6] = (unsigned char)(key->service.ep.ip >> 24);
	in[7] = (unsigned char)(key->service.ep.ip >> 16);
	in[8] = (unsigned char)(key->service.ep.ip >> 8);
	in[9] = (unsigned char)key->service.ep.ip;
	in[10] = (unsigned char)(key->service.ep.port >> 8);
	in[11] = (unsigned char)key->service.ep.port;
	in[12] = key->service.proto;
	crypto_shorthash((unsigned char *)&hash, in, sizeof(in), secret);
	return hash;
}
