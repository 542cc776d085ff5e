#include "replay-internal.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_MEASURE_FROM_MS                                                                    \
	5000 /* load is not measured before, unless the trace has a measure line */

const struct replay_policy replay_policies[] = {
	[VARIANT_PRODUCT] = { "product", "the decision core" },
	[VARIANT_HASH] = { "hash", "baseline: consistent hashing alone" },
	[VARIANT_PRIVATE] = { "private", "baseline: consistent hashing with private flow tables" },
	[VARIANT_NO_ACK_WAIT] = { "no-ack-wait",
				  "wrong: a home does not announce changed buckets" },
	[VARIANT_NO_RECOVERY] = { "no-recovery", "wrong: a new home pulls no pins" },
	[VARIANT_NO_SLOW_START] = { "no-slow-start", "wrong: starting targets get a full share" },
	[VARIANT_LOCAL_WITHDRAWAL] = { "local-withdrawal", "wrong: only instances that watch the "
							   "platform learn of withdrawals" },
	[VARIANT_NO_DRAIN] = { "no-drain", "wrong: draining targets get new flows" },
	[VARIANT_UNCHECKED_ANSWERS] = { "unchecked-answers",
					"wrong: answers are forwarded unchecked" },
	[VARIANT_RESEND_PAYLOAD] = { "resend-payload", "wrong: payload is resent to a second "
						       "target after a timeout" },
	{ NULL, NULL },
};

uint32_t sim_random_below(struct sim *sim, uint32_t bound)
{
	return random_below(&sim->random.random, bound);
}

struct timespec sim_now(const struct sim *sim)
{
	struct timespec ts = ts_from_ms(sim->now_us / SIM_US_PER_MS);

	ts.tv_nsec += sim->now_us % SIM_US_PER_MS * 1000;
	return ts;
}

void sim_note(struct sim *sim, const char *format, ...)
{
	va_list args;

	if (!sim->notes)
		return;
	g_string_append_printf(sim->notes, "%d ms: ", (int)(sim->now_us / SIM_US_PER_MS));
	va_start(args, format);
	g_string_append_vprintf(sim->notes, format, args);
	va_end(args);
	g_string_append_c(sim->notes, '\n');
}

/* Binary heap of events by time, then order. */

