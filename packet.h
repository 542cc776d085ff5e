/* Decoded packets for the core, and the hash that identifies a flow. */
#ifndef PACKET_H
#define PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FLOW_KEY_BYTES 16
#define NO_DEADLINE    (-1)

/* IPv4 address and port, both in host byte order. */
struct endpoint {
	uint32_t ip;
	uint16_t port;
};

static inline bool endpoint_equal(struct endpoint a, struct endpoint b)
{
	return a.ip == b.ip && a.port == b.port;
}

/* Key of an endpoint in hash tables. */
static inline uint64_t address_key(struct endpoint ep)
{
	return (uint64_t)ep.ip << 16 | ep.port;
}

/* The address to which callers of a service send; identifies the service in messages. */
struct service_addr {
	struct endpoint ep;
	uint8_t proto; /* IPPROTO_TCP or IPPROTO_UDP */
};

/* The five-tuple of a flow, seen from the caller. */
struct flow_key {
	struct endpoint caller;
	struct service_addr service;
};

/* Keyed 64-bit hash (SipHash-2-4) of a flow; the same on all instances with the same @secret. */
uint64_t flow_hash(const struct flow_key *key, const unsigned char secret[FLOW_KEY_BYTES]);

enum packet_kind {
	PACKET_OPENING, /* TCP SYN */
	PACKET_DATA,	/* anything inside a flow; all UDP packets */
	PACKET_CLOSE,	/* TCP FIN */
	PACKET_CANCEL,	/* TCP RST from the caller */
};

/* A packet from a caller. */
struct packet {
	struct flow_key key;
	enum packet_kind kind;
	uint32_t opening_id;  /* TCP sequence number of an opening, else 0 */
	uint32_t payload_len; /* bytes that can be part of a request */
	int32_t deadline_ms;  /* time left when received, or NO_DEADLINE */
	uint64_t hash;	      /* flow_hash() of the key if core_prefetch() has run, else 0 */
	const uint8_t *bytes; /* the inner packet, owned by the caller of the core */
	size_t len;
};

enum answer_kind {
	ANSWER_ACCEPTED, /* TCP SYN with ACK */
	ANSWER_REFUSED,	 /* TCP RST with ACK and sequence number 0: no flow was opened */
	ANSWER_DATA,
	ANSWER_CLOSE,
	ANSWER_RESET,
};

/* A packet from a target to a caller. */
struct answer {
	struct flow_key key; /* of the flow, seen from the caller */
	struct endpoint target;
	enum answer_kind kind;
	uint32_t opening_id; /* sequence number of the opening that ACCEPTED or REFUSED answers */
	uint32_t payload_len;
	uint64_t hash; /* as in struct packet */
	const uint8_t *bytes;
	size_t len;
};

#endif
