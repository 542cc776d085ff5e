/*
 * Configuration documents: grants, organisations, data centres, templates and requests. Checks
 * them against the schema and across keys, and signs and verifies them.
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

/* Kind of a document, determined from its top-level keys. */
enum document_kind document_kind(json_object *root);

/*
 * Checks a document of any kind but settings, and adds the defaults of missing keys. Returns 0, or
 * -EINVAL with entries in @faults.
 */
int document_check(struct json_text *text, enum document_kind kind, struct faults *faults);

/*
 * Checks that an organisation's services and targets lie in its grant. For an address of another
 * organisation, the fault names that organisation. Returns 0, or -EINVAL with entries in @faults.
 */
int document_check_grant(const struct json_text *org, json_object *grants, struct faults *faults);

/* The grant of an organisation, or NULL. */
json_object *document_grant(json_object *grants, const char *org);

/* Platform object of a document: its text and the signature over exactly this text. */
json_object *document_sign(json_object *root, const struct signing_key *key);

/*
 * The document of a platform object, or NULL when its signature does not verify under @key or it
 * is malformed. With NULL for @key the signature is not checked.
 */
json_object *document_verify(json_object *obj, const uint8_t key[PUBLIC_KEY_BYTES]);

#endif
