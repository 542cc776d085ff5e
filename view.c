#include "view.h"

#include <string.h>

#include "timeutil.h"

/* With identifiers of up to 16 bytes and few names such a page fits a datagram of 1,280 bytes. */
#define PAGE_TARGETS 14
/* Sizes of an encoded page without names and targets, and of a target without its identifier. */
#define PAGE_FIXED_BYTES   76
#define TARGET_FIXED_BYTES 48
#define NAME_BYTES	   (BYTES_PER_XDR_UNIT + RNDUP(PEER_MAX_VIEW_NAME))
/* What a page with one target of the longest names has room for. */
#define WITHDRAWN_MAX_BYTES                                                                        \
	(VIEW_MAX_MESSAGE_BYTES - PAGE_FIXED_BYTES - TARGET_FIXED_BYTES - 4 * NAME_BYTES)
#define HALF_BITS 16
#define HALF_MASK 0xffffu

G_STATIC_ASSERT(CONTROL_NAME_MAX_BYTES == PEER_MAX_VIEW_NAME);

/* Names of the services and data centres of a page; targets refer to them by index. */
struct name_table {
	uint32_t symbols[PEER_MAX_VIEW_NAMES];
	peer_name names[PEER_MAX_VIEW_NAMES];
	u_int nr;
};

/* Size of an encoded string. */
static size_t string_bytes(const char *str)
{
	return BYTES_PER_XDR_UNIT + RNDUP(strlen(str));
}

static uint32_t name_index(struct name_table *table, const struct symbols *syms, uint32_t sym)
{
	u_int i;

	for (i = 0; i < table->nr; i++) {
		if (table->symbols[i] == sym)
			return i;
	}
	table->symbols[i] = sym;
	table->names[i] = (char *)symbols_name(syms, sym);
	table->nr++;
	return i;
}

static void write_target(const struct control_state *cs, const struct reg_target *tgt,
			 struct name_table *table, struct timespec now, peer_view_target *out)
{
	int64_t keep_ms = control_state_lapse_left_ms(cs, tgt, now);
	uint32_t service = name_index(table, &cs->symbols, tgt->service);
	uint32_t data_centre = name_index(table, &cs->symbols, tgt->data_centre);

	*out = (peer_view_target){
		.id = tgt->id->str,
		.revision = (uint64_t)tgt->revision.order,
		.wire_id = tgt->wire_id,
		.ip = tgt->ep.ip,
		.port_slots = (uint32_t)tgt->ep.port << HALF_BITS | MIN(tgt->slots, HALF_MASK),
		.names = service << HALF_BITS | data_centre,
		.cold_ms = (uint32_t)MAX(ts_diff_ms(tgt->warm_at, now), 0),
		.born_ms = tgt->born_ms,
	};
	if (tgt->phase == TARGET_DRAINING)
		out->flags |= PEER_VIEW_DRAINING;
	if (tgt->phase == TARGET_GONE)
		out->flags |= PEER_VIEW_GONE;
	if (keep_ms >= 0) {
		out->flags |= PEER_VIEW_LAPSED;
		out->keep_ms = (uint32_t)keep_ms;
	}
}

/* Fills in the withdrawn data centres; their names are put into @names. */
static void write_withdrawals(const struct control_state *cs, peer_view_page *page,
			      peer_name names[PEER_MAX_VIEW_NAMES])
{
	GHashTableIter iter;
	gpointer sym;
	size_t size = 0;
	u_int nr = 0;

	g_hash_table_iter_init(&iter, cs->placing.withdrawn);
	while (g_hash_table_iter_next(&iter, &sym, NULL)) {
		const char *name = symbols_name(&cs->symbols, GPOINTER_TO_UINT(sym));

		size += string_bytes(name);
		if (nr == PEER_MAX_VIEW_NAMES || size > WITHDRAWN_MAX_BYTES) {
			page->reader |= PEER_READER_WITHDRAWN_OMITTED;
			page->withdrawals_revision =
				(uint64_t)MAX(cs->withdrawals_revision.order, 1);
			return;
		}
		names[nr++] = (char *)name;
	}
	page->withdrawals_revision = (uint64_t)cs->complete[CONTROL_WITHDRAWALS].order;
	page->withdrawn.withdrawn_len = nr;
	page->withdrawn.withdrawn_val = names;
}

