#include "credit/exchange-internal.h"

#include <string.h>

#include "decision.h"
#include "view.h"

/* Least time between two lists of the readers. */
#define LIST_READERS_MS 10000
/*
 * Shortages, as parts of the slots, between which borrowing begins and ends. The page's bound is
 * the lower one; a higher one to begin keeps a shortage near it from beginning and ending in turn.
 */
#define BEGIN_DIVISOR 10
#define END_DIVISOR   20
#define SLOT_MILLI    1000
#define ASK_MAX_MILLI (16384 * SLOT_MILLI)
/* Encoded size of a request, and of each service in it in addition to its name, rounded up. */
#define REQUEST_BYTES 320
#define WANTED_BYTES  36

void ex_lender_free(gpointer data)
{
	struct ex_lender *lender = data;

	g_free(lender->data_centre);
	g_array_unref(lender->lent);
	g_free(lender);
}

void ex_log_lending(const struct exchange *ex, const struct ex_member *borrower, bool begins,
		    struct timespec now)
{
	decision_log(DECISION_CREDIT, now, "lending=%s data_centre=%s members=%u",
		     begins ? "begins" : "ends",
		     symbols_name(&ex_state(ex)->symbols, borrower->data_centre),
		     g_hash_table_size(ex->members));
}

static uint32_t data_centre_of(const struct exchange *ex, const struct ex_lender *lender)
{
	return symbols_find(&ex_state(ex)->symbols, lender->data_centre);
}

static bool is_usable(const struct exchange *ex, const struct ex_lender *lender)
{
	uint32_t sym = data_centre_of(ex, lender);

	return sym == SYMBOL_NONE || !placing_is_withdrawn(&ex_state(ex)->placing, sym);
}

static bool in_force(const struct ex_lender *lender, struct timespec now)
{
	return lender->granted.tv_sec && ts_diff_ms(now, lender->granted) <= CREDIT_GRANT_LIFE_MS;
}

static struct ex_lender *find_lender(const struct exchange *ex, uint32_t ip)
{
	for (guint i = 0; i < ex->lenders->len; i++) {
		struct ex_lender *lender = g_ptr_array_index(ex->lenders, i);

		if (lender->entry.ep.ip == ip)
			return lender;
	}
	return NULL;
}

static void add_lender(struct exchange *ex, const struct exchange_reader *reader)
{
	struct ex_lender *lender = g_new0(struct ex_lender, 1);

	lender->data_centre = g_strdup(reader->data_centre);
	lender->entry = reader->entry;
	lender->lent = g_array_new(FALSE, FALSE, sizeof(struct ex_lent));
	lender->listed = true;
	g_ptr_array_add(ex->lenders, lender);
}

void exchange_readers(struct exchange *ex, const struct exchange_reader *readers, size_t nr,
		      struct timespec now)
{
	(void)now;
	if (ex->role != EXCHANGE_READER)
		return;
	for (guint i = 0; i < ex->lenders->len; i++)
		((struct ex_lender *)g_ptr_array_index(ex->lenders, i))->listed = false;
	for (size_t i = 0; i < nr; i++) {
		const struct exchange_reader *reader = &readers[i];
		struct ex_lender *lender = find_lender(ex, reader->entry.ep.ip);

		if (!strcmp(reader->data_centre, ex_data_centre(ex)) || !reader->entry.ep.port ||
		    reader->entry.ep.ip == ex->opts.self || (lender && lender->listed))
			continue;
		/* A reader that has registered again has another key, and knows nothing. */
		if (lender && !strcmp(lender->data_centre, reader->data_centre) &&
		    !memcmp(lender->entry.key, reader->entry.key, PEER_KEY_BYTES)) {
			lender->listed = true;
			continue;
		}
		if (lender)
			g_ptr_array_remove(ex->lenders, lender);
		if (ex->lenders->len < EXCHANGE_MAX_LENDERS)
			add_lender(ex, reader);
	}
	for (guint i = ex->lenders->len; i-- > 0;) {
		if (!((struct ex_lender *)g_ptr_array_index(ex->lenders, i))->listed)
			g_ptr_array_remove_index(ex->lenders, i);
	}
}

static void keep_lent(struct ex_lender *lender, const struct credit_service_grant *svc)
{
	for (guint i = 0; i < svc->entries->len; i++) {
		struct ex_lent lent = {
			.service = svc->service,
			.entry = g_array_index(svc->entries, struct credit_entry, i),
		};

		lent.entry.lent = true;
		if (lent.entry.slots)
			g_array_append_val(lender->lent, lent);
	}
}

