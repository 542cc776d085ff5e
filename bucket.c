#include "bucket.h"

#include <glib.h>
#include <string.h>

/* Mixes 64 bits; must be the same in all instances, as it orders targets in rendezvous hashing. */
static uint64_t mix_bits(uint64_t x)
{
	x ^= x >> 30;
	x *= 0xbf58476d1ce4e5b9ULL;
	x ^= x >> 27;
	x *= 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

static uint64_t rendezvous_rank(uint32_t bucket, const struct weighted_target *target)
{
	return mix_bits(target->key ^ mix_bits(bucket + 1));
}

/*
 * Number of buckets of a shard for the first @weight of @total weight. The shards round at
 * different offsets: over all shards the sum is 1024 * weight / total rounded down (Hermite's
 * identity), so each target is within one bucket of its exact share of the service.
 */
static uint32_t cumulative_quota(uint64_t weight, uint64_t total, uint32_t shard)
{
	return (uint32_t)((BUCKETS_PER_SERVICE * weight + shard * total) /
			  (SHARDS_PER_SERVICE * total));
}

static int compare_keys(const void *a, const void *b)
{
	const struct weighted_target *x = a;
	const struct weighted_target *y = b;

	return x->key < y->key ? -1 : x->key > y->key;
}

/* Quota of each target in a shard; the quotas add up to the buckets of the shard. */
static void compute_quotas(uint32_t shard, const struct weighted_target *sorted, size_t nr,
			   uint64_t total, uint32_t *quota)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < nr; i++) {
		uint32_t before = cumulative_quota(sum, total, shard);

		sum += sorted[i].weight;
		quota[i] = cumulative_quota(sum, total, shard) - before;
	}
}

static size_t find_target(const struct weighted_target *targets, size_t nr, uint32_t target)
{
	for (size_t i = 0; i < nr; i++)
		if (targets[i].target == target)
			return i;
	return nr;
}

void bucket_assign(uint32_t shard, const struct weighted_target *targets, size_t nr,
		   uint32_t current[BUCKETS_PER_SHARD])
{
	struct weighted_target *sorted;
	uint32_t *quota;
	uint64_t total = 0;

	for (size_t i = 0; i < nr; i++)
		total += targets[i].weight;
	if (!total) {
		for (size_t b = 0; b < BUCKETS_PER_SHARD; b++)
			current[b] = TARGET_NONE;
		return;
	}
	sorted = g_memdup2(targets, nr * sizeof(*targets));
	qsort(sorted, nr, sizeof(*sorted), compare_keys);
	quota = g_new0(uint32_t, nr);
	compute_quotas(shard, sorted, nr, total, quota);
	for (size_t b = 0; b < BUCKETS_PER_SHARD; b++) {
		size_t t = find_target(sorted, nr, current[b]);

		if (t < nr && quota[t])
			quota[t]--;
		else
			current[b] = TARGET_NONE;
	}
	for (uint32_t b = 0; b < BUCKETS_PER_SHARD; b++) {
		size_t best = nr;

		if (current[b] != TARGET_NONE)
			continue;
		for (size_t t = 0; t < nr; t++)
			if (quota[t] &&
			    (best == nr ||
			     rendezvous_rank(shard * BUCKETS_PER_SHARD + b, &sorted[t]) >
				     rendezvous_rank(shard * BUCKETS_PER_SHARD + b, &sorted[best])))
				best = t;
		g_assert(best < nr);
		quota[best]--;
		current[b] = sorted[best].target;
	}
	g_free(quota);
	g_free(sorted);
}

uint32_t bucket_alternate(uint32_t bucket, const struct weighted_target *targets, size_t nr,
			  uint32_t excluded)
{
	size_t best = nr;

	for (size_t i = 0; i < nr; i++)
		if (targets[i].target != excluded && targets[i].weight &&
		    (best == nr || rendezvous_rank(bucket, &targets[i]) >
					   rendezvous_rank(bucket, &targets[best])))
			best = i;
	return best < nr ? targets[best].target : TARGET_NONE;
}
