/* Guards against settings that are accepted with a fault in them, faults that hide one another, and
 * faults that name the wrong line or key. */
#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <sodium.h>
#include <string.h>

#include "address.h"
#include "settings.h"

#define HEX16 "000102030405060708090a0b0c0d0e0f"
#define HEX32 HEX16 HEX16

static const char valid[] =
	"// comment\n"
	"{\n"
	"\"id\": 1, \"name\": \"in-1\", \"group\": \"g\", /* more\n"
	"lines */ \"data_centre\": \"dc\",\n"
	"\"packets\": \"127.0.0.1:6080\",\n"
	"\"answers\": \"127.0.0.1:6081\",\n"
	"\"peers\": \"127.0.0.1:6082\",\n"
	"\"admin\": \"127.0.0.1:8080\",\n"
	"\"egress\": \"127.0.0.1:6083\",\n"
	"\"platform\": \"127.0.0.1:9000\",\n"
	"\"flow_key\": \"" HEX16 "\",\n"
	"\"peer_keys\": [{\"id\": 1, \"key\": \"" HEX32 "\"}],\n"
	"\"seeds\": [{\"id\": 2, \"name\": \"in-2\", \"group\": \"g\", \"data_centre\": \"dc\",\n"
	"  \"peer\": \"127.0.0.2:6082\"}],\n"
	"\"fleet_key\": \"" HEX32 "\"\n"
	"}\n";

/* One replacement in the valid file and the faults that must be reported, in order. */
struct edit {
	const char *from;
	const char *to;
	const char *faults;
};

static const struct edit edits[] = {
	{ "\"id\": 1, \"name\"", "\"id\": 0, \"name\"", "F:3: id: must be from 1 to 4294967295\n" },
	{ "\"id\": 1, \"name\"", "\"id\": -1, \"name\"",
	  "F:3: id: must be from 1 to 4294967295\n" },
	{ "\"id\": 1, \"name\"", "\"id\": 4294967296, \"name\"",
	  "F:3: id: must be from 1 to 4294967295\n" },
	{ "\"id\": 1, \"name\"", "\"id\": 1.0, \"name\"", "F:3: id: must be an integer\n" },
	{ "\"id\": 1, \"name\"", "\"id\": true, \"name\"", "F:3: id: must be an integer\n" },
	{ "\"id\": 1, \"name\"", "\"id\": null, \"name\"", "F:3: id: must be an integer\n" },
	{ "\"id\": 1, \"name\"", "\"id\": 1, \"id\": 2, \"name\"",
	  "F:3: id: duplicate key, first on line 3\n" },
	{ "\"id\": 1, \"name\"", "\"id\": 1, \"i\\u0064\": 2, \"name\"",
	  "F:3: i\\u0064: escape in the name of a key\n" },
	{ "\"id\": 1, \"name\"", "\"name\"", "F:1: id: is missing\n" },
	{ "\"in-1\"", "\"in-\\u00001\"",
	  "F:3: name: must be a name (lower-case letters, digits, \"-\", \"_\" and \".\")\n" },
	{ "\"127.0.0.1:6080\"", "\"127.0.0.1:0\"",
	  "F:5: packets: must be an IPv4 address and port, such as 192.0.2.1:7000\n" },
	{ "\"127.0.0.1:6081\"", "\"127.0.0.1:6080\"",
	  "F:6: answers: is the same address as packets\n" },
	{ "\"127.0.0.1:6082\"", "\"0.0.0.0:6082\"",
	  "F:7: peers: must be an address that other instances can send to\n" },
	{ "\"flow_key\": \"00", "\"flow_key\": \"", "F:11: flow_key: must be 16 bytes\n" },
	{ "\"peer_keys\": [", "\"peer_keys\": [{\"id\": 1, \"key\": \"" HEX32 "\"},\n",
	  "F:13: peer_keys[1].id: is the same as peer_keys[0].id\n" },
	{ "{\"id\": 2, ", "{\"id\": 2, \"zone\": 1, \n\"weight\": 2,",
	  "F:13: seeds[0].zone: unknown key\nF:14: seeds[0].weight: unknown key\n" },
	{ "\"peer_keys\": [", "\"max_flows\": 8, \"log_level\": \"loud\",\n\"peer_keys\": [",
	  "F:12: max_flows: must be from 1024 to 4194304 flows\n"
	  "F:12: log_level: must be one of error,warn,info,debug\n" },
	{ "\"seeds\": [", "\"seeds\": \"", "F:13: object value separator ',' expected\n" },
	{ "\"\n}\n", "\"\n}\n{}\n", "F:17: text after the document\n" },
};

