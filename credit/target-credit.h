/* The part of a registry entry that belongs to account.c. */
#ifndef CREDIT_TARGET_CREDIT_H
#define CREDIT_TARGET_CREDIT_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct target_credit {
	uint32_t in_use;	 /* requests and openings of this instance in progress */
	uint64_t virtual_time;	 /* of the weighted round robin; rises with each use */
	uint32_t grant;		 /* number of the latest grant with credits of it */
	uint16_t speed_permille; /* of the latest grant; 0 if unknown */
	bool observed;		 /* in the account's list of targets to report */
	struct timespec changed; /* busy_ms is complete up to then */

	/* Since the last report. */
	uint32_t completed;
	uint32_t rejected;
	uint32_t failed;
	uint32_t overdue;
	int64_t busy_ms; /* may be negative: what was reported too much */
};

#endif
