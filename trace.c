#include "trace.h"

#include <errno.h>
#include <string.h>

#define VERB_MAX_OPTIONS 10

/* Options that start with '!' are texts, all others numbers. */
static const struct {
	const char *name;
	bool timed;
	unsigned int min_args;
	unsigned int max_args;
	const char *options[VERB_MAX_OPTIONS];
} verbs[TRACE_NR_VERBS] = {
	[TRACE_DC] = { "dc", false, 1, 1, { "instances", "!group" } },
	[TRACE_SERVICE] = { "service",
			    false,
			    1,
			    1,
			    { "!org", "!address", "idle_ms", "silence_ms", "retry_permille" } },
	[TRACE_TARGETS] = { "targets",
			    false,
			    1,
			    1,
			    { "!service", "!dc", "count", "slots", "max_flows", "warmup_ms",
			      "bears", "fragile", "later" } },
	[TRACE_NET] = { "net",
			false,
			0,
			0,
			{ "local_us", "dc_us", "caller_us", "platform_us", "jitter_permille",
			  "loss", "dup", "detect_ms", "list_lag_ms" } },
	[TRACE_END] = { "end", false, 1, 1, { NULL } },
	[TRACE_MEASURE] = { "measure", false, 2, 2, { NULL } },
	[TRACE_OPEN] = { "open",
			 true,
			 1,
			 1,
			 { "rate", "life_ms", "every_ms", "work_ms", "until", "slots" } },
	[TRACE_KILL] = { "kill", true, 1, 1, { NULL } },
	[TRACE_PAUSE] = { "pause", true, 1, 1, { NULL } },
	[TRACE_RESUME] = { "resume", true, 1, 1, { NULL } },
	[TRACE_START] = { "start", true, 1, 1, { NULL } },
	[TRACE_LEAVE] = { "leave", true, 1, 1, { NULL } },
	[TRACE_ROLL] = { "roll", true, 0, 0, { "every_ms", "down_ms" } },
	[TRACE_DRAIN] = { "drain", true, 1, 1, { NULL } },
	[TRACE_ADD] = { "add", true, 1, 1, { NULL } },
	[TRACE_DIE] = { "die", true, 1, 1, { NULL } },
	[TRACE_COLD] = { "cold", true, 1, 1, { "marker" } },
	[TRACE_SILENT] = { "silent", true, 1, 1, { NULL } },
	[TRACE_SHED] = { "shed", true, 1, 1, { "on" } },
	[TRACE_REPORT] = { "report", true, 1, 1, { "load", "ready", "lag_ms" } },
	[TRACE_CROSS] = { "cross", true, 1, 1, { "count" } },
	[TRACE_CUT] = { "cut", true, 1, 2, { NULL } },
	[TRACE_HEAL] = { "heal", true, 1, 1, { NULL } },
	[TRACE_PLATFORM] = { "platform", true, 1, 1, { NULL } },
	[TRACE_WITHDRAW] = { "withdraw", true, 1, 1, { NULL } },
	[TRACE_RESTORE] = { "restore", true, 1, 1, { NULL } },
	[TRACE_CHANGE] = { "change", true, 1, 1, { "count", "every_ms" } },
	[TRACE_LINK] = { "link", true, 0, 0, { "loss", "dup", "jitter_permille" } },
	[TRACE_SHOW] = { "show", true, 0, 0, { NULL } },
};

static bool is_number(const char *text)
{
	if (*text == '-')
		text++;
	return *text && strspn(text, "0123456789") == strlen(text) && strlen(text) < 12;
}

static const char *find_option(const struct trace_line *line, const char *key)
{
	size_t len = strlen(key);

	for (char **word = line->words; *word; word++) {
		if (!strncmp(*word, key, len) && (*word)[len] == '=')
			return *word + len + 1;
	}
	return NULL;
}

int64_t trace_number(const struct trace_line *line, const char *key, int64_t def)
{
	const char *text = find_option(line, key);

	return text ? g_ascii_strtoll(text, NULL, 10) : def;
}

const char *trace_text(const struct trace_line *line, const char *key, const char *def)
{
	const char *text = find_option(line, key);

	return text ? text : def;
}

const char *trace_verb_name(enum trace_verb verb)
{
	return verbs[verb].name;
}

