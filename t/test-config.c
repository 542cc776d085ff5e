/*
 * Guards against a return to an older generation, documents signed with another organisation's
 * key, and the use of another organisation's addresses or servers.
 */
#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "config.h"

#define TARGET_AT(name, address, health)                                                           \
	"{\"name\":\"" name "\",\"address\":\"" address "\",\"data_centre\":\"dc1\","              \
	"\"health\":\"" health "\"}"
#define TARGET(name, ip) TARGET_AT(name, ip ":6080", ip ":8080")
#define SERVICE(name, ip, targets)                                                                 \
	"{\"name\":\"" name "\",\"address\":\"" ip                                                 \
	":443\",\"protocol\":\"tcp\",\"targets\":[" targets "]}"

struct key_pair {
	uint8_t public[crypto_sign_PUBLICKEYBYTES];
	uint8_t secret[crypto_sign_SECRETKEYBYTES];
};

struct fixture {
	struct key_pair fleet;
	struct key_pair org_a;
	struct key_pair org_b;
	struct config *cfg;
};

static void key_pair_init(struct key_pair *pair, uint8_t id)
{
	uint8_t seed[crypto_sign_SEEDBYTES] = { id };

	crypto_sign_seed_keypair(pair->public, pair->secret, seed);
}

static int apply(struct config *cfg, peer_object_kind kind, const char *name, uint64_t generation,
		 const char *document, const struct key_pair *signer)
{
	struct object obj = {
		.kind = kind,
		.name = name,
		.generation = generation,
		.document = (const uint8_t *)document,
		.len = strlen(document),
	};

	crypto_sign_detached(obj.signature, NULL, obj.document, obj.len, signer->secret);
	return config_apply(cfg, &obj);
}

static int apply_grants(struct fixture *fix, uint64_t generation, const char *b_targets)
{
	char key_a[65], key_b[65];
	char *doc;
	int ret;

	sodium_bin2hex(key_a, sizeof(key_a), fix->org_a.public, 32);
	sodium_bin2hex(key_b, sizeof(key_b), fix->org_b.public, 32);
	doc = g_strdup_printf("{\"grants\":\"fleet\",\"generation\":%d,\"organisations\":["
			      "{\"name\":\"a\",\"key\":\"%s\",\"addresses\":[\"192.0.2.0/28\"],"
			      "\"targets\":[\"198.51.100.0/25\"]},"
			      "{\"name\":\"b\",\"key\":\"%s\",\"addresses\":[\"192.0.2.16/28\"],"
			      "\"targets\":[\"%s\"]}]}",
			      (int)generation, key_a, key_b, b_targets);
	ret = apply(fix->cfg, PEER_OBJECT_GRANTS, "fleet", generation, doc, &fix->fleet);
	g_free(doc);
	return ret;
}

static int apply_org(struct fixture *fix, const char *name, uint64_t generation,
		     const char *services, const struct key_pair *signer)
{
	char *doc = g_strdup_printf("{\"organisation\":\"%s\",\"generation\":%d,\"services\":[%s]}",
				    name, (int)generation, services);
	int ret = apply(fix->cfg, PEER_OBJECT_ORGANISATION, name, generation, doc, signer);

	g_free(doc);
	return ret;
}

static void fixture_init(struct fixture *fix, gconstpointer data)
{
	(void)data;
	key_pair_init(&fix->fleet, 1);
	key_pair_init(&fix->org_a, 2);
	key_pair_init(&fix->org_b, 3);
	fix->cfg = config_new(fix->fleet.public);
}

static void fixture_release(struct fixture *fix, gconstpointer data)
{
	(void)data;
	config_free(fix->cfg);
}

static struct service *service_at(struct fixture *fix, uint32_t ip)
{
	return config_service(fix->cfg, (struct service_addr){ { ip, 443 }, 6 });
}

static void test_generations_only_rise(struct fixture *fix, gconstpointer data)
{
	const char *one = SERVICE("s", "192.0.2.1", TARGET("t", "198.51.100.1"));
	const char *two = SERVICE("s", "192.0.2.1", TARGET("t", "198.51.100.2"));
	struct {
		uint64_t generation;
		const char *services;
		int ret;
		uint32_t target_ip;
	} cases[] = {
		{ 3, one, 1, 0xc6336401 }, { 2, two, 0, 0xc6336401 }, { 3, two, 0, 0xc6336401 },
		{ 4, two, 1, 0xc6336402 }, { 3, one, 0, 0xc6336402 },
	};

	(void)data;
	g_assert_cmpint(apply_org(fix, "a", 1, one, &fix->org_a), ==, -ENOKEY);
	g_assert_cmpint(apply_grants(fix, 1, "198.51.100.128/25"), ==, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct service *svc;

		g_assert_cmpint(
			apply_org(fix, "a", cases[i].generation, cases[i].services, &fix->org_a),
			==, cases[i].ret);
		svc = service_at(fix, 0xc0000201);
		g_assert_nonnull(svc);
		g_assert_cmphex(g_array_index(svc->targets, struct target_config, 0).ep.ip, ==,
				cases[i].target_ip);
	}
	/* The first target was removed; its index must not refer to another target. */
	g_assert_null(config_target_by_index(fix->cfg, 0, NULL));
	g_assert_cmphex(config_target_by_index(fix->cfg, 1, NULL)->ep.ip, ==, 0xc6336402);
}

