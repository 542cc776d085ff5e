/*
 * Simulation of instances that share targets by credits, without a network: callers that try three
 * times, instances that hold credits by old grants, and targets with two slots and a queue. The
 * holder's side is simplified: an opening takes an own slot by weighted round robin, then a queue
 * credit, and waits otherwise, by priority.
 */
#ifndef ALLOCATOR_SIM_H
#define ALLOCATOR_SIM_H

#include <glib.h>
#include <math.h>
#include <string.h>

#include "credit/allocator.h"
#include "credit/monitor.h"
#include "timeutil.h"

#define SIM_INSTANCES	200 /* at most */
#define SIM_TARGETS	120 /* at most */
#define SIM_SLOTS	2
#define SIM_QUEUE	8
#define SIM_INTERVAL_MS 250
#define SIM_WORK_MS	100 /* at speed 1, half as long to half as long again */
#define SIM_GOAL_MS	500
#define SIM_COUNT_MS	50 /* credits returned are counted by this time */
#define SIM_TRIES	3
#define SIM_BACKOFF_MS	20
#define SIM_SERVICE	7
#define SIM_HORIZON_MS	4096
#define SIM_CLASSES	2 /* of priority 1 and 2 */

struct sim_request {
	uint32_t class;
	uint32_t tries;
	uint32_t instance;
	uint32_t target;
	int64_t first_ms;
	int64_t since_ms; /* waits at the instance, or sent to the target */
	bool counted;
};

struct sim_grant {
	int64_t due_ms;
	GArray *entries; /* struct credit_entry */
};

struct sim_instance {
	int64_t lag_ms;
	GQueue grants; /* struct sim_grant */
	GArray *entries;
	uint32_t in_use[SIM_TARGETS];
	double vtime[SIM_TARGETS];
	double vnow;					    /* of the latest choice */
	GQueue waiting[SIM_CLASSES];			    /* struct sim_request */
	uint32_t returned[MSEC_PER_SEC / SIM_COUNT_MS + 1]; /* in the last second */
	uint32_t openings[SIM_CLASSES];			    /* since the last report */
	double rate[SIM_CLASSES];			    /* per second, averaged */
	struct credit_observation seen[SIM_TARGETS];
};

struct sim_target {
	double speed;
	bool dead;
	uint32_t running;
	GQueue queue; /* struct sim_request */
	uint32_t arrived;
};

struct sim_class {
	uint64_t requests; /* that ended */
	uint64_t in_time;
	uint64_t served;
	int64_t last_ms; /* latest answer */
	int64_t gap_ms;	 /* longest time without an answer */
};

struct allocsim {
	struct seeded_random random;
	struct allocator *al;
	struct monitor *mon;
	uint32_t nr_instances, nr_targets;
	struct sim_instance inst[SIM_INSTANCES];
	struct sim_target targets[SIM_TARGETS];
	GPtrArray *ends[SIM_HORIZON_MS];    /* requests whose work ends at that time */
	GPtrArray *retries[SIM_HORIZON_MS]; /* requests that are tried again at that time */
	double rate[SIM_CLASSES];	    /* arrivals for each millisecond */
	double next[SIM_CLASSES];	    /* time of the next arrival */
	int64_t now_ms;
	bool counting;
	bool same_lag; /* all grants are 200 ms old */
	struct sim_class classes[SIM_CLASSES];
	uint64_t arrived, rejected;
};

static double sim_uniform(struct allocsim *sim)
{
	return (random_below(&sim->random.random, 1u << 30) + 0.5) / (1u << 30);
}

static uint64_t sim_key(uint32_t target)
{
	return (uint64_t)target + 1;
}

static struct timespec sim_now(const struct allocsim *sim)
{
	return ts_from_ms(1000000 + sim->now_ms);
}

/* Every fourth target has a speed of 0.55, the others 1.2. */
static struct allocsim *allocsim_new(uint64_t seed, uint32_t nr_instances, uint32_t nr_targets)
{
	struct allocsim *sim = g_new0(struct allocsim, 1);

