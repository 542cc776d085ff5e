#include "member.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "member-internal.h"

/*
 * A longer gap between calls is a pause of this process, which voids its suspicions. Half of the
 * smallest lease, so that a busy machine does not count as paused.
 */
#define OWN_PAUSE_MIN_MS 1000

/*
 * Relayed counters of a dead member may still be in circulation; only one that is ahead by at least
 * this many shows that the member is alive.
 */
#define REVIVE_MIN_COUNTERS 3

/* Age at which a dead member with neither list entry nor address is removed; bounds the table. */
#define MEMBER_REMOVE_AFTER_MS (10 * 60 * MSEC_PER_SEC)

static int compare_id(gconstpointer a, gconstpointer b)
{
	const struct member *x = *(struct member *const *)a;
	const struct member *y = *(struct member *const *)b;

	return x->id < y->id ? -1 : x->id > y->id;
}

struct member *member_find(const struct members *mem, uint32_t id)
{
	guint low = 0, high = mem->entries->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;
		struct member *m = g_ptr_array_index(mem->entries, mid);

		if (m->id == id)
			return m;
		if (m->id < id)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

struct member *member_get(struct members *mem, uint32_t id, struct timespec now)
{
	struct member *m = member_find(mem, id);

	if (m)
		return m;
	m = g_new0(struct member, 1);
	m->id = id;
	m->state = MEMBER_JOINING;
	m->advanced_at = now;
	g_ptr_array_add(mem->entries, m);
	g_ptr_array_sort(mem->entries, compare_id);
	return m;
}

bool member_has_left(const struct member *m)
{
	return m->claimed == PEER_MEMBER_LEFT || (m->list_gone && m->state == MEMBER_DEAD);
}

struct members *members_new(const struct members_options *opts)
{
	struct members *mem = g_new0(struct members, 1);
	struct timespec zero = { 0, 0 };

	mem->entries = g_ptr_array_new_with_free_func(g_free);
	mem->foreign = g_array_new(FALSE, FALSE, sizeof(struct foreign_instance));
	mem->candidates = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	mem->group = g_strdup(opts->group);
	mem->group_hash = (uint32_t)XXH3_64bits(opts->group, strlen(opts->group));
	mem->self = member_get(mem, opts->self, zero);
	mem->self->incarnation = opts->incarnation;
	mem->self->counter_known = true;
	mem->self->dc = g_intern_string(opts->data_centre);
	for (size_t i = 0; i < opts->nr_seeds; i++)
		member_add_instance(mem, &opts->seeds[i], zero);
	if (opts->peer.port)
		mem->self->ep = opts->peer;
	mem->size = mem->entries->len;
	return mem;
}

void members_free(struct members *mem)
{
	if (!mem)
		return;
	g_ptr_array_unref(mem->entries);
	g_array_unref(mem->foreign);
	g_array_unref(mem->candidates);
	g_free(mem->group);
	g_free(mem);
}

uint32_t members_lease_ms(const struct members *mem)
{
	double spread_ms;

	/* Two members exchange heartbeats directly in every interval; no gossip delay. */
	if (mem->size <= 2)
		return ROUTING_LEASE_MIN_MS;
	/*
	 * With n members that each gossip r times a second, a member's newest counter at another
	 * one is older than x with a probability of about n * exp(-r * x). The lease keeps that
	 * below exp(-4); two observers must agree before a member becomes suspect.
	 */
	spread_ms = MSEC_PER_SEC * (log(mem->size) + 4) / heartbeat_rate(mem->size);
	return MAX(ROUTING_LEASE_MIN_MS, (uint32_t)spread_ms);
}

static bool is_candidate(const struct member *m)
{
	return m->counter_known && m->claimed == PEER_MEMBER_LIVE && !m->list_leaving &&
	       (m->state == MEMBER_LIVE || m->state == MEMBER_SUSPECT);
}

int64_t member_age_ms(const struct member *m, struct timespec now)
{
	return ts_diff_ms(now, m->advanced_at);
}

bool member_lease_expired(const struct members *mem, const struct member *m, struct timespec now)
{
	return m != mem->self && m->counter_known && m->claimed != PEER_MEMBER_LEFT &&
	       member_age_ms(m, now) > members_lease_ms(mem);
}

/*
 * Whether another observer suspects @m too, or no other member is in contact that could confirm it.
 * An instance without contact to any member decides alone, else it would wait for dead members for
 * ever; it waits two leases, because a gap in its own reception is the more likely cause at first.
 */
static bool suspicion_confirmed(const struct members *mem, const struct member *m,
				struct timespec now, uint32_t lease)
{
	if (m->suspected_by != MEMBER_NONE && ts_diff_ms(now, m->suspected_at) <= lease)
		return true;
	for (guint i = 0; i < mem->entries->len; i++) {
		const struct member *o = g_ptr_array_index(mem->entries, i);

		if (o != mem->self && o != m && o->counter_known && o->state != MEMBER_DEAD &&
		    member_age_ms(o, now) <= lease)
			return false;
	}
	return member_age_ms(m, now) > 2 * (int64_t)lease;
}

static enum member_state claimed_state(const struct member *m)
{
	if (m->claimed == PEER_MEMBER_LEFT)
		return MEMBER_DEAD;
	if (m->claimed == PEER_MEMBER_JOINING)
		return MEMBER_JOINING;
	if (m->claimed == PEER_MEMBER_LEAVING || m->list_leaving)
		return MEMBER_LEAVING;
	return MEMBER_LIVE;
}

static enum member_state next_state(const struct members *mem, const struct member *m,
				    struct timespec now, uint32_t lease)
{
	int64_t age = member_age_ms(m, now);

