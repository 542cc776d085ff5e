#include "config-parse.h"

#include <errno.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <sodium.h>
#include <string.h>

#define DOCUMENT_MAX_BYTES	(1024 * 1024)
#define MAX_SERVICES_PER_ORG	1024
#define MAX_TARGETS_PER_SERVICE 4096
#define NAME_MAX_BYTES		63
#define DAY_MS			(24 * 60 * 60 * 1000)

static json_object *parse_json(const struct object *obj)
{
	struct json_tokener *tok;
	json_object *root = NULL;

	if (!obj->len || obj->len > DOCUMENT_MAX_BYTES)
		return NULL;
	tok = json_tokener_new();
	if (!tok)
		return NULL;
	root = json_tokener_parse_ex(tok, (const char *)obj->document, (int)obj->len);
	if (root && (json_tokener_get_error(tok) != json_tokener_success ||
		     json_tokener_get_parse_end(tok) != obj->len ||
		     !json_object_is_type(root, json_type_object))) {
		json_object_put(root);
		root = NULL;
	}
	json_tokener_free(tok);
	return root;
}

/*
 * Names are used in paths of the platform and as labels of metrics, hence the restricted set of
 * characters.
 */
static const char *get_name(json_object *obj, const char *key)
{
	const char *text = json_object_get_string(json_object_object_get(obj, key));
	size_t len;

	if (!text || !json_object_is_type(json_object_object_get(obj, key), json_type_string))
		return NULL;
	len = strlen(text);
	if (!len || len > NAME_MAX_BYTES ||
	    strspn(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") !=
		    len)
		return NULL;
	return text;
}

static bool get_number(json_object *obj, const char *key, uint32_t fallback, uint32_t min,
		       uint32_t max, uint32_t *value)
{
	json_object *field;
	int64_t number;

	*value = fallback;
	if (!json_object_object_get_ex(obj, key, &field))
		return true;
	if (!json_object_is_type(field, json_type_int))
		return false;
	number = json_object_get_int64(field);
	if (number < min || number > max)
		return false;
	*value = (uint32_t)number;
	return true;
}

static json_object *get_array(json_object *obj, const char *key, size_t max)
{
	json_object *array = json_object_object_get(obj, key);

	if (!array || !json_object_is_type(array, json_type_array) ||
	    json_object_array_length(array) > max)
		return NULL;
	return array;
}

static bool get_endpoint(json_object *obj, const char *key, struct endpoint *ep)
{
	json_object *field = json_object_object_get(obj, key);

	return field && json_object_is_type(field, json_type_string) &&
	       endpoint_parse(json_object_get_string(field), ep);
}

/* Checks that the document states the name and generation of its object. */
static bool identity_matches(json_object *root, const char *kind, const struct object *obj)
{
	const char *name = get_name(root, kind);
	json_object *generation = json_object_object_get(root, "generation");

	return name && !strcmp(name, obj->name) && generation &&
	       json_object_is_type(generation, json_type_int) &&
	       json_object_get_int64(generation) > 0 &&
	       (uint64_t)json_object_get_int64(generation) == obj->generation;
}

bool ranges_contain(const GArray *ranges, uint32_t ip)
{
	for (guint i = 0; i < ranges->len; i++) {
		if (prefix_contains(g_array_index(ranges, struct prefix, i), ip))
			return true;
	}
	return false;
}

static bool ranges_overlap(const GArray *a, const GArray *b)
{
	for (guint i = 0; i < a->len; i++) {
		for (guint j = 0; j < b->len; j++) {
			if (prefix_overlap(g_array_index(a, struct prefix, i),
					   g_array_index(b, struct prefix, j)))
				return true;
		}
	}
	return false;
}

static bool parse_ranges(json_object *obj, const char *key, GArray *out)
{
	json_object *array = get_array(obj, key, MAX_SERVICES_PER_ORG);

	if (!array)
		return false;
	for (size_t i = 0; i < json_object_array_length(array); i++) {
		json_object *item = json_object_array_get_idx(array, i);
		struct prefix range;

		if (!json_object_is_type(item, json_type_string) ||
		    !prefix_parse(json_object_get_string(item), &range) || !range.mask)
			return false;
		g_array_append_val(out, range);
	}
	return true;
}

void grant_free(struct grant *grant)
{
	g_free(grant->name);
	g_array_unref(grant->addresses);
	g_array_unref(grant->targets);
	g_free(grant);
}

static bool parse_grant(json_object *obj, struct grant *grant)
{
	json_object *key = json_object_object_get(obj, "key");
	const char *name = get_name(obj, "name");
	const char *hex = key ? json_object_get_string(key) : NULL;
	size_t len;

	if (!name || !hex ||
	    sodium_hex2bin(grant->key, sizeof(grant->key), hex, strlen(hex), NULL, &len, NULL) ||
	    len != sizeof(grant->key))
		return false;
	grant->name = g_strdup(name);
	return get_number(obj, "max_flows", 1000000, 1, UINT32_MAX, &grant->max_flows) &&
	       parse_ranges(obj, "addresses", grant->addresses) &&
	       parse_ranges(obj, "targets", grant->targets);
}

/* Ranges must not overlap: instances could give an address to different owners. */
static bool grant_conflicts(const GPtrArray *grants, const struct grant *grant)
{
	for (guint i = 0; i < grants->len; i++) {
		const struct grant *other = g_ptr_array_index(grants, i);

		if (!strcmp(other->name, grant->name) ||
		    ranges_overlap(other->addresses, grant->addresses) ||
		    ranges_overlap(other->targets, grant->targets))
			return true;
	}
	return false;
}

int parse_grants(const struct object *obj, GPtrArray **grants)
{
	json_object *root = parse_json(obj);
	json_object *array;
	GPtrArray *list = g_ptr_array_new_with_free_func((GDestroyNotify)grant_free);
	int ret = -EBADMSG;

	if (!root || !identity_matches(root, "grants", obj))
		goto cleanup;
	array = get_array(root, "organisations", UINT16_MAX);
	if (!array)
		goto cleanup;
	for (size_t i = 0; i < json_object_array_length(array); i++) {
		struct grant *grant = g_new0(struct grant, 1);
		bool ok;

		grant->addresses = g_array_new(FALSE, FALSE, sizeof(struct prefix));
		grant->targets = g_array_new(FALSE, FALSE, sizeof(struct prefix));
		ok = parse_grant(json_object_array_get_idx(array, i), grant) &&
		     !grant_conflicts(list, grant);
		if (!ok) {
			grant_free(grant);
			goto cleanup;
		}
		g_ptr_array_add(list, grant);
	}
	*grants = g_steal_pointer(&list);
	ret = 0;
cleanup:
	if (list)
		g_ptr_array_unref(list);
	json_object_put(root);
	return ret;
}

void service_free(struct service *svc)
{
	for (guint i = 0; i < svc->targets->len; i++)
		g_free(g_array_index(svc->targets, struct target_config, i).name);
	g_array_unref(svc->targets);
	g_free(svc->name);
	g_free(svc);
}

static bool parse_target(struct config *cfg, json_object *obj, struct target_config *tgt)
{
	const char *name = get_name(obj, "name");
	const char *dc = get_name(obj, "data_centre");
	json_object *draining = json_object_object_get(obj, "draining");

	if (!name || !dc || (draining && !json_object_is_type(draining, json_type_boolean)) ||
	    !get_endpoint(obj, "address", &tgt->ep) || !get_endpoint(obj, "health", &tgt->health) ||
	    !get_number(obj, "slots", 1, 1, 1 << 20, &tgt->slots) ||
	    !get_number(obj, "max_flows", 2000, 1, 1 << 24, &tgt->max_flows) ||
	    !get_number(obj, "warmup_ms", 30000, 0, DAY_MS, &tgt->warmup_ms))
		return false;
	tgt->name = g_strdup(name);
	tgt->dc = config_dc_index(cfg, dc);
	tgt->draining = json_object_get_boolean(draining);
	return true;
}

static bool parse_targets(struct config *cfg, json_object *obj, struct service *svc)
{
	json_object *array = get_array(obj, "targets", MAX_TARGETS_PER_SERVICE);

	if (!array)
		return false;
	for (size_t i = 0; i < json_object_array_length(array); i++) {
		struct target_config tgt = { .index = TARGET_NONE };

		if (!parse_target(cfg, json_object_array_get_idx(array, i), &tgt)) {
			g_free(tgt.name);
			return false;
		}
		for (guint j = 0; j < svc->targets->len; j++) {
			struct target_config *other =
				&g_array_index(svc->targets, struct target_config, j);

			if (endpoint_equal(other->ep, tgt.ep) || !strcmp(other->name, tgt.name)) {
				g_free(tgt.name);
				return false;
			}
		}
		g_array_append_val(svc->targets, tgt);
	}
	return true;
}

static bool parse_service(struct config *cfg, json_object *obj, struct service *svc)
{
	const char *name = get_name(obj, "name");
	const char *proto = get_name(obj, "protocol");

	if (!name || !proto || (strcmp(proto, "tcp") && strcmp(proto, "udp")) ||
	    !get_endpoint(obj, "address", &svc->addr.ep) ||
	    !get_number(obj, "idle_timeout_ms", 3600000, 1000, 7 * DAY_MS, &svc->idle_timeout_ms) ||
	    !get_number(obj, "silence_ms", 15000, 0, DAY_MS, &svc->silence_ms) ||
	    !get_number(obj, "retry_permille", 100, 0, 1000, &svc->retry_permille) ||
	    !get_number(obj, "max_new_flows", 0, 0, 1 << 24, &svc->max_new_flows) ||
	    !get_number(obj, "slo_permille", 999, 1, 999, &svc->slo_permille))
		return false;
	svc->name = g_strdup(name);
	svc->addr.proto = !strcmp(proto, "tcp") ? IPPROTO_TCP : IPPROTO_UDP;
	return parse_targets(cfg, obj, svc);
}

static bool service_addr_equal(struct service_addr a, struct service_addr b)
{
	return endpoint_equal(a.ep, b.ep) && a.proto == b.proto;
}

static bool parse_services(struct config *cfg, json_object *root, GPtrArray *services)
{
	json_object *array = get_array(root, "services", MAX_SERVICES_PER_ORG);

	if (!array)
		return false;
	for (size_t i = 0; i < json_object_array_length(array); i++) {
		struct service *svc = g_new0(struct service, 1);

		svc->targets = g_array_new(FALSE, FALSE, sizeof(struct target_config));
		g_ptr_array_add(services, svc);
		if (!parse_service(cfg, json_object_array_get_idx(array, i), svc))
			return false;
		for (size_t j = 0; j < i; j++) {
			struct service *other = g_ptr_array_index(services, j);

			if (service_addr_equal(other->addr, svc->addr) ||
			    !strcmp(other->name, svc->name))
				return false;
		}
	}
	return true;
}

static bool parse_withdrawn(struct config *cfg, json_object *root, GArray *withdrawn)
{
	json_object *array;

	if (!json_object_object_get_ex(root, "withdrawn", NULL))
		return true;
	array = get_array(root, "withdrawn", UINT8_MAX);
	if (!array)
		return false;
	for (size_t i = 0; i < json_object_array_length(array); i++) {
		json_object *item = json_object_array_get_idx(array, i);
		uint16_t dc;

		if (!json_object_is_type(item, json_type_string))
			return false;
		dc = config_dc_index(cfg, json_object_get_string(item));
		g_array_append_val(withdrawn, dc);
	}
	return true;
}

void org_document_release(struct org_document *doc)
{
	if (doc->services)
		g_ptr_array_unref(doc->services);
	if (doc->withdrawn)
		g_array_unref(doc->withdrawn);
	*doc = (struct org_document){ 0 };
}

int parse_organisation(struct config *cfg, const struct object *obj, struct org_document *doc)
{
	json_object *root = parse_json(obj);
	int ret = -EBADMSG;

	*doc = (struct org_document){
		.services = g_ptr_array_new_with_free_func((GDestroyNotify)service_free),
		.withdrawn = g_array_new(FALSE, FALSE, sizeof(uint16_t)),
	};
	if (root && identity_matches(root, "organisation", obj) &&
	    parse_services(cfg, root, doc->services) && parse_withdrawn(cfg, root, doc->withdrawn))
		ret = 0;
	else
		org_document_release(doc);
	json_object_put(root);
	return ret;
}

int parse_data_centre(const struct object *obj, bool *withdrawn)
{
	json_object *root = parse_json(obj);
	const char *state = root ? get_name(root, "state") : NULL;
	int ret = -EBADMSG;

	if (state && identity_matches(root, "data_centre", obj) &&
	    (!strcmp(state, "serving") || !strcmp(state, "withdrawn"))) {
		*withdrawn = !strcmp(state, "withdrawn");
		ret = 0;
	}
	json_object_put(root);
	return ret;
}
