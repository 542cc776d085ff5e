#include "config.h"

#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#include "config-parse.h"

/* A target that is or was in force; it keeps its index. */
struct interned_target {
	struct service *svc; /* NULL while it is not in force */
	guint position;	     /* in svc->targets */
};

struct stored_object {
	struct object obj;
	char *name;
	uint8_t *document;
};

struct config {
	bool verify;
	uint8_t fleet_key[SIGNING_KEY_BYTES];
	GHashTable *objects;	/* "kind/name" to struct stored_object */
	GPtrArray *grants;	/* struct grant, NULL before the first grants document */
	GPtrArray *orgs;	/* struct organisation; never shrinks, indices are stable */
	GPtrArray *dcs;		/* struct data_centre; never shrinks */
	GHashTable *services;	/* address to struct service */
	GHashTable *target_ids; /* (service address, endpoint) to index + 1 */
	GArray *targets;	/* struct interned_target */
	uint64_t digest;
};

static void organisation_free(struct organisation *org)
{
	g_ptr_array_unref(org->services);
	g_array_unref(org->withdrawn);
	g_free(org->name);
	g_free(org);
}

static void data_centre_free(struct data_centre *dc)
{
	g_free(dc->name);
	g_free(dc);
}

static void stored_object_free(struct stored_object *stored)
{
	g_free(stored->name);
	g_free(stored->document);
	g_free(stored);
}

static uint64_t addr_key(struct service_addr addr)
{
	return (uint64_t)addr.ep.ip << 24 | (uint64_t)addr.ep.port << 8 | addr.proto;
}

/* Key in @target_ids: the service's address and the target's endpoint. */
static GBytes *target_key(struct service_addr addr, struct endpoint ep)
{
	uint64_t fields[2] = { addr_key(addr), (uint64_t)ep.ip << 16 | ep.port };

	return g_bytes_new(fields, sizeof(fields));
}

struct config *config_new(const uint8_t *fleet_key)
{
	struct config *cfg = g_new0(struct config, 1);

	if (fleet_key) {
		cfg->verify = true;
		memcpy(cfg->fleet_key, fleet_key, SIGNING_KEY_BYTES);
	}
	cfg->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)stored_object_free);
	cfg->orgs = g_ptr_array_new_with_free_func((GDestroyNotify)organisation_free);
	cfg->dcs = g_ptr_array_new_with_free_func((GDestroyNotify)data_centre_free);
	cfg->services = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	cfg->target_ids = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
						(GDestroyNotify)g_bytes_unref, NULL);
	cfg->targets = g_array_new(FALSE, TRUE, sizeof(struct interned_target));
	return cfg;
}

void config_free(struct config *cfg)
{
	if (!cfg)
		return;
	g_hash_table_unref(cfg->objects);
	g_hash_table_unref(cfg->services);
	g_hash_table_unref(cfg->target_ids);
	g_array_unref(cfg->targets);
	g_ptr_array_unref(cfg->orgs);
	g_ptr_array_unref(cfg->dcs);
	if (cfg->grants)
		g_ptr_array_unref(cfg->grants);
	g_free(cfg);
}

static struct organisation *find_org(const struct config *cfg, const char *name)
{
	for (guint i = 0; i < cfg->orgs->len; i++) {
		struct organisation *org = g_ptr_array_index(cfg->orgs, i);

		if (!strcmp(org->name, name))
			return org;
	}
	return NULL;
}

static struct organisation *intern_org(struct config *cfg, const char *name)
{
	struct organisation *org = find_org(cfg, name);

	if (org)
		return org;
	org = g_new0(struct organisation, 1);
	org->index = cfg->orgs->len;
	org->name = g_strdup(name);
	org->services = g_ptr_array_new_with_free_func((GDestroyNotify)service_free);
	org->withdrawn = g_array_new(FALSE, FALSE, sizeof(uint16_t));
	g_ptr_array_add(cfg->orgs, org);
	return org;
}

static const struct grant *find_grant(const struct config *cfg, const char *name)
{
	for (guint i = 0; cfg->grants && i < cfg->grants->len; i++) {
		const struct grant *grant = g_ptr_array_index(cfg->grants, i);

		if (!strcmp(grant->name, name))
			return grant;
	}
	return NULL;
}

uint16_t config_dc_index(struct config *cfg, const char *name)
{
	struct data_centre *dc;

	for (guint i = 0; i < cfg->dcs->len; i++) {
		dc = g_ptr_array_index(cfg->dcs, i);
		if (!strcmp(dc->name, name))
			return (uint16_t)i;
	}
	dc = g_new0(struct data_centre, 1);
	dc->name = g_strdup(name);
	g_ptr_array_add(cfg->dcs, dc);
	return (uint16_t)(cfg->dcs->len - 1);
}

const struct data_centre *config_dc(const struct config *cfg, uint16_t index)
{
	return index < cfg->dcs->len ? g_ptr_array_index(cfg->dcs, index) : NULL;
}

static bool signed_by(const struct object *obj, const uint8_t *key)
{
	return crypto_sign_verify_detached(obj->signature, obj->document, obj->len, key) == 0;
}

