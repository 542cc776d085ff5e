/* Guards against configuration that does not arrive, arrives without its grant, or reverts. */
#include <sodium.h>

#include "simsync.h"

/* Guards against a change that reaches only a part of the group, or takes too long. */
static void test_spread(void)
{
	static const struct {
		uint32_t nr, loss;
		size_t len;
		int64_t limit_ms;
	} cases[] = {
		{ 2, 0, 500, 1000 },	    { 3, 100, 500, 2000 },   { 9, 0, 5000, 2000 },
		{ 9, 100, 5000, 3000 },	    { 61, 100, 5000, 4000 }, { 3, 0, 1000000, 5000 },
		{ 9, 100, 1000000, 10000 },
	};

	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct simnet *net = simsync_new(c + 1, cases[c].nr, cases[c].nr, NULL);

		sim_run(net, 5000);
		net->loss_permille = cases[c].loss;
		simsync_put(net, 0, "a", 1, 1, 500);
		sim_run(net, cases[c].limit_ms);
		simsync_put(net, cases[c].nr - 1, "a", 2, 1, cases[c].len);
		g_assert_cmpint(simsync_wait(net, 0, cases[c].nr, "a", 2, cases[c].limit_ms), <,
				cases[c].limit_ms);
		for (uint32_t i = 0; i < cases[c].nr; i++)
			g_assert_cmpuint(net->nodes[i].largest, <=, 1300);
		/* An older version from a delayed watch is ignored. */
		simsync_put(net, 0, "a", 1, 1, 500);
		g_assert_cmpuint(simsync_generation(net, 0, "a"), ==, 2);
		simsync_free(net);
	}
}

/* Guards against a restarted instance that stays without configuration while the platform is
 * down, or that takes an old version. */
static void test_restart(void)
{
	struct simnet *net = simsync_new(5, 9, 9, NULL);
	char name[8];

	sim_run(net, 5000);
	for (uint32_t i = 0; i < 60; i++) {
		g_snprintf(name, sizeof(name), "o%u", i);
		simsync_put(net, i % 9, name, 1 + i % 3, i + 1, 2000);
		sim_run(net, 100);
	}
	sim_run(net, 5000);
	net->loss_permille = 100;
	simsync_start(net, 4, 2, NULL);
	for (uint32_t i = 0; i < 60; i++) {
		g_snprintf(name, sizeof(name), "o%u", i);
		g_assert_cmpint(simsync_wait(net, 0, 9, name, 1 + i % 3, 8000), <, 8000);
	}
	simsync_free(net);
}

/* Guards against a pull that never ends when its source fails or cannot be reached meanwhile. */
static void test_source_lost(void)
{
	struct simnet *net = simsync_new(7, 5, 5, NULL);

	sim_run(net, 5000);
	simsync_put(net, 0, "a", 1, 1, 600000);
	while (!simsync_generation(net, 1, "a") && !simsync_generation(net, 2, "a") &&
	       !simsync_generation(net, 3, "a") && !simsync_generation(net, 4, "a"))
		sim_step(net);
	net->nodes[0].down = true;
	g_assert_cmpint(simsync_wait(net, 1, 4, "a", 1, 8000), <, 8000);
	simsync_free(net);
}

/* Guards against a group that loses contact to the platform and other groups and stays outdated. */
static void test_other_group(void)
{
	struct simnet *net = simsync_new(9, 12, 6, NULL);

	sim_run(net, 5000);
	simsync_put(net, 0, "a", 1, 1, 3000);
	g_assert_cmpint(simsync_wait(net, 6, 6, "a", 1, 5000), <, 5000);
	for (uint32_t i = 6; i < 12; i++)
		net->nodes[i].partition = 1;
	simsync_put(net, 0, "a", 2, 1, 3000);
	sim_run(net, 30000);
	g_assert_cmpuint(simsync_generation(net, 6, "a"), ==, 1);
	for (uint32_t i = 6; i < 12; i++)
		net->nodes[i].partition = 0;
	g_assert_cmpint(simsync_wait(net, 6, 6, "a", 2, 5000), <, 5000);
	simsync_free(net);
}

static uint32_t watchers(const struct simnet *net, uint32_t *first)
{
	uint32_t nr = 0;

	for (uint32_t i = 0; i < net->nr; i++) {
		const struct sync_node *sn = net->nodes[i].user;

		if (net->nodes[i].down || !sn->watching)
			continue;
		*first = i;
		nr++;
	}
	return nr;
}

