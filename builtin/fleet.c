#include "fleet.h"

#include <inttypes.h>
#include <string.h>

#include "address.h"
#include "feed.h"

#define STATUS_TIMEOUT_MS 2000
#define POLL_INTERVAL_MS  500

static void instance_clear(gpointer data)
{
	struct fleet_instance *inst = data;

	json_object_put(inst->status);
}

void fleet_init(struct fleet *fleet)
{
	fleet->list = g_array_new(FALSE, TRUE, sizeof(struct fleet_instance));
	g_array_set_clear_func(fleet->list, instance_clear);
}

void fleet_release(struct fleet *fleet)
{
	g_array_unref(fleet->list);
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	const struct fleet_instance *x = a;
	const struct fleet_instance *y = b;

	return strcmp(x->info.name, y->info.name);
}

bool fleet_read(struct cli *cli, struct fleet *fleet)
{
	struct sync_result res;
	bool ok;

	g_array_set_size(fleet->list, 0);
	sync_result_init(&res);
	platform_sync_list(cli->sync, PLATFORM_KIND_INSTS, &res);
	ok = res.status == CALL_OK;
	if (!ok)
		cli_error(cli, "the platform does not answer, the instances are not known");
	for (size_t i = 0; i < json_len(res.body, "items"); i++) {
		struct fleet_instance inst = { 0 };

		if (instance_from_json(json_item(res.body, "items", i), &inst.info, &inst.admin) &&
		    inst.info.phase != INSTANCE_GONE)
			g_array_append_val(fleet->list, inst);
	}
	g_array_sort(fleet->list, by_name);
	sync_result_release(&res);
	return ok;
}

void fleet_read_status(struct cli *cli, struct fleet *fleet)
{
	guint nr = fleet->list->len;
	struct sync_fetch *list = g_new0(struct sync_fetch, nr + 1);

	for (guint i = 0; i < nr; i++)
		list[i].server = fleet_at(fleet, i)->admin;
	platform_sync_fetch(cli->sync, "/status.json", STATUS_TIMEOUT_MS, list, nr);
	for (guint i = 0; i < nr; i++) {
		struct fleet_instance *inst = fleet_at(fleet, i);

		json_object_put(inst->status);
		inst->status = NULL;
		if (list[i].error == HTTP_RESPONDED && list[i].status == 200)
			inst->status = json_tokener_parse(list[i].body->str);
		if (list[i].body)
			g_string_free(list[i].body, TRUE);
	}
	g_free(list);
}

uint64_t status_generation(json_object *status, const char *kind, const char *name)
{
	json_object *config = status ? json_object_object_get(status, "config") : NULL;

	for (size_t i = 0; i < json_len(config, "objects"); i++) {
		json_object *obj = json_item(config, "objects", i);

		if (!strcmp(json_str(obj, "kind"), kind) && !strcmp(json_str(obj, "name"), name))
			return json_num(obj, "generation");
	}
	return 0;
}

static bool matches(const char *want, json_object *obj, const char *key)
{
	return !want || !strcmp(want, json_str(obj, key));
}

uint64_t status_flows(json_object *status, const struct flow_filter *filter)
{
	uint64_t flows = 0;

	for (size_t i = 0; i < json_len(status, "services"); i++) {
		json_object *svc = json_item(status, "services", i);

		if (!matches(filter->organisation, svc, "organisation") ||
		    !matches(filter->service, svc, "name"))
			continue;
		for (size_t j = 0; j < json_len(svc, "targets"); j++) {
			json_object *tgt = json_item(svc, "targets", j);

			if (matches(filter->target, tgt, "name") &&
			    matches(filter->data_centre, tgt, "data_centre"))
				flows += json_num(tgt, "flows");
		}
	}
	return flows;
}

struct progress {
	guint up_to_date;
	uint64_t flows;
	GString *lagging;
};

static void update_progress(const struct fleet *fleet, const struct wait_condition *what,
			    struct progress *pr)
{
	pr->up_to_date = 0;
	pr->flows = 0;
	g_string_truncate(pr->lagging, 0);
	for (guint i = 0; i < fleet->list->len; i++) {
		const struct fleet_instance *inst = fleet_at(fleet, i);
		uint64_t generation = status_generation(inst->status, what->kind, what->name);

		if (what->flows)
			pr->flows += status_flows(inst->status, what->flows);
		if (inst->status && generation >= what->generation) {
			pr->up_to_date++;
			continue;
		}
		g_string_append_printf(pr->lagging, "%s%s ", pr->lagging->len ? ", " : "",
				       inst->info.name);
		if (inst->status)
			g_string_append_printf(pr->lagging, "(generation %" PRIu64 ")", generation);
		else
			g_string_append(pr->lagging, "(no answer)");
	}
}

static void print_progress(const struct cli *cli, const struct fleet *fleet,
			   const struct wait_condition *what, const struct progress *pr)
{
	if (what->flows)
		cli_error(cli,
			  "%u of %u instances have generation %" PRIu64 ", %" PRIu64 " flows left",
			  pr->up_to_date, fleet->list->len, what->generation, pr->flows);
	else
		cli_error(cli, "%u of %u instances have generation %" PRIu64, pr->up_to_date,
			  fleet->list->len, what->generation);
}

int fleet_wait(struct cli *cli, const struct wait_condition *what)
{
	struct timespec end =
		ts_add_ms(clock_now(system_clock()), (int64_t)cli->timeout->ival[0] * MSEC_PER_SEC);
	struct progress pr = { .lagging = g_string_new(NULL) };
	struct fleet fleet;
	int exit_code = EXIT_REFUSED;
	guint last_up_to_date = UINT_MAX;
	uint64_t last_flows = UINT64_MAX;

	fleet_init(&fleet);
	/* The list is read in each round, as instances may join or leave during the wait. */
	while (fleet_read(cli, &fleet)) {
		fleet_read_status(cli, &fleet);
		update_progress(&fleet, what, &pr);
		if (!fleet.list->len) {
			cli_error(cli, "the platform lists no instance");
			break;
		}
		if (pr.up_to_date != last_up_to_date || pr.flows != last_flows)
			print_progress(cli, &fleet, what, &pr);
		last_up_to_date = pr.up_to_date;
		last_flows = pr.flows;
		if (pr.up_to_date == fleet.list->len && !pr.flows) {
			exit_code = EXIT_DONE;
			break;
		}
		if (ts_cmp(clock_now(system_clock()), end) >= 0) {
			if (pr.lagging->len)
				cli_error(cli, "%u of %u instances lag: %s",
					  fleet.list->len - pr.up_to_date, fleet.list->len,
					  pr.lagging->str);
			else
				cli_error(cli, "%" PRIu64 " flows are left", pr.flows);
			break;
		}
		platform_sync_wait(cli->sync, POLL_INTERVAL_MS);
	}
	fleet_release(&fleet);
	g_string_free(pr.lagging, TRUE);
	return exit_code;
}
