#include "feed.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "address.h"
#include "document.h"

#define REQUEST_ID_BYTES	   8
#define WATCH_FAILURES_UNREACHABLE 2 /* consecutive; a single one may be a silent connection */
#define IMMEDIATE_RETRIES_MAX	   3 /* writes repeated without delay after conflicts */

static const peer_object_kind kinds[] = { PEER_OBJECT_GRANTS, PEER_OBJECT_ORGANISATION,
					  PEER_OBJECT_DATA_CENTRE };

/* Follows the objects of one kind: lists them, then watches. */
struct follower {
	struct feed *feed;
	peer_object_kind kind;
	struct platform_call *call;
	struct platform_watch *watch;
	lws_sorted_usec_list_t retry;
	uint32_t retry_ms;
	unsigned int watch_failures; /* consecutive, of the watch */
};

struct entry {
	struct instance_info info;
	bool listed; /* in the list that is being read */
	struct timespec gone_since;
};

struct feed {
	struct feed_options opts;
	struct follower followers[G_N_ELEMENTS(kinds)];
	bool watching;

	/* Own entry. */
	struct platform_call *reg_call;
	lws_sorted_usec_list_t reg_timer;
	GString *reg_version;
	char request_id[2 * REQUEST_ID_BYTES + 1]; /* of the write under way */
	char written_id[2 * REQUEST_ID_BYTES + 1]; /* of the last write that took effect */
	bool drain_ordered;			   /* by the fleet operator */
	enum instance_phase writing_phase;
	enum instance_phase written_phase;
	bool registered;
	unsigned int conflicts;
	uint32_t reg_retry_ms;

	/* List of instances. */
	GHashTable *entries; /* name to struct entry */
	struct platform_call *list_call;
	lws_sorted_usec_list_t list_timer;
	struct timespec next_list_all;
	bool list_all;
	bool listed_once;

	bool reach_known;
	bool reachable;
};

static void emit(struct feed *feed, struct event *ev)
{
	ev->now = clock_now(feed->opts.clock);
	feed->opts.event(feed->opts.arg, ev);
}

static void report_reachable(struct feed *feed, bool reachable)
{
	struct event ev = { .type = EVENT_PLATFORM, .platform.reachable = reachable };

	if (feed->reach_known && feed->reachable == reachable)
		return;
	feed->reach_known = true;
	feed->reachable = reachable;
	emit(feed, &ev);
}

static void report_status(struct feed *feed, enum call_status status)
{
	report_reachable(feed, status != CALL_FAILED && status != CALL_TIMEOUT);
}

/* Schedules within 10% around @ms, so that instances started together do not call together. */
static void schedule(struct feed *feed, lws_sorted_usec_list_t *timer, sul_cb_t fn, uint32_t ms)
{
	uint32_t jitter = ms / 5;
	uint32_t at = ms - jitter / 2 + random_below(feed->opts.random, jitter + 1);

	lws_sul_schedule(feed->opts.context, 0, timer, fn, (lws_usec_t)at * LWS_US_PER_MS);
}

static void unschedule(struct feed *feed, lws_sorted_usec_list_t *timer)
{
	lws_sul_schedule(feed->opts.context, 0, timer, NULL, LWS_SET_TIMER_USEC_CANCEL);
}

static uint32_t backoff(uint32_t *ms, uint32_t max)
{
	uint32_t now = *ms;

	*ms = MIN(*ms * 2, max);
	return now;
}

/* Own entry in the list of instances. */

static void write_entry(struct feed *feed);

static void on_reg_timer(lws_sorted_usec_list_t *sul)
{
	write_entry(lws_container_of(sul, struct feed, reg_timer));
}

static void entry_written(struct feed *feed, const char *version)
{
	g_string_assign(feed->reg_version, version);
	feed->written_phase = feed->writing_phase;
	g_strlcpy(feed->written_id, feed->request_id, sizeof(feed->written_id));
	feed->registered = true;
	feed->conflicts = 0;
	feed->reg_retry_ms = FEED_RETRY_MIN_MS;
	if (feed->written_phase != feed->opts.self.phase)
		write_entry(feed);
	else
		schedule(feed, &feed->reg_timer, on_reg_timer, RENEW_INTERVAL_MS);
}

