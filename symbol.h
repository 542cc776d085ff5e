/* Interned names of services and data centres: each is represented by a small number. */
#ifndef SYMBOL_H
#define SYMBOL_H

#include <glib.h>
#include <stdint.h>

#define SYMBOL_NONE UINT32_MAX

struct symbols {
	GPtrArray *names;    /* GString, indexed by symbol */
	GHashTable *by_name; /* GString to symbol + 1 */
};

void symbols_init(struct symbols *syms);
void symbols_release(struct symbols *syms);

/* The symbol of @name, added if it is new. Symbols are valid until the table is released. */
uint32_t symbols_intern(struct symbols *syms, const char *name);
/* The symbol of @name, or SYMBOL_NONE when it is not in the table. */
uint32_t symbols_find(const struct symbols *syms, const char *name);
/* The name of @sym, "" for SYMBOL_NONE. */
const char *symbols_name(const struct symbols *syms, uint32_t sym);

#endif