	sim->nr_instances = nr_instances;
	sim->nr_targets = nr_targets;
	seeded_random_init(&sim->random, seed);
	sim->al = allocator_new(&sim->random.random);
	sim->mon = monitor_new();
	for (uint32_t i = 0; i < sim->nr_instances; i++) {
		sim->inst[i].lag_ms = 200 + random_below(&sim->random.random, 1801);
		sim->inst[i].entries = g_array_new(FALSE, FALSE, sizeof(struct credit_entry));
	}
	for (uint32_t t = 0; t < sim->nr_targets; t++)
		sim->targets[t].speed = t % 4 ? 1.2 : 0.55;
	for (size_t i = 0; i < SIM_HORIZON_MS; i++) {
		sim->ends[i] = g_ptr_array_new_with_free_func(g_free);
		sim->retries[i] = g_ptr_array_new_with_free_func(g_free);
	}
	return sim;
}

static void sim_free_grant(void *arg)
{
	struct sim_grant *grant = arg;

	g_array_unref(grant->entries);
	g_free(grant);
}

static void allocsim_free(struct allocsim *sim)
{
	for (uint32_t i = 0; i < sim->nr_instances; i++) {
		g_queue_clear_full(&sim->inst[i].grants, sim_free_grant);
		for (size_t c = 0; c < SIM_CLASSES; c++)
			g_queue_clear_full(&sim->inst[i].waiting[c], g_free);
		g_array_unref(sim->inst[i].entries);
	}
	for (uint32_t t = 0; t < sim->nr_targets; t++)
		g_queue_clear_full(&sim->targets[t].queue, g_free);
	for (size_t i = 0; i < SIM_HORIZON_MS; i++) {
		g_ptr_array_unref(sim->ends[i]);
		g_ptr_array_unref(sim->retries[i]);
	}
	allocator_free(sim->al);
	monitor_free(sim->mon);
	g_free(sim);
}

static void sim_at(const struct allocsim *sim, GPtrArray **wheel, int64_t delay_ms,
		   struct sim_request *req)
{
	g_assert_cmpint(delay_ms, <, SIM_HORIZON_MS);
	g_ptr_array_add(wheel[(sim->now_ms + MAX(delay_ms, 1)) % SIM_HORIZON_MS], req);
}

static void sim_end_request(struct allocsim *sim, struct sim_request *req, bool served)
{
	struct sim_class *cls = &sim->classes[req->class];

	if (served) {
		cls->gap_ms = MAX(cls->gap_ms, sim->now_ms - cls->last_ms);
		cls->last_ms = sim->now_ms;
	}
	if (req->counted) {
		cls->requests++;
		cls->served += served;
		cls->in_time += served && sim->now_ms - req->first_ms <= SIM_GOAL_MS;
	}
	g_free(req);
}

static void sim_retry(struct allocsim *sim, struct sim_request *req)
{
	if (++req->tries == SIM_TRIES)
		sim_end_request(sim, req, false);
	else
		sim_at(sim, sim->retries, SIM_BACKOFF_MS, req);
}

static void sim_start_work(struct allocsim *sim, uint32_t target, struct sim_request *req)
{
	sim->targets[target].running++;
	sim_at(sim, sim->ends,
	       (int64_t)(SIM_WORK_MS * (0.5 + sim_uniform(sim)) / sim->targets[target].speed), req);
}

/* The credit of the request is free again. */
static void sim_return(struct allocsim *sim, const struct sim_request *req)
{
	struct sim_instance *inst = &sim->inst[req->instance];

	inst->in_use[req->target]--;
	inst->returned[sim->now_ms / SIM_COUNT_MS % G_N_ELEMENTS(inst->returned)]++;
	inst->seen[req->target].busy_ms += (uint32_t)(sim->now_ms - req->since_ms);
}

static void sim_next_count(const struct allocsim *sim, struct sim_instance *inst)
{
	inst->returned[sim->now_ms / SIM_COUNT_MS % G_N_ELEMENTS(inst->returned)] = 0;
}

/* Returns false when the target rejects the request. */
static bool sim_send(struct allocsim *sim, uint32_t target, struct sim_request *req)
{
	struct sim_target *tgt = &sim->targets[target];

	tgt->arrived++;
	if (sim->counting)
		sim->arrived++;
	req->target = target;
	req->since_ms = sim->now_ms;
	sim->inst[req->instance].in_use[target]++;
	if (!tgt->dead && tgt->running < SIM_SLOTS) {
		sim_start_work(sim, target, req);
	} else if (tgt->dead || tgt->queue.length < SIM_QUEUE) {
		g_queue_push_tail(&tgt->queue, req);
	} else {
		if (sim->counting)
			sim->rejected++;
		sim_return(sim, req);
		sim->inst[req->instance].seen[target].rejected++;
		return false;
	}
	return true;
}

