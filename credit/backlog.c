#include "credit/backlog.h"

#include "timeutil.h"

/* The openings of 1,000 new flows a second for as long as a caller waits for an acceptance. */
#define BACKLOG_MAX	  1400
#define BACKLOG_MAX_BYTES (1u << 20)
/*
 * In a queue of this length or more, a caller address that has more than a quarter of the openings
 * adds none. Four callers with equal shares can still fill the backlog.
 */
#define CALLER_FREE_PLACES 8
#define CALLER_DIVISOR	   4
/* One in so many placements goes to a lower priority. */
#define LOWER_INTERVAL 16
/* Longer waits make requests late without serving more of them. */
#define GOAL_DIVISOR_HIGH  2
#define GOAL_DIVISOR_LOW   4
#define HIGH_PRIORITY_LAST 1
#define TIMEOUT_DIVISOR	   2
/* A caller gives up an unaccepted opening after 1.4 s. */
#define OPENING_LIFE_MS 1300

struct backlog_queue {
	GQueue items;	     /* struct backlog_item, oldest first */
	GHashTable *callers; /* address to the number of its openings */
};

struct backlog_service {
	uint32_t service;
	struct backlog_queue queues[CREDIT_PRIORITIES];
	uint32_t count;
	uint32_t placed; /* while several priorities waited */
};

struct backlog {
	GHashTable *services; /* symbol to struct backlog_service */
	uint32_t count;
	size_t bytes;
};

static void free_service(void *arg)
{
	struct backlog_service *svc = arg;

	for (size_t i = 0; i < CREDIT_PRIORITIES; i++)
		g_hash_table_unref(svc->queues[i].callers);
	g_free(svc);
}

struct backlog *backlog_new(void)
{
	struct backlog *bl = g_new0(struct backlog, 1);

	bl->services = g_hash_table_new_full(NULL, NULL, NULL, free_service);
	return bl;
}

void backlog_free(struct backlog *bl)
{
	if (!bl)
		return;
	g_hash_table_unref(bl->services);
	g_free(bl);
}

static struct backlog_service *find_service(const struct backlog *bl, uint32_t service)
{
	return g_hash_table_lookup(bl->services, GUINT_TO_POINTER(service));
}

static struct backlog_service *get_service(struct backlog *bl, uint32_t service)
{
	struct backlog_service *svc = find_service(bl, service);

	if (svc)
		return svc;
	svc = g_new0(struct backlog_service, 1);
	svc->service = service;
	for (size_t i = 0; i < CREDIT_PRIORITIES; i++) {
		g_queue_init(&svc->queues[i].items);
		svc->queues[i].callers = g_hash_table_new(NULL, NULL);
	}
	g_hash_table_insert(bl->services, GUINT_TO_POINTER(service), svc);
	return svc;
}

static struct backlog_queue *queue_of(struct backlog_service *svc, uint32_t priority)
{
	return &svc->queues[credit_priority(priority)];
}

static uint32_t caller_count(const struct backlog_queue *queue, uint32_t caller)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(queue->callers, GUINT_TO_POINTER(caller)));
}

static void set_caller_count(struct backlog_queue *queue, uint32_t caller, uint32_t count)
{
	if (count)
		g_hash_table_insert(queue->callers, GUINT_TO_POINTER(caller),
				    GUINT_TO_POINTER(count));
	else
		g_hash_table_remove(queue->callers, GUINT_TO_POINTER(caller));
}

static bool has_share(const struct backlog_queue *queue, uint32_t caller)
{
	return queue->items.length >= CALLER_FREE_PLACES &&
	       caller_count(queue, caller) * CALLER_DIVISOR > queue->items.length;
}

bool backlog_has_share(const struct backlog *bl, const struct backlog_item *item)
{
	struct backlog_service *svc = find_service(bl, item->service);

	return svc && has_share(queue_of(svc, item->priority), item->caller);
}

bool backlog_is_full(const struct backlog *bl, size_t size)
{
	return bl->count >= BACKLOG_MAX || bl->bytes + size > BACKLOG_MAX_BYTES;
}

bool backlog_add(struct backlog *bl, struct backlog_item *item)
{
	struct backlog_service *svc = get_service(bl, item->service);
	struct backlog_queue *queue = queue_of(svc, item->priority);

	if (backlog_is_full(bl, item->size) || has_share(queue, item->caller))
		return false;
	bl->count++;
	bl->bytes += item->size;
	svc->count++;
	set_caller_count(queue, item->caller, caller_count(queue, item->caller) + 1);
	g_queue_push_tail_link(&queue->items, &item->link);
	item->queued = true;
	return true;
}

void backlog_remove(struct backlog *bl, struct backlog_item *item)
{
	struct backlog_service *svc;
	struct backlog_queue *queue;

	if (!item->queued)
		return;
	svc = find_service(bl, item->service);
	queue = queue_of(svc, item->priority);
	bl->count--;
	bl->bytes -= item->size;
	svc->count--;
	set_caller_count(queue, item->caller, caller_count(queue, item->caller) - 1);
	g_queue_unlink(&queue->items, &item->link);
	item->queued = false;
}

static struct backlog_item *item_of(GList *link)
{
	return (struct backlog_item *)link;
}

