/*
 * Guards against an assignment that gives a target more or less than its share, that differs
 * between instances, or that moves more buckets than a change needs.
 */
#include <glib.h>
#include <math.h>

#include "bucket.h"

#define TARGETS 20

static size_t make_targets(struct weighted_target *targets, const uint32_t *weights, size_t nr)
{
	for (uint32_t i = 0; i < nr; i++)
		targets[i] =
			(struct weighted_target){ i, weights[i], (i + 1) * 0x517cc1b727220a95ULL };
	return nr;
}

static void assign_all(uint32_t *current, const struct weighted_target *targets, size_t nr)
{
	for (uint32_t s = 0; s < SHARDS_PER_SERVICE; s++)
		bucket_assign(s, targets, nr, current + s * BUCKETS_PER_SHARD);
}

static void test_share(void)
{
	const struct {
		size_t nr;
		uint32_t weights[TARGETS];
	} cases[] = {
		{ 14, { 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1 } },
		{ 4, { 2000, 2000, 2000, 2000 } },
		{ 5, { 1, 1000, 7, 333, 50 } },
		{ 1, { 9 } },
		{ 20, { 5, 4, 3, 2, 1, 5, 4, 3, 2, 1, 5, 4, 3, 2, 1, 5, 4, 3, 2, 1 } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct weighted_target targets[TARGETS];
		uint32_t current[BUCKETS_PER_SERVICE];
		uint32_t count[TARGETS] = { 0 };
		double total = 0;

		make_targets(targets, cases[i].weights, cases[i].nr);
		for (size_t b = 0; b < BUCKETS_PER_SERVICE; b++)
			current[b] = TARGET_NONE;
		assign_all(current, targets, cases[i].nr);
		for (size_t b = 0; b < BUCKETS_PER_SERVICE; b++)
			count[current[b]]++;
		for (size_t t = 0; t < cases[i].nr; t++)
			total += cases[i].weights[t];
		for (size_t t = 0; t < cases[i].nr; t++)
			g_assert_cmpfloat(
				fabs(count[t] - BUCKETS_PER_SERVICE * cases[i].weights[t] / total),
				<=, 1.0);
	}
}

static void test_moves(void)
{
	const uint32_t weights[TARGETS] = { 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1 };
	struct weighted_target targets[TARGETS];
	uint32_t before[BUCKETS_PER_SERVICE], after[BUCKETS_PER_SERVICE];
	uint32_t moved = 0, on_removed = 0;
	size_t nr = make_targets(targets, weights, 14);

	for (size_t b = 0; b < BUCKETS_PER_SERVICE; b++)
		before[b] = TARGET_NONE;
	assign_all(before, targets, nr);
	memcpy(after, before, sizeof(before));
	assign_all(after, targets, nr);
	g_assert_cmpmem(before, sizeof(before), after, sizeof(after));
	/* Without the last target, its 73 or so buckets move, and others only to balance quotas. */
	assign_all(after, targets, nr - 1);
	for (size_t b = 0; b < BUCKETS_PER_SERVICE; b++) {
		moved += before[b] != after[b];
		on_removed += after[b] == 13;
	}
	g_assert_cmpuint(on_removed, ==, 0);
	g_assert_cmpuint(moved, <=, 2 * BUCKETS_PER_SERVICE / 14);
	/* No target at all: nothing is assigned. */
	assign_all(after, targets, 0);
	g_assert_cmpuint(after[0], ==, TARGET_NONE);
}

static void test_alternate(void)
{
	const uint32_t weights[TARGETS] = { 1, 1, 0, 1 };
	struct weighted_target targets[TARGETS];
	uint32_t count[4] = { 0 };

	make_targets(targets, weights, 4);
	for (uint32_t b = 0; b < BUCKETS_PER_SERVICE; b++)
		count[bucket_alternate(b, targets, 4, 0)]++;
	g_assert_cmpuint(count[0] + count[2], ==, 0);
	g_assert_cmpuint(count[1], >, 400);
	g_assert_cmpuint(count[3], >, 400);
	g_assert_cmpuint(bucket_alternate(5, targets, 1, 0), ==, TARGET_NONE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/bucket/share", test_share);
	g_test_add_func("/bucket/moves", test_moves);
	g_test_add_func("/bucket/alternate", test_alternate);
	return g_test_run();
}
