/* Context of a call into the core: time, random numbers, counters and the list of actions. */
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
