/*
 * Runs the platform client against the stand-in. Guards against lost or double writes, outcomes
 * that are mixed up, watches that miss or repeat a change or stay silent for ever, and an instance
 * list that declares a listed instance gone.
 */
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "document.h"
#include "feed.h"
#include "platform-sync.h"
#include "standin-child.h"

#define WAIT_LIMIT_MS 20000 /* bounds a failing run; a wait ends with its condition */
#define STEP_MS	      20
#define DEEP_LEVELS   30 /* as many as the stand-in takes */

struct fixture {
	struct standin_child child;
	struct platform_sync *sync;
	struct platform *pf;
	struct sync_result res;
	GString *reported; /* by a watch or a feed */
};

static void set_up(struct fixture *fx, gconstpointer data)
{
	(void)data;
	standin_child_start(&fx->child);
	fx->sync = platform_sync_new(fx->child.ep);
	g_assert_nonnull(fx->sync);
	fx->pf = platform_sync_client(fx->sync);
	sync_result_init(&fx->res);
	fx->reported = g_string_new(NULL);
}

static void tear_down(struct fixture *fx, gconstpointer data)
{
	(void)data;
	sync_result_release(&fx->res);
	platform_sync_free(fx->sync);
	standin_child_stop(&fx->child);
	g_string_free(fx->reported, TRUE);
}

static json_object *control(struct fixture *fx, const char *what)
{
	struct sync_fetch fetch = { .server = fx->child.ep };
	gchar *path = g_strdup_printf("/control/%s", what);
	json_object *obj;

	platform_sync_fetch(fx->sync, path, WAIT_LIMIT_MS, &fetch, 1);
	g_assert_cmpint(fetch.error, ==, HTTP_RESPONDED);
	g_assert_cmpuint(fetch.status, ==, 200);
	obj = json_tokener_parse(fetch.body->str);
	g_string_free(fetch.body, TRUE);
	g_free(path);
	return obj;
}

static void set(struct fixture *fx, const char *fault)
{
	gchar *what = g_strdup_printf("set?%s", fault);

	json_object_put(control(fx, what));
	g_free(what);
}

static int64_t stat_of(struct fixture *fx, const char *key)
{
	json_object *stats = control(fx, "stats");
	int64_t value = json_object_get_int64(json_object_object_get(stats, key));

	json_object_put(stats);
	return value;
}

static enum call_status put(struct fixture *fx, const char *name, const char *version, int value)
{
	json_object *obj = json_object_new_object();

	json_object_object_add(obj, "value", json_object_new_int(value));
	platform_sync_put(fx->sync, "organisations", name, version, obj, &fx->res);
	json_object_put(obj);
	return fx->res.status;
}

static enum call_status get(struct fixture *fx, const char *name, int *value)
{
	platform_sync_get(fx->sync, "organisations", name, &fx->res);
	if (fx->res.status == CALL_OK)
		*value = json_object_get_int(json_object_object_get(fx->res.body, "value"));
	return fx->res.status;
}

static void test_versions(struct fixture *fx, gconstpointer data)
{
	gchar *first;
	int value = 0;

	(void)data;
	g_assert_cmpint(get(fx, "a", &value), ==, CALL_NOT_FOUND);
	g_assert_cmpint(put(fx, "a", "7", 1), ==, CALL_NOT_FOUND);
	g_assert_cmpint(put(fx, "a", "", 1), ==, CALL_OK);
	first = g_strdup(fx->res.version->str);
	g_assert_cmpint(put(fx, "a", "", 2), ==, CALL_CONFLICT);
	g_assert_cmpint(put(fx, "a", first, 3), ==, CALL_OK);
	g_assert_cmpint(put(fx, "a", first, 4), ==, CALL_CONFLICT);
	g_assert_cmpint(get(fx, "a", &value), ==, CALL_OK);
	g_assert_cmpint(value, ==, 3);
	g_free(first);
	g_assert_cmpint(put(fx, "b", "", 5), ==, CALL_OK);
	platform_sync_list(fx->sync, "organisations", &fx->res);
	g_assert_cmpint(fx->res.status, ==, CALL_OK);
	g_assert_cmpuint(json_object_array_length(json_object_object_get(fx->res.body, "items")),
			 ==, 2);
}

