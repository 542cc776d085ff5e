/*
 * Guards against losing a change that the store makes between two parts of a list, and against an
 * entry of another writer that makes the entries around it unreadable: a target that drains or has
 * left would stay in use, or a new one unused, until the instance restarts. Each case is a series
 * of the store's answers and the state that must result.
 */
#include <glib.h>
#include <json-c/json.h>
#include <malloc.h>
#include <string.h>

#include "platform/reports.h"
#include "random.h"
#include "snapshot.h"
#include "t/silent-out.h"

#define MAX_ANSWERS 6
/* The platform's limit for an entry. */
#define ENTRY_BYTES 1048576
/*
 * A machine has 260 MB, and an answer up to 8 MB: at most an eighth of the memory may be used for
 * each megabyte.
 */
#define ANSWER_MEMORY_MAX_BYTES 32000000

struct fixture {
	struct steer_out out; /* first member */
	struct clock clock;
	struct control_state control_state;
	struct reports reports;
	struct seeded_random random;
};

static struct timespec fixed_now(struct clock *clock)
{
	(void)clock;
	return (struct timespec){ 1000, 0 };
}

static const struct clock_ops clock_ops = { fixed_now };

static void setup(struct fixture *fix)
{
	struct control_state_options opts = {
		.data_centre = "home",
		.max_flows = 1024,
		.random = &fix->random.random,
		.out = &fix->out,
	};

	*fix = (struct fixture){ .out = { &null_out_ops }, .clock = { &clock_ops } };
	seeded_random_init(&fix->random, 1);
	control_state_init(&fix->control_state, &opts);
	reports_init(&fix->reports, &fix->control_state, &fix->clock);
}

static void teardown(struct fixture *fix)
{
	reports_release(&fix->reports);
	control_state_release(&fix->control_state);
}

#define TARGET_BORN(name, rev, state, born)                                                        \
	"{\"meta\":{\"name\":\"i-" name "\",\"rev\":" rev "},\"spec\":{\"service\":\"web\","       \
	"\"addr\":\"10.0.0.1:80\",\"zone\":\"home\",\"version\":\"1\",\"slots\":2,\"state\":"      \
	"\"" state "\",\"cold_left_ms\":0,\"seq\":1,\"born\":" born "}}"
#define TARGET(name, rev, state) TARGET_BORN(name, rev, state, "7")
#define ZONE(name, rev)		 "{\"meta\":{\"name\":\"" name "\",\"rev\":" rev "},\"spec\":{}}"
#define MAIN(rev, version)                                                                         \
	"{\"meta\":{\"name\":\"main\",\"rev\":" rev "},\"spec\":{\"version\":" version             \
	",\"routes\":[]}}"
#define PART(as_of, more, items) "{\"items\":[" items "],\"more\":" more ",\"as_of\":" as_of "}"
#define EVENTS(as_of, events)	 "{\"events\":[" events "],\"as_of\":" as_of "}"
#define PUT(object)		 "{\"object\":" object ",\"deleted\":false}"
/* An entry of another writer, with any spec. */
#define ODD(rev, spec)	 "{\"meta\":{\"name\":\"i-ff\",\"rev\":" rev "},\"spec\":" spec "}"
#define ARRAYS_10(value) "[[[[[[[[[[" value "]]]]]]]]]]"
#define ARRAYS_40(value) ARRAYS_10(ARRAYS_10(ARRAYS_10(ARRAYS_10(value))))
#define ODD_TARGET(addr, slots, born)                                                              \
	"{\"service\":\"web\",\"addr\":\"" addr                                                    \
	"\",\"zone\":\"home\",\"version\":\"1\",\"slots\":" slots                                  \
	",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":" born "}"
#define GONE(object) "{\"object\":" object ",\"deleted\":true}"

struct answers_case {
	const char *name;
	enum control_kind kind;
	const char *answers[MAX_ANSWERS];
	const char *why; /* the last answer cannot be used */
	/* Targets in order of their names, configuration version, whether "home" is withdrawn. */
	const char *expected_state;
	int64_t watch_from;
	bool catching_up;
};

