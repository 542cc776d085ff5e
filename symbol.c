#include "symbol.h"

#include "gstr.h"

void symbols_init(struct symbols *syms)
{
	syms->names = g_ptr_array_new_with_free_func(gstr_free);
	syms->by_name = g_hash_table_new(gstr_hash, gstr_equal);
}

void symbols_release(struct symbols *syms)
{
	g_hash_table_unref(syms->by_name);
	g_ptr_array_unref(syms->names);
}

uint32_t symbols_intern(struct symbols *syms, const char *name)
{
	GString *str = g_string_new(name);
	gpointer found = g_hash_table_lookup(syms->by_name, str);

	if (found) {
		g_string_free(str, TRUE);
		return GPOINTER_TO_UINT(found) - 1;
	}
	g_ptr_array_add(syms->names, str);
	g_hash_table_insert(syms->by_name, str, GUINT_TO_POINTER(syms->names->len));
	return syms->names->len - 1;
}

uint32_t symbols_find(const struct symbols *syms, const char *name)
{
	GString *str = g_string_new(name);
	gpointer found = g_hash_table_lookup(syms->by_name, str);

	g_string_free(str, TRUE);
	return found ? GPOINTER_TO_UINT(found) - 1 : SYMBOL_NONE;
}

const char *symbols_name(const struct symbols *syms, uint32_t sym)
{
	const GString *name;

	if (sym >= syms->names->len)
		return "";
	name = g_ptr_array_index(syms->names, sym);
	return name->str;
}
