#include "relay-internal.h"

#include <errno.h>
#include <stddef.h>
#include <string.h>

#include "address.h"

/* An unanswered request is repeated after this time; a busy reader takes 60 ms. */
#define REQUEST_RETRY_MS 150
/* Requests renew the reader's entry of a follower, which expires after FOLLOWER_EXPIRY_MS. */
#define REQUEST_INTERVAL_MS 1000
/*
 * A join that receives no page for this time falls back to the store; a list of 40 kB takes 20 ms
 * on a slow link.
 */
#define JOIN_STALL_TIMEOUT_MS 400
/* Four unanswered requests: the reader has stopped, or is slow to start. */
#define JOIN_TIMEOUT_MS 600
/*
 * At its start an instance queries the store and looks up the reader at the same time. The list of
 * a running reader arrives first; after this time the store's list is almost complete and is not
 * abandoned.
 */
#define READER_LIST_WAIT_MS 100
/* Minimum time between requests for a page that is missing from a burst. */
#define GAP_REQUEST_INTERVAL_MS 20
/* A reader at an older revision than this instance catches up with the store's next answer. */
#define JOIN_BEHIND_TIMEOUT_MS 5000
/*
 * Instances without a reader look one up at different times. Those with more memory are earlier,
 * because they are better suited as readers. The times are those of an instance with
 * LOOKUP_BASE_MEMORY_MB or less.
 */
#define LOOKUP_MIN_DELAY_MS   400
#define LOOKUP_JITTER_MS      2000
#define LOOKUP_BASE_MEMORY_MB 100
#define LOOKUP_MAX_SPEEDUP    20
/* A claim usually fails because another instance has registered, so the lookup repeats soon. */
#define LOOKUP_RETRY_MS 100
/* Interval at which a reader without followers checks that its entry still names it. */
#define ENTRY_CHECK_INTERVAL_MS 10000
/*
 * Time from a restore of the store to the check of a reader's entry: longer than a follower is
 * kept, so that a reader that was paused has none by then and yields to the one that has replaced
 * it.
 */
#define ENTRY_RECLAIM_MS 4000
/* The store answers an idle watch after 2.5 s; a watch without an answer fails 0.7 s later. */
#define READER_DATA_MAX_AGE_MS 3500
/*
 * While the reader has lost the store, its followers probe the store too, because it may refuse
 * some instances and serve others. The interval doubles, because the reader reports when it reaches
 * the store again.
 */
#define STORE_PROBE_MIN_MS 1000
#define STORE_PROBE_MAX_MS 4000
#define BYTE_VALUES	   256

const char *relay_role_name(enum relay_role role)
{
	static const char *const names[] = {
		[RELAY_ALONE] = "alone",
		[RELAY_JOINING] = "joining",
		[RELAY_FOLLOWING] = "following",
		[RELAY_READING] = "reading",
	};

	return names[role];
}

bool relay_is_confirmed(const struct relay *relay)
{
	return !relay->process_resumed.tv_sec ||
	       control_state_received_since(relay->opts.control_state, relay->process_resumed);
}

void relay_set_role(struct relay *relay, enum relay_role role, const char *why)
{
	struct store_version complete = relay->opts.control_state->complete[CONTROL_TARGETS];
	char reader[ENDPOINT_TEXT_LEN];

	if (role == relay->role)
		return;
	endpoint_format(relay->reader.ep, reader);
	decision_log(DECISION_STORE, relay->now,
		     "relay=%s was=%s why=%s reader=%s targets_revision=%lld followers=%u "
		     "era=%lld",
		     relay_role_name(role), relay_role_name(relay->role), why,
		     role == RELAY_JOINING || role == RELAY_FOLLOWING ? reader : "",
		     (long long)store_version_revision(complete), relay_followers(relay),
		     (long long)store_version_era(complete));
	relay->role = role;
	relay_credit_set_role(relay);
}

static void transmit(struct peer_transport *transport, struct endpoint dst, const uint8_t *bytes,
		     size_t len)
{
	struct relay *relay = ((struct relay_channel *)transport)->relay;

	relay->opts.out->ops->send(relay->opts.out, dst, bytes, len);
}

static const struct peer_transport_ops transport_ops = { transmit };

bool relay_endpoint(struct peer_handler *handler, uint32_t id, struct endpoint *ep)
{
	const struct relay_channel *chan =
		(struct relay_channel *)((char *)handler - offsetof(struct relay_channel, handler));

	*ep = (struct endpoint){ id, chan->relay->opts.self.port };
	return true;
}

