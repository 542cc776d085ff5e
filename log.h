/*
 * Log of changes of state through log4c, one line of key=value pairs each, to standard output and
 * without waiting for its reader. What happens per packet, message or probe is counted, not logged.
 */
#ifndef LOG_H
#define LOG_H

#include <glib.h>
#include <stdint.h>

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
};

/* Starts the log at @level (error, warn, info or debug). Returns 0, or -EINVAL. */
int log_init(const char *level, const char *instance);
void log_release(void);
/* From now on, lines are written by log_flush(): one call of the system for several lines. */
void log_defer(void);
void log_flush(void);
/* Lines lost because the reader of standard output was behind. */
uint64_t log_lost(void);

/* Logs one line; @format gives key=value pairs, the first of them event=NAME. */
void log_event(enum log_level level, const char *format, ...) G_GNUC_PRINTF(2, 3);

#endif
