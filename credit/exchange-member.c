#include "credit/exchange-internal.h"

#include <string.h>

#include "decision.h"

/* A service takes part from this many openings in the window of 2 s on. */
#define TAKE_PART_OPENINGS 20
#define END_OPENINGS	   5
/* At most one in this many openings may be used for a second request. */
#define REUSE_DIVISOR	  10
#define REUSE_DIVISOR_END 5
/* A service without openings for this long gives up its place. */
#define SERVICE_IDLE_MS 10000
/*
 * More openings are not plausible; one instance forwards 20,000 a second. Reports shorter than
 * EXCHANGE_URGENT_MS and the further messages of a long report may have as many as one of this
 * length.
 */
#define OPENINGS_MAX_PER_MS 100
#define OPENINGS_MIN_MS	    250
/* More slots than a data centre has: 1,024 targets of 64 slots. */
#define WANTED_MAX_MILLI (65536u * 1000)

static void free_place(struct ex_service *svc)
{
	allocator_free(svc->allocator);
	if (svc->left_out)
		g_hash_table_unref(svc->left_out);
	*svc = (struct ex_service){ .service = SYMBOL_NONE };
}

void ex_reader_reset(struct exchange *ex, struct timespec now)
{
	g_hash_table_remove_all(ex->members);
	ex->started = ex->accept_from;
	ex->last_round = now;
	ex->window_moved = now;
}

void ex_reader_start(struct exchange *ex, struct timespec now)
{
	ex->monitor = monitor_new();
	ex->readers_asked = (struct timespec){ 0 };
	ex_reader_reset(ex, now);
}

void ex_reader_end(struct exchange *ex)
{
	for (size_t i = 0; i < EXCHANGE_MAX_SERVICES; i++)
		free_place(&ex->services[i]);
	monitor_free(ex->monitor);
	ex->monitor = NULL;
	g_hash_table_remove_all(ex->members);
	g_ptr_array_set_size(ex->lenders, 0);
}

static void add_stated(const struct route_rule *rule, void *arg)
{
	GHashTable *stated = arg;

	for (size_t i = 0; rule->admission.goal_ms && i < rule->nr_services; i++) {
		gpointer key = GUINT_TO_POINTER(rule->services[i].service);
		guint bits = GPOINTER_TO_UINT(g_hash_table_lookup(stated, key));
		guint goal_ms = MIN(rule->admission.goal_ms, G_MAXUINT >> STATED_GOAL_SHIFT);

		if (bits)
			goal_ms = MIN(goal_ms, bits >> STATED_GOAL_SHIFT);
		bits = (bits & STATED_COLD) | STATED_GOAL | goal_ms << STATED_GOAL_SHIFT;
		if (rule->services[i].cold_rate_limited)
			bits |= STATED_COLD;
		g_hash_table_insert(stated, key, GUINT_TO_POINTER(bits));
	}
}

/* What the routes of the configuration in force state about a service: STATED_*. */
guint ex_stated(struct exchange *ex, uint32_t service)
{
	const struct routing *rt = ex_state(ex)->routing;

	if (routing_version(rt) != ex->stated_version) {
		g_hash_table_remove_all(ex->stated);
		routing_each(rt, add_stated, ex->stated);
		ex->stated_version = routing_version(rt);
	}
	return GPOINTER_TO_UINT(g_hash_table_lookup(ex->stated, GUINT_TO_POINTER(service)));
}

/* The place of a service, taken if it is new. NULL when it states no goal, or all are taken. */
static struct ex_service *place_of(struct exchange *ex, uint32_t service, struct timespec now)
{
	struct ex_service *free_svc = NULL;

	if (service == SYMBOL_NONE || !(ex_stated(ex, service) & STATED_GOAL))
		return NULL;
	for (size_t i = 0; i < EXCHANGE_MAX_SERVICES; i++) {
		struct ex_service *svc = &ex->services[i];

		if (svc->service == service)
			return svc;
		if (svc->service == SYMBOL_NONE && !free_svc)
			free_svc = svc;
	}
	if (!free_svc)
		return NULL;
	*free_svc = (struct ex_service){
		.service = service,
		.allocator = allocator_new(ex->opts.random),
		.left_out = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		.last_opening = now,
	};
	return free_svc;
}

