/*
 * Fuzzing of snapshots: any text is refused with a fault, or applied so that the instance can
 * decide by it and write it again.
 */
#include <glib.h>

#include "random.h"
#include "snapshot.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static void out_nothing_forward(struct steer_out *out, const struct reg_target *tgt, uint32_t mark,
				const uint8_t *bytes, size_t size)
{
	(void)out;
	(void)tgt;
	(void)mark;
	(void)bytes;
	(void)size;
}

static void out_nothing_reset(struct steer_out *out, const struct flow_addr *addr, uint32_t seq)
{
	(void)out;
	(void)addr;
	(void)seq;
}

static void out_nothing_probe(struct steer_out *out, struct reg_target *tgt, unsigned int nr)
{
	(void)out;
	(void)tgt;
	(void)nr;
}

static void apply(const struct snapshot *snap)
{
	static const struct steer_out_ops ops = { out_nothing_forward, out_nothing_reset,
						  out_nothing_probe };
	struct steer_out out = { &ops };
	struct seeded_random random;
	struct control_state_options opts = {
		.data_centre = "home",
		.placing = PLACING_TWO_CHOICES,
		.remote_percent = 400,
		.max_flows = 16,
		.random = &random.random,
		.out = &out,
	};
	struct timespec now = { .tv_sec = 1000 };
	GString *text = g_string_new(NULL);
	struct control_state cs;

	seeded_random_init(&random, 1);
	control_state_init(&cs, &opts);
	snapshot_apply(snap, &cs, snapshot_age_ms(snap), now);
	control_state_timer(&cs, now);
	snapshot_write(&cs, text, now);
	g_assert_cmpuint(text->len, >, 0);
	g_string_free(text, TRUE);
	control_state_release(&cs);
}

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct faults faults;
	struct snapshot *snap;

	faults_init(&faults);
	snap = snapshot_parse((const char *)bytes, len, &faults);
	if (snap)
		apply(snap);
	else
		g_assert_cmpuint(faults.list->len, >, 0);
	snapshot_free(snap);
	faults_release(&faults);
	return 0;
}
