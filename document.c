#include "document.h"

#include <errno.h>
#include <string.h>

#include "address.h"
#include "config.h"
#include "proto/documents-gen.h"

#define SIGNATURE_TEXT_BYTES (2 * SIGNATURE_BYTES + 1)

enum document_kind document_kind(json_object *root)
{
	static const struct {
		const char *key;
		const char *second_key;
		enum document_kind kind;
	} kind_keys[] = {
		/* Settings contain "data_centre" too, so they are matched first. */
		{ "flow_key", NULL, DOCUMENT_SETTINGS },
		{ "peer_keys", NULL, DOCUMENT_SETTINGS },
		{ "grants", NULL, DOCUMENT_GRANTS },
		{ "organisation", "services", DOCUMENT_ORGANISATION },
		{ "organisation", NULL, DOCUMENT_REQUEST },
		{ "template", NULL, DOCUMENT_TEMPLATE },
		{ "data_centre", "state", DOCUMENT_DATA_CENTRE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(kind_keys); i++) {
		if (json_object_object_get_ex(root, kind_keys[i].key, NULL) &&
		    (!kind_keys[i].second_key ||
		     json_object_object_get_ex(root, kind_keys[i].second_key, NULL)))
			return kind_keys[i].kind;
	}
	return DOCUMENT_UNKNOWN;
}

static const struct schema *schema_of(enum document_kind kind)
{
	switch (kind) {
	case DOCUMENT_GRANTS:
		return &grants_schema;
	case DOCUMENT_ORGANISATION:
		return &organisation_schema;
	case DOCUMENT_DATA_CENTRE:
		return &data_centre_schema;
	case DOCUMENT_REQUEST:
		return &request_schema;
	case DOCUMENT_TEMPLATE:
		return &template_schema;
	default:
		return NULL;
	}
}

/* Values that must be unique, each with the path of its first occurrence. */
struct unique_set {
	const struct json_text *text;
	struct faults *faults;
	GHashTable *first_paths;
};

static void unique_init(struct unique_set *set, const struct json_text *text, struct faults *faults)
{
	*set = (struct unique_set){
		.text = text,
		.faults = faults,
		.first_paths = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
	};
}

static void unique_release(struct unique_set *set)
{
	g_hash_table_unref(set->first_paths);
}

/* Takes ownership of @path and @value. */
static void unique_add(struct unique_set *set, gchar *path, gchar *value)
{
	const char *first = g_hash_table_lookup(set->first_paths, value);

	if (!first) {
		g_hash_table_insert(set->first_paths, value, path);
		return;
	}
	faults_add(set->faults, set->text->file->str, json_text_line(set->text, path), path,
		   "is the same as %s", first);
	g_free(path);
	g_free(value);
}

static void check_ranges(const struct json_text *text, const char *key, struct faults *faults)
{
	struct {
		struct prefix pfx;
		size_t org;
		gchar *path;
	} range;
	GArray *ranges = g_array_new(FALSE, FALSE, sizeof(range));

	for (size_t i = 0; i < json_len(text->root, "organisations"); i++) {
		json_object *org = json_item(text->root, "organisations", i);

		for (size_t j = 0; j < json_len(org, key); j++) {
			prefix_parse(json_object_get_string(json_item(org, key, j)), &range.pfx);
			range.org = i;
			range.path = g_strdup_printf("organisations[%zu].%s[%zu]", i, key, j);
			for (guint k = 0; k < ranges->len; k++) {
				__typeof__(range) *old =
					&g_array_index(ranges, __typeof__(range), k);

				if (old->org != i && prefix_overlap(old->pfx, range.pfx))
					faults_add(faults, text->file->str,
						   json_text_line(text, range.path), range.path,
						   "overlaps with %s", old->path);
			}
			g_array_append_val(ranges, range);
		}
	}
	for (guint k = 0; k < ranges->len; k++)
		g_free(g_array_index(ranges, __typeof__(range), k).path);
	g_array_unref(ranges);
}

static void check_grants(const struct json_text *text, struct faults *faults)
{
	struct unique_set names;

	unique_init(&names, text, faults);
	for (size_t i = 0; i < json_len(text->root, "organisations"); i++)
		unique_add(&names, g_strdup_printf("organisations[%zu].name", i),
			   g_strdup(json_str(json_item(text->root, "organisations", i), "name")));
	unique_release(&names);
	check_ranges(text, "addresses", faults);
	check_ranges(text, "targets", faults);
}

static void check_targets(const struct json_text *text, size_t i, struct unique_set *servers,
			  struct faults *faults)
{
	json_object *svc = json_item(text->root, "services", i);
	struct unique_set names;

