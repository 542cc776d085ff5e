#include "seal.h"

#include <sodium.h>
#include <string.h>

#define WINDOW_WORDS (SEAL_WINDOW_COUNTERS / 64)

/* Counters received from one sender. Bit n of @seen is for the counter that is n modulo 1024. */
struct window {
	uint32_t incarnation;
	uint64_t highest;
	uint64_t seen[WINDOW_WORDS];
};

struct seal {
	uint32_t self;
	uint32_t incarnation;
	uint32_t salt;
	struct peer_key keys[SETTINGS_MAX_PEER_KEYS];
	size_t nr_keys;
	GHashTable *windows;  /* sender -> struct window */
	GHashTable *counters; /* receiver -> uint64_t, last counter used */
};

static void put_be32(uint8_t *p, uint32_t v)
{
	v = GUINT32_TO_BE(v);
	memcpy(p, &v, sizeof(v));
}

static void put_be64(uint8_t *p, uint64_t v)
{
	v = GUINT64_TO_BE(v);
	memcpy(p, &v, sizeof(v));
}

static uint32_t get_be32(const uint8_t *p)
{
	uint32_t v;

	memcpy(&v, p, sizeof(v));
	return GUINT32_FROM_BE(v);
}

static uint64_t get_be64(const uint8_t *p)
{
	uint64_t v;

	memcpy(&v, p, sizeof(v));
	return GUINT64_FROM_BE(v);
}

struct seal *seal_new(uint32_t self, uint32_t incarnation, const struct peer_key *keys,
		      size_t nr_keys, uint32_t salt)
{
	struct seal *seal = g_new0(struct seal, 1);

	_Static_assert(PEER_KEY_BYTES == crypto_aead_xchacha20poly1305_ietf_KEYBYTES, "key size");
	_Static_assert(SEAL_OVERHEAD_BYTES ==
			       SEAL_HEADER_BYTES + crypto_aead_xchacha20poly1305_ietf_ABYTES,
		       "tag size");
	g_assert(nr_keys >= 1 && nr_keys <= SETTINGS_MAX_PEER_KEYS);
	seal->self = self;
	seal->incarnation = incarnation;
	seal->salt = salt;
	memcpy(seal->keys, keys, nr_keys * sizeof(*keys));
	seal->nr_keys = nr_keys;
	seal->windows = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	seal->counters = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return seal;
}

void seal_free(struct seal *seal)
{
	if (!seal)
		return;
	g_hash_table_unref(seal->windows);
	g_hash_table_unref(seal->counters);
	sodium_memzero(seal->keys, sizeof(seal->keys));
	g_free(seal);
}

/* Nonce of a datagram with @header for @dst. */
static void make_nonce(uint8_t nonce[crypto_aead_xchacha20poly1305_ietf_NPUBBYTES],
		       const uint8_t *header, uint32_t dst)
{
	memcpy(nonce, header + 1, SEAL_HEADER_BYTES - 1);
	put_be32(nonce + SEAL_HEADER_BYTES - 1, dst);
}

static uint64_t next_counter(struct seal *seal, uint32_t dst)
{
	uint64_t *counter = g_hash_table_lookup(seal->counters, GUINT_TO_POINTER(dst));

	if (!counter) {
		counter = g_new0(uint64_t, 1);
		g_hash_table_insert(seal->counters, GUINT_TO_POINTER(dst), counter);
	}
	return ++*counter;
}

void seal_encrypt(struct seal *seal, uint32_t dst, const uint8_t *plain, size_t len,
		  GByteArray *out)
{
	uint8_t nonce[crypto_aead_xchacha20poly1305_ietf_NPUBBYTES];
	guint before = out->len;
	uint8_t *header;

	g_byte_array_set_size(out, before + (guint)(len + SEAL_OVERHEAD_BYTES));
	header = out->data + before;
	header[0] = seal->keys[0].id;
	put_be32(header + 1, seal->self);
	put_be32(header + 5, seal->incarnation);
	put_be64(header + 9, next_counter(seal, dst));
	put_be32(header + 17, seal->salt);
	make_nonce(nonce, header, dst);
	crypto_aead_xchacha20poly1305_ietf_encrypt(header + SEAL_HEADER_BYTES, NULL, plain, len,
						   header, SEAL_HEADER_BYTES, NULL, nonce,
						   seal->keys[0].key);
}

/* Whether a counter is no replay; window_mark() must follow once the datagram is verified. */
static bool window_accepts(const struct window *win, uint32_t incarnation, uint64_t counter)
{
	if (!win || incarnation > win->incarnation)
		return true;
	if (incarnation < win->incarnation)
		return false;
	if (counter > win->highest)
		return true;
	if (win->highest - counter >= SEAL_WINDOW_COUNTERS)
		return false;
	return !(win->seen[counter % SEAL_WINDOW_COUNTERS / 64] >> (counter % 64) & 1);
}

static void window_mark(struct window *win, uint32_t incarnation, uint64_t counter)
{
	if (incarnation != win->incarnation || counter >= win->highest + SEAL_WINDOW_COUNTERS) {
		memset(win->seen, 0, sizeof(win->seen));
		win->incarnation = incarnation;
		win->highest = counter;
	}
	while (win->highest < counter) {
		win->highest++;
		win->seen[win->highest % SEAL_WINDOW_COUNTERS / 64] &=
			~(1ULL << (win->highest % 64));
	}
	win->seen[counter % SEAL_WINDOW_COUNTERS / 64] |= 1ULL << (counter % 64);
}

static const uint8_t *find_key(const struct seal *seal, uint8_t id)
{
	for (size_t i = 0; i < seal->nr_keys; i++) {
		if (seal->keys[i].id == id)
			return seal->keys[i].key;
	}
	return NULL;
}

enum seal_status seal_decrypt(struct seal *seal, const uint8_t *bytes, size_t len, uint8_t *plain,
			      size_t *plain_len, struct seal_sender *from)
{
	uint8_t nonce[crypto_aead_xchacha20poly1305_ietf_NPUBBYTES];
	const uint8_t *key;
	struct window *win;
	uint64_t counter;
	unsigned long long out_len;

	if (len < SEAL_OVERHEAD_BYTES)
		return SEAL_MALFORMED;
	*from = (struct seal_sender){ get_be32(bytes + 1), get_be32(bytes + 5) };
	counter = get_be64(bytes + 9);
	/* No instance has id 0; the receiver's own id means a reflected datagram. */
	if (!from->instance || from->instance == seal->self)
		return SEAL_UNAUTHENTIC;
	key = find_key(seal, bytes[0]);
	if (!key)
		return SEAL_UNAUTHENTIC;
	make_nonce(nonce, bytes, seal->self);
	if (crypto_aead_xchacha20poly1305_ietf_decrypt(
		    plain, &out_len, NULL, bytes + SEAL_HEADER_BYTES, len - SEAL_HEADER_BYTES,
		    bytes, SEAL_HEADER_BYTES, nonce, key))
		return SEAL_UNAUTHENTIC;
	win = g_hash_table_lookup(seal->windows, GUINT_TO_POINTER(from->instance));
	if (!window_accepts(win, from->incarnation, counter))
		return SEAL_REPLAYED;
	if (!win) {
		if (g_hash_table_size(seal->windows) >= SEAL_MAX_SENDERS)
			return SEAL_UNAUTHENTIC;
		win = g_new0(struct window, 1);
		g_hash_table_insert(seal->windows, GUINT_TO_POINTER(from->instance), win);
	}
	window_mark(win, from->incarnation, counter);
	*plain_len = (size_t)out_len;
	return SEAL_OK;
}
