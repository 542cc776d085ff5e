#include "routing.h"

/* Used until a configuration sets one; longer than any idle timeout seen in documents. */
#define DEFAULT_IDLE_TIMEOUT_MS 60000

struct routing {
	GHashTable *routes;    /* address key to struct route_rule */
	GHashTable *withdrawn; /* set of address keys */
	uint64_t version;
	struct timespec changed;
	uint32_t idle_timeout_ms;

	/* The configuration that is being read. */
	GHashTable *next_routes;
	uint64_t next_version;
	uint32_t next_idle_timeout_ms;
};

static GHashTable *new_routes(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

struct routing *routing_new(void)
{
	struct routing *rt = g_new0(struct routing, 1);

	rt->routes = new_routes();
	rt->withdrawn = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	rt->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
	return rt;
}

void routing_free(struct routing *rt)
{
	if (!rt)
		return;
	routing_abort(rt);
	g_hash_table_unref(rt->routes);
	g_hash_table_unref(rt->withdrawn);
	g_free(rt);
}

bool routing_begin(struct routing *rt, uint64_t version)
{
	routing_abort(rt);
	if (version <= rt->version)
		return false;
	rt->next_version = version;
	rt->next_idle_timeout_ms = rt->idle_timeout_ms;
	rt->next_routes = new_routes();
	return true;
}

void routing_add_route(struct routing *rt, const struct route_rule *rule)
{
	uint64_t key = address_key(rule->address);

	g_hash_table_replace(rt->next_routes, g_memdup2(&key, sizeof(key)),
			     g_memdup2(rule, sizeof(*rule)));
}

void routing_set_idle_timeout(struct routing *rt, uint32_t ms)
{
	rt->next_idle_timeout_ms = ms;
}

static void update_withdrawn(struct routing *rt)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, rt->routes);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (!g_hash_table_contains(rt->next_routes, key))
			g_hash_table_add(rt->withdrawn, g_memdup2(key, sizeof(uint64_t)));
	}
	g_hash_table_iter_init(&iter, rt->next_routes);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_hash_table_remove(rt->withdrawn, key);
}

void routing_commit(struct routing *rt, struct timespec now)
{
	update_withdrawn(rt);
	g_hash_table_unref(rt->routes);
	rt->routes = g_steal_pointer(&rt->next_routes);
	rt->version = rt->next_version;
	rt->idle_timeout_ms = rt->next_idle_timeout_ms;
	rt->changed = now;
}

void routing_abort(struct routing *rt)
{
	if (rt->next_routes)
		g_hash_table_unref(rt->next_routes);
	rt->next_routes = NULL;
}

bool routing_ready(const struct routing *rt)
{
	return rt->version > 0;
}

uint64_t routing_version(const struct routing *rt)
{
	return rt->version;
}

struct timespec routing_commit_time(const struct routing *rt)
{
	return rt->changed;
}

uint32_t routing_count(const struct routing *rt)
{
	return g_hash_table_size(rt->routes);
}

void routing_each(const struct routing *rt, void (*fn)(const struct route_rule *rule, void *arg),
		  void *arg)
{
	GHashTableIter iter;
	gpointer rule;

	g_hash_table_iter_init(&iter, rt->routes);
	while (g_hash_table_iter_next(&iter, NULL, &rule))
		fn(rule, arg);
}

uint32_t routing_idle_timeout(const struct routing *rt)
{
	return rt->idle_timeout_ms;
}

const struct route_rule *routing_find(const struct routing *rt, struct endpoint address)
{
	uint64_t key = address_key(address);

	return g_hash_table_lookup(rt->routes, &key);
}

bool routing_withdrawn(const struct routing *rt, struct endpoint address)
{
	uint64_t key = address_key(address);

	return g_hash_table_contains(rt->withdrawn, &key);
}
