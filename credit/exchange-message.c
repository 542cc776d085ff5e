#include "credit/exchange-internal.h"

#include <string.h>

#include "view.h"

/* Bytes of the encoded parts of messages, without the names. */
#define REPORT_HEAD_BYTES (4 + 8 + 4 + 4 + 4)
#define GRANT_HEAD_BYTES  (4 + 8 + 4 + 4 + 4 + 4)
#define DEMAND_BYTES	  (4 * (PEER_CREDIT_PRIORITIES + 3))
#define OBSERVATION_BYTES 28
#define ENTRY_BYTES	  16
/* Names use at most half of a grant, so that there is room for entries. */
#define GRANT_NAME_BYTES (VIEW_MAX_MESSAGE_BYTES / 2)
/* Longer intervals of a report are not plausible: an idle instance reports every 500 ms. */
#define INTERVAL_MAX_MS 60000
/* Limits of the monitor's speeds; see struct target_condition. */
#define SPEED_MIN_PERMILLE 250
#define SPEED_MAX_PERMILLE 2000
/* Speeds are rounded, because each change of a grant is sent at once. */
#define SPEED_STEP_PERMILLE 50

/* Encoded size of a string. */
static size_t name_bytes(const char *name)
{
	return 4 + (strlen(name) + 3) / 4 * 4;
}

struct report_writer {
	struct exchange *ex;
	ex_send_fn send;
	peer_msg msg;
	peer_credit_demand demands[PEER_MAX_CREDIT_SERVICES];
	uint32_t services[PEER_MAX_CREDIT_SERVICES]; /* symbols of the demands */
	peer_credit_observation observations[PEER_MAX_CREDIT_TARGETS];
	size_t room;
};

static void begin_report(struct report_writer *wr, uint32_t interval_ms)
{
	const char *data_centre = ex_data_centre(wr->ex);

	wr->msg = (peer_msg){ .type = PEER_CREDIT_REPORT };
	wr->msg.peer_msg_u.credit_report = (peer_credit_report){
		.interval_ms = interval_ms,
		.data_centre = (char *)data_centre,
		.demands = { 0, wr->demands },
		.observations = { 0, wr->observations },
	};
	wr->room = VIEW_MAX_MESSAGE_BYTES - REPORT_HEAD_BYTES - name_bytes(data_centre);
}

static void end_report(struct report_writer *wr)
{
	wr->msg.peer_msg_u.credit_report.sequence = ex_next_sequence(wr->ex);
	wr->send(wr->ex, &wr->msg);
}

/* Index of the demand of a service in the message, added if it is new; -1 if there is no room. */
static int demand_index(struct report_writer *wr, uint32_t service)
{
	peer_credit_report *rep = &wr->msg.peer_msg_u.credit_report;
	const char *name = symbols_name(&ex_state(wr->ex)->symbols, service);
	u_int nr = rep->demands.demands_len;
	size_t bytes = name_bytes(name) + DEMAND_BYTES;

	for (u_int i = 0; i < nr; i++) {
		if (wr->services[i] == service)
			return (int)i;
	}
	if (nr == PEER_MAX_CREDIT_SERVICES || bytes > wr->room)
		return -1;
	wr->room -= bytes;
	wr->services[nr] = service;
	wr->demands[nr] = (peer_credit_demand){ .service = (char *)name };
	rep->demands.demands_len++;
	return (int)nr;
}

/* Likewise; begins another message if there is no room. */
static int demand_index_any(struct report_writer *wr, uint32_t service)
{
	int index = demand_index(wr, service);

	if (index >= 0)
		return index;
	end_report(wr);
	begin_report(wr, 0);
	return demand_index(wr, service);
}

static void write_demand(struct report_writer *wr, const struct credit_demand *demand)
{
	int index = demand_index_any(wr, demand->service);
	peer_credit_demand *to;

	if (index < 0)
		return;
	to = &wr->demands[index];
	for (size_t i = 0; i < CREDIT_PRIORITIES; i++)
		to->openings[i] = demand->openings[i];
	to->reused = demand->reused;
	to->waiting = demand->waiting;
}

static uint32_t pair(uint32_t high, uint32_t low)
{
	return MIN(high, (uint32_t)UINT16_MAX) << 16 | MIN(low, (uint32_t)UINT16_MAX);
}

static void write_observation(struct report_writer *wr, uint32_t service,
			      const struct credit_observation *obs)
{
	peer_credit_report *rep = &wr->msg.peer_msg_u.credit_report;
	int index = demand_index_any(wr, service);

	if (wr->room < OBSERVATION_BYTES ||
	    rep->observations.observations_len == PEER_MAX_CREDIT_TARGETS) {
		end_report(wr);
		begin_report(wr, 0);
		index = demand_index(wr, service);
	}
	if (index < 0 || wr->room < OBSERVATION_BYTES)
		return;
	wr->room -= OBSERVATION_BYTES;
	wr->observations[rep->observations.observations_len++] = (peer_credit_observation){
		.target = obs->target,
		.completed_rejected = pair(obs->completed, obs->rejected),
		.failed_overdue = pair(obs->failed, obs->overdue),
		.busy_ms = obs->busy_ms,
		.flags = obs->dead ? PEER_CREDIT_DEAD : 0,
		.service = (u_int)index,
	};
}

void ex_write_report(struct exchange *ex, const struct credit_report *rep, uint32_t interval_ms,
		     ex_send_fn send)
{
	struct report_writer *wr = g_new0(struct report_writer, 1);

	wr->ex = ex;
	wr->send = send;
	begin_report(wr, interval_ms);
	for (guint i = 0; i < rep->demands->len; i++)
		write_demand(wr, &g_array_index(rep->demands, struct credit_demand, i));
	for (guint i = 0; i < rep->observations->len; i++) {
		const struct credit_observation *obs =
			&g_array_index(rep->observations, struct credit_observation, i);
		const struct reg_target *tgt =
			registry_by_digest(ex_state(ex)->registry, obs->target);

		if (tgt)
			write_observation(wr, tgt->service, obs);
	}
	end_report(wr);
	g_free(wr);
}

