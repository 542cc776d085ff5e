/*
 * Simulates the relay between instances of one data centre, without real time or a network. Guards
 * against a failed reader leaving its followers with store data that is outdated, incomplete, or of
 * an earlier revision than before. Each case is a script; after each step the revisions of all
 * instances are checked not to have decreased.
 */
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "random.h"
#include "relay.h"
#include "snapshot.h"
#include "t/silent-out.h"
#include "timeutil.h"
#include "view.h"

#define MAX_NODES   12
#define STEP_MS	    10
#define START_MS    1000000
#define SELF_IP	    0x0a000001u
#define PORT	    7000
#define ROLES	    4
#define MAX_TARGETS 400

struct change {
	int64_t revision;
	char id[16];
	unsigned int
		name_bytes; /* length of the target's service and data centre, 0 for usual ones */
	unsigned int nr;    /* of the write: later writes have higher ones, also after a restore */
	bool draining;
	bool removed;
	uint32_t cold_ms; /* when the entry was written */
};

struct datagram {
	int64_t due_ms;
	unsigned int src, dst;
	GBytes *bytes;
};

struct sim;

struct node {
	struct relay_out out; /* first member */
	struct upstream upstream;
	struct steer_out steer_out;
	struct sim *sim;
	struct control_state control_state;
	struct relay *relay;
	unsigned int nr;
	uint32_t incarnation;
	bool up, frozen, refused, running, lookup_pending;
	bool fetch_pending[CONTROL_KINDS];
	struct reader_entry claim;
	bool claim_pending;
	unsigned int calls; /* calls to the store since the last "count" */
	size_t bytes;	    /* sent to other instances since the last "count" */
	struct store_version complete[CONTROL_KINDS];
	uint64_t version;
};

struct sim {
	struct node nodes[MAX_NODES];
	struct timespec resumed;
	unsigned int frozen; /* the instance that was frozen last */
	unsigned int last;   /* the instance that was stopped or refused last */
	struct seeded_random random;
	int64_t now_ms;
	GArray *changes; /* struct change: the history of the store */
	unsigned int nr_writes;
	unsigned int nr_lost; /* writes up to this one may have been lost by a restore */
	int64_t era;
	int64_t revision;
	int64_t config_revision;
	uint64_t config_version;
	int64_t withdrawn_revision;
	bool withdrawn;
	unsigned int nr_withdrawn_more; /* data centres without targets, withdrawn too */
	struct reader_entry entry;	/* revision 0 for none */
	int64_t warm_ms;		/* end of the cold phase of the targets of "cold" */
	bool credits;
	struct store_copy {
		guint nr_changes;
		int64_t revision;
		uint64_t config_version;
		bool withdrawn;
		unsigned int nr_withdrawn_more;
		struct reader_entry entry;
	} copy;		  /* of the store, for a restore */
	bool lose_claims; /* claims are applied, but their answers are lost */
	GPtrArray *sent;
	bool link_cut[MAX_NODES][MAX_NODES];
	unsigned int loss_percent;
};

static struct store_version sim_version(const struct sim *sim, int64_t revision)
{
	return store_version_make(sim->era, revision);
}

static struct timespec sim_now(const struct sim *sim)
{
	return ts_from_ms(START_MS + sim->now_ms);
}

static void free_datagram(gpointer data)
{
	struct datagram *dg = data;

	g_bytes_unref(dg->bytes);
	g_free(dg);
}

static void out_send(struct relay_out *out, struct endpoint dst, const uint8_t *bytes, size_t len)
{
	struct node *node = (struct node *)out;
	struct sim *sim = node->sim;
	struct datagram *dg;

	g_assert_cmpuint(dst.port, ==, PORT);
	g_assert_cmpuint(dst.ip - SELF_IP, <, MAX_NODES);
	/* Larger datagrams would be fragmented, and lost more often. */
	g_assert_cmpuint(len, <=, 1400);
	node->bytes += len;
	if (sim->link_cut[node->nr][dst.ip - SELF_IP] ||
	    random_below(&sim->random.random, 100) < sim->loss_percent)
		return;
	dg = g_new(struct datagram, 1);
	*dg = (struct datagram){ sim->now_ms + STEP_MS, node->nr, dst.ip - SELF_IP,
				 g_bytes_new(bytes, len) };
	g_ptr_array_add(sim->sent, dg);
}

static const struct relay_out_ops out_ops = { out_send };

static struct node *node_of(struct upstream *up)
{
	return (struct node *)((char *)up - offsetof(struct node, upstream));
}

static void up_run(struct upstream *up)
{
	node_of(up)->running = true;
}

static void up_pause(struct upstream *up)
{
	node_of(up)->running = false;
	memset(node_of(up)->fetch_pending, 0, sizeof(node_of(up)->fetch_pending));
}

static void up_fetch(struct upstream *up, enum control_kind kind)
{
	node_of(up)->fetch_pending[kind] = true;
}

static void up_lookup_reader(struct upstream *up, bool fresh)
{
	(void)fresh;
	node_of(up)->lookup_pending = true;
}

static void up_claim(struct upstream *up, const struct reader_entry *entry)
{
	node_of(up)->claim = *entry;
	node_of(up)->claim_pending = true;
}

static void up_refresh(struct upstream *up)
{
	(void)up;
}

static const struct upstream_ops upstream_ops = {
	up_run, up_pause, up_refresh, up_fetch, up_lookup_reader, up_claim,
};

static void start_node(struct sim *sim, unsigned int nr)
{
	struct node *node = &sim->nodes[nr];
	struct control_state_options control_state = {
		.data_centre = "home",
		.max_flows = 1024,
		.random = &sim->random.random,
		.out = &node->steer_out,
		.credits = sim->credits,
	};
	struct relay_options relay = {
		.control_state = &node->control_state,
		.upstream = &node->upstream,
		.out = &node->out,
		.self = { SELF_IP + nr, PORT },
		.incarnation = node->incarnation + 1,
		.random = &sim->random.random,
		.credit_interval_ms = 250,
	};

	g_assert_false(node->up);
	*node = (struct node){
		.out = { &out_ops },
		.upstream = { &upstream_ops },
		.steer_out = { &null_out_ops },
		.sim = sim,
		.nr = nr,
		.incarnation = relay.incarnation,
		.refused = node->refused,
		.up = true,
	};
	control_state_init(&node->control_state, &control_state);
	relay.account = node->control_state.credit;
	node->relay = relay_new(&relay);
	relay_start(node->relay, sim_now(sim));
}

static void end_node(struct node *node)
{
	if (!node->up)
		return;
	relay_free(node->relay);
	control_state_release(&node->control_state);
	node->up = false;
}

/* A symbol for a name of @len bytes that differs for each @id and @label. */
static uint32_t long_name(struct symbols *syms, const char *id, const char *label, unsigned int len)
{
	GString *name = g_string_new(NULL);
	uint32_t sym;

	while (name->len < len)
		g_string_append_printf(name, "%s-%s-", label, id);
	g_string_truncate(name, len);
	sym = symbols_intern(syms, name->str);
	g_string_free(name, TRUE);
	return sym;
}

