/*
 * Guards against a value that is nested too deeply making the text around it unreadable, and
 * against a scan that takes brackets in strings for nesting. Each case is a text, the levels that
 * are read of it, and the result.
 */
#include <glib.h>
#include <string.h>

#include "jsondepth.h"

struct depth_case {
	const char *name;
	const char *text;
	unsigned int max_depth;
	const char *expected; /* NULL when the text is malformed */
};

static const struct depth_case cases[] = {
	{ "empty-object", "{}", 1, "{}" },
	{ "scalars", "{\"a\":1,\"b\":\"x\",\"c\":null}", 1, "{\"a\":1,\"b\":\"x\",\"c\":null}" },
	{ "array-at-the-limit", "{\"a\":[1]}", 2, "{\"a\":[1]}" },
	{ "array-below-the-limit", "{\"a\":[1],\"b\":2}", 1, "{\"a\":null,\"b\":2}" },
	{ "object-below-the-limit", "{\"a\":{\"b\":{\"c\":1}},\"d\":3}", 2,
	  "{\"a\":{\"b\":null},\"d\":3}" },
	{ "siblings", "{\"a\":[[],{},[[1],[2]],4]}", 2, "{\"a\":[null,null,null,4]}" },
	{ "brackets-in-strings", "{\"a\":\"[{[\",\"b\":[\"]\",[\"]}\",1],2]}", 2,
	  "{\"a\":\"[{[\",\"b\":[\"]\",null,2]}" },
	{ "escaped-quotes", "{\"a\":[[\"\\\\\\\"]\"],1],\"b\\\"[\":[]}", 2,
	  "{\"a\":[null,1],\"b\\\"[\":[]}" },
	{ "space", " { \"a\" : [ [ ] ] } ", 2, "{\"a\":[null]}" },
	{ "not-an-object", "[{}]", 4, NULL },
	{ "no-text", "", 4, NULL },
	{ "no-end", "{\"a\":1", 4, NULL },
	{ "no-end-of-string", "{\"a\":\"x", 4, NULL },
	{ "no-end-of-escape", "{\"a\":\"\\", 4, NULL },
	{ "no-end-below-the-limit", "{\"a\":[[", 2, NULL },
	{ "no-end-of-string-below-the-limit", "{\"a\":[[\"]", 2, NULL },
	{ "closing-brackets-alone", "]}]", 2, NULL },
};

static void test_case(gconstpointer data)
{
	const struct depth_case *c = data;
	json_object *obj = json_parse_depth(c->text, strlen(c->text), c->max_depth);

	g_assert_cmpstr(obj ? json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN) : NULL,
			==, c->expected);
	json_object_put(obj);
}

/* Guards against a recursion that a long text of brackets makes overflow the stack. */
static void test_long_nesting(void)
{
	GString *text = g_string_new("{\"a\":");
	json_object *obj;

	for (int i = 0; i < 500000; i++)
		g_string_append_c(text, '[');
	for (int i = 0; i < 500000; i++)
		g_string_append_c(text, ']');
	g_string_append(text, ",\"b\":1}");
	obj = json_parse_depth(text->str, text->len, 3);
	g_assert_cmpstr(json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN), ==,
			"{\"a\":[[null]],\"b\":1}");
	json_object_put(obj);
	g_string_free(text, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strconcat("/jsondepth/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_case);
		g_free(path);
	}
	g_test_add_func("/jsondepth/long-nesting", test_long_nesting);
	return g_test_run();
}
