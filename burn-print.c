/* The burn report as text, JSON and HTML. */
#include <inttypes.h>
#include <math.h>

#include "burn.h"

#define MINUTE_S 60
#define HOUR_S	 3600
#define DAY_S	 86400

/* Size of a plot in units of the SVG. */
#define PLOT_WIDTH  720
#define PLOT_HEIGHT 160

static void add_duration(GString *out, double seconds)
{
	if (seconds < 0)
		g_string_append(out, "never");
	else if (seconds >= 2 * DAY_S)
		g_string_append_printf(out, "%.1f d", seconds / DAY_S);
	else if (seconds >= 2 * HOUR_S)
		g_string_append_printf(out, "%.1f h", seconds / HOUR_S);
	else
		g_string_append_printf(out, "%.0f min", seconds / MINUTE_S);
}

static void add_window(GString *out, const struct burn_window *win)
{
	add_duration(out, (double)win->seconds);
	g_string_append_printf(out, " at %.2f%s", win->rate, win->partial ? " (partial)" : "");
}

static void add_causes(GString *out, const char *what, const GPtrArray *list)
{
	g_string_append_printf(out, "  spent by %s:", what);
	for (guint i = 0; i < list->len; i++) {
		const struct burn_cause *cause = g_ptr_array_index(list, i);

		g_string_append_printf(out, "%s %s %u.%u%%", i ? "," : "", cause->name,
				       cause->share_permille / 10, cause->share_permille % 10);
	}
	g_string_append(out, list->len ? "\n" : " none\n");
}

static void print_service(const struct burn_service *svc, GString *out)
{
	g_string_append_printf(
		out, "%s: objective %u.%u%%, %" PRIu64 " bad of %" PRIu64 " flows in ", svc->name,
		svc->slo_permille / 10, svc->slo_permille % 10, svc->bad, svc->good + svc->bad);
	add_duration(out, (double)svc->covered_s);
	g_string_append_printf(out, "\n  budget %.0f flows a period, %.1f%% spent, all spent in ",
			       svc->budget, svc->spent * 100);
	add_duration(out, svc->left_s);
	g_string_append_c(out, '\n');
	for (size_t i = 0; i < BURN_NR_PAIRS; i++) {
		const struct burn_pair *pair = &svc->pairs[i];

		g_string_append(out, "  burn rate of ");
		add_window(out, &pair->longer);
		g_string_append(out, ", of ");
		add_window(out, &pair->shorter);
		g_string_append_printf(out, ", threshold %.1f%s\n", pair->threshold,
				       pair->alarm ? ": ALARM" : "");
	}
	add_causes(out, "data centre", svc->data_centres);
	add_causes(out, "target", svc->targets);
}

void burn_print_text(const GPtrArray *services, GString *out)
{
	for (guint i = 0; i < services->len; i++)
		print_service(g_ptr_array_index(services, i), out);
	if (!services->len)
		g_string_append(out, "no samples\n");
}

static json_object *window_json(const struct burn_window *win)
{
	json_object *obj = json_object_new_object();

	json_object_object_add(obj, "seconds", json_object_new_int64(win->seconds));
	json_object_object_add(obj, "good", json_object_new_int64((int64_t)win->good));
	json_object_object_add(obj, "bad", json_object_new_int64((int64_t)win->bad));
	json_object_object_add(obj, "rate", json_object_new_double(win->rate));
	json_object_object_add(obj, "partial", json_object_new_boolean(win->partial));
	return obj;
}

static json_object *causes_json(const GPtrArray *list)
{
	json_object *array = json_object_new_array();

	for (guint i = 0; i < list->len; i++) {
		const struct burn_cause *cause = g_ptr_array_index(list, i);
		json_object *obj = json_object_new_object();

		json_object_object_add(obj, "name", json_object_new_string(cause->name));
		json_object_object_add(obj, "bad", json_object_new_int64((int64_t)cause->bad));
		json_object_object_add(obj, "share_permille",
				       json_object_new_int64(cause->share_permille));
		json_object_array_add(array, obj);
	}
	return array;
}

static json_object *service_json(const struct burn_service *svc)
{
	json_object *obj = json_object_new_object();
	json_object *pairs = json_object_new_array();

	json_object_object_add(obj, "service", json_object_new_string(svc->name));
	json_object_object_add(obj, "slo_permille", json_object_new_int64(svc->slo_permille));
	json_object_object_add(obj, "good", json_object_new_int64((int64_t)svc->good));
	json_object_object_add(obj, "bad", json_object_new_int64((int64_t)svc->bad));
	json_object_object_add(obj, "covered_s", json_object_new_int64(svc->covered_s));
	json_object_object_add(obj, "budget", json_object_new_double(svc->budget));
	json_object_object_add(obj, "spent", json_object_new_double(svc->spent));
	json_object_object_add(obj, "left_s",
			       svc->left_s < 0 ? NULL : json_object_new_double(svc->left_s));
	for (size_t i = 0; i < BURN_NR_PAIRS; i++) {
		const struct burn_pair *pair = &svc->pairs[i];
		json_object *item = json_object_new_object();

		json_object_object_add(item, "long", window_json(&pair->longer));
		json_object_object_add(item, "short", window_json(&pair->shorter));
		json_object_object_add(item, "threshold", json_object_new_double(pair->threshold));
		json_object_object_add(item, "alarm", json_object_new_boolean(pair->alarm));
		json_object_array_add(pairs, item);
	}
	json_object_object_add(obj, "pairs", pairs);
	json_object_object_add(obj, "data_centres", causes_json(svc->data_centres));
	json_object_object_add(obj, "targets", causes_json(svc->targets));
	return obj;
}