	unique_init(&names, text, faults);
	for (size_t j = 0; j < json_len(svc, "targets"); j++) {
		json_object *tgt = json_item(svc, "targets", j);

		unique_add(&names, g_strdup_printf("services[%zu].targets[%zu].name", i, j),
			   g_strdup(json_str(tgt, "name")));
		unique_add(servers, g_strdup_printf("services[%zu].targets[%zu].address", i, j),
			   g_strdup(json_str(tgt, "address")));
	}
	unique_release(&names);
}

static void check_organisation(const struct json_text *text, struct faults *faults)
{
	struct unique_set names;
	struct unique_set addresses;
	struct unique_set servers; /* a server may belong to one service only */

	unique_init(&names, text, faults);
	unique_init(&addresses, text, faults);
	unique_init(&servers, text, faults);
	for (size_t i = 0; i < json_len(text->root, "services"); i++) {
		json_object *svc = json_item(text->root, "services", i);

		unique_add(&names, g_strdup_printf("services[%zu].name", i),
			   g_strdup(json_str(svc, "name")));
		unique_add(&addresses, g_strdup_printf("services[%zu].address", i),
			   g_strdup_printf("%s/%s", json_str(svc, "address"),
					   json_str(svc, "protocol")));
		check_targets(text, i, &servers, faults);
	}
	unique_release(&names);
	unique_release(&addresses);
	unique_release(&servers);
}

static void check_template(const struct json_text *text, struct faults *faults)
{
	struct unique_set names;

	unique_init(&names, text, faults);
	for (size_t i = 0; i < json_len(text->root, "parameters"); i++)
		unique_add(&names, g_strdup_printf("parameters[%zu].name", i),
			   g_strdup(json_str(json_item(text->root, "parameters", i), "name")));
	unique_release(&names);
}

/* Applies the document with the code of the instances, so that none is written that they reject. */
static void check_as_instance(const struct json_text *text, peer_object_kind kind, const char *name,
			      struct faults *faults)
{
	const char *bytes = json_object_to_json_string_ext(text->root, JSON_C_TO_STRING_PLAIN);
	struct config *cfg = config_new(NULL);
	struct object obj = {
		.kind = kind,
		.name = name,
		.generation = json_num(text->root, "generation"),
		.document = (const uint8_t *)bytes,
		.len = strlen(bytes),
	};

