#include "credit/exchange-internal.h"

#include <string.h>

uint64_t ex_next_sequence(struct exchange *ex)
{
	return ++ex->sequence;
}

const char *ex_data_centre(const struct exchange *ex)
{
	const struct control_state *cs = ex_state(ex);

	return symbols_name(&cs->symbols, cs->placing.opts.data_centre);
}

void ex_drop(struct exchange *ex)
{
	ex_state(ex)->counters.credit_dropped++;
}

int64_t ex_average(int64_t average, int64_t value, int64_t passed_ms)
{
	/* Close to the weight 1 - exp(-passed / time constant) for the intervals in use. */
	return average + (value - average) * passed_ms / (passed_ms + EXCHANGE_AVERAGE_MS);
}

void ex_apply_grant(struct exchange *ex, const struct credit_grant *grant, struct timespec now)
{
	g_array_set_size(ex->granted, 0);
	for (guint i = 0; i < grant->services->len; i++) {
		uint32_t service =
			g_array_index(grant->services, struct credit_service_grant, i).service;

		g_array_append_val(ex->granted, service);
	}
	credit_apply_grant(ex->opts.account, grant, now);
	steer_credits_changed(ex_state(ex)->steer, now);
}

static void drop_grants(struct exchange *ex, struct timespec now)
{
	g_array_set_size(ex->granted, 0);
	credit_drop_grants(ex->opts.account);
	steer_credits_changed(ex_state(ex)->steer, now);
}

struct exchange *exchange_new(const struct exchange_options *opts)
{
	struct exchange *ex = g_new0(struct exchange, 1);

	ex->opts = *opts;
	ex->sequence = (uint64_t)opts->incarnation << 32;
	ex->granted = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (size_t i = 0; i < EXCHANGE_MAX_SERVICES; i++)
		ex->services[i].service = SYMBOL_NONE;
	ex->members = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	ex->stated = g_hash_table_new(NULL, NULL);
	ex->lenders = g_ptr_array_new_with_free_func(ex_lender_free);
	return ex;
}

void exchange_free(struct exchange *ex)
{
	if (!ex)
		return;
	ex_reader_end(ex);
	g_ptr_array_unref(ex->lenders);
	g_hash_table_unref(ex->stated);
	g_hash_table_unref(ex->members);
	g_array_unref(ex->granted);
	g_free(ex);
}

static void begin_rounds(struct exchange *ex, struct timespec now)
{
	drop_grants(ex, now);
	ex->last_report = now;
	ex->next_round = ts_add_ms(now, ex->opts.interval_ms);
	ex->accept_from = now;
}

void exchange_reset(struct exchange *ex, struct timespec now)
{
	begin_rounds(ex, now);
	ex->accept_from = ex->next_round;
	if (ex->role == EXCHANGE_READER)
		ex_reader_reset(ex, now);
}

void exchange_set_role(struct exchange *ex, enum exchange_role role, struct timespec now)
{
	if (role == ex->role)
		return;
	if (ex->role == EXCHANGE_READER)
		ex_reader_end(ex);
	ex->role = role;
	/* A reader that has restarted may begin with lower numbers: they depend on its clock. */
	ex->reader_sequence = 0;
	begin_rounds(ex, now);
	if (role == EXCHANGE_READER)
		ex_reader_start(ex, now);
}

void exchange_stop(struct exchange *ex)
{
	ex->stopping = true;
}

void exchange_receive_grant(struct exchange *ex, uint32_t src, const peer_credit_grant *msg,
			    struct timespec now)
{
	struct credit_grant grant;

	if (ts_cmp(now, ex->accept_from) < 0)
		return;
	if (ex->role == EXCHANGE_READER) {
		ex_receive_lent(ex, src, msg, now);
		return;
	}
	if (ex->role != EXCHANGE_FOLLOWER)
		return;
	if (msg->flags & PEER_CREDIT_LENT || strcmp(msg->data_centre, ex_data_centre(ex)) != 0 ||
	    !ex_grant_valid(msg) || (src == ex->reader && msg->sequence <= ex->reader_sequence)) {
		ex_drop(ex);
		return;
	}
	ex_state(ex)->counters.credit_grants_in++;
	ex->reader = src;
	ex->reader_sequence = msg->sequence;
	credit_grant_init(&grant);
	ex_read_grant(ex, msg, &grant);
	ex_apply_grant(ex, &grant, now);
	credit_grant_release(&grant);
}