/* Guards against wrong results of a lost answer, an outage, and a body sent in many writes. */
static void test_outcomes(struct fixture *fx, gconstpointer data)
{
	GString *text = g_string_new(NULL);
	json_object *big = json_object_new_object();
	int value = 0;

	(void)data;
	set(fx, "lose=1");
	g_assert_cmpint(put(fx, "a", "", 1), ==, CALL_TIMEOUT);
	g_assert_cmpint(get(fx, "a", &value), ==, CALL_OK);
	g_assert_cmpint(value, ==, 1);
	set(fx, "refuse=1");
	g_assert_cmpint(put(fx, "b", "", 1), ==, CALL_TIMEOUT);
	g_assert_cmpint(get(fx, "b", &value), ==, CALL_NOT_FOUND);
	set(fx, "down=1");
	g_assert_cmpint(get(fx, "a", &value), ==, CALL_FAILED);
	set(fx, "down=0");
	for (int i = 0; i < 100000; i++)
		g_string_append(text, "payload ");
	json_object_object_add(big, "document", json_object_new_string(text->str));
	platform_sync_put(fx->sync, "grants", "big", "", big, &fx->res);
	g_assert_cmpint(fx->res.status, ==, CALL_OK);
	platform_sync_get(fx->sync, "grants", "big", &fx->res);
	g_assert_cmpstr(json_object_get_string(json_object_object_get(fx->res.body, "document")),
			==, text->str);
	json_object_put(big);
	g_string_free(text, TRUE);
}

/*
 * Guards against an object of another writer that is nested too deeply: no list with it could be
 * read any more.
 */
static void test_deep_object(struct fixture *fx, gconstpointer data)
{
	json_object *obj = json_object_new_object();
	json_object *deep = json_object_new_array();
	json_object *items;

	(void)data;
	for (int i = 1; i < DEEP_LEVELS; i++) {
		json_object *outer = json_object_new_array();

		json_object_array_add(outer, deep);
		deep = outer;
	}
	json_object_object_add(obj, "value", deep);
	g_assert_cmpint(put(fx, "a", "", 1), ==, CALL_OK);
	platform_sync_put(fx->sync, "organisations", "b", "", obj, &fx->res);
	g_assert_cmpint(fx->res.status, ==, CALL_OK);
	g_assert_cmpint(put(fx, "c", "", 3), ==, CALL_OK);
	platform_sync_list(fx->sync, "organisations", &fx->res);
	g_assert_cmpint(fx->res.status, ==, CALL_OK);
	items = json_object_object_get(fx->res.body, "items");
	g_assert_cmpuint(json_object_array_length(items), ==, 3);
	g_assert_cmpstr(platform_name(json_object_array_get_idx(items, 0)), ==, "c");
	g_assert_cmpstr(platform_name(json_object_array_get_idx(items, 2)), ==, "a");
	json_object_put(obj);
}

static void on_watch(void *arg, enum watch_event what, json_object *obj)
{
	struct fixture *fx = arg;
	static const char *const names[] = {
		[WATCH_DELETED] = "deleted",
		[WATCH_UP] = "up",
		[WATCH_DOWN] = "down",
		[WATCH_LIST_AGAIN] = "list-again",
	};

	if (what == WATCH_CHANGED)
		g_string_append_printf(fx->reported, "%s=%d ", platform_name(obj),
				       json_object_get_int(json_object_object_get(obj, "value")));
	else
		g_string_append_printf(fx->reported, "%s ", names[what]);
}

/* Runs the loop until @want was reported. */
static void expect(struct fixture *fx, const char *want)
{
	for (int ms = 0; ms < WAIT_LIMIT_MS && !strstr(fx->reported->str, want); ms += STEP_MS)
		platform_sync_wait(fx->sync, STEP_MS);
	g_assert_nonnull(strstr(fx->reported->str, want));
}

static void test_watch(struct fixture *fx, gconstpointer data)
{
	struct platform_watch *watch;

	(void)data;
	put(fx, "a", "", 1);
	watch = fx->pf->ops->watch(fx->pf, "organisations", "0", on_watch, fx);
	expect(fx, "up a=1 ");
	put(fx, "b", "", 2);
	expect(fx, "b=2 ");
	/* A change during an outage is delivered once after it. */
	set(fx, "down=1");
	expect(fx, "down ");
	set(fx, "down=0");
	put(fx, "c", "", 3);
	expect(fx, "c=3 ");
	g_assert_cmpstr(fx->reported->str, ==, "up a=1 b=2 down up c=3 ");
	fx->pf->ops->unwatch(fx->pf, watch);
}

static void test_watch_silent(struct fixture *fx, gconstpointer data)
{
	struct platform_watch *watch;

	(void)data;
	platform_http_set_silence_timeout(fx->pf, 300);
	set(fx, "bookmark_ms=50");
	watch = fx->pf->ops->watch(fx->pf, "organisations", "0", on_watch, fx);
	expect(fx, "up ");
	platform_sync_wait(fx->sync, 900);
	g_assert_cmpstr(fx->reported->str, ==, "up "); /* bookmarks keep the watch open */
	set(fx, "silent=1");
	put(fx, "a", "", 1);
	expect(fx, "down ");
	set(fx, "silent=0");
	expect(fx, "a=1 ");
	fx->pf->ops->unwatch(fx->pf, watch);
}

