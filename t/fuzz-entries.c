/*
 * Fuzzing of the store's entries: any JSON gives a target with all its parts, a configuration that
 * routes only to services it names, or a reason.
 */
#include <glib.h>
#include <string.h>

#include "jsondepth.h"
#include "platform/entries.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static void try_target(struct symbols *syms, json_object *obj)
{
	struct target_info info;
	const char *why = entry_parse_target(syms, obj, &info);

	if (why) {
		g_assert_cmpuint(strlen(why), >, 0);
		return;
	}
	g_assert_true(*info.id && info.ep.ip && info.ep.port && info.slots);
	g_assert_cmpuint(info.service, <, syms->names->len);
	g_assert_cmpuint(info.data_centre, <, syms->names->len);
}

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	json_object *obj = json_parse_depth((const char *)bytes, len, ENTRY_CONFIG_DEPTH);
	struct routing *rt = routing_new();
	struct symbols syms;
	bool newer;

	symbols_init(&syms);
	try_target(&syms, obj);
	if (!entry_parse_config(&syms, obj, rt, &newer) && newer) {
		routing_commit(rt, (struct timespec){ 1, 0 });
		g_assert_true(routing_ready(rt));
		g_assert_cmpuint(routing_version(rt), >, 0);
	}
	routing_free(rt);
	symbols_release(&syms);
	json_object_put(obj);
	return 0;
}
