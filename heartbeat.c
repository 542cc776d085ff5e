/* Heartbeats: their contents, rate and receivers, and how a received one is applied. */
#include <string.h>

#include "member-internal.h"

/* Sizes in bytes. A heartbeat fits one unfragmented datagram. */
#define HEARTBEAT_MAX_BYTES	    1200
#define HEARTBEAT_FIXED_BYTES	    52 /* XDR body of a heartbeat without entries */
#define VECTOR_ENTRY_BYTES	    3  /* typical; 4 or more where ids are far apart */
#define VECTOR_MAX_BYTES	    800
#define FULL_ENTRY_BYTES	    12
#define SUSPICION_ENTRY_BYTES	    8
#define NEWS_ENTRY_BYTES	    24
#define NEWS_MAX		    16
#define NEWS_TYPICAL_ENTRIES	    4
#define SUSPICIONS_MAX		    16
#define CONTACTS_MAX		    4
#define FULL_ENTRIES_MAX	    60	/* in a reply to a member that requested full entries */
#define CHANGED_ENTRIES_MAX	    8	/* changed members; a larger heartbeat is sent less often */
#define UNSCHEDULED_INTERVAL_MIN_MS 500 /* between unscheduled heartbeats */
#define DEAD_HEARTBEAT_PERMILLE	    100 /* share of intervals with a heartbeat to a dead member */

/* At a higher age, the low 8 bits cannot tell a newer counter from an older one. */
#define VECTOR_MAX_AGE_MS (30 * MSEC_PER_SEC)

#define INCARNATION_LOW_MASK 0x3f

struct heartbeat_draft {
	peer_heartbeat hb;
	size_t bytes;
	uint8_t vector[VECTOR_MAX_BYTES];
	peer_member members[PEER_MAX_MEMBERS];
	peer_contact contacts[CONTACTS_MAX];
	peer_suspicion suspicions[SUSPICIONS_MAX];
	peer_target_news news[NEWS_MAX];
};

uint32_t heartbeat_bytes(uint32_t size)
{
	return DATAGRAM_OVERHEAD_BYTES + HEARTBEAT_FIXED_BYTES +
	       MIN(VECTOR_ENTRY_BYTES * size, VECTOR_MAX_BYTES) +
	       NEWS_TYPICAL_ENTRIES * NEWS_ENTRY_BYTES;
}

/* Heartbeats per interval: enough to use the budget at the shortest interval. */
static uint32_t fanout(uint32_t size, double affordable)
{
	uint32_t want = (uint32_t)(affordable * HEARTBEAT_INTERVAL_MIN_MS / MSEC_PER_SEC) + 1;

	return MIN(MIN(want, HEARTBEAT_FANOUT_MAX), MAX(size, 2) - 1);
}

double heartbeat_rate(uint32_t size)
{
	double affordable = (double)HEARTBEAT_BYTES_PER_S / heartbeat_bytes(size);
	double limit = (double)fanout(size, affordable) * MSEC_PER_SEC / HEARTBEAT_INTERVAL_MIN_MS;

	/* A vector that is sent in parts renews an entry only once in that many heartbeats. */
	if (VECTOR_ENTRY_BYTES * size > VECTOR_MAX_BYTES)
		affordable = affordable * VECTOR_MAX_BYTES / (VECTOR_ENTRY_BYTES * size);
	return MIN(affordable, limit);
}

static size_t encode_vector_entry(uint8_t *out, uint32_t delta, const struct member *m)
{
	size_t len = 0;

	while (delta >= 0x80) {
		out[len++] = (uint8_t)(delta | 0x80);
		delta >>= 7;
	}
	out[len++] = (uint8_t)delta;
	out[len++] = (uint8_t)(m->claimed << 6 | (m->incarnation & INCARNATION_LOW_MASK));
	out[len++] = (uint8_t)m->counter;
	return len;
}

static bool in_vector(const struct members *mem, const struct member *m, struct timespec now)
{
	return m == mem->self || (m->counter_known && m->state != MEMBER_DEAD &&
				  ts_diff_ms(now, m->advanced_at) < VECTOR_MAX_AGE_MS / 2);
}

