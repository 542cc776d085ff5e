#include "snapshot.h"

#include <inttypes.h>
#include <string.h>

#include "address.h"
#include "jsontext.h"
#include "proto/snapshot-gen.h"
#include "timeutil.h"

struct snapshot {
	struct json_text text;
};

struct writer {
	const struct control_state *cs;
	json_object *list;
	struct timespec now;
};

static void add_str(json_object *obj, const char *key, const char *val)
{
	json_object_object_add(obj, key, json_object_new_string(val));
}

/* Adds a number unless it is 0, the default of all keys that may be 0. */
static void add_num(json_object *obj, const char *key, uint64_t num)
{
	if (num)
		json_object_object_add(obj, key, json_object_new_uint64(num));
}

static void add_true(json_object *obj, const char *key, bool val)
{
	if (val)
		json_object_object_add(obj, key, json_object_new_boolean(true));
}

static void add_endpoint(json_object *obj, const char *key, struct endpoint ep)
{
	char text[ENDPOINT_TEXT_LEN];

	endpoint_format(ep, text);
	add_str(obj, key, text);
}

static void write_route(const struct route_rule *rule, void *arg)
{
	const struct writer *wr = arg;
	json_object *route = json_object_new_object();
	json_object *services = json_object_new_array();

	add_endpoint(route, "address", rule->address);
	add_num(route, "goal_ms", rule->admission.goal_ms);
	add_num(route, "timeout_ms", rule->admission.timeout_ms);
	add_num(route, "priority", rule->admission.priority);
	for (size_t i = 0; i < rule->nr_services; i++) {
		const struct route_service *svc = &rule->services[i];
		json_object *part = json_object_new_object();

		add_str(part, "name", symbols_name(&wr->cs->symbols, svc->service));
		json_object_object_add(part, "weight", json_object_new_uint64(svc->weight));
		add_true(part, "cold_rate_limited", svc->cold_rate_limited);
		json_object_array_add(services, part);
	}
	json_object_object_add(route, "services", services);
	json_object_array_add(wr->list, route);
}

static void write_target(struct reg_target *tgt, void *arg)
{
	const struct writer *wr = arg;
	json_object *obj;
	char wire_id[17];

	if (tgt->phase == TARGET_GONE)
		return;
	obj = json_object_new_object();
	g_snprintf(wire_id, sizeof(wire_id), "%016" PRIx64, tgt->wire_id);
	add_str(obj, "id", tgt->id->str);
	add_str(obj, "wire_id", wire_id);
	add_endpoint(obj, "address", tgt->ep);
	add_str(obj, "service", symbols_name(&wr->cs->symbols, tgt->service));
	add_str(obj, "data_centre", symbols_name(&wr->cs->symbols, tgt->data_centre));
	add_num(obj, "slots", tgt->slots);
	add_true(obj, "draining", tgt->phase == TARGET_DRAINING);
	add_num(obj, "cold_ms", (uint64_t)MAX(ts_diff_ms(tgt->warm_at, wr->now), 0));
	add_num(obj, "born_ms", (uint64_t)tgt->born_ms);
	add_num(obj, "revision", (uint64_t)tgt->revision.order);
	json_object_array_add(wr->list, obj);
}

static int64_t oldest_age_ms(const struct control_state *cs, struct timespec now)
{
	int64_t age = 0;

	for (size_t i = 0; i < CONTROL_KINDS; i++)
		age = MAX(age, ts_diff_ms(now, cs->last_answer[i]));
	return age;
}