/* Guards against a group in which no member watches the platform, or all members do. */
static void test_watchers(void)
{
	struct simnet *net = simsync_new(11, 9, 9, NULL);
	uint32_t one = 0;

	sim_run(net, 8000);
	g_assert_cmpuint(watchers(net, &one), ==, WATCHERS_PER_GROUP);
	net->nodes[one].down = true;
	sim_run(net, 10000);
	g_assert_cmpuint(watchers(net, &one), ==, WATCHERS_PER_GROUP);
	/* No member is live, as at the first start of a fleet: every instance watches. */
	for (uint32_t i = 0; i < 9; i++)
		members_set_own_state(net->nodes[i].mem, MEMBER_JOINING);
	sim_run(net, 5000);
	g_assert_cmpuint(watchers(net, &one), ==, 8);
	simsync_free(net);
}

struct key_pair {
	uint8_t public[crypto_sign_PUBLICKEYBYTES];
	uint8_t secret[crypto_sign_SECRETKEYBYTES];
};

static void key_pair_init(struct key_pair *pair, uint8_t id)
{
	uint8_t seed[crypto_sign_SEEDBYTES] = { id };

	crypto_sign_seed_keypair(pair->public, pair->secret, seed);
}

static bool put_signed(struct simnet *net, uint32_t i, peer_object_kind kind, const char *name,
		       uint64_t generation, const GString *doc, const struct key_pair *signer)
{
	struct object obj = {
		.kind = kind,
		.name = name,
		.generation = generation,
		.document = (const uint8_t *)doc->str,
		.len = doc->len,
	};

	crypto_sign_detached(obj.signature, NULL, obj.document, obj.len, signer->secret);
	return simsync_object(net, i, &obj);
}

/* Guards against an organisation that is lost because it arrived before its grant, and against
 * forged documents that are distributed or pulled repeatedly. */
static void test_grants(void)
{
	struct key_pair fleet, org, rogue;
	struct simnet *net;
	GString *doc = simsync_document("a", 1, 1, 1000);
	GString *grants = g_string_new(NULL);
	struct sync_node *forger;
	char hex[65];

	key_pair_init(&fleet, 1);
	key_pair_init(&org, 2);
	key_pair_init(&rogue, 3);
	sodium_bin2hex(hex, sizeof(hex), org.public, sizeof(org.public));
	g_string_printf(grants,
			"{\"grants\":\"fleet\",\"generation\":1,\"organisations\":[{\"name\":\"a\","
			"\"key\":\"%s\",\"addresses\":[\"192.0.2.0/28\"],"
			"\"targets\":[\"198.51.100.0/25\"]}]}",
			hex);
	net = simsync_new(13, 5, 5, fleet.public);
	sim_run(net, 5000);
	g_assert_false(put_signed(net, 0, PEER_OBJECT_ORGANISATION, "a", 1, doc, &org));
	/* A forged version with a far higher generation must not replace it permanently. */
	g_assert_false(put_signed(net, 1, PEER_OBJECT_ORGANISATION, "a", 9, doc, &rogue));
	sim_run(net, 1000);
	g_assert_false(put_signed(net, 1, PEER_OBJECT_GRANTS, "fleet", 1, grants, &rogue));
	g_assert_true(put_signed(net, 1, PEER_OBJECT_GRANTS, "fleet", 1, grants, &fleet));
	g_assert_cmpint(simsync_wait(net, 0, 5, "a", 1, 5000), <, 5000);
	/* An instance without verification announces a forged version: few pull it, none apply it.
	 */
	simsync_start(net, 4, 2, NULL);
	sim_run(net, 5000);
	g_string_free(doc, TRUE);
	doc = simsync_document("a", 2, 2, 1000);
	g_assert_true(put_signed(net, 4, PEER_OBJECT_ORGANISATION, "a", 2, doc, &rogue));
	forger = net->nodes[4].user;
	forger->pulls_served = 0;
	sim_run(net, 30000);
	for (uint32_t i = 0; i < 4; i++)
		g_assert_cmpuint(simsync_generation(net, i, "a"), ==, 1);
	g_assert_cmpuint(forger->pulls_served, >=, 4);
	g_assert_cmpuint(forger->pulls_served, <=, 8);
	g_string_free(doc, TRUE);
	g_string_free(grants, TRUE);
	simsync_free(net);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/confsync/spread", test_spread);
	g_test_add_func("/confsync/restart", test_restart);
	g_test_add_func("/confsync/source-lost", test_source_lost);
	g_test_add_func("/confsync/other-group", test_other_group);
	g_test_add_func("/confsync/watchers", test_watchers);
	g_test_add_func("/confsync/grants", test_grants);
	return g_test_run();
}