/* Adds the members from id @vector_start on; the first that does not fit starts the next part. */
static void fill_vector(struct members *mem, struct ctx *ctx, struct heartbeat_draft *dr)
{
	uint32_t last = 0;
	size_t len = 0;
	bool complete = true;

	for (guint i = 0; i < mem->entries->len; i++) {
		const struct member *m = g_ptr_array_index(mem->entries, i);

		if (m->id < mem->vector_start || !in_vector(mem, m, ctx->now))
			continue;
		if (len + 8 > VECTOR_MAX_BYTES) {
			mem->vector_start = m->id;
			complete = false;
			break;
		}
		len += encode_vector_entry(dr->vector + len, m->id - last, m);
		last = m->id;
	}
	if (complete)
		mem->vector_start = 0;
	dr->hb.vector.vector_len = (u_int)len;
	dr->hb.vector.vector_val = (char *)dr->vector;
	dr->bytes += len;
}

static void add_full_entry(struct heartbeat_draft *dr, const struct member *m)
{
	dr->members[dr->hb.members.members_len++] = (peer_member){
		.instance = m->id,
		.incarnation = m->incarnation,
		.counter_state = m->counter << 4 | m->claimed |
				 (m->list_gone ? PEER_MEMBER_LIST_GONE : 0) |
				 (m->list_leaving ? PEER_MEMBER_LIST_LEAVING : 0),
	};
	dr->bytes += FULL_ENTRY_BYTES;
}

static void add_contact(struct heartbeat_draft *dr, const struct member *m)
{
	size_t bytes = 20 + (m->dc ? strlen(m->dc) : 0);

	if (!m->ep.port || !m->dc || dr->hb.contacts.contacts_len >= CONTACTS_MAX ||
	    dr->bytes + bytes > HEARTBEAT_MAX_BYTES)
		return;
	dr->contacts[dr->hb.contacts.contacts_len++] = (peer_contact){
		.instance = m->id,
		.ip = m->ep.ip,
		.port = m->ep.port,
		.data_centre = (char *)m->dc,
	};
	dr->bytes += bytes;
}

/* Adds full entries: of all members if @full, as far as they fit, else of changed members. */
static void fill_members(struct members *mem, struct ctx *ctx, struct heartbeat_draft *dr,
			 bool full)
{
	uint32_t n = mem->entries->len;
	uint32_t limit = full ? FULL_ENTRIES_MAX : CHANGED_ENTRIES_MAX;
	uint32_t start;

	g_assert(n > 0);
	start = random_below(ctx->random, n);
	for (uint32_t i = 0; i < n; i++) {
		struct member *m = g_ptr_array_index(mem->entries, (start + i) % n);

		if (dr->hb.members.members_len >= limit ||
		    dr->bytes + FULL_ENTRY_BYTES > HEARTBEAT_MAX_BYTES)
			break;
		if (!m->counter_known || m == mem->self)
			continue;
		if (full && m->state != MEMBER_DEAD) {
			add_full_entry(dr, m);
		} else if (m->change_sends_left &&
			   (m->state != MEMBER_DEAD || m->claimed == PEER_MEMBER_LEFT ||
			    m->list_gone)) {
			m->change_sends_left--;
			add_full_entry(dr, m);
			add_contact(dr, m);
		}
	}
	if (mem->self->change_sends_left) {
		mem->self->change_sends_left--;
		add_contact(dr, mem->self);
	}
	/* Contacts of the others in rotation, for members without the platform's list. */
	for (uint32_t i = 0; full && i < CONTACTS_MAX; i++)
		add_contact(dr, g_ptr_array_index(mem->entries, mem->next_contact++ % n));
}

