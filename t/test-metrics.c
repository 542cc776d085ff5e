/*
 * Guards against counters that are missing from /metrics, lines that a scraper cannot parse, and a
 * status or health response that does not reflect the configuration or a planned stop.
 */
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <sodium.h>
#include <string.h>

#include "burn.h"
#include "status.h"

static const char grants[] =
	"{\"grants\":\"fleet\",\"generation\":4,\"organisations\":[{\"name\":\"org\",\"key\":"
	"\"0000000000000000000000000000000000000000000000000000000000000000\","
	"\"max_flows\":1000,\"addresses\":[\"192.0.2.0/28\"],\"targets\":[\"198.51.100.0/24\"]}]}";
static const char organisation[] =
	"{\"organisation\":\"org\",\"generation\":7,\"request_id\":\"00\",\"author\":\"a\","
	"\"time\":\"2026-12-04T05:00:00Z\",\"template\":\"none\",\"parameters\":{},"
	"\"withdrawn\":[\"dc-b\"],\"services\":[{\"name\":\"svc\",\"address\":\"192.0.2.1:7000\","
	"\"protocol\":\"tcp\",\"idle_timeout_ms\":3600000,\"silence_ms\":0,\"retry_permille\":100,"
	"\"max_new_flows\":0,\"slo_permille\":999,\"targets\":["
	"{\"name\":\"t-1\",\"address\":\"198.51.100.1:6080\",\"data_centre\":\"dc-a\",\"slots\":2,"
	"\"max_flows\":100,\"warmup_ms\":1000,\"health\":\"198.51.100.1:8080\",\"draining\":false},"
	"{\"name\":\"t-2\",\"address\":\"198.51.100.2:6080\",\"data_centre\":\"dc-b\",\"slots\":2,"
	"\"max_flows\":100,\"warmup_ms\":1000,\"health\":\"198.51.100.2:8080\",\"draining\":false},"
	"{\"name\":\"t-3\",\"address\":\"198.51.100.3:6080\",\"data_centre\":\"dc-a\",\"slots\":2,"
	"\"max_flows\":100,\"warmup_ms\":1000,\"health\":\"198.51.100.3:8080\",\"draining\":true}"
	"]}]}";

struct fixture {
	struct seeded_random random;
	struct instance_view view;
	struct peer_traffic traffic;
	struct actions acts;
};

static void apply(struct fixture *fix, peer_object_kind kind, const char *name, uint64_t generation,
		  const char *doc)
{
	struct event ev = { .type = EVENT_OBJECT, .now = fix->view.now };

	ev.object = (struct object){
		.kind = kind,
		.name = name,
		.generation = generation,
		.document = (const uint8_t *)doc,
		.len = strlen(doc),
	};
	core_handle(fix->view.core, &ev, &fix->acts);
	actions_reset(&fix->acts);
}

static void fixture_init(struct fixture *fix)
{
	struct core_options opts = {
		.members = { .self = 5, .group = "g", .data_centre = "dc-a", .incarnation = 1 },
		.max_flows = 1024,
		.random = &fix->random.random,
		.start = ts_from_ms(1000),
	};

	memset(fix, 0, sizeof(*fix));
	seeded_random_init(&fix->random, 1);
	actions_init(&fix->acts);
	fix->view = (struct instance_view){
		.core = core_new(&opts),
		.id = 5,
		.name = "in-5",
		.group = "g",
		.data_centre = "dc-a",
		.now = ts_from_ms(4500),
		.start = ts_from_ms(1000),
		.traffic = &fix->traffic,
	};
}

static void fixture_release(struct fixture *fix)
{
	core_free(fix->view.core);
	actions_release(&fix->acts);
}

static void configure(struct fixture *fix)
{
	apply(fix, PEER_OBJECT_GRANTS, "fleet", 4, grants);
	apply(fix, PEER_OBJECT_ORGANISATION, "org", 7, organisation);
	g_assert_true(config_ready(core_config(fix->view.core)));
}

/* Value of a series (metric with labels), which must occur exactly once. */
static uint64_t metric(const GString *page, const char *series)
{
	char *line = g_strdup_printf("\n" METRICS_PREFIX "%s ", series);
	const char *at = strstr(page->str, line);
	uint64_t value;

	g_test_message("%s", series);
	g_assert_nonnull(at);
	g_assert_null(strstr(at + 1, line));
	value = g_ascii_strtoull(at + strlen(line), NULL, 10);
	g_free(line);
	return value;
}

