#include "burn.h"

#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "jsontext.h"

#define HOUR_S		  3600
#define DAY_S		  86400
#define MAX_SAMPLE_TIME_S (INT64_C(1) << 40)

/*
 * Windows and thresholds: burn rate 14.4 spends 2% of the budget of 30 days in an hour, 6 spends 5%
 * in 6 hours, 1 spends 10% in 3 days.
 */
static const struct {
	int64_t longer;
	int64_t shorter;
	double threshold;
} pairs[BURN_NR_PAIRS] = {
	{ HOUR_S, 5 * 60, 14.4 },
	{ 6 * HOUR_S, 30 * 60, 6 },
	{ 3 * DAY_S, 6 * HOUR_S, 1 },
};

/* Flows that ended between two samples of one counter, at the time of the later sample. */
struct increment {
	int64_t at;
	uint64_t good;
	uint64_t bad;
	const char *dc;	    /* interned */
	const char *target; /* interned */
};

/* The last sample of the counters that one instance keeps for one target. */
struct series {
	int64_t at;
	uint64_t good;
	uint64_t bad;
};

struct service_data {
	char *name;
	uint32_t slo_permille;
	int64_t first; /* time of the first sample */
	GArray *increments;
};

struct burn {
	GHashTable *series; /* instance, service and target to struct series */
	GHashTable *services;
	int64_t first; /* time of the first sample of any service */
	int64_t last;
};

static void service_data_free(gpointer data)
{
	struct service_data *svc = data;

	g_free(svc->name);
	g_array_unref(svc->increments);
	g_free(svc);
}

struct burn *burn_new(void)
{
	struct burn *burn = g_new0(struct burn, 1);

	burn->series = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	burn->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_data_free);
	burn->first = INT64_MAX;
	return burn;
}

void burn_free(struct burn *burn)
{
	g_hash_table_unref(burn->series);
	g_hash_table_unref(burn->services);
	g_free(burn);
}

static struct service_data *get_service(struct burn *burn, const char *name, int64_t at)
{
	struct service_data *svc = g_hash_table_lookup(burn->services, name);

	if (svc)
		return svc;
	svc = g_new0(struct service_data, 1);
	svc->name = g_strdup(name);
	svc->slo_permille = BURN_DEFAULT_SLO;
	svc->first = at;
	svc->increments = g_array_new(FALSE, FALSE, sizeof(struct increment));
	g_hash_table_insert(burn->services, svc->name, svc);
	return svc;
}

/*
 * Turns the counters in @inc into the increase since the last sample. Returns false when that is
 * unknown: for the first sample of counters that may have run before the samples begin.
 */
static bool update_series(const struct burn *burn, struct series *ser, bool is_new, int64_t at,
			  struct increment *inc)
{
	uint64_t good = inc->good;
	uint64_t bad = inc->bad;

	/* A counter that went down belongs to a restarted instance and began at 0. */
	if (!is_new && good >= ser->good && bad >= ser->bad) {
		inc->good -= ser->good;
		inc->bad -= ser->bad;
	}
	*ser = (struct series){ at, good, bad };
	return !is_new || at > burn->first;
}

static bool is_counter(json_object *value)
{
	return value && json_object_is_type(value, json_type_int) &&
	       json_object_get_int64(value) >= 0;
}

static int add_sample(struct burn *burn, json_object *obj)
{
	const char *org = json_str(obj, "organisation");
	const char *name = json_str(obj, "service");
	int64_t at = (int64_t)json_num(obj, "time");
	struct increment inc = { .at = at };
	struct service_data *svc;
	struct series *ser;
	gchar *full_name;
	gchar *key;
	uint64_t slo = json_num(obj, "slo_permille");
	bool is_new;

	if (!*org || !*name || !at || at > MAX_SAMPLE_TIME_S || slo >= 1000 ||
	    !is_counter(json_object_object_get(obj, "good")) ||
	    !is_counter(json_object_object_get(obj, "bad")))
		return -EBADMSG;
	inc.good = json_num(obj, "good");
	inc.bad = json_num(obj, "bad");
	inc.dc = g_intern_string(json_str(obj, "data_centre"));
	inc.target = g_intern_string(json_str(obj, "target"));
	burn->first = MIN(burn->first, at);
	burn->last = MAX(burn->last, at);
	full_name = g_strdup_printf("%s/%s", org, name);
	svc = get_service(burn, full_name, at);
	if (slo)
		svc->slo_permille = (uint32_t)slo;
	svc->first = MIN(svc->first, at);
	key = g_strdup_printf("%s\n%s\n%s", json_str(obj, "instance"), full_name, inc.target);
	ser = g_hash_table_lookup(burn->series, key);
	is_new = !ser;
	if (is_new) {
		ser = g_new0(struct series, 1);
		g_hash_table_insert(burn->series, g_strdup(key), ser);
	}
	if (!is_new && at < ser->at) {
		g_free(full_name);
		g_free(key);
		return -EBADMSG;
	}
	if (update_series(burn, ser, is_new, at, &inc) && (inc.good || inc.bad))
		g_array_append_val(svc->increments, inc);
	g_free(full_name);
	g_free(key);
	return 0;
}