static bool event_before(const struct sim_event *a, const struct sim_event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static struct sim_event *heap_at(const struct sim *sim, guint i)
{
	return g_array_index(sim->heap, struct sim_event *, i);
}

struct sim_event *sim_schedule(struct sim *sim, int64_t after_us, enum sim_kind kind, uint32_t a,
			       uint32_t b)
{
	struct sim_event *ev = g_new0(struct sim_event, 1);
	guint i = sim->heap->len;

	ev->at_us = sim->now_us + after_us;
	ev->order = ++sim->order;
	ev->kind = kind;
	ev->a = a;
	ev->b = b;
	g_array_append_val(sim->heap, ev);
	for (; i && event_before(ev, heap_at(sim, (i - 1) / 2)); i = (i - 1) / 2)
		g_array_index(sim->heap, struct sim_event *, i) = heap_at(sim, (i - 1) / 2);
	g_array_index(sim->heap, struct sim_event *, i) = ev;
	return ev;
}

static struct sim_event *heap_pop(struct sim *sim)
{
	struct sim_event *first = heap_at(sim, 0);
	struct sim_event *last = heap_at(sim, sim->heap->len - 1);
	guint nr = sim->heap->len - 1;
	guint i = 0;

	g_array_set_size(sim->heap, nr);
	while (i * 2 + 1 < nr) {
		guint child = i * 2 + 1;

		if (child + 1 < nr && event_before(heap_at(sim, child + 1), heap_at(sim, child)))
			child++;
		if (!event_before(heap_at(sim, child), last))
			break;
		g_array_index(sim->heap, struct sim_event *, i) = heap_at(sim, child);
		i = child;
	}
	if (nr)
		g_array_index(sim->heap, struct sim_event *, i) = last;
	return first;
}

static void event_free(struct sim_event *ev)
{
	if (ev->bytes)
		g_bytes_unref(ev->bytes);
	g_free(ev->report);
	g_free(ev);
}

static void dispatch(struct sim *sim, const struct sim_event *ev)
{
	switch (ev->kind) {
	case SIM_TRACE_LINE:
		sim_run_line(sim, &g_array_index(sim->trace->lines, struct trace_line, ev->a));
		break;
	case SIM_ROLL:
		if (ev->b)
			sim_instance_start(sim, ev->a);
		else
			sim_instance_leave(sim, ev->a);
		/* A stop that takes longer than planned delays the start. */
		if (ev->b && sim_instance(sim, ev->a)->leaving)
			sim_schedule(sim, 100 * SIM_US_PER_MS, SIM_ROLL, ev->a, 1);
		break;
	case SIM_OPEN_FLOW:
		sim_open_flow(sim, ev->a);
		break;
	case SIM_FLOW:
		sim_flow_event(sim, ev->a, ev->b);
		break;
	case SIM_TO_TARGET:
		sim_target_receive(sim, ev);
		break;
	case SIM_TO_CALLER:
		sim_caller_receive(sim, ev);
		break;
	case SIM_WORK_DONE:
		sim_work_done(sim, ev);
		break;
	case SIM_SAMPLE:
		sim_sample(sim);
		break;
	case SIM_CALL:
	case SIM_FABRIC:
	case SIM_LIST_UPDATE:
		sim_fleet_event(sim, ev);
		break;
	default:
		sim_deliver_event(sim, ev);
		break;
	}
}

static void call_free(gpointer data)
{
	struct sim_call *call = data;

	g_bytes_unref(call->request);
	if (call->reply)
		g_bytes_unref(call->reply);
	g_free(call);
}

static void instance_free(gpointer data)
{
	sim_instance_release(data);
}

static void target_free(gpointer data)
{
	struct sim_target *tgt = data;

	g_hash_table_unref(tgt->flows);
	g_array_unref(tgt->reports);
	g_array_unref(tgt->openings_us);
	g_free(tgt->name);
	g_free(tgt);
}

static void sim_service_free(gpointer data)
{
	struct sim_service *svc = data;

	g_free(svc->name);
	g_free(svc->org);
	g_free(svc->address);
	g_free(svc);
}

static void org_free(gpointer data)
{
	struct sim_org *org = data;

	g_free(org->name);
	g_free(org);
}

static void version_free(gpointer data)
{
	struct sim_version *ver = data;

	g_free(ver->name);
	g_free(ver->document);
	g_free(ver);
}

static void sim_init(struct sim *sim, const struct trace *trace, const struct replay_options *opts)
{
	*sim = (struct sim){
		.trace = trace,
		.notes = opts->notes,
		.local_us = 300,
		.dc_us = 4000,
		.caller_us = 1000,
		.platform_us = 5000,
		.jitter_permille = 200,
		.detect_ms = 300,
		.list_lag_ms = 2000,
		.measure_from_us = DEFAULT_MEASURE_FROM_MS * SIM_US_PER_MS,
		.measure_to_us = INT64_MAX,
	};
	seeded_random_init(&sim->random, opts->seed);
	for (size_t i = 0; i < sizeof(sim->flow_key); i++)
		sim->flow_key[i] = (unsigned char)sim_random_below(sim, 256);
	sim->heap = g_array_new(FALSE, FALSE, sizeof(struct sim_event *));
	sim->instances = g_ptr_array_new_with_free_func(instance_free);
	sim->targets = g_ptr_array_new_with_free_func(target_free);
	sim->services = g_ptr_array_new_with_free_func(sim_service_free);
	sim->orgs = g_ptr_array_new_with_free_func(org_free);
	sim->versions = g_ptr_array_new_with_free_func(version_free);
	sim->groups = g_ptr_array_new_with_free_func(g_free);
	sim->calls = g_hash_table_new_full(NULL, NULL, NULL, call_free);
	sim->flows = g_array_new(FALSE, TRUE, sizeof(struct sim_flow));
	sim->generators = g_array_new(FALSE, FALSE, sizeof(struct sim_generator));
	sim->m.answer_ms = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

static void sim_release(struct sim *sim)
{
	while (sim->heap->len)
		event_free(heap_pop(sim));
	g_array_unref(sim->heap);
	g_ptr_array_unref(sim->instances);
	g_ptr_array_unref(sim->targets);
	g_ptr_array_unref(sim->services);
	g_ptr_array_unref(sim->orgs);
	g_ptr_array_unref(sim->versions);
	g_ptr_array_unref(sim->groups);
	g_hash_table_unref(sim->calls);
	g_array_unref(sim->flows);
	g_array_unref(sim->generators);
	g_array_unref(sim->m.answer_ms);
	for (uint32_t i = 0; i < sim->nr_dcs; i++)
		g_free(sim->dcs[i].name);
}

static int configure(struct sim *sim, const struct replay_options *opts, GString *faults)
{
	gsize before_len = faults->len;
	const char *policy = opts->policy ? opts->policy : "product";

	while (replay_policies[sim->variant].name &&
	       strcmp(replay_policies[sim->variant].name, policy) != 0)
		sim->variant++;
	if (!replay_policies[sim->variant].name)
		g_string_append_printf(faults, "unknown policy \"%s\"\n", policy);
	for (guint n = 0; n < sim->trace->lines->len; n++) {
		const struct trace_line *line =
			&g_array_index(sim->trace->lines, struct trace_line, n);
		const char *fault = sim_add_line(sim, line);

		if (!fault && !sim_names_known(sim, line))
			fault = "unknown name";
		if (fault)
			g_string_append_printf(faults, "line %u: %s\n", line->number, fault);
	}
	if (!sim->instances->len || !sim->targets->len || !sim->end_us)
		g_string_append(faults, "a trace needs dc, service, targets and end\n");
	return faults->len == before_len ? 0 : -EINVAL;
}

static void run(struct sim *sim)
{
	sim_publish_grants(sim);
	for (guint i = 0; i < sim->orgs->len; i++)
		sim_publish_org(sim, ((struct sim_org *)g_ptr_array_index(sim->orgs, i))->name);
	for (uint32_t i = 0; i < sim->instances->len; i++)
		sim_instance_start(sim, i);
	sim_schedule_lines(sim);
	sim_schedule(sim, 0, SIM_SAMPLE, 0, 0);
	while (sim->heap->len && heap_at(sim, 0)->at_us <= sim->end_us) {
		struct sim_event *ev = heap_pop(sim);

		sim->now_us = ev->at_us;
		dispatch(sim, ev);
		event_free(ev);
	}
	for (uint32_t i = 0; i < sim->instances->len; i++)
		sim_instance_kill(sim, i);
}

int replay_run(const struct trace *trace, const struct replay_options *opts, GString *report,
	       GString *faults)
{
	struct sim sim;
	int ret;

	sim_init(&sim, trace, opts);
	ret = configure(&sim, opts, faults);
	if (!ret) {
		run(&sim);
		sim_write_report(&sim, opts, report);
	}
	sim_release(&sim);
	return ret;
}