/* Checks the signature against the key that may write objects of this kind and name. */
static int check_signature(const struct config *cfg, const struct object *obj)
{
	const struct grant *grant;

	if (!cfg->verify)
		return 0;
	if (obj->kind != PEER_OBJECT_ORGANISATION)
		return signed_by(obj, cfg->fleet_key) ? 0 : -EPERM;
	grant = find_grant(cfg, obj->name);
	if (!grant)
		return -ENOKEY;
	return signed_by(obj, grant->key) ? 0 : -EPERM;
}

static void drop_targets(struct config *cfg, const struct service *svc)
{
	for (guint i = 0; i < svc->targets->len; i++) {
		uint32_t index = g_array_index(svc->targets, struct target_config, i).index;

		if (index != TARGET_NONE)
			g_array_index(cfg->targets, struct interned_target, index).svc = NULL;
	}
}

static void drop_services(struct config *cfg, struct organisation *org)
{
	for (guint i = 0; i < org->services->len; i++) {
		struct service *svc = g_ptr_array_index(org->services, i);
		uint64_t key = addr_key(svc->addr);

		if (g_hash_table_lookup(cfg->services, &key) == svc)
			g_hash_table_remove(cfg->services, &key);
		drop_targets(cfg, svc);
	}
}

static void intern_targets(struct config *cfg, struct service *svc)
{
	for (guint i = 0; i < svc->targets->len; i++) {
		struct target_config *tgt = &g_array_index(svc->targets, struct target_config, i);
		GBytes *key = target_key(svc->addr, tgt->ep);
		guint id = GPOINTER_TO_UINT(g_hash_table_lookup(cfg->target_ids, key));

		if (!id) {
			struct interned_target entry = { NULL, 0 };

			g_array_append_val(cfg->targets, entry);
			id = cfg->targets->len;
			g_hash_table_insert(cfg->target_ids, g_bytes_ref(key),
					    GUINT_TO_POINTER(id));
		}
		g_bytes_unref(key);
		tgt->index = id - 1;
		g_array_index(cfg->targets, struct interned_target, id - 1) =
			(struct interned_target){ .svc = svc, .position = i };
	}
}

/* Removes targets outside the granted ranges, so that no organisation uses another's servers. */
static void apply_grant(const struct grant *grant, struct service *svc)
{
	for (guint i = svc->targets->len; i-- > 0;) {
		struct target_config *tgt = &g_array_index(svc->targets, struct target_config, i);

		/* Probes must not reach another organisation's servers either. */
		if (ranges_contain(grant->targets, tgt->ep.ip) &&
		    ranges_contain(grant->targets, tgt->health.ip))
			continue;
		g_free(tgt->name);
		g_array_remove_index(svc->targets, i);
	}
}

static void install_services(struct config *cfg, struct organisation *org)
{
	const struct grant *grant = find_grant(cfg, org->name);

	for (guint i = org->services->len; i-- > 0;) {
		struct service *svc = g_ptr_array_index(org->services, i);

		if (cfg->grants && (!grant || !ranges_contain(grant->addresses, svc->addr.ep.ip))) {
			g_ptr_array_remove_index(org->services, i);
			continue;
		}
		if (grant)
			apply_grant(grant, svc);
		svc->org = org->index;
		intern_targets(cfg, svc);
		g_hash_table_insert(cfg->services,
				    g_memdup2(&(uint64_t){ addr_key(svc->addr) }, sizeof(uint64_t)),
				    svc);
	}
}

static int load_organisation(struct config *cfg, const struct object *obj)
{
	const struct grant *grant = find_grant(cfg, obj->name);
	struct organisation *org;
	struct org_document doc;
	int ret;

	ret = parse_organisation(cfg, obj, &doc);
	if (ret)
		return ret;
	org = intern_org(cfg, obj->name);
	drop_services(cfg, org);
	g_ptr_array_unref(org->services);
	g_array_unref(org->withdrawn);
	org->services = g_steal_pointer(&doc.services);
	org->withdrawn = g_steal_pointer(&doc.withdrawn);
	org->generation = obj->generation;
	org->max_flows = grant ? grant->max_flows : UINT32_MAX;
	install_services(cfg, org);
	return 0;
}

/* Grants limit every organisation, so all are compiled again from their documents. */
static int load_grants(struct config *cfg, const struct object *obj)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *grants;
	int ret;

	ret = parse_grants(obj, &grants);
	if (ret)
		return ret;
	if (cfg->grants)
		g_ptr_array_unref(cfg->grants);
	cfg->grants = grants;
	for (guint i = 0; i < cfg->orgs->len; i++) {
		struct organisation *org = g_ptr_array_index(cfg->orgs, i);

		drop_services(cfg, org);
		g_ptr_array_set_size(org->services, 0);
	}
	g_hash_table_iter_init(&iter, cfg->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct stored_object *stored = value;

		if (stored->obj.kind == PEER_OBJECT_ORGANISATION)
			load_organisation(cfg, &stored->obj);
	}
	return 0;
}

