/*
 * Writes whole lines to a descriptor and never waits for its reader. What the reader does not take
 * is kept up to a limit; lines beyond it are lost whole and counted.
 */
#ifndef LINEWRITER_H
#define LINEWRITER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct linewriter {
	int fd;
	int flags; /* of the descriptor before, to be restored */
	GString *pending;
	size_t max_pending; /* bytes */
	bool deferred;	    /* lines wait for linewriter_flush() */
	uint64_t lost;	    /* lines */
};

/* Pipes and sockets are set not to block; files and terminals do not block for long. */
void linewriter_init(struct linewriter *lw, int fd, size_t max_pending);
/* Tries once more to write what is pending. */
void linewriter_release(struct linewriter *lw);
/* Writes what is pending as far as the reader takes it. */
void linewriter_flush(struct linewriter *lw);
/* @line ends with a newline. */
void linewriter_write(struct linewriter *lw, const char *line, size_t len);

#endif
