/*
 * Fuzzing of snapshots: any text is refused with a fault, or applied so that the instance can
 * decide by it and write it again.
 */
#include <glib.h>

#include "random.h"
#include "snapshot.h"
#include "t/silent-out.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static void apply(const struct snapshot *snap)
{
	struct steer_out out = { &null_out_ops };
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