static void test_watch_gone(struct fixture *fx, gconstpointer data)
{
	struct platform_watch *watch;

	(void)data;
	put(fx, "a", "", 1);
	set(fx, "compact=1");
	watch = fx->pf->ops->watch(fx->pf, "organisations", "0", on_watch, fx);
	expect(fx, "list-again ");
	g_assert_cmpstr(fx->reported->str, ==, "list-again ");
	fx->pf->ops->unwatch(fx->pf, watch);
}

static void on_feed(void *arg, const struct event *ev)
{
	static const char *const phases[] = { "live", "leaving", "gone" };
	struct fixture *fx = arg;

	if (ev->type == EVENT_PLATFORM)
		g_string_append_printf(fx->reported, "%s ",
				       ev->platform.reachable ? "reachable" : "unreachable");
	else if (ev->type == EVENT_OBJECT)
		g_string_append_printf(fx->reported, "%s:%s:%u ", platform_kind(ev->object.kind),
				       ev->object.name, (unsigned int)ev->object.generation);
	else if (ev->type == EVENT_SHUTDOWN)
		g_string_append(fx->reported, "shutdown ");
	for (size_t i = 0; ev->type == EVENT_INSTANCES && i < ev->instances.nr; i++)
		g_string_append_printf(fx->reported, "%s:%s ", ev->instances.list[i].name,
				       phases[ev->instances.list[i].phase]);
}

static struct feed *make_feed(struct fixture *fx, uint32_t id, const uint8_t *fleet_key)
{
	struct feed_options opts = {
		.context = platform_sync_context(fx->sync),
		.platform = fx->pf,
		.clock = system_clock(),
		.random = system_random(),
		.self = { .id = id,
			  .group = "g",
			  .data_centre = "dc",
			  .peer = { 0x7f000001, 6082 } },
		.admin = { 0x7f000001, 8080 },
		.fleet_key = fleet_key,
		.event = on_feed,
		.arg = fx,
	};

	g_snprintf(opts.self.name, sizeof(opts.self.name), "in-%u", id);
	return feed_new(&opts);
}

static void settle_phase(struct fixture *fx, struct feed *feed)
{
	for (int ms = 0; ms < WAIT_LIMIT_MS && !feed_phase_written(feed); ms += STEP_MS)
		platform_sync_wait(fx->sync, STEP_MS);
	g_assert_true(feed_phase_written(feed));
}

static void put_signed(struct fixture *fx, const char *kind, const char *name, int generation)
{
	gchar *doc = g_strdup_printf("{\"generation\":%d}", generation);
	gchar *sig = g_strnfill(128, 'a');
	json_object *obj = json_object_new_object();

	json_object_object_add(obj, "document", json_object_new_string(doc));
	json_object_object_add(obj, "signature", json_object_new_string(sig));
	platform_sync_get(fx->sync, kind, name, &fx->res);
	platform_sync_put(fx->sync, kind, name, fx->res.version->str, obj, &fx->res);
	g_assert_cmpint(fx->res.status, ==, CALL_OK);
	json_object_put(obj);
	g_free(doc);
	g_free(sig);
}

static void test_feed_objects(struct fixture *fx, gconstpointer data)
{
	struct feed *feed;

	(void)data;
	put_signed(fx, "organisations", "o", 4);
	put_signed(fx, "grants", "fleet", 1);
	feed = make_feed(fx, 1, NULL);
	feed_watch(feed, true);
	/* Grants are read first: an organisation cannot be verified without them. */
	expect(fx, "grants:fleet:1 ");
	expect(fx, "organisations:o:4 ");
	g_assert_true(strstr(fx->reported->str, "grants:") <
		      strstr(fx->reported->str, "organisations:"));
	put_signed(fx, "data-centres", "dc", 2);
	expect(fx, "data-centres:dc:2 ");
	/* A new grant may admit an organisation that was refused before. */
	g_string_truncate(fx->reported, 0);
	put_signed(fx, "grants", "fleet", 2);
	expect(fx, "organisations:o:4 ");
	/* Watches report an outage before the next call. */
	set(fx, "down=1");
	expect(fx, "unreachable ");
	set(fx, "down=0");
	expect(fx, " reachable ");
	feed_watch(feed, false);
	for (int ms = 0; ms < WAIT_LIMIT_MS && stat_of(fx, "waiting"); ms += STEP_MS)
		platform_sync_wait(fx->sync, STEP_MS);
	g_assert_cmpint(stat_of(fx, "waiting"), ==, 0);
	feed_free(feed);
}

