#include "confsync.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "confsync-internal.h"

/*
 * Members that are told of a new version at once, and a little later. Told by three each, 5% of a
 * group hear nothing; told by five, less than 1%.
 */
#define PUSH_FANOUT   3
#define REPUSH_FANOUT 2
#define REPUSH_MS     300
#define REPUSHES_MAX  64

/* Versions in one part of a digest exchange: about 1000 bytes with usual names. */
#define VERSIONS_PER_PART 24

/*
 * A change is pushed to most members within this time; only a digest that still differs then is
 * worth an exchange.
 */
#define MISMATCH_MIN_MS	   200
#define MISMATCH_JITTER_MS 100

/*
 * Each watcher makes an exchange with another group every 2 s, the other members so many that it is
 * three a second in a group of any size. A group that comes back into contact then learns what it
 * missed within about a second. Members that do not watch the list may know no other group.
 */
#define OTHER_GROUP_MS	    2000
#define OTHER_GROUP_MEMBERS 6

/* Organisations that wait for their grant, and versions that were rejected. */
#define WAITING_MAX  256
#define REJECTED_MAX 1024

/* Before any member is live, instances start their watches spread over this time. */
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
	uint32_t timeout = member ? GROUP_TIMEOUT_MS : OTHER_TIMEOUT_MS;
	struct action act = {
		.type = ACTION_PEER_CALL,
		.dst = peer,
		.call_id = id,
		.timeout_ms = timeout + random_below(ctx->random, timeout / 4),
		.tries = SYNC_TRIES,
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
	uint32_t not ;
	uint32_t seen;
	uint32_t id;
};

static void choose_member(uint32_t id, void *arg)
{
	struct choice *choice = arg;

	if (id == choice->not )
		return;
	if (random_below(choice->ctx->random, ++choice->seen) == 0)
		choice->id = id;
}