static void report_target(struct node *node, const struct change *chg, struct timespec now)
{
	struct symbols *syms = &node->control_state.symbols;
	struct target_info info = {
		.id = chg->id,
		/* Tells writes apart, but the repeated ones of a cold phase. */
		.wire_id = chg->cold_ms ? 1 : chg->nr,
		.ep = { 0x0a800000 + (g_str_hash(chg->id) & 0xffff), 80 },
		.service = symbols_intern(syms, "web"),
		.data_centre = symbols_intern(syms, "home"),
		.slots = 2,
		.draining = chg->draining,
		.cold_ms = chg->cold_ms,
		.born_ms = 5,
		.revision = sim_version(node->sim, chg->revision),
	};

	if (chg->name_bytes) {
		info.service = long_name(syms, chg->id, "service", chg->name_bytes);
		info.data_centre = long_name(syms, chg->id, "zone", chg->name_bytes);
	}
	if (chg->removed)
		control_state_remove_target(&node->control_state, chg->id, now);
	else
		control_state_put_target(&node->control_state, &info, now);
}

/* Whether the change is the latest one of its target; the list consists of these. */
static bool is_latest_change(const struct sim *sim, guint i)
{
	const struct change *chg = &g_array_index(sim->changes, struct change, i);

	for (guint j = i + 1; j < sim->changes->len; j++) {
		if (!strcmp(g_array_index(sim->changes, struct change, j).id, chg->id))
			return false;
	}
	return true;
}

static void report_targets(struct node *node, struct timespec now)
{
	const struct sim *sim = node->sim;
	struct control_state *cs = &node->control_state;
	struct store_version complete = cs->complete[CONTROL_TARGETS];
	bool list = !complete.order || store_version_era(complete) < sim->era || cs->kept.relist;

	if (list)
		control_state_targets_begin(cs);
	for (guint i = 0; i < sim->changes->len; i++) {
		const struct change *chg = &g_array_index(sim->changes, struct change, i);

		if (list ? chg->removed || !is_latest_change(sim, i)
			 : chg->revision <= store_version_revision(complete))
			continue;
		report_target(node, chg, now);
	}
	if (list)
		control_state_targets_end(cs, now);
}

static void report_config(struct node *node, struct timespec now)
{
	struct routing *rt = node->control_state.routing;
	struct route_rule rule = { .address = { 0xc6120001u, 80 }, .nr_services = 1 };

	if (!routing_begin(rt, node->sim->config_version))
		return;
	routing_add_route(rt, &rule);
	control_state_commit_config(&node->control_state, now);
}

static void report_withdrawals(struct node *node, struct timespec now)
{
	control_state_withdrawals_begin(&node->control_state);
	for (unsigned int i = 0; i < node->sim->nr_withdrawn_more; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "data-centre-without-targets-%02u", i);
		control_state_withdraw(&node->control_state, name, true, now);
	}
	if (node->sim->withdrawn)
		control_state_withdraw(&node->control_state, "home", true, now);
	control_state_withdrawals_end(&node->control_state, now);
}

static void report_answer(struct node *node, enum control_kind kind, struct timespec now)
{
	struct control_state *cs = &node->control_state;

	node->calls++;
	node->fetch_pending[kind] = false;
	if (node->refused) {
		control_state_store_failed(cs, "status 503", now);
		return;
	}
	control_state_store_answered(cs, kind, now);
	control_state_begin_answer(cs, sim_version(node->sim, node->sim->revision), now);
	switch (kind) {
	case CONTROL_TARGETS:
		report_targets(node, now);
		break;
	case CONTROL_CONFIG:
		report_config(node, now);
		break;
	case CONTROL_WITHDRAWALS:
	case CONTROL_KINDS:
		report_withdrawals(node, now);
		break;
	}
	control_state_complete(cs, kind, sim_version(node->sim, node->sim->revision));
	control_state_received(cs, kind, now);
}

static void answer_claim(struct node *node, struct timespec now)
{
	struct sim *sim = node->sim;
	bool done = !node->refused && !store_version_cmp(sim->entry.revision, node->claim.revision);

	node->claim_pending = false;
	node->calls++;
	if (done) {
		sim->entry = node->claim;
		sim->entry.revision = sim_version(sim, ++sim->revision);
	}
	relay_claim_done(node->relay, done && !sim->lose_claims, now);
}

/* The store answers lookups and claims at once, and watches and fetches every 100 ms. */
static void serve_store(struct node *node, struct timespec now)
{
	struct sim *sim = node->sim;

	if (node->lookup_pending) {
		node->lookup_pending = false;
		node->calls++;
		relay_lookup_done(node->relay, !node->refused,
				  store_version_known(sim->entry.revision) && !node->refused
					  ? &sim->entry
					  : NULL,
				  now);
	}
	if (node->claim_pending)
		answer_claim(node, now);
	if (sim->now_ms % 100)
		return;
	for (int i = 0; i < CONTROL_KINDS; i++) {
		if (node->running || node->fetch_pending[i])
			report_answer(node, (enum control_kind)i, now);
	}
	relay_control_state_changed(node->relay, now);
}

static void check_no_regression(struct node *node)
{
	for (int i = 0; i < CONTROL_KINDS; i++) {
		g_assert_cmpint(node->control_state.complete[i].order, >=, node->complete[i].order);
		node->complete[i] = node->control_state.complete[i];
	}
	g_assert_cmpuint(routing_version(node->control_state.routing), >=, node->version);
	node->version = routing_version(node->control_state.routing);
}

static void deliver(struct sim *sim)
{
	for (guint i = 0; i < sim->sent->len;) {
		struct datagram *dg = g_ptr_array_index(sim->sent, i);
		struct node *dst = &sim->nodes[dg->dst];
		gsize len;
		const uint8_t *bytes = g_bytes_get_data(dg->bytes, &len);

		if (dg->due_ms > sim->now_ms || dst->frozen) {
			i++;
			continue;
		}
		if (dst->up)
			relay_receive(dst->relay, (struct endpoint){ SELF_IP + dg->src, PORT },
				      bytes, len, sim_now(sim));
		g_ptr_array_remove_index(sim->sent, i);
	}
}

static void step(struct sim *sim)
{
	struct timespec now;

	sim->now_ms += STEP_MS;
	now = sim_now(sim);
	deliver(sim);
	for (unsigned int i = 0; i < MAX_NODES; i++) {
		struct node *node = &sim->nodes[i];

		if (!node->up || node->frozen)
			continue;
		serve_store(node, now);
		control_state_timer(&node->control_state, now);
		if (relay_due_ms(node->relay, now) <= STEP_MS)
			relay_timer(node->relay, now);
		check_no_regression(node);
	}
}