static const struct answers_case cases[] = {
	{ "one-part",
	  CONTROL_TARGETS,
	  { PART("10", "false", TARGET("1", "4", "ready")) },
	  NULL,
	  "1=ready ",
	  10 },
	/* Target 1 starts to drain between the parts: only a watch from 10 reports it. */
	{ "watch-from-the-first-part",
	  CONTROL_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("12", "false", TARGET("2", "5", "ready")) },
	  NULL,
	  "1=ready 2=ready ",
	  10,
	  true },
	{ "drains-between-parts",
	  CONTROL_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("12", "false", TARGET("2", "5", "ready")),
	    EVENTS("12", PUT(TARGET("1", "11", "draining"))) },
	  NULL,
	  "1=draining 2=ready ",
	  12 },
	{ "leaves-between-parts",
	  CONTROL_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("12", "false", TARGET("2", "5", "ready")),
	    EVENTS("12", GONE(TARGET("1", "11", "ready"))) },
	  NULL,
	  "1=gone 2=ready ",
	  12 },
	{ "joins-between-parts",
	  CONTROL_TARGETS,
	  { PART("10", "true", TARGET("2", "4", "ready")),
	    PART("12", "false", TARGET("3", "5", "ready")),
	    EVENTS("12", PUT(TARGET("1", "11", "ready"))) },
	  NULL,
	  "1=ready 2=ready 3=ready ",
	  12 },
	/* The event at 11 is older than the target's state in the second part. */
	{ "older-event-than-the-list",
	  CONTROL_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("13", "false", TARGET("2", "12", "draining")),
	    EVENTS("11", PUT(TARGET("2", "11", "ready"))) },
	  NULL,
	  "1=ready 2=draining ",
	  11,
	  true },
	{ "older-removal-than-the-list",
	  CONTROL_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("13", "false", TARGET("2", "13", "ready")),
	    EVENTS("12", GONE(TARGET("2", "12", "ready"))) },
	  NULL,
	  "1=ready 2=ready ",
	  12,
	  true },
	{ "three-parts",
	  CONTROL_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("11", "true", TARGET("2", "5", "ready")),
	    PART("13", "false", TARGET("3", "6", "ready")),
	    EVENTS("13", PUT(TARGET("1", "11", "draining")) "," GONE(TARGET("2", "13", "ready"))) },
	  NULL,
	  "1=draining 2=gone 3=ready ",
	  13 },
	{ "withdrawal-between-parts",
	  CONTROL_WITHDRAWALS,
	  { PART("10", "true", ZONE("a", "4")), PART("12", "false", ZONE("z", "5")),
	    EVENTS("12", PUT(ZONE("home", "11"))) },
	  NULL,
	  "withdrawn ",
	  12 },
	{ "return-between-parts",
	  CONTROL_WITHDRAWALS,
	  { PART("10", "true", ZONE("home", "4")), PART("12", "false", ZONE("z", "5")),
	    EVENTS("12", GONE(ZONE("home", "11"))) },
	  NULL,
	  "",
	  12 },
	{ "configuration-between-parts",
	  CONTROL_CONFIG,
	  { PART("10", "true", MAIN("4", "6")), PART("12", "false", ZONE("other", "5")),
	    EVENTS("12", PUT(MAIN("11", "7"))) },
	  NULL,
	  "config=7 ",
	  12 },
	/* After an invalid answer the list is read from its start; the known state is kept. */
	{ "part-without-revision",
	  CONTROL_TARGETS,
	  { PART("10", "false", TARGET("1", "4", "ready")), "{\"events\":[]}" },
	  "as_of is not a positive number",
	  "1=ready ",
	  0 },
	{ "revision-goes-back-between-parts",
	  CONTROL_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("9", "false", TARGET("2", "5", "ready")) },
	  "revision lower than in an earlier answer",
	  "1=ready ",
	  0 },
	/* A list older than the known state would bring back a target that has left. */
	{ "list-from-the-past",
	  CONTROL_TARGETS,
	  { PART("10", "false", TARGET("1", "4", "ready") "," TARGET("2", "5", "ready")),
	    EVENTS("14", GONE(TARGET("2", "14", "ready"))), "{}",
	    PART("12", "false", TARGET("1", "4", "ready") "," TARGET("2", "5", "ready")) },
	  "revision lower than in an earlier answer",
	  "1=ready 2=gone ",
	  0 },
	{ "part-repeats-names",
	  CONTROL_TARGETS,
	  { PART("10", "true", TARGET("2", "4", "ready")),
	    PART("11", "true", TARGET("1", "5", "ready")) },
	  "list part contains no new names",
	  "1=ready 2=ready ",
	  0 },
	{ "items-of-text",
	  CONTROL_TARGETS,
	  { "{\"items\":\"x\",\"as_of\":10}" },
	  "items is not an array",
	  "",
	  0 },
	/* From review/3: no list or event could be read any more. */
	{ "deep-entry-in-a-list",
	  CONTROL_TARGETS,
	  { PART("10", "false",
		 TARGET("1", "4", "ready") "," ODD(
			 "5", "{\"service\":" ARRAYS_40("") "}") "," TARGET("2", "6", "ready")) },
	  NULL,
	  "1=ready 2=ready ",
	  10 },
	{ "deep-entry-in-events",
	  CONTROL_TARGETS,
	  { PART("10", "false", TARGET("1", "4", "ready")),
	    EVENTS("12", PUT(ODD("11", ARRAYS_40("1"))) "," PUT(TARGET("1", "12", "draining"))),
	    EVENTS("14", GONE(ODD("13", ARRAYS_40("1"))) "," PUT(TARGET("2", "14", "ready"))) },
	  NULL,
	  "1=draining 2=ready ",
	  14 },
	{ "deep-withdrawal",
	  CONTROL_WITHDRAWALS,
	  { PART("10", "false", ODD("4", "{\"x\":" ARRAYS_40("") "}") "," ZONE("home", "5")) },
	  NULL,
	  "withdrawn ",
	  10 },
	{ "deep-entry-beside-the-configuration",
	  CONTROL_CONFIG,
	  { PART("10", "false", ODD("4", ARRAYS_40("{}")) "," MAIN("5", "6")) },
	  NULL,
	  "config=6 ",
	  10 },
	/* Numbers that no field of an entry can hold; the other entries are read. */
	{ "numbers-too-large",
	  CONTROL_TARGETS,
	  { PART("10", "false",
		 ODD("4", ODD_TARGET("10.0.0.9:80", "99999999999999999999", "1")) "," TARGET(
			 "1", "5", "ready")),
	    EVENTS("11", PUT(ODD("11", ODD_TARGET("10.0.0.9:80", "1e999", "1")))),
	    EVENTS("12", PUT(ODD("12", ODD_TARGET("10.0.0.9:80", "2", "1e999")))),
	    EVENTS("13", PUT(ODD("13", ODD_TARGET("10.0.0.9:80", "2", "-1")))),
	    EVENTS("14", PUT(TARGET("2", "14", "ready"))) },
	  NULL,
	  "1=ready 2=ready ",
	  14 },
	{ "ports-out-of-range",
	  CONTROL_TARGETS,
	  { PART("10", "false",
		 ODD("4", ODD_TARGET("10.0.0.9:65536", "2", "1")) "," TARGET("1", "5", "ready")),
	    EVENTS("11", PUT(ODD("11", ODD_TARGET("10.0.0.9:0", "2", "1")))),
	    EVENTS("12", PUT(ODD("12", ODD_TARGET("10.0.0.9:99999999999999999999", "2", "1")))),
	    EVENTS("13", PUT(ODD("13", ODD_TARGET("10.0.0.9:-1", "2", "1")))),
	    EVENTS("14", PUT(TARGET("2", "14", "ready"))) },
	  NULL,
	  "1=ready 2=ready ",
	  14 },
	/* An entry that becomes malformed is no target any more. */
	{ "entry-changes-its-type",
	  CONTROL_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("12", "false", TARGET("2", "5", "ready")),
	    EVENTS("12", PUT("{\"meta\":{\"name\":\"i-1\",\"rev\":11},\"spec\":\"x\"}")) },
	  NULL,
	  "1=gone 2=ready ",
	  12 },
};

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	return strcmp((*(struct reg_target *const *)a)->id->str,
		      (*(struct reg_target *const *)b)->id->str);
}

