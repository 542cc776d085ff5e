#include <errno.h>
#include <string.h>

#include "shard.h"

/* Longer than every call with all its tries; later replies are ignored. */
#define CALL_KEEP_MS 5000

static uint32_t *org_parked(struct homes *homes, uint32_t org)
{
	if (org >= homes->org_parked->len)
		g_array_set_size(homes->org_parked, org + 1);
	return &g_array_index(homes->org_parked, uint32_t, org);
}

static struct parked *park(struct homes *homes, struct ctx *ctx, uint32_t org, const uint8_t *bytes,
			   size_t len)
{
	struct parked *parked;

	if (len > PEER_MAX_PACKET || homes->parked >= PARKED_MAX ||
	    *org_parked(homes, org) >= PARKED_MAX_PER_ORG) {
		ctx->counters->drop_parked++;
		return NULL;
	}
	homes->parked++;
	(*org_parked(homes, org))++;
	parked = g_new0(struct parked, 1);
	parked->org = org;
	parked->since = ctx->now;
	parked->bytes = g_memdup2(bytes, len);
	return parked;
}

struct parked *park_packet(struct homes *homes, struct ctx *ctx, uint32_t org,
			   const struct packet *pkt)
{
	struct parked *parked = park(homes, ctx, org, pkt->bytes, pkt->len);

	if (!parked)
		return NULL;
	parked->pkt = *pkt;
	parked->pkt.bytes = parked->bytes;
	return parked;
}

struct parked *park_answer(struct homes *homes, struct ctx *ctx, uint32_t org,
			   const struct answer *ans)
{
	struct parked *parked = park(homes, ctx, org, ans->bytes, ans->len);

	if (!parked)
		return NULL;
	parked->is_answer = true;
	parked->ans = *ans;
	parked->ans.bytes = parked->bytes;
	return parked;
}

bool parked_in_time(struct ctx *ctx, struct parked *parked)
{
	int64_t waited = ts_diff_ms(ctx->now, parked->since);

	if (parked->pkt.deadline_ms == NO_DEADLINE)
		return true;
	if (parked->pkt.deadline_ms <= waited) {
		ctx->counters->drop_deadline++;
		return false;
	}
	parked->pkt.deadline_ms -= (int32_t)waited;
	parked->since = ctx->now;
	return true;
}

void parked_free(struct homes *homes, struct parked *parked)
{
	if (!parked)
		return;
	homes->parked--;
	(*org_parked(homes, parked->org))--;
	g_free(parked->bytes);
	g_free(parked);
}

void call_free(struct homes *homes, struct call *call)
{
	parked_free(homes, call->parked);
	g_free(call);
}

uint64_t call_make(struct homes *homes, struct ctx *ctx, struct call call, uint32_t timeout_ms,
		   uint32_t tries, const peer_msg *msg)
{
	uint64_t id = ++homes->next_call;
	struct action act = {
		.type = ACTION_PEER_CALL,
		.dst = call.dst,
		.call_id = id,
		.timeout_ms = timeout_ms,
		.tries = tries,
	};

	if (call.dst == MEMBER_NONE || g_hash_table_size(homes->calls) >= CALLS_MAX ||
	    actions_add_peer(ctx->out, act, msg)) {
		parked_free(homes, call.parked);
		return 0;
	}
	call.started = ctx->now;
	g_hash_table_insert(homes->calls, g_memdup2(&id, sizeof(id)),
			    g_memdup2(&call, sizeof(call)));
	return id;
}

struct expiry {
	struct homes *homes;
	struct ctx *ctx;
};

static gboolean call_expired(gpointer key, gpointer value, gpointer arg)
{
	struct expiry *expiry = arg;
	struct call *call = value;

	(void)key;
	if (ts_diff_ms(expiry->ctx->now, call->started) < CALL_KEEP_MS)
		return FALSE;
	if (call->parked)
		expiry->ctx->counters->drop_parked++;
	call_free(expiry->homes, call);
	return TRUE;
}

void calls_expire(struct homes *homes, struct ctx *ctx)
{
	struct expiry expiry = { homes, ctx };

	g_hash_table_foreach_remove(homes->calls, call_expired, &expiry);
}

void peer_reply(struct ctx *ctx, uint32_t dst, uint32_t xid, const peer_msg *msg)
{
	if (xid)
		actions_add_peer(ctx->out,
				 (struct action){
					 .type = ACTION_PEER_REPLY,
					 .dst = dst,
					 .xid = xid,
				 },
				 msg);
}

void opening_save(struct homes *homes, struct ctx *ctx, uint64_t hash, const struct packet *pkt)
{
	/* The low ten bits are the bucket; the next ones spread its flows over the slots. */
	struct saved_opening *saved = &homes->saved[hash >> 10 & (SAVED_OPENINGS - 1)];

	/* A saved opening that is sent again points to its own slot. */
	if (pkt->kind != PACKET_OPENING || pkt->len > SAVED_OPENING_MAX_BYTES ||
	    pkt->bytes == saved->bytes)
		return;
	*saved = (struct saved_opening){
		.hash = hash,
		.opening_id = pkt->opening_id,
		.saved_ms = flowtab_ms(homes->tab, ctx->now),
		.deadline_ms = pkt->deadline_ms,
		.len = (uint16_t)pkt->len,
	};
	memcpy(saved->bytes, pkt->bytes, pkt->len);
}

const struct saved_opening *opening_saved(struct homes *homes, struct ctx *ctx, uint64_t hash,
					  uint32_t opening_id)
{
	const struct saved_opening *saved = &homes->saved[hash >> 10 & (SAVED_OPENINGS - 1)];

	if (!saved->len || saved->hash != hash || saved->opening_id != opening_id ||
	    flowtab_ms(homes->tab, ctx->now) - saved->saved_ms > SAVED_OPENING_KEEP_MS)
		return NULL;
	return saved;
}