/*
 * Accepts an order to drain if the fleet operator signed it for an entry that this process wrote;
 * an order for an earlier process of the same name is ignored.
 */
static void check_order(struct feed *feed, json_object *entry)
{
	json_object *order = json_object_object_get(entry, "order");
	struct event ev = { .type = EVENT_SHUTDOWN };
	json_object *doc;

	if (!order || !feed->opts.fleet_key || feed->drain_ordered || !*feed->written_id)
		return;
	doc = document_verify(order, feed->opts.fleet_key);
	if (doc && !strcmp(json_str(doc, "drain"), feed->opts.self.name) &&
	    !strcmp(json_str(doc, "entry"), feed->written_id)) {
		feed->drain_ordered = true;
		emit(feed, &ev);
	}
	json_object_put(doc);
}

/* The last write took effect if the entry has its request id; otherwise it is repeated. */
static void on_entry_read(void *arg, const struct platform_result *res)
{
	struct feed *feed = arg;
	const char *id;

	feed->reg_call = NULL;
	report_status(feed, res->status);
	if (res->status == CALL_OK) {
		check_order(feed, res->body);
		id = json_str(res->body, "request_id");
		if (!strcmp(id, feed->request_id)) {
			entry_written(feed, res->version);
			return;
		}
		g_string_assign(feed->reg_version, res->version);
	} else if (res->status == CALL_NOT_FOUND) {
		g_string_assign(feed->reg_version, "");
	}
	if ((res->status == CALL_OK || res->status == CALL_NOT_FOUND) &&
	    ++feed->conflicts <= IMMEDIATE_RETRIES_MAX)
		write_entry(feed);
	else
		schedule(feed, &feed->reg_timer, on_reg_timer,
			 backoff(&feed->reg_retry_ms, FEED_RETRY_MAX_MS));
}

static void on_entry_written(void *arg, const struct platform_result *res)
{
	struct feed *feed = arg;
	struct platform *pf = feed->opts.platform;

	feed->reg_call = NULL;
	report_status(feed, res->status);
	if (res->status == CALL_OK)
		entry_written(feed, res->version);
	else if (res->status == CALL_FAILED)
		schedule(feed, &feed->reg_timer, on_reg_timer,
			 backoff(&feed->reg_retry_ms, FEED_RETRY_MAX_MS));
	else
		feed->reg_call = pf->ops->get(pf, PLATFORM_KIND_INSTS, feed->opts.self.name,
					      PLATFORM_CALL_MS, on_entry_read, feed);
}

static void write_entry(struct feed *feed)
{
	struct platform *pf = feed->opts.platform;
	uint8_t id[REQUEST_ID_BYTES];
	json_object *obj;

	if (feed->reg_call)
		return;
	unschedule(feed, &feed->reg_timer);
	randombytes_buf(id, sizeof(id));
	hex_format(id, sizeof(id), feed->request_id);
	feed->writing_phase = feed->opts.self.phase;
	obj = instance_to_json(&feed->opts.self, feed->opts.admin);
	json_object_object_add(obj, "request_id", json_object_new_string(feed->request_id));
	feed->reg_call =
		pf->ops->put(pf, PLATFORM_KIND_INSTS, feed->opts.self.name, feed->reg_version->str,
			     obj, PLATFORM_CALL_MS, on_entry_written, feed);
	json_object_put(obj);
}

void feed_set_phase(struct feed *feed, enum instance_phase phase)
{
	if (feed->opts.self.phase == phase)
		return;
	feed->opts.self.phase = phase;
	write_entry(feed);
}

bool feed_phase_written(const struct feed *feed)
{
	return feed->registered && feed->written_phase == feed->opts.self.phase;
}

/* List of instances. */

static void list_instances(struct feed *feed);

static void on_list_timer(lws_sorted_usec_list_t *sul)
{
	list_instances(lws_container_of(sul, struct feed, list_timer));
}