static struct ex_member *get_member(struct exchange *ex, uint32_t id)
{
	struct ex_member *member = g_hash_table_lookup(ex->members, GUINT_TO_POINTER(id));

	if (member || g_hash_table_size(ex->members) >= EXCHANGE_MAX_MEMBERS)
		return member;
	member = g_new0(struct ex_member, 1);
	member->id = id;
	g_hash_table_insert(ex->members, GUINT_TO_POINTER(id), member);
	return member;
}

static void note_demand(struct exchange *ex, struct ex_member *member, struct ex_service *svc,
			const struct credit_demand *demand, uint32_t interval_ms,
			struct timespec now)
{
	uint32_t most = OPENINGS_MAX_PER_MS * MAX(interval_ms, OPENINGS_MIN_MS);
	uint32_t *openings = member->openings[svc - ex->services];
	uint32_t sum = 0;

	for (size_t i = 0; i < CREDIT_PRIORITIES; i++) {
		uint32_t nr = MIN(demand->openings[i], most);

		openings[i] = MIN(openings[i] + nr, OPENINGS_MAX_PER_MS * MSEC_PER_SEC);
		sum += nr;
	}
	svc->openings[ex->window_part] += sum;
	svc->reused[ex->window_part] += MIN(demand->reused, most);
	if (sum)
		svc->last_opening = now;
}

static void note_observation(struct exchange *ex, uint32_t reporter, uint32_t service,
			     const struct credit_observation *obs, struct timespec now)
{
	const struct reg_target *tgt = registry_by_digest(ex_state(ex)->registry, obs->target);

	if (tgt && tgt->service == service)
		monitor_add(ex->monitor, reporter, service, obs, now);
}

/* What this instance itself has to report; without messages, and thus without limits. */
void ex_report_self(struct exchange *ex, struct timespec now)
{
	struct ex_member *self = get_member(ex, ex->opts.self);
	struct credit_report rep;

	if (!self)
		return;
	credit_report_init(&rep);
	credit_collect(ex->opts.account, &rep, now);
	rep.interval_ms = (uint32_t)CLAMP(ts_diff_ms(now, ex->last_round), 1, MSEC_PER_SEC);
	for (guint i = 0; i < rep.demands->len; i++) {
		const struct credit_demand *demand =
			&g_array_index(rep.demands, struct credit_demand, i);
		struct ex_service *svc = place_of(ex, demand->service, now);

		if (svc)
			note_demand(ex, self, svc, demand, rep.interval_ms, now);
	}
	for (guint i = 0; i < rep.observations->len; i++) {
		const struct credit_observation *obs =
			&g_array_index(rep.observations, struct credit_observation, i);
		const struct reg_target *tgt =
			registry_by_digest(ex_state(ex)->registry, obs->target);

		if (tgt && place_of(ex, tgt->service, now))
			note_observation(ex, self->id, tgt->service, obs, now);
	}
	self->interval_ms += rep.interval_ms;
	self->last_report = now;
	credit_report_release(&rep);
}

static bool wants_credits(const peer_credit_report *msg)
{
	for (u_int i = 0; i < msg->demands.demands_len; i++) {
		if (msg->demands.demands_val[i].wanted_milli)
			return true;
	}
	return false;
}

static bool is_plausible(const peer_credit_report *msg, bool borrower)
{
	if (!ex_report_valid(msg) || wants_credits(msg) != borrower)
		return false;
	for (u_int i = 0; i < msg->demands.demands_len; i++) {
		const peer_credit_demand *demand = &msg->demands.demands_val[i];

		if (demand->wanted_milli > WANTED_MAX_MILLI ||
		    demand->demand_milli > WANTED_MAX_MILLI ||
		    demand->capacity_milli > WANTED_MAX_MILLI)
			return false;
	}
	return !borrower || *msg->data_centre;
}

