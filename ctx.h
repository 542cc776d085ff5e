/* What every module of the core gets with a call: the time, random numbers, counters, and a place
 * for actions. */
#ifndef CTX_H
#define CTX_H

#include "counters.h"
#include "event.h"
#include "random.h"

struct ctx {
	struct timespec now;
	struct actions *out;
	struct random *random;
	struct counters *counters;
};

#endif
