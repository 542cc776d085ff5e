#include "registry.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "gstr.h"
#include "timeutil.h"

#define MARK_CHECK_BITS 16
#define MARK_CHECK_MASK 0xffffu

/*
 * A target rewrites its entry with each heartbeat, with the time left of its cold phase. The end
 * that follows from it is too late by the time that the entry took to arrive: up to the pause of
 * the watch (700 ms) and the store's answer. An end that is later by less than this says nothing
 * new.
 */
#define WARM_LATER_MS	1000
#define WARM_EARLIER_MS 100

struct registry {
	GHashTable *by_id;	/* GString to struct reg_target, owned */
	GHashTable *by_mark;	/* upper half of the mark to a chain of struct reg_target */
	GHashTable *by_service; /* symbol to GPtrArray of struct reg_target */
	struct registry_listener *listener;
	struct store_version latest_revision; /* highest answer_revision */
	struct store_version freed_revision;  /* highest one of a target that was freed */
	bool reading_list;		      /* a whole list is being read */
};

static void free_target(gpointer data)
{
	struct reg_target *tgt = data;

	g_string_free(tgt->id, TRUE);
	g_free(tgt);
}

static void free_array(gpointer data)
{
	g_ptr_array_unref(data);
}

struct registry *registry_new(void)
{
	struct registry *reg = g_new0(struct registry, 1);

	reg->by_id = g_hash_table_new_full(gstr_hash, gstr_equal, NULL, free_target);
	reg->by_mark = g_hash_table_new(NULL, NULL);
	reg->by_service = g_hash_table_new_full(NULL, NULL, NULL, free_array);
	return reg;
}

void registry_free(struct registry *reg)
{
	if (!reg)
		return;
	g_hash_table_unref(reg->by_service);
	g_hash_table_unref(reg->by_mark);
	g_hash_table_unref(reg->by_id);
	g_free(reg);
}

void registry_set_listener(struct registry *reg, struct registry_listener *listener)
{
	reg->listener = listener;
}

/* Upper half of a mark, at least 1, so that no mark is 0. */
static uint32_t mark_id(uint64_t digest)
{
	return (uint32_t)(digest % MARK_CHECK_MASK) + 1;
}

static uint32_t mark_check(uint64_t digest, struct endpoint service)
{
	uint64_t key = (uint64_t)service.ip << 16 | service.port;

	return (uint32_t)XXH64(&key, sizeof(key), digest) & MARK_CHECK_MASK;
}

uint32_t registry_mark(const struct reg_target *tgt, struct endpoint service)
{
	return mark_id(tgt->digest) << MARK_CHECK_BITS | mark_check(tgt->digest, service);
}

struct reg_target *registry_by_mark(const struct registry *reg, uint32_t mark,
				    struct endpoint service)
{
	struct reg_target *tgt =
		g_hash_table_lookup(reg->by_mark, GUINT_TO_POINTER(mark >> MARK_CHECK_BITS));

	while (tgt && mark_check(tgt->digest, service) != (mark & MARK_CHECK_MASK))
		tgt = tgt->next_mark;
	return tgt;
}

static void index_mark(struct registry *reg, struct reg_target *tgt)
{
	gpointer key = GUINT_TO_POINTER(mark_id(tgt->digest));

	tgt->next_mark = g_hash_table_lookup(reg->by_mark, key);
	g_hash_table_insert(reg->by_mark, key, tgt);
}

static void unindex_mark(struct registry *reg, struct reg_target *tgt)
{
	gpointer key = GUINT_TO_POINTER(mark_id(tgt->digest));
	struct reg_target *head = g_hash_table_lookup(reg->by_mark, key);
	struct reg_target **link = &head;

	while (*link != tgt)
		link = &(*link)->next_mark;
	*link = tgt->next_mark;
	if (head)
		g_hash_table_insert(reg->by_mark, key, head);
	else
		g_hash_table_remove(reg->by_mark, key);
}

static void index_service(struct registry *reg, struct reg_target *tgt)
{
	gpointer key = GUINT_TO_POINTER(tgt->service);
	GPtrArray *list = g_hash_table_lookup(reg->by_service, key);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(reg->by_service, key, list);
	}
	g_ptr_array_add(list, tgt);
}

static void unindex_service(struct registry *reg, struct reg_target *tgt)
{
	GPtrArray *list = g_hash_table_lookup(reg->by_service, GUINT_TO_POINTER(tgt->service));

	if (list)
		g_ptr_array_remove_fast(list, tgt);
}

