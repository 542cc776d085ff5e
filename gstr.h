/* GString as the key of a hash table. */
#ifndef GSTR_H
#define GSTR_H

#include <glib.h>

static inline guint gstr_hash(gconstpointer key)
{
	return g_string_hash(key);
}

static inline gboolean gstr_equal(gconstpointer a, gconstpointer b)
{
	return g_string_equal(a, b);
}

static inline void gstr_free(gpointer str)
{
	g_string_free(str, TRUE);
}

#endif
