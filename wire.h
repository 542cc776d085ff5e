/* Interface to a platform's packet format, implemented by the platform's adapter. */
#ifndef WIRE_H
#define WIRE_H

#include "steer.h"

#define WIRE_MAX_BYTES 1400 /* longest datagram in either direction */

struct wire;

struct wire_ops {
	/* Decodes a caller's datagram. Returns false when it is malformed. */
	bool (*decode)(const struct wire *wire, const uint8_t *bytes, size_t size,
		       struct caller_packet *pkt);
	/*
	 * Writes the datagram that carries a caller's packet to a target into @out, which has room
	 * for WIRE_MAX_BYTES. Returns its size.
	 */
	size_t (*encode)(const struct wire *wire, uint64_t wire_id, uint32_t mark,
			 const uint8_t *bytes, size_t size, uint8_t *out);
	/* Likewise writes a reset from the service to the caller into @out. */
	size_t (*reset)(const struct wire *wire, const struct flow_addr *addr, uint32_t seq,
			uint8_t *out);
};

struct wire {
	const struct wire_ops *ops;
};

#endif
