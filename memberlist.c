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
		struct stranger s = { info->id, info->peer };

		for (guint i = 0; i < mem->strangers->len; i++) {
			if (g_array_index(mem->strangers, struct stranger, i).id == info->id) {
				g_array_index(mem->strangers, struct stranger, i) = s;
				return;
			}
		}
		g_array_append_val(mem->strangers, s);
		return;
	}
	m = member_get(mem, info->id, now);
	m->ep = info->peer;
	if (info->data_centre[0])
		m->dc = g_intern_string(info->data_centre);
}

void member_told(struct members *mem, struct member *m, uint32_t flags, struct timespec now)
{
	if (mem->list_current || m == mem->self)
		return;
	if (flags & PEER_MEMBER_LIST_GONE && !m->list_gone) {
		m->list_gone = true;
		m->change_sends = CHANGE_SENDS;
	}
	if (!(flags & PEER_MEMBER_LIST_LEAVING))
		return;
	if (!m->list_leaving || ts_diff_ms(now, m->told_at) > TELL_LIST_MS / 2) {
		m->list_leaving = true;
		m->told_at = now;
		m->change_sends = CHANGE_SENDS;
	}
}

void member_follow_list(struct members *mem, struct member *m, struct timespec now)
{
	int64_t age = ts_diff_ms(now, m->told_at);

	if (!m->list_leaving)
		return;
	if (!mem->list_current && age > 3 * TELL_LIST_MS)
		m->list_leaving = false;
	if (mem->list_current && age > TELL_LIST_MS) {
		m->told_at = now;
		m->change_sends = CHANGE_SENDS;
	}
}

void members_list_ended(struct members *mem, struct ctx *ctx)
{
	mem->list_current = false;
	for (guint i = 0; i < mem->list->len; i++)
		((struct member *)g_ptr_array_index(mem->list, i))->told_at = ctx->now;
}

void members_list(struct members *mem, struct ctx *ctx, const struct instance_info *list, size_t nr)
{
	members_note_time(mem, ctx->now);
	for (guint i = 0; i < mem->list->len; i++) {
		struct member *m = g_ptr_array_index(mem->list, i);

		/* Listed before but no longer. */
		if (m->in_list && !m->list_gone)
			m->change_sends = CHANGE_SENDS;
		m->list_gone = m->list_gone || m->in_list;
		m->in_list = false;
		m->list_leaving = false;
	}
	g_array_set_size(mem->strangers, 0);
	for (size_t i = 0; i < nr; i++) {
		struct member *m;

		if (list[i].phase == INSTANCE_GONE) {
			m = member_find(mem, list[i].id);
			if (m && !m->list_gone)
				m->change_sends = CHANGE_SENDS;
			if (m)
				m->list_gone = true;
			continue;
		}
		member_add_instance(mem, &list[i], ctx->now);
		m = member_find(mem, list[i].id);
		if (!m || strcmp(list[i].group, mem->group) != 0)
			continue;
		if (m->list_gone && !m->heard)
			m->heard_at = ctx->now;
		m->in_list = true;
		m->list_gone = false;
		m->list_leaving = list[i].phase == INSTANCE_LEAVING;
	}
	mem->have_list = mem->list_current = true;
	members_refresh(mem, ctx->now);
}