static void change_target(struct sim *sim, const char *id, bool draining, bool removed)
{
	struct change chg = {
		.revision = ++sim->revision,
		.nr = ++sim->nr_writes,
		.draining = draining,
		.removed = removed,
	};

	g_strlcpy(chg.id, id, sizeof(chg.id));
	g_array_append_val(sim->changes, chg);
	g_test_message("%lld ms: write %u at revision %lld, %s%s", (long long)sim->now_ms, chg.nr,
		       (long long)chg.revision, id, removed ? " removed" : "");
}

/* Adds targets "f0", "f1" and so on, whose service and data centre have names of @bytes. */
static void put_long_names(struct sim *sim, unsigned int nr, unsigned int bytes)
{
	for (unsigned int i = 0; i < nr; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "f%u", i);
		change_target(sim, id, false, false);
		g_array_index(sim->changes, struct change, sim->changes->len - 1).name_bytes =
			bytes;
	}
}

/* Targets "c000", "c001" and so on write their entries, with the rest of their cold phase. */
static void write_cold_targets(struct sim *sim, unsigned int nr)
{
	for (unsigned int i = 0; i < nr; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "c%03u", i);
		change_target(sim, id, false, false);
		g_array_index(sim->changes, struct change, sim->changes->len - 1).cold_ms =
			(uint32_t)MAX(sim->warm_ms - sim->now_ms, 0);
	}
}

static void take_copy(struct sim *sim)
{
	sim->copy =
		(struct store_copy){ sim->changes->len, sim->revision,		sim->config_version,
				     sim->withdrawn,	sim->nr_withdrawn_more, sim->entry };
}

/* The store is restored from its copy. */
static void drill(struct sim *sim)
{
	const struct store_copy *copy = &sim->copy;

	g_array_set_size(sim->changes, copy->nr_changes);
	sim->nr_lost = sim->nr_writes;
	sim->era++;
	sim->revision = copy->revision;
	sim->config_version = copy->config_version;
	sim->withdrawn = copy->withdrawn;
	sim->nr_withdrawn_more = copy->nr_withdrawn_more;
	sim->entry = copy->entry;
	if (store_version_known(sim->entry.revision))
		sim->entry.revision =
			sim_version(sim, store_version_revision(copy->entry.revision));
}

static enum relay_role role_named(const char *name)
{
	for (int i = 0; i < ROLES; i++) {
		if (!strcmp(name, relay_role_name((enum relay_role)i)))
			return (enum relay_role)i;
	}
	g_error("unknown role: %s", name);
}

static const struct node *current_reader(struct sim *sim)
{
	for (unsigned int i = 0; i < MAX_NODES; i++) {
		if (sim->nodes[i].up && relay_role(sim->nodes[i].relay) == RELAY_READING)
			return &sim->nodes[i];
	}
	return NULL;
}

/* @word: a number, or "reader", "other" (a follower), "last" or "frozen". */
static unsigned int node_named(struct sim *sim, const char *word)
{
	if (!strcmp(word, "reader")) {
		g_assert_nonnull(current_reader(sim));
		return current_reader(sim)->nr;
	}
	if (!strcmp(word, "other")) {
		for (unsigned int i = 0; i < MAX_NODES; i++) {
			if (sim->nodes[i].up && relay_role(sim->nodes[i].relay) == RELAY_FOLLOWING)
				return i;
		}
		g_error("no instance is a follower");
	}
	if (!strcmp(word, "last"))
		return sim->last;
	if (!strcmp(word, "frozen"))
		return sim->frozen;
	return (unsigned int)g_ascii_strtoull(word, NULL, 10);
}

static void check_target(struct node *node, const char *id, const char *phase)
{
	const struct reg_target *tgt = registry_by_id(node->control_state.registry, id);

	g_test_message("instance %u: %s, expecting %s, targets complete to %lld", node->nr,
		       relay_role_name(relay_role(node->relay)), phase,
		       (long long)node->control_state.complete[CONTROL_TARGETS].order);
	/* Targets that have left are deleted from the registry after a minute. */
	if (!strcmp(phase, "left"))
		g_assert_true(!tgt || tgt->phase == TARGET_GONE);
	else
		g_assert_cmpstr(tgt ? target_phase_name(tgt->phase) : "unknown", ==, phase);
}

static void check_each(struct sim *sim, char **words)
{
	for (unsigned int i = 0; i < MAX_NODES; i++) {
		struct node *node = &sim->nodes[i];
		struct control_state *cs = &node->control_state;

		if (!node->up || node->frozen)
			continue;
		if (!strcmp(words[1], "target"))
			check_target(node, words[2], words[3]);
		else if (!strcmp(words[1], "config"))
			g_assert_cmpuint(routing_version(cs->routing), ==,
					 g_ascii_strtoull(words[2], NULL, 10));
		else if (!strcmp(words[1], "withdrawn"))
			g_assert_true(placing_is_withdrawn(&cs->placing,
							   symbols_intern(&cs->symbols, "home")) ==
				      !strcmp(words[2], "yes"));
		else if (!strcmp(words[1], "current"))
			g_assert_cmpint(store_version_era(cs->complete[CONTROL_TARGETS]), ==,
					sim->era);
		else if (!strcmp(words[1], "ready"))
			g_assert_true(control_state_ready(cs));
		else
			g_error("unknown check: each %s", words[1]);
	}
}

/* "roles ROLE COUNT": exactly COUNT instances have the role. */
static void check_roles(struct sim *sim, char **words)
{
	unsigned int nr = 0;

	for (unsigned int i = 0; i < MAX_NODES; i++)
		nr += sim->nodes[i].up && relay_role(sim->nodes[i].relay) == role_named(words[1]);
	g_assert_cmpuint(nr, ==, g_ascii_strtoull(words[2], NULL, 10));
}

static unsigned int total_calls(const struct sim *sim)
{
	unsigned int nr = 0;

	for (unsigned int i = 0; i < MAX_NODES; i++)
		nr += sim->nodes[i].calls;
	return nr;
}

static void reset_counts(struct sim *sim)
{
	for (unsigned int i = 0; i < MAX_NODES; i++) {
		sim->nodes[i].calls = 0;
		sim->nodes[i].bytes = 0;
	}
}

static void send_garbage(struct sim *sim, unsigned int nr)
{
	uint8_t bytes[120];

	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = (uint8_t)random_below(&sim->random.random, 256);
	for (size_t len = 0; len < sizeof(bytes); len += 7)
		relay_receive(sim->nodes[nr].relay, (struct endpoint){ SELF_IP + 3, PORT }, bytes,
			      len, sim_now(sim));
}

