/* Callers and targets of a replay, and the packets between them. */
#include "replay-internal.h"

#include <string.h>

#define SYN_RETRY_MS		   1000
#define SYN_MAX_TRIES		   5
#define DATA_RETRY_MS		   400
#define DATA_RETRY_MAX_MS	   3200
#define REQUEST_TIMEOUT_MS	   20000 /* a request unanswered for this long breaks its flow */
#define CLOSE_MAX_TRIES		   3
#define SLOT_REUSE_MS		   1000
#define COLD_MIN_CAPACITY_PERMILLE 100
#define COLD_SHARE_WINDOW_MS	   5000
#define CLOSED_FLOW_KEEP_MS	   2000
#define NO_INDEX		   UINT32_MAX
#define FIN			   0x01
#define SYN			   0x02
#define RST			   0x04
#define ACK			   0x10

static void put16(uint8_t *p, uint32_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

static void put32(uint8_t *p, uint32_t v)
{
	put16(p, v >> 16);
	put16(p + 2, v);
}

static uint32_t get32(const uint8_t *p)
{
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8 | p[3];
}

/* Caller addresses are 10.0.0.0 and up with 32,768 ports each; a slot is one address and port. */
void sim_packet_encode(struct sim_packet *pkt)
{
	uint8_t *ip = pkt->bytes;
	uint8_t *tcp = ip + 20;
	bool answer = pkt->target != NO_INDEX;
	uint32_t caller = 0x0a000000u + (pkt->slot >> 15);
	uint32_t port = 1024 + (pkt->slot & 32767);
	uint32_t sum = 0;

	memset(ip, 0, sizeof(pkt->bytes));
	pkt->len = pkt->flags & (SYN | RST | FIN) ? 40 : SIM_PACKET_BYTES;
	ip[0] = 0x45;
	put16(ip + 2, (uint32_t)pkt->len);
	ip[8] = 64;
	ip[9] = 6;
	put32(ip + 12, answer ? pkt->service.ep.ip : caller);
	put32(ip + 16, answer ? caller : pkt->service.ep.ip);
	for (int i = 0; i < 20; i += 2)
		sum += (uint32_t)ip[i] << 8 | ip[i + 1];
	put16(ip + 10, ~((sum & 0xffff) + (sum >> 16)));
	put16(tcp, answer ? pkt->service.ep.port : port);
	put16(tcp + 2, answer ? port : pkt->service.ep.port);
	/* Answers acknowledge the byte after the opening. */
	put32(tcp + (answer ? 8 : 4), answer ? pkt->seq + 1 : pkt->seq);
	if (answer && pkt->len == 40)
		put32(tcp + 4, pkt->target);
	if (!answer)
		put32(tcp + 8, pkt->acked);
	tcp[12] = 0x50;
	tcp[13] = pkt->flags;
	/* The window and checksum carry the serial number: nothing between the ends reads them. */
	put32(tcp + 14, pkt->serial);
	if (pkt->len > 40) {
		put32(tcp + 20, pkt->serial);
		put32(tcp + 24, pkt->request);
		put32(tcp + 28, pkt->target);
	}
}

bool sim_packet_decode(struct sim_packet *pkt, const uint8_t *bytes, size_t len)
{
	const uint8_t *tcp = bytes + 20;
	bool answer;
	const uint8_t *caller;
	uint32_t port;

	if (len < 40 || len > SIM_PACKET_BYTES)
		return false;
	memset(pkt, 0, sizeof(*pkt));
	memcpy(pkt->bytes, bytes, len);
	pkt->len = len;
	pkt->flags = tcp[13];
	answer = bytes[12] != 10;
	caller = bytes + (answer ? 16 : 12);
	port = (uint32_t)tcp[answer ? 2 : 0] << 8 | tcp[answer ? 3 : 1];
	pkt->slot = (get32(caller) - 0x0a000000u) << 15 | (port - 1024);
	pkt->service.ep.ip = get32(bytes + (answer ? 12 : 16));
	pkt->service.ep.port = (uint16_t)(tcp[answer ? 0 : 2] << 8 | tcp[answer ? 1 : 3]);
	pkt->service.proto = 6;
	pkt->seq = get32(tcp + (answer ? 8 : 4));
	pkt->acked = answer ? NO_INDEX : get32(tcp + 8);
	if (answer)
		pkt->seq--;
	pkt->serial = get32(tcp + 14);
	pkt->target = NO_INDEX;
	if (len > 40) {
		pkt->request = get32(tcp + 24);
		pkt->target = get32(tcp + 28);
	} else if (answer) {
		pkt->target = get32(tcp + 4); /* in the sequence number */
	}
	return true;
}

struct flow_key sim_packet_key(const struct sim_packet *pkt)
{
	return (struct flow_key){
		.caller = { 0x0a000000u + (pkt->slot >> 15),
			    (uint16_t)(1024 + (pkt->slot & 32767)) },
		.service = pkt->service,
	};
}

uint32_t sim_target_find(const struct sim *sim, struct endpoint ep)
{
	for (uint32_t t = 0; t < sim->targets->len; t++) {
		if (endpoint_equal(sim_target(sim, t)->ep, ep))
			return t;
	}
	return NO_INDEX;
}

/* Whether a partition stops packets of the fabric between two data centres. */
static bool fabric_cut(const struct sim *sim, uint32_t dc_a, uint32_t dc_b)
{
	return dc_a != dc_b && (sim->dcs[dc_a].cut_fabric || sim->dcs[dc_b].cut_fabric);
}

/*
 * The fabric sends each packet to a random instance of the flow's group that passed its health
 * check and is on the sender's side of a partition.
 */
static uint32_t pick_instance(struct sim *sim, uint32_t slot, uint32_t dc)
{
	uint32_t live[256];
	uint32_t nr = 0;

	for (uint32_t i = 0; i < sim->instances->len && nr < G_N_ELEMENTS(live); i++) {
		const struct sim_instance *inst = sim_instance(sim, i);

		if (inst->in_fabric && inst->group_index == slot % sim->groups->len &&
		    !fabric_cut(sim, dc, inst->dc))
			live[nr++] = i;
	}
	return nr ? live[sim_random_below(sim, nr)] : NO_INDEX;
}

static struct sim_flow *flow_at(struct sim *sim, uint32_t slot)
{
	return slot < sim->flows->len ? &g_array_index(sim->flows, struct sim_flow, slot) : NULL;
}

/* Callers. */

static void caller_send(struct sim *sim, uint32_t slot, uint8_t flags, uint32_t request)
{
	const struct sim_flow *flow = flow_at(sim, slot);
	/* Callers are in all data centres. */
	uint32_t i = pick_instance(sim, slot, slot % sim->nr_dcs);
	struct sim_packet pkt = {
		.slot = slot,
		.serial = flow->serial,
		.seq = flow->seq + (flags & SYN ? 0 : 1),
		.flags = flags,
		.request = request,
		.target = NO_INDEX,
		.acked = flow->target,
		.service = sim_service(sim, flow->service)->addr,
	};

	if (i == NO_INDEX)
		return;
	sim_packet_encode(&pkt);
	sim_schedule(sim, sim->caller_us, SIM_TO_CORE, i, NO_INDEX)->bytes =
		g_bytes_new(pkt.bytes, pkt.len);
}

static void set_flow_timer(struct sim *sim, uint32_t slot, int64_t after_ms)
{
	struct sim_flow *flow = flow_at(sim, slot);

	flow->due_us = sim->now_us + after_ms * SIM_US_PER_MS;
	sim_schedule(sim, after_ms * SIM_US_PER_MS, SIM_FLOW, slot, flow->serial);
}

static int64_t random_around(struct sim *sim, int64_t mean)
{
	return mean / 2 + sim_random_below(sim, (uint32_t)mean + 1);
}

static uint32_t find_free_slot(struct sim *sim, uint32_t slots)
{
	for (uint32_t n = 0; n < slots; n++) {
		uint32_t slot = sim->next_slot++ % slots;
		struct sim_flow *flow;

		while (sim->flows->len <= slot)
			g_array_set_size(sim->flows, sim->flows->len + 1);
		flow = flow_at(sim, slot);
		if (flow->state == FLOW_FREE &&
		    (!flow->serial || sim->now_us - flow->free_us > SLOT_REUSE_MS * SIM_US_PER_MS))
			return slot;
	}
	return NO_INDEX;
}

void sim_open_flow(struct sim *sim, uint32_t g)
{
	struct sim_generator *gen = &g_array_index(sim->generators, struct sim_generator, g);
	int64_t rate = MAX(trace_number(gen->line, "rate", 1), 1);
	uint32_t slot = find_free_slot(sim, (uint32_t)trace_number(gen->line, "slots", 1 << 20));
	struct sim_flow *flow;

	if (sim->now_us >= gen->until_us)
		return;
	sim_schedule(sim, random_around(sim, SIM_US_PER_MS * 1000 / rate), SIM_OPEN_FLOW, g, 0);
	if (slot == NO_INDEX)
		return;
	flow = flow_at(sim, slot);
	*flow = (struct sim_flow){
		.state = FLOW_OPENING,
		.serial = ++sim->next_serial,
		.seq = sim_random_below(sim, UINT32_MAX - 1) + 1,
		.service = gen->service,
		.generator = g,
		.target = NO_INDEX,
		.last_run_target = NO_INDEX,
		.every_ms = (uint32_t)trace_number(gen->line, "every_ms", 2000),
		.work_ms = (uint32_t)trace_number(gen->line, "work_ms", 10),
	};
	flow->end_us = sim->now_us + random_around(sim, trace_number(gen->line, "life_ms", 30000)) *
					     SIM_US_PER_MS;
	sim->m.opened++;
	caller_send(sim, slot, SYN, 0);
	set_flow_timer(sim, slot, SYN_RETRY_MS);
}

static void end_flow(struct sim *sim, uint32_t slot, uint64_t *count)
{
	struct sim_flow *flow = flow_at(sim, slot);

	++*count;
	flow->state = FLOW_FREE;
	flow->free_us = sim->now_us;
}

static void break_flow(struct sim *sim, uint32_t slot, const char *cause, const char *by)
{
	const struct sim_flow *flow = flow_at(sim, slot);
	bool exempt = flow->exempt;

	sim_note(sim, "flow %u at %s %s: %s %s, request %u sent %d ms ago", flow->serial,
		 sim_target(sim, flow->target)->name, exempt ? "ended" : "broken", cause, by,
		 flow->request, (int)((sim->now_us - flow->request_sent_us) / SIM_US_PER_MS));

	end_flow(sim, slot, exempt ? &sim->m.exempt : &sim->m.broken);
}

static void send_request(struct sim *sim, uint32_t slot)
{
	struct sim_flow *flow = flow_at(sim, slot);

	flow->request++;
	flow->awaiting_answer = true;
	flow->tries = 0;
	flow->request_sent_us = sim->now_us;
	sim->m.requests++;
	if (sim->m.first_fault_us && sim->now_us >= sim->m.first_fault_us)
		sim->m.requests_after_fault++;
	caller_send(sim, slot, ACK, flow->request);
	set_flow_timer(sim, slot, DATA_RETRY_MS);
}

void sim_flow_event(struct sim *sim, uint32_t slot, uint32_t serial)
{
	struct sim_flow *flow = flow_at(sim, slot);

	if (flow->serial != serial || flow->due_us > sim->now_us || flow->state == FLOW_FREE)
		return;
	flow->tries++;
	switch (flow->state) {
	case FLOW_OPENING:
		if (flow->tries >= SYN_MAX_TRIES) {
			end_flow(sim, slot, &sim->m.unanswered);
			return;
		}
		caller_send(sim, slot, SYN, 0);
		set_flow_timer(sim, slot, (int64_t)SYN_RETRY_MS << flow->tries);
		break;
	case FLOW_OPEN:
		if (flow->awaiting_answer &&
		    sim->now_us - flow->request_sent_us > REQUEST_TIMEOUT_MS * SIM_US_PER_MS) {
			break_flow(sim, slot, "no answer", "in time");
		} else if (flow->awaiting_answer) {
			caller_send(sim, slot, ACK, flow->request);
			set_flow_timer(sim, slot,
				       MIN((int64_t)DATA_RETRY_MS << MIN(flow->tries, 8),
					   DATA_RETRY_MAX_MS));
		} else if (sim->now_us >= flow->end_us) {
			flow->state = FLOW_CLOSING;
			flow->tries = 0;
			caller_send(sim, slot, FIN | ACK, 0);
			set_flow_timer(sim, slot, DATA_RETRY_MS);
		} else {
			send_request(sim, slot);
		}
		break;
	case FLOW_CLOSING:
		if (flow->tries >= CLOSE_MAX_TRIES) {
			end_flow(sim, slot, &sim->m.closed);
			return;
		}
		caller_send(sim, slot, FIN | ACK, 0);
		set_flow_timer(sim, slot, DATA_RETRY_MS);
		break;
	case FLOW_FREE:
		break;
	}
}

static void receive_answer(struct sim *sim, uint32_t slot, const struct sim_packet *pkt)
{
	struct sim_flow *flow = flow_at(sim, slot);
	uint32_t ms = (uint32_t)((sim->now_us - flow->request_sent_us) / SIM_US_PER_MS);

	if (pkt->target != flow->target) {
		sim_note(sim, "flow %u at %s crossed: got an answer of %s", flow->serial,
			 sim_target(sim, flow->target)->name, sim_target(sim, pkt->target)->name);
		sim->m.crossed++;
		return;
	}
	if (!flow->awaiting_answer || pkt->request != flow->request)
		return;
	flow->awaiting_answer = false;
	flow->tries = 0;
	sim->m.answered++;
	if (sim->m.first_fault_us && flow->request_sent_us >= sim->m.first_fault_us)
		sim->m.answered_after_fault++;
	g_array_append_val(sim->m.answer_ms, ms);
	set_flow_timer(sim, slot, random_around(sim, flow->every_ms));
}

static void receive_reset(struct sim *sim, uint32_t slot, const struct sim_packet *pkt)
{
	const struct sim_flow *flow = flow_at(sim, slot);

	if (flow->state == FLOW_OPENING) {
		if (!(pkt->flags & ACK) || pkt->seq != flow->seq)
			return;
		if (flow->last_run_target != NO_INDEX) {
			sim_note(sim, "flow %u refused although its request ran", flow->serial);
			sim->m.false_refusals++;
		}
		end_flow(sim, slot, &sim->m.refused);
	} else if (flow->state == FLOW_OPEN && !(pkt->flags & ACK)) {
		break_flow(sim, slot, "reset by",
			   pkt->target < sim->targets->len ? sim_target(sim, pkt->target)->name
							   : "a balancer");
	} else if (flow->state == FLOW_CLOSING) {
		end_flow(sim, slot, &sim->m.closed);
	}
}

void sim_caller_receive(struct sim *sim, const struct sim_event *ev)
{
	gsize len;
	const uint8_t *bytes = g_bytes_get_data(ev->bytes, &len);
	struct sim_packet pkt;
	struct sim_flow *flow;

	if (!sim_packet_decode(&pkt, bytes, len))
		return;
	flow = flow_at(sim, pkt.slot);
	if (!flow || flow->serial != pkt.serial || flow->state == FLOW_FREE)
		return;
	if (pkt.flags & RST) {
		receive_reset(sim, pkt.slot, &pkt);
	} else if (pkt.flags & SYN) {
		uint32_t target = pkt.target;

		if (flow->state == FLOW_OPENING) {
			flow->state = FLOW_OPEN;
			flow->target = target;
			flow->tries = 0;
			flow->exempt |= sim_target(sim, target)->withdrawn_us >= 0;
			sim->m.established++;
			send_request(sim, pkt.slot);
		} else if (target != flow->target) {
			sim_note(sim, "flow %u at %s crossed: also accepted by %s", flow->serial,
				 sim_target(sim, flow->target)->name,
				 sim_target(sim, target)->name);
			sim->m.crossed++;
		}
	} else if (pkt.flags & FIN) {
		if (flow->state == FLOW_CLOSING)
			end_flow(sim, pkt.slot, &sim->m.closed);
	} else if (flow->state == FLOW_OPEN) {
		receive_answer(sim, pkt.slot, &pkt);
	}
}

void sim_deliver_reset(struct sim *sim, const uint8_t *bytes, size_t len)
{
	struct sim_packet pkt;
	struct sim_packet rst;

	if (!sim_packet_decode(&pkt, bytes, len))
		return;
	rst = pkt;
	rst.target = NO_INDEX - 1; /* neither a target nor a caller */
	rst.flags = pkt.flags & SYN ? RST | ACK : RST;
	rst.seq = pkt.flags & SYN ? pkt.seq : pkt.seq - 1;
	sim_packet_encode(&rst);
	sim_schedule(sim, sim->caller_us, SIM_TO_CALLER, 0, 0)->bytes =
		g_bytes_new(rst.bytes, rst.len);
	if (pkt.flags & SYN && pkt.slot < sim->flows->len &&
	    flow_at(sim, pkt.slot)->serial == pkt.serial &&
	    flow_at(sim, pkt.slot)->last_run_target != NO_INDEX)
		sim->m.false_refusals++;
}

/* Targets. */

static void target_send(struct sim *sim, uint32_t t, struct sim_packet pkt, uint8_t flags,
			uint32_t request)
{
	uint32_t i = pick_instance(sim, pkt.slot, sim_target(sim, t)->dc);
	struct sim_event *ev;

	pkt.flags = flags;
	pkt.request = request;
	pkt.target = t;
	sim_packet_encode(&pkt);
	if (i == NO_INDEX || (sim->loss && sim_target(sim, t)->dc != sim_instance(sim, i)->dc &&
			      sim_random_below(sim, 1000) < sim->loss))
		return;
	ev = sim_schedule(sim, sim_delay(sim, sim_target(sim, t)->dc, sim_instance(sim, i)->dc),
			  SIM_TO_CORE, i, t);
	ev->bytes = g_bytes_new(pkt.bytes, pkt.len);
	if (sim->dup && sim_random_below(sim, 1000) < sim->dup) {
		/* The copy arrives late, perhaps after further answers. */
		struct sim_event *copy = sim_schedule(
			sim, sim->dc_us * (2 + sim_random_below(sim, 50)), SIM_TO_CORE, i, t);

		copy->bytes = g_bytes_new(pkt.bytes, pkt.len);
	}
}

static struct target_flow *target_flow(const struct sim_target *tgt, uint32_t slot)
{
	return g_hash_table_lookup(tgt->flows, GUINT_TO_POINTER(slot));
}

void sim_target_exempt(struct sim *sim, uint32_t t)
{
	GHashTableIter iter;
	gpointer slot;

	g_hash_table_iter_init(&iter, sim_target(sim, t)->flows);
	while (g_hash_table_iter_next(&iter, &slot, NULL)) {
		struct sim_flow *flow = flow_at(sim, GPOINTER_TO_UINT(slot));

		if (flow->target == t || flow->target == NO_INDEX)
			flow->exempt = true;
	}
}

void sim_target_restart(struct sim *sim, uint32_t t, bool hide_marker)
{
	struct sim_target *tgt = sim_target(sim, t);

	sim_target_exempt(sim, t);
	g_hash_table_remove_all(tgt->flows);
	if (!hide_marker)
		tgt->marker++;
	tgt->started_us = sim->now_us;
	tgt->disturbed = true;
	g_array_set_size(tgt->openings_us, 0);
	memset(tgt->slot_free_us, 0, sizeof(tgt->slot_free_us));
}

/* Openings in the last window relative to the target's capacity at its age, in per mille. */
static uint64_t start_share(const struct sim *sim, struct sim_target *tgt)
{
	int64_t age_ms = (sim->now_us - tgt->started_us) / SIM_US_PER_MS;
	int64_t window_us = COLD_SHARE_WINDOW_MS * SIM_US_PER_MS;
	int64_t ramp, capacity;
	uint32_t nr = 0;

	if (tgt->started_us < 0 || !tgt->capacity || age_ms >= tgt->warmup_ms)
		return 0;
	g_array_append_val(tgt->openings_us, sim->now_us);
	for (guint i = 0; i < tgt->openings_us->len; i++)
		nr += g_array_index(tgt->openings_us, int64_t, i) > sim->now_us - window_us;
	ramp = MAX(COLD_MIN_CAPACITY_PERMILLE, age_ms * 1000 / tgt->warmup_ms);
	/* openings in a window, times 1000 */
	capacity = tgt->capacity * ramp * COLD_SHARE_WINDOW_MS / 1000;
	/* One opening is always within the share, as it cannot be divided. */
	return (uint64_t)(nr - 1) * 1000 * 1000 / (uint64_t)capacity;
}

static uint32_t packet_bucket(const struct sim *sim, const struct sim_packet *pkt)
{
	struct flow_key key = sim_packet_key(pkt);

	return bucket_of(flow_hash(&key, sim->flow_key));
}

static void receive_opening(struct sim *sim, uint32_t t, const struct sim_packet *pkt, uint32_t via)
{
	struct sim_target *tgt = sim_target(sim, t);
	struct target_flow *flow = target_flow(tgt, pkt->slot);
	uint64_t share;

	if (flow && flow->seq == pkt->seq) {
		if (!flow->silent)
			target_send(sim, t, *pkt, SYN | ACK, 0);
		return;
	}
	if (tgt->drained_us >= 0) {
		sim_note(sim, "flow %u of bucket %u opens at draining %s through %s, try %u",
			 pkt->serial, packet_bucket(sim, pkt), tgt->name,
			 sim_instance(sim, via)->name, flow_at(sim, pkt->slot)->tries + 1);
		sim->m.drained_last_us = MAX(sim->m.drained_last_us, sim->now_us - tgt->drained_us);
	}
	if (tgt->shed || g_hash_table_size(tgt->flows) >= tgt->max_flows) {
		target_send(sim, t, *pkt, RST | ACK, 0);
		return;
	}
	tgt->opened += sim->now_us >= sim->measure_from_us && sim->now_us < sim->measure_to_us;
	share = start_share(sim, tgt);
	if (share > 1000)
		sim_note(sim, "%s started %lld ms ago and gets %llu per mille of its share",
			 tgt->name, (long long)((sim->now_us - tgt->started_us) / SIM_US_PER_MS),
			 (unsigned long long)share);
	sim->m.peak_start_share = MAX(sim->m.peak_start_share, share);
	if (share > 1000 && tgt->fragile) {
		sim->m.overload_restarts++;
		sim_note(sim, "%s crashes from overload in slow start", tgt->name);
		sim_target_restart(sim, t, true);
		return;
	}
	flow = g_new0(struct target_flow, 1);
	flow->seq = pkt->seq;
	flow->serial = pkt->serial;
	g_hash_table_insert(tgt->flows, GUINT_TO_POINTER(pkt->slot), flow);
	target_send(sim, t, *pkt, SYN | ACK, 0);
}

static void run_request(struct sim *sim, uint32_t t, const struct sim_packet *pkt)
{
	struct sim_target *tgt = sim_target(sim, t);
	struct sim_flow *caller = flow_at(sim, pkt->slot);
	struct sim_event *ev;
	uint32_t best = 0;
	int64_t done;

	if (caller->serial == pkt->serial) {
		if (caller->last_run_target != NO_INDEX &&
		    caller->last_run_request == pkt->request) {
			sim_note(sim, "flow %u request %u runs twice: at %s and at %s", pkt->serial,
				 pkt->request, sim_target(sim, caller->last_run_target)->name,
				 tgt->name);
			sim->m.run_twice++;
		}
		caller->last_run_target = t;
		caller->last_run_request = pkt->request;
	}
	for (uint32_t s = 1; s < MIN(tgt->slots, G_N_ELEMENTS(tgt->slot_free_us)); s++) {
		if (tgt->slot_free_us[s] < tgt->slot_free_us[best])
			best = s;
	}
	done = MAX(tgt->slot_free_us[best], sim->now_us) + (int64_t)caller->work_ms * SIM_US_PER_MS;
	tgt->slot_free_us[best] = done;
	ev = sim_schedule(sim, done - sim->now_us, SIM_WORK_DONE, t, pkt->slot);
	ev->c = (uint64_t)pkt->serial << 32 | pkt->request;
	ev->bytes = g_bytes_new(pkt->bytes, pkt->len);
}

void sim_work_done(struct sim *sim, const struct sim_event *ev)
{
	struct target_flow *flow = target_flow(sim_target(sim, ev->a), ev->b);
	struct sim_packet pkt;
	gsize len;
	const uint8_t *bytes = g_bytes_get_data(ev->bytes, &len);

	if (!flow || flow->serial != ev->c >> 32 || !sim_packet_decode(&pkt, bytes, len))
		return;
	flow->done = MAX(flow->done, pkt.request);
	pkt.seq = flow->seq;
	if (!flow->silent && !sim_target(sim, ev->a)->dead)
		target_send(sim, ev->a, pkt, ACK, pkt.request);
}

static void receive_data(struct sim *sim, uint32_t t, struct sim_packet *pkt)
{
	struct target_flow *flow = target_flow(sim_target(sim, t), pkt->slot);

	pkt->seq--;
	/* A target that did not accept the flow resets it: the acknowledged number is wrong. */
	if (!flow || flow->serial != pkt->serial || flow->closed_us || pkt->acked != t) {
		if (!(flow && flow->closed_us))
			target_send(sim, t, *pkt, RST, 0);
		else if (pkt->flags & FIN)
			target_send(sim, t, *pkt, FIN | ACK, 0);
		return;
	}
	if (flow->silent)
		return;
	if (pkt->flags & FIN) {
		flow->closed_us = sim->now_us;
		target_send(sim, t, *pkt, FIN | ACK, 0);
	} else if (pkt->request > flow->asked) {
		flow->asked = pkt->request;
		run_request(sim, t, pkt);
	} else if (pkt->request <= flow->done) {
		target_send(sim, t, *pkt, ACK, pkt->request);
	}
}

static gboolean is_closed(gpointer key, gpointer value, gpointer arg)
{
	const struct target_flow *flow = value;
	const struct sim *sim = arg;

	(void)key;
	return flow->closed_us &&
	       sim->now_us - flow->closed_us > CLOSED_FLOW_KEEP_MS * SIM_US_PER_MS;
}

void sim_target_receive(struct sim *sim, const struct sim_event *ev)
{
	struct sim_target *tgt = sim_target(sim, ev->a);
	gsize len;
	const uint8_t *bytes = g_bytes_get_data(ev->bytes, &len);
	struct sim_packet pkt;

	if (!sim_packet_decode(&pkt, bytes, len))
		return;
	if (tgt->withdrawn_us >= 0)
		sim->m.withdrawn_last_us =
			MAX(sim->m.withdrawn_last_us, sim->now_us - tgt->withdrawn_us);
	if (pkt.service.ep.ip != sim_service(sim, tgt->service)->addr.ep.ip ||
	    pkt.service.ep.port != sim_service(sim, tgt->service)->addr.ep.port)
		sim->m.wrong_service++;
	if (tgt->dead)
		return;
	if (pkt.flags & SYN) {
		receive_opening(sim, ev->a, &pkt, ev->b);
	} else if (pkt.flags & RST) {
		g_hash_table_remove(tgt->flows, GUINT_TO_POINTER(pkt.slot));
	} else {
		receive_data(sim, ev->a, &pkt);
	}
}

uint32_t sim_target_flows(struct sim *sim, uint32_t t)
{
	GHashTable *flows = sim_target(sim, t)->flows;

	g_hash_table_foreach_remove(flows, is_closed, sim);
	return g_hash_table_size(flows);
}

struct health_report sim_target_report(struct sim *sim, uint32_t t)
{
	struct sim_target *tgt = sim_target(sim, t);
	uint32_t flows = sim_target_flows(sim, t);
	struct sim_report now = {
		.at_us = sim->now_us,
		.report = {
			.target = tgt->ep,
			.reachable = !tgt->dead,
			.ready = tgt->forced_ready >= 0 ? tgt->forced_ready : !tgt->shed,
			.start_marker = tgt->marker,
			.load_permille = tgt->forced_load_permille >= 0 ? (uint32_t)tgt->forced_load_permille
							    : flows * 1000 / tgt->max_flows,
			.connections = flows,
		},
	};

	g_array_append_val(tgt->reports, now);
	while (tgt->reports->len > 1 && g_array_index(tgt->reports, struct sim_report, 1).at_us <=
						sim->now_us - tgt->report_lag_ms * SIM_US_PER_MS)
		g_array_remove_index(tgt->reports, 0);
	return g_array_index(tgt->reports, struct sim_report, 0).report;
}

void sim_target_stop_answers(struct sim *sim, uint32_t t)
{
	GHashTableIter iter;
	gpointer value;

	sim_target_exempt(sim, t);
	g_hash_table_iter_init(&iter, sim_target(sim, t)->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct target_flow *)value)->silent = true;
}

/* Sends answers of wrong targets for up to @count open flows; none may reach a caller. */
void sim_send_wrong_answers(struct sim *sim, uint32_t service, uint32_t count)
{
	for (uint32_t n = 0, slot = 0; n < count && slot < sim->flows->len; slot++) {
		const struct sim_flow *flow = flow_at(sim, slot);
		struct sim_packet pkt = {
			.slot = slot,
			.serial = flow->serial,
			.seq = flow->seq,
			.service = sim_service(sim, service)->addr,
		};
		uint32_t t = sim_random_below(sim, sim->targets->len);

		if (flow->state != FLOW_OPEN || flow->service != service || t == flow->target ||
		    sim_target(sim, t)->service != service)
			continue;
		target_send(sim, t, pkt, n % 2 ? ACK : SYN | ACK, flow->request);
		n++;
	}
}
