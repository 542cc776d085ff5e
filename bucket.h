/*
 * Buckets of a service, 1024 in 16 shards, with base and current target and mode as this instance
 * knows them; and the assignment of current targets.
 */
#ifndef BUCKET_H
#define BUCKET_H

#include "config.h"
#include "ctx.h"

#define BUCKETS_PER_SERVICE 1024
#define SHARDS_PER_SERVICE  16
#define BUCKETS_PER_SHARD   (BUCKETS_PER_SERVICE / SHARDS_PER_SERVICE)

enum bucket_mode {
	BUCKET_UNASSIGNED = PEER_BUCKET_UNASSIGNED,
	BUCKET_SINGLE = PEER_BUCKET_SINGLE,
	BUCKET_SHARED = PEER_BUCKET_SHARED,
};

struct bucket {
	uint32_t base; /* interned targets, TARGET_NONE when unassigned */
	uint32_t current;
	uint8_t mode;
};

static inline uint32_t bucket_of(uint64_t flow)
{
	return (uint32_t)(flow % BUCKETS_PER_SERVICE);
}

static inline uint32_t shard_of(uint64_t flow)
{
	return bucket_of(flow) / BUCKETS_PER_SHARD;
}

struct weighted_target {
	uint32_t target;
	uint32_t weight;
	uint64_t key; /* stable hash of its endpoint, the same on all instances */
};

/*
 * Assigns the current targets of one shard. @current holds the old targets (TARGET_NONE when
 * unassigned) and gets the new ones. Cumulative rounding divides the quotas among the shards, so
 * that over all shards each target is within one bucket of its exact share. A bucket keeps its
 * target while that is in the list and within its quota.
 */
void bucket_assign(uint32_t shard, const struct weighted_target *targets, size_t nr,
		   uint32_t current[BUCKETS_PER_SHARD]);

/* Target of positive weight that ranks highest for a bucket, except @excluded, or TARGET_NONE. */
uint32_t bucket_alternate(uint32_t bucket, const struct weighted_target *targets, size_t nr,
			  uint32_t excluded);

#endif