static const struct credit_entry *sim_choose(const struct sim_instance *inst)
{
	const struct credit_entry *slot = NULL;
	const struct credit_entry *queue = NULL;

	for (size_t i = 0; i < inst->entries->len; i++) {
		const struct credit_entry *entry =
			&g_array_index(inst->entries, struct credit_entry, i);
		uint32_t target = (uint32_t)entry->target - 1;
		double vtime = inst->vtime[target];

		if (inst->in_use[target] < entry->slots) {
			if (!slot || vtime < inst->vtime[slot->target - 1])
				slot = entry;
		} else if (inst->in_use[target] < entry->slots + entry->queue) {
			if (!queue || vtime < inst->vtime[queue->target - 1])
				queue = entry;
		}
	}
	return slot ? slot : queue;
}

/* Returns false when no credit is free. */
static bool sim_place(struct allocsim *sim, struct sim_request *req)
{
	struct sim_instance *inst = &sim->inst[req->instance];
	const struct credit_entry *entry = sim_choose(inst);

	if (!entry)
		return false;
	inst->vnow = MAX(inst->vnow, inst->vtime[entry->target - 1]);
	inst->vtime[entry->target - 1] += 1000.0 / entry->speed_permille;
	if (!sim_send(sim, (uint32_t)entry->target - 1, req))
		sim_retry(sim, req);
	return true;
}

static int64_t sim_limit_ms(uint32_t class)
{
	return SIM_GOAL_MS / (class ? 4 : 2);
}

static void sim_open(struct allocsim *sim, struct sim_request *req)
{
	struct sim_instance *inst;
	uint32_t ahead = 0;
	uint32_t returned = 0;

	req->instance = random_below(&sim->random.random, sim->nr_instances);
	inst = &sim->inst[req->instance];
	inst->openings[req->class]++;
	for (uint32_t c = 0; c <= req->class; c++)
		ahead += inst->waiting[c].length;
	if (!ahead && sim_place(sim, req))
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(inst->returned); i++)
		returned += inst->returned[i];
	if ((ahead + 1) * MSEC_PER_SEC > returned * sim_limit_ms(req->class)) {
		sim_retry(sim, req);
		return;
	}
	req->since_ms = sim->now_ms;
	g_queue_push_tail(&inst->waiting[req->class], req);
}

static void sim_serve_waiting(struct allocsim *sim, struct sim_instance *inst)
{
	for (uint32_t c = 0; c < SIM_CLASSES; c++) {
		while (inst->waiting[c].length) {
			struct sim_request *req = g_queue_peek_head(&inst->waiting[c]);

			if (sim->now_ms - req->since_ms > sim_limit_ms(c)) {
				g_queue_pop_head(&inst->waiting[c]);
				sim_retry(sim, req);
				continue;
			}
			if (!sim_choose(inst))
				break;
			g_queue_pop_head(&inst->waiting[c]);
			sim_place(sim, req);
		}
	}
}

static void sim_finish(struct allocsim *sim, struct sim_request *req)
{
	struct sim_target *tgt = &sim->targets[req->target];

	if (tgt->dead) {
		/* The answer never comes; the request is moved when its instance learns it. */
		g_queue_push_tail(&tgt->queue, req);
		return;
	}
	tgt->running--;
	if (tgt->queue.length)
		sim_start_work(sim, req->target, g_queue_pop_head(&tgt->queue));
	sim_return(sim, req);
	sim->inst[req->instance].seen[req->target].completed++;
	sim_end_request(sim, req, true);
}

/* Requests at dead targets go to others when the instance learns of the death. */
static void sim_abandon(struct allocsim *sim, uint32_t instance)
{
	for (uint32_t t = 0; t < sim->nr_targets; t++) {
		GQueue *queue = &sim->targets[t].queue;

		if (!sim->targets[t].dead)
			continue;
		for (guint nr = queue->length; nr--;) {
			struct sim_request *req = g_queue_pop_head(queue);

			if (req->instance != instance) {
				g_queue_push_tail(queue, req);
				continue;
			}
			sim_return(sim, req);
			sim->inst[instance].seen[t].failed++;
			sim_at(sim, sim->retries, 0, req);
		}
	}
}

