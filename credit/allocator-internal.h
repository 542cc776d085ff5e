/* State of the allocator, shared by the division of credits and the computation of shares. */
#ifndef CREDIT_ALLOCATOR_INTERNAL_H
#define CREDIT_ALLOCATOR_INTERNAL_H

#include "credit/allocator.h"

enum credit_kind {
	KIND_SLOT,
	KIND_QUEUE,
	KINDS,
};

/* Amounts are in thousandths of a slot of a target of mean speed. */
struct holder {
	uint32_t id;
	uint32_t round; /* the last one that listed it */
	int64_t joined_ms;
	bool borrower;
	double wanted;	  /* of a borrower */
	double demand;	  /* of a borrower, less what others lend */
	double important; /* of it, of priorities 0 and 1 */
	double capacity;  /* of a borrower's own targets */
	double lent;	  /* to a borrower */
	double demand_high;
	double demand_low;
	double weight;
	double share[KINDS];
	double held[KINDS];
	double past[KINDS]; /* decayed sum of the deficits of past rounds */
	double rank;
	bool full;	 /* holds its share rounded up */
	size_t pos;	 /* in the heap */
	GArray *entries; /* struct credit_entry */
};

struct credit {
	struct holder *holder;
	int64_t until_ms; /* end of the tenure */
};

/* The credits of one target. */
struct pool {
	uint64_t key;
	uint32_t round;
	uint32_t slots; /* in part, if it is left out in part */
	uint32_t speed_permille;
	uint32_t capacity_permille;
	bool cold_limited;
	bool lent;
	uint32_t queue;		/* of a lent target */
	double load;		/* expected in this round, for each slot and by speed */
	double excess;		/* decayed sum of the load beyond the mean of the targets */
	GArray *credits[KINDS]; /* struct credit */
};

/* A credit to be given in this round. */
struct free_credit {
	struct pool *pool;
	struct holder *previous;
	uint32_t index;
};

struct allocator {
	struct random *random;
	GHashTable *pools;    /* key to struct pool */
	GHashTable *holders;  /* identifier to struct holder */
	GPtrArray *targets;   /* pools in the order of the round */
	GPtrArray *members;   /* holders in the order of the round */
	GPtrArray *borrowers; /* likewise */
	GPtrArray *heap;      /* members by rank, the highest first */
	GArray *released;     /* struct free_credit */
	uint32_t round;
	int64_t now_ms;
	double mean_credit; /* of the kind that is being divided */
	int64_t shortage_milli;
	int64_t demand_milli;
	int64_t important_milli;
	int64_t capacity_milli;
	double spare;	  /* slots that neither members nor borrowers need */
	double left_free; /* of them, given to nobody in the last round */
};

static inline struct credit *credit_at(const struct pool *pool, enum credit_kind kind,
				       uint32_t index)
{
	return &g_array_index(pool->credits[kind], struct credit, index);
}

/* Sum of the credits of a kind; only those of the data centre's own targets with @own. */
double allocator_sum_credits(const struct allocator *al, enum credit_kind kind, bool own);
/* Sets the shares of all holders, the shortage and what is to spare. */
void allocator_set_shares(struct allocator *al, const struct alloc_round *round);
/* Updates the excess load of targets by the credits that were given. */
void allocator_note_loads(struct allocator *al);

#endif