	if (config_apply(cfg, &obj) == -EBADMSG)
		faults_add(faults, text->file->str, 1, "", "instances would reject this document");
	config_free(cfg);
}

int document_check(struct json_text *text, enum document_kind kind, struct faults *faults)
{
	const struct schema *schema = schema_of(kind);
	guint before = faults->list->len;

	if (!schema) {
		faults_add(faults, text->file->str, 1, "", "unknown kind of document");
		return -EINVAL;
	}
	if (schema_check(schema, text, faults))
		return -EINVAL;
	if (kind == DOCUMENT_GRANTS) {
		check_grants(text, faults);
		if (faults->list->len == before)
			check_as_instance(text, PEER_OBJECT_GRANTS, json_str(text->root, "grants"),
					  faults);
	} else if (kind == DOCUMENT_ORGANISATION) {
		check_organisation(text, faults);
		if (faults->list->len == before)
			check_as_instance(text, PEER_OBJECT_ORGANISATION,
					  json_str(text->root, "organisation"), faults);
	} else if (kind == DOCUMENT_DATA_CENTRE) {
		check_as_instance(text, PEER_OBJECT_DATA_CENTRE,
				  json_str(text->root, "data_centre"), faults);
	} else if (kind == DOCUMENT_TEMPLATE) {
		check_template(text, faults);
	}
	return faults->list->len > before ? -EINVAL : 0;
}

json_object *document_grant(json_object *grants, const char *org)
{
	return json_find(grants, "organisations", "name", org);
}

/* Whether an address lies in the ranges of a grant. */
static bool in_ranges(json_object *grant, const char *key, const char *address)
{
	struct endpoint ep = { 0 };
	struct prefix pfx;

	endpoint_parse(address, &ep);
	for (size_t i = 0; i < json_len(grant, key); i++) {
		const char *range = json_object_get_string(json_item(grant, key, i));

		if (range && prefix_parse(range, &pfx) && prefix_contains(pfx, ep.ip))
			return true;
	}
	return false;
}

static void check_granted(const struct json_text *org, json_object *grants, const char *key,
			  const char *address, gchar *path, struct faults *faults)
{
	const char *name = json_str(org->root, "organisation");
	const char *owner = NULL;

	if (!in_ranges(document_grant(grants, name), key, address)) {
		for (size_t i = 0; i < json_len(grants, "organisations"); i++) {
			json_object *other = json_item(grants, "organisations", i);

			if (in_ranges(other, key, address))
				owner = json_str(other, "name");
		}
		faults_add(faults, org->file->str, json_text_line(org, path), path,
			   "%s is not granted to %s%s%s", address, name,
			   owner ? ", it belongs to " : "", owner ? owner : "");
	}
	g_free(path);
}

int document_check_grant(const struct json_text *org, json_object *grants, struct faults *faults)
{
	guint before = faults->list->len;
	const char *name = json_str(org->root, "organisation");

	if (!document_grant(grants, name)) {
		faults_add(faults, org->file->str, json_text_line(org, "organisation"),
			   "organisation", "%s has no grant", name);
		return -EINVAL;
	}
	for (size_t i = 0; i < json_len(org->root, "services"); i++) {
		json_object *svc = json_item(org->root, "services", i);

		check_granted(org, grants, "addresses", json_str(svc, "address"),
			      g_strdup_printf("services[%zu].address", i), faults);
		for (size_t j = 0; j < json_len(svc, "targets"); j++) {
			json_object *tgt = json_item(svc, "targets", j);

			check_granted(org, grants, "targets", json_str(tgt, "address"),
				      g_strdup_printf("services[%zu].targets[%zu].address", i, j),
				      faults);
			/* Probes must not reach another organisation's servers either. */
			check_granted(org, grants, "targets", json_str(tgt, "health"),
				      g_strdup_printf("services[%zu].targets[%zu].health", i, j),
				      faults);
		}
	}
	return faults->list->len > before ? -EINVAL : 0;
}

json_object *document_sign(json_object *root, const struct signing_key *key)
{
	const char *bytes = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);
	json_object *obj = json_object_new_object();
	uint8_t signature[SIGNATURE_BYTES];
	char text[SIGNATURE_TEXT_BYTES];

	crypto_sign_detached(signature, NULL, (const unsigned char *)bytes, strlen(bytes),
			     key->secret);
	hex_format(signature, sizeof(signature), text);
	json_object_object_add(obj, "document", json_object_new_string(bytes));
	json_object_object_add(obj, "signature", json_object_new_string(text));
	return obj;
}

json_object *document_verify(json_object *obj, const uint8_t key[PUBLIC_KEY_BYTES])
{
	const char *bytes = json_str(obj, "document");
	uint8_t signature[SIGNATURE_BYTES];
	json_object *root;

	if (!hex_parse(json_str(obj, "signature"), signature, sizeof(signature)))
		return NULL;
	if (key && crypto_sign_verify_detached(signature, (const unsigned char *)bytes,
					       strlen(bytes), key))
		return NULL;
	root = json_tokener_parse(bytes);
	if (root && json_object_is_type(root, json_type_object))
		return root;
	json_object_put(root);
	return NULL;
}