int burn_add(struct burn *burn, const char *line)
{
	json_object *obj = json_tokener_parse(line);
	int rc = -EBADMSG;

	if (obj && json_object_is_type(obj, json_type_object))
		rc = add_sample(burn, obj);
	json_object_put(obj);
	return rc;
}

static void copy_field(json_object *to, const char *key, json_object *from, const char *from_key)
{
	json_object *value;

	if (json_object_object_get_ex(from, from_key, &value))
		json_object_object_add(to, key, json_object_get(value));
}

static void append_sample(json_object *line, GString *out)
{
	g_string_append_printf(out, "%s\n",
			       json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN));
	json_object_put(line);
}

static json_object *new_sample(json_object *status, json_object *svc, int64_t now)
{
	json_object *line = json_object_new_object();

	json_object_object_add(line, "time", json_object_new_int64(now));
	copy_field(line, "instance", json_object_object_get(status, "instance"), "name");
	copy_field(line, "organisation", svc, "organisation");
	copy_field(line, "service", svc, "name");
	copy_field(line, "slo_permille", svc, "slo_permille");
	return line;
}

size_t burn_samples(json_object *status, int64_t now, GString *out)
{
	size_t nr = 0;

	for (size_t i = 0; i < json_len(status, "services"); i++) {
		json_object *svc = json_item(status, "services", i);
		json_object *line;

		for (size_t j = 0; j < json_len(svc, "targets"); j++) {
			json_object *tgt = json_item(svc, "targets", j);

			if (!json_object_object_get_ex(tgt, "good", NULL) ||
			    !json_object_object_get_ex(tgt, "bad", NULL))
				continue;
			line = new_sample(status, svc, now);
			copy_field(line, "target", tgt, "name");
			copy_field(line, "data_centre", tgt, "data_centre");
			copy_field(line, "good", tgt, "good");
			copy_field(line, "bad", tgt, "bad");
			append_sample(line, out);
			nr++;
		}
		if (!json_object_object_get_ex(svc, "refused", NULL))
			continue;
		/* Names of targets and data centres have no parentheses, so this one is unique. */
		line = new_sample(status, svc, now);
		json_object_object_add(line, "target", json_object_new_string("(refused)"));
		json_object_object_add(line, "data_centre", json_object_new_string("(refused)"));
		json_object_object_add(line, "good", json_object_new_int64(0));
		copy_field(line, "bad", svc, "refused");
		append_sample(line, out);
		nr++;
	}
	return nr;
}

/* Flows with an end in (@from, @to]. */
static void sum_flows(const struct service_data *svc, int64_t from, int64_t to, uint64_t *good,
		      uint64_t *bad)
{
	*good = 0;
	*bad = 0;
	for (guint i = 0; i < svc->increments->len; i++) {
		const struct increment *inc = &g_array_index(svc->increments, struct increment, i);

		if (inc->at > from && inc->at <= to) {
			*good += inc->good;
			*bad += inc->bad;
		}
	}
}

static double burn_rate(const struct service_data *svc, uint64_t good, uint64_t bad)
{
	double allowed = (1000 - svc->slo_permille) / 1000.0;

	return good + bad ? (double)bad / (double)(good + bad) / allowed : 0;
}

static struct burn_window measure_window(const struct service_data *svc, int64_t now,
					 int64_t seconds)
{
	struct burn_window win = { .seconds = seconds };

	sum_flows(svc, now - seconds, now, &win.good, &win.bad);
	win.rate = burn_rate(svc, win.good, win.bad);
	win.partial = svc->first > now - seconds;
	return win;
}

static void cause_free(gpointer data)
{
	struct burn_cause *cause = data;

	g_free(cause->name);
	g_free(cause);
}