static void add_target(struct reg_target *tgt, void *arg)
{
	g_ptr_array_add(arg, tgt);
}

static char *format_state(struct fixture *fix)
{
	GPtrArray *targets = g_ptr_array_new();
	GString *text = g_string_new(NULL);
	struct control_state *cs = &fix->control_state;

	registry_each(cs->registry, add_target, targets);
	g_ptr_array_sort(targets, compare_ids);
	for (guint i = 0; i < targets->len; i++) {
		const struct reg_target *tgt = g_ptr_array_index(targets, i);

		g_string_append_printf(text, "%s=%s ", tgt->id->str + strlen("i-"),
				       target_phase_name(tgt->phase));
	}
	if (routing_version(cs->routing))
		g_string_append_printf(text, "config=%u ",
				       (unsigned int)routing_version(cs->routing));
	if (placing_is_withdrawn(&cs->placing, symbols_intern(&cs->symbols, "home")))
		g_string_append(text, "withdrawn ");
	g_ptr_array_unref(targets);
	return g_string_free(text, FALSE);
}

static void test_answers(gconstpointer data)
{
	const struct answers_case *c = data;
	const char *why = NULL;
	struct fixture fix;
	struct listing *ls;
	char *text;

	setup(&fix);
	ls = reports_listing(&fix.reports, c->kind);
	for (int i = 0; i < MAX_ANSWERS && c->answers[i]; i++) {
		json_object *answer = listing_parse(ls, c->answers[i], strlen(c->answers[i]));
		bool changed;

		g_assert_nonnull(answer);
		why = listing_apply(ls, answer, true, &changed);
		json_object_put(answer);
	}
	text = format_state(&fix);
	g_assert_cmpstr(why, ==, c->why);
	g_assert_cmpstr(text, ==, c->expected_state);
	g_assert_cmpint(store_version_revision(ls->revision), ==, c->watch_from);
	g_assert_true(listing_catching_up(ls) == c->catching_up);
	g_free(text);
	teardown(&fix);
}