/*
 * A target that is newly held starts half a use after the latest choice. When it started with the
 * smallest virtual time of the others, 58 instances gave slow ones of 120 targets 1.24 times the
 * load of fast ones.
 */
static void sim_start_vtimes(struct sim_instance *inst, const GArray *entries)
{
	bool held[SIM_TARGETS] = { false };

	for (size_t i = 0; i < inst->entries->len; i++)
		held[g_array_index(inst->entries, struct credit_entry, i).target - 1] = true;
	for (size_t i = 0; i < entries->len; i++) {
		const struct credit_entry *entry = &g_array_index(entries, struct credit_entry, i);
		double *vtime = &inst->vtime[entry->target - 1];

		if (!held[entry->target - 1])
			*vtime = MAX(*vtime, inst->vnow + 500.0 / entry->speed_permille);
	}
}

static void sim_apply_grants(struct allocsim *sim, uint32_t instance)
{
	struct sim_instance *inst = &sim->inst[instance];
	struct sim_grant *grant;

	while ((grant = g_queue_peek_head(&inst->grants)) && grant->due_ms <= sim->now_ms) {
		g_queue_pop_head(&inst->grants);
		sim_start_vtimes(inst, grant->entries);
		g_array_set_size(inst->entries, 0);
		g_array_append_vals(inst->entries, grant->entries->data, grant->entries->len);
		sim_free_grant(grant);
		sim_abandon(sim, instance);
	}
}

/* Observations of an instance, and the averages of its demand. */
static void sim_report(struct allocsim *sim, uint32_t instance)
{
	struct sim_instance *inst = &sim->inst[instance];
	double keep = exp(-SIM_INTERVAL_MS / 1000.0);

	for (size_t c = 0; c < SIM_CLASSES; c++) {
		inst->rate[c] = inst->rate[c] * keep +
				inst->openings[c] * (1 - keep) * MSEC_PER_SEC / SIM_INTERVAL_MS;
		inst->openings[c] = 0;
	}
	for (uint32_t t = 0; t < sim->nr_targets; t++) {
		struct credit_observation *obs = &inst->seen[t];

		obs->target = sim_key(t);
		obs->dead = sim->targets[t].dead && obs->failed + inst->in_use[t];
		if (obs->completed || obs->rejected || obs->failed || obs->dead)
			monitor_add(sim->mon, instance + 1, SIM_SERVICE, obs, sim_now(sim));
		*obs = (struct credit_observation){ 0 };
	}
}

static size_t sim_list_targets(struct allocsim *sim, struct alloc_target *targets)
{
	size_t nr = 0;

	for (uint32_t t = 0; t < sim->nr_targets; t++)
		targets[t] = (struct alloc_target){ .key = sim_key(t), .slots = SIM_SLOTS };
	monitor_tick(sim->mon, SIM_SERVICE, targets, sim->nr_targets, SIM_INTERVAL_MS,
		     sim_now(sim));
	for (uint32_t t = 0; t < sim->nr_targets; t++) {
		struct target_condition cond;

		monitor_get(sim->mon, sim_key(t), sim_now(sim), &cond);
		if (sim->targets[t].dead)
			continue;
		targets[nr] = targets[t];
		targets[nr].speed_permille = cond.speed_permille;
		targets[nr++].capacity_permille = cond.capacity_permille;
	}
	return nr;
}

static void sim_round(struct allocsim *sim)
{
	struct alloc_target targets[SIM_TARGETS];
	struct alloc_member members[SIM_INSTANCES] = { 0 };
	struct alloc_round round = { .targets = targets,
				     .members = members,
				     .nr_members = sim->nr_instances };

	for (uint32_t i = 0; i < sim->nr_instances; i++) {
		sim_report(sim, i);
		members[i].id = i + 1;
		for (size_t c = 0; c < SIM_CLASSES; c++)
			members[i].openings_milli_per_s[1 + c] =
				(uint64_t)(sim->inst[i].rate[c] * 1000);
	}
	round.nr_targets = sim_list_targets(sim, targets);
	round.service_time_us = monitor_service_time_us(sim->mon, SIM_SERVICE);
	round.goal_ms = SIM_GOAL_MS;
	round.now = sim_now(sim);
	allocator_run(sim->al, &round);
	for (uint32_t i = 0; i < sim->nr_instances; i++) {
		const GArray *entries = allocator_credits(sim->al, i + 1);
		struct sim_grant *grant = g_new0(struct sim_grant, 1);

		grant->due_ms = sim->now_ms + (sim->same_lag ? 200 : sim->inst[i].lag_ms);
		grant->entries = g_array_new(FALSE, FALSE, sizeof(struct credit_entry));
		if (entries)
			g_array_append_vals(grant->entries, entries->data, entries->len);
		g_queue_push_tail(&sim->inst[i].grants, grant);
	}
}