json_object *burn_to_json(const GPtrArray *services)
{
	json_object *array = json_object_new_array();

	for (guint i = 0; i < services->len; i++)
		json_object_array_add(array, service_json(g_ptr_array_index(services, i)));
	return array;
}

/* Draws the field that @value returns; @top is the value at the upper edge of the plot. */
static void add_polyline(GString *out, const GArray *points,
			 double (*value)(const struct burn_point *), double top, const char *colour)
{
	const struct burn_point *first = &g_array_index(points, struct burn_point, 0);
	const struct burn_point *last = &g_array_index(points, struct burn_point, points->len - 1);
	double span = (double)MAX(last->at - first->at, 1);

	g_string_append_printf(out, "<polyline fill=\"none\" stroke=\"%s\" points=\"", colour);
	for (guint i = 0; i < points->len; i++) {
		const struct burn_point *point = &g_array_index(points, struct burn_point, i);

		g_string_append_printf(out, "%.1f,%.1f ",
				       (double)(point->at - first->at) / span * PLOT_WIDTH,
				       PLOT_HEIGHT * (1 - value(point) / top));
	}
	g_string_append(out, "\"/>\n");
}

static double get_rate(const struct burn_point *point)
{
	return point->rate;
}

static double get_spent(const struct burn_point *point)
{
	return point->spent;
}

static double max_value(const GArray *points, double (*value)(const struct burn_point *))
{
	double top = 1;

	for (guint i = 0; i < points->len; i++)
		top = fmax(top, value(&g_array_index(points, struct burn_point, i)));
	return top;
}

static void add_plot(GString *out, const GArray *points, const char *title,
		     double (*value)(const struct burn_point *), const char *colour)
{
	double top = max_value(points, value);

	g_string_append_printf(
		out,
		"<figure><figcaption>%s, %.2f at the upper edge; the grey line is 1</figcaption>\n"
		"<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" role=\"img\">\n"
		"<rect width=\"%d\" height=\"%d\" fill=\"#f6f6f6\"/>\n"
		"<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#999\"/>\n",
		title, top, PLOT_WIDTH, PLOT_HEIGHT, PLOT_WIDTH, PLOT_HEIGHT, PLOT_WIDTH,
		PLOT_HEIGHT, PLOT_WIDTH, PLOT_HEIGHT * (1 - 1 / top), PLOT_HEIGHT * (1 - 1 / top));
	add_polyline(out, points, value, top, colour);
	g_string_append(out, "</svg></figure>\n");
}

static void add_escaped(GString *out, const char *text)
{
	gchar *safe = g_markup_escape_text(text, -1);

	g_string_append(out, safe);
	g_free(safe);
}

void burn_print_html(const GPtrArray *services, GString *out)
{
	g_string_append(out, "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
			     "<title>Service-level burn</title>\n"
			     "<style>body{font:15px sans-serif;margin:2em;max-width:60em}"
			     "pre{background:#f6f6f6;padding:1em;overflow:auto}"
			     "figure{margin:1em 0}.alarm{color:#b00}</style></head><body>\n"
			     "<h1>Service-level burn</h1>\n");
	for (guint i = 0; i < services->len; i++) {
		const struct burn_service *svc = g_ptr_array_index(services, i);
		GString *text = g_string_new(NULL);
		bool alarm = false;

		for (size_t j = 0; j < BURN_NR_PAIRS; j++)
			alarm = alarm || svc->pairs[j].alarm;
		g_string_append(out, alarm ? "<h2 class=\"alarm\">" : "<h2>");
		add_escaped(out, svc->name);
		g_string_append(out, "</h2>\n<pre>");
		print_service(svc, text);
		add_escaped(out, text->str);
		g_string_append(out, "</pre>\n");
		if (svc->points->len) {
			add_plot(out, svc->points, "Burn rate of the last hour", get_rate, "#06c");
			add_plot(out, svc->points, "Share of the period's budget that is spent",
				 get_spent, "#b00");
		}
		g_string_free(text, TRUE);
	}
	if (!services->len)
		g_string_append(out, "<p>no samples</p>\n");
	g_string_append(out, "</body></html>\n");
}