static void send_report(struct exchange *ex, const peer_msg *msg)
{
	ex_state(ex)->counters.credit_reports_out++;
	ex->opts.out->ops->report(ex->opts.out, msg);
}

static bool is_urgent(const struct exchange *ex, struct timespec now)
{
	return credit_report_urgent(ex->opts.account) &&
	       ts_diff_ms(now, ex->last_report) >= EXCHANGE_URGENT_MS;
}

static void follower_timer(struct exchange *ex, struct timespec now)
{
	int64_t passed = ts_diff_ms(now, ex->last_report);
	struct credit_report rep;

	if (ts_cmp(now, ex->next_round) < 0 && !is_urgent(ex, now))
		return;
	ex->next_round = ts_add_ms(now, ex->opts.interval_ms);
	credit_report_init(&rep);
	credit_collect(ex->opts.account, &rep, now);
	if (rep.demands->len || rep.observations->len || passed >= EXCHANGE_REPEAT_MS) {
		ex_write_report(ex, &rep, (uint32_t)CLAMP(passed, 1, MSEC_PER_SEC), send_report);
		ex->last_report = now;
	}
	credit_report_release(&rep);
}

void exchange_timer(struct exchange *ex, struct timespec now)
{
	if (ex->stopping)
		return;
	if (ex->role == EXCHANGE_FOLLOWER)
		follower_timer(ex, now);
	else if (ex->role == EXCHANGE_READER && ts_cmp(now, ex->next_round) >= 0)
		ex_reader_round(ex, now);
}

int64_t exchange_due_ms(const struct exchange *ex, struct timespec now)
{
	int64_t due;

	if (ex->stopping || ex->role == EXCHANGE_OFF)
		return INT64_MAX;
	due = ts_diff_ms(ex->next_round, now);
	if (ex->role == EXCHANGE_FOLLOWER && credit_report_urgent(ex->opts.account))
		due = MIN(due, EXCHANGE_URGENT_MS - ts_diff_ms(now, ex->last_report));
	return due;
}

static uint32_t count_lent(const struct exchange *ex)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t nr = 0;

	g_hash_table_iter_init(&iter, ex->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct ex_member *member = value;

		for (size_t i = 0; member->borrower && i < EXCHANGE_MAX_SERVICES; i++) {
			const struct ex_service *svc = &ex->services[i];
			const GArray *credits =
				svc->takes_part ? allocator_credits(svc->allocator, member->id)
						: NULL;

			for (guint j = 0; credits && j < credits->len; j++)
				nr += g_array_index(credits, struct credit_entry, j).slots;
		}
	}
	return nr;
}

static void reader_status(const struct exchange *ex, struct timespec now,
			  struct exchange_status *status)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ex->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		status->members += !((const struct ex_member *)value)->borrower;
	for (size_t i = 0; i < EXCHANGE_MAX_SERVICES; i++)
		status->services += ex->services[i].takes_part;
	status->left_out = monitor_left_out(ex->monitor);
	status->lent = count_lent(ex);
	status->borrowed = ex_borrowed(ex, now);
}

void exchange_status(const struct exchange *ex, struct timespec now, struct exchange_status *status)
{
	*status = (struct exchange_status){ .age_ms = -1 };
	if (ex->role == EXCHANGE_READER)
		reader_status(ex, now, status);
	for (guint i = 0; i < ex->granted->len; i++) {
		struct credit_status svc;

		credit_status(ex->opts.account, g_array_index(ex->granted, uint32_t, i), now, &svc);
		status->held += svc.held;
		status->in_use += svc.in_use;
		status->age_ms = MAX(status->age_ms, svc.age_ms);
	}
}
