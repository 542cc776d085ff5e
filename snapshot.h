/*
 * The control state as a JSON document (docs/snapshot.md), which an instance hands to others that
 * start while the store does not answer. It only bridges the time until the store or a reader
 * answers: an instance that has applied one still reads whole lists, which replace it.
 *
 * Performs no I/O and reads no clock.
 */
#ifndef SNAPSHOT_H
#define SNAPSHOT_H

#include "beliefs.h"
#include "fault.h"

/* Appends the document to @out. Targets that have left are not in it. */
void snapshot_write(struct control_state *cs, GString *out, struct timespec now);

/* A document that has been checked. */
struct snapshot;

/* Returns NULL, and entries in @faults, if @bytes are not a valid document. */
struct snapshot *snapshot_parse(const char *bytes, size_t len, struct faults *faults);
void snapshot_free(struct snapshot *snap);

/* Milliseconds since the store confirmed the oldest part, when the document was written. */
int64_t snapshot_age_ms(const struct snapshot *snap);
/*
 * Adds what @snap contains to the kinds of which nothing is known from the store yet. @age_ms: age
 * of the document's oldest part at @now.
 */
void snapshot_apply(const struct snapshot *snap, struct control_state *cs, int64_t age_ms,
		    struct timespec now);

#endif
