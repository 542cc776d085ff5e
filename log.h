/*
 * Log of state changes through log4c: one line of key=value pairs each, written to standard output
 * without blocking. Events of single packets, messages or probes are counted, not logged.
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
/* Buffers lines from now on until log_flush(), which writes several with one system call. */
void log_defer(void);
void log_flush(void);
/* Number of lines dropped because the reader of standard output was too slow. */
uint64_t log_lost(void);

/* Logs one line; @format yields key=value pairs, the first of them event=NAME. */
void log_event(enum log_level level, const char *format, ...) G_GNUC_PRINTF(2, 3);

#endif