static void run_command(struct sim *sim, char **words)
{
	const char *cmd = words[0];

	if (!strcmp(cmd, "boot")) {
		unsigned int last = (unsigned int)g_ascii_strtoull(words[2], NULL, 10);

		for (unsigned int i = node_named(sim, words[1]); i <= last; i++)
			start_node(sim, i);
	} else if (!strcmp(cmd, "run")) {
		int64_t end = sim->now_ms + g_ascii_strtoll(words[1], NULL, 10);

		while (sim->now_ms < end)
			step(sim);
	} else if (!strcmp(cmd, "put")) {
		change_target(sim, words[1], false, false);
	} else if (!strcmp(cmd, "many")) {
		for (unsigned int i = 0; i < MAX_TARGETS; i++) {
			char id[16];

			g_snprintf(id, sizeof(id), "m%03u", i);
			change_target(sim, id, false, false);
		}
	} else if (!strcmp(cmd, "put-long-names")) {
		put_long_names(sim, (unsigned int)g_ascii_strtoull(words[1], NULL, 10),
			       (unsigned int)g_ascii_strtoull(words[2], NULL, 10));
	} else if (!strcmp(cmd, "cold")) {
		sim->warm_ms = sim->now_ms + g_ascii_strtoll(words[2], NULL, 10);
		write_cold_targets(sim, (unsigned int)g_ascii_strtoull(words[1], NULL, 10));
	} else if (!strcmp(cmd, "beat")) {
		write_cold_targets(sim, (unsigned int)g_ascii_strtoull(words[1], NULL, 10));
	} else if (!strcmp(cmd, "copy")) {
		take_copy(sim);
	} else if (!strcmp(cmd, "drill")) {
		drill(sim);
	} else if (!strcmp(cmd, "drain")) {
		change_target(sim, words[1], true, false);
	} else if (!strcmp(cmd, "remove")) {
		change_target(sim, words[1], false, true);
	} else if (!strcmp(cmd, "config")) {
		sim->config_version = g_ascii_strtoull(words[1], NULL, 10);
		sim->config_revision = ++sim->revision;
	} else if (!strcmp(cmd, "withdraw") || !strcmp(cmd, "restore")) {
		sim->withdrawn = !strcmp(cmd, "withdraw");
		sim->withdrawn_revision = ++sim->revision;
	} else if (!strcmp(cmd, "withdraw-more")) {
		sim->nr_withdrawn_more = (unsigned int)g_ascii_strtoull(words[1], NULL, 10);
		sim->withdrawn_revision = ++sim->revision;
	} else if (!strcmp(cmd, "freeze") || !strcmp(cmd, "wake")) {
		sim->frozen = node_named(sim, words[1]);
		sim->nodes[sim->frozen].frozen = !strcmp(cmd, "freeze");
	} else if (!strcmp(cmd, "wake-all")) {
		for (unsigned int i = 0; i < MAX_NODES; i++)
			sim->nodes[i].frozen = false;
	} else if (!strcmp(cmd, "unconfirmed")) {
		g_assert_false(control_state_received_since(
			&sim->nodes[node_named(sim, words[1])].control_state, sim->resumed));
	} else if (!strcmp(cmd, "resume-all")) {
		sim->resumed = sim_now(sim);
		for (unsigned int i = 0; i < MAX_NODES; i++) {
			if (sim->nodes[i].frozen)
				relay_process_resumed(sim->nodes[i].relay, sim_now(sim));
			sim->nodes[i].frozen = false;
		}
	} else if (!strcmp(cmd, "kill")) {
		end_node(&sim->nodes[node_named(sim, words[1])]);
	} else if (!strcmp(cmd, "stop")) {
		sim->last = node_named(sim, words[1]);
		relay_stop(sim->nodes[sim->last].relay, sim_now(sim));
	} else if (!strcmp(cmd, "silence")) {
		/* Datagrams from the instance are lost; those to it arrive. */
		memset(sim->link_cut[node_named(sim, words[1])], true, sizeof(sim->link_cut[0]));
	} else if (!strcmp(cmd, "heal")) {
		memset(sim->link_cut, 0, sizeof(sim->link_cut));
	} else if (!strcmp(cmd, "refuse") || !strcmp(cmd, "serve")) {
		sim->last = node_named(sim, words[1]);
		sim->nodes[sim->last].refused = !strcmp(cmd, "refuse");
	} else if (!strcmp(cmd, "refuse-all") || !strcmp(cmd, "serve-all")) {
		for (unsigned int i = 0; i < MAX_NODES; i++)
			sim->nodes[i].refused = !strcmp(cmd, "refuse-all");
	} else if (!strcmp(cmd, "loss")) {
		sim->loss_percent = (unsigned int)g_ascii_strtoull(words[1], NULL, 10);
	} else if (!strcmp(cmd, "lose-claims")) {
		sim->lose_claims = !strcmp(words[1], "yes");
	} else if (!strcmp(cmd, "spoil-entry")) {
		sim->entry = (struct reader_entry){ .revision = sim_version(sim, ++sim->revision) };
	} else if (!strcmp(cmd, "garbage")) {
		send_garbage(sim, node_named(sim, words[1]));
	} else if (!strcmp(cmd, "each")) {
		check_each(sim, words);
	} else if (!strcmp(cmd, "roles")) {
		check_roles(sim, words);
	} else if (!strcmp(cmd, "count")) {
		reset_counts(sim);
	} else if (!strcmp(cmd, "calls-below")) {
		g_assert_cmpuint(total_calls(sim), <, g_ascii_strtoull(words[1], NULL, 10));
	} else if (!strcmp(cmd, "bytes-below")) {
		g_test_message("the reader has sent %zu bytes", current_reader(sim)->bytes);
		g_assert_cmpuint(current_reader(sim)->bytes, <,
				 g_ascii_strtoull(words[1], NULL, 10));
	} else {
		g_error("unknown command: %s", cmd);
	}
}

struct script {
	const char *name;
	const char *text;
	bool credits;
};

#define FLEET "put a; put b; config 3; boot 0 7; run 6000; roles reading 1; roles following 7; "