void relay_no_result(struct peer_handler *handler, uint32_t src, uint64_t call_id,
		     enum call_status status, const peer_msg *msg)
{
	(void)handler;
	(void)src;
	(void)call_id;
	(void)status;
	(void)msg;
}

void relay_channel_open(struct relay *relay, struct relay_channel *chan,
			const struct peer_handler_ops *ops, const uint8_t key[PEER_KEY_BYTES])
{
	struct peer_key seal_key = { .id = key[0] };
	struct peer_options opts = {
		.self = relay->opts.self.ip,
		.incarnation = relay->opts.incarnation,
		.keys = &seal_key,
		.nr_keys = 1,
		.transport = &chan->transport,
		.handler = &chan->handler,
		.random = relay->opts.random,
		.counters = &relay->counters,
	};

	relay_channel_close(chan);
	memcpy(seal_key.key, key, PEER_KEY_BYTES);
	chan->relay = relay;
	chan->transport.ops = &transport_ops;
	chan->handler.ops = ops;
	chan->peer = peer_new(&opts);
}

void relay_channel_close(struct relay_channel *chan)
{
	peer_free(chan->peer);
	chan->peer = NULL;
}

int relay_send(struct relay_channel *chan, uint32_t dst, const peer_msg *msg)
{
	struct relay *relay = chan->relay;
	GByteArray *bytes = g_byte_array_new();
	int ret = peer_msg_encode(msg, bytes);

	if (!ret && bytes->len > VIEW_MAX_MESSAGE_BYTES)
		ret = -EMSGSIZE;
	if (ret)
		relay->counters.peer_unsent++;
	else
		ret = peer_send(chan->peer, dst, bytes->data, bytes->len);
	if (ret)
		decision_log(DECISION_STORE, relay->now, "relay=%s unsent_type=%d error=\"%s\"",
			     relay_role_name(relay->role), (int)msg->type, g_strerror(-ret));
	g_byte_array_unref(bytes);
	return ret;
}

static void schedule_lookup(struct relay *relay, uint32_t min_ms, uint32_t spread_ms)
{
	relay->next_lookup =
		ts_add_ms(relay->now, min_ms + random_below(relay->opts.random, spread_ms + 1));
}

static void schedule_lookup_by_memory(struct relay *relay)
{
	uint32_t size = MAX(relay->opts.memory_mb / LOOKUP_BASE_MEMORY_MB, 1u);
	uint32_t speedup = MIN(size * size, (uint32_t)LOOKUP_MAX_SPEEDUP);

	schedule_lookup(relay, LOOKUP_MIN_DELAY_MS / speedup, LOOKUP_JITTER_MS / speedup);
}

static void lookup_reader(struct relay *relay)
{
	relay->next_lookup = (struct timespec){ 0 };
	relay->lookup_pending = true;
	relay->opts.upstream->ops->lookup_reader(relay->opts.upstream, relay->lookup_fresh);
	relay->lookup_fresh = false;
}

static void send_request(struct relay *relay)
{
	const struct control_state *cs = relay->opts.control_state;
	bool more = relay->progress.active;
	struct store_version known =
		cs->kept.relist ? STORE_VERSION_NONE : cs->complete[CONTROL_TARGETS];
	peer_msg msg = {
		.type = PEER_VIEW_QUESTION,
		.peer_msg_u.view_ask = {
			.session = relay->session,
			.base = (uint64_t)(more ? relay->progress.base : known).order,
			.after = relay->progress.after->str,
		},
	};

	relay_send(&relay->to_reader, relay->reader.ep.ip, &msg);
	relay->last_request = relay->now;
	relay->next_request =
		ts_add_ms(relay->now, relay->role == RELAY_FOLLOWING && !more ? REQUEST_INTERVAL_MS
									      : REQUEST_RETRY_MS);
}

static void resume_upstream(struct relay *relay)
{
	if (relay->upstream_paused)
		relay->opts.upstream->ops->run(relay->opts.upstream);
	relay->upstream_paused = false;
}

static void pause_upstream(struct relay *relay)
{
	if (!relay->upstream_paused)
		relay->opts.upstream->ops->pause(relay->opts.upstream);
	relay->upstream_paused = true;
}

/* Whether the initial list is being read from the store. */
static bool store_list_in_progress(const struct relay *relay)
{
	return !relay->upstream_paused &&
	       !relay->opts.control_state->complete[CONTROL_TARGETS].order &&
	       ts_diff_ms(relay->now, relay->started) >= READER_LIST_WAIT_MS;
}

