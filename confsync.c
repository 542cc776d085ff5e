#include "confsync.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "confsync-internal.h"

/*
 * Members to which a new version is announced at once, and again one to two times REPUSH_DELAY_MS
 * later. If each member announces it to three others, 5% of a group receive no announcement; with
 * five, less than 1%.
 */
#define PUSH_FANOUT	3
#define REPUSH_FANOUT	2
#define REPUSH_DELAY_MS 300
#define REPUSHES_MAX	64

/* Versions in one part of a digest exchange: about 1000 bytes with usual names. */
#define VERSIONS_PER_PART 24

/*
 * Delay of an exchange after a differing digest. A change is pushed to most members within this
 * time, so that an exchange is needed only if the digest still differs after it.
 */
#define MISMATCH_DELAY_MIN_MS	 200
#define MISMATCH_DELAY_JITTER_MS 100

/*
 * Each watcher starts an exchange with another group every 2 s. The other members use an interval
 * that grows with the group, so that they start three a second in total. A group that regains
 * contact then receives the changes it missed within about a second. Members that do not watch the
 * instance list may know no other group.
 */
#define OTHER_GROUP_INTERVAL_MS 2000
#define OTHER_GROUP_EXCHANGES	6 /* per interval, of the members that do not watch */

/* Numbers of stored organisations that wait for a grant, and of stored rejected versions. */
#define WAITING_ORGANISATIONS_MAX 256
#define REJECTED_VERSIONS_MAX	  1024

/* While no member is live, instances start their watches at random times in this period. */
#define FIRST_WATCH_JITTER_MS 2000

static const char watch_key[] = "watch";

struct waiting {
	struct object obj;
	char *name;
	uint8_t *document;
};

static void waiting_free(gpointer data)
{
	struct waiting *wait = data;

	g_free(wait->name);
	g_free(wait->document);
	g_free(wait);
}

static void repush_free(gpointer data)
{
	struct repush *rp = data;

	g_free(rp->name);
	g_free(rp);
}

struct confsync *confsync_new(struct config *cfg, struct members *mem)
{
	struct confsync *sync = g_new0(struct confsync, 1);

	sync->cfg = cfg;
	sync->mem = mem;
	sync->next_call = 1;
	sync->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	sync->pulls = g_ptr_array_new_with_free_func(pull_free);
	sync->repushes = g_ptr_array_new_with_free_func(repush_free);
	sync->waiting = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, waiting_free);
	sync->rejected = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sync->changed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return sync;
}

void confsync_free(struct confsync *sync)
{
	if (!sync)
		return;
	g_hash_table_unref(sync->calls);
	g_ptr_array_unref(sync->pulls);
	g_ptr_array_unref(sync->repushes);
	g_hash_table_unref(sync->waiting);
	g_hash_table_unref(sync->rejected);
	g_hash_table_unref(sync->changed);
	g_free(sync);
}

void sync_call(struct confsync *sync, struct ctx *ctx, uint32_t peer, const peer_msg *msg,
	       struct pull *pull, uint32_t offset)
{
	struct sync_call *call = g_new(struct sync_call, 1);
	uint64_t id = sync->next_call++;
	bool member = members_state(sync->mem, peer) != MEMBER_DEAD;
	uint32_t timeout = member ? GROUP_CALL_TIMEOUT_MS : OTHER_GROUP_CALL_TIMEOUT_MS;
	struct action act = {
		.type = ACTION_PEER_CALL,
		.dst = peer,
		.call_id = id,
		.timeout_ms = timeout + random_below(ctx->random, timeout / 4),
		.tries = SYNC_CALL_TRIES,
	};

	*call = (struct sync_call){ pull, peer, offset };
	g_hash_table_insert(sync->calls, g_memdup2(&id, sizeof(id)), call);
	actions_add_peer(ctx->out, act, msg);
}

uint64_t sync_generation(const struct confsync *sync, peer_object_kind kind, const char *name)
{
	const struct object *obj = config_object(sync->cfg, kind, name);
	uint64_t generation = obj ? obj->generation : 0;
	const struct waiting *wait =
		kind == PEER_OBJECT_ORGANISATION ? g_hash_table_lookup(sync->waiting, name) : NULL;

	return wait ? MAX(generation, wait->obj.generation) : generation;
}