static void fill_suspicions(struct members *mem, struct ctx *ctx, struct heartbeat_draft *dr)
{
	uint32_t n = mem->entries->len;
	uint32_t start = random_below(ctx->random, n);

	if (ts_cmp(ctx->now, mem->suspicion_grace_end) < 0)
		return;
	for (uint32_t i = 0; i < n; i++) {
		const struct member *m = g_ptr_array_index(mem->entries, (start + i) % n);

		if (dr->hb.suspicions.suspicions_len >= SUSPICIONS_MAX ||
		    dr->bytes + SUSPICION_ENTRY_BYTES > HEARTBEAT_MAX_BYTES)
			break;
		/* Sent for eight leases, so that slower observers can confirm the death. */
		if (!member_lease_expired(mem, m, ctx->now) ||
		    ts_diff_ms(ctx->now, m->advanced_at) > 8 * (int64_t)members_lease_ms(mem))
			continue;
		dr->suspicions[dr->hb.suspicions.suspicions_len++] = (peer_suspicion){
			.instance = m->id,
			.incarnation = m->incarnation,
		};
		dr->bytes += SUSPICION_ENTRY_BYTES;
	}
}

static void fill_news(struct members *mem, struct ctx *ctx, struct heartbeat_draft *dr)
{
	size_t room;

	if (!mem->news || dr->bytes >= HEARTBEAT_MAX_BYTES)
		return;
	room = MIN((HEARTBEAT_MAX_BYTES - dr->bytes) / NEWS_ENTRY_BYTES, NEWS_MAX);
	if (!room)
		return;
	dr->hb.news.news_len = (u_int)mem->news->fill(mem->news, ctx, dr->news, room);
	dr->hb.news.news_val = dr->news;
	dr->bytes += dr->hb.news.news_len * NEWS_ENTRY_BYTES;
}

static void make_heartbeat(struct members *mem, struct ctx *ctx, struct heartbeat_draft *dr,
			   bool full)
{
	struct member *self = mem->self;

	memset(&dr->hb, 0, sizeof(dr->hb));
	dr->bytes = DATAGRAM_OVERHEAD_BYTES + HEARTBEAT_FIXED_BYTES;
	dr->hb.instance = self->id;
	dr->hb.incarnation = self->incarnation;
	dr->hb.counter_state =
		self->counter << 4 | self->claimed | (mem->wants_full ? PEER_MEMBER_WANTS_FULL : 0);
	dr->hb.group = mem->group_hash;
	dr->hb.config_digest = mem->digest;
	dr->hb.members.members_val = dr->members;
	dr->hb.contacts.contacts_val = dr->contacts;
	dr->hb.suspicions.suspicions_val = dr->suspicions;
	if (full)
		fill_members(mem, ctx, dr, true);
	else
		fill_vector(mem, ctx, dr);
	if (!full)
		fill_members(mem, ctx, dr, false);
	fill_suspicions(mem, ctx, dr);
	fill_news(mem, ctx, dr);
}

static void send_heartbeat(struct ctx *ctx, uint32_t dst, const peer_heartbeat *hb)
{
	peer_msg msg = { .type = PEER_HEARTBEAT };

	msg.peer_msg_u.heartbeat = *hb;
	actions_add_peer(ctx->out, (struct action){ .type = ACTION_PEER_SEND, .dst = dst }, &msg);
}

static void advance_counter(struct members *mem, struct ctx *ctx)
{
	struct member *self = mem->self;

	self->counter = (self->counter + 1) & COUNTER_MASK;
	self->advanced_at = ctx->now;
	mem->sent_at[self->counter % SENT_COUNTERS_MAX] = ctx->now;
}