static void test_foreign_documents(struct fixture *fix, gconstpointer data)
{
	const char *own = SERVICE("s", "192.0.2.1", TARGET("t", "198.51.100.1"));
	const char *foreign_target = SERVICE(
		"s", "192.0.2.17", TARGET("t", "198.51.100.1") "," TARGET("u", "198.51.100.200"));
	const char *foreign_address = SERVICE("s", "192.0.2.1", TARGET("t", "198.51.100.200"));

	(void)data;
	g_assert_cmpint(apply_grants(fix, 1, "198.51.100.128/25"), ==, 1);
	g_assert_cmpint(apply_org(fix, "a", 1, own, &fix->org_b), ==, -EPERM);
	g_assert_cmpint(apply_org(fix, "a", 1, own, &fix->org_a), ==, 1);
	g_assert_cmpint(apply_org(fix, "b", 1, foreign_address, &fix->org_b), ==, 1);
	g_assert_cmpuint(service_at(fix, 0xc0000201)->org, ==, 0);
	g_assert_cmpint(apply_org(fix, "b", 2, foreign_target, &fix->org_b), ==, 1);
	g_assert_cmpuint(service_at(fix, 0xc0000211)->targets->len, ==, 1);
	/* Grants whose ranges overlap are rejected; the previous ones stay in force. */
	g_assert_cmpint(apply_grants(fix, 2, "198.51.100.0/24"), ==, -EBADMSG);
	g_assert_nonnull(service_at(fix, 0xc0000201));
	/* Grants that move b's range remove its target at once. */
	g_assert_cmpint(apply_grants(fix, 2, "203.0.113.0/24"), ==, 1);
	g_assert_cmpuint(service_at(fix, 0xc0000211)->targets->len, ==, 0);
}

static void test_malformed(struct fixture *fix, gconstpointer data)
{
	static const char *const cases[] = {
		"",
		"{",
		"[]",
		"{\"organisation\":\"a\",\"generation\":9}",
		"{\"organisation\":\"b\",\"generation\":9,\"services\":[]}",
		"{\"organisation\":\"a\",\"generation\":8,\"services\":[]}",
		"{\"organisation\":\"a\",\"generation\":9,\"services\":[{}]}",
		"{\"organisation\":\"a\",\"generation\":9,\"services\":[" SERVICE("s", "192.0.2.1",
										  "{}") "]}",
		"{\"organisation\":\"a\",\"generation\":9,\"services\":[" SERVICE(
			"s", "192.0.2.1",
			TARGET("t", "198.51.100.1") "," TARGET("u", "198.51.100.1")) "]}",
		"{\"organisation\":\"a\",\"generation\":9,\"services\":[]} x",
	};

	(void)data;
	g_assert_cmpint(apply_grants(fix, 1, "198.51.100.128/25"), ==, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(
			apply(fix->cfg, PEER_OBJECT_ORGANISATION, "a", 9, cases[i], &fix->org_a),
			==, -EBADMSG);
	g_assert_false(config_ready(fix->cfg));
}

/* Guards against instances that accept addresses and ranges which `check` rejects. */
static void test_strict_addresses(struct fixture *fix, gconstpointer data)
{
	static const struct {
		const char *address;
		int ret;
	} endpoints[] = {
		{ "198.51.100.1:06080", -EBADMSG }, { "198.51.100.1:+6080", -EBADMSG },
		{ "198.51.100.1:0", -EBADMSG },	    { "198.51.100.1:65536", -EBADMSG },
		{ "198.51.100.1: 6080", -EBADMSG }, { "198.51.100.1:6080 ", -EBADMSG },
		{ "198.51.100.01:6080", -EBADMSG }, { "198.51.100.1", -EBADMSG },
		{ "198.51.100.1:65535", 1 },
	};
	static const struct {
		const char *range;
		int ret;
	} ranges[] = {
		{ "203.0.113.1/24", -EBADMSG },	 { "203.0.113.0/024", -EBADMSG },
		{ "203.0.113.0/+24", -EBADMSG }, { "203.0.113.0/ 24", -EBADMSG },
		{ "203.0.113.0/33", -EBADMSG },	 { "0.0.0.0/0", -EBADMSG },
		{ "203.0.113.0/24", 1 },
	};

	(void)data;
	for (size_t i = 0; i < G_N_ELEMENTS(ranges); i++)
		g_assert_cmpint(apply_grants(fix, 1, ranges[i].range), ==, ranges[i].ret);
	for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
		char *svc = g_strdup_printf(
			SERVICE("s", "192.0.2.1", TARGET_AT("t", "%s", "198.51.100.1:8080")),
			endpoints[i].address);

		g_assert_cmpint(apply_org(fix, "a", 1, svc, &fix->org_a), ==, endpoints[i].ret);
		g_free(svc);
	}
}

