#include "transfer.h"

#include "timeutil.h"

/* Answers of the usual length arrive within a few milliseconds. */
#define SLOW_TRANSFER_MS 50

static bool is_slow(const struct transfer *tr, struct timespec now)
{
	return tr->begun.tv_sec && ts_diff_ms(now, tr->begun) >= SLOW_TRANSFER_MS;
}

void transfer_begin(struct transfer *tr, struct timespec now)
{
	tr->begun = now;
}

void transfer_end(struct transfer *tr, struct timespec now)
{
	if (is_slow(tr, now))
		tr->ended = now;
	tr->begun = (struct timespec){ 0 };
}

bool transfer_was_slow(const struct transfer *tr, struct timespec since, struct timespec now)
{
	return is_slow(tr, now) || (tr->ended.tv_sec && ts_cmp(tr->ended, since) >= 0);
}