/* Leaves the reader and watches the store. */
static void fall_back_to_store(struct relay *relay, const char *why)
{
	relay->left_revision = relay->reader.revision;
	relay_set_role(relay, RELAY_ALONE, why);
	relay->reader_store_lost = false;
	view_progress_reset(&relay->progress);
	resume_upstream(relay);
	schedule_lookup_by_memory(relay);
}

static bool can_be_reader(const struct relay *relay)
{
	return !relay->stopping && control_state_ready(relay->opts.control_state) &&
	       !relay->opts.control_state->store_lost;
}

/* Registers this instance in place of the entry with @revision; none if there is no entry. */
static void claim(struct relay *relay, struct store_version revision)
{
	if (!can_be_reader(relay) || relay->claim_pending) {
		schedule_lookup_by_memory(relay);
		return;
	}
	relay->next_lookup = (struct timespec){ 0 };
	relay->own_entry = (struct reader_entry){ .ep = relay->opts.self, .revision = revision };
	for (size_t i = 0; i < PEER_KEY_BYTES; i++)
		relay->own_entry.key[i] = (uint8_t)random_below(relay->opts.random, BYTE_VALUES);
	g_hash_table_remove_all(relay->followers);
	relay_channel_open(relay, &relay->to_followers, &relay_reader_ops, relay->own_entry.key);
	relay->claim_pending = true;
	relay->opts.upstream->ops->claim(relay->opts.upstream, &relay->own_entry);
}

static void become_reader(struct relay *relay, const char *why)
{
	relay_set_role(relay, RELAY_READING, why);
	relay->next_lookup = (struct timespec){ 0 };
	relay->no_follower_since = relay->now;
	relay->next_heartbeat = relay->now;
}

static uint64_t random_session(struct relay *relay)
{
	uint64_t high = random_below(relay->opts.random, UINT32_MAX);

	return high << 32 | random_below(relay->opts.random, UINT32_MAX);
}

static const struct peer_handler_ops follower_ops;

static void join_reader(struct relay *relay, const struct reader_entry *entry)
{
	relay_channel_close(&relay->to_followers);
	g_hash_table_remove_all(relay->followers);
	relay->reader = *entry;
	relay->session = random_session(relay);
	relay->last_page = (struct timespec){ 0 };
	relay->behind_since = (struct timespec){ 0 };
	relay->join_started = relay->now;
	view_progress_reset(&relay->progress);
	relay_channel_open(relay, &relay->to_reader, &follower_ops, entry->key);
	relay_set_role(relay, RELAY_JOINING, "found");
	send_request(relay);
}

static bool is_own_entry(const struct relay *relay, const struct reader_entry *entry)
{
	return endpoint_equal(entry->ep, relay->opts.self) && relay->to_followers.peer &&
	       !memcmp(entry->key, relay->own_entry.key, PEER_KEY_BYTES);
}

/* The entry names this instance: it predates a restart, or the answer to its claim was lost. */
static void resume_as_reader(struct relay *relay, const struct reader_entry *entry)
{
	bool known = is_own_entry(relay, entry);

	relay->own_entry = *entry;
	relay->no_follower_since = relay->now;
	if (relay->role == RELAY_READING && known)
		return;
	/* The key is kept, so followers that have read the entry can send requests at once. */
	if (!known)
		relay_channel_open(relay, &relay->to_followers, &relay_reader_ops, entry->key);
	become_reader(relay, "registered");
}

void relay_lookup_done(struct relay *relay, bool ok, const struct reader_entry *entry,
		       struct timespec now)
{
	bool first = !relay->lookup_done;

	relay->now = now;
	relay->lookup_pending = false;
	relay->lookup_done = true;
	if (relay->stopping || relay->role == RELAY_FOLLOWING || relay->role == RELAY_JOINING)
		return;
	if (relay->role == RELAY_READING && ok && relay_entry_is_older(relay, entry)) {
		if (!relay_claim_again(relay, entry))
			schedule_lookup(relay, LOOKUP_RETRY_MS, LOOKUP_RETRY_MS);
		return;
	}
	if (entry && endpoint_equal(entry->ep, relay->opts.self)) {
		resume_as_reader(relay, entry);
	} else if (entry && entry->ep.port &&
		   store_version_cmp(entry->revision, relay->left_revision) != 0) {
		join_reader(relay, entry);
	} else if (ok && !first) {
		claim(relay, entry ? entry->revision : STORE_VERSION_NONE);
	} else {
		/* No claim on the first lookup: instances started together would all register. */
		schedule_lookup_by_memory(relay);
	}
}