/* Every line is a HELP or TYPE comment or a series with an integer value. */
static void check_lines(const GString *page)
{
	GRegex *regex = g_regex_new("^(# (HELP [a-z0-9_]+ .+|TYPE [a-z0-9_]+ (counter|gauge))"
				    "|[a-z0-9_]+(\\{[a-z_]+=\"([^\"\\\\\\n]|\\\\.)*\""
				    "(,[a-z_]+=\"([^\"\\\\\\n]|\\\\.)*\")*\\})? [0-9]+)$",
				    0, 0, NULL);
	char **lines = g_strsplit(page->str, "\n", -1);
	guint nr = g_strv_length(lines);

	g_assert_cmpuint(nr, >, 10);
	g_assert_cmpstr(lines[nr - 1], ==, "");
	for (guint i = 0; i + 1 < nr; i++) {
		if (!g_regex_match(regex, lines[i], 0, NULL))
			g_error("unreadable line: %s", lines[i]);
	}
	g_strfreev(lines);
	g_regex_unref(regex);
}

static void test_counters(void)
{
	GString *page = g_string_new("\n");
	struct counters cnt;
	uint64_t *values = (uint64_t *)&cnt;
	uint64_t expect = UINT64_MAX;

	for (size_t i = 0; i < sizeof(cnt) / sizeof(*values); i++)
		values[i] = UINT64_MAX - i;
	metrics_add_counters(page, &cnt);
#define CHECK_COUNTER(name, help) g_assert_cmpuint(metric(page, #name "_total"), ==, expect--);
	COUNTER_LIST(CHECK_COUNTER)
#undef CHECK_COUNTER
	g_string_erase(page, 0, 1);
	check_lines(page);
	g_string_free(page, TRUE);
}

static void test_labels(void)
{
	static const struct {
		const char *value;
		const char *text;
	} cases[] = {
		{ "plain", "l=\"plain\"" }, { "", "l=\"\"" },	       { "a\"b", "l=\"a\\\"b\"" },
		{ "a\\b", "l=\"a\\\\b\"" }, { "a\nb", "l=\"a\\nb\"" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *out = g_string_new(NULL);

		metrics_add_label(out, "l", cases[i].value);
		g_assert_cmpstr(out->str, ==, cases[i].text);
		g_string_free(out, TRUE);
	}
}

static void test_page(void)
{
	GString *page = g_string_new(NULL);
	struct fixture fix;

	fixture_init(&fix);
	configure(&fix);
	fix.traffic.in[PEER_HEARTBEAT] = 11;
	fix.traffic.out[PEER_PASS] = 12;
	metrics_write(page, &fix.view);
	check_lines(page);
	g_assert_cmpuint(metric(page, "uptime_seconds"), ==, 3);
	g_assert_cmpuint(metric(page, "members"), ==, 1);
	g_assert_cmpuint(metric(page, "flows"), ==, 0);
	g_assert_cmpuint(metric(page, "peer_message_bytes_in_total{type=\"heartbeat\"}"), ==, 11);
	g_assert_cmpuint(metric(page, "peer_message_bytes_out_total{type=\"pass\"}"), ==, 12);
	g_assert_cmpuint(metric(page, "config_generation{kind=\"organisation\",name=\"org\"}"), ==,
			 7);
	g_assert_cmpuint(
		metric(page, "target_flows{organisation=\"org\",service=\"svc\",target=\"t-1\"}"),
		==, 0);
	g_string_free(page, TRUE);
	fixture_release(&fix);
}

static json_object *member(json_object *obj, const char *key)
{
	json_object *value = NULL;

	g_test_message("%s", key);
	g_assert_true(json_object_object_get_ex(obj, key, &value));
	return value;
}

static const char *text(json_object *obj, const char *key)
{
	return json_object_get_string(member(obj, key));
}

/* Outcomes of flows to the first target, and one refusal. */
static void count_flows(struct fixture *fix)
{
	static const enum flow_outcome outcomes[] = { FLOW_GOOD, FLOW_GOOD, FLOW_SHED };
	const struct service *svc = config_service(
		core_config(fix->view.core), (struct service_addr){ { 0xc0000201, 7000 }, 6 });

	for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++)
		target_outcome(core_targets(fix->view.core),
			       g_array_index(svc->targets, struct target_config, 0).index,
			       outcomes[i]);
	targets_count_refused(core_targets(fix->view.core), svc);
}

