/*
 * A state of the platform's store, ordered by the store's era and then by its revision. The store
 * increases its era when it is restored from an older copy, after which revisions are assigned
 * again, so a revision alone orders only the states of one era.
 */
#ifndef STOREVERSION_H
#define STOREVERSION_H

#include <stdbool.h>
#include <stdint.h>

#define STORE_REVISION_BITS 48
#define STORE_REVISION_MAX  ((INT64_C(1) << STORE_REVISION_BITS) - 1)
#define STORE_ERA_MAX	    INT16_MAX

/*
 * The era in 15 bits, the revision in the lower 48. Never negative. In era 0 the number equals the
 * revision, as messages and snapshots of instances that do not know eras have it.
 */
struct store_version {
	int64_t order;
};

#define STORE_VERSION_NONE ((struct store_version){ 0 })
#define STORE_VERSION_MAX  ((struct store_version){ INT64_MAX })

/* Revisions out of range become the nearest valid one. */
static inline struct store_version store_version_make(int64_t era, int64_t revision)
{
	if (revision < 0)
		revision = 0;
	if (revision > STORE_REVISION_MAX)
		revision = STORE_REVISION_MAX;
	return (struct store_version){ era << STORE_REVISION_BITS | revision };
}

static inline int64_t store_version_era(struct store_version version)
{
	return version.order >> STORE_REVISION_BITS;
}

static inline int64_t store_version_revision(struct store_version version)
{
	return version.order & STORE_REVISION_MAX;
}

/* Less than, equal to or greater than 0 as @a is older than, equal to or newer than @b. */
static inline int store_version_cmp(struct store_version a, struct store_version b)
{
	return (a.order > b.order) - (a.order < b.order);
}

static inline struct store_version store_version_max(struct store_version a, struct store_version b)
{
	return store_version_cmp(a, b) < 0 ? b : a;
}

/* Whether a version is known; that of an entry without a revision is not. */
static inline bool store_version_known(struct store_version version)
{
	return store_version_revision(version) > 0;
}

#endif