void relay_claim_done(struct relay *relay, bool claimed, struct timespec now)
{
	relay->now = now;
	relay->claim_pending = false;
	if (relay->role == RELAY_READING && !claimed) {
		relay->lookup_fresh = true;
		schedule_lookup(relay, LOOKUP_RETRY_MS, LOOKUP_RETRY_MS);
	}
	if (relay->role != RELAY_ALONE)
		return;
	if (claimed) {
		become_reader(relay, "claimed");
		return;
	}
	relay->lookup_fresh = true;
	schedule_lookup(relay, LOOKUP_RETRY_MS, LOOKUP_RETRY_MS);
}

static bool reader_data_is_stale(const peer_view_page *page)
{
	return page->reader & PEER_READER_STORE_LOST || page->age_ms > READER_DATA_MAX_AGE_MS;
}

/* Handles the last page of a series from a reader with current data. */
static void finish_update(struct relay *relay, const peer_view_page *page)
{
	struct control_state *cs = relay->opts.control_state;

	pause_upstream(relay);
	relay->reader_store_lost = false;
	relay_set_role(relay, RELAY_FOLLOWING, "told");
	for (int i = 0; i < CONTROL_KINDS; i++) {
		control_state_store_answered(cs, (enum control_kind)i,
					     ts_add_ms(relay->now, -(int64_t)page->age_ms));
		/* What the page lacks is fetched, and confirmed when it has been read. */
		if (!view_lacks(cs, page, (enum control_kind)i))
			control_state_received(cs, (enum control_kind)i, relay->now);
	}
}

static void handle_reader_store_loss(struct relay *relay)
{
	const struct control_state *cs = relay->opts.control_state;

	if (relay->role == RELAY_JOINING) {
		fall_back_to_store(relay, "reader_lost_store");
		return;
	}
	if (!relay_is_confirmed(relay)) {
		/* The reader may have been suspended too, so only the store can confirm. */
		fall_back_to_store(relay, "not_confirmed");
		relay->opts.upstream->ops->refresh(relay->opts.upstream);
		return;
	}
	if (!relay->reader_store_lost) {
		relay->reader_store_lost = true;
		relay->reader_store_lost_since = relay->now;
		relay->next_store_probe = relay->now;
		relay->store_probe_interval_ms = STORE_PROBE_MIN_MS;
	}
	if (ts_cmp(cs->last_answer[CONTROL_CONFIG], relay->reader_store_lost_since) > 0) {
		fall_back_to_store(relay, "reader_lost_store");
	} else if (ts_cmp(relay->now, relay->next_store_probe) >= 0) {
		relay->opts.upstream->ops->fetch(relay->opts.upstream, CONTROL_CONFIG);
		relay->next_store_probe = ts_add_ms(relay->now, relay->store_probe_interval_ms);
		relay->store_probe_interval_ms =
			MIN(relay->store_probe_interval_ms * 2, (uint32_t)STORE_PROBE_MAX_MS);
	}
}

/* Requests missing pages now, or after a timeout if they are to follow without a request. */
static void request_missing_pages(struct relay *relay, const peer_view_page *page,
				  enum view_result res)
{
	if ((res == VIEW_GAP &&
	     ts_diff_ms(relay->now, relay->last_request) >= GAP_REQUEST_INTERVAL_MS) ||
	    (res == VIEW_APPLIED && page->next == PEER_VIEW_ASK_MORE))
		send_request(relay);
	else if (res == VIEW_APPLIED)
		relay->next_request = ts_add_ms(relay->now, REQUEST_RETRY_MS);
}

/* Fetches from the store what the reader has and the page does not carry. */
static void fetch_lacking(struct relay *relay, const peer_view_page *page)
{
	struct upstream *up = relay->opts.upstream;

	for (int i = 0; i < CONTROL_KINDS; i++) {
		if (view_lacks(relay->opts.control_state, page, (enum control_kind)i))
			up->ops->fetch(up, (enum control_kind)i);
	}
}

/* A reader that stays behind, as in an era before, is left. One that is joined has join_timer(). */
static void handle_behind(struct relay *relay)
{
	if (relay->role != RELAY_FOLLOWING)
		return;
	if (!relay->behind_since.tv_sec)
		relay->behind_since = relay->now;
	else if (ts_diff_ms(relay->now, relay->behind_since) >= JOIN_BEHIND_TIMEOUT_MS)
		fall_back_to_store(relay, "behind");
}

