/*
 * Guards the decoding of the platform's packets, entries and settings: the bytes of the platform's
 * own example packets, malformed entries, which must not become targets, and faults of settings,
 * which must all be reported.
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "edge-settings.h"
#include "platform/echo-packet.h"
#include "platform/entries.h"
#include "platform/era.h"

/* SYN from 100.64.0.7:40001 to 198.18.0.1:443, and the reset that answers it. */
static const uint8_t opening[] = { 0x44, 0x33, 0x22, 0x11, 0,	 0,    0,    0,	   0xd5, 0xc3, 0xb2,
				   0xa1, 0,    0,    0,	   0,	 0x40, 0x41, 0x9c, 0x01, 0x00, 0x12,
				   0xc6, 0x07, 0x00, 0x40, 0x64, 0xbb, 0x01, 0,	   0 };
static const uint8_t reset[] = { 0,    0,    0,	   0,	 0,    0,    0,	   0,	 0,    0, 0,
				 0,    0,    0,	   0,	 0,    0x80, 0xbb, 0x01, 0x07, 0, 0x40,
				 0x64, 0x01, 0x00, 0x12, 0xc6, 0x41, 0x9c, 0,	 0 };

static void test_opening(void)
{
	struct caller_packet pkt;
	uint8_t out[WIRE_MAX_BYTES];
	struct flow_addr addr;

	g_assert_true(echo_wire.ops->decode(&echo_wire, opening, sizeof(opening), &pkt));
	g_assert_true(pkt.syn && !pkt.fin && !pkt.rst);
	g_assert_cmphex(pkt.seq, ==, 0x11223344);
	g_assert_cmphex(pkt.caller.ip, ==, 0x64400007);
	g_assert_cmpuint(pkt.caller.port, ==, 40001);
	g_assert_cmphex(pkt.service.ip, ==, 0xc6120001);
	g_assert_cmpuint(pkt.service.port, ==, 443);
	addr = (struct flow_addr){ pkt.caller, pkt.service };
	g_assert_cmpuint(echo_wire.ops->reset(&echo_wire, &addr, 0, out), ==, sizeof(reset));
	g_assert_cmpmem(out, sizeof(reset), reset, sizeof(reset));
}

static void test_encode(void)
{
	static const uint8_t prefix[] = { 0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2 };
	static const uint8_t mark[] = { 0x04, 0x03, 0x02, 0x01 };
	uint8_t out[WIRE_MAX_BYTES];

	g_assert_cmpuint(echo_wire.ops->encode(&echo_wire, 0x7f3a91c2, 0x01020304, opening,
					       sizeof(opening), out),
			 ==, sizeof(opening) + 8);
	g_assert_cmpmem(out, 8, prefix, sizeof(prefix));
	g_assert_cmpmem(out + 8, 12, opening, 12);
	g_assert_cmpmem(out + 20, 4, mark, sizeof(mark));
	g_assert_cmpmem(out + 24, sizeof(opening) - 16, opening + 16, sizeof(opening) - 16);
}

#define TARGET(name, spec) "{\"meta\":{\"name\":\"" name "\",\"rev\":3},\"spec\":{" spec "}}"
#define SPEC(service, addr, slots, state, cold, seq)                                               \
	"\"service\":" service ",\"addr\":" addr ",\"zone\":\"bk-north\",\"version\":\"v1\","      \
	"\"slots\":" slots ",\"state\":" state ",\"cold_left_ms\":" cold ",\"seq\":" seq
#define GOOD SPEC("\"web\"", "\"10.128.0.9:8080\"", "2", "\"ready\"", "0", "4")

#define X49	       "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
#define X51	       X49 "xx"
#define X253	       X51 X51 X51 X51 X49
#define X255	       X253 "xx"
#define WITH(key, val) GOOD ",\"" key "\":\"" val "\"" /* the last one of two equal keys counts */

struct entry_case {
	const char *name;
	const char *json;
	const char *why; /* NULL when the entry is valid */
};