static GString *replace_text(const char *from, const char *to)
{
	GString *text = g_string_new(valid);
	char *at = strstr(text->str, from);

	g_assert_nonnull(at);
	g_string_erase(text, at - text->str, (gssize)strlen(from));
	g_string_insert(text, at - text->str, to);
	return text;
}

/* The faults of @text as faults_print() writes them, with "F" for the file. */
static GString *read_faults(const GString *text, struct settings *set, int *rc)
{
	gchar *path;
	int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);
	GString *out = g_string_new(NULL);
	struct faults faults;

	g_assert_cmpint(fd, >=, 0);
	g_close(fd, NULL);
	g_assert_true(g_file_set_contents(path, text->str, (gssize)text->len, NULL));
	faults_init(&faults);
	*rc = settings_read(set, path, &faults);
	for (guint i = 0; i < faults.list->len; i++) {
		const struct fault *fault = g_ptr_array_index(faults.list, i);

		g_assert_cmpstr(fault->file->str, ==, path);
		g_string_append_printf(out, "F:%u: %s%s%s\n", fault->line, fault->key->str,
				       fault->key->len ? ": " : "", fault->text->str);
	}
	faults_release(&faults);
	g_unlink(path);
	g_free(path);
	return out;
}

static void test_valid(void)
{
	GString *text = g_string_new(valid);
	struct settings set;
	GString *out;
	int rc;

	settings_init(&set);
	out = read_faults(text, &set, &rc);
	g_assert_cmpstr(out->str, ==, "");
	g_assert_cmpint(rc, ==, 0);
	g_assert_cmpuint(set.id, ==, 1);
	g_assert_cmpuint(set.max_flows, ==, 524288);
	g_assert_cmpstr(set.log_level->str, ==, "info");
	g_assert_cmpuint(set.packets.ip, ==, 0x7f000001);
	g_assert_cmpuint(set.packets.port, ==, 6080);
	g_assert_cmpuint(set.flow_key[15], ==, 15);
	g_assert_cmpuint(set.peer_keys[0].key[31], ==, 15);
	g_assert_cmpuint(set.seeds->len, ==, 1);
	g_assert_cmpstr(g_array_index(set.seeds, struct instance_info, 0).name, ==, "in-2");
	settings_release(&set);
	g_string_free(out, TRUE);
	g_string_free(text, TRUE);
}

static void test_faults(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(edits); i++) {
		GString *text = replace_text(edits[i].from, edits[i].to);
		struct settings set;
		GString *out;
		int rc;

		settings_init(&set);
		out = read_faults(text, &set, &rc);
		g_assert_cmpstr(out->str, ==, edits[i].faults);
		g_assert_cmpint(rc, ==, -EINVAL);
		settings_release(&set);
		g_string_free(out, TRUE);
		g_string_free(text, TRUE);
	}
}

/* A truncated file must give a fault at every length, not a crash or partial settings. */
static void test_truncated(void)
{
	for (size_t len = 0; len < strlen(valid) - 2; len += 3) {
		GString *text = g_string_new_len(valid, (gssize)len);
		struct settings set;
		GString *out;
		int rc;

		settings_init(&set);
		out = read_faults(text, &set, &rc);
		g_assert_cmpint(rc, ==, -EINVAL);
		settings_release(&set);
		g_string_free(out, TRUE);
		g_string_free(text, TRUE);
	}
}

static void test_addresses(void)
{
	static const struct {
		const char *text;
		bool endpoint;
		bool prefix;
	} cases[] = {
		{ "192.0.2.1:7000", true, false },   { "192.0.2.1:65535", true, false },
		{ "192.0.2.1:65536", false, false }, { "192.0.2.1:07", false, false },
		{ "192.0.2.1", false, false },	     { "192.0.2.256:1", false, false },
		{ "192.0.2.1:1 ", false, false },    { "192.0.2.0/28", false, true },
		{ "192.0.2.1/28", false, false },    { "0.0.0.0/0", false, true },
		{ "192.0.2.1/32", false, true },     { "192.0.2.1/33", false, false },
	};
	struct endpoint ep;
	struct prefix pfx;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_assert_cmpint(endpoint_parse(cases[i].text, &ep), ==, cases[i].endpoint);
		g_assert_cmpint(prefix_parse(cases[i].text, &pfx), ==, cases[i].prefix);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/settings/valid", test_valid);
	g_test_add_func("/settings/faults", test_faults);
	g_test_add_func("/settings/truncated", test_truncated);
	g_test_add_func("/settings/addresses", test_addresses);
	return g_test_run();
}
