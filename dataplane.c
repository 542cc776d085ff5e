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
	const uint8_t *bytes;
	struct endpoint src;
	size_t len;

	for (int i = 0; i < nr; i++) {
		enum wire_status st = WIRE_MALFORMED;

		if (udp_in_at(&dp->in, i, &bytes, &len, &src))
			st = wire_parse_packet(bytes, len, &ev.packet);
		if (st == WIRE_OK)
			core_handle(dp->core, &ev, acts);
		else
			count_rejected(dp, st);
	}
	return nr;
}

int dataplane_read_answers(struct dataplane *dp, struct timespec now, struct actions *acts)
{
	struct event ev = { .type = EVENT_ANSWER, .now = now };
	int nr = udp_in_receive(&dp->in, dp->answers);
	const uint8_t *bytes;
	struct endpoint src;
	size_t len;

	for (int i = 0; i < nr; i++) {
		enum wire_status st = WIRE_MALFORMED;

		if (udp_in_at(&dp->in, i, &bytes, &len, &src))
			st = wire_parse_answer(bytes, len, src, &ev.answer);
		if (st == WIRE_OK)
			core_handle(dp->core, &ev, acts);
		else
			count_rejected(dp, st);
	}
	return nr;
}

static void send_packet(struct udp_out *out, const struct actions *acts, struct endpoint dst,
			int32_t deadline_ms, const struct action *act)
{
	uint8_t *header;

	if (udp_out_full(out))
		udp_out_flush(out, acts->data->data);
	header = udp_out_add(out, dst, act->offset, act->len);
	udp_out_header(out, gue_build(header, deadline_ms));
}

static void send_reset(struct udp_out *out, const struct actions *acts, struct endpoint dst,
		       const struct action *act)
{
	uint8_t rst[RST_BYTES];
	uint8_t *header;
	size_t len;

	if (rst_build(action_bytes(acts, act), act->len, rst) != WIRE_OK)
		return;
	if (udp_out_full(out))
		udp_out_flush(out, acts->data->data);
	header = udp_out_add(out, dst, 0, 0);
	len = gue_build(header, NO_DEADLINE);
	memcpy(header + len, rst, sizeof(rst));
	udp_out_header(out, len + sizeof(rst));
}

void dataplane_execute(struct dataplane *dp, const struct actions *acts, const struct action *act)
{
	if (act->type == ACTION_FORWARD)
		send_packet(&dp->to_targets, acts, act->target, act->deadline_ms, act);
	else if (act->type == ACTION_ANSWER)
		send_packet(&dp->to_callers, acts, dp->egress, NO_DEADLINE, act);
	else if (act->type == ACTION_REFUSE)
		send_reset(&dp->to_callers, acts, dp->egress, act);
}

void dataplane_flush(struct dataplane *dp, const struct actions *acts)
{
	udp_out_flush(&dp->to_targets, acts->data->data);
	udp_out_flush(&dp->to_callers, acts->data->data);
}

uint64_t dataplane_lost(const struct dataplane *dp)
{
	return dp->to_targets.lost + dp->to_callers.lost;
}