struct choice {
	struct ctx *ctx;
	uint32_t exclude;
	uint32_t seen;
	uint32_t id;
};

static void choose_member(uint32_t id, void *arg)
{
	struct choice *choice = arg;

	if (id == choice->exclude)
		return;
	if (random_below(choice->ctx->random, ++choice->seen) == 0)
		choice->id = id;
}

uint32_t sync_random_member(const struct confsync *sync, struct ctx *ctx, uint32_t exclude)
{
	struct choice choice = { ctx, exclude, 0, MEMBER_NONE };

	members_for_each(sync->mem, choose_member, &choice);
	return choice.id;
}

static char *object_key(peer_object_kind kind, const char *name)
{
	return g_strdup_printf("%d/%s", (int)kind, name);
}

static uint32_t grants_generation(const struct confsync *sync)
{
	const struct object *obj = config_object(sync->cfg, PEER_OBJECT_GRANTS, "fleet");

	return obj ? (uint32_t)obj->generation : 0;
}

static char *version_key(peer_object_kind kind, const char *name, uint64_t generation)
{
	return g_strdup_printf("%d/%s/%" PRIu64, (int)kind, name, generation);
}

void sync_reject(struct confsync *sync, const struct object *obj)
{
	if (g_hash_table_size(sync->rejected) >= REJECTED_VERSIONS_MAX)
		g_hash_table_remove_all(sync->rejected);
	g_hash_table_replace(sync->rejected, version_key(obj->kind, obj->name, obj->generation),
			     GUINT_TO_POINTER(grants_generation(sync)));
}

bool sync_rejected(const struct confsync *sync, peer_object_kind kind, const char *name,
		   uint64_t generation)
{
	char *key = version_key(kind, name, generation);
	gpointer value;
	bool found = g_hash_table_lookup_extended(sync->rejected, key, NULL, &value);

	g_free(key);
	return found && GPOINTER_TO_UINT(value) == grants_generation(sync);
}

/* Announces a version to @fanout random members; those that lack it pull and announce it. */
static void announce_version(struct confsync *sync, struct ctx *ctx, peer_object_version *version,
			     uint32_t fanout)
{
	peer_msg msg = { .type = PEER_CONFIG_DIGEST };
	uint32_t last = MEMBER_NONE;

	msg.peer_msg_u.digest = (peer_config_digest){
		.digest = config_digest(sync->cfg),
		.total = 1,
		.versions = { .versions_len = 1, .versions_val = version },
	};
	for (uint32_t i = 0; i < fanout; i++) {
		struct action act = { .type = ACTION_PEER_SEND };

		act.dst = sync_random_member(sync, ctx, last);
		if (act.dst == MEMBER_NONE)
			break;
		last = act.dst;
		actions_add_peer(ctx->out, act, &msg);
	}
}

static void push(struct confsync *sync, struct ctx *ctx, const struct object *obj)
{
	peer_object_version version = { obj->kind, (char *)obj->name, obj->generation };
	struct repush *rp;

	announce_version(sync, ctx, &version, PUSH_FANOUT);
	if (sync->repushes->len >= REPUSHES_MAX)
		return;
	rp = g_new(struct repush, 1);
	*rp = (struct repush){
		.kind = obj->kind,
		.name = g_strdup(obj->name),
		.generation = obj->generation,
		.due = ts_add_ms(ctx->now,
				 REPUSH_DELAY_MS + random_below(ctx->random, REPUSH_DELAY_MS)),
	};
	g_ptr_array_add(sync->repushes, rp);
}

static void run_repushes(struct confsync *sync, struct ctx *ctx)
{
	for (guint i = 0; i < sync->repushes->len; i++) {
		struct repush *rp = g_ptr_array_index(sync->repushes, i);
		peer_object_version version = { rp->kind, rp->name, rp->generation };

		if (ts_cmp(ctx->now, rp->due) < 0)
			continue;
		if (sync_generation(sync, rp->kind, rp->name) == rp->generation)
			announce_version(sync, ctx, &version, REPUSH_FANOUT);
		g_ptr_array_remove_index_fast(sync->repushes, i--);
	}
}