	if (m == mem->self)
		return claimed_state(m);
	if (m->state == MEMBER_DEAD && m->counter_known)
		return MEMBER_DEAD;
	if (!m->counter_known)
		return m->list_gone || age > 3 * (int64_t)lease ? MEMBER_DEAD : MEMBER_JOINING;
	/* The member's home lease must have expired first: the list may be wrong. */
	if (age > 3 * (int64_t)lease && m->list_gone)
		return MEMBER_DEAD;
	if (age > lease && suspicion_confirmed(mem, m, now, lease))
		return age > 3 * (int64_t)lease ? MEMBER_DEAD : MEMBER_SUSPECT;
	return claimed_state(m);
}

static void set_state(struct member *m, enum member_state state, struct timespec now)
{
	if (state == MEMBER_DEAD && m->state != MEMBER_DEAD && m->counter_known &&
	    m->claimed == PEER_MEMBER_LIVE)
		m->lost_at = now;
	m->state = state;
}

static void collect_candidates(const struct members *mem, GArray *out)
{
	for (guint i = 0; i < mem->entries->len; i++) {
		const struct member *m = g_ptr_array_index(mem->entries, i);

		if (is_candidate(m))
			g_array_append_val(out, m->id);
	}
}

bool members_refresh(struct members *mem, struct timespec now)
{
	GArray *new_candidates = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint32_t lease = members_lease_ms(mem);
	uint32_t size = 0;
	bool changed;

	for (guint i = 0; i < mem->entries->len; i++) {
		struct member *m = g_ptr_array_index(mem->entries, i);

		member_update_list_leaving(mem, m, now);
		set_state(m, next_state(mem, m, now, lease), now);
		if (m != mem->self && m->state == MEMBER_DEAD && !m->listed && !m->ep.port &&
		    member_age_ms(m, now) > MEMBER_REMOVE_AFTER_MS) {
			g_ptr_array_remove_index(mem->entries, i--);
			continue;
		}
		size += !member_has_left(m);
	}
	mem->size = size;
	collect_candidates(mem, new_candidates);
	changed = new_candidates->len != mem->candidates->len ||
		  (new_candidates->len && memcmp(new_candidates->data, mem->candidates->data,
						 new_candidates->len * sizeof(uint32_t)) != 0);
	if (changed)
		mem->version++;
	g_array_unref(mem->candidates);
	mem->candidates = new_candidates;
	return changed;
}

void members_note_time(struct members *mem, struct timespec now)
{
	int64_t gap = mem->started ? ts_diff_ms(now, mem->last_run) : 0;

	if (!mem->started) {
		mem->started = true;
		mem->next_send = now;
		mem->last_run = now;
		for (guint i = 0; i < mem->entries->len; i++)
			((struct member *)g_ptr_array_index(mem->entries, i))->advanced_at = now;
		return;
	}
	if (gap > OWN_PAUSE_MIN_MS) {
		uint32_t lease = members_lease_ms(mem);

		/* Silence during a pause of this process is no evidence against other members. */
		for (guint i = 0; i < mem->entries->len; i++) {
			struct member *m = g_ptr_array_index(mem->entries, i);

			if (m->state != MEMBER_DEAD)
				m->advanced_at = ts_add_ms(m->advanced_at, gap);
			m->suspected_by = MEMBER_NONE;
		}
		mem->suspicion_grace_end = ts_add_ms(now, lease);
		if (gap > ROUTING_LEASE_MIN_MS)
			mem->paused = true;
	}
	if (gap > 0)
		mem->last_run = now;
}

bool member_advance(struct members *mem, struct member *m, uint32_t incarnation, uint32_t counter,
		    peer_member_state claimed, struct timespec now, bool direct)
{
	bool dead = m->state == MEMBER_DEAD;

	if (m->counter_known && incarnation < m->incarnation)
		return false;
	if (m->counter_known && incarnation == m->incarnation) {
		uint32_t ahead = (counter - m->counter) & COUNTER_MASK;

		if (ahead == 0 || ahead > COUNTER_MASK / 2)
			return false;
		if (dead && !direct && ahead < REVIVE_MIN_COUNTERS)
			return false;
		if (m->claimed == PEER_MEMBER_LEFT)
			return false;
		if (dead)
			m->lost_at = (struct timespec){ 0, 0 };
		if (claimed != m->claimed || dead)
			m->change_sends_left = CHANGE_SENDS;
	} else {
		/* A restart: the state of the old incarnation is lost, unless it had left. */
		if (m->counter_known && !mem->list_watched)
			m->list_gone = m->list_leaving = false;
		if (m->counter_known && m->claimed == PEER_MEMBER_LIVE && !dead)
			m->lost_at = now;
		if (m->counter_known)
			mem->version++;
		m->incarnation = incarnation;
		m->change_sends_left = CHANGE_SENDS;
		m->counter_known = true;
	}
	m->counter = counter;
	m->claimed = claimed;
	m->advanced_at = now;
	m->suspected_by = MEMBER_NONE;
	if (dead || m->state == MEMBER_SUSPECT)
		m->state = claimed_state(m);
	return true;
}

void members_note_echo(struct members *mem, uint32_t counter)
{
	uint32_t behind = (mem->self->counter - counter) & COUNTER_MASK;
	struct timespec at;

	if (behind >= SENT_COUNTERS_MAX)
		return;
	at = mem->sent_at[counter % SENT_COUNTERS_MAX];
	if (ts_cmp(at, mem->echo_sent_at) > 0)
		mem->echo_sent_at = at;
}

bool members_timer(struct members *mem, struct ctx *ctx)
{
	bool changed;

	members_note_time(mem, ctx->now);
	changed = members_refresh(mem, ctx->now);
	heartbeat_send_due(mem, ctx);
	return changed;
}

void members_set_config_digest(struct members *mem, uint64_t config_digest)
{
	mem->digest = config_digest;
}

void members_set_news_source(struct members *mem, struct news_source *src)
{
	mem->news = src;
}

uint64_t members_version(const struct members *mem)
{
	return mem->version;
}

uint32_t members_self(const struct members *mem)
{
	return mem->self->id;
}

enum member_state members_state(const struct members *mem, uint32_t id)
{
	const struct member *m = member_find(mem, id);

	return m ? m->state : MEMBER_DEAD;
}

uint32_t members_incarnation(const struct members *mem, uint32_t id)
{
	const struct member *m = member_find(mem, id);

	return m ? m->incarnation : 0;
}

void members_set_own_state(struct members *mem, enum member_state state)
{
	struct member *self = mem->self;
	peer_member_state claimed = PEER_MEMBER_LEAVING;

	if (state == MEMBER_JOINING)
		claimed = PEER_MEMBER_JOINING;
	else if (state == MEMBER_LIVE)
		claimed = PEER_MEMBER_LIVE;
	if (claimed == self->claimed)
		return;
	self->claimed = claimed;
	self->change_sends_left = CHANGE_SENDS;
	members_refresh(mem, mem->last_run);
}

bool members_paused(struct members *mem)
{
	bool paused = mem->paused;

	mem->paused = false;
	return paused;
}
