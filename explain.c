#include "explain.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

/* Lines about a flow's targets and instances are relevant this long before and after its own. */
#define CONTEXT_BEFORE_MS 10000
#define CONTEXT_AFTER_MS  10000
#define MS_PER_S	  1000

struct log_line {
	int64_t logged_ms;    /* Unix time by the instance's clock */
	int64_t corrected_ms; /* corrected by the estimated offset of that clock */
	GString *instance;
	GString *event;
	GString *fields; /* of the line, from the event on */
};

struct explain {
	GPtrArray *lines;
};

static void free_line(gpointer data)
{
	struct log_line *line = data;

	g_string_free(line->instance, TRUE);
	g_string_free(line->event, TRUE);
	g_string_free(line->fields, TRUE);
	g_free(line);
}

struct explain *explain_new(void)
{
	struct explain *ex = g_new0(struct explain, 1);

	ex->lines = g_ptr_array_new_with_free_func(free_line);
	return ex;
}

void explain_free(struct explain *ex)
{
	if (!ex)
		return;
	g_ptr_array_unref(ex->lines);
	g_free(ex);
}

/* Value of a key in a line of key=value pairs; sets *len to 0 when there is none. */
static const char *find_value(const char *text, const char *key, size_t *len)
{
	size_t key_len = strlen(key);
	const char *at = text;

	*len = 0;
	while ((at = strstr(at, key))) {
		if ((at == text || at[-1] == ' ') && at[key_len] == '=') {
			*len = strcspn(at + key_len + 1, " ");
			return at + key_len + 1;
		}
		at += key_len;
	}
	return "";
}

static GString *get_value(const char *text, const char *key)
{
	size_t len;
	const char *val = find_value(text, key, &len);

	return g_string_new_len(val, (gssize)len);
}

static bool value_is(const struct log_line *line, const char *key, const char *want)
{
	size_t len;
	const char *val = find_value(line->fields->str, key, &len);

	return len && strlen(want) == len && !memcmp(val, want, len);
}

bool explain_parse_time(const char *text, int64_t *ms)
{
	struct tm tm = { 0 };
	int milli;

	if (sscanf(text, "%4d-%2d-%2dT%2d:%2d:%2d.%3dZ", &tm.tm_year, &tm.tm_mon, &tm.tm_mday,
		   &tm.tm_hour, &tm.tm_min, &tm.tm_sec, &milli) != 7)
		return false;
	tm.tm_year -= 1900;
	tm.tm_mon -= 1;
	*ms = (int64_t)timegm(&tm) * MS_PER_S + milli;
	return true;
}

/* A log collector may have added a prefix. Returns the fault of a malformed line, or NULL. */
static const char *parse_line(struct explain *ex, const char *text)
{
	const char *start = strstr(text, "time=");
	const char *event;
	struct log_line *line;
	int64_t ms;
	size_t len;

	if (!start)
		return "no time field: not a log line of an instance";
	if (!explain_parse_time(start + strlen("time="), &ms))
		return "malformed time";
	event = find_value(start, "event", &len);
	if (!len)
		return "no event field: truncated line";
	find_value(start, "instance", &len);
	if (!len)
		return "no instance field: truncated line";
	line = g_new0(struct log_line, 1);
	line->logged_ms = ms;
	line->instance = get_value(start, "instance");
	line->event = get_value(start, "event");
	line->fields = g_string_new(event - strlen("event="));
	g_ptr_array_add(ex->lines, line);
	return NULL;
}

size_t explain_read(struct explain *ex, const char *file, const char *text, size_t len,
		    GString *errors)
{
	size_t before = ex->lines->len;
	const char *end = text + len;
	unsigned int nr = 0;

	while (text < end) {
		const char *stop = memchr(text, '\n', (size_t)(end - text));
		size_t size = (size_t)((stop ? stop : end) - text);
		GString *line = g_string_new_len(text, (gssize)size);
		const char *why = NULL;

		nr++;
		if (strlen(line->str) != size)
			why = "NUL byte in the line: not text";
		else if (size)
			why = parse_line(ex, line->str);
		if (why)
			g_string_append_printf(errors, "%s:%u: %s\n", file, nr, why);
		g_string_free(line, TRUE);
		text += size + 1;
	}
	return ex->lines->len - before;
}

