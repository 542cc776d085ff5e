/* Faults of a settings file or document: collected and reported all at once. */
#ifndef FAULT_H
#define FAULT_H

#include <glib.h>
#include <stdio.h>

struct fault {
	GString *file;
	unsigned int line;
	GString *key; /* dotted path */
	GString *text;
};

struct faults {
	GPtrArray *list; /* struct fault */
};

void faults_init(struct faults *faults);
void faults_release(struct faults *faults);
void faults_add(struct faults *faults, const char *file, unsigned int line, const char *key,
		const char *format, ...) G_GNUC_PRINTF(5, 6);
/* Writes one "file:line: key: text" line for each fault to @out. */
void faults_print(const struct faults *faults, FILE *out);

#endif
