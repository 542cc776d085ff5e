/* JSON form of an instance's entry on the platform; declared in feed.h. */
#include <string.h>

#include "address.h"
#include "feed.h"
#include "jsontext.h"

static const char *const phase_names[] = {
	[INSTANCE_LIVE] = "live",
	[INSTANCE_LEAVING] = "leaving",
	[INSTANCE_GONE] = "gone",
};

bool instance_from_json(json_object *obj, struct instance_info *info, struct endpoint *admin)
{
	json_object *id = json_object_object_get(obj, "id");
	const char *phase = json_str(obj, "phase");
	bool known = false;

	*info = (struct instance_info){ 0 };
	if (!id || !json_object_is_type(id, json_type_int) || json_object_get_int64(id) < 1 ||
	    json_object_get_int64(id) > UINT32_MAX ||
	    !endpoint_parse(json_str(obj, "peer"), &info->peer) ||
	    !endpoint_parse(json_str(obj, "admin"), admin))
		return false;
	info->id = (uint32_t)json_object_get_int64(id);
	for (size_t i = 0; i < G_N_ELEMENTS(phase_names); i++) {
		if (!strcmp(phase, phase_names[i])) {
			info->phase = (enum instance_phase)i;
			known = true;
		}
	}
	return known &&
	       g_strlcpy(info->name, platform_name(obj), sizeof(info->name)) < sizeof(info->name) &&
	       g_strlcpy(info->group, json_str(obj, "group"), sizeof(info->group)) <
		       sizeof(info->group) &&
	       g_strlcpy(info->data_centre, json_str(obj, "data_centre"),
			 sizeof(info->data_centre)) < sizeof(info->data_centre);
}

json_object *instance_to_json(const struct instance_info *info, struct endpoint admin)
{
	json_object *obj = json_object_new_object();
	char ep[ENDPOINT_TEXT_LEN];

	json_object_object_add(obj, "id", json_object_new_int64(info->id));
	json_object_object_add(obj, "group", json_object_new_string(info->group));
	json_object_object_add(obj, "data_centre", json_object_new_string(info->data_centre));
	endpoint_format(info->peer, ep);
	json_object_object_add(obj, "peer", json_object_new_string(ep));
	endpoint_format(admin, ep);
	json_object_object_add(obj, "admin", json_object_new_string(ep));
	json_object_object_add(obj, "phase", json_object_new_string(phase_names[info->phase]));
	return obj;
}