static gint compare_causes(gconstpointer a, gconstpointer b)
{
	const struct burn_cause *x = *(const struct burn_cause *const *)a;
	const struct burn_cause *y = *(const struct burn_cause *const *)b;

	if (x->bad != y->bad)
		return x->bad > y->bad ? -1 : 1;
	return strcmp(x->name, y->name);
}

static GPtrArray *find_causes(const struct service_data *svc, int64_t from, int64_t to, bool by_dc,
			      uint64_t total)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(cause_free);
	GHashTable *found = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < svc->increments->len; i++) {
		const struct increment *inc = &g_array_index(svc->increments, struct increment, i);
		const char *name = by_dc ? inc->dc : inc->target;
		struct burn_cause *cause = g_hash_table_lookup(found, name);

		if (inc->at <= from || inc->at > to || !inc->bad)
			continue;
		if (!cause) {
			cause = g_new0(struct burn_cause, 1);
			cause->name = g_strdup(name);
			g_ptr_array_add(list, cause);
			g_hash_table_insert(found, cause->name, cause);
		}
		cause->bad += inc->bad;
		cause->share_permille = (uint32_t)(cause->bad * 1000 / total);
	}
	g_ptr_array_sort(list, compare_causes);
	if (list->len > BURN_MAX_CAUSES)
		g_ptr_array_set_size(list, BURN_MAX_CAUSES);
	g_hash_table_unref(found);
	return list;
}

static void service_free(gpointer data)
{
	struct burn_service *out = data;

	g_free(out->name);
	g_ptr_array_unref(out->data_centres);
	g_ptr_array_unref(out->targets);
	g_array_unref(out->points);
	g_free(out);
}

/* The points span the part of the period that has samples. */
static void add_points(const struct service_data *svc, struct burn_service *out, int64_t from,
		       int64_t now)
{
	int64_t start = MAX(from, svc->first);
	int64_t span = now - start;

	for (int64_t i = 0; i <= BURN_PLOT_POINTS && span > 0; i++) {
		struct burn_point point = { .at = start + span * i / BURN_PLOT_POINTS };
		uint64_t good;
		uint64_t bad;

		point.rate = measure_window(svc, point.at, HOUR_S).rate;
		sum_flows(svc, from, point.at, &good, &bad);
		point.spent = out->budget > 0 ? (double)bad / out->budget : 0;
		g_array_append_val(out->points, point);
	}
}

static struct burn_service *report_service(const struct service_data *svc, int64_t now,
					   int64_t period_s)
{
	struct burn_service *out = g_new0(struct burn_service, 1);
	int64_t from = now - period_s;
	double hour;

	out->name = g_strdup(svc->name);
	out->slo_permille = svc->slo_permille;
	sum_flows(svc, from, now, &out->good, &out->bad);
	out->covered_s = MIN(period_s, now - svc->first);
	/* Extrapolates the traffic of the covered part to the whole period. */
	if (out->covered_s > 0)
		out->budget = (double)(out->good + out->bad) * (double)period_s /
			      (double)out->covered_s * (1000 - svc->slo_permille) / 1000.0;
	out->spent = out->budget > 0 ? (double)out->bad / out->budget : 0;
	for (size_t i = 0; i < BURN_NR_PAIRS; i++) {
		struct burn_pair *pair = &out->pairs[i];

		pair->longer = measure_window(svc, now, pairs[i].longer);
		pair->shorter = measure_window(svc, now, pairs[i].shorter);
		pair->threshold = pairs[i].threshold;
		pair->alarm =
			pair->longer.rate > pair->threshold && pair->shorter.rate > pair->threshold;
	}
	hour = out->pairs[0].longer.rate;
	out->left_s = -1;
	if (out->spent >= 1)
		out->left_s = 0;
	else if (hour > 0)
		out->left_s = (1 - out->spent) * (double)period_s / hour;
	out->data_centres = find_causes(svc, from, now, true, MAX(out->bad, 1));
	out->targets = find_causes(svc, from, now, false, MAX(out->bad, 1));
	out->points = g_array_new(FALSE, FALSE, sizeof(struct burn_point));
	add_points(svc, out, from, now);
	return out;
}

static gint compare_services(gconstpointer a, gconstpointer b)
{
	const struct burn_service *x = *(const struct burn_service *const *)a;
	const struct burn_service *y = *(const struct burn_service *const *)b;

	return strcmp(x->name, y->name);
}

GPtrArray *burn_report(const struct burn *burn, int64_t now, uint32_t period_days)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(service_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, burn->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, report_service(value, now ? now : burn->last,
						     (int64_t)period_days * DAY_S));
	g_ptr_array_sort(list, compare_services);
	return list;
}