static int64_t oldest_ms(const struct control_state *cs, struct timespec now)
{
	int64_t age = 0;

	for (size_t i = 0; i < CONTROL_KINDS; i++)
		age = MAX(age, ts_diff_ms(now, cs->last_answer[i]));
	return age;
}

/* Bytes that the name of @sym adds to a page: 0 if the page has it already. */
static size_t name_bytes(const struct name_table *table, const struct symbols *syms, uint32_t sym)
{
	for (u_int i = 0; i < table->nr; i++) {
		if (table->symbols[i] == sym)
			return 0;
	}
	return string_bytes(symbols_name(syms, sym));
}

static size_t target_bytes(const struct control_state *cs, const struct name_table *table,
			   const struct reg_target *tgt)
{
	return TARGET_FIXED_BYTES + string_bytes(tgt->id->str) +
	       name_bytes(table, &cs->symbols, tgt->service) +
	       name_bytes(table, &cs->symbols, tgt->data_centre);
}

/*
 * Adds targets from @at on to the page of @msg, which has none, until the next one does not fit.
 * Returns the index of that one. At least one is added.
 */
static guint fill_page(const struct control_state *cs, const GPtrArray *changed, guint at,
		       struct timespec now, struct name_table *table, peer_msg *msg)
{
	peer_view_page *page = &msg->peer_msg_u.view;
	size_t size = xdr_sizeof((xdrproc_t)xdr_peer_msg, msg);
	guint end;

	for (end = at; end < changed->len && end - at < PAGE_TARGETS; end++) {
		const struct reg_target *tgt = g_ptr_array_index(changed, end);

		size += target_bytes(cs, table, tgt);
		if (end > at && size > VIEW_MAX_MESSAGE_BYTES)
			break;
		write_target(cs, tgt, table, now, &page->targets.targets_val[end - at]);
	}
	page->targets.targets_len = end - at;
	page->names.names_len = table->nr;
	page->names.names_val = table->names;
	return end;
}

static peer_view_next page_next(guint end, guint nr, unsigned int page, unsigned int max_pages)
{
	if (end == nr)
		return PEER_VIEW_LAST;
	return page + 1 == max_pages ? PEER_VIEW_ASK_MORE : PEER_VIEW_FOLLOWS;
}

struct store_version view_base_revision(const struct control_state *cs, struct store_version known)
{
	struct store_version complete = cs->complete[CONTROL_TARGETS];

	/* Behind the receiver in the store's era: the page shows it. */
	if (store_version_era(known) > store_version_era(complete))
		return complete;
	if (store_version_cmp(known, registry_freed_revision(cs->registry)) < 0 ||
	    store_version_era(known) < store_version_era(complete))
		return STORE_VERSION_NONE;
	return known;
}

bool view_write(const struct control_state *cs, const struct view_range *range, struct timespec now,
		view_send_fn send, void *arg)
{
	const GPtrArray *changed = range->changed;
	peer_name withdrawn[PEER_MAX_VIEW_NAMES];
	peer_view_target targets[PAGE_TARGETS];
	peer_msg msg = { .type = PEER_VIEW };
	peer_view_page *page = &msg.peer_msg_u.view;
	char *after = (char *)range->after;
	unsigned int nr = 0;
	guint at = 0;

	*page = (peer_view_page){
		.session = range->session,
		.reader = range->reader,
		.age_ms = (uint32_t)MIN(oldest_ms(cs, now), UINT32_MAX),
		.targets_revision = (uint64_t)cs->complete[CONTROL_TARGETS].order,
		.config_revision = (uint64_t)cs->complete[CONTROL_CONFIG].order,
		.config_version = routing_version(cs->routing),
		.base = (uint64_t)range->base.order,
		.targets.targets_val = targets,
	};
	write_withdrawals(cs, page, withdrawn);
	do {
		struct name_table table = { .nr = 0 };
		guint end;

		page->after = after;
		page->targets.targets_len = 0;
		page->names.names_len = 0;
		end = fill_page(cs, changed, at, now, &table, &msg);
		page->next = page_next(end, changed->len, nr, range->max_pages);
		send(arg, &msg);
		if (end > at)
			after = ((struct reg_target *)g_ptr_array_index(changed, end - 1))->id->str;
		at = end;
		nr++;
	} while (page->next == PEER_VIEW_FOLLOWS);
	return page->next == PEER_VIEW_LAST;
}