/* Guards against health probes that are sent to another organisation's servers. */
static void test_health_in_grant(struct fixture *fix, gconstpointer data)
{
	static const struct {
		const char *target;
		guint in_force;
	} cases[] = {
		{ TARGET_AT("t", "198.51.100.1:6080", "198.51.100.2:8080"), 1 },
		{ TARGET_AT("t", "198.51.100.1:6080", "198.51.100.200:8080"), 0 },
		{ TARGET_AT("t", "198.51.100.200:6080", "198.51.100.1:8080"), 0 },
		{ TARGET_AT("t", "198.51.100.1:6080", "203.0.113.1:8080"), 0 },
	};

	(void)data;
	g_assert_cmpint(apply_grants(fix, 1, "198.51.100.128/25"), ==, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *svc = g_strdup_printf(SERVICE("s", "192.0.2.1", "%s"), cases[i].target);

		g_assert_cmpint(apply_org(fix, "a", i + 1, svc, &fix->org_a), ==, 1);
		g_assert_cmpuint(service_at(fix, 0xc0000201)->targets->len, ==, cases[i].in_force);
		g_free(svc);
	}
}

static void test_withdrawal_scope(struct fixture *fix, gconstpointer data)
{
	uint16_t dc;

	(void)data;
	g_assert_cmpint(apply_grants(fix, 1, "198.51.100.128/25"), ==, 1);
	g_assert_cmpint(apply(fix->cfg, PEER_OBJECT_ORGANISATION, "a", 1,
			      "{\"organisation\":\"a\",\"generation\":1,\"withdrawn\":[\"dc1\"],"
			      "\"services\":[]}",
			      &fix->org_a),
			==, 1);
	g_assert_cmpint(apply_org(fix, "b", 1, "", &fix->org_b), ==, 1);
	dc = config_dc_index(fix->cfg, "dc1");
	g_assert_true(config_withdrawn(fix->cfg, 0, dc));
	g_assert_false(config_withdrawn(fix->cfg, 1, dc));
	g_assert_cmpint(apply(fix->cfg, PEER_OBJECT_DATA_CENTRE, "dc1", 1,
			      "{\"data_centre\":\"dc1\",\"generation\":1,\"state\":\"withdrawn\"}",
			      &fix->org_a),
			==, -EPERM);
	g_assert_cmpint(apply(fix->cfg, PEER_OBJECT_DATA_CENTRE, "dc1", 1,
			      "{\"data_centre\":\"dc1\",\"generation\":1,\"state\":\"withdrawn\"}",
			      &fix->fleet),
			==, 1);
	g_assert_true(config_withdrawn(fix->cfg, 1, dc));
}

static void test_digest_ignores_order(struct fixture *fix, gconstpointer data)
{
	struct config *other = config_new(NULL);
	struct config *first = fix->cfg;
	uint64_t digest;

	(void)data;
	g_assert_cmpint(apply_grants(fix, 1, "198.51.100.128/25"), ==, 1);
	g_assert_cmpint(apply_org(fix, "a", 1, "", &fix->org_a), ==, 1);
	g_assert_cmpint(apply_org(fix, "a", 2, "", &fix->org_a), ==, 1);
	g_assert_cmpint(apply_org(fix, "b", 1, "", &fix->org_b), ==, 1);
	digest = config_digest(first);
	fix->cfg = other;
	g_assert_cmpint(apply_org(fix, "b", 1, "", &fix->org_b), ==, 1);
	g_assert_cmpint(apply_org(fix, "a", 2, "", &fix->org_a), ==, 1);
	g_assert_cmpuint(config_digest(other), !=, digest);
	g_assert_cmpint(apply_grants(fix, 1, "198.51.100.128/25"), ==, 1);
	g_assert_cmpuint(config_digest(other), ==, digest);
	config_free(first);
}

int main(int argc, char **argv)
{
	static const struct {
		const char *path;
		void (*test)(struct fixture *fix, gconstpointer data);
	} cases[] = {
		{ "/config/generations-only-rise", test_generations_only_rise },
		{ "/config/foreign-documents", test_foreign_documents },
		{ "/config/malformed", test_malformed },
		{ "/config/strict-addresses", test_strict_addresses },
		{ "/config/health-in-grant", test_health_in_grant },
		{ "/config/withdrawal-scope", test_withdrawal_scope },
		{ "/config/digest-ignores-order", test_digest_ignores_order },
	};

	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add(cases[i].path, struct fixture, NULL, fixture_init, cases[i].test,
			   fixture_release);
	return g_test_run();
}
