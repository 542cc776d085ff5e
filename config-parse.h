/*
 * Parses signed documents into the structures of config.h. Organisations write their documents
 * themselves, so every field is checked.
 */
#ifndef CONFIG_PARSE_H
#define CONFIG_PARSE_H

#include "address.h"
#include "config.h"

/* Key, quota and address ranges of one organisation. */
struct grant {
	char *name;
	uint8_t key[SIGNING_KEY_BYTES]; /* verifies the organisation's document */
	uint32_t max_flows;
	GArray *addresses; /* struct prefix: ranges for services */
	GArray *targets;   /* struct prefix: ranges for targets */
};

void grant_free(struct grant *grant);
bool ranges_contain(const GArray *ranges, uint32_t ip);

/* Frees a service and its targets. */
void service_free(struct service *svc);

struct org_document {
	uint32_t max_flows;
	GPtrArray *services; /* struct service, owned */
	GArray *withdrawn;   /* uint16_t */
};

/*
 * All parsers return 0, or -EBADMSG when the document is not valid JSON, a field has a wrong type
 * or is out of range, or the document's name or generation differ from those of @obj.
 */
int parse_grants(const struct object *obj, GPtrArray **grants);
int parse_organisation(struct config *cfg, const struct object *obj, struct org_document *doc);
int parse_data_centre(const struct object *obj, bool *withdrawn);
void org_document_release(struct org_document *doc);

#endif
