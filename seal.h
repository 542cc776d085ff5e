/*
 * Authenticated encryption of peer datagrams with XChaCha20-Poly1305, and the replay window.
 *
 *	1 byte key id | 4 bytes sender | 4 bytes incarnation | 8 bytes counter | 4 bytes salt |
 *	ciphertext | 16 bytes tag
 *
 * The nonce is sender, incarnation, counter, receiver and salt, so only the intended receiver can
 * open a datagram. A sender has a counter per receiver. The salt is a random number per process: it
 * keeps nonces unique when an incarnation is used twice because the clock was set back.
 */
#ifndef SEAL_H
#define SEAL_H

#include "settings.h"

#define SEAL_HEADER_BYTES    21
#define SEAL_OVERHEAD_BYTES  (SEAL_HEADER_BYTES + 16)
#define SEAL_WINDOW_COUNTERS 1024 /* counters below the highest one that are still accepted */
/* Senders with a replay window at one instance; a fleet has about 1,400 instances. */
#define SEAL_MAX_SENDERS 8192

enum seal_status {
	SEAL_OK,
	SEAL_MALFORMED,	  /* too short, or no sender */
	SEAL_UNAUTHENTIC, /* unknown key, altered, or for another receiver */
	SEAL_REPLAYED,	  /* duplicate, older than the window, or from an earlier incarnation */
};

struct seal_sender {
	uint32_t instance;
	uint32_t incarnation;
};

struct seal;

/* Seals with the first of @keys, opens with any of them. @salt is a random number. */
struct seal *seal_new(uint32_t self, uint32_t incarnation, const struct peer_key *keys,
		      size_t nr_keys, uint32_t salt);
void seal_free(struct seal *seal);

/* Appends @len bytes, sealed for @dst, to @out, which grows by @len + SEAL_OVERHEAD_BYTES. */
void seal_encrypt(struct seal *seal, uint32_t dst, const uint8_t *plain, size_t len,
		  GByteArray *out);

/*
 * Verifies and decrypts a datagram into @plain, which has room for @len bytes. Sets *plain_len and
 * *from when it returns SEAL_OK.
 */
enum seal_status seal_decrypt(struct seal *seal, const uint8_t *bytes, size_t len, uint8_t *plain,
			      size_t *plain_len, struct seal_sender *from);

#endif
