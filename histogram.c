#include "histogram.h"

#include <inttypes.h>

#include "metrics.h"

static const uint32_t bounds_ms[HISTOGRAM_BUCKETS] = { 1,   2,	 5,    10,   20,   50,	  100,
						       200, 500, 1000, 2000, 5000, 10000, 30000 };

void histogram_add(struct histogram *hist, int64_t ms)
{
	size_t i = 0;

	ms = MAX(ms, 0);
	while (i < HISTOGRAM_BUCKETS && ms > bounds_ms[i])
		i++;
	hist->counts[i]++;
	hist->sum_ms += (uint64_t)ms;
	hist->total++;
}

void histogram_write(GString *out, const struct histogram *hist, const char *name, const char *help)
{
	uint64_t below = 0;

	g_string_append_printf(out,
			       "# HELP " METRICS_PREFIX "%s %s\n"
			       "# TYPE " METRICS_PREFIX "%s histogram\n",
			       name, help, name);
	for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		below += hist->counts[i];
		g_string_append_printf(out,
				       METRICS_PREFIX "%s_bucket{le=\"%u.%03u\"} %" PRIu64 "\n",
				       name, bounds_ms[i] / 1000, bounds_ms[i] % 1000, below);
	}
	g_string_append_printf(out, METRICS_PREFIX "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n", name,
			       hist->total);
	g_string_append_printf(out,
			       METRICS_PREFIX "%s_sum %" PRIu64 ".%03" PRIu64 "\n" METRICS_PREFIX
					      "%s_count %" PRIu64 "\n",
			       name, hist->sum_ms / 1000, hist->sum_ms % 1000, name, hist->total);
}