/*
 * Guards against an old event that is applied after a newer list: a target that restarted once
 * would seem to restart twice, and its flows would be reset although it is alive.
 */
static void test_reborn_once(void)
{
	const char *const answers[] = {
		PART("10", "true", TARGET("1", "4", "ready")),
		PART("14", "false", TARGET_BORN("2", "13", "ready", "9")),
		EVENTS("12", PUT(TARGET_BORN("2", "12", "ready", "8"))),
		EVENTS("14", PUT(TARGET_BORN("2", "13", "ready", "9"))),
	};
	struct fixture fix;
	struct listing *ls;

	setup(&fix);
	ls = reports_listing(&fix.reports, CONTROL_TARGETS);
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		json_object *answer = json_tokener_parse(answers[i]);
		bool changed;

		g_assert_null(listing_apply(ls, answer, true, &changed));
		json_object_put(answer);
		if (i > 0)
			g_assert_cmpint(registry_by_id(fix.control_state.registry, "i-2")->born_ms,
					==, 9);
	}
	g_assert_false(listing_catching_up(ls));
	teardown(&fix);
}

/*
 * Guards against the first part of a list counting as the whole list: an instance that was
 * suspended would take its old data about the targets of the other parts for confirmed.
 */
static void test_current(void)
{
	static const struct {
		const char *answer;
		bool current;
	} steps[] = {
		{ PART("10", "true", TARGET("1", "4", "ready")), false },
		{ PART("10", "true", TARGET("2", "5", "ready")), false },
		{ PART("12", "false", TARGET("3", "6", "ready")), false },
		{ EVENTS("11", PUT(TARGET("1", "11", "draining"))), false },
		{ EVENTS("12", PUT(TARGET("2", "12", "draining"))), true },
		{ EVENTS("14", GONE(TARGET("3", "13", "ready"))), true },
	};
	struct fixture fix;
	struct listing *ls;

	setup(&fix);
	ls = reports_listing(&fix.reports, CONTROL_TARGETS);
	g_assert_false(listing_is_current(ls));
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		json_object *answer = listing_parse(ls, steps[i].answer, strlen(steps[i].answer));
		bool changed;

		g_assert_null(listing_apply(ls, answer, true, &changed));
		g_assert_true(listing_is_current(ls) == steps[i].current);
		json_object_put(answer);
	}
	listing_restart(ls);
	g_assert_false(listing_is_current(ls));
	teardown(&fix);
}

