/*
 * Configuration in force on one instance: organisations, services, targets and data centres,
 * compiled from the signed documents. A pointer to a service or target is valid until the next
 * config_apply(). The index of a target, organisation or data centre stays the same for the
 * life of the process.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "event.h"
#include "packet.h"

#define TARGET_NONE UINT32_MAX

/* Configuration of a target. A server may belong to one service only. */
struct target_config {
	uint32_t index; /* identifies the (service, endpoint) pair */
	struct endpoint ep;
	char *name;
	uint16_t dc;	    /* index for config_dc() */
	uint32_t slots;	    /* requests processed concurrently */
	uint32_t max_flows; /* limit of concurrent connections */
	uint32_t warmup_ms;
	struct endpoint health; /* HTTP health and load endpoint */
	bool draining;		/* gets no new flows */
};

struct service {
	struct service_addr addr;
	uint32_t org;
	char *name;
	uint32_t idle_timeout_ms;
	uint32_t silence_ms;	 /* 0 disables silence detection */
	uint32_t retry_permille; /* retry budget per 1000 openings */
	uint32_t max_new_flows;	 /* per second and entry group, 0: no limit; not enforced yet */
	uint32_t slo_permille;	 /* objective for the burn report: share of good flows */
	GArray *targets;	 /* struct target_config */
};

struct organisation {
	uint32_t index;
	char *name;
	uint64_t generation;
	uint32_t max_flows;  /* quota in the flow cache of each instance */
	GPtrArray *services; /* struct service */
	GArray *withdrawn;   /* uint16_t: data centres withdrawn for this organisation only */
};

struct data_centre {
	char *name;
	uint64_t generation;
	bool withdrawn;
};

#define SIGNING_KEY_BYTES 32

struct config;

/*
 * @fleet_key verifies the documents of grants and data centres. With NULL no signature is checked,
 * for replay and tests.
 */
struct config *config_new(const uint8_t *fleet_key);
void config_free(struct config *cfg);

/*
 * Applies a document. Returns 1 when it is now in force, 0 when the generation in force is the same
 * or higher, -EBADMSG when the document is malformed, -EPERM when the signature does not verify,
 * -ENOKEY when the grants that are in force do not name its organisation.
 */
int config_apply(struct config *cfg, const struct object *obj);

/* Whether any service is in force. */
bool config_ready(const struct config *cfg);

/* Service at an address, or NULL. */
struct service *config_service(const struct config *cfg, struct service_addr addr);

/* Target of a service by endpoint, or NULL. */
struct target_config *config_target(const struct config *cfg, const struct service *svc,
				    struct endpoint ep);

/* Target by interned index, or NULL when it is not in force. Sets *svc, which may be NULL. */
struct target_config *config_target_by_index(const struct config *cfg, uint32_t index,
					     struct service **svc);

/* Whether @dc is withdrawn for all organisations or for @org: no packets may be sent there. */
bool config_withdrawn(const struct config *cfg, uint32_t org, uint16_t dc);

/* Calls @fn for each service in force. */
void config_each_service(const struct config *cfg, void (*fn)(struct service *svc, void *arg),
			 void *arg);

struct organisation *config_organisation(const struct config *cfg, uint32_t index);
/* Index of a data centre by name; an unknown name gets a new index. */
uint16_t config_dc_index(struct config *cfg, const char *name);
const struct data_centre *config_dc(const struct config *cfg, uint16_t index);

/* The object in force of that kind and name, with its document and signature, or NULL. */
const struct object *config_object(const struct config *cfg, peer_object_kind kind,
				   const char *name);
/* All objects in force: calls @fn for each. */
void config_each_object(const struct config *cfg, void (*fn)(const struct object *obj, void *arg),
			void *arg);
/* Hash over kinds, names and generations in force; equal digests mean equal versions. */
uint64_t config_digest(const struct config *cfg);

#endif