static const struct entry_case entries[] = {
	{ "good", TARGET("i-7f3a91c2", GOOD), NULL },
	{ "born", TARGET("i-7f3a91c2", GOOD ",\"born\":17"), NULL },
	{ "unknown-field", TARGET("i-7f3a91c2", GOOD ",\"more\":[1]"), NULL },
	{ "draining",
	  TARGET("i-1", SPEC("\"web\"", "\"10.0.0.1:1\"", "2", "\"draining\"", "0", "4")), NULL },
	{ "no-number-in-name", TARGET("i-server", GOOD),
	  "name does not end in a hexadecimal number" },
	{ "number-too-long", TARGET("i-00112233445566778", GOOD),
	  "name does not end in a hexadecimal number" },
	{ "no-name", "{\"spec\":{" GOOD "}}", "name does not end in a hexadecimal number" },
	{ "spec-of-text", "{\"meta\":{\"name\":\"i-1\"},\"spec\":\"x\"}", "spec is not an object" },
	{ "service-of-number",
	  TARGET("i-1", SPEC("7", "\"10.0.0.1:1\"", "2", "\"ready\"", "0", "4")),
	  "service is missing, empty or not a string" },
	{ "addr-without-port",
	  TARGET("i-1", SPEC("\"web\"", "\"10.0.0.1\"", "2", "\"ready\"", "0", "4")),
	  "addr is not an address and port" },
	{ "slots-of-text",
	  TARGET("i-1", SPEC("\"web\"", "\"10.0.0.1:1\"", "\"2\"", "\"ready\"", "0", "4")),
	  "slots is not an integer from 1 to 65535" },
	{ "slots-zero",
	  TARGET("i-1", SPEC("\"web\"", "\"10.0.0.1:1\"", "0", "\"ready\"", "0", "4")),
	  "slots is not an integer from 1 to 65535" },
	{ "state-unknown",
	  TARGET("i-1", SPEC("\"web\"", "\"10.0.0.1:1\"", "2", "\"asleep\"", "0", "4")),
	  "state is neither ready nor draining" },
	{ "state-of-null", TARGET("i-1", SPEC("\"web\"", "\"10.0.0.1:1\"", "2", "null", "0", "4")),
	  "state is neither ready nor draining" },
	{ "cold-negative",
	  TARGET("i-1", SPEC("\"web\"", "\"10.0.0.1:1\"", "2", "\"ready\"", "-1", "4")),
	  "cold_left_ms is not an integer from 0 to 2147483647" },
	{ "seq-of-text",
	  TARGET("i-1", SPEC("\"web\"", "\"10.0.0.1:1\"", "2", "\"ready\"", "0", "\"4\"")),
	  "seq is not a non-negative integer" },
	{ "service-of-255-bytes", TARGET("i-1", WITH("service", X255)), NULL },
	{ "service-too-long", TARGET("i-1", WITH("service", X255 "x")),
	  "service is longer than 255 bytes" },
	{ "zone-too-long", TARGET("i-1", WITH("zone", X255 "x")), "zone is longer than 255 bytes" },
	{ "name-of-255-bytes", TARGET(X253 "-1", GOOD), NULL },
	{ "name-too-long", TARGET(X253 "x-1", GOOD), "name is longer than 255 bytes" },
	{ "born-of-fraction", TARGET("i-1", GOOD ",\"born\":1.5"),
	  "born is not a non-negative integer" },
};

static void test_entry(gconstpointer data)
{
	const struct entry_case *c = data;
	json_object *obj = json_tokener_parse(c->json);
	struct target_info info;
	struct symbols syms;

	g_assert_nonnull(obj);
	symbols_init(&syms);
	g_assert_cmpstr(entry_parse_target(&syms, obj, &info), ==, c->why);
	if (!c->why && !strcmp(c->name, "good")) {
		g_assert_cmphex(info.wire_id, ==, 0x7f3a91c2);
		g_assert_cmphex(info.ep.ip, ==, 0x0a800009);
		g_assert_cmpstr(symbols_name(&syms, info.data_centre), ==, "bk-north");
		g_assert_false(info.draining);
	}
	g_assert_true(c->why || info.draining == !strcmp(c->name, "draining"));
	symbols_release(&syms);
	json_object_put(obj);
}