/* Guards against a status page from which no burn report can be made. */
static void test_burn(void)
{
	static const char *const lines[] = {
		"\"slo_permille\":999,\"target\":\"t-1\",\"data_centre\":\"dc-a\",\"good\":2,"
		"\"bad\":1}",
		"\"target\":\"t-2\",\"data_centre\":\"dc-b\",\"good\":0,\"bad\":0}",
		"\"target\":\"(refused)\",\"data_centre\":\"(refused)\",\"good\":0,\"bad\":1}",
	};
	GString *page = g_string_new(NULL);
	GString *out = g_string_new(NULL);
	struct burn *burn = burn_new();
	struct fixture fix;
	json_object *root;
	gchar **split;

	fixture_init(&fix);
	configure(&fix);
	count_flows(&fix);
	status_write(page, &fix.view);
	root = json_tokener_parse(page->str);
	g_assert_cmpuint(burn_samples(root, 1000, out), ==, 4);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		g_assert_nonnull(strstr(out->str, lines[i]));
	split = g_strsplit(out->str, "\n", 0);
	for (size_t i = 0; i < 4; i++)
		g_assert_cmpint(burn_add(burn, split[i]), ==, 0);
	g_string_truncate(page, 0);
	metrics_write(page, &fix.view);
	g_assert_nonnull(strstr(page->str, "target_flows_good_total{organisation=\"org\","
					   "service=\"svc\",target=\"t-1\"} 2\n"));
	g_assert_nonnull(strstr(page->str, "target_flows_bad_total{organisation=\"org\","
					   "service=\"svc\",target=\"t-1\"} 1\n"));
	g_assert_nonnull(strstr(page->str, "service_flows_refused_total{organisation=\"org\","
					   "service=\"svc\"} 1\n"));
	g_strfreev(split);
	burn_free(burn);
	json_object_put(root);
	g_string_free(out, TRUE);
	g_string_free(page, TRUE);
	fixture_release(&fix);
}

static void test_status(void)
{
	GString *page = g_string_new(NULL);
	struct fixture fix;
	json_object *root;
	json_object *svc;
	json_object *targets;

	fixture_init(&fix);
	configure(&fix);
	core_counters(fix.view.core)->drop_crossed = 3;
	count_flows(&fix);
	status_write(page, &fix.view);
	root = json_tokener_parse(page->str);
	g_assert_nonnull(root);
	g_assert_cmpint(json_object_get_int(member(member(root, "instance"), "id")), ==, 5);
	g_assert_true(json_object_get_boolean(member(member(root, "instance"), "healthy")));
	g_assert_cmpint(json_object_array_length(member(member(root, "config"), "objects")), ==, 2);
	g_assert_cmpint(json_object_array_length(member(root, "members")), ==, 1);
	g_assert_cmpint(json_object_get_int(member(member(root, "drops"), "crossed")), ==, 3);
	g_assert_cmpint(json_object_get_int(member(member(root, "counters"), "drop_crossed")), ==,
			3);
	svc = json_object_array_get_idx(member(root, "services"), 0);
	g_assert_cmpstr(text(svc, "organisation"), ==, "org");
	g_assert_cmpstr(text(svc, "address"), ==, "192.0.2.1:7000");
	targets = member(svc, "targets");
	g_assert_cmpint(json_object_array_length(targets), ==, 3);
	g_assert_cmpstr(text(json_object_array_get_idx(targets, 0), "name"), ==, "t-1");
	g_assert_cmpstr(text(json_object_array_get_idx(targets, 1), "state"), ==, "withdrawn");
	g_assert_cmpstr(text(json_object_array_get_idx(targets, 2), "state"), ==, "draining");
	json_object_put(root);
	g_string_free(page, TRUE);
	fixture_release(&fix);
}

static void test_health(void)
{
	struct fixture fix;

	fixture_init(&fix);
	g_assert_nonnull(metrics_unhealthy_reason(&fix.view));
	configure(&fix);
	g_assert_null(metrics_unhealthy_reason(&fix.view));
	fix.view.leaving = true;
	g_assert_nonnull(metrics_unhealthy_reason(&fix.view));
	fixture_release(&fix);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/metrics/counters", test_counters);
	g_test_add_func("/metrics/labels", test_labels);
	g_test_add_func("/metrics/page", test_page);
	g_test_add_func("/metrics/status", test_status);
	g_test_add_func("/metrics/burn", test_burn);
	g_test_add_func("/metrics/health", test_health);
	return g_test_run();
}