void registry_touch(struct registry *reg, struct reg_target *tgt,
		    struct store_version answer_revision)
{
	tgt->answer_revision = store_version_max(tgt->answer_revision, answer_revision);
	reg->latest_revision = store_version_max(reg->latest_revision, answer_revision);
}

struct store_version registry_latest_revision(const struct registry *reg)
{
	return reg->latest_revision;
}

static struct reg_target *add_target(struct registry *reg, const struct target_info *info)
{
	struct reg_target *tgt = g_new0(struct reg_target, 1);

	tgt->id = g_string_new(info->id);
	tgt->digest = XXH3_64bits(tgt->id->str, tgt->id->len);
	tgt->phase = TARGET_GONE;
	tgt->born_ms = info->born_ms;
	g_queue_init(&tgt->flows);
	g_hash_table_insert(reg->by_id, tgt->id, tgt);
	index_mark(reg, tgt);
	return tgt;
}

static void notify(struct registry *reg, struct reg_target *tgt, enum target_phase before,
		   bool restarted, struct timespec now)
{
	if (reg->listener)
		reg->listener->changed(reg->listener, tgt, before, restarted, now);
}

/*
 * A list in parts, a stale answer or another instance may report an older state than the known one.
 * The entry of a target that has left keeps its last revision; at that revision, only a whole list,
 * which is newer than the removal, can add it again.
 */
static bool is_outdated(const struct registry *reg, const struct reg_target *tgt,
			const struct target_info *info)
{
	int cmp = store_version_cmp(info->revision, tgt->revision);

	if (!store_version_known(info->revision))
		return false;
	return cmp < 0 || (!cmp && tgt->phase == TARGET_GONE && !reg->reading_list);
}

/* Whether @info has the known end of the cold phase, as far as entries can tell. */
static bool warms_up_as_known(const struct reg_target *tgt, const struct target_info *info,
			      struct timespec now)
{
	int64_t later_ms = ts_diff_ms(ts_add_ms(now, info->cold_ms), tgt->warm_at);

	if (!info->cold_ms && ts_cmp(now, tgt->warm_at) >= 0)
		return true;
	return later_ms >= -WARM_EARLIER_MS && later_ms <= WARM_LATER_MS;
}

/* Whether instances that have the known state of @tgt would learn nothing from @info. */
static bool says_nothing_new(const struct reg_target *tgt, const struct target_info *info,
			     struct timespec now)
{
	return tgt->phase == (info->draining ? TARGET_DRAINING : TARGET_READY) &&
	       tgt->wire_id == info->wire_id && tgt->ep.ip == info->ep.ip &&
	       tgt->ep.port == info->ep.port && tgt->service == info->service &&
	       tgt->data_centre == info->data_centre && tgt->slots == MAX(info->slots, 1u) &&
	       tgt->born_ms == info->born_ms && warms_up_as_known(tgt, info, now);
}

bool registry_put(struct registry *reg, const struct target_info *info, struct timespec now)
{
	struct reg_target *tgt = registry_by_id(reg, info->id);
	bool restarted = tgt && tgt->born_ms != info->born_ms;
	enum target_phase before;

	if (tgt && is_outdated(reg, tgt, info)) {
		tgt->in_list = true;
		return false;
	}
	/* Sent to each follower, the entries of cold targets took most of a reader's traffic. */
	if (tgt && store_version_known(info->revision) && says_nothing_new(tgt, info, now)) {
		tgt->revision = info->revision;
		tgt->in_list = true;
		return true;
	}
	if (!tgt)
		tgt = add_target(reg, info);
	before = tgt->phase;
	if (before != TARGET_GONE && tgt->service != info->service)
		unindex_service(reg, tgt);
	if (before == TARGET_GONE || tgt->service != info->service) {
		tgt->service = info->service;
		index_service(reg, tgt);
	}
	tgt->wire_id = info->wire_id;
	tgt->ep = info->ep;
	tgt->data_centre = info->data_centre;
	tgt->slots = MAX(info->slots, 1u);
	tgt->born_ms = info->born_ms;
	tgt->phase = info->draining ? TARGET_DRAINING : TARGET_READY;
	tgt->warm_at = ts_add_ms(now, info->cold_ms);
	tgt->in_list = true;
	/* A list repeats entries that have not changed. */
	if (before == TARGET_GONE || !store_version_known(info->revision) ||
	    store_version_cmp(info->revision, tgt->revision) != 0)
		registry_touch(reg, tgt, info->answer_revision);
	tgt->revision = info->revision;
	if (before != tgt->phase || restarted) {
		tgt->changed = now;
		notify(reg, tgt, before, restarted, now);
	}
	return true;
}