void view_progress_init(struct view_progress *vp)
{
	*vp = (struct view_progress){ .after = g_string_new(NULL) };
}

void view_progress_release(struct view_progress *vp)
{
	g_string_free(vp->after, TRUE);
}

void view_progress_reset(struct view_progress *vp)
{
	vp->active = false;
	g_string_truncate(vp->after, 0);
}

/* Pages carry the order of a version; valid ones are not negative. */
static struct store_version version_of(uint64_t order)
{
	return (struct store_version){ (int64_t)order };
}

static bool is_before(uint64_t order, struct store_version version)
{
	return store_version_cmp(version_of(order), version) < 0;
}

static bool page_is_valid(const peer_view_page *page)
{
	const char *last = page->after;

	for (u_int i = 0; i < page->targets.targets_len; i++) {
		const peer_view_target *tgt = &page->targets.targets_val[i];

		if (strcmp(tgt->id, last) <= 0 ||
		    tgt->names >> HALF_BITS >= page->names.names_len ||
		    (tgt->names & HALF_MASK) >= page->names.names_len ||
		    !(tgt->port_slots >> HALF_BITS) || !(tgt->port_slots & HALF_MASK) ||
		    tgt->revision > INT64_MAX)
			return false;
		last = tgt->id;
	}
	return page->targets_revision && page->targets_revision <= INT64_MAX &&
	       page->config_revision <= INT64_MAX && page->withdrawals_revision <= INT64_MAX &&
	       page->base <= page->targets_revision;
}

static void apply_target(struct control_state *cs, const peer_view_page *page,
			 const peer_view_target *tgt, struct timespec now)
{
	char *const *names = page->names.names_val;
	struct target_info info = {
		.id = tgt->id,
		.wire_id = tgt->wire_id,
		.ep = { tgt->ip, (uint16_t)(tgt->port_slots >> HALF_BITS) },
		.service = symbols_intern(&cs->symbols, names[tgt->names >> HALF_BITS]),
		.data_centre = symbols_intern(&cs->symbols, names[tgt->names & HALF_MASK]),
		.slots = tgt->port_slots & HALF_MASK,
		.draining = tgt->flags & PEER_VIEW_DRAINING,
		.cold_ms = tgt->cold_ms,
		.born_ms = tgt->born_ms,
		.revision = version_of(tgt->revision),
	};
	const struct reg_target *known;

	if (tgt->flags & PEER_VIEW_GONE) {
		kept_forget_target(cs, tgt->id);
		registry_remove(cs->registry, tgt->id, cs->report_revision, now);
		return;
	}
	known = registry_by_id(cs->registry, tgt->id);
	/* The store has not shown it to the reader any more, and its removal is known here. */
	if (tgt->flags & PEER_VIEW_LAPSED && known && known->phase == TARGET_GONE &&
	    store_version_cmp(info.revision, known->revision) <= 0)
		return;
	/*
	 * A reader whose period for a restored store has ended has it again at the same revision,
	 * which only a whole list can show.
	 */
	if (page->base && !cs->kept.active && known && known->phase == TARGET_GONE &&
	    !store_version_cmp(info.revision, known->revision))
		cs->kept.relist = true;
	control_state_put_target(cs, &info, now);
	known = registry_by_id(cs->registry, tgt->id);
	/* It may have been written again since, as this instance knows. */
	if (tgt->flags & PEER_VIEW_LAPSED && known &&
	    store_version_cmp(known->revision, info.revision) <= 0)
		control_state_lapse_target(cs, tgt->id, tgt->keep_ms, now);
}

