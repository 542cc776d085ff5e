#include "log.h"

#include <errno.h>
#include <log4c.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "linewriter.h"
#include "timeutil.h"

static log4c_category_t *category;

static const struct {
	const char *name;
	int priority;
} levels[] = {
	[LOG_LEVEL_ERROR] = { "error", LOG4C_PRIORITY_ERROR },
	[LOG_LEVEL_WARN] = { "warn", LOG4C_PRIORITY_WARN },
	[LOG_LEVEL_INFO] = { "info", LOG4C_PRIORITY_INFO },
	[LOG_LEVEL_DEBUG] = { "debug", LOG4C_PRIORITY_DEBUG },
};

static const char *level_name(int priority)
{
	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (levels[i].priority == priority)
			return levels[i].name;
	}
	return "error";
}

/* Lines buffered for a slow reader: some seconds of the rate-limited log. */
#define LOG_MAX_PENDING_BYTES 65536

static struct linewriter writer;

/* Replaces log4c's own appenders, which need a configuration file that instances do not have. */
static int append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	const char *instance = log4c_appender_get_udata(appender);
	GString *line = g_string_new(NULL);
	struct timespec now;
	struct tm tm;
	char when[32];

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	g_string_printf(line, "time=%s.%03ldZ level=%s instance=%s %s\n", when,
			now.tv_nsec / NSEC_PER_MSEC, level_name(event->evt_priority), instance,
			event->evt_msg);
	linewriter_write(&writer, line->str, line->len);
	g_string_free(line, TRUE);
	return 0;
}

static const log4c_appender_type_t stdout_type = {
	.name = "jujubestage_stdout",
	.append = append_line,
};

int log_init(const char *level, const char *instance)
{
	log4c_appender_t *appender;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (!strcmp(levels[i].name, level))
			break;
	}
	if (i == G_N_ELEMENTS(levels))
		return -EINVAL;
	linewriter_init(&writer, STDOUT_FILENO, LOG_MAX_PENDING_BYTES);
	category = log4c_category_get("jujubestage");
	appender = log4c_appender_get("jujubestage_stdout");
	log4c_appender_set_type(appender, &stdout_type);
	log4c_appender_set_udata(appender, g_strdup(instance));
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, levels[i].priority);
	return 0;
}

void log_release(void)
{
	log4c_appender_t *appender;

	if (!category)
		return;
	appender = log4c_appender_get("jujubestage_stdout");
	g_free(log4c_appender_get_udata(appender));
	log4c_appender_set_udata(appender, NULL);
	category = NULL;
	log4c_fini();
	linewriter_release(&writer);
}

void log_defer(void)
{
	writer.deferred = true;
}

void log_flush(void)
{
	if (writer.pending && writer.pending->len)
		linewriter_flush(&writer);
}

uint64_t log_lost(void)
{
	return writer.lost_lines;
}

void log_event(enum log_level level, const char *format, ...)
{
	va_list args;
	char *line;

	if (!category || !log4c_category_is_priority_enabled(category, levels[level].priority))
		return;
	va_start(args, format);
	line = g_strdup_vprintf(format, args);
	va_end(args);
	log4c_category_log(category, levels[level].priority, "%s", line);
	g_free(line);
}
