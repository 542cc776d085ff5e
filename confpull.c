/* Pulls configuration objects from peers, in parts. */
#include <string.h>

#include "confsync-internal.h"

/* Objects pulled at the same time; the others are queued, grants first. */
#define PULLS_PARALLEL 4
#define PULLS_MAX      4096

/*
 * Outstanding requests for parts of one object. With 10% packet loss, a part takes 30 ms on average
 * and 1 MB takes 1.3 s between two members. The parts of four objects fit in a socket's buffer.
 */
#define PARTS_PARALLEL 24

/* Consecutive failures that a pull tolerates; a later exchange of digests starts it again. */
#define PULL_FAILURES_MAX 8

/* A peer that returned no part for this time is replaced; single time-outs are lost packets. */
#define PEER_SILENCE_MAX_MS 250

enum part_state {
	PART_MISSING,
	PART_REQUESTED,
	PART_RECEIVED,
};

void pull_free(gpointer data)
{
	struct pull *pull = data;

	g_free(pull->name);
	g_byte_array_unref(pull->document);
	g_byte_array_unref(pull->parts);
	g_free(pull);
}

static struct pull *find_pull(const struct confsync *sync, peer_object_kind kind, const char *name)
{
	for (guint i = 0; i < sync->pulls->len; i++) {
		struct pull *pull = g_ptr_array_index(sync->pulls, i);

		if (pull->kind == kind && !strcmp(pull->name, name))
			return pull;
	}
	return NULL;
}

static void drop_calls(struct confsync *sync, const struct pull *pull)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sync->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct sync_call *)value)->pull == pull)
			g_hash_table_iter_remove(&iter);
	}
}

static void drop_pull(struct confsync *sync, struct pull *pull)
{
	drop_calls(sync, pull);
	g_ptr_array_remove(sync->pulls, pull);
}

/* Starts again from the first part; replies to outstanding calls are ignored. */
static void restart_pull(struct confsync *sync, struct pull *pull)
{
	drop_calls(sync, pull);
	g_byte_array_set_size(pull->document, 0);
	g_byte_array_set_size(pull->parts, 0);
	pull->parts_left = pull->next_part = pull->in_flight = 0;
	pull->started = false;
}

static void request_part(struct confsync *sync, struct ctx *ctx, struct pull *pull, uint32_t offset)
{
	peer_msg msg = { .type = PEER_CONFIG_PULL };

	msg.peer_msg_u.config_pull = (peer_config_pull){
		.kind = pull->kind,
		.name = pull->name,
		.generation = pull->generation,
		.offset = offset,
	};
	pull->in_flight++;
	sync_call(sync, ctx, pull->peer, &msg, pull, offset);
}

static void request_parts(struct confsync *sync, struct ctx *ctx, struct pull *pull)
{
	/* The reply with the first part contains the length of the document. */
	if (!pull->started) {
		pull->started = true;
		request_part(sync, ctx, pull, 0);
		return;
	}
	/* A peer that may lack the object is sent a request for one part first. */
	for (; pull->in_flight < (pull->peer_has_object ? PARTS_PARALLEL : 1) &&
	       pull->next_part < pull->parts->len;
	     pull->next_part++) {
		if (pull->parts->data[pull->next_part] != PART_MISSING)
			continue;
		pull->parts->data[pull->next_part] = PART_REQUESTED;
		request_part(sync, ctx, pull, pull->next_part * PART_BYTES);
	}
}

void pull_run(struct confsync *sync, struct ctx *ctx)
{
	guint nr = MIN(sync->pulls->len, PULLS_PARALLEL);

	for (guint i = 0; i < nr; i++)
		request_parts(sync, ctx, g_ptr_array_index(sync->pulls, i));
}

bool pull_version(struct confsync *sync, struct ctx *ctx, uint32_t peer,
		  const peer_object_version *version)
{
	struct pull *pull;

	if (version->kind > PEER_OBJECT_GRANTS || !version->name || !version->name[0] ||
	    version->generation <= sync_generation(sync, version->kind, version->name) ||
	    sync_rejected(sync, version->kind, version->name, version->generation))
		return false;
	pull = find_pull(sync, version->kind, version->name);
	if (pull) {
		if (version->generation > pull->generation) {
			pull->generation = version->generation;
			pull->announcer = pull->peer = peer;
			pull->failures = 0;
			restart_pull(sync, pull);
		}
		return true;
	}
	if (sync->pulls->len >= PULLS_MAX)
		return false;
	pull = g_new0(struct pull, 1);
	pull->kind = version->kind;
	pull->name = g_strdup(version->name);
	pull->generation = version->generation;
	pull->announcer = pull->peer = peer;
	pull->document = g_byte_array_new();
	pull->parts = g_byte_array_new();
	/* Grants first: without its grant, an organisation cannot be applied. */
	g_ptr_array_insert(sync->pulls, version->kind == PEER_OBJECT_GRANTS ? 0 : -1, pull);
	pull_run(sync, ctx);
	return true;
}

/*
 * Replaces a peer that does not answer or lacks the object: alternates between another member and
 * the peer that announced the version. Parts that were received before are kept.
 */
