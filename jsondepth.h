/*
 * Parses JSON of which only the outer levels are needed. json-c allocates every value of a text and
 * rejects the whole text when one value is nested deeper than its limit: 1 MB of empty objects in
 * an array takes 276 MB of memory.
 */
#ifndef JSONDEPTH_H
#define JSONDEPTH_H

#include <json-c/json.h>
#include <stddef.h>

/*
 * Parses @bytes, which must be an object. Arrays and objects nested deeper than @max_depth levels
 * are read as null; the outermost object is level 1. Returns NULL when @bytes are malformed.
 */
json_object *json_parse_depth(const char *bytes, size_t len, unsigned int max_depth);

#endif
