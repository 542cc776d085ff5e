#include "template.h"

#include <errno.h>
#include <string.h>

#include "address.h"
#include "document.h"
#include "schema.h"

#define NAME_MAX_LEN 63

int template_read(struct json_text *text, const char *dir, const char *name, struct faults *faults)
{
	gchar *path = g_strdup_printf("%s/%s.json", dir, name);
	int rc = -EINVAL;

	json_text_init(text, path);
	/* A slash or a leading dot could lead out of @dir. */
	if (!schema_is_name(name))
		faults_add(faults, path, 1, "", "\"%s\" is no name of a template", name);
	else if (!json_text_read(text, faults) && !document_check(text, DOCUMENT_TEMPLATE, faults))
		rc = 0;
	if (!rc && strcmp(json_str(text->root, "template"), name) != 0) {
		faults_add(faults, path, json_text_line(text, "template"), "template",
			   "must match the file name");
		rc = -EINVAL;
	}
	g_free(path);
	return rc;
}

static const struct {
	const char *name;
	enum schema_type type;
} types[] = {
	{ "uint", SCHEMA_UINT },     { "bool", SCHEMA_BOOL },	      { "string", SCHEMA_STRING },
	{ "name", SCHEMA_NAME },     { "endpoint", SCHEMA_ENDPOINT }, { "enum", SCHEMA_ENUM },
	{ "servers", SCHEMA_ARRAY },
};

static enum schema_type param_type(json_object *param)
{
	for (size_t i = 0; i < G_N_ELEMENTS(types); i++) {
		if (!strcmp(json_str(param, "type"), types[i].name))
			return types[i].type;
	}
	return SCHEMA_ANY;
}

json_object *template_parse_value(json_object *tmpl, const char *name, const char *value)
{
	json_object *param = json_find(tmpl, "parameters", "name", name);
	enum schema_type type = param_type(param);
	json_object *array;
	gchar **parts;
	char *end;
	uint64_t number;

	if (type == SCHEMA_UINT) {
		errno = 0;
		number = g_ascii_strtoull(value, &end, 10);
		if (g_ascii_isdigit(*value) && !*end && !errno && number <= INT64_MAX)
			return json_object_new_int64((int64_t)number);
	}
	if (type == SCHEMA_BOOL && (!strcmp(value, "true") || !strcmp(value, "false")))
		return json_object_new_boolean(*value == 't');
	if (type != SCHEMA_ARRAY)
		return json_object_new_string(value);
	array = json_object_new_array();
	parts = g_strsplit(value, ",", -1);
	for (gchar **part = parts; *part; part++)
		json_object_array_add(array, json_object_new_string(*part));
	g_strfreev(parts);
	return array;
}

/* One element of a list of servers: consecutive addresses in a data centre. */
struct server_range {
	char dc[NAME_MAX_LEN + 1];
	struct endpoint first;
	unsigned int count;
};

/* DATA-CENTRE=ADDRESS:PORT+COUNT; "+COUNT" is 1 when absent. */
static bool parse_servers(const char *text, struct server_range *range)
{
	const char *eq = strchr(text, '=');
	const char *plus = strchr(text, '+');
	char ep[ENDPOINT_TEXT_LEN];
	size_t ep_len;
	char *end;

	if (!eq || (plus && plus < eq))
		return false;
	ep_len = plus ? (size_t)(plus - eq - 1) : strlen(eq + 1);
	if ((size_t)(eq - text) >= sizeof(range->dc) || ep_len >= sizeof(ep))
		return false;
	g_strlcpy(range->dc, text, (gsize)(eq - text) + 1);
	g_strlcpy(ep, eq + 1, ep_len + 1);
	range->count = 1;
	if (plus) {
		range->count = (unsigned int)g_ascii_strtoull(plus + 1, &end, 10);
		if (!g_ascii_isdigit(plus[1]) || *end || range->count > TEMPLATE_MAX_SERVERS)
			return false;
	}
	return schema_is_name(range->dc) && endpoint_parse(ep, &range->first) && range->count &&
	       range->first.ip + (range->count - 1) >= range->first.ip;
}

