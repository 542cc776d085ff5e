/*
 * Guards against an entry of the store that followers need and do not receive, and against needless
 * ones: a target rewrites its entry with each heartbeat.
 */
#include <glib.h>

#include "registry.h"
#include "timeutil.h"

#define START_MS 1000000

struct entry_case {
	const char *name;
	struct target_info first; /* put 5 s before @next */
	struct target_info next;
	int64_t warm_ms; /* expected after @next, from the time of @next */
	bool changed;	 /* followers must receive @next */
};

static const struct entry_case entry_cases[] = {
	{ "time-passed", { .cold_ms = 10000 }, { .cold_ms = 5000 }, 5000, false },
	/* The entry took 800 ms longer to arrive than the first one. */
	{ "arrives-later", { .cold_ms = 10000 }, { .cold_ms = 5800 }, 5000, false },
	/* The first one took 300 ms longer. */
	{ "arrives-earlier", { .cold_ms = 10000 }, { .cold_ms = 4700 }, 4700, true },
	{ "warm-earlier", { .cold_ms = 10000 }, { .cold_ms = 0 }, 0, true },
	{ "cold-for-longer", { .cold_ms = 10000 }, { .cold_ms = 7000 }, 7000, true },
	{ "cold-again", { .cold_ms = 0 }, { .cold_ms = 3000 }, 3000, true },
	{ "stays-warm", { .cold_ms = 0 }, { .cold_ms = 0 }, -5000, false },
	{ "has-become-warm", { .cold_ms = 4000 }, { .cold_ms = 0 }, -1000, false },
	{ "drains", { .cold_ms = 0 }, { .draining = true }, 0, true },
	{ "other-address", { .cold_ms = 0 }, { .ep = { 2, 80 } }, 0, true },
	{ "other-slots", { .cold_ms = 0 }, { .slots = 3 }, 0, true },
	{ "other-service", { .cold_ms = 0 }, { .service = 1 }, 0, true },
	{ "other-data-centre", { .cold_ms = 0 }, { .data_centre = 1 }, 0, true },
	{ "other-wire-id", { .cold_ms = 0 }, { .wire_id = 1 }, 0, true },
	{ "restarted", { .cold_ms = 10000 }, { .cold_ms = 5000, .born_ms = 6 }, 5000, true },
};

static void test_entry(gconstpointer data)
{
	const struct entry_case *c = data;
	struct registry *reg = registry_new();
	struct target_info first = c->first;
	struct target_info next = c->next;
	struct timespec now = ts_from_ms(START_MS + 5000);
	GPtrArray *changed;

	first.id = next.id = "i-a";
	first.revision = first.answer_revision = store_version_make(0, 10);
	next.revision = next.answer_revision = store_version_make(0, 11);
	g_assert_true(registry_put(reg, &first, ts_from_ms(START_MS)));
	g_assert_true(registry_put(reg, &next, now));
	g_assert_cmpint(ts_diff_ms(registry_by_id(reg, "i-a")->warm_at, now), ==, c->warm_ms);
	changed = registry_changed_since(reg, store_version_make(0, 10), "");
	g_assert_cmpuint(changed->len, ==, c->changed);
	g_ptr_array_unref(changed);
	/* Its state is that of the newer revision, so an older one is not taken over. */
	next.revision = store_version_make(0, 10);
	g_assert_false(registry_put(reg, &next, now));
	registry_free(reg);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(entry_cases); i++) {
		char *path = g_strconcat("/registry/entry/", entry_cases[i].name, NULL);

		g_test_add_data_func(path, &entry_cases[i], test_entry);
		g_free(path);
	}
	return g_test_run();
}
