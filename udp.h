/*
 * Datagrams in batches: one recvmmsg or sendmmsg call for up to 64 of them. Sockets do not block;
 * what does not fit into a full send buffer is dropped, as on any link, and counted in
 * udp_out.lost.
 */
#ifndef UDP_H
#define UDP_H

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "packet.h"

#define UDP_BATCH 64
/* Kernel buffer: some 20 ms of 200-byte packets at 200,000 a second, with the kernel's overhead. */
#define UDP_BUFFER_BYTES (4 * 1024 * 1024)

/* Returns a socket bound to @ep, or a negative errno. */
int udp_open(struct endpoint ep);

struct udp_in {
	size_t size; /* of one buffer */
	uint8_t *buffers;
	struct iovec iovs[UDP_BATCH];
	struct sockaddr_in addrs[UDP_BATCH];
	struct mmsghdr msgs[UDP_BATCH];
};

/* Buffers for datagrams of up to @size bytes. */
void udp_in_init(struct udp_in *in, size_t size);
void udp_in_release(struct udp_in *in);

/* Reads up to UDP_BATCH datagrams from @fd. Returns their number, or a negative errno. */
int udp_in_receive(struct udp_in *in, int fd);

/* Datagram @i of the last batch. Returns false when it was longer than its buffer. */
static inline bool udp_in_at(const struct udp_in *in, int i, const uint8_t **bytes, size_t *len,
			     struct endpoint *src)
{
	*bytes = in->iovs[i].iov_base;
	*len = in->msgs[i].msg_len;
	*src = (struct endpoint){ ntohl(in->addrs[i].sin_addr.s_addr),
				  ntohs(in->addrs[i].sin_port) };
	return !(in->msgs[i].msg_hdr.msg_flags & MSG_TRUNC);
}

/* Datagrams to send, given as offsets into a buffer that may move as it grows. */
struct udp_out {
	int fd;
	unsigned int nr;
	size_t offsets[UDP_BATCH];
	struct iovec iovs[UDP_BATCH];
	struct sockaddr_in addrs[UDP_BATCH];
	struct mmsghdr msgs[UDP_BATCH];
	uint64_t lost; /* datagrams that the kernel did not accept */
};

void udp_out_init(struct udp_out *out, int fd);

static inline bool udp_out_full(const struct udp_out *out)
{
	return out->nr == UDP_BATCH;
}

/* Adds a datagram of @len bytes at @offset of the buffer, to @dst. @out must not be full. */
static inline void udp_out_add(struct udp_out *out, struct endpoint dst, size_t offset, size_t len)
{
	unsigned int i = out->nr++;

	out->addrs[i].sin_addr.s_addr = htonl(dst.ip);
	out->addrs[i].sin_port = htons(dst.port);
	out->offsets[i] = offset;
	out->iovs[i].iov_len = len;
}

/* Sends all added datagrams; their offsets are relative to @buffer. */
void udp_out_flush(struct udp_out *out, uint8_t *buffer);

#endif