/* The member that has sent the message, or NULL if the message must not have an effect. */
static struct ex_member *sender_of(struct exchange *ex, uint32_t src, const peer_credit_report *msg,
				   struct timespec now)
{
	bool borrower = strcmp(msg->data_centre, ex_data_centre(ex)) != 0;
	struct ex_member *member = g_hash_table_lookup(ex->members, GUINT_TO_POINTER(src));

	if (src == ex->opts.self || !is_plausible(msg, borrower))
		return NULL;
	if (member)
		return member->borrower == borrower && msg->sequence > member->sequence ? member
											: NULL;
	member = get_member(ex, src);
	if (!member)
		return NULL;
	member->borrower = borrower;
	member->data_centre = symbols_find(&ex_state(ex)->symbols, msg->data_centre);
	if (borrower)
		ex_log_lending(ex, member, true, now);
	return member;
}

static struct credit_observation decode_observation(const peer_credit_observation *from)
{
	return (struct credit_observation){
		.target = from->target,
		.completed = from->completed_rejected >> 16,
		.rejected = from->completed_rejected & UINT16_MAX,
		.failed = from->failed_overdue >> 16,
		.overdue = from->failed_overdue & UINT16_MAX,
		.busy_ms = from->busy_ms,
		.dead = from->flags & PEER_CREDIT_DEAD,
	};
}

static void apply_demand(struct exchange *ex, struct ex_member *member, struct ex_service *svc,
			 const peer_credit_report *msg, const peer_credit_demand *from,
			 struct timespec now)
{
	struct credit_demand demand = {
		.service = svc->service,
		.reused = from->reused,
		.waiting = from->waiting,
	};

	if (member->borrower) {
		member->wanted_milli[svc - ex->services] = from->wanted_milli;
		member->demand_milli[svc - ex->services] = from->demand_milli;
		member->important_milli[svc - ex->services] =
			MIN(from->openings[0], from->demand_milli);
		member->capacity_milli[svc - ex->services] = from->capacity_milli;
		return;
	}
	for (size_t i = 0; i < CREDIT_PRIORITIES; i++)
		demand.openings[i] = from->openings[i];
	note_demand(ex, member, svc, &demand, msg->interval_ms, now);
}

static void apply_report(struct exchange *ex, struct ex_member *member,
			 const peer_credit_report *msg, struct timespec now)
{
	const struct symbols *syms = &ex_state(ex)->symbols;
	struct ex_service *places[PEER_MAX_CREDIT_SERVICES];

	if (member->borrower)
		memset(member->wanted_milli, 0, sizeof(member->wanted_milli));
	for (u_int i = 0; i < msg->demands.demands_len; i++) {
		const peer_credit_demand *demand = &msg->demands.demands_val[i];

		places[i] = place_of(ex, symbols_find(syms, demand->service), now);
		if (places[i])
			apply_demand(ex, member, places[i], msg, demand, now);
	}
	for (u_int i = 0; !member->borrower && i < msg->observations.observations_len; i++) {
		const peer_credit_observation *from = &msg->observations.observations_val[i];
		const struct ex_service *svc = places[from->service];
		struct credit_observation obs = decode_observation(from);

		if (svc)
			note_observation(ex, member->id, svc->service, &obs, now);
	}
}

void exchange_receive_report(struct exchange *ex, uint32_t src, const peer_credit_report *msg,
			     struct timespec now)
{
	struct ex_member *member;

	if (ex->role != EXCHANGE_READER || ex->stopping || ts_cmp(now, ex->accept_from) < 0)
		return;
	member = sender_of(ex, src, msg, now);
	if (!member) {
		ex_drop(ex);
		return;
	}
	ex_state(ex)->counters.credit_reports_in++;
	member->sequence = msg->sequence;
	member->last_report = now;
	member->interval_ms += MIN(msg->interval_ms, (uint32_t)MSEC_PER_SEC);
	apply_report(ex, member, msg, now);
}

