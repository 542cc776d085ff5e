/* Histogram of durations in milliseconds with fixed bounds, exported as a cumulative metric. */
#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

#define HISTOGRAM_BUCKETS 14

struct histogram {
	uint64_t counts[HISTOGRAM_BUCKETS + 1]; /* the last one: above all bounds */
	uint64_t sum_ms;
	uint64_t total;
};

/* Negative values count as 0. */
void histogram_add(struct histogram *hist, int64_t ms);
/* Appends the histogram as metric @name in the text exposition format, in seconds. */
void histogram_write(GString *out, const struct histogram *hist, const char *name,
		     const char *help);

#endif