static void store_waiting(struct confsync *sync, const struct object *obj)
{
	struct waiting *wait;

	if (g_hash_table_size(sync->waiting) >= WAITING_ORGANISATIONS_MAX &&
	    !g_hash_table_contains(sync->waiting, obj->name))
		return;
	wait = g_new(struct waiting, 1);
	wait->obj = *obj;
	wait->name = g_strdup(obj->name);
	wait->document = g_memdup2(obj->document, obj->len);
	wait->obj.name = wait->name;
	wait->obj.document = wait->document;
	g_hash_table_replace(sync->waiting, wait->name, wait);
}

static bool apply(struct confsync *sync, struct ctx *ctx, const struct object *obj)
{
	uint64_t before = config_digest(sync->cfg);
	uint64_t *change;
	int ret = config_apply(sync->cfg, obj);

	if (ret == 1) {
		/* A peer with the digest from before this change has no newer version. */
		sync->old_digests[sync->next_old_digest++ % OLD_DIGESTS_MAX] = before;
		change = g_new(uint64_t, 1);
		*change = ++sync->nr_changes;
		g_hash_table_replace(sync->changed, object_key(obj->kind, obj->name), change);
		ctx->counters->config_accepted++;
		push(sync, ctx, obj);
		return true;
	}
	if (ret == -ENOKEY)
		store_waiting(sync, obj);
	else if (ret)
		ctx->counters->config_rejected++;
	return false;
}

/* Applies the organisations that had no grant again, under the new grants. */
static void retry_waiting(struct confsync *sync, struct ctx *ctx)
{
	GHashTable *old = sync->waiting;
	GHashTableIter iter;
	gpointer value;

	sync->waiting = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, waiting_free);
	g_hash_table_iter_init(&iter, old);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		apply(sync, ctx, &((struct waiting *)value)->obj);
	g_hash_table_unref(old);
}

bool sync_accept(struct confsync *sync, struct ctx *ctx, const struct object *obj)
{
	bool accepted = apply(sync, ctx, obj);

	if (accepted && obj->kind == PEER_OBJECT_GRANTS)
		retry_waiting(sync, ctx);
	return accepted;
}

bool confsync_object(struct confsync *sync, struct ctx *ctx, const struct object *obj)
{
	return sync_accept(sync, ctx, obj);
}

static bool is_old_digest(const struct confsync *sync, uint64_t digest)
{
	for (int i = 0; i < OLD_DIGESTS_MAX; i++) {
		if (sync->old_digests[i] == digest)
			return true;
	}
	return false;
}

void confsync_digest(struct confsync *sync, struct ctx *ctx, uint32_t src, uint64_t digest)
{
	uint32_t wait = 0;

	if (!digest || digest == config_digest(sync->cfg) || is_old_digest(sync, digest))
		return;
	if (sync->mismatch_peer == MEMBER_NONE) {
		if (config_ready(sync->cfg))
			wait = MISMATCH_DELAY_MIN_MS +
			       random_below(ctx->random, MISMATCH_DELAY_JITTER_MS);
		sync->mismatch_at = ts_add_ms(ctx->now, wait);
	}
	sync->mismatch_peer = src;
	sync->mismatch_digest = digest;
}

static void request_versions(struct confsync *sync, struct ctx *ctx)
{
	peer_msg msg = { .type = PEER_CONFIG_DIGEST };

	msg.peer_msg_u.digest.digest = config_digest(sync->cfg);
	msg.peer_msg_u.digest.offset = sync->exchange.offset;
	sync->exchange.in_flight = true;
	sync_call(sync, ctx, sync->exchange.peer, &msg, NULL, sync->exchange.offset);
}

static void start_exchange(struct confsync *sync, struct ctx *ctx, uint32_t peer)
{
	sync->exchange = (struct exchange){ .active = true, .peer = peer };
	request_versions(sync, ctx);
}