static void update_entry(struct feed *feed, json_object *obj)
{
	struct instance_info info;
	struct endpoint admin;
	struct entry *entry;

	if (!instance_from_json(obj, &info, &admin))
		return;
	if (!strcmp(info.name, feed->opts.self.name))
		check_order(feed, obj);
	entry = g_hash_table_lookup(feed->entries, info.name);
	if (!entry) {
		entry = g_new0(struct entry, 1);
		g_hash_table_insert(feed->entries, g_strdup(info.name), entry);
	}
	if (info.phase == INSTANCE_GONE && entry->info.phase != INSTANCE_GONE)
		entry->gone_since = clock_now(feed->opts.clock);
	entry->info = info;
	entry->listed = true;
}

/*
 * Marks an entry that the platform no longer lists as gone. A missed renewal alone does not: the
 * instance may have lost contact with the platform and still serve. Returns whether to remove it.
 */
static gboolean expire_entry(gpointer key, gpointer value, gpointer arg)
{
	struct feed *feed = arg;
	struct entry *entry = value;
	struct timespec now = clock_now(feed->opts.clock);
	bool covered = feed->list_all || !strcmp(entry->info.group, feed->opts.self.group);

	(void)key;
	if (covered && !entry->listed && entry->info.phase != INSTANCE_GONE) {
		entry->info.phase = INSTANCE_GONE;
		entry->gone_since = now;
	}
	return !entry->listed && entry->info.phase == INSTANCE_GONE &&
	       ts_diff_ms(now, entry->gone_since) > GONE_RETENTION_MS;
}

static void emit_instances(struct feed *feed)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct instance_info));
	struct event ev = { .type = EVENT_INSTANCES };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_array_append_val(list, ((struct entry *)value)->info);
	ev.instances.list = (const struct instance_info *)list->data;
	ev.instances.nr = list->len;
	emit(feed, &ev);
	g_array_unref(list);
}

static void on_listed(void *arg, const struct platform_result *res)
{
	struct feed *feed = arg;
	json_object *items = res->body ? json_object_object_get(res->body, "items") : NULL;
	GHashTableIter iter;
	gpointer value;

	feed->list_call = NULL;
	report_status(feed, res->status);
	/* A missing or malformed list must not be treated as an empty one. */
	if (!items || !json_object_is_type(items, json_type_array)) {
		schedule(feed, &feed->list_timer, on_list_timer,
			 feed->listed_once ? LIST_GROUP_INTERVAL_MS : FEED_RETRY_MIN_MS * 5);
		return;
	}
	g_hash_table_iter_init(&iter, feed->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct entry *)value)->listed = false;
	for (size_t i = 0; i < json_object_array_length(items); i++)
		update_entry(feed, json_object_array_get_idx(items, i));
	g_hash_table_foreach_remove(feed->entries, expire_entry, feed);
	feed->listed_once = true;
	if (feed->list_all)
		feed->next_list_all = ts_add_ms(clock_now(feed->opts.clock), LIST_ALL_INTERVAL_MS);
	schedule(feed, &feed->list_timer, on_list_timer, LIST_GROUP_INTERVAL_MS);
	emit_instances(feed);
}

static void list_instances(struct feed *feed)
{
	struct platform *pf = feed->opts.platform;
	gchar *query = g_strdup_printf("labelSelector=group%%3D%s", feed->opts.self.group);

	feed->list_all =
		!feed->listed_once || ts_cmp(clock_now(feed->opts.clock), feed->next_list_all) >= 0;
	feed->list_call = pf->ops->list(pf, PLATFORM_KIND_INSTS, feed->list_all ? NULL : query,
					PLATFORM_CALL_MS, on_listed, feed);
	g_free(query);
}

/* Configuration objects. */

static void follow(struct follower *fw);

static void on_follow_timer(lws_sorted_usec_list_t *sul)
{
	follow(lws_container_of(sul, struct follower, retry));
}

static void emit_object(struct follower *fw, json_object *obj)
{
	struct event ev = { .type = EVENT_OBJECT };

	if (platform_signed_object(obj, fw->kind, &ev.object))
		emit(fw->feed, &ev);
}

static void unfollow(struct follower *fw)
{
	struct platform *pf = fw->feed->opts.platform;

	unschedule(fw->feed, &fw->retry);
	if (fw->call)
		pf->ops->cancel(pf, fw->call);
	if (fw->watch)
		pf->ops->unwatch(pf, fw->watch);
	fw->call = NULL;
	fw->watch = NULL;
}

