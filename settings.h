/*
 * Settings of one instance: a JSON file with comments, checked against proto/settings.schema. All
 * faults of a file are reported at once, each with file, line and key.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include <glib.h>

#include "event.h"
#include "fault.h"

#define PEER_KEY_BYTES	       32
#define SETTINGS_MAX_PEER_KEYS 2

struct peer_key {
	uint8_t id;
	uint8_t key[PEER_KEY_BYTES];
};

struct settings {
	uint32_t id; /* of the instance, unique in the fleet, at least 1 */
	GString *name;
	GString *group; /* entry group: instances among which the fabric spreads packets */
	GString *data_centre;
	struct endpoint packets;  /* UDP: GUE packets from callers */
	struct endpoint answers;  /* UDP: GUE packets from targets */
	struct endpoint peers;	  /* UDP: encrypted peer messages */
	struct endpoint admin;	  /* TCP: metrics, health and status over HTTP */
	struct endpoint egress;	  /* UDP: the fabric's endpoint for GUE packets to callers */
	struct endpoint platform; /* TCP: the platform's object API over HTTP */
	uint8_t flow_key[FLOW_KEY_BYTES];
	struct peer_key peer_keys[SETTINGS_MAX_PEER_KEYS]; /* the first encrypts, all decrypt */
	size_t nr_peer_keys;
	uint8_t fleet_key[32]; /* the fleet operator's public key */
	GArray *seeds;	       /* struct instance_info: peers to contact at start */
	uint32_t max_flows;    /* size of the flow cache */
	GString *log_level;    /* error, warn, info or debug */
};

void settings_init(struct settings *set);
void settings_release(struct settings *set);

/*
 * Reads @path into @set. Returns 0, or -EINVAL with at least one entry in @faults; a file that
 * cannot be read is a fault too.
 */
int settings_read(struct settings *set, const char *path, struct faults *faults);

#endif