static int load_data_centre(struct config *cfg, const struct object *obj)
{
	struct data_centre *dc;
	uint16_t index;
	bool withdrawn;
	int ret;

	ret = parse_data_centre(obj, &withdrawn);
	if (ret)
		return ret;
	/* A new index may reallocate the array, so get it before the pointer. */
	index = config_dc_index(cfg, obj->name);
	dc = g_ptr_array_index(cfg->dcs, index);
	dc->generation = obj->generation;
	dc->withdrawn = withdrawn;
	return 0;
}

static char *object_key(peer_object_kind kind, const char *name)
{
	return g_strdup_printf("%d/%s", (int)kind, name);
}

static uint64_t version_hash(const char *key, uint64_t generation)
{
	return XXH3_64bits_withSeed(key, strlen(key), generation);
}

static void store_object(struct config *cfg, char *key, const struct object *obj, uint64_t old)
{
	struct stored_object *stored = g_new0(struct stored_object, 1);

	stored->obj = *obj;
	stored->name = g_strdup(obj->name);
	stored->document = g_memdup2(obj->document, obj->len);
	stored->obj.name = stored->name;
	stored->obj.document = stored->document;
	/* The digest is a sum, so that it does not depend on the order of arrival. */
	if (old)
		cfg->digest -= version_hash(key, old);
	cfg->digest += version_hash(key, obj->generation);
	g_hash_table_replace(cfg->objects, key, stored);
}

static int load_object(struct config *cfg, const struct object *obj)
{
	switch (obj->kind) {
	case PEER_OBJECT_ORGANISATION:
		return load_organisation(cfg, obj);
	case PEER_OBJECT_DATA_CENTRE:
		return load_data_centre(cfg, obj);
	case PEER_OBJECT_GRANTS:
		return strcmp(obj->name, "fleet") ? -EBADMSG : load_grants(cfg, obj);
	}
	return -EBADMSG;
}

int config_apply(struct config *cfg, const struct object *obj)
{
	char *key = object_key(obj->kind, obj->name);
	const struct stored_object *stored = g_hash_table_lookup(cfg->objects, key);
	uint64_t old = stored ? stored->obj.generation : 0;
	int ret = 0;

	if (obj->generation <= old)
		goto cleanup;
	ret = check_signature(cfg, obj);
	if (ret)
		goto cleanup;
	ret = load_object(cfg, obj);
	if (ret)
		goto cleanup;
	store_object(cfg, g_steal_pointer(&key), obj, old);
	ret = 1;
cleanup:
	g_free(key);
	return ret;
}

bool config_ready(const struct config *cfg)
{
	return g_hash_table_size(cfg->services) > 0;
}

struct service *config_service(const struct config *cfg, struct service_addr addr)
{
	uint64_t key = addr_key(addr);

	return g_hash_table_lookup(cfg->services, &key);
}

struct target_config *config_target(const struct config *cfg, const struct service *svc,
				    struct endpoint ep)
{
	(void)cfg;
	for (guint i = 0; i < svc->targets->len; i++) {
		struct target_config *tgt = &g_array_index(svc->targets, struct target_config, i);

		if (endpoint_equal(tgt->ep, ep))
			return tgt;
	}
	return NULL;
}

struct target_config *config_target_by_index(const struct config *cfg, uint32_t index,
					     struct service **svc)
{
	const struct interned_target *entry;

	if (index >= cfg->targets->len)
		return NULL;
	entry = &g_array_index(cfg->targets, struct interned_target, index);
	if (!entry->svc)
		return NULL;
	if (svc)
		*svc = entry->svc;
	return &g_array_index(entry->svc->targets, struct target_config, entry->position);
}

bool config_withdrawn(const struct config *cfg, uint32_t org, uint16_t dc)
{
	const struct organisation *owner = config_organisation(cfg, org);
	const struct data_centre *centre = config_dc(cfg, dc);

	if (centre && centre->withdrawn)
		return true;
	for (guint i = 0; owner && i < owner->withdrawn->len; i++) {
		if (g_array_index(owner->withdrawn, uint16_t, i) == dc)
			return true;
	}
	return false;
}

void config_each_service(const struct config *cfg, void (*fn)(struct service *svc, void *arg),
			 void *arg)
{
	for (guint i = 0; i < cfg->orgs->len; i++) {
		const struct organisation *org = g_ptr_array_index(cfg->orgs, i);

		for (guint j = 0; j < org->services->len; j++)
			fn(g_ptr_array_index(org->services, j), arg);
	}
}

struct organisation *config_organisation(const struct config *cfg, uint32_t index)
{
	return index < cfg->orgs->len ? g_ptr_array_index(cfg->orgs, index) : NULL;
}

const struct object *config_object(const struct config *cfg, peer_object_kind kind,
				   const char *name)
{
	char *key = object_key(kind, name);
	const struct stored_object *stored = g_hash_table_lookup(cfg->objects, key);

	g_free(key);
	return stored ? &stored->obj : NULL;
}

void config_each_object(const struct config *cfg, void (*fn)(const struct object *obj, void *arg),
			void *arg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cfg->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(&((const struct stored_object *)value)->obj, arg);
}

uint64_t config_digest(const struct config *cfg)
{
	return cfg->digest;
}