static void check_servers(json_object *list, const struct json_text *given, const char *path,
			  json_object *param, struct faults *faults)
{
	unsigned int total = 0;
	struct server_range range;
	json_object *max = json_object_object_get(param, "max");

	for (size_t i = 0; i < json_object_array_length(list); i++) {
		json_object *item = json_object_array_get_idx(list, i);
		const char *text = json_object_get_string(item);

		if (!json_object_is_type(item, json_type_string) || !parse_servers(text, &range)) {
			faults_add(faults, given->file->str, json_text_line(given, path), path,
				   "\"%s\" is not DATA-CENTRE=ADDRESS:PORT+COUNT", text);
			return;
		}
		total += range.count;
	}
	if (total < json_num(param, "min") || (max && total > json_num(param, "max")))
		faults_add(faults, given->file->str, json_text_line(given, path), path,
			   "has %u servers, must have %u to %u", total,
			   (unsigned int)json_num(param, "min"),
			   (unsigned int)json_num(param, "max"));
}

static void check_parameter(json_object *param, json_object *value, const struct json_text *given,
			    const char *path, struct faults *faults)
{
	json_object *max = json_object_object_get(param, "max");
	const char *choices = json_str(param, "choices");
	struct schema_key key = {
		.path = path,
		.type = param_type(param),
		.min = json_num(param, "min"),
		.max = max ? json_num(param, "max") : INT64_MAX,
		.unit = json_str(param, "unit"),
		.choices = *choices ? choices : NULL,
	};

	if (key.type == SCHEMA_ARRAY) {
		/* The parameter's range limits the number of servers; see check_servers(). */
		key.min = 0;
		key.max = TEMPLATE_MAX_SERVERS;
	}
	if (schema_check_value(&key, value, given, path, faults) && key.type == SCHEMA_ARRAY)
		check_servers(value, given, path, param, faults);
}

json_object *template_complete(json_object *tmpl, const struct json_text *given, const char *prefix,
			       struct faults *faults)
{
	json_object *params = *prefix ? json_object_object_get(given->root, prefix) : given->root;
	json_object *out = json_object_new_object();
	guint before = faults->list->len;

	json_object_object_foreach(params, name, unused)
	{
		(void)unused;
		if (!json_find(tmpl, "parameters", "name", name)) {
			gchar *path = g_strdup_printf("%s%s%s", prefix, *prefix ? "." : "", name);

			faults_add(faults, given->file->str, json_text_line(given, path), path,
				   "is no parameter of template %s", json_str(tmpl, "template"));
			g_free(path);
		}
	}
	for (size_t i = 0; i < json_len(tmpl, "parameters"); i++) {
		json_object *param = json_item(tmpl, "parameters", i);
		const char *key = json_str(param, "name");
		gchar *path = g_strdup_printf("%s%s%s", prefix, *prefix ? "." : "", key);
		json_object *value = NULL;
		json_object *copy = NULL;

		if (!json_object_object_get_ex(params, key, &value))
			json_object_object_get_ex(param, "default", &value);
		if (!value) {
			faults_add(faults, given->file->str, json_text_line(given, path), path,
				   "is missing");
		} else {
			check_parameter(param, value, given, path, faults);
			json_object_deep_copy(value, &copy, NULL);
			json_object_object_add(out, key, copy);
		}
		g_free(path);
	}
	if (faults->list->len == before)
		return out;
	json_object_put(out);
	return NULL;
}

/* A copy of @value, or of the parameter NAME when it is "${NAME}"; NULL when that is unknown. */
static json_object *substitute(json_object *value, json_object *params)
{
	const char *text = json_object_get_string(value);
	json_object *found = value;
	json_object *copy = NULL;
	size_t len;
	gchar *name;

	if (json_object_is_type(value, json_type_string) && g_str_has_prefix(text, "${") &&
	    g_str_has_suffix(text, "}")) {
		len = strlen(text);
		name = g_strndup(text + 2, len - 3);
		if (!json_object_object_get_ex(params, name, &found))
			found = NULL;
		g_free(name);
	}
	if (found)
		json_object_deep_copy(found, &copy, NULL);
	return copy;
}