static const struct script scripts[] = {
	/* Without a reader, each instance queries the store at once. */
	{ "start-with-no-reader", "put a; config 3; boot 0 7; run 320; each ready; "
				  "each target a ready; each config 3" },
	{ "one-reads", FLEET "each target a ready" },
	{ "changes-are-told",
	  FLEET "count; drain a; remove b; put c; config 9; withdraw; run 400; "
		"each target a draining; each target b gone; each target c ready; each config 9; "
		"each withdrawn yes; restore; run 400; each withdrawn no" },
	/* Only the reader calls the store: for three kinds of data, every 100 ms. */
	{ "calls-do-not-grow", FLEET "count; run 3000; calls-below 100" },
	{ "start-beside-a-reader",
	  FLEET "count; boot 8 11; run 300; each ready; each target a ready; each config 3; "
		"roles following 11; calls-below 30" },
	{ "start-beside-a-reader-of-many-targets",
	  "many; config 3; boot 0 7; run 6000; roles reading 1; boot 8 8; run 600; "
	  "roles following 8; each ready; each target m000 ready; each target m399 ready" },
	{ "many-changes-with-loss",
	  FLEET "loss 20; many; drain a; run 4000; loss 0; run 2000; each target a draining; "
		"each target m000 ready; each target m399 ready" },
	/* The bound on drains and configurations is 3 s on the smallest deployments. */
	{ "frozen-reader",
	  FLEET "freeze reader; drain a; config 9; run 2000; each target a draining; "
		"each config 9; run 6000; wake-all; run 200; each target a draining; "
		"each config 9; run 16000; roles reading 1" },
	/* From /edge/faults, seed 1: a reader that was suspended too must not confirm old data. */
	{ "reader-paused-too", FLEET
	  "refuse reader; freeze reader; freeze other; drain a; run 1000; resume-all; run 60; "
	  "unconfirmed frozen; run 300; freeze last; each target a draining" },
	{ "killed-reader",
	  FLEET "kill reader; drain a; config 9; run 2000; each target a draining; "
		"each config 9; run 6000; roles reading 1; roles following 6" },
	{ "restarted-reader",
	  FLEET "drain a; kill 0; boot 0 0; kill 1; boot 1 1; kill 2; boot 2 2; "
		"kill 3; boot 3 3; run 2000; each target a draining; "
		"each config 3; run 8000; roles reading 1; roles following 7" },
	{ "reader-heard-by-nobody", FLEET "silence reader; drain a; config 9; run 2000; "
					  "each target a draining; each config 9; run 6000; heal; "
					  "run 16000; each target a draining; roles reading 1" },
	{ "reader-refused-by-the-store",
	  FLEET "refuse reader; drain a; config 9; run 7000; serve-all; run 500; "
		"each target a draining; each config 9; run 16000; roles reading 1" },
	{ "others-hear-when-the-reader-is-refused",
	  "put a; config 3; boot 0 7; run 6000; refuse reader; drain a; config 9; run 1500; "
	  "freeze last; each target a draining; each config 9" },
	{ "refused-follower-is-told", FLEET "refuse other; drain a; withdraw; run 500; "
					    "each target a draining; each withdrawn yes" },
	{ "planned-stop", FLEET "stop reader; drain a; config 9; run 700; each target a draining; "
				"each config 9; kill last; run 8000; roles reading 1" },
	/* The reader and few probes of each follower, not ten calls a second of seven followers. */
	{ "store-away-costs-few-calls",
	  FLEET "refuse-all; run 500; count; run 6000; calls-below 250" },
	{ "store-away", FLEET "refuse-all; run 6000; drain a; config 9; serve-all; run 1500; "
			      "each target a draining; each config 9; run 16000; roles reading 1" },
	/* An entry missing after an outage of the store is kept for 2.5 s, also by followers. */
	{ "lapsed-entry", FLEET "refuse-all; run 4000; remove a; serve-all; run 800; "
				"each target a ready; run 4000; each target a gone" },
	{ "lapsed-entry-comes-back",
	  FLEET "refuse-all; run 4000; remove a; serve-all; run 1500; put a; run 6000; "
		"each target a ready" },
	/* A removal deleted from the registry cannot be sent as a change, so the list is sent. */
	{ "follower-away-for-long", FLEET "freeze other; remove a; run 70000; put c; wake-all; "
					  "run 4000; each target a left; each target c ready" },
	/* From review/2: the reader's page could not be encoded, and followers learned nothing
	   more. */
	{ "target-of-a-long-service-name",
	  FLEET "put-long-names 1 160; run 1000; drain a; run 2000; each target a draining; "
		"each target f0 ready; roles following 7" },
	/* Each name alone is short enough; together they exceeded the largest datagram. */
	{ "page-of-many-names",
	  FLEET "put-long-names 12 100; run 1000; drain a; run 2000; each target a draining; "
		"each target f11 ready; roles following 7" },
	{ "targets-of-the-longest-names",
	  FLEET "put-long-names 12 255; run 1000; drain a; boot 8 11; run 2000; "
		"each target a draining; each target f11 ready; roles following 11" },
	/* A page that cannot be sent must not count as sent: followers go to the store instead. */
	{ "page-that-cannot-be-sent",
	  FLEET "put-long-names 1 300; run 500; drain a; run 2500; each target a draining; "
		"run 8000; drain b; run 2500; each target b draining" },
	/* A list of withdrawals that fits no page was cut off, so that some seemed to have ended.
	 */
	{ "withdrawals-that-fit-no-page",
	  FLEET "withdraw; run 400; withdraw-more 90; run 600; each withdrawn yes; "
		"drain a; run 400; each target a draining; boot 8 11; run 1000; each ready; "
		"each withdrawn yes; restore; run 600; each withdrawn no; withdraw; run 600; "
		"each withdrawn yes; roles following 11; withdraw-more 0; restore; run 600; "
		"each withdrawn no" },
	{ "withdrawals-that-fit-no-page-cost-few-calls",
	  FLEET "withdraw-more 90; run 600; count; run 3000; calls-below 100" },
	/*
	 * In its cold phase a target rewrites its entry with each heartbeat, and only the time left
	 * differs. Sent to each follower, this exceeded the link of the reader at 300 instances.
	 */
	{ "cold-targets",
	  FLEET "cold 200 30000; run 1000; count; beat 200; run 770; beat 200; run 770; "
		"beat 200; run 770; beat 200; run 770; beat 200; run 920; bytes-below 40000; "
		"drain c007; run 400; each target c007 draining; each target c008 ready" },
	{ "cold-targets-and-a-new-reader",
	  FLEET "cold 200 30000; run 1000; beat 190; run 770; drain c195; beat 190; run 300; "
		"kill reader; run 8000; beat 190; run 500; roles reading 1; drain c196; run 500; "
		"boot 8 11; run 1000; each ready; each target c195 draining; "
		"each target c196 draining; each target c009 ready; remove c009; run 500; "
		"each target c009 gone" },
	{ "claim-without-an-answer", "lose-claims yes; put a; config 3; boot 0 7; run 6000; "
				     "each target a ready; roles reading 1; drain a; run 1500; "
				     "each target a draining" },
	{ "garbage",
	  FLEET "garbage reader; garbage other; drain a; run 400; each target a draining; "
		"roles reading 1; roles following 7" },
};

/*
 * The store is restored from a copy. Guards against instances that revert to the copy's states, and
 * against those that take new revisions for ones that they have. Between "copy" and "drill" are the
 * writes that the store loses; "put z" moves it beyond the revisions that it has lost.
 */