void ex_receive_lent(struct exchange *ex, uint32_t src, const peer_credit_grant *msg,
		     struct timespec now)
{
	struct ex_lender *lender = find_lender(ex, src);
	struct credit_grant grant;

	if (!lender || !(msg->flags & PEER_CREDIT_LENT) ||
	    strcmp(msg->data_centre, lender->data_centre) != 0 || msg->lent.lent_len ||
	    !ex_grant_valid(msg) || msg->sequence <= lender->sequence) {
		ex_drop(ex);
		return;
	}
	ex_state(ex)->counters.credit_grants_in++;
	lender->sequence = msg->sequence;
	/* The lender sends grants until it misses the requests. */
	if (!lender->asked.tv_sec)
		return;
	lender->granted = now;
	g_array_set_size(lender->lent, 0);
	credit_grant_init(&grant);
	ex_read_grant(ex, msg, &grant);
	for (guint i = 0; i < grant.services->len; i++)
		keep_lent(lender, &g_array_index(grant.services, struct credit_service_grant, i));
	credit_grant_release(&grant);
}

/* Whether the lent target is one of the lender's, and can take openings. */
static bool is_usable_target(const struct exchange *ex, const struct ex_lender *lender,
			     const struct ex_lent *lent)
{
	const struct control_state *cs = ex->opts.control_state;
	const struct reg_target *tgt = registry_by_digest(cs->registry, lent->entry.target);

	return tgt && tgt->service == lent->service && tgt->phase == TARGET_READY &&
	       tgt->trust != TRUST_DEAD && tgt->data_centre == data_centre_of(ex, lender) &&
	       lent->entry.slots <= tgt->slots;
}

/* Calls @fn for each lent target that can be used. */
static void each_lent(const struct exchange *ex, struct timespec now,
		      void (*fn)(const struct ex_lent *lent, void *arg), void *arg)
{
	for (guint i = 0; i < ex->lenders->len; i++) {
		const struct ex_lender *lender = g_ptr_array_index(ex->lenders, i);

		if (!in_force(lender, now) || !is_usable(ex, lender))
			continue;
		for (guint j = 0; j < lender->lent->len; j++) {
			const struct ex_lent *lent =
				&g_array_index(lender->lent, struct ex_lent, j);

			if (is_usable_target(ex, lender, lent))
				fn(lent, arg);
		}
	}
}

struct lent_walk {
	const struct exchange *ex;
	uint32_t service;
	struct timespec now;
	GArray *targets;
	uint32_t nr;
};

static void add_target(const struct ex_lent *lent, void *arg)
{
	struct lent_walk *walk = arg;
	struct alloc_target at = {
		.key = lent->entry.target,
		.slots = lent->entry.slots,
		.speed_permille = lent->entry.speed_permille,
		.capacity_permille = 1000,
		.lent = true,
		.queue = lent->entry.queue,
	};
	struct target_condition cond;

	if (lent->service != walk->service)
		return;
	monitor_get(walk->ex->monitor, at.key, walk->now, &cond);
	if (!cond.dead)
		g_array_append_val(walk->targets, at);
}

void ex_add_lent(const struct exchange *ex, uint32_t service, struct timespec now, GArray *targets)
{
	struct lent_walk walk = { .ex = ex, .service = service, .now = now, .targets = targets };

	each_lent(ex, now, add_target, &walk);
}

static void count_slots(const struct ex_lent *lent, void *arg)
{
	((struct lent_walk *)arg)->nr += lent->entry.slots;
}

uint32_t ex_borrowed(const struct exchange *ex, struct timespec now)
{
	struct lent_walk walk = { 0 };

	each_lent(ex, now, count_slots, &walk);
	return walk.nr;
}

/* Decides whether to borrow credits of a service. */
static void update_shortage(struct exchange *ex, struct ex_service *svc, int64_t passed_ms,
			    struct timespec now)
{
	int64_t slots_milli = (int64_t)svc->slots * SLOT_MILLI;
	bool borrows = svc->takes_part;

	if (svc->takes_part) {
		svc->shortage_milli = ex_average(
			svc->shortage_milli, allocator_shortage_milli(svc->allocator), passed_ms);
		svc->demand_milli = ex_average(svc->demand_milli,
					       allocator_demand_milli(svc->allocator), passed_ms);
		svc->important_milli = ex_average(
			svc->important_milli, allocator_important_milli(svc->allocator), passed_ms);
	}
	borrows &= svc->shortage_milli > slots_milli / (svc->borrows ? END_DIVISOR : BEGIN_DIVISOR);
	if (borrows != svc->borrows)
		decision_log(DECISION_CREDIT, now,
			     "service=%s borrowing=%s shortage_milli=%lld "
			     "slots=%u",
			     ex_service_name(ex, svc), borrows ? "begins" : "ends",
			     (long long)svc->shortage_milli, svc->slots);
	svc->borrows = borrows;
}

