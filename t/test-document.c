/* Guards against documents that the commands accept and instances reject, signatures that cover
 * less than the document, templates that rename or move servers, and a history that loses the
 * parameters that a rollback needs. */
#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "config.h"
#include "org.h"
#include "platform.h"
#include "template.h"

#define TEMPLATES "examples/templates"

static struct signing_key make_key(unsigned char seed)
{
	unsigned char bytes[crypto_sign_SEEDBYTES] = { seed };
	struct signing_key key;

	crypto_sign_seed_keypair(key.public, key.secret, bytes);
	return key;
}

/* Builds the organisation's document from a request under examples/. */
static json_object *example_org(const char *path)
{
	struct json_text text;
	struct json_text tmpl;
	struct faults faults;
	struct change_info info;
	json_object *params;
	json_object *services;
	json_object *org;

	faults_init(&faults);
	json_text_init(&text, path);
	g_assert_cmpint(json_text_read(&text, &faults), ==, 0);
	g_assert_cmpint(template_read(&tmpl, TEMPLATES, json_str(text.root, "template"), &faults),
			==, 0);
	params = template_complete(tmpl.root, &text, "parameters", &faults);
	services = template_expand(&tmpl, params, &faults);
	g_assert_nonnull(services);
	org = org_new(json_str(text.root, "organisation"));
	org_set_services(org, json_str(text.root, "template"), params, services);
	change_info_init(&info, "ana", "create");
	g_assert_cmpint(org_next_generation(org, &info), ==, 0);
	g_assert_cmpuint(faults.list->len, ==, 0);
	json_object_put(params);
	json_object_put(services);
	json_text_release(&text);
	json_text_release(&tmpl);
	faults_release(&faults);
	return org;
}

static int apply(struct config *cfg, json_object *root, const struct signing_key *key,
		 peer_object_kind kind, const char *name)
{
	json_object *signed_obj = document_sign(root, key);
	json_object *meta = json_object_new_object();
	struct object obj;
	int rc;

	json_object_object_add(meta, "name", json_object_new_string(name));
	json_object_object_add(signed_obj, "metadata", meta);
	g_assert_true(platform_signed_object(signed_obj, kind, &obj));
	rc = config_apply(cfg, &obj);
	json_object_put(signed_obj);
	return rc;
}

/* Both example organisations, from the request to the configuration in force. */
static void test_examples(void)
{
	static const struct {
		const char *path;
		const char *name;
		const char *dc;
		size_t in_dc; /* targets of the first service there */
	} orgs[] = {
		{ "examples/bantayan/organisation.json", "bantayan", "bk-north", 5 },
		{ "examples/vltava/organisation.json", "vltava", "kladno-b", 3 },
	};
	struct signing_key fleet = make_key(1);
	struct signing_key own = make_key(2);
	struct config *cfg = config_new(fleet.public);
	char hex[2 * PUBLIC_KEY_BYTES + 1];
	json_object *grants = json_object_from_file("examples/grants.json");

	sodium_bin2hex(hex, sizeof(hex), own.public, PUBLIC_KEY_BYTES);
	for (size_t i = 0; i < G_N_ELEMENTS(orgs); i++)
		json_object_object_add(document_grant(grants, orgs[i].name), "key",
				       json_object_new_string(hex));
	g_assert_cmpint(apply(cfg, grants, &fleet, PEER_OBJECT_GRANTS, "fleet"), ==, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(orgs); i++) {
		json_object *org = example_org(orgs[i].path);
		json_object *svc = json_item(org, "services", 0);
		size_t in_dc = 0;

		g_assert_cmpuint(json_len(svc, "targets"), ==, 14);
		g_assert_cmpuint(json_len(json_item(org, "services", 1), "targets"), ==, 4);
		for (size_t j = 0; j < json_len(svc, "targets"); j++) {
			json_object *tgt = json_item(svc, "targets", j);

			in_dc += !strcmp(json_str(tgt, "data_centre"), orgs[i].dc);
			g_assert_cmpuint(json_num(tgt, "slots"), ==, 2);
			g_assert_cmpuint(json_num(tgt, "max_flows"), ==, 2000);
		}
		g_assert_cmpuint(in_dc, ==, orgs[i].in_dc);
		g_assert_cmpint(apply(cfg, org, &fleet, PEER_OBJECT_ORGANISATION, orgs[i].name), ==,
				-EPERM);
		g_assert_cmpint(apply(cfg, org, &own, PEER_OBJECT_ORGANISATION, orgs[i].name), ==,
				1);
		json_object_put(org);
	}
	json_object_put(grants);
	config_free(cfg);
}