static const struct log_line *line_at(const struct explain *ex, guint i)
{
	return g_ptr_array_index(ex->lines, i);
}

static bool has_event(const struct log_line *line, const char *event)
{
	return !strcmp(line->event->str, event);
}

/* Maps each configuration version to the time at which @instance applied it, by its clock. */
static GHashTable *config_times(const struct explain *ex, const char *instance)
{
	GHashTable *times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	for (guint i = 0; i < ex->lines->len; i++) {
		const struct log_line *line = line_at(ex, i);
		GString *version;

		if (!has_event(line, "config") || strcmp(line->instance->str, instance) != 0)
			continue;
		version = get_value(line->fields->str, "config");
		if (version->len)
			g_hash_table_insert(times, g_strdup(version->str),
					    g_memdup2(&line->logged_ms, sizeof(line->logged_ms)));
		g_string_free(version, TRUE);
	}
	return times;
}

static gint compare_int64(gconstpointer a, gconstpointer b)
{
	const int64_t x = *(const int64_t *)a;
	const int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Median of how far one clock is ahead of another; 0 when both applied no common version. */
static int64_t clock_offset(GHashTable *times, GHashTable *reference)
{
	GArray *offsets = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GHashTableIter iter;
	gpointer version;
	gpointer when;
	int64_t median = 0;

	g_hash_table_iter_init(&iter, times);
	while (g_hash_table_iter_next(&iter, &version, &when)) {
		const int64_t *other = g_hash_table_lookup(reference, version);

		if (other) {
			int64_t offset = *(int64_t *)when - *other;

			g_array_append_val(offsets, offset);
		}
	}
	if (offsets->len) {
		g_array_sort(offsets, compare_int64);
		median = g_array_index(offsets, int64_t, offsets->len / 2);
	}
	g_array_unref(offsets);
	return median;
}

static void correct_clocks(struct explain *ex)
{
	GHashTable *offsets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTable *reference = NULL;

	for (guint i = 0; i < ex->lines->len; i++) {
		struct log_line *line = g_ptr_array_index(ex->lines, i);
		const char *name = line->instance->str;
		int64_t *offset = g_hash_table_lookup(offsets, name);

		if (!offset) {
			GHashTable *times = config_times(ex, name);
			int64_t found = reference ? clock_offset(times, reference) : 0;

			offset = g_memdup2(&found, sizeof(found));
			g_hash_table_insert(offsets, line->instance->str, offset);
			if (reference)
				g_hash_table_unref(times);
			else
				reference = times;
		}
		line->corrected_ms = line->logged_ms - *offset;
	}
	if (reference)
		g_hash_table_unref(reference);
	g_hash_table_unref(offsets);
}

static gint compare_lines(gconstpointer a, gconstpointer b)
{
	const struct log_line *x = *(struct log_line *const *)a;
	const struct log_line *y = *(struct log_line *const *)b;

	return (x->corrected_ms > y->corrected_ms) - (x->corrected_ms < y->corrected_ms);
}

/* The flows in question, and the targets and instances that their lines name. */
struct scope {
	GHashTable *flows;
	GHashTable *targets;
	GHashTable *instances;
	bool all_instances; /* regardless of @instances */
	int64_t from_ms;
	int64_t to_ms;
};

static GHashTable *new_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void add_value(GHashTable *set, const struct log_line *line, const char *key)
{
	GString *val = get_value(line->fields->str, key);

	if (val->len)
		g_hash_table_add(set, g_strdup(val->str));
	g_string_free(val, TRUE);
}

static bool set_has_value(GHashTable *set, const struct log_line *line, const char *key)
{
	GString *val = get_value(line->fields->str, key);
	bool found = val->len && g_hash_table_contains(set, val->str);

	g_string_free(val, TRUE);
	return found;
}

static void find_flows(const struct explain *ex, const char *request, const char *flow,
		       struct scope *sc)
{
	for (guint i = 0; i < ex->lines->len; i++) {
		const struct log_line *line = line_at(ex, i);
		GString *id = get_value(line->fields->str, "flow");

		if (id->len && ((request && value_is(line, "request", request)) ||
				(flow && strstr(id->str, flow))))
			g_hash_table_add(sc->flows, g_strdup(id->str));
		g_string_free(id, TRUE);
	}
}

/* @at_ms: time of the failure, which extends the time range; 0 if unknown. */
static void find_scope(const struct explain *ex, struct scope *sc, int64_t at_ms)
{
	bool first = true;

	for (guint i = 0; i < ex->lines->len; i++) {
		const struct log_line *line = line_at(ex, i);

		if (!set_has_value(sc->flows, line, "flow"))
			continue;
		add_value(sc->targets, line, "target");
		g_hash_table_add(sc->instances, g_strdup(line->instance->str));
		if (first)
			sc->from_ms = line->corrected_ms;
		sc->to_ms = MAX(line->corrected_ms, at_ms);
		first = false;
	}
}

/* Whether a line that is not about one of the flows is relevant to them. */
static bool is_relevant(const struct scope *sc, const struct log_line *line)
{
	if (line->corrected_ms < sc->from_ms - CONTEXT_BEFORE_MS ||
	    line->corrected_ms > sc->to_ms + CONTEXT_AFTER_MS)
		return false;
	if (has_event(line, "target"))
		return set_has_value(sc->targets, line, "target");
	return (has_event(line, "process") || has_event(line, "config") ||
		has_event(line, "store")) &&
	       (sc->all_instances || g_hash_table_contains(sc->instances, line->instance->str));
}

/* Causes of failed requests by the fields of a log line. */
static const struct {
	const char *event;
	const char *key;
	const char *value;
	const char *cause;
} causes[] = {
	{ "reset", "reason", "target_dead", "its target did not answer connections" },
	{ "reset", "reason", "target_gone", "its target had left the list and did not answer" },
	{ "reset", "reason", "target_reborn", "its target had restarted" },
	{ "reset", "reason", "route_withdrawn", "the configuration dropped its route" },
	{ "wait", "reason", "no_credit", "its opening waited for a credit" },
	{ "wait", "", "", "its opening waited because no target could take it" },
	{ "refuse", "reason", "no_route", "no route had its address" },
	{ "refuse", "reason", "no_target", "no target could take it" },
	{ "refuse", "reason", "no_room",
	  "its instance would have had no credit of its service in time" },
	{ "refuse", "reason", "overloaded", "its target would have answered too late" },
	{ "refuse", "reason", "route_withdrawn", "the configuration dropped its route" },
	{ "target", "belief", "dead", "a target of the flow was found dead" },
	{ "target", "belief", "gone", "a target of the flow left the list" },
	{ "target", "why", "may_be_full",
	  "a target of the flow refused connections and may have been full" },
	{ "stall", "", "", "its data got no answer" },
	{ "adopt", "", "", "its packets reached another instance, or one that had restarted" },
	{ "drop", "reason", "unknown_mark", "an instance did not know its target yet" },
	{ "process", "state", "stopping", "an instance that handled it was stopped" },
	{ "process", "state", "started", "an instance that handled it had restarted" },
	{ "process", "state", "resumed", "an instance that handled it had not run for a while" },
	{ "store", "store", "lost", "an instance that handled it had lost the store" },
	{ "store", "snapshot", "applied",
	  "an instance that handled it had started without the store" },
};

/* A grant of credits in force is renewed at least every 500 ms; two were lost before this age. */
#define OLD_GRANT_MS 1000

/* Causes by a number in a line. */
static const struct {
	const char *key;
	int64_t min;
	int64_t max;
	const char *cause;
} number_causes[] = {
	{ "credits", 0, 0, "its instance held no credits of its service" },
	{ "credit_age_ms", OLD_GRANT_MS, INT64_MAX, "its instance had an old grant of credits" },
};

static bool value_in_range(const struct log_line *line, const char *key, int64_t min, int64_t max)
{
	GString *val = get_value(line->fields->str, key);
	char *end;
	int64_t number = g_ascii_strtoll(val->str, &end, 10);
	bool found = val->len && !*end && number >= min && number <= max;

	g_string_free(val, TRUE);
	return found;
}

static const char *find_cause(const struct log_line *line)
{
	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
		if (has_event(line, causes[i].event) &&
		    (!*causes[i].key || value_is(line, causes[i].key, causes[i].value)))
			return causes[i].cause;
	}
	return NULL;
}

