/*
 * Wire format of packets: GUE variant 0 over UDP around IPv4 with TCP or UDP. Pure functions over
 * bytes; nothing is read past the given length.
 *
 * The GUE header has no optional fields. Its private data is empty or one entry with the time that
 * is left for the request:
 *
 *	 2 bits version 0 | 1 bit control 0 | 5 bits length of the rest in words: 0 or 2
 *	 8 bits protocol 4 (IPv4)
 *	16 bits flags 0
 *	[16 bits entry type GUE_ENTRY_DEADLINE | 16 bits length 4 | 32 bits time left in ms]
 */
#ifndef WIRE_GUE_H
#define WIRE_GUE_H

#include "packet.h"

#define GUE_BASE_BYTES	   4
#define GUE_MAX_BYTES	   12	  /* with a deadline entry */
#define GUE_ENTRY_DEADLINE 0x6a62 /* private type of this fleet */
#define RST_BYTES	   40	  /* IPv4 and TCP header without options */

enum wire_status {
	WIRE_OK,
	WIRE_MALFORMED,
	WIRE_FRAGMENT, /* part of a fragmented IPv4 packet: ports are not known */
	WIRE_NO_RESET, /* a packet that must not or cannot be answered with RST */
};

/* Strips the GUE header: *inner and *inner_len get the inner packet inside @bytes. */
enum wire_status gue_parse(const uint8_t *bytes, size_t len, int32_t *deadline_ms,
			   const uint8_t **inner, size_t *inner_len);

/*
 * Writes a GUE header to @out, with the deadline entry unless @deadline_ms is NO_DEADLINE. Returns
 * its length. The inner packet follows it.
 */
size_t gue_build(uint8_t out[GUE_MAX_BYTES], int32_t deadline_ms);

/* Parses an inner packet of a caller, without GUE. Sets everything but deadline_ms in @pkt. */
enum wire_status inner_parse(const uint8_t *bytes, size_t len, struct packet *pkt);

/* Parses a caller's packet in GUE. @pkt points into @bytes. */
enum wire_status wire_parse_packet(const uint8_t *bytes, size_t len, struct packet *pkt);

/* Parses a target's packet in GUE that came from @src. @ans points into @bytes. */
enum wire_status wire_parse_answer(const uint8_t *bytes, size_t len, struct endpoint src,
				   struct answer *ans);

/*
 * Builds the RST that answers a caller's inner packet. For an opening it is a refusal: RST with
 * ACK, sequence number 0, acknowledging the opening. Inside a flow it is a termination: RST
 * without ACK at the sequence number that the caller expects, so that it cannot be taken for a
 * refusal. WIRE_NO_RESET for UDP, for an RST, and for a packet in a flow without ACK.
 */
enum wire_status rst_build(const uint8_t *bytes, size_t len, uint8_t out[RST_BYTES]);

/* Internet checksum of @len bytes, starting from the unfolded @sum. For stand-ins and tests too. */
uint16_t inet_checksum(const uint8_t *bytes, size_t len, uint32_t sum);

#endif
