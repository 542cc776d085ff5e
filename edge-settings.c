#include "edge-settings.h"

#include <errno.h>
#include <string.h>

#include "address.h"
#include "proto/edge-gen.h"

void edge_settings_init(struct edge_settings *set)
{
	*set = (struct edge_settings){
		.name = g_string_new(NULL),
		.data_centre = g_string_new(NULL),
		.ready_path = g_string_new(NULL),
		.log_level = g_string_new(NULL),
	};
}

void edge_settings_release(struct edge_settings *set)
{
	g_string_free(set->name, TRUE);
	g_string_free(set->data_centre, TRUE);
	g_string_free(set->ready_path, TRUE);
	g_string_free(set->log_level, TRUE);
}

static enum placing_policy parse_placing(const char *name)
{
	if (!strcmp(name, "two-choices"))
		return PLACING_TWO_CHOICES;
	return !strcmp(name, "rendezvous") ? PLACING_RENDEZVOUS : PLACING_LEAST_LOADED;
}

/* Reads "ADDRESS,ADDRESS,..."; returns false when one is not valid or there are too many. */
static bool parse_seeds(struct edge_settings *set, const char *text)
{
	char **words = g_strsplit(text, ",", 0);
	bool ok = true;

	set->nr_seeds = 0;
	for (char **word = words; ok && *word; word++) {
		ok = set->nr_seeds < EDGE_SEEDS_MAX &&
		     endpoint_parse(*word, &set->seeds[set->nr_seeds]);
		if (ok)
			set->nr_seeds++;
	}
	g_strfreev(words);
	return ok;
}

/* The schema check has passed, so every key is present and valid. */
static void fill(struct edge_settings *set, json_object *root)
{
	g_string_assign(set->name, json_str(root, "name"));
	g_string_assign(set->data_centre, json_str(root, "data_centre"));
	endpoint_parse(json_str(root, "packets"), &set->packets);
	endpoint_parse(json_str(root, "ready"), &set->ready);
	g_string_assign(set->ready_path, json_str(root, "ready_path"));
	endpoint_parse(json_str(root, "metrics"), &set->metrics);
	endpoint_parse(json_str(root, "store"), &set->store);
	if (*json_str(root, "peers"))
		endpoint_parse(json_str(root, "peers"), &set->peers);
	if (*json_str(root, "snapshot"))
		endpoint_parse(json_str(root, "snapshot"), &set->snapshot);
	set->memory_mb = (uint32_t)json_num(root, "memory_mb");
	set->stop_s = (uint32_t)json_num(root, "stop_s");
	set->verify_ms = (uint32_t)json_num(root, "verify_ms");
	set->confirm_ms = (uint32_t)json_num(root, "confirm_ms");
	set->placing = parse_placing(json_str(root, "placing"));
	set->remote_percent = (uint32_t)json_num(root, "remote_percent");
	set->cold_gap_ms = (uint32_t)json_num(root, "cold_gap_ms");
	set->credits = !strcmp(json_str(root, "credits"), "on");
	set->credit_interval_ms = (uint32_t)json_num(root, "credit_interval_ms");
	set->watch_pause_ms = (uint32_t)json_num(root, "watch_pause_ms");
	set->max_flows = (uint32_t)json_num(root, "max_flows");
	g_string_assign(set->log_level, json_str(root, "log_level"));
}

int edge_settings_read(struct edge_settings *set, const char *path, struct faults *faults)
{
	struct json_text text;
	guint before = faults->list->len;

	json_text_init(&text, path);
	json_text_read(&text, faults);
	if (text.root && !schema_check(&edge_schema, &text, faults)) {
		fill(set, text.root);
		if (endpoint_equal(set->ready, set->metrics))
			faults_add(faults, text.file->str, json_text_line(&text, "metrics"),
				   "metrics", "is the same address as ready");
		if (set->credits && !set->peers.port)
			faults_add(faults, text.file->str, json_text_line(&text, "credits"),
				   "credits", "is on without peers");
		if (!parse_seeds(set, json_str(text.root, "seeds")))
			faults_add(faults, text.file->str, json_text_line(&text, "seeds"), "seeds",
				   "is not a list of at most 8 addresses, separated by commas");
	}
	json_text_release(&text);
	return faults->list->len > before ? -EINVAL : 0;
}