/* Guards against two entries after a lost answer, and a stale version that is not written again. */
static void test_feed_registers(struct fixture *fx, gconstpointer data)
{
	struct feed *feed;

	(void)data;
	set(fx, "lose=1");
	feed = make_feed(fx, 1, NULL);
	settle_phase(fx, feed);
	g_assert_cmpint(stat_of(fx, "puts"), ==, 1);
	g_assert_cmpint(stat_of(fx, "conflicts"), ==, 0);
	set(fx, "refuse=1");
	feed_set_phase(feed, INSTANCE_LEAVING);
	settle_phase(fx, feed);
	platform_sync_get(fx->sync, "instances", "in-1", &fx->res);
	g_assert_cmpstr(json_object_get_string(json_object_object_get(fx->res.body, "phase")), ==,
			"leaving");
	feed_free(feed);
	/* A new process of the same name replaces the entry. */
	feed = make_feed(fx, 1, NULL);
	settle_phase(fx, feed);
	platform_sync_get(fx->sync, "instances", "in-1", &fx->res);
	g_assert_cmpstr(json_object_get_string(json_object_object_get(fx->res.body, "phase")), ==,
			"live");
	feed_free(feed);
}

static void test_feed_list(struct fixture *fx, gconstpointer data)
{
	struct feed *one = make_feed(fx, 1, NULL);
	struct feed *two;

	(void)data;
	settle_phase(fx, one);
	g_string_truncate(fx->reported, 0);
	two = make_feed(fx, 2, NULL);
	expect(fx, "in-1:live");
	feed_free(two);
	feed_free(one);
	/* An outage is reported and does not change the list of instances. */
	g_string_truncate(fx->reported, 0);
	set(fx, "down=1");
	one = make_feed(fx, 3, NULL);
	expect(fx, "unreachable ");
	g_assert_null(strstr(fx->reported->str, "in-"));
	set(fx, "down=0");
	expect(fx, " reachable ");
	feed_free(one);
}

/* Adds an order to drain to the entry; @entry is the request id that it names. */
static void order_drain(struct fixture *fx, const struct signing_key *key, const char *entry)
{
	json_object *order = json_object_new_object();
	json_object *next = NULL;
	gchar *version;

	platform_sync_get(fx->sync, "instances", "in-1", &fx->res);
	json_object_object_add(order, "drain", json_object_new_string("in-1"));
	json_object_object_add(
		order, "entry",
		json_object_new_string(entry ? entry : json_str(fx->res.body, "request_id")));
	json_object_deep_copy(fx->res.body, &next, NULL);
	json_object_object_add(next, "order", document_sign(order, key));
	version = g_strdup(fx->res.version->str);
	platform_sync_put(fx->sync, "instances", "in-1", version, next, &fx->res);
	g_assert_cmpint(fx->res.status, ==, CALL_OK);
	json_object_put(order);
	json_object_put(next);
	g_free(version);
}

/* Guards against orders without the fleet operator's signature or for an earlier process. */
static void test_feed_order(struct fixture *fx, gconstpointer data)
{
	static const struct {
		bool forged;
		const char *entry;
		bool accepted;
	} orders[] = { { true, NULL, false }, { false, "00", false }, { false, NULL, true } };
	struct signing_key fleet;
	struct signing_key other;

	(void)data;
	crypto_sign_keypair(fleet.public, fleet.secret);
	crypto_sign_keypair(other.public, other.secret);
	for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
		struct feed *feed = make_feed(fx, 1, fleet.public);

		settle_phase(fx, feed);
		order_drain(fx, orders[i].forged ? &other : &fleet, orders[i].entry);
		g_string_truncate(fx->reported, 0);
		feed_set_phase(feed, INSTANCE_LEAVING); /* reads the entry after a conflict */
		settle_phase(fx, feed);
		g_assert_cmpint(strstr(fx->reported->str, "shutdown ") != NULL, ==,
				orders[i].accepted);
		feed_free(feed);
	}
}

static const struct {
	const char *path;
	void (*run)(struct fixture *fx, gconstpointer data);
} cases[] = {
	{ "/platform/versions", test_versions },
	{ "/platform/outcomes", test_outcomes },
	{ "/platform/deep-object", test_deep_object },
	{ "/platform/watch", test_watch },
	{ "/platform/watch-silent", test_watch_silent },
	{ "/platform/watch-gone", test_watch_gone },
	{ "/platform/feed-objects", test_feed_objects },
	{ "/platform/feed-registers", test_feed_registers },
	{ "/platform/feed-list", test_feed_list },
	{ "/platform/feed-order", test_feed_order },
};

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add(cases[i].path, struct fixture, NULL, set_up, cases[i].run, tear_down);
	return g_test_run();
}
