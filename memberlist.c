/*
 * The platform's list of instances, which may be out of date, and the flags from it that members
 * which watch the list send to the others.
 */
#include <string.h>

#include "member-internal.h"

void member_add_instance(struct members *mem, const struct instance_info *info, struct timespec now)
{
	struct member *m;

	if (info->id == MEMBER_NONE)
		return;
	if (strcmp(info->group, mem->group) != 0) {
		struct foreign_instance s = { info->id, info->peer };

		for (guint i = 0; i < mem->foreign->len; i++) {
			if (g_array_index(mem->foreign, struct foreign_instance, i).id ==
			    info->id) {
				g_array_index(mem->foreign, struct foreign_instance, i) = s;
				return;
			}
		}
		g_array_append_val(mem->foreign, s);
		return;
	}
	m = member_get(mem, info->id, now);
	m->ep = info->peer;
	if (info->data_centre[0])
		m->dc = g_intern_string(info->data_centre);
}

void member_apply_list_flags(struct members *mem, struct member *m, uint32_t flags,
			     struct timespec now)
{
	if (mem->list_watched || m == mem->self)
		return;
	if (flags & PEER_MEMBER_LIST_GONE && !m->list_gone) {
		m->list_gone = true;
		m->change_sends_left = CHANGE_SENDS;
	}
	if (!(flags & PEER_MEMBER_LIST_LEAVING))
		return;
	if (!m->list_leaving || ts_diff_ms(now, m->list_leaving_at) > LIST_LEAVING_RESEND_MS / 2) {
		m->list_leaving = true;
		m->list_leaving_at = now;
		m->change_sends_left = CHANGE_SENDS;
	}
}

void member_update_list_leaving(struct members *mem, struct member *m, struct timespec now)
{
	int64_t age = ts_diff_ms(now, m->list_leaving_at);

	if (!m->list_leaving)
		return;
	if (!mem->list_watched && age > 3 * LIST_LEAVING_RESEND_MS)
		m->list_leaving = false;
	if (mem->list_watched && age > LIST_LEAVING_RESEND_MS) {
		m->list_leaving_at = now;
		m->change_sends_left = CHANGE_SENDS;
	}
}

void members_list_unwatched(struct members *mem, struct ctx *ctx)
{
	mem->list_watched = false;
	for (guint i = 0; i < mem->entries->len; i++)
		((struct member *)g_ptr_array_index(mem->entries, i))->list_leaving_at = ctx->now;
}

void members_apply_list(struct members *mem, struct ctx *ctx, const struct instance_info *entries,
			size_t nr)
{
	members_note_time(mem, ctx->now);
	for (guint i = 0; i < mem->entries->len; i++) {
		struct member *m = g_ptr_array_index(mem->entries, i);

		/* Listed before but no longer. */
		if (m->listed && !m->list_gone)
			m->change_sends_left = CHANGE_SENDS;
		m->list_gone = m->list_gone || m->listed;
		m->listed = false;
		m->list_leaving = false;
	}
	g_array_set_size(mem->foreign, 0);
	for (size_t i = 0; i < nr; i++) {
		struct member *m;

		if (entries[i].phase == INSTANCE_GONE) {
			m = member_find(mem, entries[i].id);
			if (m && !m->list_gone)
				m->change_sends_left = CHANGE_SENDS;
			if (m)
				m->list_gone = true;
			continue;
		}
		member_add_instance(mem, &entries[i], ctx->now);
		m = member_find(mem, entries[i].id);
		if (!m || strcmp(entries[i].group, mem->group) != 0)
			continue;
		if (m->list_gone && !m->counter_known)
			m->advanced_at = ctx->now;
		m->listed = true;
		m->list_gone = false;
		m->list_leaving = entries[i].phase == INSTANCE_LEAVING;
	}
	mem->list_received = mem->list_watched = true;
	members_refresh(mem, ctx->now);
}