static void handle_page(struct relay *relay, const peer_view_page *page)
{
	struct control_state *cs = relay->opts.control_state;
	enum view_result res;

	if (page->reader & PEER_READER_STOPPING) {
		fall_back_to_store(relay, "reader_stops");
		return;
	}
	/* With two lists at once, each would remove targets that the other has not listed yet. */
	if (!page->base && (reader_data_is_stale(page) || store_list_in_progress(relay)))
		return;
	if (!page->base)
		pause_upstream(relay);
	res = view_apply(cs, &relay->progress, page, relay->now);
	if (res == VIEW_MALFORMED) {
		relay->counters.peer_bad++;
		return;
	}
	/* A reader whose pages cannot be applied is left like one that sends none. */
	if (res != VIEW_GAP)
		relay->last_page = relay->now;
	if (res == VIEW_BEHIND) {
		handle_behind(relay);
		return;
	}
	relay->behind_since = (struct timespec){ 0 };
	/* The next request, which is due within a second, is answered with a whole list. */
	if (res == VIEW_NEW_ERA)
		return;
	request_missing_pages(relay, page, res);
	if (res == VIEW_COMPLETE && reader_data_is_stale(page))
		handle_reader_store_loss(relay);
	else if (res == VIEW_COMPLETE)
		finish_update(relay, page);
	if (relay->upstream_paused)
		fetch_lacking(relay, page);
	/* Counted from the latest request, so that pages do not postpone the next one. */
	if (relay->role == RELAY_FOLLOWING)
		relay->next_request = ts_add_ms(relay->last_request, REQUEST_INTERVAL_MS);
}

static void follower_message(struct peer_handler *handler, uint32_t src, uint32_t xid,
			     const peer_msg *msg)
{
	struct relay *relay = ((struct relay_channel *)((char *)handler -
							offsetof(struct relay_channel, handler)))
				      ->relay;

	(void)xid;
	if (msg->type == PEER_VIEW && src == relay->reader.ep.ip &&
	    msg->peer_msg_u.view.session == relay->session)
		handle_page(relay, &msg->peer_msg_u.view);
	else if (msg->type == PEER_CREDIT_GRANT && src == relay->reader.ep.ip)
		relay_credit_message(relay, src, msg);
}

static const struct peer_handler_ops follower_ops = {
	.message = follower_message,
	.result = relay_no_result,
	.endpoint = relay_endpoint,
};

void relay_receive(struct relay *relay, struct endpoint src, const uint8_t *bytes, size_t len,
		   struct timespec now)
{
	bool follower = relay->role == RELAY_JOINING || relay->role == RELAY_FOLLOWING;
	struct relay_channel *chan = relay_credit_channel(relay, src, bytes, len);

	if (!chan)
		chan = follower ? &relay->to_reader : &relay->to_followers;
	relay->now = now;
	if (chan->peer)
		peer_receive(chan->peer, src, bytes, len);
	else
		relay->counters.peer_unauthentic++;
}

void relay_control_state_changed(struct relay *relay, struct timespec now)
{
	relay->now = now;
	if (relay_entry_may_be_lost(relay)) {
		relay->lookup_fresh = true;
		schedule_lookup(relay, ENTRY_RECLAIM_MS, LOOKUP_RETRY_MS);
	}
	if (relay->role == RELAY_READING)
		relay_reader_send_updates(relay, false);
	else if (relay->role == RELAY_FOLLOWING && relay->reader_store_lost)
		handle_reader_store_loss(relay);
}

void relay_process_resumed(struct relay *relay, struct timespec now)
{
	relay->now = now;
	relay->process_resumed = now;
	if (relay->exchange)
		exchange_reset(relay->exchange, now);
	if (relay->upstream_paused) {
		/* A new session invalidates the pages that are queued in the socket. */
		relay->session = random_session(relay);
		view_progress_reset(&relay->progress);
		relay->last_page = now;
		send_request(relay);
	} else {
		relay->opts.upstream->ops->refresh(relay->opts.upstream);
	}
}

static void follower_timer(struct relay *relay)
{
	if (ts_diff_ms(relay->now, relay->last_page) >= RELAY_READER_TIMEOUT_MS)
		fall_back_to_store(relay, "silent");
	else if (ts_cmp(relay->now, relay->next_request) >= 0)
		send_request(relay);
}