/* How many waiting priorities the next placement skips: 1 in 16, or 2 in one of 256. */
static uint32_t nr_skipped(const struct backlog_service *svc)
{
	uint32_t skipped = 0;

	for (uint32_t nr = svc->placed + 1; nr % LOWER_INTERVAL == 0 && skipped < CREDIT_PRIORITIES;
	     nr /= LOWER_INTERVAL)
		skipped++;
	return skipped;
}

struct backlog_item *backlog_next(struct backlog *bl, uint32_t service)
{
	struct backlog_service *svc = find_service(bl, service);
	struct backlog_item *item = NULL;
	uint32_t skipped;

	if (!svc || !svc->count)
		return NULL;
	skipped = nr_skipped(svc);
	for (size_t i = 0; i < CREDIT_PRIORITIES; i++) {
		if (!svc->queues[i].items.head)
			continue;
		item = item_of(svc->queues[i].items.head);
		if (!skipped--)
			break;
	}
	return item;
}

void backlog_placed(struct backlog *bl, struct backlog_item *item)
{
	struct backlog_service *svc = find_service(bl, item->service);

	/* Placements without a choice of priorities do not count. */
	if (svc->count > queue_of(svc, item->priority)->items.length)
		svc->placed++;
	backlog_remove(bl, item);
}

bool backlog_is_expired(const struct backlog_item *item, struct timespec now)
{
	return ts_diff_ms(now, item->since) >= item->limit_ms;
}

struct backlog_item *backlog_expired(struct backlog *bl, struct timespec now)
{
	GHashTableIter iter;
	gpointer val;

	g_hash_table_iter_init(&iter, bl->services);
	while (bl->count && g_hash_table_iter_next(&iter, NULL, &val)) {
		struct backlog_service *svc = val;

		for (size_t i = 0; i < CREDIT_PRIORITIES; i++) {
			for (GList *link = svc->queues[i].items.head; link; link = link->next) {
				struct backlog_item *item = item_of(link);

				if (backlog_is_expired(item, now))
					return item;
			}
		}
	}
	return NULL;
}

struct backlog_item *backlog_latest_below(struct backlog *bl, uint32_t priority)
{
	struct backlog_item *latest = NULL;
	GHashTableIter iter;
	gpointer val;

	for (uint32_t i = CREDIT_PRIORITIES; !latest && i-- > credit_priority(priority) + 1;) {
		g_hash_table_iter_init(&iter, bl->services);
		while (g_hash_table_iter_next(&iter, NULL, &val)) {
			struct backlog_service *svc = val;
			GList *tail = svc->queues[i].items.tail;

			if (tail && (!latest || ts_cmp(item_of(tail)->since, latest->since) > 0))
				latest = item_of(tail);
		}
	}
	return latest;
}

struct backlog_item *backlog_first(struct backlog *bl)
{
	GHashTableIter iter;
	gpointer val;

	g_hash_table_iter_init(&iter, bl->services);
	while (bl->count && g_hash_table_iter_next(&iter, NULL, &val)) {
		struct backlog_service *svc = val;

		for (size_t i = 0; i < CREDIT_PRIORITIES; i++) {
			if (svc->queues[i].items.head)
				return item_of(svc->queues[i].items.head);
		}
	}
	return NULL;
}

uint32_t backlog_count(const struct backlog *bl)
{
	return bl->count;
}

uint32_t backlog_waiting(const struct backlog *bl, uint32_t service, uint32_t priority)
{
	struct backlog_service *svc = find_service(bl, service);

	return svc ? queue_of(svc, priority)->items.length : 0;
}

uint32_t backlog_waiting_all(const struct backlog *bl, uint32_t priority)
{
	uint32_t nr = 0;
	GHashTableIter iter;
	gpointer svc;

	g_hash_table_iter_init(&iter, bl->services);
	while (g_hash_table_iter_next(&iter, NULL, &svc))
		nr += queue_of(svc, priority)->items.length;
	return nr;
}

void backlog_each_service(struct backlog *bl, void (*fn)(uint32_t service, void *arg), void *arg)
{
	GArray *services;
	GHashTableIter iter;
	gpointer val;

	if (!bl->count)
		return;
	services = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_iter_init(&iter, bl->services);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct backlog_service *svc = val;

		if (svc->count)
			g_array_append_val(services, svc->service);
	}
	for (guint i = 0; i < services->len; i++)
		fn(g_array_index(services, uint32_t, i), arg);
	g_array_unref(services);
}

int64_t backlog_predict_ms(const struct backlog *bl, uint32_t service, uint32_t priority,
			   uint32_t returned_per_s)
{
	int64_t ahead = 0;

	for (uint32_t i = 0; i <= credit_priority(priority); i++)
		ahead += backlog_waiting(bl, service, i);
	return returned_per_s ? (ahead + 1) * MSEC_PER_SEC / returned_per_s : INT64_MAX;
}

int64_t backlog_limit_ms(const struct admission_class *cls)
{
	bool high = cls->priority <= HIGH_PRIORITY_LAST;
	int64_t limit = cls->goal_ms / (high ? GOAL_DIVISOR_HIGH : GOAL_DIVISOR_LOW);

	if (cls->timeout_ms)
		limit = MIN(limit, (int64_t)cls->timeout_ms / TIMEOUT_DIVISOR);
	return MIN(limit, OPENING_LIFE_MS);
}