/* Organisations can be verified only after the grants that name them. */
static void refollow_others(struct feed *feed)
{
	for (size_t i = 1; i < G_N_ELEMENTS(kinds) && feed->watching; i++) {
		unfollow(&feed->followers[i]);
		follow(&feed->followers[i]);
	}
}

static void on_watch(void *arg, enum watch_event what, json_object *obj)
{
	struct follower *fw = arg;
	struct feed *feed = fw->feed;

	switch (what) {
	case WATCH_CHANGED:
		emit_object(fw, obj);
		/* Reads organisations again that were refused for lack of a grant. */
		if (fw->kind == PEER_OBJECT_GRANTS && feed->watching) {
			unfollow(&feed->followers[1]);
			follow(&feed->followers[1]);
		}
		break;
	case WATCH_LIST_AGAIN:
		unfollow(fw);
		follow(fw);
		break;
	case WATCH_UP:
		fw->watch_failures = 0;
		report_reachable(feed, true);
		break;
	case WATCH_DOWN: /* the client reopens it */
		if (++fw->watch_failures >= WATCH_FAILURES_UNREACHABLE)
			report_reachable(feed, false);
		break;
	case WATCH_DELETED: /* an applied version stays in use when its object is deleted */
		break;
	}
}

static void on_objects_listed(void *arg, const struct platform_result *res)
{
	struct follower *fw = arg;
	struct feed *feed = fw->feed;
	struct platform *pf = feed->opts.platform;
	json_object *items = res->body ? json_object_object_get(res->body, "items") : NULL;

	fw->call = NULL;
	report_status(feed, res->status);
	if (!feed->watching)
		return;
	if (!items || !json_object_is_type(items, json_type_array)) {
		schedule(feed, &fw->retry, on_follow_timer,
			 backoff(&fw->retry_ms, WATCH_RETRY_MAX_MS));
		return;
	}
	fw->retry_ms = FEED_RETRY_MIN_MS;
	/* The handler of an event may call feed_watch() to stop. */
	for (size_t i = 0; i < json_object_array_length(items) && feed->watching; i++)
		emit_object(fw, json_object_array_get_idx(items, i));
	if (!feed->watching)
		return;
	fw->watch = pf->ops->watch(pf, platform_kind(fw->kind), res->version, on_watch, fw);
	if (fw->kind == PEER_OBJECT_GRANTS)
		refollow_others(feed);
}

static void follow(struct follower *fw)
{
	struct platform *pf = fw->feed->opts.platform;

	if (!fw->call && !fw->watch)
		fw->call = pf->ops->list(pf, platform_kind(fw->kind), NULL, PLATFORM_CALL_MS,
					 on_objects_listed, fw);
}

void feed_watch(struct feed *feed, bool on)
{
	if (feed->watching == on)
		return;
	feed->watching = on;
	if (on)
		follow(&feed->followers[0]);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds) && !on; i++)
		unfollow(&feed->followers[i]);
}

struct feed *feed_new(const struct feed_options *opts)
{
	struct feed *feed = g_new0(struct feed, 1);

	feed->opts = *opts;
	feed->reg_version = g_string_new(NULL);
	feed->reg_retry_ms = FEED_RETRY_MIN_MS;
	feed->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		feed->followers[i] = (struct follower){
			.feed = feed,
			.kind = kinds[i],
			.retry_ms = FEED_RETRY_MIN_MS,
		};
	write_entry(feed);
	list_instances(feed);
	return feed;
}

void feed_free(struct feed *feed)
{
	struct platform *pf;

	if (!feed)
		return;
	pf = feed->opts.platform;
	feed_watch(feed, false);
	unschedule(feed, &feed->reg_timer);
	unschedule(feed, &feed->list_timer);
	if (feed->reg_call)
		pf->ops->cancel(pf, feed->reg_call);
	if (feed->list_call)
		pf->ops->cancel(pf, feed->list_call);
	g_string_free(feed->reg_version, TRUE);
	g_hash_table_unref(feed->entries);
	g_free(feed);
}
