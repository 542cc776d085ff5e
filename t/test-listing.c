/*
 * Guards what is read of the store in parts: a change between two parts of a list that is never
 * heard leaves a target in use that drains or has left, or a new one unused, until the instance
 * ends. Each case is a series of answers of the store and what the instance must believe then.
 */
#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#include "platform/reports.h"
#include "random.h"
#include "t/silent-out.h"

#define MAX_ANSWERS 6

struct fixture {
	struct steer_out out; /* first member */
	struct clock clock;
	struct beliefs beliefs;
	struct reports reports;
	struct seeded_random random;
};

static struct timespec fixed_now(struct clock *clock)
{
	(void)clock;
	return (struct timespec){ 1000, 0 };
}

static const struct clock_ops clock_ops = { fixed_now };

static void start(struct fixture *fix)
{
	struct beliefs_options opts = {
		.data_centre = "home",
		.max_flows = 1024,
		.random = &fix->random.random,
		.out = &fix->out,
	};

	*fix = (struct fixture){ .out = { &null_out_ops }, .clock = { &clock_ops } };
	seeded_random_init(&fix->random, 1);
	beliefs_init(&fix->beliefs, &opts);
	reports_init(&fix->reports, &fix->beliefs, &fix->clock);
}

static void stop(struct fixture *fix)
{
	reports_release(&fix->reports);
	beliefs_release(&fix->beliefs);
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
#define GONE(object)		 "{\"object\":" object ",\"deleted\":true}"

struct answers_case {
	const char *name;
	enum belief_kind kind;
	const char *answers[MAX_ANSWERS];
	const char *why; /* of the last answer */
	const char
		*believes; /* targets in order of their names, config version, withdrawn "home" */
	int64_t watch_from;
	bool catching_up;
};

static const struct answers_case cases[] = {
	{ "one-part",
	  BELIEF_TARGETS,
	  { PART("10", "false", TARGET("1", "4", "ready")) },
	  NULL,
	  "1=ready ",
	  10 },
	/* The draining of target 1 lies between the parts: only a watch from 10 tells it. */
	{ "watch-from-the-first-part",
	  BELIEF_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("12", "false", TARGET("2", "5", "ready")) },
	  NULL,
	  "1=ready 2=ready ",
	  10,
	  true },
	{ "drains-between-parts",
	  BELIEF_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("12", "false", TARGET("2", "5", "ready")),
	    EVENTS("12", PUT(TARGET("1", "11", "draining"))) },
	  NULL,
	  "1=draining 2=ready ",
	  12 },
	{ "leaves-between-parts",
	  BELIEF_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("12", "false", TARGET("2", "5", "ready")),
	    EVENTS("12", GONE(TARGET("1", "11", "ready"))) },
	  NULL,
	  "1=gone 2=ready ",
	  12 },
	{ "joins-between-parts",
	  BELIEF_TARGETS,
	  { PART("10", "true", TARGET("2", "4", "ready")),
	    PART("12", "false", TARGET("3", "5", "ready")),
	    EVENTS("12", PUT(TARGET("1", "11", "ready"))) },
	  NULL,
	  "1=ready 2=ready 3=ready ",
	  12 },
	/* The event at 11 is older than what the second part has shown. */
	{ "older-event-than-the-list",
	  BELIEF_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("13", "false", TARGET("2", "12", "draining")),
	    EVENTS("11", PUT(TARGET("2", "11", "ready"))) },
	  NULL,
	  "1=ready 2=draining ",
	  11,
	  true },
	{ "older-removal-than-the-list",
	  BELIEF_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("13", "false", TARGET("2", "13", "ready")),
	    EVENTS("12", GONE(TARGET("2", "12", "ready"))) },
	  NULL,
	  "1=ready 2=ready ",
	  12,
	  true },
	{ "three-parts",
	  BELIEF_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("11", "true", TARGET("2", "5", "ready")),
	    PART("13", "false", TARGET("3", "6", "ready")),
	    EVENTS("13", PUT(TARGET("1", "11", "draining")) "," GONE(TARGET("2", "13", "ready"))) },
	  NULL,
	  "1=draining 2=gone 3=ready ",
	  13 },
	{ "withdrawal-between-parts",
	  BELIEF_WITHDRAWALS,
	  { PART("10", "true", ZONE("a", "4")), PART("12", "false", ZONE("z", "5")),
	    EVENTS("12", PUT(ZONE("home", "11"))) },
	  NULL,
	  "withdrawn ",
	  12 },
	{ "return-between-parts",
	  BELIEF_WITHDRAWALS,
	  { PART("10", "true", ZONE("home", "4")), PART("12", "false", ZONE("z", "5")),
	    EVENTS("12", GONE(ZONE("home", "11"))) },
	  NULL,
	  "",
	  12 },
	{ "configuration-between-parts",
	  BELIEF_CONFIG,
	  { PART("10", "true", MAIN("4", "6")), PART("12", "false", ZONE("other", "5")),
	    EVENTS("12", PUT(MAIN("11", "7"))) },
	  NULL,
	  "config=7 ",
	  12 },
	/* What cannot be trusted is read again from the start; what was known stays. */
	{ "part-without-revision",
	  BELIEF_TARGETS,
	  { PART("10", "false", TARGET("1", "4", "ready")), "{\"events\":[]}" },
	  "no revision",
	  "1=ready ",
	  0 },
	{ "revision-goes-back-between-parts",
	  BELIEF_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("9", "false", TARGET("2", "5", "ready")) },
	  "the revision has gone back",
	  "1=ready ",
	  0 },
	/* A list that is older than what is known would bring back a target that has left. */
	{ "list-from-the-past",
	  BELIEF_TARGETS,
	  { PART("10", "false", TARGET("1", "4", "ready") "," TARGET("2", "5", "ready")),
	    EVENTS("14", GONE(TARGET("2", "14", "ready"))), "{}",
	    PART("12", "false", TARGET("1", "4", "ready") "," TARGET("2", "5", "ready")) },
	  "the revision has gone back",
	  "1=ready 2=gone ",
	  0 },
	{ "part-repeats-names",
	  BELIEF_TARGETS,
	  { PART("10", "true", TARGET("2", "4", "ready")),
	    PART("11", "true", TARGET("1", "5", "ready")) },
	  "a part repeats names",
	  "1=ready 2=ready ",
	  0 },
	{ "items-of-text",
	  BELIEF_TARGETS,
	  { "{\"items\":\"x\",\"as_of\":10}" },
	  "no items",
	  "",
	  0 },
	/* The second state of the entry cannot be read: it names no target any more. */
	{ "entry-changes-its-type",
	  BELIEF_TARGETS,
	  { PART("10", "true", TARGET("1", "4", "ready")),
	    PART("12", "false", TARGET("2", "5", "ready")),
	    EVENTS("12", PUT("{\"meta\":{\"name\":\"i-1\",\"rev\":11},\"spec\":\"x\"}")) },
	  NULL,
	  "1=gone 2=ready ",
	  12 },
};