static void write_line(const struct scope *sc, const struct log_line *line, GString *out)
{
	g_string_append_printf(
		out, "%+9.3f s  %-20s %c %s\n",
		(double)(line->corrected_ms - sc->from_ms) / MS_PER_S, line->instance->str,
		set_has_value(sc->flows, line, "flow") ? '*' : ' ', line->fields->str);
}

/* Lines of the output, each cause once. */
struct cause_list {
	GHashTable *reported;
	GString *text;
};

static void report_cause(struct cause_list *list, const struct scope *sc,
			 const struct log_line *line, const char *cause)
{
	if (cause && g_hash_table_add(list->reported, (gpointer)cause))
		g_string_append_printf(list->text, "- %s (%+.3f s, %s)\n", cause,
				       (double)(line->corrected_ms - sc->from_ms) / MS_PER_S,
				       line->instance->str);
}

static void report_causes(struct cause_list *list, const struct scope *sc,
			  const struct log_line *line)
{
	report_cause(list, sc, line, find_cause(line));
	for (size_t i = 0; i < G_N_ELEMENTS(number_causes); i++) {
		if (value_in_range(line, number_causes[i].key, number_causes[i].min,
				   number_causes[i].max))
			report_cause(list, sc, line, number_causes[i].cause);
	}
}