static void join_timer(struct relay *relay)
{
	bool answers = relay->last_page.tv_sec &&
		       ts_diff_ms(relay->now, relay->last_page) < JOIN_STALL_TIMEOUT_MS;
	int64_t passed = ts_diff_ms(relay->now, relay->join_started);

	if (!answers && passed >= JOIN_TIMEOUT_MS)
		fall_back_to_store(relay, "no_answer");
	else if (passed >= JOIN_BEHIND_TIMEOUT_MS)
		fall_back_to_store(relay, "behind");
	else if (store_list_in_progress(relay))
		relay->next_request = ts_add_ms(relay->now, GAP_REQUEST_INTERVAL_MS);
	else if (ts_cmp(relay->now, relay->next_request) >= 0)
		send_request(relay);
}

static bool lookup_is_due(const struct relay *relay)
{
	return relay->next_lookup.tv_sec && !relay->stopping &&
	       ts_cmp(relay->now, relay->next_lookup) >= 0;
}

static void reading_timer(struct relay *relay)
{
	relay_reader_timer(relay);
	if (relay->opts.control_state->kept.active && lookup_is_due(relay) &&
	    !relay->lookup_pending)
		lookup_reader(relay);
	if (relay_followers(relay))
		relay->no_follower_since = relay->now;
	else if (!relay->lookup_pending && !relay->stopping &&
		 ts_diff_ms(relay->now, relay->no_follower_since) >= ENTRY_CHECK_INTERVAL_MS) {
		relay->no_follower_since = relay->now;
		lookup_reader(relay);
	}
}

void relay_timer(struct relay *relay, struct timespec now)
{
	relay->now = now;
	switch (relay->role) {
	case RELAY_ALONE:
		if (lookup_is_due(relay))
			lookup_reader(relay);
		break;
	case RELAY_JOINING:
		join_timer(relay);
		break;
	case RELAY_FOLLOWING:
		follower_timer(relay);
		break;
	case RELAY_READING:
		reading_timer(relay);
		break;
	}
	if (relay->exchange)
		exchange_timer(relay->exchange, now);
}

int64_t relay_due_ms(const struct relay *relay, struct timespec now)
{
	int64_t due = INT64_MAX;

	switch (relay->role) {
	case RELAY_ALONE:
		if (relay->next_lookup.tv_sec && !relay->stopping)
			due = ts_diff_ms(relay->next_lookup, now);
		break;
	case RELAY_JOINING:
		due = ts_diff_ms(relay->next_request, now);
		break;
	case RELAY_FOLLOWING:
		due = MIN(ts_diff_ms(relay->next_request, now),
			  RELAY_READER_TIMEOUT_MS - ts_diff_ms(now, relay->last_page));
		break;
	case RELAY_READING:
		due = ts_diff_ms(relay->next_heartbeat, now);
		break;
	}
	if (relay->exchange)
		due = MIN(due, exchange_due_ms(relay->exchange, now));
	return MAX(due, 1);
}

struct relay *relay_new(const struct relay_options *opts)
{
	struct relay *relay = g_new0(struct relay, 1);

	relay->opts = *opts;
	relay->followers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	view_progress_init(&relay->progress);
	relay_credit_init(relay);
	return relay;
}

void relay_free(struct relay *relay)
{
	if (!relay)
		return;
	relay_credit_release(relay);
	relay_channel_close(&relay->to_reader);
	relay_channel_close(&relay->to_followers);
	view_progress_release(&relay->progress);
	g_hash_table_unref(relay->followers);
	g_free(relay);
}

void relay_start(struct relay *relay, struct timespec now)
{
	relay->now = now;
	relay->started = now;
	relay->lookup_fresh = true;
	lookup_reader(relay);
	relay->opts.upstream->ops->run(relay->opts.upstream);
}

void relay_stop(struct relay *relay, struct timespec now)
{
	relay->now = now;
	relay->stopping = true;
	if (relay->exchange)
		exchange_stop(relay->exchange);
	if (relay->role == RELAY_READING)
		relay_reader_send_updates(relay, true);
	g_hash_table_remove_all(relay->followers);
}

enum relay_role relay_role(const struct relay *relay)
{
	return relay->role;
}

unsigned int relay_followers(const struct relay *relay)
{
	return g_hash_table_size(relay->followers);
}

const struct counters *relay_counters(const struct relay *relay)
{
	return &relay->counters;
}