#define ROUTE(more)	"{\"hostname\":\"198.18.0.1\",\"path_prefix\":\"/8443/\"," more "}"
#define SERVICES(bound) ",\"services\":[{\"name\":\"a\"" bound "}]"
#define CONFIG(version, routes)                                                                    \
	"{\"meta\":{\"name\":\"main\"},\"spec\":{\"version\":" version ",\"routes\":[" routes "]}" \
	"}"

struct config_case {
	const char *name;
	const char *json;
	const char *why;
	bool newer;
	unsigned int services;	/* of the route */
	bool cold_rate_limited; /* the first of them */
	struct admission_class admission;
};

static const struct config_case configs[] = {
	{ "one-service", CONFIG("7", ROUTE("\"service\":\"a\"")), NULL, true, 1 },
	{ "bound-on-cold-targets",
	  "{\"meta\":{\"name\":\"main\"},\"spec\":{\"version\":7,\"routes\":[" ROUTE(
		  "\"service\":\"a\"") "]" SERVICES(",\"cold_per_s\":12.5") "}}",
	  NULL, true, 1, true },
	/* A limit of 0 would hold back all openings when every target is cold. */
	{ "no-bound-on-cold-targets",
	  "{\"meta\":{\"name\":\"main\"},\"spec\":{\"version\":7,\"routes\":[" ROUTE(
		  "\"service\":\"a\"") "]" SERVICES(",\"cold_per_s\":0.0") "}}",
	  NULL, true, 1, false },
	{ "services-without-a-bound",
	  "{\"meta\":{\"name\":\"main\"},\"spec\":{\"version\":7,\"routes\":[" ROUTE(
		  "\"service\":\"a\"") "]" SERVICES("") "}}",
	  NULL, true, 1, false },
	{ "goal-time-out-and-priority",
	  CONFIG("7", ROUTE("\"service\":\"a\",\"slo_ms\":150,\"timeout_ms\":2000,"
			    "\"priority\":1")),
	  NULL,
	  true,
	  1,
	  false,
	  { 150, 1, 2000 } },
	/* A malformed goal must not cause callers to be refused. */
	{ "goal-of-text", CONFIG("7", ROUTE("\"service\":\"a\",\"slo_ms\":\"150\"")), NULL, true,
	  1 },
	/* An opening must not wait by a malformed time-out. */
	{ "time-out-of-text", CONFIG("7", ROUTE("\"service\":\"a\",\"timeout_ms\":\"2000\"")), NULL,
	  true, 1 },
	{ "split",
	  CONFIG("7", ROUTE("\"traffic_split\":[{\"service\":\"a\",\"weight\":9},"
			    "{\"service\":\"b\",\"weight\":1}]")),
	  NULL, true, 2 },
	{ "older", CONFIG("5", ROUTE("\"service\":\"a\"")), NULL, false, 0 },
	{ "same", CONFIG("6", ROUTE("\"service\":\"a\"")), NULL, false, 0 },
	{ "no-version", "{\"meta\":{\"name\":\"main\"},\"spec\":{\"routes\":[]}}",
	  "version or routes missing or invalid", false, 0 },
	{ "route-without-service", CONFIG("7", ROUTE("\"type\":\"download\"")), "malformed route",
	  false, 0 },
	{ "port-not-between-slashes",
	  CONFIG("7", "{\"hostname\":\"198.18.0.1\",\"path_prefix\":\"8443\",\"service\":\"a\"}"),
	  "malformed route", false, 0 },
};

static void test_config(gconstpointer data)
{
	const struct config_case *c = data;
	json_object *obj = json_tokener_parse(c->json);
	struct routing *rt = routing_new();
	const struct route_rule *rule;
	struct symbols syms;
	bool newer;

	g_assert_nonnull(obj);
	symbols_init(&syms);
	g_assert_true(routing_begin(rt, 6));
	routing_commit(rt, (struct timespec){ 1, 0 });
	g_assert_cmpstr(entry_parse_config(&syms, obj, rt, &newer), ==, c->why);
	g_assert_true(newer == c->newer);
	if (newer)
		routing_commit(rt, (struct timespec){ 2, 0 });
	rule = routing_find(rt, (struct endpoint){ 0xc6120001, 8443 });
	g_assert_true(!!rule == !!c->services);
	if (rule) {
		g_assert_cmpuint(rule->nr_services, ==, c->services);
		g_assert_true(rule->services[0].cold_rate_limited == c->cold_rate_limited);
		g_assert_cmpuint(rule->admission.goal_ms, ==, c->admission.goal_ms);
		g_assert_cmpuint(rule->admission.priority, ==, c->admission.priority);
		g_assert_cmpuint(rule->admission.timeout_ms, ==, c->admission.timeout_ms);
	}
	routing_free(rt);
	symbols_release(&syms);
	json_object_put(obj);
}