static gint by_id(gconstpointer a, gconstpointer b)
{
	return strcmp((*(struct reg_target *const *)a)->id->str,
		      (*(struct reg_target *const *)b)->id->str);
}

static void collect(struct reg_target *tgt, void *arg)
{
	g_ptr_array_add(arg, tgt);
}

static char *believed(struct fixture *fix)
{
	GPtrArray *targets = g_ptr_array_new();
	GString *text = g_string_new(NULL);
	struct beliefs *bel = &fix->beliefs;

	registry_each(bel->registry, collect, targets);
	g_ptr_array_sort(targets, by_id);
	for (guint i = 0; i < targets->len; i++) {
		const struct reg_target *tgt = g_ptr_array_index(targets, i);

		g_string_append_printf(text, "%s=%s ", tgt->id->str + strlen("i-"),
				       target_phase_name(tgt->phase));
	}
	if (routing_version(bel->routing))
		g_string_append_printf(text, "config=%u ",
				       (unsigned int)routing_version(bel->routing));
	if (placing_is_withdrawn(&bel->placing, symbols_intern(&bel->symbols, "home")))
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

	start(&fix);
	ls = reports_listing(&fix.reports, c->kind);
	for (int i = 0; i < MAX_ANSWERS && c->answers[i]; i++) {
		json_object *answer = json_tokener_parse(c->answers[i]);
		bool changed;

		g_assert_nonnull(answer);
		why = listing_take(ls, answer, true, &changed);
		json_object_put(answer);
	}
	text = believed(&fix);
	g_assert_cmpstr(why, ==, c->why);
	g_assert_cmpstr(text, ==, c->believes);
	g_assert_cmpint(ls->revision, ==, c->watch_from);
	g_assert_true(listing_catching_up(ls) == c->catching_up);
	g_free(text);
	stop(&fix);
}

/*
 * A flow's target that restarted while the list was read must not seem to restart twice: its flows
 * would be reset although it lives.
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

	start(&fix);
	ls = reports_listing(&fix.reports, BELIEF_TARGETS);
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		json_object *answer = json_tokener_parse(answers[i]);
		bool changed;

		g_assert_null(listing_take(ls, answer, true, &changed));
		json_object_put(answer);
		if (i > 0)
			g_assert_cmpint(registry_by_id(fix.beliefs.registry, "i-2")->born_ms, ==,
					9);
	}
	g_assert_false(listing_catching_up(ls));
	stop(&fix);
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
	return g_test_run();
}
