#include "shard.h"

#define NO_TARGET   0xffu
#define INDEX_SHIFT 18
#define MODE_SHIFT  16
#define BASE_SHIFT  8
#define MODE_MASK   3u
#define TARGET_MASK 0xffu

static peer_target encode_target(const struct target_config *tc)
{
	return (peer_target){ .ip = tc->ep.ip, .port_flags = (uint32_t)tc->ep.port << 16 };
}

/* Position of a target in the message's list of targets, to which it is added when missing. */
static uint32_t target_position(const struct homes *homes, struct encoded_table *table,
				uint32_t target)
{
	const struct target_config *tc = config_target_by_index(homes->cfg, target, NULL);
	u_int i;

	if (!tc)
		return NO_TARGET;
	for (i = 0; i < table->nr_targets; i++)
		if (table->ids[i] == target)
			return i;
	table->ids[i] = target;
	table->targets[i] = encode_target(tc);
	table->nr_targets++;
	return i;
}

peer_buckets table_encode(const struct homes *homes, const struct shard *shard, uint32_t since,
			  struct encoded_table *table)
{
	table->nr_targets = 0;
	table->nr_buckets = 0;
	for (uint32_t b = 0; b < BUCKETS_PER_SHARD; b++) {
		const struct bucket *bucket = &shard->buckets[b];

		if (shard->lead && since && shard->lead->changed[b] <= since)
			continue;
		table->buckets[table->nr_buckets++] =
			b << INDEX_SHIFT | (uint32_t)bucket->mode << MODE_SHIFT |
			target_position(homes, table, bucket->base) << BASE_SHIFT |
			target_position(homes, table, bucket->current);
	}
	return (peer_buckets){
		.targets = { table->nr_targets, table->targets },
		.buckets = { table->nr_buckets, table->buckets },
	};
}

uint32_t table_index(u_int word)
{
	return word >> INDEX_SHIFT;
}

bool table_shared(u_int word)
{
	return (word >> MODE_SHIFT & MODE_MASK) == BUCKET_SHARED;
}

static bool valid_position(const peer_buckets *msg, uint32_t position)
{
	return position == NO_TARGET || position < msg->targets.targets_len;
}

static bool well_formed(const peer_buckets *msg)
{
	for (u_int i = 0; i < msg->buckets.buckets_len; i++) {
		u_int word = msg->buckets.buckets_val[i];

		if (table_index(word) >= BUCKETS_PER_SHARD ||
		    (word >> MODE_SHIFT & MODE_MASK) > BUCKET_SHARED ||
		    !valid_position(msg, word >> BASE_SHIFT & TARGET_MASK) ||
		    !valid_position(msg, word & TARGET_MASK))
			return false;
	}
	return true;
}

static uint32_t decode_target(const struct homes *homes, const struct shard *shard,
			      const peer_buckets *msg, uint32_t position)
{
	const struct target_config *tc;
	const peer_target *target;

	if (position == NO_TARGET)
		return TARGET_NONE;
	target = &msg->targets.targets_val[position];
	tc = config_target(homes->cfg, shard->owner->svc,
			   (struct endpoint){
				   .ip = target->ip,
				   .port = (uint16_t)(target->port_flags >> 16),
			   });
	return tc ? tc->index : TARGET_NONE;
}

bool table_apply(struct homes *homes, struct ctx *ctx, struct shard *shard, const peer_buckets *msg)
{
	if (!well_formed(msg))
		return false;
	for (u_int i = 0; i < msg->buckets.buckets_len; i++) {
		u_int word = msg->buckets.buckets_val[i];
		uint32_t b = table_index(word);
		uint32_t base = decode_target(homes, shard, msg, word >> BASE_SHIFT & TARGET_MASK);

		if (shard->known && shard->buckets[b].base != base)
			shard->base_changed_ms[b] = flowtab_ms(homes->tab, ctx->now);
		shard->buckets[b] = (struct bucket){
			.base = base,
			.current = decode_target(homes, shard, msg, word & TARGET_MASK),
			.mode = (uint8_t)(word >> MODE_SHIFT & MODE_MASK),
		};
	}
	shard->known = true;
	return true;
}