struct expansion {
	const struct json_text *tmpl;
	json_object *params;
	struct faults *faults;
	size_t service;
};

/* Copies the keys of a service or of its targets and substitutes parameters. */
static json_object *substitute_keys(const struct expansion *ex, json_object *from, const char *part)
{
	json_object *out = json_object_new_object();

	json_object_object_foreach(from, name, value)
	{
		json_object *copy;
		gchar *path;

		if (json_object_is_type(value, json_type_object))
			continue;
		copy = substitute(value, ex->params);
		if (copy) {
			json_object_object_add(out, name, copy);
			continue;
		}
		path = g_strdup_printf("services[%zu]%s.%s", ex->service, part, name);
		faults_add(ex->faults, ex->tmpl->file->str, json_text_line(ex->tmpl, path), path,
			   "refers to an unknown parameter");
		g_free(path);
	}
	return out;
}

static void add_target(json_object *targets, json_object *common, const struct server_range *range,
		       unsigned int offset, unsigned int number)
{
	static const char *const copied[] = { "slots", "max_flows", "warmup_ms" };
	struct endpoint ep = range->first;
	char text[ENDPOINT_TEXT_LEN];
	json_object *tgt = json_object_new_object();
	json_object *value;
	gchar *name;

	ep.ip += offset;
	name = g_strdup_printf("%s-%s-%u", json_str(common, "prefix"), range->dc, number);
	json_object_object_add(tgt, "name", json_object_new_string(name));
	g_free(name);
	endpoint_format(ep, text);
	json_object_object_add(tgt, "address", json_object_new_string(text));
	json_object_object_add(tgt, "data_centre", json_object_new_string(range->dc));
	for (size_t i = 0; i < G_N_ELEMENTS(copied); i++) {
		if (json_object_object_get_ex(common, copied[i], &value))
			json_object_object_add(tgt, copied[i], json_object_get(value));
	}
	ep.port = (uint16_t)json_num(common, "health_port");
	endpoint_format(ep, text);
	json_object_object_add(tgt, "health", json_object_new_string(text));
	json_object_object_add(tgt, "draining", json_object_new_boolean(false));
	json_object_array_add(targets, tgt);
}

/* Numbers targets per data centre, so that servers added at the end rename no other. */
static json_object *expand_targets(const struct expansion *ex, json_object *from)
{
	json_object *common = substitute_keys(ex, from, ".targets");
	json_object *targets = json_object_new_array();
	GHashTable *numbers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	struct server_range range;

	for (size_t i = 0; i < json_len(common, "servers"); i++) {
		const char *text = json_object_get_string(json_item(common, "servers", i));
		unsigned int number;

		if (!text || !parse_servers(text, &range))
			continue;
		number = GPOINTER_TO_UINT(g_hash_table_lookup(numbers, range.dc));
		for (unsigned int offset = 0; offset < range.count; offset++)
			add_target(targets, common, &range, offset, ++number);
		g_hash_table_insert(numbers, g_strdup(range.dc), GUINT_TO_POINTER(number));
	}
	g_hash_table_unref(numbers);
	json_object_put(common);
	return targets;
}

json_object *template_expand(const struct json_text *tmpl, json_object *params,
			     struct faults *faults)
{
	struct expansion ex = { tmpl, params, faults, 0 };
	json_object *services = json_object_new_array();
	guint before = faults->list->len;

	for (ex.service = 0; ex.service < json_len(tmpl->root, "services"); ex.service++) {
		json_object *from = json_item(tmpl->root, "services", ex.service);
		json_object *svc = substitute_keys(&ex, from, "");

		json_object_object_add(
			svc, "targets",
			expand_targets(&ex, json_object_object_get(from, "targets")));
		json_object_array_add(services, svc);
	}
	if (faults->list->len == before)
		return services;
	json_object_put(services);
	return NULL;
}
