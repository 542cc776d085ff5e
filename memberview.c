/* Queries on the membership: rendezvous ranks, routing leases, data centres out of contact. */
#include <string.h>
#include <xxhash.h>

#include "member-internal.h"

static uint64_t weight(uint64_t key, uint32_t id)
{
	return XXH3_64bits_withSeed(&key, sizeof(key), id);
}

uint32_t members_ranked(const struct members *mem, uint64_t key, uint32_t rank)
{
	uint64_t bound = UINT64_MAX;
	uint32_t found = MEMBER_NONE;

	if (rank >= mem->candidates->len)
		return MEMBER_NONE;
	/* Each pass finds the next lower weight; callers ask for low ranks only. */
	for (uint32_t pass = 0; pass <= rank; pass++) {
		uint64_t best = 0;

		found = MEMBER_NONE;
		for (guint i = 0; i < mem->candidates->len; i++) {
			uint32_t id = g_array_index(mem->candidates, uint32_t, i);
			uint64_t w = weight(key, id);

			if (w < bound && (found == MEMBER_NONE || w > best)) {
				best = w;
				found = id;
			}
		}
		bound = best;
	}
	return found;
}

uint32_t members_home(const struct members *mem, struct service_addr addr, uint32_t shard,
		      uint32_t rank)
{
	uint32_t words[3] = { addr.ep.ip, (uint32_t)addr.ep.port << 16 | addr.proto, shard };

	return members_ranked(mem, XXH3_64bits(words, sizeof(words)), rank);
}

static bool is_alone(const struct members *mem)
{
	for (guint i = 0; i < mem->entries->len; i++) {
		const struct member *m = g_ptr_array_index(mem->entries, i);

		if (m != mem->self && m->state != MEMBER_DEAD)
			return false;
	}
	return true;
}

static bool echoed_within(const struct members *mem, struct timespec now, uint32_t leases)
{
	if (mem->started && ts_diff_ms(now, mem->last_run) > ROUTING_LEASE_MIN_MS)
		return false;
	return is_alone(mem) ||
	       (mem->echo_sent_at.tv_sec | mem->echo_sent_at.tv_nsec &&
		ts_diff_ms(now, mem->echo_sent_at) <= leases * members_lease_ms(mem));
}

bool members_lease_fresh(const struct members *mem, struct timespec now)
{
	return echoed_within(mem, now, 1);
}

bool members_home_lease_fresh(const struct members *mem, struct timespec now)
{
	return echoed_within(mem, now, 2);
}

bool members_may_route(const struct members *mem, uint32_t id, struct timespec now)
{
	const struct member *m = member_find(mem, id);
	uint32_t lease = members_lease_ms(mem);

	if (!m || m->claimed == PEER_MEMBER_LEFT)
		return false;
	if (m == mem->self)
		return members_lease_fresh(mem, now);
	return member_age_ms(m, now) <= lease + lease / 2;
}

/* Out of contact. Callers exclude members that are known to have left. */
static bool out_of_contact(const struct members *mem, const struct member *m)
{
	if (m == mem->self)
		return false;
	if (!m->counter_known)
		return m->listed || !mem->list_received;
	return m->state == MEMBER_DEAD || m->state == MEMBER_SUSPECT;
}

bool members_maybe_partitioned(const struct members *mem)
{
	for (guint i = 0; i < mem->entries->len; i++) {
		const struct member *m = g_ptr_array_index(mem->entries, i);
		bool all = true;

		if (!m->dc || member_has_left(m) || !out_of_contact(mem, m))
			continue;
		for (guint j = 0; all && j < mem->entries->len; j++) {
			const struct member *o = g_ptr_array_index(mem->entries, j);

			all = o->dc != m->dc || member_has_left(o) || out_of_contact(mem, o) ||
			      (!o->counter_known && o != mem->self);
		}
		if (all)
			return true;
	}
	return false;
}

uint32_t members_lost_since(const struct members *mem, struct timespec since)
{
	uint32_t nr = 0;

	for (guint i = 0; i < mem->entries->len; i++) {
		const struct member *m = g_ptr_array_index(mem->entries, i);

		nr += (m->lost_at.tv_sec || m->lost_at.tv_nsec) && ts_cmp(m->lost_at, since) >= 0;
	}
	return nr;
}

void members_for_each(const struct members *mem, void (*fn)(uint32_t id, void *arg), void *arg)
{
	for (guint i = 0; i < mem->entries->len; i++) {
		const struct member *m = g_ptr_array_index(mem->entries, i);

		if (m != mem->self && m->state != MEMBER_DEAD)
			fn(m->id, arg);
	}
}

uint32_t members_count(const struct members *mem)
{
	uint32_t nr = 0;

	for (guint i = 0; i < mem->entries->len; i++) {
		const struct member *m = g_ptr_array_index(mem->entries, i);

		nr += m == mem->self || m->state == MEMBER_LIVE || m->state == MEMBER_SUSPECT;
	}
	return nr;
}

bool members_in_dc(const struct members *mem, const char *name)
{
	const char *dc = g_intern_string(name);

	for (guint i = 0; i < mem->entries->len; i++) {
		const struct member *m = g_ptr_array_index(mem->entries, i);

		if (m->dc == dc && m->state != MEMBER_DEAD)
			return true;
	}
	return false;
}

bool members_endpoint(const struct members *mem, uint32_t id, struct endpoint *ep)
{
	const struct member *m = member_find(mem, id);

	if (m) {
		*ep = m->ep;
		return m->ep.port != 0;
	}
	for (guint i = 0; i < mem->foreign->len; i++) {
		const struct foreign_instance *s =
			&g_array_index(mem->foreign, struct foreign_instance, i);

		if (s->id == id) {
			*ep = s->ep;
			return s->ep.port != 0;
		}
	}
	return false;
}

uint32_t members_random_foreign(const struct members *mem, struct ctx *ctx)
{
	if (!mem->foreign->len)
		return MEMBER_NONE;
	return g_array_index(mem->foreign, struct foreign_instance,
			     random_below(ctx->random, mem->foreign->len))
		.id;
}