struct version_entry {
	const struct object *obj;
	uint64_t change;
};

struct version_list {
	const struct confsync *sync;
	GArray *entries;
};

static void add_version(const struct object *obj, void *arg)
{
	struct version_list *list = arg;
	char *key = object_key(obj->kind, obj->name);
	const uint64_t *change = g_hash_table_lookup(list->sync->changed, key);
	struct version_entry entry = { obj, change ? *change : 0 };

	g_array_append_val(list->entries, entry);
	g_free(key);
}

/* Latest change first: versions that the peer lacks are most likely in the first part. */
static int compare_versions(gconstpointer a, gconstpointer b)
{
	const struct version_entry *x = a, *y = b;

	if (x->change != y->change)
		return x->change > y->change ? -1 : 1;
	if (x->obj->kind != y->obj->kind)
		return x->obj->kind > y->obj->kind ? -1 : 1;
	return strcmp(x->obj->name, y->obj->name);
}

static void serve_versions(struct confsync *sync, struct ctx *ctx, uint32_t src, uint32_t xid,
			   const peer_config_digest *request)
{
	struct version_list list = { sync,
				     g_array_new(FALSE, FALSE, sizeof(struct version_entry)) };
	struct action act = { .type = ACTION_PEER_REPLY, .dst = src, .xid = xid };
	peer_object_version part[VERSIONS_PER_PART];
	peer_msg msg = { .type = PEER_CONFIG_DIGEST };
	peer_config_digest *out = &msg.peer_msg_u.digest;

	out->digest = config_digest(sync->cfg);
	out->offset = request->offset;
	out->versions.versions_val = part;
	if (request->digest != out->digest) {
		config_each_object(sync->cfg, add_version, &list);
		g_array_sort(list.entries, compare_versions);
		out->total = list.entries->len;
	}
	for (guint i = request->offset;
	     i < list.entries->len && out->versions.versions_len < VERSIONS_PER_PART; i++) {
		const struct object *obj = g_array_index(list.entries, struct version_entry, i).obj;

		part[out->versions.versions_len++] = (peer_object_version){
			.kind = obj->kind,
			.name = (char *)obj->name,
			.generation = obj->generation,
		};
	}
	actions_add_peer(ctx->out, act, &msg);
	g_array_unref(list.entries);
}

void confsync_peer(struct confsync *sync, struct ctx *ctx, uint32_t src, uint32_t xid,
		   const peer_msg *msg)
{
	const peer_config_digest *digest = &msg->peer_msg_u.digest;

	if (msg->type == PEER_CONFIG_PULL && xid) {
		pull_serve(sync, ctx, src, xid, &msg->peer_msg_u.config_pull);
		return;
	}
	if (msg->type != PEER_CONFIG_DIGEST)
		return;
	if (xid) {
		serve_versions(sync, ctx, src, xid, digest);
		/* The caller may have versions that this instance lacks. */
		confsync_digest(sync, ctx, src, digest->digest);
		return;
	}
	for (u_int i = 0; i < digest->versions.versions_len; i++)
		pull_version(sync, ctx, src, &digest->versions.versions_val[i]);
}

static void receive_versions(struct confsync *sync, struct ctx *ctx, enum call_status status,
			     const peer_msg *msg)
{
	struct exchange *ex = &sync->exchange;
	const peer_config_digest *digest;

	ex->in_flight = false;
	if (status != CALL_OK || msg->type != PEER_CONFIG_DIGEST) {
		ex->active = false;
		return;
	}
	digest = &msg->peer_msg_u.digest;
	ex->digest = digest->digest;
	ex->total = digest->total;
	ex->offset += digest->versions.versions_len;
	if (!digest->versions.versions_len)
		ex->total = ex->offset;
	for (u_int i = 0; i < digest->versions.versions_len; i++) {
		const peer_object_version *version = &digest->versions.versions_val[i];

		ex->found |=
			version->generation > sync_generation(sync, version->kind, version->name);
		pull_version(sync, ctx, ex->peer, version);
	}
}

