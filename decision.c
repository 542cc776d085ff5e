#include "decision.h"

#include <stdarg.h>

#include "address.h"
#include "log.h"
#include "timeutil.h"

/* Maximum burst and average rate of the lines of one kind. */
#define LOG_BURST_LINES 40
#define LOG_LINES_PER_S 20

static const char *const kind_names[DECISION_KINDS] = {
	[DECISION_OPEN] = "open",     [DECISION_ACCEPT] = "accept",   [DECISION_REFUSE] = "refuse",
	[DECISION_ADOPT] = "adopt",   [DECISION_STALL] = "stall",     [DECISION_RESET] = "reset",
	[DECISION_DROP] = "drop",     [DECISION_TARGET] = "target",   [DECISION_CONFIG] = "config",
	[DECISION_STORE] = "store",   [DECISION_PROCESS] = "process", [DECISION_WAIT] = "wait",
	[DECISION_CREDIT] = "credit",
};

struct line_budget {
	struct timespec filled;
	int64_t tokens; /* in thousandths of a line */
	uint64_t suppressed;
};

static struct {
	struct line_budget budgets[DECISION_KINDS];
	struct edge_counters *counters;
} decisions;

void decision_init(struct edge_counters *counters)
{
	decisions.counters = counters;
	for (size_t i = 0; i < DECISION_KINDS; i++)
		decisions.budgets[i] = (struct line_budget){ .tokens = LOG_BURST_LINES * 1000 };
}

static void fill_budget(struct line_budget *budget, struct timespec now)
{
	int64_t passed = ts_diff_ms(now, budget->filled);

	if (passed > 0) {
		budget->filled = now;
		budget->tokens = MIN(budget->tokens + passed * LOG_LINES_PER_S,
				     (int64_t)LOG_BURST_LINES * 1000);
	}
}

static bool take_token(struct line_budget *budget, struct timespec now)
{
	fill_budget(budget, now);
	if (budget->tokens < 1000)
		return false;
	budget->tokens -= 1000;
	return true;
}

bool decision_is_logged(enum decision_kind kind, struct timespec now)
{
	struct line_budget *budget = &decisions.budgets[kind];

	if (!decisions.counters)
		return false;
	fill_budget(budget, now);
	return budget->tokens >= 1000;
}

void decision_log(enum decision_kind kind, struct timespec now, const char *format, ...)
{
	struct line_budget *budget = &decisions.budgets[kind];
	char text[512];
	va_list args;

	if (!decisions.counters)
		return;
	if (!take_token(budget, now)) {
		budget->suppressed++;
		decisions.counters->log_lines_limited++;
		return;
	}
	va_start(args, format);
	g_vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	decisions.counters->log_lines++;
	if (budget->suppressed)
		log_event(LOG_LEVEL_INFO, "event=%s %s left_out=%" G_GUINT64_FORMAT,
			  kind_names[kind], text, budget->suppressed);
	else
		log_event(LOG_LEVEL_INFO, "event=%s %s", kind_names[kind], text);
	budget->suppressed = 0;
	decisions.counters->log_lines_lost = log_lost();
}

const char *flow_text(const struct flow_addr *addr, char text[FLOW_TEXT_LEN])
{
	char caller[ENDPOINT_TEXT_LEN];
	char service[ENDPOINT_TEXT_LEN];

	endpoint_format(addr->caller, caller);
	endpoint_format(addr->service, service);
	g_snprintf(text, FLOW_TEXT_LEN, "%s>%s", caller, service);
	return text;
}