bool ex_report_valid(const peer_credit_report *msg)
{
	if (msg->interval_ms > INTERVAL_MAX_MS)
		return false;
	for (u_int i = 0; i < msg->observations.observations_len; i++) {
		if (msg->observations.observations_val[i].service >= msg->demands.demands_len)
			return false;
	}
	return true;
}

void ex_grant_begin(struct exchange *ex, struct ex_grant_writer *wr, uint32_t flags)
{
	const char *data_centre = ex_data_centre(ex);

	wr->msg = (peer_msg){ .type = PEER_CREDIT_GRANT };
	wr->msg.peer_msg_u.credit_grant = (peer_credit_grant){
		.flags = flags,
		.data_centre = (char *)data_centre,
		.services = { 0, wr->services },
		.entries = { 0, wr->entries },
		.lent = { 0, wr->lent },
	};
	wr->room = VIEW_MAX_MESSAGE_BYTES - GRANT_HEAD_BYTES - name_bytes(data_centre);
}

bool ex_grant_add_service(struct ex_grant_writer *wr, const char *service)
{
	peer_credit_grant *grant = &wr->msg.peer_msg_u.credit_grant;
	size_t bytes = name_bytes(service);

	if (grant->services.services_len == PEER_MAX_CREDIT_SERVICES ||
	    wr->room < GRANT_NAME_BYTES + bytes)
		return false;
	wr->room -= bytes;
	wr->services[grant->services.services_len++] = (char *)service;
	return true;
}

bool ex_grant_add_entry(struct ex_grant_writer *wr, uint32_t service,
			const struct credit_entry *entry)
{
	peer_credit_grant *grant = &wr->msg.peer_msg_u.credit_grant;
	u_int *nr = entry->lent ? &grant->lent.lent_len : &grant->entries.entries_len;
	peer_credit_entry *entries = entry->lent ? wr->lent : wr->entries;
	uint32_t speed = CLAMP(entry->speed_permille, SPEED_MIN_PERMILLE, SPEED_MAX_PERMILLE);

	if (*nr == PEER_MAX_CREDIT_TARGETS || wr->room < ENTRY_BYTES)
		return false;
	/* A borrower computes with the sum of the speeds that it has been lent. */
	if (!(grant->flags & PEER_CREDIT_LENT))
		speed = (speed + SPEED_STEP_PERMILLE / 2) / SPEED_STEP_PERMILLE *
			SPEED_STEP_PERMILLE;
	wr->room -= ENTRY_BYTES;
	entries[(*nr)++] = (peer_credit_entry){
		.target = entry->target,
		.amounts = (uint32_t)entry->slots << 24 | (uint32_t)entry->queue << 16 | speed,
		.service = service,
	};
	return true;
}

static struct credit_entry decode_entry(const peer_credit_entry *entry, bool lent)
{
	return (struct credit_entry){
		.target = entry->target,
		.slots = (uint8_t)(entry->amounts >> 24),
		.queue = (uint8_t)(entry->amounts >> 16),
		.speed_permille = (uint16_t)entry->amounts,
		.lent = lent,
	};
}

/* Whether the entries can be from one allocation; @seen: targets of entries checked before. */
static bool entries_valid(const peer_credit_entry *entries, u_int nr, u_int nr_services,
			  GHashTable *seen)
{
	for (u_int i = 0; i < nr; i++) {
		struct credit_entry entry = decode_entry(&entries[i], false);

		if (entries[i].service >= nr_services || (!entry.slots && !entry.queue) ||
		    entry.speed_permille < SPEED_MIN_PERMILLE ||
		    entry.speed_permille > SPEED_MAX_PERMILLE ||
		    !g_hash_table_add(seen, (gpointer)&entries[i].target))
			return false;
	}
	return true;
}

bool ex_grant_valid(const peer_credit_grant *msg)
{
	GHashTable *seen = g_hash_table_new(g_int64_hash, g_int64_equal);
	u_int nr = msg->services.services_len;
	bool valid = entries_valid(msg->entries.entries_val, msg->entries.entries_len, nr, seen) &&
		     entries_valid(msg->lent.lent_val, msg->lent.lent_len, nr, seen);

	g_hash_table_unref(seen);
	return valid;
}

static void read_entries(const peer_credit_entry *entries, u_int nr, bool lent, const int *places,
			 struct credit_grant *grant)
{
	for (u_int i = 0; i < nr; i++) {
		struct credit_entry entry = decode_entry(&entries[i], lent);
		int place = places[entries[i].service];

		if (place >= 0)
			g_array_append_val(
				g_array_index(grant->services, struct credit_service_grant, place)
					.entries,
				entry);
	}
}

void ex_read_grant(const struct exchange *ex, const peer_credit_grant *msg,
		   struct credit_grant *grant)
{
	const struct symbols *syms = &ex_state(ex)->symbols;
	int places[PEER_MAX_CREDIT_SERVICES];

	for (u_int i = 0; i < msg->services.services_len; i++) {
		uint32_t service = symbols_find(syms, msg->services.services_val[i]);

		places[i] = -1;
		if (service == SYMBOL_NONE)
			continue;
		places[i] = (int)grant->services->len;
		credit_grant_add(grant, service);
	}
	read_entries(msg->entries.entries_val, msg->entries.entries_len, false, places, grant);
	read_entries(msg->lent.lent_val, msg->lent.lent_len, true, places, grant);
}