static void switch_peer(struct confsync *sync, struct ctx *ctx, struct pull *pull)
{
	uint32_t peer = sync_random_member(sync, ctx, pull->announcer);

	if (++pull->failures > PULL_FAILURES_MAX) {
		drop_pull(sync, pull);
		return;
	}
	pull->peer = pull->failures % 2 && peer != MEMBER_NONE ? peer : pull->announcer;
	pull->peer_has_object = false;
	pull->progress_at = ctx->now;
	if (!pull->parts->len)
		restart_pull(sync, pull);
}

static void mark_missing(struct pull *pull, uint32_t offset)
{
	uint32_t part = offset / PART_BYTES;

	if (part >= pull->parts->len || pull->parts->data[part] == PART_RECEIVED)
		return;
	pull->parts->data[part] = PART_MISSING;
	pull->next_part = MIN(pull->next_part, part);
}

static void init_document(struct pull *pull, const peer_config_object *obj)
{
	g_byte_array_set_size(pull->document, obj->total);
	pull->parts_left = (obj->total + PART_BYTES - 1) / PART_BYTES;
	g_byte_array_set_size(pull->parts, pull->parts_left);
	memset(pull->parts->data, PART_MISSING, pull->parts->len);
	memcpy(pull->signature, obj->signature.signature_val, sizeof(pull->signature));
	pull->next_part = 0;
}

/* Stores a part. Returns false when it does not belong to the document that is being pulled. */
static bool store_part(struct pull *pull, uint32_t offset, const peer_config_object *obj)
{
	uint32_t len = obj->document.document_len;
	uint32_t part = offset / PART_BYTES;

	if (!obj->total || obj->total > PEER_MAX_DOCUMENT || obj->offset != offset ||
	    obj->id.generation != pull->generation || obj->id.kind != pull->kind ||
	    strcmp(obj->id.name, pull->name) != 0 ||
	    obj->signature.signature_len != sizeof(pull->signature))
		return false;
	if (!pull->parts->len)
		init_document(pull, obj);
	if (pull->document->len != obj->total || part >= pull->parts->len ||
	    len != MIN(PART_BYTES, obj->total - offset) ||
	    memcmp(pull->signature, obj->signature.signature_val, sizeof(pull->signature)) != 0)
		return false;
	if (pull->parts->data[part] != PART_RECEIVED) {
		pull->parts->data[part] = PART_RECEIVED;
		pull->parts_left--;
		memcpy(pull->document->data + offset, obj->document.document_val, len);
	}
	return true;
}

static void finish_pull(struct confsync *sync, struct ctx *ctx, struct pull *pull)
{
	struct object obj = {
		.kind = pull->kind,
		.name = pull->name,
		.generation = pull->generation,
		.document = pull->document->data,
		.len = pull->document->len,
	};

	memcpy(obj.signature, pull->signature, sizeof(obj.signature));
	sync_accept(sync, ctx, &obj);
	if (sync_generation(sync, pull->kind, pull->name) < pull->generation)
		sync_reject(sync, &obj);
	drop_pull(sync, pull);
}

void pull_reply(struct confsync *sync, struct ctx *ctx, struct pull *pull,
		const struct sync_call *call, enum call_status status, const peer_msg *msg)
{
	const peer_config_object *obj = NULL;
	bool current = call->peer == pull->peer;

	pull->in_flight--;
	if (status == CALL_OK && msg->type == PEER_CONFIG_OBJECT)
		obj = &msg->peer_msg_u.object;
	if (obj && obj->total && obj->id.generation > pull->generation) {
		/* The object has changed since: pull the newer version. */
		pull->generation = obj->id.generation;
		restart_pull(sync, pull);
	} else if (obj && store_part(pull, call->offset, obj)) {
		pull->failures = 0;
		pull->peer_has_object |= current;
		pull->progress_at = ctx->now;
		if (!pull->parts_left)
			finish_pull(sync, ctx, pull);
	} else {
		mark_missing(pull, call->offset);
		if (!pull->parts->len ||
		    (current &&
		     (obj || ts_diff_ms(ctx->now, pull->progress_at) >= PEER_SILENCE_MAX_MS)))
			switch_peer(sync, ctx, pull);
	}
	pull_run(sync, ctx);
}

void pull_serve(const struct confsync *sync, struct ctx *ctx, uint32_t src, uint32_t xid,
		const peer_config_pull *request)
{
	const struct object *have = config_object(sync->cfg, request->kind, request->name);
	struct action act = { .type = ACTION_PEER_REPLY, .dst = src, .xid = xid };
	peer_msg msg = { .type = PEER_CONFIG_OBJECT };
	peer_config_object *out = &msg.peer_msg_u.object;

	out->id.kind = request->kind;
	out->id.name = request->name;
	if (have && have->generation >= request->generation && request->offset < have->len) {
		out->id.generation = have->generation;
		out->signature.signature_len = sizeof(have->signature);
		out->signature.signature_val = (char *)have->signature;
		out->total = (u_int)have->len;
		out->offset = request->offset;
		out->document.document_len = (u_int)MIN(PART_BYTES, have->len - request->offset);
		out->document.document_val = (char *)have->document + request->offset;
	}
	actions_add_peer(ctx->out, act, &msg);
}