/*
 * Data centres that no target names yet, as the first document and after others. Guards against a
 * use of the array's old address after a new entry has reallocated it.
 */
static void test_data_centres(void)
{
	struct signing_key fleet = make_key(1);
	struct config *cfg = config_new(fleet.public);

	for (int i = 0; i < 40; i++) {
		gchar *name = g_strdup_printf("dc-%d", i);
		json_object *doc = json_object_new_object();

		json_object_object_add(doc, "data_centre", json_object_new_string(name));
		json_object_object_add(doc, "generation", json_object_new_int(1));
		json_object_object_add(doc, "state", json_object_new_string("withdrawn"));
		g_assert_cmpint(apply(cfg, doc, &fleet, PEER_OBJECT_DATA_CENTRE, name), ==, 1);
		g_assert_true(config_dc(cfg, config_dc_index(cfg, name))->withdrawn);
		json_object_put(doc);
		g_free(name);
	}
	config_free(cfg);
}

static void test_signature(void)
{
	struct signing_key key = make_key(1);
	struct signing_key other = make_key(2);
	json_object *org = example_org("examples/bantayan/organisation.json");
	json_object *signed_obj = document_sign(org, &key);
	json_object *back = document_verify(signed_obj, key.public);
	const char *fields[] = { "document", "signature" };

	g_assert_true(json_object_equal(org, back));
	json_object_put(back);
	g_assert_null(document_verify(signed_obj, other.public));
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		gchar *text = g_strdup(json_str(signed_obj, fields[i]));
		size_t len = strlen(text);

		for (size_t at = 0; at < len; at += 37) {
			char old = text[at];

			text[at] = old == '0' ? '1' : '0';
			json_object_object_add(signed_obj, fields[i], json_object_new_string(text));
			g_assert_null(document_verify(signed_obj, key.public));
			text[at] = old;
		}
		json_object_object_add(signed_obj, fields[i], json_object_new_string(text));
		g_free(text);
	}
	back = document_verify(signed_obj, key.public);
	g_assert_nonnull(back);
	json_object_put(back);
	json_object_put(signed_obj);
	json_object_put(org);
}

/* A valid organisation with one replacement, and the first fault. */
static const struct {
	const char *from;
	const char *to;
	const char *fault;
} org_edits[] = {
	{ "192.0.2.2:7001", "192.0.2.1:7000",
	  "services[1].address: is the same as "
	  "services[0].address" },
	{ "mp-bk-north-2", "mp-bk-north-1",
	  "services[1].targets[1].name: is the same as services[1].targets[0].name" },
	{ "198.51.100.41:6080", "198.51.100.1:6080",
	  "services[1].targets[0].address: is the same as services[0].targets[0].address" },
	{ "\"mapa\",\"address\"", "\"mapa\",\"weight\":1,\"address\"",
	  "services[1].weight: unknown key" },
	{ "\"generation\":1,", "\"generation\":0,",
	  "generation: must be from 1 to 9007199254740991" },
	{ "\"slo_permille\":999,\"targets\"", "\"slo_permille\":1000,\"targets\"",
	  "services[0].slo_permille: must be from 1 to 999 1/1000 of flows" },
	{ "\"protocol\":\"tcp\"", "\"protocol\":\"sctp\"",
	  "services[0].protocol: must be one of tcp,udp" },
	{ "\"draining\":false", "\"draining\":0",
	  "services[0].targets[0].draining: must be true or false" },
};

static gchar *replace_first(const char *text, const char *from, const char *to)
{
	const char *at = strstr(text, from);

	g_assert_nonnull(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - text), text, to, at + strlen(from));
}