static const struct script era_scripts[] = {
	/* Written again within the period; targets stay as they were all the time. */
	{ "drain-written-again",
	  FLEET "copy; drain a; run 500; each target a draining; drill; run 3000; "
		"each target a draining; put z; run 300; drain a; run 12000; "
		"each target a draining; each target z ready" },
	{ "drain-not-written-again",
	  FLEET "copy; drain a; run 500; drill; run 9000; each target a draining; run 4000; "
		"each target a ready" },
	{ "left", FLEET "copy; remove b; run 500; drill; run 9000; each target b gone; remove b; "
			"run 4000; each target b gone" },
	{ "left-not-written-again",
	  FLEET "copy; remove b; run 500; drill; run 9000; each target b gone; run 4000; "
		"each target b ready" },
	{ "not-in-the-copy",
	  FLEET "copy; put n; run 500; drill; run 5000; each target n ready; put n; run 12000; "
		"each target n ready" },
	{ "not-in-the-copy-nor-written-again",
	  FLEET "copy; put n; run 500; drill; run 9000; each target n ready; run 4000; "
		"each target n gone" },
	{ "config", FLEET "config 8; copy; config 9; run 500; drill; run 30000; each config 9; "
			  "config 10; run 500; each config 10" },
	{ "withdrawn", FLEET "copy; withdraw; run 500; drill; run 9000; each withdrawn yes; "
			     "withdraw; run 5000; each withdrawn yes" },
	{ "given-back", FLEET "withdraw; run 500; copy; restore; run 500; drill; run 9000; "
			      "each withdrawn no; run 5000; each withdrawn yes" },
	{ "withdrawn-after", FLEET "withdraw; run 500; restore; run 500; copy; put z; run 500; "
				   "drill; run 2000; withdraw; run 500; each withdrawn yes" },
	/* Revisions that were assigned again must not look like known ones. */
	{ "other-changes-at-the-same-revisions",
	  FLEET "copy; put x; put y; run 500; drill; drain b; remove a; run 2000; "
		"each target b draining; each target x ready; run 12000; each target a gone; "
		"each target x gone" },
	{ "outage",
	  FLEET "copy; drain a; run 500; refuse-all; run 5000; drill; serve-all; run 4000; "
		"each target a draining; run 16000; each target a ready; roles reading 1" },
	{ "twice", FLEET "copy; drain a; run 500; drill; run 3000; each target a draining; drill; "
			 "run 9000; each target a draining; run 4000; each target a ready" },
	{ "reader-paused",
	  FLEET "copy; drain a; run 500; freeze reader; drill; run 4000; each target a draining; "
		"put z; drain a; wake-all; run 16000; each target a draining; roles reading 1" },
	{ "reader-killed",
	  FLEET "copy; drain a; run 500; drill; kill reader; run 4000; each target a draining; "
		"run 8000; put z; run 1500; each target z ready; roles reading 1" },
	{ "planned-stop", FLEET "copy; drain a; run 500; stop reader; drill; run 700; "
				"each target a draining; kill last; run 8000; roles reading 1" },
	{ "start-of-the-fleet",
	  "put a; config 3; copy; drain a; boot 0 7; run 400; drill; run 6000; "
	  "each target a draining; each ready; run 8000; roles reading 1" },
	/* The entry of the reader is not in the copy; followers stay with it and it registers. */
	{ "reader-entry-lost",
	  "put a; config 3; copy; boot 0 7; run 6000; roles reading 1; drill; run 5000; "
	  "roles reading 1; roles following 7; boot 8 11; run 1000; roles following 11" },
	/* Three lists instead of watches, one lookup and one claim: 4 calls more than without. */
	{ "followers-do-not-call-the-store", FLEET
	  "copy; many; run 1500; drill; count; run 3000; calls-below 100; each target m000 ready; "
	  "roles following 7" },
	/* The reader lists at once; followers request its list within a second. */
	{ "current-soon", FLEET "drill; run 1300; each current; roles following 7" },
	{ "loss", FLEET "loss 20; copy; drain a; run 2000; drill; run 5000; loss 0; run 2000; "
			"each target a draining; put z; run 400; each target z ready" },
};

static void test_script(gconstpointer data)
{
	const struct script *script = data;
	char **commands = g_strsplit(script->text, ";", 0);
	struct sim *sim = g_new0(struct sim, 1);

	seeded_random_init(&sim->random, 1);
	sim->changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	sim->sent = g_ptr_array_new_with_free_func(free_datagram);
	sim->revision = 10;
	sim->credits = script->credits;
	for (char **command = commands; *command; command++) {
		char **words = g_strsplit(g_strstrip(*command), " ", 0);

		g_test_message("%lld ms: %s", (long long)sim->now_ms, *command);
		if (words[0])
			run_command(sim, words);
		g_strfreev(words);
	}
	for (unsigned int i = 0; i < MAX_NODES; i++)
		end_node(&sim->nodes[i]);
	g_ptr_array_unref(sim->sent);
	g_array_unref(sim->changes);
	g_strfreev(commands);
	g_free(sim);
}

#define HISTORY_NODES	5
#define HISTORY_TARGETS 4
#define HISTORY_STEPS	24
#define HISTORIES	40

/* What an instance has acted on. */
struct acted {
	uint32_t incarnation;
	unsigned int latest[HISTORY_TARGETS]; /* latest write of a target */
	bool left[HISTORY_TARGETS];	      /* the target has left since */
	bool withdrawn;
	bool knows;		     /* @withdrawn is from the store */
	unsigned int nr_withdrawals; /* written up to the state of @withdrawn, or more */
};

struct history {
	struct sim sim;
	struct acted acted[HISTORY_NODES];
	int64_t copied_ms; /* 0: no copy */
	int64_t refused_until_ms;
	bool withdrawals[HISTORY_STEPS]; /* written, also those that were lost */
	unsigned int nr_withdrawals;
};

static const char *target_name(unsigned int nr)
{
	static const char *const names[HISTORY_TARGETS] = { "t0", "t1", "t2", "t3" };

	return names[nr];
}

/* Fails if an instance reverts to an older state, unless the period has ended without the newer. */
static void check_target_state(const struct history *hist, unsigned int node, unsigned int nr,
			       struct acted *acted)
{
	struct control_state *cs = (struct control_state *)&hist->sim.nodes[node].control_state;
	const struct reg_target *tgt = registry_by_id(cs->registry, target_name(nr));
	unsigned int write;

	if (!tgt)
		return;
	write = (unsigned int)tgt->wire_id;
	if (tgt->phase == TARGET_GONE) {
		acted->left[nr] = true;
		return;
	}
	if (write < acted->latest[nr] || (write == acted->latest[nr] && acted->left[nr])) {
		g_test_message("%lld ms, instance %u: %s back from write %u to %u, left %d",
			       (long long)hist->sim.now_ms, node, tgt->id->str, acted->latest[nr],
			       write, acted->left[nr]);
		g_assert_cmpuint(acted->latest[nr], <=, hist->sim.nr_lost);
		g_assert_false(cs->kept.active);
	}
	acted->latest[nr] = write;
	acted->left[nr] = false;
}

static bool any_period_has_ended(const struct history *hist, int64_t era)
{
	for (unsigned int i = 0; i < HISTORY_NODES; i++) {
		const struct node *node = &hist->sim.nodes[i];
		const struct kept *kept = &node->control_state.kept;

		if (node->up && kept->era == era && !kept->active)
			return true;
	}
	return false;
}