#define ADDRESSES                                                                                  \
	"\"packets\":\"127.0.0.1:1\",\"ready\":\"127.0.0.1:2\","                                   \
	"\"metrics\":\"127.0.0.1:3\",\"store\":\"127.0.0.1:4\""

struct settings_case {
	const char *name;
	const char *text;
	guint faults;
	size_t nr_seeds;
};

#define SEEDS_CASE(seeds)                                                                          \
	"{\"name\":\"a\",\"data_centre\":\"d\",\"seeds\":\"" seeds "\"," ADDRESSES "}"
#define TWO_SEEDS "127.0.0.1:5,127.0.0.2:5"

static const struct settings_case settings[] = {
	{ "valid", "// comment\n{\"name\":\"a\",\"data_centre\":\"d\"," ADDRESSES "}", 0 },
	{ "two-missing-and-one-out-of-range", "{\"stop_s\":0," ADDRESSES "}", 3 },
	{ "same-address",
	  "{\"name\":\"a\",\"data_centre\":\"d\",\"packets\":\"127.0.0.1:1\","
	  "\"ready\":\"127.0.0.1:2\",\"metrics\":\"127.0.0.1:2\",\"store\":\"127.0.0.1:4\"}",
	  1 },
	{ "unknown-key", "{\"name\":\"a\",\"data_centre\":\"d\",\"x\":1," ADDRESSES "}", 1 },
	{ "not-filled-in", "{\"name\":,}", 1 },
	{ "credits", SEEDS_CASE("\",\"peers\":\"127.0.0.1:9\",\"credits\":\"on"), 0 },
	{ "credits-without-peers", SEEDS_CASE("\",\"credits\":\"on"), 1 },
	{ "credits-off-without-peers", SEEDS_CASE("\",\"credits\":\"off"), 0 },
	{ "credits-unknown-word", SEEDS_CASE("\",\"credits\":\"yes"), 1 },
	{ "credit-interval-too-short",
	  SEEDS_CASE("\",\"credit_interval_ms\":49,\"log_level\":\"info"), 1 },
	{ "credit-interval-too-long",
	  SEEDS_CASE("\",\"credit_interval_ms\":501,\"log_level\":\"info"), 1 },
	{ "credit-intervals", SEEDS_CASE("\",\"credit_interval_ms\":500,\"log_level\":\"info"), 0 },
	{ "seeds", SEEDS_CASE(TWO_SEEDS), 0, 2 },
	{ "no-seeds", SEEDS_CASE(""), 0, 0 },
	{ "seed-without-port", SEEDS_CASE("127.0.0.1:5,127.0.0.2"), 1 },
	{ "empty-seed", SEEDS_CASE("127.0.0.1:5,"), 1 },
	{ "eight-seeds", SEEDS_CASE(TWO_SEEDS "," TWO_SEEDS "," TWO_SEEDS "," TWO_SEEDS), 0, 8 },
	{ "nine-seeds",
	  SEEDS_CASE(TWO_SEEDS "," TWO_SEEDS "," TWO_SEEDS "," TWO_SEEDS ",127.0.0.1:6"), 1 },
};

static void test_settings(gconstpointer data)
{
	const struct settings_case *c = data;
	struct edge_settings set;
	struct faults faults;
	char *path;

	g_close(g_file_open_tmp("edge-XXXXXX.json", &path, NULL), NULL);
	g_assert_true(g_file_set_contents(path, c->text, -1, NULL));
	edge_settings_init(&set);
	faults_init(&faults);
	g_assert_true(!edge_settings_read(&set, path, &faults) == !c->faults);
	g_assert_cmpuint(faults.list->len, ==, c->faults);
	if (!c->faults) {
		g_assert_cmpstr(set.ready_path->str, ==, "/readyz");
		g_assert_cmpuint(set.store.port, ==, 4);
		g_assert_cmpuint(set.nr_seeds, ==, c->nr_seeds);
	}
	faults_release(&faults);
	edge_settings_release(&set);
	g_unlink(path);
	g_free(path);
}

