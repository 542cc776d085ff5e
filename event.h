/*
 * Events that enter the decision core and actions that leave it. The core does no I/O and reads no
 * clock: an event carries its time, and the adapter carries out the actions in their order.
 */
#ifndef EVENT_H
#define EVENT_H

#include <glib.h>

#include "packet.h"
#include "proto/peer.h"
#include "timeutil.h"

/* Health and load of a target according to one probe. */
struct health_report {
	struct endpoint target;
	bool reachable;
	bool ready;		/* the target reports that it accepts new work */
	uint32_t start_marker;	/* changes when the target restarts, 0 if it reports none */
	uint32_t load_permille; /* of its own limit */
	uint32_t connections;
};

enum instance_phase {
	INSTANCE_LIVE,
	INSTANCE_LEAVING,
	INSTANCE_GONE, /* no longer listed */
};

/* An entry of the platform's list of instances, which may be out of date. */
struct instance_info {
	uint32_t id;
	char name[64];
	char group[64];
	char data_centre[64];
	struct endpoint peer; /* where it receives peer messages */
	enum instance_phase phase;
};

enum call_status {
	CALL_OK,
	CALL_TIMEOUT,
	CALL_CONFLICT,
	CALL_NOT_FOUND,
	CALL_FAILED,
};

/* A signed configuration object; document and signature are owned by the event's sender. */
struct object {
	peer_object_kind kind;
	const char *name;
	uint64_t generation;
	const uint8_t *document;
	size_t len;
	uint8_t signature[64];
};

enum event_type {
	EVENT_PACKET,
	EVENT_ANSWER,
	EVENT_HEALTH,
	EVENT_PEER,	  /* one-way message or call from a peer */
	EVENT_PEER_REPLY, /* result of a call that this instance made */
	EVENT_OBJECT,	  /* a configuration object from the platform or, verified, from a peer */
	EVENT_INSTANCES,  /* the platform's whole list of instances */
	EVENT_PLATFORM,	  /* platform became reachable or unreachable */
	EVENT_TIMER,	  /* at least every TIMER_INTERVAL_MS */
	EVENT_SHUTDOWN,	  /* planned stop: hand over the shards, then ACTION_STOP */
};

#define TIMER_INTERVAL_MS 50

struct event {
	enum event_type type;
	struct timespec now;
	union {
		struct packet packet;
		struct answer answer;
		struct health_report health;
		struct {
			uint32_t src; /* instance that sent it; verified by the seal */
			uint32_t xid; /* to be repeated in the reply; 0 for a one-way message */
			const peer_msg *msg;
		} peer;
		struct {
			uint32_t src;
			uint64_t call_id;
			enum call_status status;
			const peer_msg *msg; /* NULL unless status is CALL_OK */
		} reply;
		struct object object;
		struct {
			const struct instance_info *list;
			size_t nr;
		} instances;
		struct {
			bool reachable;
		} platform;
	};
};

enum action_type {
	ACTION_FORWARD, /* inner packet to a target */
	ACTION_ANSWER,	/* inner packet to its caller */
	ACTION_REFUSE,	/* reset to the caller of the packet in the bytes; the adapter builds it */
	ACTION_PEER_SEND,  /* one-way message */
	ACTION_PEER_CALL,  /* message with a reply: EVENT_PEER_REPLY with the same call_id */
	ACTION_PEER_REPLY, /* reply to an EVENT_PEER with xid */
	ACTION_PROBE,	   /* health probe and load poll of a target */
	ACTION_WATCH,	   /* start (on) or stop watching the platform's objects */
	ACTION_STOP,	   /* the planned stop is complete */
};

struct action {
	enum action_type type;
	struct endpoint target; /* FORWARD, PROBE */
	int32_t deadline_ms;	/* FORWARD: time left for the target, or NO_DEADLINE */
	uint32_t dst;		/* PEER_*: instance */
	uint32_t xid;		/* PEER_REPLY */
	uint64_t call_id;	/* PEER_CALL */
	uint32_t timeout_ms;	/* PEER_CALL: for each try */
	uint32_t tries;		/* PEER_CALL */
	bool on;		/* WATCH */
	size_t offset;		/* of the bytes in actions.data: inner packet or XDR message */
	size_t len;
};

/*
 * Free bytes in front of an action's bytes. The adapter writes the header of the datagram there and
 * sends both from one buffer.
 */
#define ACTION_HEADROOM 12

/* Actions with the bytes that they carry; reused from event to event. */
struct actions {
	GArray *list;	  /* struct action */
	GByteArray *data; /* packets and encoded messages */
};

void actions_init(struct actions *acts);
void actions_release(struct actions *acts);
void actions_reset(struct actions *acts);

static inline const struct action *actions_at(const struct actions *acts, size_t i)
{
	return &g_array_index(acts->list, struct action, i);
}

static inline const uint8_t *action_bytes(const struct actions *acts, const struct action *act)
{
	return acts->data->data + act->offset;
}

/* Appends @act with a copy of @bytes. */
void actions_add(struct actions *acts, struct action act, const uint8_t *bytes, size_t len);

/* Appends @act with @msg encoded as XDR. Returns 0, or -EMSGSIZE if it cannot be encoded. */
int actions_add_peer(struct actions *acts, struct action act, const peer_msg *msg);

/* Appends @msg, encoded as XDR, to @out. Returns 0, or -EMSGSIZE if it cannot be encoded. */
int peer_msg_encode(const peer_msg *msg, GByteArray *out);

/*
 * Decodes a message; the caller releases it with peer_msg_release(). Returns 0, or -EBADMSG when
 * it is malformed or followed by more bytes.
 */
int peer_msg_decode(peer_msg *msg, const uint8_t *bytes, size_t len);
void peer_msg_release(peer_msg *msg);

#endif
