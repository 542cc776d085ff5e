/*
 * Shared parts of the stand-ins: command-line options, GUE with inner IPv4 and TCP, and a minimal
 * TCP endpoint. They are written apart from wire-gue.c, so that a fault there does not hide itself.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "packet.h"

int standin_target(int argc, char **argv);
int standin_fabric(int argc, char **argv);
int standin_platform(int argc, char **argv);
int standin_caller(int argc, char **argv);

/* Value of "--name VALUE", the @nth time it is given (from 0), or @def. */
const char *opt_nth(int argc, char **argv, const char *name, unsigned int nth, const char *def);
long opt_num(int argc, char **argv, const char *name, long def);
/* Parses "IP:PORT"; ends the program when it is malformed. */
struct endpoint opt_endpoint(const char *text);

int64_t now_ms(void);
/* Deterministic numbers: the state is one 64-bit word. */
uint32_t prng_below(uint64_t *state, uint32_t bound);
/* Non-blocking UDP socket bound to @ep with SO_REUSEADDR; ends the program on failure. */
int udp_socket(struct endpoint ep);
int tcp_listener(struct endpoint ep);
void udp_send(int fd, struct endpoint to, const uint8_t *bytes, size_t len);
/* Returns the length, or 0 when nothing is waiting. */
size_t udp_receive(int fd, struct endpoint *from, uint8_t *bytes, size_t size);
/* Reads the request line of an HTTP connection with a bound on time, answers, closes. */
typedef const char *(*http_reply_fn)(const char *path, GString *body, void *arg);
void http_answer(int listener, http_reply_fn reply, void *arg);
/* False after SIGTERM or SIGINT; standin_init() installs the handlers. */
bool running(void);
void standin_init(void);

#define SEG_FIN	   0x01
#define SEG_SYN	   0x02
#define SEG_RST	   0x04
#define SEG_ACK	   0x10
#define SEG_MSS	   1200
#define SEG_BUFFER 2048

struct seg {
	struct endpoint src;
	struct endpoint dst;
	uint32_t seq;
	uint32_t ack;
	uint8_t flags;
	int32_t deadline_ms; /* GUE private data, or NO_DEADLINE */
	const uint8_t *data;
	size_t len;
};

/* Builds a whole GUE datagram; returns its length. */
size_t seg_build(const struct seg *seg, uint8_t out[SEG_BUFFER]);
/* False when malformed or a checksum does not hold. */
bool seg_parse(const uint8_t *bytes, size_t len, struct seg *seg);

enum conn_state {
	CONN_SYN_SENT,
	CONN_OPEN,
	CONN_REFUSED,
	CONN_RESET,
	CONN_DONE, /* both sides closed */
};

/* One end of a TCP connection: in-order receive, go-back-N retransmission, fixed window. */
struct conn {
	struct endpoint local;
	struct endpoint remote;
	enum conn_state state;
	uint32_t iss;
	uint32_t irs;
	uint32_t una; /* first byte not acknowledged */
	uint32_t nxt;
	uint32_t rcv;	 /* next byte expected */
	GByteArray *out; /* from una on, without SYN and FIN */
	GByteArray *in;	 /* received and not consumed */
	bool fin;	 /* close after out */
	bool fin_acked;
	bool peer_fin;
	int64_t sent_ms;
	unsigned int tries;
	unsigned int strays; /* segments that belong to no state of this connection */
	void (*send)(struct conn *conn, const struct seg *seg);
	void *owner;
};

void conn_connect(struct conn *conn, int64_t now);
void conn_accept(struct conn *conn, const struct seg *syn, int64_t now);
void conn_input(struct conn *conn, const struct seg *seg, int64_t now);
/* Sends what the window takes. */
void conn_output(struct conn *conn, int64_t now);
void conn_timer(struct conn *conn, int64_t now);
void conn_release(struct conn *conn);

/* Byte @i of the answer to request @id. */
static inline uint8_t answer_byte(uint32_t id, uint32_t i)
{
	return (uint8_t)(id * 31 + i * 7 + (i >> 8));
}

#endif