/* Chooses up to @want random members with a known address; returns their number. */
static uint32_t choose_receivers(struct members *mem, struct ctx *ctx, uint32_t want, uint32_t *out)
{
	GArray *pool = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GArray *dead = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint32_t nr = 0;

	for (guint i = 0; i < mem->entries->len; i++) {
		const struct member *m = g_ptr_array_index(mem->entries, i);

		if (m == mem->self || member_has_left(m) || !m->ep.port)
			continue;
		g_array_append_val(m->state == MEMBER_DEAD ? dead : pool, m->id);
	}
	/* A dead one is included at times, so that the sides of a healed partition reconnect. */
	if (dead->len && (!pool->len || random_below(ctx->random, 1000) < DEAD_HEARTBEAT_PERMILLE))
		out[nr++] = g_array_index(dead, uint32_t, mem->next_dead++ % dead->len);
	while (nr < want && pool->len) {
		uint32_t at = random_below(ctx->random, pool->len);

		out[nr++] = g_array_index(pool, uint32_t, at);
		g_array_remove_index_fast(pool, at);
	}
	g_array_unref(pool);
	g_array_unref(dead);
	return nr;
}

void heartbeat_send_due(struct members *mem, struct ctx *ctx)
{
	double affordable = (double)HEARTBEAT_BYTES_PER_S / heartbeat_bytes(mem->size);
	uint32_t want = fanout(mem->size, affordable);
	uint32_t dst[HEARTBEAT_FANOUT_MAX];
	uint32_t nr, wait;
	size_t bytes = 0;

	if (ts_cmp(ctx->now, mem->next_send) < 0)
		return;
	advance_counter(mem, ctx);
	nr = choose_receivers(mem, ctx, want, dst);
	for (uint32_t i = 0; i < nr; i++) {
		struct heartbeat_draft dr;

		make_heartbeat(mem, ctx, &dr, false);
		send_heartbeat(ctx, dst[i], &dr.hb);
		bytes += dr.bytes;
	}
	mem->wants_full = false;
	wait = MAX(HEARTBEAT_INTERVAL_MIN_MS,
		   (uint32_t)(bytes * MSEC_PER_SEC / HEARTBEAT_BYTES_PER_S));
	/* Up to 10% of jitter, so that members that started together do not send together. */
	wait += random_below(ctx->random, wait / 10 + 1);
	mem->next_send = ts_add_ms(ctx->now, wait);
}

void members_announce_left(struct members *mem, struct ctx *ctx)
{
	uint32_t dst[HEARTBEAT_FANOUT_MAX];
	uint32_t nr = choose_receivers(mem, ctx, HEARTBEAT_FANOUT_MAX, dst);
	struct heartbeat_draft dr;

	mem->self->claimed = PEER_MEMBER_LEFT;
	advance_counter(mem, ctx);
	make_heartbeat(mem, ctx, &dr, false);
	for (uint32_t i = 0; i < nr; i++)
		send_heartbeat(ctx, dst[i], &dr.hb);
	members_refresh(mem, ctx->now);
}

static void apply_vector(struct members *mem, struct ctx *ctx, const peer_heartbeat *hb)
{
	const uint8_t *in = (const uint8_t *)hb->vector.vector_val;
	size_t len = hb->vector.vector_len, at = 0;
	uint32_t id = 0;

	while (at < len) {
		uint32_t delta = 0, shift = 0;
		struct member *m;
		uint8_t state, low;

		while (at < len && in[at] & 0x80 && shift < 28) {
			delta |= (uint32_t)(in[at++] & 0x7f) << shift;
			shift += 7;
		}
		if (at + 3 > len)
			return;
		delta |= (uint32_t)in[at++] << shift;
		state = in[at++];
		low = in[at++];
		id += delta;
		m = member_find(mem, id);
		if (m == mem->self) {
			if ((m->incarnation & INCARNATION_LOW_MASK) ==
			    (state & INCARNATION_LOW_MASK))
				members_note_echo(
					mem, m->counter - (uint8_t)((uint8_t)m->counter - low));
			continue;
		}
		if (!m || !m->counter_known ||
		    (m->incarnation & INCARNATION_LOW_MASK) != (state & INCARNATION_LOW_MASK) ||
		    ts_diff_ms(ctx->now, m->advanced_at) > VECTOR_MAX_AGE_MS) {
			/* Only its own heartbeat or a full entry has enough bits. */
			mem->wants_full = true;
			continue;
		}
		member_advance(mem, m, m->incarnation,
			       (m->counter + (uint32_t)(int8_t)(low - (uint8_t)m->counter)) &
				       COUNTER_MASK,
			       state >> 6, ctx->now, false);
	}
}