/* Guards against a withdrawal without a name, which made the snapshot invalid as a whole. */
static void test_unnamed_withdrawal(void)
{
	const char *const text = PART("10", "false", "{\"meta\":7,\"spec\":[]}," ZONE("home", "5"));
	struct timespec now = { 1000, 0 };
	GString *document = g_string_new(NULL);
	struct faults faults;
	struct snapshot *snap;
	struct fixture fix;
	json_object *answer;
	bool changed;

	setup(&fix);
	faults_init(&faults);
	answer = json_tokener_parse(PART("10", "false", MAIN("4", "6")));
	g_assert_null(listing_apply(reports_listing(&fix.reports, CONTROL_CONFIG), answer, true,
				    &changed));
	json_object_put(answer);
	answer = json_tokener_parse(text);
	g_assert_null(listing_apply(reports_listing(&fix.reports, CONTROL_WITHDRAWALS), answer,
				    true, &changed));
	json_object_put(answer);
	snapshot_write(&fix.control_state, document, now);
	snap = snapshot_parse(document->str, document->len, &faults);
	g_assert_nonnull(snap);
	snapshot_free(snap);
	faults_release(&faults);
	g_string_free(document, TRUE);
	teardown(&fix);
}

/* Guards against a name of another writer's object that ends the query or the request line. */
static void test_paths(void)
{
	static const struct {
		const char *last; /* name of the last object of the part before, NULL for none */
		int64_t watch_from;
		bool fresh;
		const char *path;
	} paths[] = {
		{ NULL, 0, false, "/objects/servers?stale_ok=1" },
		{ NULL, 0, true, "/objects/servers" },
		{ "i-1", 0, false, "/objects/servers?after=i-1&stale_ok=1" },
		{ "i-1", 0, true, "/objects/servers?after=i-1" },
		{ "i-1&after=z", 0, true, "/objects/servers?after=i-1%26after%3Dz" },
		{ "a b\r\nc", 0, true, "/objects/servers?after=a%20b%0D%0Ac" },
		{ "100%/#?+", 0, true, "/objects/servers?after=100%25%2F%23%3F%2B" },
		{ "\303\274", 0, true, "/objects/servers?after=%C3%BC" },
		{ NULL, 17, false, "/objects/servers?watch=17&wait_ms=2500&stale_ok=1" },
		{ NULL, 17, true, "/objects/servers?watch=17&wait_ms=2500" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		struct fixture fix;
		struct listing *ls;
		char *path;

		setup(&fix);
		ls = reports_listing(&fix.reports, CONTROL_TARGETS);
		ls->revision = store_version_make(0, paths[i].watch_from);
		g_string_assign(ls->after_name, paths[i].last ? paths[i].last : "");
		path = listing_path(ls, "servers", 2500, paths[i].fresh);
		g_assert_cmpstr(path, ==, paths[i].path);
		g_free(path);
		teardown(&fix);
	}
}

/* A list with a target and an entry of another writer whose spec is @begin, @part again, @end. */
static GString *list_with_repeated(const char *begin, const char *part, const char *end)
{
	GString *text = g_string_new("{\"items\":[" TARGET("1", "4", "ready"));

	g_string_append_printf(text, ",{\"meta\":{\"name\":\"i-ff\",\"rev\":5},\"spec\":%s%s",
			       begin, part);
	while (text->len < ENTRY_BYTES)
		g_string_append_printf(text, ",%s", part);
	g_string_append_printf(text, "%s}],\"more\":false,\"as_of\":10}", end);
	return text;
}

static size_t allocated_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/*
 * Guards against an entry of the largest size whose many values take more memory than a machine
 * has: every instance that reads the list would be killed, also after its restart.
 */
static void test_memory(void)
{
	static const struct {
		const char *name, *begin, *part, *end;
	} entries[] = {
		{ "objects in a field", "{\"service\":[", "{}", "]}" },
		{ "objects as spec", "[", "{}", "]" },
		{ "arrays in a field", "{\"service\":[", "[]", "]}" },
		{ "numbers in a field", "{\"slots\":[", "1", "]}" },
		{ "nested objects", "{\"service\":[", "{\"\":{\"\":{}}}", "]}" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		GString *text =
			list_with_repeated(entries[i].begin, entries[i].part, entries[i].end);
		struct fixture fix;
		struct listing *ls;
		size_t before;
		json_object *answer;
		size_t used;
		bool changed;
		char *state;

		setup(&fix);
		ls = reports_listing(&fix.reports, CONTROL_TARGETS);
		before = allocated_bytes();
		answer = listing_parse(ls, text->str, text->len);
		used = allocated_bytes() - before;
		g_test_message("%s: %zu bytes", entries[i].name, used);
		g_assert_cmpuint(used, <, ANSWER_MEMORY_MAX_BYTES);
		g_assert_null(listing_apply(ls, answer, true, &changed));
		state = format_state(&fix);
		g_assert_cmpstr(state, ==, "1=ready ");
		g_free(state);
		json_object_put(answer);
		g_string_free(text, TRUE);
		teardown(&fix);
	}
}

/*
 * A restored store: the list of the new era has lower revisions. Guards against it being refused as
 * older, and against a target that drains or has left being used again.
 */
static void test_new_era(void)
{
	static const struct {
		int64_t era;
		const char *answer;
		const char *expected_state;
	} steps[] = {
		{ 1, PART("20", "false", TARGET("1", "4", "ready") "," TARGET("2", "5", "ready")),
		  "1=ready 2=ready " },
		{ 1,
		  EVENTS("23",
			 PUT(TARGET("1", "21", "draining")) "," GONE(TARGET("2", "22", "ready"))),
		  "1=draining 2=gone " },
		{ 2, PART("10", "false", TARGET("1", "4", "ready") "," TARGET("2", "5", "ready")),
		  "1=draining 2=gone " },
		/* Written since the restore, at a revision that was assigned before. */
		{ 2, EVENTS("12", PUT(TARGET("1", "11", "ready"))), "1=ready 2=gone " },
		{ 2, EVENTS("21", PUT(TARGET("2", "21", "ready"))), "1=ready 2=ready " },
	};
	struct fixture fix;
	struct listing *ls;

	setup(&fix);
	ls = reports_listing(&fix.reports, CONTROL_TARGETS);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		json_object *answer;
		bool changed;
		char *state;

		listing_set_era(ls, steps[i].era);
		answer = listing_parse(ls, steps[i].answer, strlen(steps[i].answer));
		g_assert_null(listing_apply(ls, answer, true, &changed));
		state = format_state(&fix);
		g_assert_cmpstr(state, ==, steps[i].expected_state);
		g_free(state);
		json_object_put(answer);
	}
	/* Of the era before: the store cannot be watched from it. */
	listing_restart(ls);
	listing_advance(ls, store_version_make(1, 30));
	g_assert_false(store_version_known(ls->revision));
	teardown(&fix);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strconcat("/listing/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_answers);
		g_free(path);
	}
	g_test_add_func("/listing/reborn-once", test_reborn_once);
	g_test_add_func("/listing/current", test_current);
	g_test_add_func("/listing/unnamed-withdrawal", test_unnamed_withdrawal);
	g_test_add_func("/listing/paths", test_paths);
	g_test_add_func("/listing/memory", test_memory);
	g_test_add_func("/era/new-era", test_new_era);
	return g_test_run();
}
