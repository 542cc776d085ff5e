#include "waiting.h"

#include "timeutil.h"

/*
 * A caller gives up an unaccepted opening after 1.4 s and tries again from another port. One that
 * is placed just before that only occupies the target.
 */
#define OPENING_LIFE_MS 1300
/* An opening waits for half of its route's time-out at most: its caller keeps time to try again. */
#define LIMIT_DIVISOR 2
/*
 * Openings wait while the outage has lasted for at most this many times their route's time-out: the
 * probability of an end in time is then at least 1 in 5.
 */
#define OUTAGE_TIMEOUTS_MAX 4
/* The openings of 1,000 new flows a second for as long as an opening lives. */
#define WAITING_MAX	  1400
#define WAITING_MAX_BYTES (1u << 20)
/* After this time without an opening, nothing is known of what happened in between. */
#define OUTAGE_MEMORY_MS 10000

void waiting_init(struct waiting *wt)
{
	*wt = (struct waiting){ 0 };
	for (size_t i = 0; i < WAITING_PRIORITIES; i++)
		g_queue_init(&wt->by_priority[i]);
	wt->outages = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

void waiting_release(struct waiting *wt)
{
	g_hash_table_unref(wt->outages);
}

bool waiting_is_worthwhile(const struct admission_class *cls, int64_t outage_ms)
{
	return outage_ms < (int64_t)cls->timeout_ms * OUTAGE_TIMEOUTS_MAX;
}

int64_t waiting_limit_ms(const struct admission_class *cls)
{
	return MIN((int64_t)cls->timeout_ms / LIMIT_DIVISOR, OPENING_LIFE_MS);
}

static struct outage *find_outage(const struct waiting *wt, struct endpoint service)
{
	uint64_t key = address_key(service);

	return g_hash_table_lookup(wt->outages, &key);
}

struct outage *waiting_outage(struct waiting *wt, struct endpoint service, struct timespec now)
{
	uint64_t key = address_key(service);
	struct outage *outage = find_outage(wt, service);

	if (!outage) {
		outage = g_new0(struct outage, 1);
		outage->since = now;
		g_hash_table_insert(wt->outages, g_memdup2(&key, sizeof(key)), outage);
	} else if (ts_diff_ms(now, outage->observed) >= OUTAGE_MEMORY_MS) {
		outage->since = now;
	}
	outage->observed = now;
	return outage;
}

void waiting_end_outage(struct waiting *wt, struct endpoint service, struct timespec now)
{
	uint64_t key = address_key(service);
	struct outage *outage = find_outage(wt, service);

	if (outage && outage->nr_waiting)
		outage->since = now;
	else if (outage)
		g_hash_table_remove(wt->outages, &key);
}

uint32_t waiting_for(const struct waiting *wt, struct endpoint service)
{
	const struct outage *outage = wt->count ? find_outage(wt, service) : NULL;

	return outage ? outage->nr_waiting : 0;
}

static uint32_t queue_of(uint32_t priority)
{
	return MIN(priority, WAITING_PRIORITIES - 1);
}

bool waiting_add(struct waiting *wt, struct waiting_item *item)
{
	if (wt->count == WAITING_MAX || wt->bytes + item->size > WAITING_MAX_BYTES)
		return false;
	wt->count++;
	wt->bytes += item->size;
	find_outage(wt, item->service)->nr_waiting++;
	item->queued = true;
	g_queue_push_tail_link(&wt->by_priority[queue_of(item->priority)], &item->link);
	return true;
}

void waiting_remove(struct waiting *wt, struct waiting_item *item)
{
	if (!item->queued)
		return;
	wt->count--;
	wt->bytes -= item->size;
	find_outage(wt, item->service)->nr_waiting--;
	item->queued = false;
	g_queue_unlink(&wt->by_priority[queue_of(item->priority)], &item->link);
}

void *waiting_latest_below(const struct waiting *wt, uint32_t priority)
{
	for (uint32_t i = WAITING_PRIORITIES; i-- > queue_of(priority) + 1;) {
		if (wt->by_priority[i].tail)
			return wt->by_priority[i].tail->data;
	}
	return NULL;
}