/* Returns a fault, or NULL. */
static const char *check_option(enum trace_verb verb, const char *word)
{
	size_t len = strcspn(word, "=");

	for (int i = 0; i < VERB_MAX_OPTIONS && verbs[verb].options[i]; i++) {
		const char *name = verbs[verb].options[i];
		bool text = *name == '!';

		name += text;
		if (strlen(name) != len || strncmp(name, word, len) != 0)
			continue;
		return text || is_number(word + len + 1) ? NULL : "not a number";
	}
	return "unknown option";
}

static const char *parse_words(struct trace_line *line, char **words)
{
	unsigned int args = 0;
	bool timed = !strcmp(words[0], "at");

	if (timed) {
		if (!words[1] || !is_number(words[1]) || !words[2])
			return "expected: at MILLISECONDS VERB";
		line->at_ms = g_ascii_strtoll(words[1], NULL, 10);
		words += 2;
	}
	for (line->verb = 0; line->verb < TRACE_NR_VERBS; line->verb++) {
		if (!strcmp(verbs[line->verb].name, words[0]))
			break;
	}
	if (line->verb == TRACE_NR_VERBS)
		return "unknown verb";
	if (timed != verbs[line->verb].timed)
		return timed ? "this verb cannot have a time"
			     : "this verb needs a time: at MILLISECONDS VERB";
	line->arg[0] = line->arg[1] = "";
	for (char **word = words + 1; *word; word++) {
		const char *fault = strchr(*word, '=') ? check_option(line->verb, *word) : NULL;

		if (fault)
			return fault;
		if (strchr(*word, '='))
			continue;
		if (args == verbs[line->verb].max_args)
			return "too many arguments";
		line->arg[args++] = *word;
	}
	return args < verbs[line->verb].min_args ? "too few arguments" : NULL;
}

/* Splits at blanks and drops a comment. Returns NULL when nothing is left. */
static char **split_words(const char *text)
{
	char *plain = g_strndup(text, strcspn(text, "#"));
	char **raw = g_strsplit_set(plain, " \t\r", -1);
	GPtrArray *words = g_ptr_array_new();

	for (char **word = raw; *word; word++) {
		if (**word)
			g_ptr_array_add(words, *word);
		else
			g_free(*word);
	}
	g_free(raw);
	g_free(plain);
	if (!words->len) {
		g_ptr_array_unref(words);
		return NULL;
	}
	g_ptr_array_add(words, NULL);
	return (char **)g_ptr_array_free(words, FALSE);
}

static void add_fault(GString *faults, const char *path, unsigned int number, const char *text)
{
	g_string_append_printf(faults, "%s:%u: %s\n", path, number, text);
}

int trace_parse(struct trace *trace, const char *text, const char *path, GString *faults)
{
	char **lines = g_strsplit(text, "\n", -1);
	gsize before = faults->len;
	bool have_version = false;

	if (!trace->lines)
		trace->lines = g_array_new(FALSE, TRUE, sizeof(struct trace_line));
	for (unsigned int i = 0; lines[i]; i++) {
		struct trace_line line = { .number = i + 1 };
		const char *fault;

		line.words = split_words(lines[i]);
		if (!line.words)
			continue;
		if (!have_version) {
			have_version = true;
			if (strcmp(line.words[0], "jujubestage-trace") != 0 || !line.words[1] ||
			    strcmp(line.words[1], G_STRINGIFY(TRACE_VERSION)) != 0)
				add_fault(
					faults, path, i + 1,
					"expected: jujubestage-trace " G_STRINGIFY(TRACE_VERSION));
			g_strfreev(line.words);
			continue;
		}
		fault = parse_words(&line, line.words);
		if (fault) {
			add_fault(faults, path, i + 1, fault);
			g_strfreev(line.words);
			continue;
		}
		g_array_append_val(trace->lines, line);
	}
	if (!have_version)
		add_fault(faults, path, 1, "empty trace");
	g_strfreev(lines);
	return faults->len == before ? 0 : -EINVAL;
}

void trace_release(struct trace *trace)
{
	for (guint i = 0; trace->lines && i < trace->lines->len; i++)
		g_strfreev(g_array_index(trace->lines, struct trace_line, i).words);
	if (trace->lines)
		g_array_unref(trace->lines);
	trace->lines = NULL;
}
