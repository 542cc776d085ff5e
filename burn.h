/*
 * Service-level burn: how fast a service spends its error budget, from sampled counters of good and
 * bad flows.
 *
 * The budget of a period is the share of its flows that may be bad. The burn rate of a window is
 * the share of bad flows in it over that allowed share: at 1 the budget lasts exactly the period.
 * A pair of windows raises an alarm when the burn rates of both exceed its threshold: the long
 * window shows that the loss is significant, the short one that it continues.
 */
#ifndef BURN_H
#define BURN_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#define BURN_NR_PAIRS	 3
#define BURN_PERIOD_DAYS 30
#define BURN_DEFAULT_SLO 999 /* permille */
#define BURN_MAX_CAUSES	 5
#define BURN_PLOT_POINTS 120

struct burn_window {
	int64_t seconds;
	uint64_t good;
	uint64_t bad;
	double rate;  /* burn rate, 0 without flows */
	bool partial; /* the samples do not reach back that far */
};

struct burn_pair {
	struct burn_window longer;
	struct burn_window shorter;
	double threshold;
	bool alarm;
};

/* Bad flows of one target or data centre. */
struct burn_cause {
	char *name;
	uint64_t bad;
	uint32_t share_permille; /* of the bad flows of the period */
};

struct burn_point {
	int64_t at;
	double rate;  /* of the hour before */
	double spent; /* share of the period's budget */
};

struct burn_service {
	char *name; /* ORGANISATION/SERVICE */
	uint32_t slo_permille;
	uint64_t good; /* in the period, as far as there are samples */
	uint64_t bad;
	int64_t covered_s; /* part of the period that has samples */
	double budget;	   /* flows that may be bad in a whole period at the observed traffic */
	double spent;	   /* share of the budget, may exceed 1 */
	double left_s;	   /* seconds until it is spent at the last hour's rate, < 0 for never */
	struct burn_pair pairs[BURN_NR_PAIRS];
	GPtrArray *data_centres; /* struct burn_cause, the worst first */
	GPtrArray *targets;
	GArray *points; /* struct burn_point */
};

struct burn;

struct burn *burn_new(void);
void burn_free(struct burn *burn);

/*
 * Adds one sample, a JSON object with time (seconds), organisation, service, data_centre, target,
 * instance, the counters good and bad, and optionally slo_permille. Counters are monotonic and
 * start at 0 with the instance. Returns 0, or -EBADMSG when the sample is malformed or older than
 * the last one of its counters.
 */
int burn_add(struct burn *burn, const char *line);

/*
 * Appends the samples of a status.json to @out, one line each, as burn_add() takes them; @now is
 * their time in seconds. Returns their number.
 */
size_t burn_samples(json_object *status, int64_t now, GString *out);

/*
 * Returns a struct burn_service for each service, sorted by name; free with g_ptr_array_unref().
 * @now is the end of the windows in seconds, 0 for the time of the last sample.
 */
GPtrArray *burn_report(const struct burn *burn, int64_t now, uint32_t period_days);

/* Append or return the report as text, JSON and a self-contained HTML page. */
void burn_print_text(const GPtrArray *services, GString *out);
json_object *burn_to_json(const GPtrArray *services);
void burn_print_html(const GPtrArray *services, GString *out);

#endif
