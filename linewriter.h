/*
 * Writes lines to a file descriptor without blocking. Bytes that the descriptor does not accept are
 * buffered up to a limit; lines that exceed it are dropped whole and counted.
 */
#ifndef LINEWRITER_H
#define LINEWRITER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct linewriter {
	int fd;
	int flags; /* file status flags of @fd before linewriter_init() */
	GString *pending;
	size_t max_pending_bytes; /* bytes */
	bool deferred;		  /* lines are only written by linewriter_flush() */
	uint64_t lost_lines;	  /* lines dropped */
};

/* Sets a pipe or socket to O_NONBLOCK; files and terminals do not block for long. */
void linewriter_init(struct linewriter *lw, int fd, size_t max_pending_bytes);
/* Flushes once, restores the descriptor's flags and drops lines that are still pending. */
void linewriter_release(struct linewriter *lw);
/* Writes as much of the pending lines as the descriptor accepts. */
void linewriter_flush(struct linewriter *lw);
/* @line ends with a newline. */
void linewriter_write(struct linewriter *lw, const char *line, size_t len);

#endif
