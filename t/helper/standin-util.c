/* Options, sockets and time of the stand-ins. */
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "timeutil.h"

#define HTTP_READ_MS   200
#define UDP_BUFFER_LEN (4 << 20)

static volatile sig_atomic_t stopped;

static void on_signal(int sig)
{
	(void)sig;
	stopped = 1;
}

void standin_init(void)
{
	struct sigaction act = { .sa_handler = on_signal };

	sigaction(SIGTERM, &act, NULL);
	sigaction(SIGINT, &act, NULL);
	act.sa_handler = SIG_IGN;
	sigaction(SIGPIPE, &act, NULL);
	setvbuf(stdout, NULL, _IOLBF, 0);
}

bool running(void)
{
	return !stopped;
}

const char *opt_nth(int argc, char **argv, const char *name, unsigned int nth, const char *def)
{
	for (int i = 1; i + 1 < argc; i++) {
		if (!strcmp(argv[i], name) && !nth--)
			return argv[i + 1];
	}
	return def;
}

long opt_num(int argc, char **argv, const char *name, long def)
{
	const char *text = opt_nth(argc, argv, name, 0, NULL);

	return text ? strtol(text, NULL, 10) : def;
}

struct endpoint opt_endpoint(const char *text)
{
	const char *colon = text ? strchr(text, ':') : NULL;
	char host[32] = "";
	struct in_addr addr;

	if (colon && (size_t)(colon - text) < sizeof(host))
		memcpy(host, text, (size_t)(colon - text));
	if (!colon || inet_pton(AF_INET, host, &addr) != 1) {
		fprintf(stderr, "standin: bad address \"%s\"\n", text ? text : "");
		exit(2);
	}
	return (struct endpoint){
		.ip = ntohl(addr.s_addr),
		.port = (uint16_t)strtol(colon + 1, NULL, 10),
	};
}

int64_t now_ms(void)
{
	return ts_to_ms(clock_now(system_clock()));
}

uint32_t prng_below(uint64_t *state, uint32_t bound)
{
	/* splitmix64 */
	uint64_t z = (*state += 0x9e3779b97f4a7c15u);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	z ^= z >> 31;
	return (uint32_t)(z % bound);
}

static struct sockaddr_in to_sockaddr(struct endpoint ep)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(ep.port),
		.sin_addr.s_addr = htonl(ep.ip),
	};
}

static int bound_socket(int type, struct endpoint ep)
{
	struct sockaddr_in sin = to_sockaddr(ep);
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int one = 1;
	int len = UDP_BUFFER_LEN;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (type == SOCK_DGRAM)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &len, sizeof(len));
	if (fd < 0 || bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
		fprintf(stderr, "standin: bind %s:%u: %s\n", inet_ntoa(sin.sin_addr), ep.port,
			strerror(errno));
		exit(1);
	}
	return fd;
}

int udp_socket(struct endpoint ep)
{
	return bound_socket(SOCK_DGRAM, ep);
}

int tcp_listener(struct endpoint ep)
{
	int fd = bound_socket(SOCK_STREAM, ep);

	if (listen(fd, 64) < 0)
		exit(1);
	return fd;
}

void udp_send(int fd, struct endpoint to, const uint8_t *bytes, size_t len)
{
	struct sockaddr_in sin = to_sockaddr(to);

	/* A full buffer or a closed port loses the datagram, as a network does. */
	(void)!sendto(fd, bytes, len, 0, (struct sockaddr *)&sin, sizeof(sin));
}

size_t udp_receive(int fd, struct endpoint *from, uint8_t *bytes, size_t size)
{
	struct sockaddr_in sin = { 0 };
	socklen_t sin_len = sizeof(sin);
	ssize_t len = recvfrom(fd, bytes, size, 0, (struct sockaddr *)&sin, &sin_len);

	if (len <= 0)
		return 0;
	*from = (struct endpoint){ ntohl(sin.sin_addr.s_addr), ntohs(sin.sin_port) };
	return (size_t)len;
}

void http_answer(int listener, http_reply_fn reply, void *arg)
{
	struct pollfd pfd = { .events = POLLIN };
	char request[2048];
	char path[256] = "/";
	GString *body;
	const char *status;
	ssize_t len;

	pfd.fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
	if (pfd.fd < 0)
		return;
	len = poll(&pfd, 1, HTTP_READ_MS) > 0 ? read(pfd.fd, request, sizeof(request) - 1) : -1;
	if (len > 0) {
		request[len] = '\0';
		(void)!sscanf(request, "%*15s %255s", path);
		body = g_string_new(NULL);
		status = reply(path, body, arg);
		dprintf(pfd.fd,
			"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n"
			"Connection: close\r\n\r\n%s",
			status, body->len, body->str);
		g_string_free(body, TRUE);
	}
	close(pfd.fd);
}
