/*
 * The packet path: reads batches from the packet and answer sockets, passes them to the core, and
 * sends the packets that result to targets and callers.
 */
#ifndef DATAPLANE_H
#define DATAPLANE_H

#include "core.h"
#include "udp.h"

/* Longest datagram of the fabric and of targets: the longest packet to pass on, plus GUE. */
#define DATAPLANE_BUFFER_BYTES 2304

struct dataplane {
	struct core *core;
	struct endpoint egress; /* destination of packets to callers */
	int packets;		/* socket of callers' packets; packets to callers leave from it */
	int answers;		/* socket of targets' answers; packets to targets leave from it */
	struct udp_in in;
	union {
		struct packet packets[UDP_BATCH];
		struct answer answers[UDP_BATCH];
	} batch; /* the datagrams of @in, decoded */
	struct udp_out to_targets;
	struct udp_out to_callers;
};

void dataplane_init(struct dataplane *dp, struct core *core, struct endpoint egress, int packets,
		    int answers);
void dataplane_release(struct dataplane *dp);

/*
 * Reads one batch from a socket and passes it to the core. Returns the number of datagrams, or a
 * negative errno.
 */
int dataplane_read_packets(struct dataplane *dp, struct timespec now, struct actions *acts);
int dataplane_read_answers(struct dataplane *dp, struct timespec now, struct actions *acts);

/*
 * Executes an ACTION_FORWARD, ACTION_ANSWER or ACTION_REFUSE of @acts; headers are written into the
 * headroom of its bytes.
 */
void dataplane_execute(struct dataplane *dp, struct actions *acts, const struct action *act);
/* Sends all queued datagrams; @acts may be reset afterwards. */
void dataplane_flush(struct dataplane *dp, struct actions *acts);
/* Number of packets that the kernel did not accept for sending. */
uint64_t dataplane_lost(const struct dataplane *dp);

#endif