void snapshot_write(struct control_state *cs, GString *out, struct timespec now)
{
	json_object *root = json_object_new_object();
	struct writer routes = { cs, json_object_new_array(), now };
	struct writer targets = { cs, json_object_new_array(), now };
	json_object *withdrawn = json_object_new_array();
	GList *symbols = g_hash_table_get_keys(cs->placing.withdrawn);

	json_object_object_add(root, "age_ms", json_object_new_int64(oldest_age_ms(cs, now)));
	json_object_object_add(root, "revision",
			       json_object_new_int64(registry_latest_revision(cs->registry).order));
	json_object_object_add(root, "config",
			       json_object_new_uint64(routing_version(cs->routing)));
	json_object_object_add(root, "idle_timeout_ms",
			       json_object_new_uint64(routing_idle_timeout(cs->routing)));
	routing_each(cs->routing, write_route, &routes);
	json_object_object_add(root, "routes", routes.list);
	for (GList *link = symbols; link; link = link->next) {
		uint32_t symbol = GPOINTER_TO_UINT(link->data);

		json_object_array_add(withdrawn,
				      json_object_new_string(symbols_name(&cs->symbols, symbol)));
	}
	g_list_free(symbols);
	json_object_object_add(root, "withdrawn", withdrawn);
	registry_each(cs->registry, write_target, &targets);
	json_object_object_add(root, "targets", targets.list);
	g_string_append(out, json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
}

struct snapshot *snapshot_parse(const char *bytes, size_t len, struct faults *faults)
{
	struct snapshot *snap = g_new0(struct snapshot, 1);

	json_text_init(&snap->text, "snapshot");
	if (!json_text_parse(&snap->text, bytes, len, faults) &&
	    !schema_check(&snapshot_schema, &snap->text, faults))
		return snap;
	snapshot_free(snap);
	return NULL;
}

void snapshot_free(struct snapshot *snap)
{
	if (!snap)
		return;
	json_text_release(&snap->text);
	g_free(snap);
}

int64_t snapshot_age_ms(const struct snapshot *snap)
{
	return (int64_t)json_num(snap->text.root, "age_ms");
}

static bool json_true(json_object *obj, const char *key)
{
	json_object *val = NULL;

	return json_object_object_get_ex(obj, key, &val) && json_object_get_boolean(val);
}

static void read_route(struct control_state *cs, json_object *route)
{
	struct route_rule rule = {
		.admission = {
			.goal_ms = (uint32_t)json_num(route, "goal_ms"),
			.timeout_ms = (uint32_t)json_num(route, "timeout_ms"),
			.priority = (uint32_t)json_num(route, "priority"),
		},
	};

	endpoint_parse(json_str(route, "address"), &rule.address);
	for (size_t i = 0; i < MIN(json_len(route, "services"), (size_t)ROUTE_MAX_SERVICES); i++) {
		json_object *part = json_item(route, "services", i);
		struct route_service *svc = &rule.services[rule.nr_services++];

		svc->service = symbols_intern(&cs->symbols, json_str(part, "name"));
		svc->weight = (uint32_t)json_num(part, "weight");
		svc->cold_rate_limited = json_true(part, "cold_rate_limited");
		rule.weight_sum += svc->weight;
	}
	routing_add_route(cs->routing, &rule);
}

static void apply_config(json_object *root, struct control_state *cs, struct timespec now)
{
	if (!routing_begin(cs->routing, json_num(root, "config")))
		return;
	for (size_t i = 0; i < json_len(root, "routes"); i++)
		read_route(cs, json_item(root, "routes", i));
	routing_set_idle_timeout(cs->routing, (uint32_t)json_num(root, "idle_timeout_ms"));
	control_state_commit_config(cs, now);
}

static void apply_target(json_object *obj, struct control_state *cs, struct timespec now)
{
	struct target_info info = {
		.id = json_str(obj, "id"),
		.wire_id = g_ascii_strtoull(json_str(obj, "wire_id"), NULL, 16),
		.service = symbols_intern(&cs->symbols, json_str(obj, "service")),
		.data_centre = symbols_intern(&cs->symbols, json_str(obj, "data_centre")),
		.slots = (uint32_t)json_num(obj, "slots"),
		.draining = json_true(obj, "draining"),
		.cold_ms = (uint32_t)json_num(obj, "cold_ms"),
		.born_ms = (int64_t)json_num(obj, "born_ms"),
		.revision = { (int64_t)json_num(obj, "revision") },
	};

	endpoint_parse(json_str(obj, "address"), &info.ep);
	control_state_put_target(cs, &info, now);
}

void snapshot_apply(const struct snapshot *snap, struct control_state *cs, int64_t age_ms,
		    struct timespec now)
{
	json_object *root = snap->text.root;

	control_state_begin_answer(
		cs, (struct store_version){ (int64_t)json_num(root, "revision") }, now);
	if (!cs->known[CONTROL_CONFIG])
		apply_config(root, cs, now);
	for (size_t i = 0; !cs->known[CONTROL_TARGETS] && i < json_len(root, "targets"); i++)
		apply_target(json_item(root, "targets", i), cs, now);
	for (size_t i = 0; !cs->known[CONTROL_WITHDRAWALS] && i < json_len(root, "withdrawn"); i++)
		control_state_withdraw(cs,
				       json_object_get_string(json_object_array_get_idx(
					       json_object_object_get(root, "withdrawn"), i)),
				       true, now);
	for (int i = 0; i < CONTROL_KINDS; i++) {
		if (!cs->known[i])
			control_state_confirmed(cs, (enum control_kind)i, ts_add_ms(now, -age_ms));
	}
}
