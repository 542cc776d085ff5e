/* Output of steer.c that discards everything, for tests of the data behind its decisions. */
#ifndef SILENT_OUT_H
#define SILENT_OUT_H

#include "steer.h"

static void null_forward(struct steer_out *out, const struct reg_target *tgt, uint32_t mark,
			 const uint8_t *bytes, size_t size)
{
	(void)out;
	(void)tgt;
	(void)mark;
	(void)bytes;
	(void)size;
}

static void null_reset(struct steer_out *out, const struct flow_addr *addr, uint32_t seq)
{
	(void)out;
	(void)addr;
	(void)seq;
}

static void null_probe(struct steer_out *out, struct reg_target *tgt, unsigned int nr)
{
	(void)out;
	(void)tgt;
	(void)nr;
}

static const struct steer_out_ops null_out_ops = { null_forward, null_reset, null_probe };

#endif
