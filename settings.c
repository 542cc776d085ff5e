#include "settings.h"

#include <errno.h>
#include <sodium.h>
#include <string.h>

#include "address.h"
#include "proto/settings-gen.h"

#define FLEET_KEY_BYTES 32

void settings_init(struct settings *set)
{
	*set = (struct settings){
		.name = g_string_new(NULL),
		.group = g_string_new(NULL),
		.data_centre = g_string_new(NULL),
		.seeds = g_array_new(FALSE, TRUE, sizeof(struct instance_info)),
		.log_level = g_string_new(NULL),
	};
}

void settings_release(struct settings *set)
{
	g_string_free(set->name, TRUE);
	g_string_free(set->group, TRUE);
	g_string_free(set->data_centre, TRUE);
	g_array_unref(set->seeds);
	g_string_free(set->log_level, TRUE);
	sodium_memzero(set, sizeof(*set));
}

/* Called after the schema check, so the key is present and valid. */
static struct endpoint endpoint_of(json_object *obj, const char *key)
{
	struct endpoint ep = { 0 };

	endpoint_parse(json_str(obj, key), &ep);
	return ep;
}

static void fill_seed(struct instance_info *seed, json_object *obj)
{
	*seed = (struct instance_info){
		.id = (uint32_t)json_num(obj, "id"),
		.peer = endpoint_of(obj, "peer"),
		.phase = INSTANCE_LIVE,
	};
	g_strlcpy(seed->name, json_str(obj, "name"), sizeof(seed->name));
	g_strlcpy(seed->group, json_str(obj, "group"), sizeof(seed->group));
	g_strlcpy(seed->data_centre, json_str(obj, "data_centre"), sizeof(seed->data_centre));
}

static void fill_settings(struct settings *set, json_object *root)
{
	json_object *keys = json_object_object_get(root, "peer_keys");
	json_object *seeds = json_object_object_get(root, "seeds");

	set->id = (uint32_t)json_num(root, "id");
	g_string_assign(set->name, json_str(root, "name"));
	g_string_assign(set->group, json_str(root, "group"));
	g_string_assign(set->data_centre, json_str(root, "data_centre"));
	set->packets = endpoint_of(root, "packets");
	set->answers = endpoint_of(root, "answers");
	set->peers = endpoint_of(root, "peers");
	set->admin = endpoint_of(root, "admin");
	set->egress = endpoint_of(root, "egress");
	set->platform = endpoint_of(root, "platform");
	hex_parse(json_str(root, "flow_key"), set->flow_key, sizeof(set->flow_key));
	hex_parse(json_str(root, "fleet_key"), set->fleet_key, FLEET_KEY_BYTES);
	set->nr_peer_keys = json_object_array_length(keys);
	for (size_t i = 0; i < set->nr_peer_keys; i++) {
		json_object *key = json_object_array_get_idx(keys, i);

		set->peer_keys[i].id = (uint8_t)json_num(key, "id");
		hex_parse(json_str(key, "key"), set->peer_keys[i].key, PEER_KEY_BYTES);
	}
	for (size_t i = 0; i < json_object_array_length(seeds); i++) {
		struct instance_info seed;

		fill_seed(&seed, json_object_array_get_idx(seeds, i));
		g_array_append_val(set->seeds, seed);
	}
	set->max_flows = (uint32_t)json_num(root, "max_flows");
	g_string_assign(set->log_level, json_str(root, "log_level"));
}

/* Checks across keys. */
static void check_sockets(const struct settings *set, const struct json_text *text,
			  struct faults *faults)
{
	const struct {
		const char *key;
		struct endpoint ep;
	} socks[] = {
		{ "packets", set->packets },
		{ "answers", set->answers },
		{ "peers", set->peers },
	};

	for (size_t i = 1; i < G_N_ELEMENTS(socks); i++) {
		for (size_t j = 0; j < i; j++) {
			if (endpoint_equal(socks[i].ep, socks[j].ep))
				faults_add(faults, text->file->str,
					   json_text_line(text, socks[i].key), socks[i].key,
					   "is the same address as %s", socks[j].key);
		}
	}
	if (!set->peers.ip)
		faults_add(faults, text->file->str, json_text_line(text, "peers"), "peers",
			   "must be an address that other instances can send to");
}

static void check_numbers(const struct settings *set, const struct json_text *text,
			  struct faults *faults)
{
	char path[32];

	if (set->nr_peer_keys == 2 && set->peer_keys[0].id == set->peer_keys[1].id)
		faults_add(faults, text->file->str, json_text_line(text, "peer_keys[1].id"),
			   "peer_keys[1].id", "is the same as peer_keys[0].id");
	for (guint i = 0; i < set->seeds->len; i++) {
		uint32_t id = g_array_index(set->seeds, struct instance_info, i).id;

		g_snprintf(path, sizeof(path), "seeds[%u].id", i);
		for (guint j = 0; j < i; j++) {
			if (g_array_index(set->seeds, struct instance_info, j).id == id)
				faults_add(faults, text->file->str, json_text_line(text, path),
					   path, "is the same as seeds[%u].id", j);
		}
	}
}

int settings_read(struct settings *set, const char *path, struct faults *faults)
{
	struct json_text text;
	guint before = faults->list->len;

	json_text_init(&text, path);
	json_text_read(&text, faults);
	if (text.root && !schema_check(&settings_schema, &text, faults)) {
		fill_settings(set, text.root);
		check_sockets(set, &text, faults);
		check_numbers(set, &text, faults);
	}
	json_text_release(&text);
	return faults->list->len > before ? -EINVAL : 0;
}