static void apply_withdrawals(struct control_state *cs, const peer_view_page *page,
			      struct timespec now)
{
	if (page->reader & PEER_READER_WITHDRAWN_OMITTED ||
	    is_before(page->withdrawals_revision, cs->complete[CONTROL_WITHDRAWALS]))
		return;
	control_state_begin_answer(cs, version_of(page->withdrawals_revision), now);
	control_state_withdrawals_begin(cs);
	for (u_int i = 0; i < page->withdrawn.withdrawn_len; i++)
		control_state_withdraw(cs, page->withdrawn.withdrawn_val[i], true, now);
	control_state_withdrawals_end(cs, now);
	control_state_complete(cs, CONTROL_WITHDRAWALS, version_of(page->withdrawals_revision));
}

static bool continues_series(const struct view_progress *vp, const peer_view_page *page)
{
	return vp->active && vp->base.order == (int64_t)page->base &&
	       !strcmp(vp->after->str, page->after);
}

static bool begins_series(const struct control_state *cs, const peer_view_page *page)
{
	return !*page->after && (int64_t)page->base <= cs->complete[CONTROL_TARGETS].order;
}

static bool is_new_era(const struct control_state *cs, const peer_view_page *page)
{
	return store_version_era(version_of(page->targets_revision)) >
	       store_version_era(cs->complete[CONTROL_TARGETS]);
}

static void begin_series(struct control_state *cs, struct view_progress *vp,
			 const peer_view_page *page)
{
	view_progress_reset(vp);
	vp->active = true;
	vp->base = version_of(page->base);
	vp->first_revision = version_of(page->targets_revision);
	if (!page->base)
		control_state_targets_begin(cs);
}

static void complete(struct control_state *cs, struct view_progress *vp, const peer_view_page *page,
		     struct timespec now)
{
	bool relist = cs->kept.relist;

	if (!vp->base.order) {
		control_state_targets_end(cs, now);
		/* The reader's period may end after this instance's. */
		cs->kept.relist = relist && kept_any_target(cs);
	}
	control_state_complete(cs, CONTROL_TARGETS, vp->first_revision);
	view_progress_reset(vp);
	/* Equal versions: the configuration has not changed up to the reader's revision. */
	if (page->config_version && page->config_version == routing_version(cs->routing))
		control_state_complete(cs, CONTROL_CONFIG, version_of(page->config_revision));
}

bool view_lacks(const struct control_state *cs, const peer_view_page *page, enum control_kind kind)
{
	switch (kind) {
	case CONTROL_CONFIG:
		return page->config_version > routing_version(cs->routing);
	case CONTROL_WITHDRAWALS:
		return page->reader & PEER_READER_WITHDRAWN_OMITTED &&
		       store_version_cmp(cs->complete[kind],
					 version_of(page->withdrawals_revision)) < 0;
	case CONTROL_TARGETS:
	case CONTROL_KINDS:
		break;
	}
	return false;
}

enum view_result view_apply(struct control_state *cs, struct view_progress *vp,
			    const peer_view_page *page, struct timespec now)
{
	u_int nr = page->targets.targets_len;

	if (!page_is_valid(page))
		return VIEW_MALFORMED;
	if (is_before(page->targets_revision, cs->complete[CONTROL_TARGETS]))
		return VIEW_BEHIND;
	apply_withdrawals(cs, page, now);
	cs->config_min_version = MAX(cs->config_min_version, page->config_version);
	if (!continues_series(vp, page)) {
		if (!begins_series(cs, page))
			return is_new_era(cs, page) ? VIEW_NEW_ERA : VIEW_GAP;
		begin_series(cs, vp, page);
	}
	control_state_begin_answer(cs, version_of(page->targets_revision), now);
	cs->kept.paged = true;
	for (u_int i = 0; i < nr; i++)
		apply_target(cs, page, &page->targets.targets_val[i], now);
	if (nr)
		g_string_assign(vp->after, page->targets.targets_val[nr - 1].id);
	if (page->next != PEER_VIEW_LAST)
		return VIEW_APPLIED;
	complete(cs, vp, page, now);
	return VIEW_COMPLETE;
}
