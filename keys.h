/*
 * Ed25519 signing keys in files, in hexadecimal: NAME.key holds the secret key, NAME.pub the public
 * one.
 */
#ifndef KEYS_H
#define KEYS_H

#include <sodium.h>
#include <stdint.h>

#include "fault.h"

#define PUBLIC_KEY_BYTES crypto_sign_PUBLICKEYBYTES
#define SECRET_KEY_BYTES crypto_sign_SECRETKEYBYTES
#define SIGNATURE_BYTES	 crypto_sign_BYTES

struct signing_key {
	uint8_t secret[SECRET_KEY_BYTES];
	uint8_t public[PUBLIC_KEY_BYTES];
};

/*
 * Generates a key pair and writes @base.key (mode 0600) and @base.pub. Returns 0 or a negative
 * errno; -EEXIST when one of the files exists.
 */
int keys_generate(const char *base);

/* Return 0, or -EINVAL with an entry in @faults. */
int keys_read_secret(const char *path, struct signing_key *key, struct faults *faults);
int keys_read_public(const char *path, uint8_t key[PUBLIC_KEY_BYTES], struct faults *faults);

#endif
