#include "relay-internal.h"

#include <stddef.h>

/*
 * Pages of changes sent per request; further requests pace the rest. With 8 pages, 600 new targets
 * for 60 followers filled the queue of a 20 Mbit/s link, and heartbeats were lost.
 */
#define CHANGES_BURST_PAGES 2
/* The same for a whole list. A starting follower sends a request per burst, 5 to 15 ms each. */
#define LIST_BURST_PAGES 12
/* A follower sends a request every second; see REQUEST_INTERVAL_MS. */
#define FOLLOWER_EXPIRY_MS 3500
/* The largest planned fleet has about 60 instances in a data centre. */
#define MAX_FOLLOWERS 512
/* Limit per follower between two heartbeats; 600 changed targets take 22 requests. */
#define MAX_REQUESTS_PER_HEARTBEAT 50

static struct relay *relay_of(struct peer_handler *handler)
{
	return ((struct relay_channel *)((char *)handler - offsetof(struct relay_channel, handler)))
		->relay;
}

static uint32_t reader_flags(const struct relay *relay)
{
	bool lost = relay->opts.control_state->store_lost || !relay_is_confirmed(relay);

	return (lost ? PEER_READER_STORE_LOST : 0) | (relay->stopping ? PEER_READER_STOPPING : 0);
}

struct page_sink {
	struct relay *relay;
	uint32_t dst;
	bool failed; /* a page could not be sent */
};

static void send_page(void *arg, const peer_msg *msg)
{
	struct page_sink *sink = arg;

	sink->failed |= relay_send(&sink->relay->to_followers, sink->dst, msg) != 0;
}

static void send_changes(struct relay *relay, struct follower *fol, struct view_range *range)
{
	struct page_sink sink = { relay, fol->id, false };

	range->session = fol->session;
	range->reader = reader_flags(relay);
	range->max_pages = range->base.order ? CHANGES_BURST_PAGES : LIST_BURST_PAGES;
	fol->pages_pending =
		!view_write(relay->opts.control_state, range, relay->now, send_page, &sink);
	if (!fol->pages_pending && !sink.failed)
		fol->sent_revision = relay->opts.control_state->complete[CONTROL_TARGETS];
}

static void handle_request(struct relay *relay, uint32_t src, const peer_view_ask *request)
{
	GHashTable *followers = relay->followers;
	struct follower *fol = g_hash_table_lookup(followers, GUINT_TO_POINTER(src));
	const struct control_state *cs = relay->opts.control_state;
	struct view_range range = { .after = request->after };
	struct store_version base = { (int64_t)request->base };
	GPtrArray *changed;

	if (request->base > INT64_MAX)
		return;
	if (!fol) {
		if (g_hash_table_size(followers) >= MAX_FOLLOWERS)
			return;
		fol = g_new0(struct follower, 1);
		fol->id = src;
		g_hash_table_insert(followers, GUINT_TO_POINTER(src), fol);
	}
	if (fol->nr_requests++ >= MAX_REQUESTS_PER_HEARTBEAT)
		return;
	fol->session = request->session;
	fol->last_request = relay->now;
	fol->awaits_ready = !control_state_ready(cs);
	if (fol->awaits_ready) {
		fol->sent_revision = base;
		return;
	}
	range.base = view_base_revision(cs, base);
	changed = registry_changed_since(cs->registry, range.base, request->after);
	range.changed = changed;
	send_changes(relay, fol, &range);
	g_ptr_array_unref(changed);
}

static void reader_message(struct peer_handler *handler, uint32_t src, uint32_t xid,
			   const peer_msg *msg)
{
	struct relay *relay = relay_of(handler);

	(void)xid;
	/* A claim whose answer was lost may have registered this instance. */
	if (msg->type == PEER_VIEW_QUESTION &&
	    (relay->role == RELAY_READING || relay->role == RELAY_ALONE))
		handle_request(relay, src, &msg->peer_msg_u.view_ask);
	else if (msg->type == PEER_CREDIT_REPORT)
		relay_credit_message(relay, src, msg);
}

const struct peer_handler_ops relay_reader_ops = {
	.message = reader_message,
	.result = relay_no_result,
	.endpoint = relay_endpoint,
};

/*
 * Records the state that pages carry besides targets. Returns whether it has changed, so that
 * followers must receive it at once.
 */
static bool update_sent_state(struct relay *relay)
{
	const struct control_state *cs = relay->opts.control_state;
	uint64_t config = routing_version(cs->routing);
	uint32_t flags = reader_flags(relay);
	bool state_changed = flags != relay->sent_flags || config != relay->sent_config_version ||
			     cs->withdrawals != relay->sent_withdrawals;

	relay->sent_flags = flags;
	relay->sent_config_version = config;
	relay->sent_withdrawals = cs->withdrawals;
	return state_changed;
}

/*
 * Sends a follower its changes. Most followers are at the same revision, so *range and *changed are
 * kept for the next one.
 */
static void send_update(struct relay *relay, struct follower *fol, struct view_range *range,
			GPtrArray **changed, bool heartbeat)
{
	const struct control_state *cs = relay->opts.control_state;
	struct store_version complete = cs->complete[CONTROL_TARGETS];
	struct store_version base = view_base_revision(cs, fol->sent_revision);

	/*
	 * After a restore of the store all followers need a whole list. They request it at their
	 * own pace when this page shows the new era: 60 lists at once would fill a slow link.
	 */
	if (fol->sent_revision.order &&
	    store_version_era(fol->sent_revision) < store_version_era(complete)) {
		base = complete;
		heartbeat = true;
	}

	if (!*changed || store_version_cmp(range->base, base) != 0) {
		if (*changed)
			g_ptr_array_unref(*changed);
		*changed = registry_changed_since(cs->registry, base, "");
		range->base = base;
		range->changed = *changed;
	}
	/* fol->sent_revision advances only with a page that carries the revision. */
	if (!(*changed)->len && !heartbeat)
		return;
	fol->awaits_ready = false;
	send_changes(relay, fol, range);
}

void relay_reader_send_updates(struct relay *relay, bool heartbeat)
{
	struct view_range range = { .after = "" };
	bool all = update_sent_state(relay) || heartbeat;
	struct store_version complete = relay->opts.control_state->complete[CONTROL_TARGETS];
	GPtrArray *changed = NULL;
	GHashTableIter iter;
	gpointer value;

	if (!control_state_ready(relay->opts.control_state))
		return;
	g_hash_table_iter_init(&iter, relay->followers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct follower *fol = value;

		if (ts_diff_ms(relay->now, fol->last_request) >= FOLLOWER_EXPIRY_MS)
			g_hash_table_iter_remove(&iter);
		else if (!fol->pages_pending &&
			 (all || fol->awaits_ready ||
			  store_version_cmp(fol->sent_revision, complete) < 0))
			send_update(relay, fol, &range, &changed, all || fol->awaits_ready);
	}
	if (changed)
		g_ptr_array_unref(changed);
}

void relay_reader_timer(struct relay *relay)
{
	GHashTableIter iter;
	gpointer value;

	if (ts_cmp(relay->now, relay->next_heartbeat) < 0)
		return;
	relay->next_heartbeat = ts_add_ms(relay->now, RELAY_HEARTBEAT_INTERVAL_MS);
	g_hash_table_iter_init(&iter, relay->followers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct follower *)value)->nr_requests = 0;
	relay_reader_send_updates(relay, true);
}