/* Fails unless a later write than the one acted on explains the new state. */
static void check_withdrawal(const struct history *hist, struct node *node, struct acted *acted,
			     bool withdrawn)
{
	unsigned int nr = acted->nr_withdrawals;

	g_test_message("%lld ms, instance %u, %s: withdrawn=%d", (long long)hist->sim.now_ms,
		       node->nr, relay_role_name(relay_role(node->relay)), withdrawn);
	while (nr < hist->nr_withdrawals && hist->withdrawals[nr] != withdrawn)
		nr++;
	if (nr < hist->nr_withdrawals)
		acted->nr_withdrawals = nr + 1;
	else if (node->control_state.kept.active)
		/* Those that were told by another instance follow it to its end. */
		g_assert_true(any_period_has_ended(hist, node->control_state.kept.era));
}

static void check_history(struct history *hist)
{
	for (unsigned int i = 0; i < HISTORY_NODES; i++) {
		struct node *node = &hist->sim.nodes[i];
		struct control_state *cs = &node->control_state;
		struct acted *acted = &hist->acted[i];
		bool withdrawn;

		if (!node->up)
			continue;
		if (acted->incarnation != node->incarnation)
			*acted = (struct acted){ .incarnation = node->incarnation };
		for (unsigned int nr = 0; nr < HISTORY_TARGETS; nr++)
			check_target_state(hist, i, nr, acted);
		withdrawn =
			placing_is_withdrawn(&cs->placing, symbols_intern(&cs->symbols, "home"));
		/* A snapshot shows no versions of withdrawals; the store's list replaces it. */
		if (withdrawn != acted->withdrawn && acted->knows)
			check_withdrawal(hist, node, acted, withdrawn);
		acted->withdrawn = withdrawn;
		acted->knows = cs->known[CONTROL_WITHDRAWALS];
	}
}

static void run_history(struct history *hist, int64_t ms)
{
	for (int64_t end = hist->sim.now_ms + ms; hist->sim.now_ms < end;) {
		if (hist->refused_until_ms && hist->sim.now_ms >= hist->refused_until_ms) {
			hist->refused_until_ms = 0;
			for (unsigned int i = 0; i < HISTORY_NODES; i++)
				hist->sim.nodes[i].refused = false;
		}
		step(&hist->sim);
		check_history(hist);
	}
}

static unsigned int history_random(struct history *hist, uint32_t limit)
{
	return random_below(&hist->sim.random.random, limit);
}

/* The store is away for up to 5 s and comes back from a copy of up to some seconds. */
static void drill_in_history(struct history *hist)
{
	if (!hist->copied_ms)
		return;
	drill(&hist->sim);
	g_test_message("%lld ms: restored to revision %lld", (long long)hist->sim.now_ms,
		       (long long)hist->sim.revision);
	hist->copied_ms = 0;
	if (history_random(hist, 2))
		return;
	hist->refused_until_ms = hist->sim.now_ms + history_random(hist, 5000);
	for (unsigned int i = 0; i < HISTORY_NODES; i++)
		hist->sim.nodes[i].refused = true;
}

/* An instance that starts takes the snapshot of another one. */
static void apply_snapshot(struct history *hist, unsigned int nr)
{
	struct sim *sim = &hist->sim;
	struct node *from = &sim->nodes[history_random(hist, HISTORY_NODES)];
	GString *text = g_string_new(NULL);
	struct snapshot *snap;
	struct faults faults;

	faults_init(&faults);
	snapshot_write(&from->control_state, text, sim_now(sim));
	snap = snapshot_parse(text->str, text->len, &faults);
	if (snap && from->nr != nr)
		snapshot_apply(snap, &sim->nodes[nr].control_state, 0, sim_now(sim));
	snapshot_free(snap);
	faults_release(&faults);
	g_string_free(text, TRUE);
}

static void fail_in_history(struct history *hist)
{
	struct sim *sim = &hist->sim;
	unsigned int nr = history_random(hist, HISTORY_NODES);

	switch (history_random(hist, 6)) {
	case 0:
		/* Until the end of the next outage of the store. */
		sim->nodes[nr].refused = true;
		if (!hist->refused_until_ms)
			hist->refused_until_ms = sim->now_ms + history_random(hist, 8000);
		break;
	case 4:
		sim->nodes[nr].frozen = sim->nodes[nr].up;
		break;
	case 1:
		for (unsigned int i = 0; i < HISTORY_NODES; i++) {
			if (sim->nodes[i].frozen)
				relay_process_resumed(sim->nodes[i].relay, sim_now(sim));
			sim->nodes[i].frozen = false;
		}
		break;
	case 2:
		memset(sim->link_cut[nr], true, sizeof(sim->link_cut[nr]));
		break;
	case 3:
		memset(sim->link_cut, 0, sizeof(sim->link_cut));
		break;
	default:
		if (sim->nodes[nr].frozen)
			break;
		end_node(&sim->nodes[nr]);
		start_node(sim, nr);
		apply_snapshot(hist, nr);
		g_test_message("%lld ms: instance %u restarts", (long long)sim->now_ms, nr);
	}
}

static void write_in_history(struct history *hist)
{
	struct sim *sim = &hist->sim;
	unsigned int kind = history_random(hist, 8);

	if (kind == 0) {
		sim->withdrawn = history_random(hist, 2);
		hist->withdrawals[hist->nr_withdrawals++] = sim->withdrawn;
		g_test_message("%lld ms: withdrawn=%d", (long long)sim->now_ms, sim->withdrawn);
		sim->withdrawn_revision = ++sim->revision;
	} else if (kind == 1) {
		sim->config_version += 1 + history_random(hist, 2);
		sim->config_revision = ++sim->revision;
	} else {
		change_target(sim, target_name(history_random(hist, HISTORY_TARGETS)), kind == 2,
			      kind == 3);
	}
}

static void check_end(struct history *hist)
{
	struct sim *sim = &hist->sim;

	for (unsigned int i = 0; i < HISTORY_NODES; i++) {
		struct control_state *cs = &sim->nodes[i].control_state;

		g_assert_cmpuint(routing_version(cs->routing), ==, sim->config_version);
		g_assert_true(
			placing_is_withdrawn(&cs->placing, symbols_intern(&cs->symbols, "home")) ==
			sim->withdrawn);
		for (guint j = 0; j < sim->changes->len; j++) {
			const struct change *chg = &g_array_index(sim->changes, struct change, j);
			const struct reg_target *tgt = registry_by_id(cs->registry, chg->id);

			if (!is_latest_change(sim, j))
				continue;
			g_test_message("instance %u, %s: write %u%s, known %d", i, chg->id, chg->nr,
				       chg->removed ? " removes it" : "",
				       tgt ? (int)tgt->wire_id : -1);
			g_assert_true((tgt && tgt->phase != TARGET_GONE) == !chg->removed);
			if (chg->removed)
				continue;
			g_assert_cmpuint(tgt->wire_id, ==, chg->nr);
			g_assert_true((tgt->phase == TARGET_DRAINING) == chg->draining);
		}
	}
}