static void test_faults(void)
{
	json_object *org = example_org("examples/bantayan/organisation.json");
	gchar *valid = g_strdup(json_object_to_json_string_ext(
		org, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));

	/* Parameters contain the same addresses, and replace_first() would find those first. */
	json_object_object_del(org, "parameters");
	json_object_object_del(org, "history");
	g_free(valid);
	valid = g_strdup(json_object_to_json_string_ext(
		org, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	for (size_t i = 0; i < G_N_ELEMENTS(org_edits); i++) {
		gchar *bytes = replace_first(valid, org_edits[i].from, org_edits[i].to);
		const struct fault *first;
		struct json_text text;
		struct faults faults;
		gchar *seen;

		faults_init(&faults);
		json_text_init(&text, "F");
		g_assert_cmpint(json_text_parse(&text, bytes, strlen(bytes), &faults), ==, 0);
		g_assert_cmpint(document_check(&text, DOCUMENT_ORGANISATION, &faults), ==, -EINVAL);
		first = g_ptr_array_index(faults.list, 0);
		seen = g_strdup_printf("%s: %s", first->key->str, first->text->str);
		g_assert_cmpstr(seen, ==, org_edits[i].fault);
		g_free(seen);
		json_text_release(&text);
		faults_release(&faults);
		g_free(bytes);
	}
	g_free(valid);
	json_object_put(org);
}

static json_object *expand(const char *servers, size_t *faults_nr)
{
	gchar *bytes = g_strdup_printf("{\"name\":\"s\",\"address\":\"192.0.2.1:7000\","
				       "\"servers\":%s}",
				       servers);
	struct json_text given;
	struct json_text tmpl;
	struct faults faults;
	json_object *params;
	json_object *services = NULL;

	faults_init(&faults);
	json_text_init(&given, "F");
	g_assert_cmpint(json_text_parse(&given, bytes, strlen(bytes), &faults), ==, 0);
	g_assert_cmpint(template_read(&tmpl, TEMPLATES, "long-sessions", &faults), ==, 0);
	params = template_complete(tmpl.root, &given, "", &faults);
	if (params)
		services = template_expand(&tmpl, params, &faults);
	*faults_nr = faults.list->len;
	json_object_put(params);
	json_text_release(&given);
	json_text_release(&tmpl);
	faults_release(&faults);
	g_free(bytes);
	return services;
}

/* Servers keep their names when others are added, and malformed lists are rejected. */
static void test_servers(void)
{
	static const char *const malformed[] = {
		"[\"a=198.51.100.1:6080+0\"]",
		"[\"a=198.51.100.1:6080+x\"]",
		"[\"a=198.51.100.1+2\"]",
		"[\"=198.51.100.1:6080\"]",
		"[\"A=198.51.100.1:6080\"]",
		"[\"198.51.100.1:6080\"]",
		"[\"a=255.255.255.255:6080+2\"]",
		"[\"a=198.51.100.1:6080+4097\"]",
		"[\"a=198.51.100.1:6080+4000\",\"b=198.51.120.1:6080+4000\"]",
		"[]",
		"[1]",
		"\"a=198.51.100.1:6080\"",
	};
	size_t nr;
	json_object *before = expand("[\"a=198.51.100.1:6080+2\",\"b=198.51.100.9:6080\"]", &nr);
	json_object *after = expand("[\"a=198.51.100.1:6080+2\",\"c=198.51.100.20:6080\","
				    "\"b=198.51.100.9:6080\",\"a=198.51.100.4:6080\"]",
				    &nr);
	json_object *old = json_object_array_get_idx(before, 0);
	json_object *new = json_object_array_get_idx(after, 0);

	g_assert_cmpuint(json_len(new, "targets"), ==, 5);
	for (size_t i = 0; i < json_len(old, "targets"); i++) {
		json_object *tgt = json_item(old, "targets", i);

		g_assert_true(json_object_equal(
			tgt, json_find(new, "targets", "name", json_str(tgt, "name"))));
	}
	g_assert_cmpstr(json_str(json_find(new, "targets", "name", "s-a-3"), "address"), ==,
			"198.51.100.4:6080");
	json_object_put(before);
	json_object_put(after);
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
		g_assert_null(expand(malformed[i], &nr));
		g_assert_cmpuint(nr, ==, 1);
	}
}

static void test_history(void)
{
	json_object *org = example_org("examples/bantayan/organisation.json");
	const char *template = NULL;
	struct change_info info;
	json_object *params;

	/* The parameters were set in generation 1 only, which is removed from the history. */
	for (uint64_t gen = 2; gen <= ORG_HISTORY_MAX_ENTRIES + 5; gen++) {
		change_info_init(&info, "ana", "drain");
		g_assert_cmpint(org_drain(org, "mapa", "mp-bk-south-1", gen % 2 == 0), ==, 0);
		g_assert_cmpint(org_next_generation(org, &info), ==, 0);
		g_assert_cmpuint(json_num(org, "generation"), ==, gen);
	}
	g_assert_cmpuint(json_len(org, "history"), ==, ORG_HISTORY_MAX_ENTRIES);
	g_assert_null(org_history_entry(org, 5));
	params = org_history_parameters(org, 6, &template);
	g_assert_true(json_object_equal(params, json_object_object_get(org, "parameters")));
	g_assert_cmpstr(template, ==, "sessions-and-downloads");
	g_assert_null(org_history_parameters(org, 5, &template));
	json_object_put(org);
}

static void test_limits(void)
{
	json_object *org = example_org("examples/bantayan/organisation.json");
	gchar *big = g_strnfill(ORG_MAX_BYTES / 4, 'x');
	struct change_info info;
	json_object *params;

	/* The oldest parameters are removed first; a document too long without them is rejected. */
	for (int i = 0; i < 4; i++) {
		params = json_object_new_object();
		json_object_object_add(params, "n", json_object_new_int(i));
		json_object_object_add(params, "text", json_object_new_string(big));
		json_object_object_add(org, "parameters", params);
		change_info_init(&info, "ana", "set");
		g_assert_cmpint(org_next_generation(org, &info), ==, 0);
	}
	g_assert_cmpuint(json_len(org, "history"), <, 4);
	g_assert_nonnull(org_history_entry(org, json_num(org, "generation")));
	json_object_object_add(org, "more", json_object_new_string(big));
	json_object_object_add(org, "most", json_object_new_string(big));
	g_assert_cmpint(org_next_generation(org, &info), ==, -E2BIG);
	g_free(big);
	json_object_put(org);
}

static void test_keys(void)
{
	gchar *dir = g_dir_make_tmp("keys-XXXXXX", NULL);
	gchar *base = g_build_filename(dir, "k", NULL);
	gchar *secret = g_strconcat(base, ".key", NULL);
	gchar *public = g_strconcat(base, ".pub", NULL);
	uint8_t read[PUBLIC_KEY_BYTES];
	struct signing_key key;
	struct faults faults;

	faults_init(&faults);
	g_assert_cmpint(keys_generate(base), ==, 0);
	g_assert_cmpint(keys_generate(base), ==, -EEXIST);
	g_assert_cmpint(keys_read_secret(secret, &key, &faults), ==, 0);
	g_assert_cmpint(keys_read_public(public, read, &faults), ==, 0);
	g_assert_cmpmem(read, sizeof(read), key.public, sizeof(key.public));
	/* A secret key that others can read is not used. */
	g_assert_cmpint(g_chmod(secret, 0640), ==, 0);
	g_assert_cmpint(keys_read_secret(secret, &key, &faults), ==, -EINVAL);
	g_assert_cmpint(keys_read_public(secret, read, &faults), ==, -EINVAL);
	g_assert_cmpuint(faults.list->len, ==, 2);
	g_unlink(secret);
	g_unlink(public);
	g_rmdir(dir);
	faults_release(&faults);
	g_free(dir);
	g_free(base);
	g_free(secret);
	g_free(public);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/document/examples", test_examples);
	g_test_add_func("/document/data-centres", test_data_centres);
	g_test_add_func("/document/signature", test_signature);
	g_test_add_func("/document/faults", test_faults);
	g_test_add_func("/document/servers", test_servers);
	g_test_add_func("/document/history", test_history);
	g_test_add_func("/document/limits", test_limits);
	g_test_add_func("/document/keys", test_keys);
	return g_test_run();
}