static void write_scope(const struct explain *ex, const struct scope *sc, GString *out)
{
	struct cause_list found = {
		.reported = g_hash_table_new(g_str_hash, g_str_equal),
		.text = g_string_new(NULL),
	};

	if (!sc->all_instances)
		g_string_append(out, "times count from the flow's first line; "
				     "\"*\" marks its own lines\n");
	for (guint i = 0; i < ex->lines->len; i++) {
		const struct log_line *line = line_at(ex, i);

		if (!set_has_value(sc->flows, line, "flow") && !is_relevant(sc, line))
			continue;
		write_line(sc, line, out);
		report_causes(&found, sc, line);
	}
	g_string_append_printf(out, "causes found:\n%s",
			       found.text->len ? found.text->str : "- none\n");
	g_string_free(found.text, TRUE);
	g_hash_table_unref(found.reported);
}

bool explain_write(struct explain *ex, const struct explain_query *q, GString *out)
{
	struct scope sc = {
		.flows = new_set(),
		.targets = new_set(),
		.instances = new_set(),
		.from_ms = q->at_ms,
		.to_ms = q->at_ms,
	};
	bool found;

	correct_clocks(ex);
	g_ptr_array_sort(ex->lines, compare_lines);
	find_flows(ex, q->request, q->flow, &sc);
	found = g_hash_table_size(sc.flows) > 0;
	if (found) {
		find_scope(ex, &sc, q->at_ms);
		write_scope(ex, &sc, out);
	} else if (q->at_ms) {
		/* Its packets may have reached an instance that was paused and logged nothing. */
		sc.all_instances = true;
		g_string_append(out, "no line names it; what instances wrote at that time\n");
		write_scope(ex, &sc, out);
	}
	g_hash_table_unref(sc.flows);
	g_hash_table_unref(sc.targets);
	g_hash_table_unref(sc.instances);
	return found || q->at_ms;
}