/* What a lender has lent of a service, in thousandths of a slot of mean speed. */
static int64_t lent_milli(const struct ex_lender *lender, uint32_t service, struct timespec now)
{
	int64_t sum = 0;

	for (guint i = 0; in_force(lender, now) && i < lender->lent->len; i++) {
		const struct ex_lent *lent = &g_array_index(lender->lent, struct ex_lent, i);

		if (lent->service == service)
			sum += (int64_t)lent->entry.slots * lent->entry.speed_permille;
	}
	return sum;
}

/* Each lender is told the demand that the others do not serve; it decides what it can lend. */
static void share_shortage(struct exchange *ex, size_t place, struct timespec now)
{
	const struct ex_service *svc = &ex->services[place];
	int64_t lent = 0;

	for (guint i = 0; i < ex->lenders->len; i++)
		lent += lent_milli(g_ptr_array_index(ex->lenders, i), svc->service, now);
	for (guint i = 0; i < ex->lenders->len; i++) {
		struct ex_lender *lender = g_ptr_array_index(ex->lenders, i);
		int64_t others = lent - lent_milli(lender, svc->service, now);

		lender->asked_milli[place] = 0;
		if (!svc->borrows || !is_usable(ex, lender))
			continue;
		lender->asked_milli[place] =
			(uint32_t)CLAMP(svc->shortage_milli, SLOT_MILLI, ASK_MAX_MILLI);
		lender->demand_milli[place] =
			(uint32_t)CLAMP(svc->demand_milli - others, 0, ASK_MAX_MILLI);
		lender->important_milli[place] =
			(uint32_t)CLAMP(svc->important_milli - others, 0, ASK_MAX_MILLI);
	}
}

static void ask_lender(struct exchange *ex, struct ex_lender *lender, struct timespec now)
{
	peer_credit_demand demands[PEER_MAX_CREDIT_SERVICES] = { 0 };
	peer_msg msg = { .type = PEER_CREDIT_REPORT };
	size_t room = VIEW_MAX_MESSAGE_BYTES - REQUEST_BYTES;
	u_int nr = 0;

	for (size_t i = 0; i < EXCHANGE_MAX_SERVICES; i++) {
		const char *name = symbols_name(&ex_state(ex)->symbols, ex->services[i].service);
		size_t bytes = strlen(name) + WANTED_BYTES;

		if (!lender->asked_milli[i] || bytes > room)
			continue;
		room -= bytes;
		demands[nr].service = (char *)name;
		demands[nr].wanted_milli = lender->asked_milli[i];
		demands[nr].openings[0] = lender->important_milli[i];
		demands[nr].demand_milli = lender->demand_milli[i];
		demands[nr++].capacity_milli = (uint32_t)CLAMP(
			allocator_capacity_milli(ex->services[i].allocator), 0, ASK_MAX_MILLI);
	}
	if (!nr) {
		/* What is lent returns to the lender, which notices the end of the requests. */
		lender->asked = (struct timespec){ 0 };
		g_array_set_size(lender->lent, 0);
		return;
	}
	lender->asked = now;
	msg.peer_msg_u.credit_report = (peer_credit_report){
		.sequence = ex_next_sequence(ex),
		.interval_ms = ex->opts.interval_ms,
		.data_centre = (char *)ex_data_centre(ex),
		.demands = { nr, demands },
	};
	ex_state(ex)->counters.credit_reports_out++;
	ex->opts.out->ops->borrow(ex->opts.out, &lender->entry, &msg);
}

void ex_borrow(struct exchange *ex, int64_t passed_ms, struct timespec now)
{
	bool borrows = false;

	for (size_t i = 0; i < EXCHANGE_MAX_SERVICES; i++) {
		struct ex_service *svc = &ex->services[i];

		if (svc->service != SYMBOL_NONE)
			update_shortage(ex, svc, passed_ms, now);
		share_shortage(ex, i, now);
		borrows |= svc->borrows;
	}
	if (borrows &&
	    (!ex->readers_asked.tv_sec || ts_diff_ms(now, ex->readers_asked) >= LIST_READERS_MS)) {
		ex->readers_asked = now;
		ex->opts.out->ops->list_readers(ex->opts.out);
	}
	for (guint i = 0; i < ex->lenders->len; i++)
		ask_lender(ex, g_ptr_array_index(ex->lenders, i), now);
}
