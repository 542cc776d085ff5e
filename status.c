#include "status.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

#include "flowtab.h"

/* Counters with this prefix are also listed under "drops", without the prefix. */
#define DROP_PREFIX "drop_"

struct builder {
	json_object *list;
	const struct instance_view *view;
};

static void add_string(json_object *obj, const char *key, const char *value)
{
	json_object_object_add(obj, key, json_object_new_string(value ? value : ""));
}

static void add_count(json_object *obj, const char *key, uint64_t value)
{
	json_object_object_add(obj, key, json_object_new_int64((int64_t)value));
}

static void add_bool(json_object *obj, const char *key, bool value)
{
	json_object_object_add(obj, key, json_object_new_boolean(value));
}

static void add_endpoint(json_object *obj, const char *key, struct endpoint ep)
{
	char ip[INET_ADDRSTRLEN];
	char text[INET_ADDRSTRLEN + 8];
	struct in_addr addr = { htonl(ep.ip) };

	inet_ntop(AF_INET, &addr, ip, sizeof(ip));
	snprintf(text, sizeof(text), "%s:%u", ip, ep.port);
	add_string(obj, key, text);
}

static json_object *instance_json(const struct instance_view *view)
{
	json_object *obj = json_object_new_object();

	add_count(obj, "id", view->id);
	add_string(obj, "name", view->name);
	add_string(obj, "group", view->group);
	add_string(obj, "data_centre", view->data_centre);
	add_count(obj, "uptime_ms", (uint64_t)ts_diff_ms(view->now, view->start));
	add_bool(obj, "healthy", !metrics_unhealthy_reason(view));
	add_bool(obj, "leaving", view->leaving);
	add_bool(obj, "platform_reachable", view->platform_reachable);
	return obj;
}

static void add_object(const struct object *in_force, void *arg)
{
	static const char *const kinds[] = {
		[PEER_OBJECT_ORGANISATION] = "organisations",
		[PEER_OBJECT_DATA_CENTRE] = "data-centres",
		[PEER_OBJECT_GRANTS] = "grants",
	};
	json_object *obj = json_object_new_object();

	add_string(obj, "kind", kinds[in_force->kind]);
	add_string(obj, "name", in_force->name);
	add_count(obj, "generation", in_force->generation);
	json_object_array_add(arg, obj);
}

static json_object *config_json(const struct config *cfg)
{
	json_object *obj = json_object_new_object();
	json_object *objects = json_object_new_array();
	char digest[20];

	snprintf(digest, sizeof(digest), "%016" PRIx64, config_digest(cfg));
	add_string(obj, "digest", digest);
	config_each_object(cfg, add_object, objects);
	json_object_object_add(obj, "objects", objects);
	return obj;
}

static void add_member(uint32_t id, void *arg)
{
	static const char *const states[] = {
		[MEMBER_JOINING] = "joining", [MEMBER_LIVE] = "live", [MEMBER_LEAVING] = "leaving",
		[MEMBER_SUSPECT] = "suspect", [MEMBER_DEAD] = "dead",
	};
	const struct builder *builder = arg;
	json_object *obj = json_object_new_object();

	add_count(obj, "id", id);
	add_string(obj, "state", states[members_state(core_members(builder->view->core), id)]);
	json_object_array_add(builder->list, obj);
}

static json_object *members_json(const struct instance_view *view)
{
	struct builder builder = { json_object_new_array(), view };
	const struct members *mem = core_members(view->core);

	add_member(members_self(mem), &builder);
	members_for_each(mem, add_member, &builder);
	return builder.list;
}

static json_object *dcs_json(const struct config *cfg)
{
	json_object *list = json_object_new_array();
	const struct data_centre *dc;

	for (uint16_t i = 0; (dc = config_dc(cfg, i)); i++) {
		json_object *obj = json_object_new_object();

		add_string(obj, "name", dc->name);
		add_bool(obj, "withdrawn", dc->withdrawn);
		add_count(obj, "generation", dc->generation);
		json_object_array_add(list, obj);
	}
	return list;
}