static void sim_arrivals(struct allocsim *sim)
{
	for (uint32_t c = 0; c < SIM_CLASSES; c++) {
		while (sim->rate[c] > 0 && sim->next[c] <= (double)sim->now_ms) {
			struct sim_request *req = g_new0(struct sim_request, 1);

			sim->next[c] -= log(sim_uniform(sim)) / sim->rate[c];
			req->class = c;
			req->first_ms = sim->now_ms;
			req->counted = sim->counting;
			sim_open(sim, req);
		}
	}
}

static void sim_run_wheel(struct allocsim *sim, GPtrArray **wheel,
			  void (*fn)(struct allocsim *sim, struct sim_request *req))
{
	GPtrArray *due = wheel[sim->now_ms % SIM_HORIZON_MS];

	/* The functions add to other times only. */
	while (due->len)
		fn(sim, g_ptr_array_steal_index_fast(due, due->len - 1));
}

/* Requests for each millisecond. */
static double sim_capacity(const struct allocsim *sim)
{
	double speed = 0;

	for (uint32_t t = 0; t < sim->nr_targets; t++)
		speed += sim->targets[t].speed;
	return speed * SIM_SLOTS / SIM_WORK_MS;
}

/* Loads in times the capacity. */
static void allocsim_run(struct allocsim *sim, int64_t ms, double important, double lower)
{
	const double loads[SIM_CLASSES] = { important, lower };

	for (size_t c = 0; c < SIM_CLASSES; c++) {
		sim->rate[c] = loads[c] * sim_capacity(sim);
		sim->next[c] = (double)sim->now_ms;
	}
	for (int64_t end = sim->now_ms + ms; sim->now_ms < end; sim->now_ms++) {
		if (sim->now_ms % SIM_INTERVAL_MS == 0)
			sim_round(sim);
		for (uint32_t i = 0; i < sim->nr_instances; i++) {
			if (sim->now_ms % SIM_COUNT_MS == 0)
				sim_next_count(sim, &sim->inst[i]);
			sim_apply_grants(sim, i);
			sim_serve_waiting(sim, &sim->inst[i]);
		}
		sim_run_wheel(sim, sim->ends, sim_finish);
		sim_run_wheel(sim, sim->retries, sim_open);
		sim_arrivals(sim);
	}
}

static void allocsim_count(struct allocsim *sim, bool counting)
{
	sim->counting = counting;
	if (!counting)
		return;
	sim->arrived = sim->rejected = 0;
	memset(sim->classes, 0, sizeof(sim->classes));
	for (size_t c = 0; c < SIM_CLASSES; c++)
		sim->classes[c].last_ms = sim->now_ms;
	for (uint32_t t = 0; t < sim->nr_targets; t++)
		sim->targets[t].arrived = 0;
}

/* Busiest target to the mean, in arrivals by speed. */
static double allocsim_busiest(const struct allocsim *sim)
{
	double most = 0;
	double sum = 0;

	for (uint32_t t = 0; t < sim->nr_targets; t++) {
		double load = sim->targets[t].arrived / sim->targets[t].speed;

		most = MAX(most, load);
		sum += load;
	}
	return sum > 0 ? most / (sum / sim->nr_targets) : 0;
}

static double allocsim_in_time(const struct allocsim *sim, uint32_t class)
{
	const struct sim_class *cls = &sim->classes[class];

	return cls->requests ? (double)cls->in_time / (double)cls->requests : 1;
}

static double allocsim_rejected(const struct allocsim *sim)
{
	return sim->arrived ? (double)sim->rejected / (double)sim->arrived : 0;
}

#endif
