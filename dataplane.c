#include "dataplane.h"

#include <string.h>

#include "wire-gue.h"

void dataplane_init(struct dataplane *dp, struct core *core, struct endpoint egress, int packets,
		    int answers)
{
	dp->core = core;
	dp->egress = egress;
	dp->packets = packets;
	dp->answers = answers;
	udp_in_init(&dp->in, DATAPLANE_BUFFER_BYTES);
	udp_out_init(&dp->to_targets, answers);
	udp_out_init(&dp->to_callers, packets);
}

void dataplane_release(struct dataplane *dp)
{
	udp_in_release(&dp->in);
}

static void count_rejected(struct dataplane *dp, enum wire_status st)
{
	struct counters *cnt = core_counters(dp->core);

	if (st == WIRE_FRAGMENT)
		cnt->drop_fragment++;
	else
		cnt->drop_malformed++;
}

int dataplane_read_packets(struct dataplane *dp, struct timespec now, struct actions *acts)
{
	struct event ev = { .type = EVENT_PACKET, .now = now };
	int nr = udp_in_receive(&dp->in, dp->packets);
	struct packet *pkts = dp->batch.packets;
	const uint8_t *bytes;
	struct endpoint src;
	size_t nr_valid = 0;
	size_t len;

	for (int i = 0; i < nr; i++) {
		enum wire_status st = WIRE_MALFORMED;

		if (udp_in_at(&dp->in, i, &bytes, &len, &src))
			st = wire_parse_packet(bytes, len, &pkts[nr_valid]);
		if (st == WIRE_OK) {
			pkts[nr_valid].hash = core_prefetch(dp->core, &pkts[nr_valid].key);
			nr_valid++;
		} else {
			count_rejected(dp, st);
		}
	}
	for (size_t i = 0; i < nr_valid; i++)
		core_prefetch_flow(dp->core, pkts[i].hash);
	for (size_t i = 0; i < nr_valid; i++) {
		ev.packet = pkts[i];
		core_handle(dp->core, &ev, acts);
	}
	return nr;
}

int dataplane_read_answers(struct dataplane *dp, struct timespec now, struct actions *acts)
{
	struct event ev = { .type = EVENT_ANSWER, .now = now };
	int nr = udp_in_receive(&dp->in, dp->answers);
	struct answer *answers = dp->batch.answers;
	const uint8_t *bytes;
	struct endpoint src;
	size_t nr_valid = 0;
	size_t len;

	for (int i = 0; i < nr; i++) {
		enum wire_status st = WIRE_MALFORMED;

		if (udp_in_at(&dp->in, i, &bytes, &len, &src))
			st = wire_parse_answer(bytes, len, src, &answers[nr_valid]);
		if (st == WIRE_OK) {
			answers[nr_valid].hash = core_prefetch(dp->core, &answers[nr_valid].key);
			nr_valid++;
		} else {
			count_rejected(dp, st);
		}
	}
	for (size_t i = 0; i < nr_valid; i++)
		core_prefetch_flow(dp->core, answers[i].hash);
	for (size_t i = 0; i < nr_valid; i++) {
		ev.answer = answers[i];
		core_handle(dp->core, &ev, acts);
	}
	return nr;
}

_Static_assert(GUE_MAX_BYTES <= ACTION_HEADROOM, "the GUE header must fit into the headroom");

/* Sends @len bytes at @offset of the actions' data with a GUE header in front of them. */
static void send_inner(struct udp_out *out, struct actions *acts, struct endpoint dst,
		       int32_t deadline_ms, size_t offset, size_t len)
{
	size_t header_len = deadline_ms == NO_DEADLINE ? GUE_BASE_BYTES : GUE_MAX_BYTES;

	if (udp_out_full(out))
		udp_out_flush(out, acts->data->data);
	gue_build(acts->data->data + offset - header_len, deadline_ms);
	udp_out_add(out, dst, offset - header_len, header_len + len);
}

static void send_reset(struct udp_out *out, struct actions *acts, struct endpoint dst,
		       const struct action *act)
{
	size_t offset = acts->data->len + ACTION_HEADROOM;
	uint8_t rst[RST_BYTES];

	if (rst_build(action_bytes(acts, act), act->len, rst) != WIRE_OK)
		return;
	g_byte_array_set_size(acts->data, (guint)(offset + sizeof(rst)));
	memcpy(acts->data->data + offset, rst, sizeof(rst));
	send_inner(out, acts, dst, NO_DEADLINE, offset, sizeof(rst));
}

void dataplane_execute(struct dataplane *dp, struct actions *acts, const struct action *act)
{
	if (act->type == ACTION_FORWARD)
		send_inner(&dp->to_targets, acts, act->target, act->deadline_ms, act->offset,
			   act->len);
	else if (act->type == ACTION_ANSWER)
		send_inner(&dp->to_callers, acts, dp->egress, NO_DEADLINE, act->offset, act->len);
	else if (act->type == ACTION_REFUSE)
		send_reset(&dp->to_callers, acts, dp->egress, act);
}

void dataplane_flush(struct dataplane *dp, struct actions *acts)
{
	udp_out_flush(&dp->to_targets, acts->data->data);
	udp_out_flush(&dp->to_callers, acts->data->data);
}

uint64_t dataplane_lost(const struct dataplane *dp)
{
	return dp->to_targets.lost + dp->to_callers.lost;
}