struct era_case {
	const char *name;
	const char *header; /* NULL for none */
	int64_t begun;	    /* current era at the start of the call; it is 5 now */
	bool stale_ok;
	bool usable;
	int64_t current; /* afterwards */
};

static const struct era_case eras[] = {
	{ "same", "5", 5, true, true, 5 },
	{ "higher", "6", 5, true, true, 6 },
	{ "two-higher", "7", 4, false, true, 7 },
	{ "highest", "32767", 5, false, true, 32767 },
	/* An answer of the store before its restore would bring back what the restore has lost. */
	{ "late-answer-of-the-era-before", "4", 4, false, false, 5 },
	{ "stale-answer-of-the-era-before", "4", 5, true, false, 5 },
	/* A store whose era goes back must not be ignored for good. */
	{ "goes-back", "4", 5, false, true, 5 },
	{ "missing", NULL, 5, false, true, 5 },
	{ "empty", "", 5, false, true, 5 },
	{ "text", "five", 5, false, true, 5 },
	{ "fraction", "6.5", 5, false, true, 5 },
	{ "negative", "-6", 5, false, true, 5 },
	{ "too-high", "32768", 5, false, true, 5 },
	{ "overflow", "99999999999999999999", 5, false, true, 5 },
};

/* Guards against losing or inventing a restore of the store because of an odd header. */
static void test_era(gconstpointer data)
{
	const struct era_case *c = data;
	struct era era = { .current = 5, .seen = true };

	for (int i = 0; i < 2; i++) {
		g_assert_true(era_answer(&era, c->header, c->begun, c->stale_ok,
					 (struct timespec){ 1, 0 }) == c->usable);
		g_assert_cmpint(era.current, ==, c->current);
	}
}

/* Versions must keep the order of plain revisions in era 0, and order eras before revisions. */
static void test_version(void)
{
	static const struct store_version versions[] = {
		STORE_VERSION_NONE,
		{ 1 },
		{ STORE_REVISION_MAX },
		{ INT64_C(1) << STORE_REVISION_BITS },
		{ INT64_C(7) << STORE_REVISION_BITS | 3 },
		{ INT64_MAX },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(versions); i++) {
		struct store_version ver = versions[i];

		g_assert_cmpint(
			store_version_make(store_version_era(ver), store_version_revision(ver))
				.order,
			==, ver.order);
		for (size_t j = 0; j < G_N_ELEMENTS(versions); j++)
			g_assert_cmpint(store_version_cmp(ver, versions[j]), ==, (i > j) - (i < j));
	}
	g_assert_cmpint(store_version_make(0, 17).order, ==, 17);
	g_assert_cmpint(store_version_make(2, INT64_MAX).order, ==,
			(INT64_C(3) << STORE_REVISION_BITS) - 1);
	g_assert_cmpint(store_version_make(2, -1).order, ==, INT64_C(2) << STORE_REVISION_BITS);
}

#define ADD_CASES(prefix, cases, fn)                                                               \
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {                                         \
		char *path = g_strconcat("/adapter/" prefix "/", (cases)[i].name, NULL);           \
		g_test_add_data_func(path, &(cases)[i], fn);                                       \
		g_free(path);                                                                      \
	}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/adapter/packet/opening", test_opening);
	g_test_add_func("/adapter/packet/encode", test_encode);
	ADD_CASES("entry", entries, test_entry);
	ADD_CASES("config", configs, test_config);
	ADD_CASES("settings", settings, test_settings);
	for (size_t i = 0; i < G_N_ELEMENTS(eras); i++) {
		char *path = g_strconcat("/era/header/", eras[i].name, NULL);

		g_test_add_data_func(path, &eras[i], test_era);
		g_free(path);
	}
	g_test_add_func("/era/version", test_version);
	return g_test_run();
}
