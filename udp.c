#include "udp.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

int udp_open(struct endpoint ep)
{
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(ep.ip),
		.sin_port = htons(ep.port),
	};
	int size = UDP_BUFFER_BYTES;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int ret;

	if (fd < 0)
		return -errno;
	/* The kernel caps the sizes at its limits; a smaller buffer only overflows sooner. */
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	if (!bind(fd, (struct sockaddr *)&sa, sizeof(sa)))
		return fd;
	ret = -errno;
	close(fd);
	return ret;
}

void udp_in_init(struct udp_in *in, size_t size)
{
	memset(in, 0, sizeof(*in));
	in->size = size;
	in->buffers = g_malloc(size * UDP_BATCH);
	for (int i = 0; i < UDP_BATCH; i++) {
		in->iovs[i] = (struct iovec){ in->buffers + (size_t)i * size, size };
		in->msgs[i].msg_hdr = (struct msghdr){
			.msg_name = &in->addrs[i],
			.msg_iov = &in->iovs[i],
			.msg_iovlen = 1,
		};
	}
}

void udp_in_release(struct udp_in *in)
{
	g_free(in->buffers);
	in->buffers = NULL;
}

int udp_in_receive(struct udp_in *in, int fd)
{
	int nr;

	for (int i = 0; i < UDP_BATCH; i++)
		in->msgs[i].msg_hdr.msg_namelen = sizeof(in->addrs[i]);
	do {
		nr = recvmmsg(fd, in->msgs, UDP_BATCH, MSG_DONTWAIT, NULL);
	} while (nr < 0 && errno == EINTR);
	return nr < 0 ? -errno : nr;
}

void udp_out_init(struct udp_out *out, int fd)
{
	memset(out, 0, sizeof(*out));
	out->fd = fd;
	for (int i = 0; i < UDP_BATCH; i++) {
		out->addrs[i].sin_family = AF_INET;
		out->msgs[i].msg_hdr = (struct msghdr){
			.msg_name = &out->addrs[i],
			.msg_namelen = sizeof(out->addrs[i]),
			.msg_iov = &out->iovs[i],
			.msg_iovlen = 1,
		};
	}
}

void udp_out_flush(struct udp_out *out, uint8_t *buffer)
{
	unsigned int done = 0;
	int nr;

	for (unsigned int i = 0; i < out->nr; i++)
		out->iovs[i].iov_base = buffer + out->offsets[i];
	while (done < out->nr) {
		nr = sendmmsg(out->fd, out->msgs + done, out->nr - done, MSG_DONTWAIT);
		if (nr > 0) {
			done += (unsigned int)nr;
			continue;
		}
		if (nr < 0 && errno == EINTR)
			continue;
		if (nr < 0 && errno == EAGAIN) {
			out->lost += out->nr - done;
			break;
		}
		/* An error, such as a refused port, concerns one datagram; the rest may succeed. */
		out->lost++;
		done++;
	}
	out->nr = 0;
}