static void apply_members(struct members *mem, struct ctx *ctx, const peer_heartbeat *hb)
{
	for (u_int i = 0; i < hb->members.members_len; i++) {
		const peer_member *pm = &hb->members.members_val[i];
		struct member *m;

		if (pm->instance == mem->self->id) {
			if (pm->incarnation == mem->self->incarnation)
				members_note_echo(mem, pm->counter_state >> 4);
			continue;
		}
		if (pm->instance == MEMBER_NONE)
			continue;
		m = member_get(mem, pm->instance, ctx->now);
		member_advance(mem, m, pm->incarnation, pm->counter_state >> 4,
			       pm->counter_state & PEER_MEMBER_LEFT, ctx->now, false);
		if (m->incarnation == pm->incarnation)
			member_apply_list_flags(mem, m, pm->counter_state, ctx->now);
	}
}

static void apply_contacts(struct members *mem, struct ctx *ctx, const peer_heartbeat *hb)
{
	for (u_int i = 0; i < hb->contacts.contacts_len; i++) {
		const peer_contact *pc = &hb->contacts.contacts_val[i];
		struct member *m;

		if (pc->instance == MEMBER_NONE || !pc->port || pc->port > UINT16_MAX)
			continue;
		m = member_get(mem, pc->instance, ctx->now);
		/* An address from the list takes precedence over a relayed one. */
		if (m == mem->self || m->listed)
			continue;
		m->ep = (struct endpoint){ pc->ip, (uint16_t)pc->port };
		if (pc->data_centre && pc->data_centre[0])
			m->dc = g_intern_string(pc->data_centre);
	}
}

/* Returns true when this instance itself is suspected. */
static bool apply_suspicions(struct members *mem, struct ctx *ctx, uint32_t src,
			     const peer_heartbeat *hb)
{
	bool self = false;

	for (u_int i = 0; i < hb->suspicions.suspicions_len; i++) {
		const peer_suspicion *ps = &hb->suspicions.suspicions_val[i];
		struct member *m = member_find(mem, ps->instance);

		if (!m || m->incarnation != ps->incarnation || m->id == src)
			continue;
		if (m == mem->self) {
			self = true;
			continue;
		}
		m->suspected_by = src;
		m->suspected_at = ctx->now;
	}
	return self;
}

bool members_receive_heartbeat(struct members *mem, struct ctx *ctx, uint32_t src,
			       const peer_heartbeat *hb)
{
	uint32_t state = hb->counter_state & 7;
	uint64_t before = mem->version;
	struct member *m;
	bool suspected;

	if (src != hb->instance || src == mem->self->id || src == MEMBER_NONE ||
	    hb->group != mem->group_hash || state > PEER_MEMBER_LEFT)
		return false;
	members_note_time(mem, ctx->now);
	m = member_get(mem, src, ctx->now);
	if (m->counter_known && hb->incarnation < m->incarnation)
		return false;
	member_advance(mem, m, hb->incarnation, hb->counter_state >> 4, state, ctx->now, true);
	apply_members(mem, ctx, hb);
	apply_vector(mem, ctx, hb);
	apply_contacts(mem, ctx, hb);
	suspected = apply_suspicions(mem, ctx, src, hb);
	members_refresh(mem, ctx->now);
	/* Refutes a suspicion of this instance, or sends the full entries that @src requested. */
	if ((suspected || hb->counter_state & PEER_MEMBER_WANTS_FULL) &&
	    ts_diff_ms(ctx->now, mem->last_unscheduled) >= UNSCHEDULED_INTERVAL_MIN_MS) {
		struct heartbeat_draft dr;

		mem->last_unscheduled = ctx->now;
		advance_counter(mem, ctx);
		make_heartbeat(mem, ctx, &dr, hb->counter_state & PEER_MEMBER_WANTS_FULL);
		send_heartbeat(ctx, src, &dr.hb);
	}
	return mem->version != before;
}