static void set_gone(struct registry *reg, struct reg_target *tgt,
		     struct store_version answer_revision, struct timespec now)
{
	enum target_phase before = tgt->phase;

	if (before == TARGET_GONE)
		return;
	unindex_service(reg, tgt);
	tgt->phase = TARGET_GONE;
	registry_touch(reg, tgt, answer_revision);
	tgt->changed = now;
	notify(reg, tgt, before, false, now);
}

void registry_remove(struct registry *reg, const char *id, struct store_version answer_revision,
		     struct timespec now)
{
	struct reg_target *tgt = registry_by_id(reg, id);

	if (tgt)
		set_gone(reg, tgt, answer_revision, now);
}

void registry_each(struct registry *reg, void (*fn)(struct reg_target *tgt, void *arg), void *arg)
{
	GHashTableIter iter;
	gpointer tgt;

	g_hash_table_iter_init(&iter, reg->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &tgt))
		fn(tgt, arg);
}

static void clear_in_list(struct reg_target *tgt, void *arg)
{
	(void)arg;
	tgt->in_list = false;
}

void registry_list_begin(struct registry *reg)
{
	reg->reading_list = true;
	registry_each(reg, clear_in_list, NULL);
}

void registry_list_end(struct registry *reg, struct store_version answer_revision,
		       struct timespec now)
{
	GHashTableIter iter;
	gpointer tgt;

	g_hash_table_iter_init(&iter, reg->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &tgt)) {
		if (!((struct reg_target *)tgt)->in_list)
			set_gone(reg, tgt, answer_revision, now);
	}
	reg->reading_list = false;
}

void registry_sweep(struct registry *reg, struct timespec now, int64_t keep_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, reg->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct reg_target *tgt = value;

		if (tgt->phase != TARGET_GONE || tgt->flows.length || tgt->probing ||
		    tgt->trust != TRUST_ALIVE || ts_diff_ms(now, tgt->changed) < keep_ms)
			continue;
		unindex_mark(reg, tgt);
		reg->freed_revision = store_version_max(reg->freed_revision, tgt->answer_revision);
		g_hash_table_iter_remove(&iter);
	}
}

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	const struct reg_target *x = *(struct reg_target *const *)a;
	const struct reg_target *y = *(struct reg_target *const *)b;

	return strcmp(x->id->str, y->id->str);
}

GPtrArray *registry_changed_since(const struct registry *reg, struct store_version revision,
				  const char *after)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	if (store_version_cmp(revision, reg->latest_revision) >= 0)
		return list;
	g_hash_table_iter_init(&iter, reg->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct reg_target *tgt = value;

		if (store_version_cmp(tgt->answer_revision, revision) > 0 &&
		    strcmp(tgt->id->str, after) > 0 &&
		    (revision.order || tgt->phase != TARGET_GONE))
			g_ptr_array_add(list, value);
	}
	g_ptr_array_sort(list, compare_ids);
	return list;
}

struct store_version registry_freed_revision(const struct registry *reg)
{
	return reg->freed_revision;
}

struct reg_target *registry_by_id(struct registry *reg, const char *id)
{
	GString *key = g_string_new(id);
	struct reg_target *tgt = g_hash_table_lookup(reg->by_id, key);

	g_string_free(key, TRUE);
	return tgt;
}

struct reg_target *registry_by_digest(const struct registry *reg, uint64_t digest)
{
	struct reg_target *tgt =
		g_hash_table_lookup(reg->by_mark, GUINT_TO_POINTER(mark_id(digest)));

	while (tgt && tgt->digest != digest)
		tgt = tgt->next_mark;
	return tgt;
}

const GPtrArray *registry_by_service(const struct registry *reg, uint32_t service)
{
	const GPtrArray *list = g_hash_table_lookup(reg->by_service, GUINT_TO_POINTER(service));

	return list && list->len ? list : NULL;
}

uint32_t registry_count(const struct registry *reg)
{
	return g_hash_table_size(reg->by_id);
}

int64_t target_silent_ms(const struct reg_target *tgt, struct timespec now)
{
	return tgt && tgt->last_alive.tv_sec ? ts_diff_ms(now, tgt->last_alive) : -1;
}

const char *target_phase_name(enum target_phase phase)
{
	static const char *const names[] = {
		[TARGET_READY] = "ready",
		[TARGET_DRAINING] = "draining",
		[TARGET_GONE] = "gone",
	};

	return names[phase];
}

const char *target_trust_name(enum target_trust trust)
{
	static const char *const names[] = {
		[TRUST_ALIVE] = "alive",
		[TRUST_SUSPECTED] = "suspected",
		[TRUST_DEAD] = "dead",
	};

	return names[trust];
}