bool confsync_reply(struct confsync *sync, struct ctx *ctx, uint32_t src, uint64_t call_id,
		    enum call_status status, const peer_msg *msg)
{
	struct sync_call *found = g_hash_table_lookup(sync->calls, &call_id);
	uint64_t before = config_digest(sync->cfg);
	struct sync_call call;

	if (!found || found->peer != src)
		return false;
	call = *found;
	g_hash_table_remove(sync->calls, &call_id);
	ctx->counters->peer_timeout += status == CALL_TIMEOUT;
	if (call.pull)
		pull_reply(sync, ctx, call.pull, &call, status, msg);
	else
		receive_versions(sync, ctx, status, msg);
	return config_digest(sync->cfg) != before;
}

/* Continues an exchange once the versions named in its last part have been pulled. */
static void run_exchange(struct confsync *sync, struct ctx *ctx)
{
	struct exchange *ex = &sync->exchange;

	if (!ex->active || ex->in_flight || sync->pulls->len)
		return;
	if (ex->digest == config_digest(sync->cfg)) {
		ex->active = false;
	} else if (ex->offset < ex->total) {
		request_versions(sync, ctx);
	} else {
		if (!ex->found)
			sync->old_digests[sync->next_old_digest++ % OLD_DIGESTS_MAX] = ex->digest;
		ex->active = false;
	}
}

static void run_watch(struct confsync *sync, struct ctx *ctx)
{
	uint64_t key = XXH3_64bits(watch_key, sizeof(watch_key));
	uint32_t self = members_self(sync->mem);
	bool none_live = members_ranked(sync->mem, key, 0) == MEMBER_NONE;
	/* No member is live, as at the first start of a fleet: every instance has to watch. */
	bool on = none_live && ts_diff_ms(ctx->now, sync->started) >= sync->watch_delay_ms;

	for (uint32_t rank = 0; rank < WATCHERS_PER_GROUP; rank++)
		on |= members_ranked(sync->mem, key, rank) == self;
	if (on == sync->watching || (none_live && sync->watching))
		return;
	sync->watching = on;
	if (!on)
		members_list_unwatched(sync->mem, ctx);
	actions_add(ctx->out, (struct action){ .type = ACTION_WATCH, .on = on }, NULL, 0);
}

static void run_other_group(struct confsync *sync, struct ctx *ctx)
{
	uint32_t peer, period;

	if (ts_cmp(ctx->now, sync->next_other_group) < 0 || sync->exchange.active)
		return;
	period = OTHER_GROUP_INTERVAL_MS;
	if (!sync->watching)
		period = period * MAX(members_count(sync->mem), OTHER_GROUP_EXCHANGES) /
			 OTHER_GROUP_EXCHANGES;
	sync->next_other_group =
		ts_add_ms(ctx->now, period * 3 / 4 + random_below(ctx->random, period / 2));
	peer = members_random_foreign(sync->mem, ctx);
	if (peer != MEMBER_NONE)
		start_exchange(sync, ctx, peer);
}

void confsync_timer(struct confsync *sync, struct ctx *ctx)
{
	if (!sync->started.tv_sec && !sync->started.tv_nsec) {
		sync->started = ctx->now;
		sync->next_other_group =
			ts_add_ms(ctx->now, random_below(ctx->random, OTHER_GROUP_INTERVAL_MS));
		sync->watch_delay_ms = random_below(ctx->random, FIRST_WATCH_JITTER_MS);
	}
	run_watch(sync, ctx);
	run_exchange(sync, ctx);
	run_repushes(sync, ctx);
	pull_run(sync, ctx);
	if (sync->mismatch_peer != MEMBER_NONE && !sync->exchange.active && !sync->pulls->len &&
	    ts_cmp(ctx->now, sync->mismatch_at) >= 0) {
		uint32_t peer = sync->mismatch_peer;

		sync->mismatch_peer = MEMBER_NONE;
		if (sync->mismatch_digest != config_digest(sync->cfg) &&
		    !is_old_digest(sync, sync->mismatch_digest))
			start_exchange(sync, ctx, peer);
	}
	run_other_group(sync, ctx);
}
