/*
 * Messages between instances: ONC RPC calls and replies, each sealed in one datagram.
 *
 * A message without a reply is a call with xid 0. A call with another xid is sent up to @tries
 * times; the receiver of a repeated call resends its reply instead of handling the call again, so
 * that no packet is forwarded twice. Every rejected datagram is counted and dropped.
 */
#ifndef PEER_ADAPTER_H
#define PEER_ADAPTER_H

#include "counters.h"
#include "event.h"
#include "random.h"
#include "seal.h"
#include "settings.h"

/* Largest payload of a UDP datagram over IPv4. */
#define PEER_MAX_DATAGRAM_BYTES 65507
#define PEER_RPC_HEADER_BYTES	40
/* Longest encoded message that fits one datagram with the RPC call header. */
#define PEER_MAX_MESSAGE_BYTES                                                                     \
	(PEER_MAX_DATAGRAM_BYTES - SEAL_OVERHEAD_BYTES - PEER_RPC_HEADER_BYTES)
/* Calls without a result; bounds memory when many homes do not reply. */
#define PEER_MAX_OPEN_CALLS 16384
#define PEER_TYPES	    (PEER_CREDIT_GRANT + 1)

struct peer_transport;

struct peer_transport_ops {
	/* Sends @len bytes to @dst as one datagram; a datagram that cannot be sent is lost. */
	void (*send)(struct peer_transport *tr, struct endpoint dst, const uint8_t *bytes,
		     size_t len);
};

struct peer_transport {
	const struct peer_transport_ops *ops;
};

struct peer_handler;

struct peer_handler_ops {
	/* A message (@xid 0) or call from @src; pass @xid to peer_send_reply(). */
	void (*message)(struct peer_handler *handler, uint32_t src, uint32_t xid,
			const peer_msg *msg);
	/* The one result of a peer_call(). @msg is NULL unless @status is CALL_OK. */
	void (*result)(struct peer_handler *handler, uint32_t src, uint64_t call_id,
		       enum call_status status, const peer_msg *msg);
	/* Sets the address at which @id receives messages; false if unknown. */
	bool (*endpoint)(struct peer_handler *handler, uint32_t id, struct endpoint *ep);
};

struct peer_handler {
	const struct peer_handler_ops *ops;
};

struct peer_options {
	uint32_t self;
	uint32_t incarnation;
	const struct peer_key *keys;
	size_t nr_keys;
	struct peer_transport *transport;
	struct peer_handler *handler;
	struct random *random;
	struct counters *counters;
};

/* Bytes of datagrams by type of message. */
struct peer_traffic {
	uint64_t in[PEER_TYPES];
	uint64_t out[PEER_TYPES];
};

struct peer;

struct peer *peer_new(const struct peer_options *opts);
void peer_free(struct peer *peer);

/*
 * Send an encoded peer_msg. Return 0, -EMSGSIZE when it does not fit one datagram, -EBADMSG when it
 * is too short to be a message, -EHOSTUNREACH when the address of @dst is not known.
 */
int peer_send(struct peer *peer, uint32_t dst, const uint8_t *bytes, size_t len);
int peer_send_reply(struct peer *peer, uint32_t dst, uint32_t xid, const uint8_t *bytes,
		    size_t len);

/*
 * Calls @dst. The handler gets exactly one result, at the latest after @tries times 1.25
 * @timeout_ms. A call that cannot be sent gets CALL_FAILED from the next peer_timer().
 */
void peer_call(struct peer *peer, struct timespec now, uint32_t dst, uint64_t call_id,
	       uint32_t timeout_ms, uint32_t tries, const uint8_t *bytes, size_t len);

/* Processes a datagram received from @src. */
void peer_receive(struct peer *peer, struct endpoint src, const uint8_t *bytes, size_t len);

/* Resends calls that are due and reports CALL_TIMEOUT for those without tries left. */
void peer_timer(struct peer *peer, struct timespec now);

const struct peer_traffic *peer_traffic(const struct peer *peer);
/* Calls without a result yet. */
size_t peer_calls_open(const struct peer *peer);

#endif