static const char *target_state(const struct instance_view *view, const struct service *svc,
				const struct target_config *tgt, const struct target_status *st)
{
	if (config_withdrawn(core_config(view->core), svc->org, tgt->dc))
		return "withdrawn";
	if (tgt->draining)
		return "draining";
	if (!st->eligible)
		return "down";
	return st->starting ? "starting" : "serving";
}

static json_object *target_json(const struct instance_view *view, const struct service *svc,
				const struct target_config *tgt)
{
	json_object *obj = json_object_new_object();
	const struct data_centre *dc = config_dc(core_config(view->core), tgt->dc);
	struct target_status st;

	target_get_status(core_targets(view->core), tgt->index, view->now, &st);
	add_string(obj, "name", tgt->name);
	add_endpoint(obj, "address", tgt->ep);
	add_string(obj, "data_centre", dc ? dc->name : NULL);
	add_string(obj, "state", target_state(view, svc, tgt, &st));
	add_count(obj, "load_permille", st.load_permille);
	add_count(obj, "report_age_ms", st.report_age_ms);
	add_count(obj, "share_permille", st.share_permille);
	add_count(obj, "flows", st.flows);
	add_count(obj, "good", st.good);
	add_count(obj, "bad", st.bad);
	return obj;
}

static void add_service(struct service *svc, void *arg)
{
	const struct builder *builder = arg;
	const struct organisation *org =
		config_organisation(core_config(builder->view->core), svc->org);
	json_object *obj = json_object_new_object();
	json_object *targets = json_object_new_array();

	add_string(obj, "organisation", org ? org->name : NULL);
	add_string(obj, "name", svc->name);
	add_endpoint(obj, "address", svc->addr.ep);
	add_string(obj, "protocol", svc->addr.proto == IPPROTO_UDP ? "udp" : "tcp");
	add_count(obj, "slo_permille", svc->slo_permille);
	add_count(obj, "refused", targets_get_refused(core_targets(builder->view->core), svc));
	for (guint i = 0; i < svc->targets->len; i++) {
		json_object *tgt = target_json(
			builder->view, svc, &g_array_index(svc->targets, struct target_config, i));

		json_object_array_add(targets, tgt);
	}
	json_object_object_add(obj, "targets", targets);
	json_object_array_add(builder->list, obj);
}

static json_object *services_json(const struct instance_view *view)
{
	struct builder builder = { json_object_new_array(), view };

	config_each_service(core_config(view->core), add_service, &builder);
	return builder.list;
}

static json_object *shards_json(const struct homes *homes)
{
	json_object *obj = json_object_new_object();
	struct homes_status st;

	homes_get_status(homes, &st);
	add_count(obj, "homed", st.homed);
	add_count(obj, "uncertain", st.uncertain);
	add_count(obj, "shared", st.shared);
	add_count(obj, "pins", st.pins);
	add_count(obj, "parked", st.parked);
	return obj;
}

static void add_counters(json_object *root, const struct counters *cnt)
{
	json_object *all = json_object_new_object();
	json_object *drops = json_object_new_object();

#define ADD_COUNTER(name, help)                                                                    \
	add_count(all, #name, cnt->name);                                                          \
	if (!strncmp(#name, DROP_PREFIX, strlen(DROP_PREFIX)))                                     \
		add_count(drops, &#name[strlen(DROP_PREFIX)], cnt->name);
	COUNTER_LIST(ADD_COUNTER)
#undef ADD_COUNTER
	json_object_object_add(root, "drops", drops);
	json_object_object_add(root, "counters", all);
}

void status_write(GString *out, const struct instance_view *view)
{
	json_object *root = json_object_new_object();
	struct core *core = view->core;

	json_object_object_add(root, "instance", instance_json(view));
	json_object_object_add(root, "config", config_json(core_config(core)));
	json_object_object_add(root, "members", members_json(view));
	json_object_object_add(root, "data_centres", dcs_json(core_config(core)));
	json_object_object_add(root, "services", services_json(view));
	add_count(root, "flows", flowtab_count(core_flows(core)));
	json_object_object_add(root, "shards", shards_json(core_homes(core)));
	add_counters(root, core_counters(core));
	g_string_append(out, json_object_to_json_string_ext(root, JSON_C_TO_STRING_PRETTY));
	g_string_append_c(out, '\n');
	json_object_put(root);
}