static void test_history(uint32_t seed)
{
	struct history *hist = g_new0(struct history, 1);
	struct sim *sim = &hist->sim;

	seeded_random_init(&sim->random, seed);
	sim->changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	sim->sent = g_ptr_array_new_with_free_func(free_datagram);
	sim->revision = 10;
	sim->config_version = 1;
	for (unsigned int i = 0; i < HISTORY_TARGETS; i++)
		change_target(sim, target_name(i), false, false);
	for (unsigned int i = 0; i < HISTORY_NODES; i++)
		start_node(sim, i);
	run_history(hist, history_random(hist, 6000));
	for (unsigned int i = 0; i < HISTORY_STEPS; i++) {
		unsigned int kind = history_random(hist, 10);

		if (kind < 5)
			write_in_history(hist);
		else if (kind < 7)
			fail_in_history(hist);
		else if (hist->copied_ms)
			drill_in_history(hist);
		else
			take_copy(sim), hist->copied_ms = MAX(sim->now_ms, 1);
		run_history(hist, history_random(hist, 4) ? history_random(hist, 300)
							  : history_random(hist, 6000));
	}
	for (unsigned int i = 0; i < HISTORY_NODES; i++) {
		if (sim->nodes[i].frozen)
			relay_process_resumed(sim->nodes[i].relay, sim_now(sim));
		sim->nodes[i].frozen = false;
	}
	memset(sim->link_cut, 0, sizeof(sim->link_cut));
	run_history(hist, 24000);
	/* A configuration never reverts, so a newer one shows that all follow the store. */
	sim->config_version += 100;
	sim->config_revision = ++sim->revision;
	run_history(hist, 3000);
	check_end(hist);
	for (unsigned int i = 0; i < HISTORY_NODES; i++)
		end_node(&sim->nodes[i]);
	g_ptr_array_unref(sim->sent);
	g_array_unref(sim->changes);
	g_free(hist);
}

/*
 * Random histories of writes, restores, cut links, pauses and restarts. Guards against an instance
 * that acts on a state older than one that it has acted on, or that does not end with what the
 * store holds. ERA_HISTORIES sets their number, ERA_SEED the first seed.
 */
static void test_histories(void)
{
	const char *nr = g_getenv("ERA_HISTORIES");
	const char *first = g_getenv("ERA_SEED");
	uint32_t seed = first ? (uint32_t)g_ascii_strtoull(first, NULL, 10) : 1;
	uint32_t end = seed + (nr ? (uint32_t)g_ascii_strtoull(nr, NULL, 10) : HISTORIES);

	for (; seed < end; seed++) {
		g_test_message("seed %u", seed);
		test_history(seed);
	}
}

struct applied_pages {
	struct control_state *control_state;
	struct view_progress progress;
	unsigned int nr;
};

static void apply_page(void *arg, const peer_msg *msg)
{
	struct applied_pages *pages = arg;
	GByteArray *bytes = g_byte_array_new();

	g_assert_cmpint(peer_msg_encode(msg, bytes), ==, 0);
	g_assert_cmpuint(bytes->len, <=, VIEW_MAX_MESSAGE_BYTES);
	g_byte_array_unref(bytes);
	g_assert_cmpint(view_apply(pages->control_state, &pages->progress, &msg->peer_msg_u.view,
				   ts_from_ms(START_MS)),
			>=, VIEW_APPLIED);
	pages->nr++;
}

/* A data centre name of @len bytes, all of them @fill. */
static void withdraw_named(struct control_state *cs, char fill, gsize len)
{
	char *name = g_strnfill(len, fill);

	control_state_withdraw(cs, name, true, ts_from_ms(START_MS));
	g_free(name);
}

/*
 * Guards against a page that exceeds the largest datagram when all its names have the greatest
 * length: no follower would receive it.
 */
static void test_largest_page(void)
{
	struct steer_out out = { &null_out_ops };
	struct seeded_random random;
	struct control_state_options opts = {
		.data_centre = "home",
		.max_flows = 16,
		.random = &random.random,
		.out = &out,
	};
	struct control_state cs[2];
	struct applied_pages pages = { .control_state = &cs[1] };
	struct view_range range = { .after = "", .max_pages = 8 };
	GPtrArray *changed;

	seeded_random_init(&random, 1);
	for (int i = 0; i < 2; i++)
		control_state_init(&cs[i], &opts);
	view_progress_init(&pages.progress);
	control_state_begin_answer(&cs[0], store_version_make(0, 7), ts_from_ms(START_MS));
	for (const char *fill = "abc"; *fill; fill++) {
		char *name = g_strnfill(CONTROL_NAME_MAX_BYTES, *fill);
		char *zone = g_strnfill(CONTROL_NAME_MAX_BYTES, g_ascii_toupper(*fill));
		struct target_info info = {
			.id = name,
			.ep = { 0x0a800001, 80 },
			.service = symbols_intern(&cs[0].symbols, name),
			.data_centre = symbols_intern(&cs[0].symbols, zone),
			.slots = 2,
			.revision = store_version_make(0, 7),
		};

		control_state_put_target(&cs[0], &info, ts_from_ms(START_MS));
		withdraw_named(&cs[0], *fill, 48);
		g_free(name);
		g_free(zone);
	}
	control_state_complete(&cs[0], CONTROL_TARGETS, store_version_make(0, 7));
	control_state_complete(&cs[0], CONTROL_WITHDRAWALS, store_version_make(0, 7));
	changed = registry_changed_since(cs[0].registry, STORE_VERSION_NONE, "");
	range.changed = changed;
	g_assert_true(view_write(&cs[0], &range, ts_from_ms(START_MS), apply_page, &pages));
	g_assert_cmpuint(pages.nr, ==, 3);
	g_assert_cmpuint(registry_count(cs[1].registry), ==, 3);
	g_assert_cmpuint(g_hash_table_size(cs[1].placing.withdrawn), ==, 3);
	g_ptr_array_unref(changed);
	view_progress_release(&pages.progress);
	for (int i = 0; i < 2; i++)
		control_state_release(&cs[i]);
}

int main(int argc, char **argv)
{
	static struct script with_credits[G_N_ELEMENTS(scripts)];

	g_test_init(&argc, &argv, NULL);
	if (sodium_init() < 0)
		return 1;
	/* With credits, too: their messages must not disturb the relay. */
	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
		char *path = g_strconcat("/relay/", scripts[i].name, NULL);
		char *credits_path = g_strconcat("/relay/credits/", scripts[i].name, NULL);

		with_credits[i] = scripts[i];
		with_credits[i].credits = true;
		g_test_add_data_func(path, &scripts[i], test_script);
		g_test_add_data_func(credits_path, &with_credits[i], test_script);
		g_free(path);
		g_free(credits_path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(era_scripts); i++) {
		char *path = g_strconcat("/era/", era_scripts[i].name, NULL);

		g_test_add_data_func(path, &era_scripts[i], test_script);
		g_free(path);
	}
	g_test_add_func("/era/histories", test_histories);
	g_test_add_func("/relay/largest-page", test_largest_page);
	return g_test_run();
}
