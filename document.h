/*
 * Configuration documents: grants, organisations, data centres, templates and requests. Checks
 * against the schema and the rules over several keys, and signatures.
 */
#ifndef DOCUMENT_H
#define DOCUMENT_H

#include "jsontext.h"
#include "keys.h"
#include "peer.h"

enum document_kind {
	DOCUMENT_UNKNOWN,
	DOCUMENT_SETTINGS,
	DOCUMENT_GRANTS,
	DOCUMENT_ORGANISATION,
	DOCUMENT_DATA_CENTRE,
	DOCUMENT_REQUEST,
	DOCUMENT_TEMPLATE,
};

/* What a text is, from its keys. */
enum document_kind document_kind(json_object *root);

/*
 * Checks a document of any kind but settings, and adds the defaults of missing keys. Returns 0, or
 * -EINVAL with entries in @faults.
 */
int document_check(struct json_text *text, enum document_kind kind, struct faults *faults);

/*
 * Checks that an organisation's services and targets lie in its grant. A claim on an address of
 * another organisation names its holder. Returns 0, or -EINVAL with entries in @faults.
 */
int document_check_grant(const struct json_text *org, json_object *grants, struct faults *faults);

/* The grant of an organisation, or NULL. */
json_object *document_grant(json_object *grants, const char *org);

/* The platform's form of a document: its text and the signature over exactly this text. */
json_object *document_seal(json_object *root, const struct signing_key *key);

/*
 * The document of a platform object whose signature verifies under @key, or NULL. NULL for @key
 * accepts every signature.
 */
json_object *document_open(json_object *obj, const uint8_t key[PUBLIC_KEY_BYTES]);

#endif