/* Moves the window of openings to the present part. */
void ex_move_window(struct exchange *ex, struct timespec now)
{
	while (ts_diff_ms(now, ex->window_moved) >= EXCHANGE_WINDOW_PART_MS) {
		ex->window_moved = ts_add_ms(ex->window_moved, EXCHANGE_WINDOW_PART_MS);
		ex->window_part = (ex->window_part + 1) % EXCHANGE_WINDOW_PARTS;
		for (size_t i = 0; i < EXCHANGE_MAX_SERVICES; i++) {
			ex->services[i].openings[ex->window_part] = 0;
			ex->services[i].reused[ex->window_part] = 0;
		}
	}
}

/* Adds what a member has reported since the latest round to its averages. */
static void update_rates(struct ex_member *member)
{
	uint32_t interval_ms = MAX(member->interval_ms, (uint32_t)EXCHANGE_URGENT_MS);

	if (!member->interval_ms)
		return;
	for (size_t i = 0; i < EXCHANGE_MAX_SERVICES; i++) {
		for (size_t j = 0; j < CREDIT_PRIORITIES; j++) {
			uint64_t rate = (uint64_t)member->openings[i][j] * MSEC_PER_SEC *
					MSEC_PER_SEC / interval_ms;
			uint64_t *avg = &member->rate_milli[i][j];

			*avg = member->rated ? (uint64_t)ex_average((int64_t)*avg, (int64_t)rate,
								    interval_ms)
					     : rate;
		}
	}
	memset(member->openings, 0, sizeof(member->openings));
	member->interval_ms = 0;
	member->rated = true;
}

void ex_update_members(struct exchange *ex, struct timespec now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ex->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct ex_member *member = value;

		if (ts_diff_ms(now, member->last_report) < EXCHANGE_MEMBER_EXPIRY_MS) {
			update_rates(member);
			continue;
		}
		if (member->borrower)
			ex_log_lending(ex, member, false, now);
		g_hash_table_iter_remove(&iter);
	}
}

static bool is_wanted(const struct exchange *ex, size_t place)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ex->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const struct ex_member *)value)->wanted_milli[place])
			return true;
	}
	return false;
}

/*
 * Whether the service is to take part. One that has little demand here does if another data centre
 * wants to borrow its credits.
 */
static bool may_take_part(struct exchange *ex, struct ex_service *svc)
{
	uint64_t openings = 0;
	uint64_t reused = 0;

	if (!(ex_stated(ex, svc->service) & STATED_GOAL))
		return false;
	for (size_t i = 0; i < EXCHANGE_WINDOW_PARTS; i++) {
		openings += svc->openings[i];
		reused += svc->reused[i];
	}
	/* It ends at other bounds than it begins, so that chance does not switch it on and off. */
	if (svc->takes_part)
		return reused * REUSE_DIVISOR_END <= openings &&
		       (openings >= END_OPENINGS || is_wanted(ex, (size_t)(svc - ex->services)));
	return reused * REUSE_DIVISOR <= openings &&
	       (openings >= TAKE_PART_OPENINGS || is_wanted(ex, (size_t)(svc - ex->services)));
}

static void clear_column(struct exchange *ex, size_t place)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ex->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct ex_member *member = value;

		memset(member->openings[place], 0, sizeof(member->openings[place]));
		memset(member->rate_milli[place], 0, sizeof(member->rate_milli[place]));
		member->wanted_milli[place] = 0;
	}
}

void ex_update_service(struct exchange *ex, struct ex_service *svc, struct timespec now)
{
	bool takes_part = may_take_part(ex, svc);

	if (takes_part != svc->takes_part)
		decision_log(DECISION_CREDIT, now, "service=%s takes_part=%d members=%u",
			     ex_service_name(ex, svc), takes_part, g_hash_table_size(ex->members));
	if (svc->takes_part && !takes_part) {
		/* The credits have expired when it takes part again. */
		allocator_free(svc->allocator);
		svc->allocator = allocator_new(ex->opts.random);
		svc->shortage_milli = 0;
	}
	svc->takes_part = takes_part;
	if (!takes_part && ts_diff_ms(now, svc->last_opening) >= SERVICE_IDLE_MS) {
		clear_column(ex, (size_t)(svc - ex->services));
		free_place(svc);
	}
}
