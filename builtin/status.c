#include <inttypes.h>

#include "address.h"
#include "fleet.h"

static void print_instance(const struct fleet_instance *inst)
{
	json_object *status = inst->status;
	json_object *self = json_object_object_get(status, "instance");
	json_object *shards = json_object_object_get(status, "shards");
	char admin[ENDPOINT_TEXT_LEN];

	endpoint_format(inst->admin, admin);
	printf("%s  id %u  group %s  %s  %s  ", inst->info.name, inst->info.id, inst->info.group,
	       inst->info.data_centre, inst->info.phase == INSTANCE_LEAVING ? "leaving" : "live");
	if (!status) {
		printf("no answer at %s\n", admin);
		return;
	}
	printf("%s  configuration %s  %zu members  %" PRIu64 " flows  %" PRIu64
	       " uncertain shards%s\n",
	       json_object_get_boolean(json_object_object_get(self, "healthy")) ? "healthy"
										: "unhealthy",
	       json_str(json_object_object_get(status, "config"), "digest"),
	       json_len(status, "members"), json_num(status, "flows"),
	       json_num(shards, "uncertain"),
	       json_object_get_boolean(json_object_object_get(self, "platform_reachable"))
		       ? ""
		       : "  platform out of reach");
}

static json_object *fleet_json(const struct fleet *fleet)
{
	json_object *array = json_object_new_array();
	char admin[ENDPOINT_TEXT_LEN];

	for (guint i = 0; i < fleet->list->len; i++) {
		const struct fleet_instance *inst = fleet_at(fleet, i);
		json_object *obj = json_object_new_object();

		endpoint_format(inst->admin, admin);
		json_object_object_add(obj, "name", json_object_new_string(inst->info.name));
		json_object_object_add(obj, "admin", json_object_new_string(admin));
		json_object_object_add(obj, "status", json_object_get(inst->status));
		json_object_array_add(array, obj);
	}
	return array;
}

/* Prints how many instances did not answer and whether all others have the same configuration. */
static void print_summary(const struct fleet *fleet)
{
	const char *digest = NULL;
	guint unanswered = 0;
	bool differ = false;

	for (guint i = 0; i < fleet->list->len; i++) {
		json_object *status = fleet_at(fleet, i)->status;
		const char *own = json_str(json_object_object_get(status, "config"), "digest");

		if (!status)
			unanswered++;
		else if (!digest)
			digest = own;
		else if (g_strcmp0(digest, own) != 0)
			differ = true;
	}
	printf("%u instances, %u without answer, configurations %s\n", fleet->list->len, unanswered,
	       differ ? "differ" : "agree");
}

int cmd_status(int argc, char **argv)
{
	struct cli cli;
	struct fleet fleet;
	int exit_code;

	cli_init(&cli, "status", "shows the instances that the platform lists", CLI_PLATFORM);
	fleet_init(&fleet);
	if (!cli_parse(&cli, argc, argv, &exit_code) || !cli_open(&cli, &exit_code))
		goto cleanup;
	exit_code = EXIT_REFUSED;
	if (!fleet_read(&cli, &fleet))
		goto cleanup;
	fleet_read_status(&cli, &fleet);
	exit_code = EXIT_DONE;
	if (cli.json->count) {
		cli_print_json(fleet_json(&fleet));
		goto cleanup;
	}
	for (guint i = 0; i < fleet.list->len; i++)
		print_instance(fleet_at(&fleet, i));
	print_summary(&fleet);
cleanup:
	fleet_release(&fleet);
	cli_release(&cli);
	return exit_code;
}