uint32_t sync_random_member(const struct confsync *sync, struct ctx *ctx, uint32_t not )
{
	struct choice choice = { ctx, not, 0, MEMBER_NONE };

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
	if (g_hash_table_size(sync->rejected) >= REJECTED_MAX)
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

/* Tells @fanout random members of a version; those that lack it fetch it and tell others. */
static void tell(struct confsync *sync, struct ctx *ctx, peer_object_version *version,
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

	tell(sync, ctx, &version, PUSH_FANOUT);
	if (sync->repushes->len >= REPUSHES_MAX)
		return;
	rp = g_new(struct repush, 1);
	*rp = (struct repush){
		.kind = obj->kind,
		.name = g_strdup(obj->name),
		.generation = obj->generation,
		.due = ts_add_ms(ctx->now, REPUSH_MS + random_below(ctx->random, REPUSH_MS)),
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
			tell(sync, ctx, &version, REPUSH_FANOUT);
		g_ptr_array_remove_index_fast(sync->repushes, i--);
	}
}

static void keep_waiting(struct confsync *sync, const struct object *obj)
{
	struct waiting *wait;

	if (g_hash_table_size(sync->waiting) >= WAITING_MAX &&
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
		/* Who still has the old versions has nothing newer. */
		sync->known[sync->next_known++ % KNOWN_DIGESTS] = before;
		change = g_new(uint64_t, 1);
		*change = ++sync->nr_changes;
		g_hash_table_replace(sync->changed, object_key(obj->kind, obj->name), change);
		ctx->counters->config_accepted++;
		push(sync, ctx, obj);
		return true;
	}
	if (ret == -ENOKEY)
		keep_waiting(sync, obj);
	else if (ret)
		ctx->counters->config_rejected++;
	return false;
}

/* Organisations that had no grant are tried again under the new grants. */
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

static bool nothing_newer(const struct confsync *sync, uint64_t digest)
{
	for (int i = 0; i < KNOWN_DIGESTS; i++) {
		if (sync->known[i] == digest)
			return true;
	}
	return false;
}

void confsync_digest(struct confsync *sync, struct ctx *ctx, uint32_t src, uint64_t digest)
{
	uint32_t wait = 0;

	if (!digest || digest == config_digest(sync->cfg) || nothing_newer(sync, digest))
		return;
	if (sync->mismatch_peer == MEMBER_NONE) {
		if (config_ready(sync->cfg))
			wait = MISMATCH_MIN_MS + random_below(ctx->random, MISMATCH_JITTER_MS);
		sync->mismatch_at = ts_add_ms(ctx->now, wait);
	}
	sync->mismatch_peer = src;
	sync->mismatch_digest = digest;
}

static void ask_versions(struct confsync *sync, struct ctx *ctx)
{
	peer_msg msg = { .type = PEER_CONFIG_DIGEST };

	msg.peer_msg_u.digest.digest = config_digest(sync->cfg);
	msg.peer_msg_u.digest.offset = sync->exchange.offset;
	sync->exchange.under_way = true;
	sync_call(sync, ctx, sync->exchange.peer, &msg, NULL, sync->exchange.offset);
}

static void start_exchange(struct confsync *sync, struct ctx *ctx, uint32_t peer)
{
	sync->exchange = (struct exchange){ .active = true, .peer = peer };
	ask_versions(sync, ctx);
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

/* Latest change first: what the other side lacks is most likely in the first part. */
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
			   const peer_config_digest *ask)
{
	struct version_list list = { sync,
				     g_array_new(FALSE, FALSE, sizeof(struct version_entry)) };
	struct action act = { .type = ACTION_PEER_REPLY, .dst = src, .xid = xid };
	peer_object_version part[VERSIONS_PER_PART];
	peer_msg msg = { .type = PEER_CONFIG_DIGEST };
	peer_config_digest *out = &msg.peer_msg_u.digest;

	out->digest = config_digest(sync->cfg);
	out->offset = ask->offset;
	out->versions.versions_val = part;
	if (ask->digest != out->digest) {
		config_each_object(sync->cfg, add_version, &list);
		g_array_sort(list.entries, compare_versions);
		out->total = list.entries->len;
	}
	for (guint i = ask->offset;
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
		/* The caller may have something that this instance lacks. */
		confsync_digest(sync, ctx, src, digest->digest);
		return;
	}
	for (u_int i = 0; i < digest->versions.versions_len; i++)
		pull_want(sync, ctx, src, &digest->versions.versions_val[i]);
}

static void take_versions(struct confsync *sync, struct ctx *ctx, enum call_status status,
			  const peer_msg *msg)
{
	struct exchange *ex = &sync->exchange;
	const peer_config_digest *digest;

	ex->under_way = false;
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
		pull_want(sync, ctx, ex->peer, version);
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
		take_versions(sync, ctx, status, msg);
	return config_digest(sync->cfg) != before;
}

/* Goes on with an exchange when what its last part named has been fetched. */
static void run_exchange(struct confsync *sync, struct ctx *ctx)
{
	struct exchange *ex = &sync->exchange;

	if (!ex->active || ex->under_way || sync->pulls->len)
		return;
	if (ex->digest == config_digest(sync->cfg)) {
		ex->active = false;
	} else if (ex->offset < ex->total) {
		ask_versions(sync, ctx);
	} else {
		if (!ex->found)
			sync->known[sync->next_known++ % KNOWN_DIGESTS] = ex->digest;
		ex->active = false;
	}
}

static void run_watch(struct confsync *sync, struct ctx *ctx)
{
	uint64_t key = XXH3_64bits(watch_key, sizeof(watch_key));
	uint32_t self = members_self(sync->mem);
	bool nobody = members_ranked(sync->mem, key, 0) == MEMBER_NONE;
	/* Nobody is live, as at the first start of a fleet: everybody has to look. */
	bool on = nobody && ts_diff_ms(ctx->now, sync->started) >= sync->watch_delay_ms;

	for (uint32_t rank = 0; rank < WATCHERS_PER_GROUP; rank++)
		on |= members_ranked(sync->mem, key, rank) == self;
	if (on == sync->watching || (nobody && sync->watching))
		return;
	sync->watching = on;
	if (!on)
		members_list_unwatched(sync->mem, ctx);
	actions_add(ctx->out, (struct action){ .type = ACTION_WATCH, .on = on }, NULL, 0);
}

static void run_other_group(struct confsync *sync, struct ctx *ctx)
{
	uint32_t peer, period;

	if (ts_cmp(ctx->now, sync->next_other) < 0 || sync->exchange.active)
		return;
	period = OTHER_GROUP_MS;
	if (!sync->watching)
		period = period * MAX(members_count(sync->mem), OTHER_GROUP_MEMBERS) /
			 OTHER_GROUP_MEMBERS;
	sync->next_other =
		ts_add_ms(ctx->now, period * 3 / 4 + random_below(ctx->random, period / 2));
	peer = members_random_foreign(sync->mem, ctx);
	if (peer != MEMBER_NONE)
		start_exchange(sync, ctx, peer);
}

void confsync_timer(struct confsync *sync, struct ctx *ctx)
{
	if (!sync->started.tv_sec && !sync->started.tv_nsec) {
		sync->started = ctx->now;
		sync->next_other = ts_add_ms(ctx->now, random_below(ctx->random, OTHER_GROUP_MS));
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
		    !nothing_newer(sync, sync->mismatch_digest))
			start_exchange(sync, ctx, peer);
	}
	run_other_group(sync, ctx);
}
