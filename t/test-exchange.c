/*
 * Guards against credits that are allocated twice, kept by instances that have gone, or granted by
 * an outdated reader, and against messages that change anything although they are malformed.
 */
#include <sodium.h>

#include "t/exchange-sim.h"

#define TARGETS	  10
#define SLOTS	  (2 * TARGETS)
#define FOLLOWERS 9
/* One to three queue credits for each slot. */
#define CREDITS_MAX (SLOTS * 4)

/* A reader with followers in data centre "home", each with @per_s openings, after @ms. */
static struct exsim *fleet_new(uint32_t per_s, int64_t ms)
{
	struct exsim *sim = g_new(struct exsim, 1);

	exsim_init(sim);
	exsim_add_targets(sim, "home", TARGETS);
	exsim_add_node(sim, "home", 0, EXCHANGE_READER, per_s);
	for (unsigned int i = 0; i < FOLLOWERS; i++)
		exsim_add_node(sim, "home", 0, EXCHANGE_FOLLOWER, per_s);
	exsim_run(sim, ms);
	return sim;
}

static void test_grants(void)
{
	struct exsim *sim = fleet_new(10, 600);
	struct exsim_node *reader = &sim->nodes[0];

	/* Two intervals pass before the first round, so that all have reported. */
	for (unsigned int i = 0; i < sim->nr; i++)
		g_assert_true(exsim_active(&sim->nodes[i]));
	exsim_run(sim, 3000);
	g_assert_cmpuint(exsim_status(reader).members, ==, FOLLOWERS + 1);
	g_assert_cmpuint(exsim_status(reader).services, ==, 1);
	g_assert_cmpuint(exsim_status(reader).left_out, ==, 0);
	for (int round = 0; round < 50; round++) {
		exsim_run(sim, 50);
		for (unsigned int i = 0; i < sim->nr; i++) {
			g_assert_cmpuint(exsim_held(&sim->nodes[i]), >, 0);
			g_assert_cmpint(exsim_status(&sim->nodes[i]).age_ms, <=, 600);
		}
		/* A credit that moves is held twice until both grants have arrived. */
		g_assert_cmpuint(exsim_held_by(sim, 0, sim->nr), <=, CREDITS_MAX + SLOTS);
		/* At least one queue credit for each slot, rounded by the speed of each target. */
		g_assert_cmpuint(exsim_held_by(sim, 0, sim->nr), >=, 2 * SLOTS - TARGETS);
	}
	g_assert_cmpuint(reader->cs.counters.credit_dropped, ==, 0);
	exsim_release(sim);
}

/* Share of the samples of all instances in 10 s that have no grant in force, in thousandths. */
static unsigned int without_grant(struct exsim *sim)
{
	unsigned int nr = 0;

	for (int round = 0; round < 200; round++) {
		exsim_run(sim, 50);
		for (unsigned int i = 0; i < sim->nr; i++)
			nr += !exsim_active(&sim->nodes[i]);
	}
	return nr * 1000 / (200 * sim->nr);
}

static void test_lost_and_late(void)
{
	struct exsim *sim = fleet_new(10, 2000);
	unsigned int without;

	sim->loss_percent = 2;
	sim->late_percent = 5;
	sim->repeat_percent = 20;
	g_assert_cmpuint(without_grant(sim), ==, 0);
	g_assert_cmpuint(sim->nodes[0].cs.counters.credit_dropped, >, 0);
	g_assert_cmpuint(sim->nodes[1].cs.counters.credit_dropped, >, 0);
	/* A late message is as good as lost: of 40%, five in succession are lost at times. */
	sim->loss_percent = 20;
	sim->late_percent = 30;
	without = without_grant(sim);
	g_test_message("without a grant: %u of 1000", without);
	g_assert_cmpuint(without, <=, 20);
	sim->loss_percent = sim->late_percent = 0;
	exsim_run(sim, 2000);
	g_assert_cmpuint(without_grant(sim), ==, 0);
	exsim_release(sim);
}

static void test_reader_dies(void)
{
	struct exsim *sim = fleet_new(10, 3000);
	int64_t died = sim->now_ms;

	exsim_kill(&sim->nodes[0]);
	exsim_run(sim, 1000);
	g_assert_true(exsim_active(&sim->nodes[3]));
	exsim_run(sim, 1000);
	for (unsigned int i = 1; i < sim->nr; i++)
		g_assert_false(exsim_active(&sim->nodes[i]));
	for (unsigned int i = 1; i < sim->nr; i++) {
		sim->nodes[i].reader = 1;
		if (i > 1)
			exchange_reset(sim->nodes[i].ex, exsim_now(sim));
	}
	exchange_set_role(sim->nodes[1].ex, EXCHANGE_READER, exsim_now(sim));
	exsim_run(sim, 400);
	g_assert_false(exsim_active(&sim->nodes[2]));
	exsim_run(sim, 1200);
	for (unsigned int i = 1; i < sim->nr; i++)
		g_assert_cmpuint(exsim_held(&sim->nodes[i]), >, 0);
	g_assert_cmpint(sim->now_ms - died, <, 4000);
	exsim_release(sim);
}

/* A role that neither follows nor reads ends the grants at once. */
static void test_role_ends(void)
{
	struct exsim *sim = fleet_new(10, 2000);

	exchange_set_role(sim->nodes[2].ex, EXCHANGE_OFF, exsim_now(sim));
	g_assert_false(exsim_active(&sim->nodes[2]));
	exchange_set_role(sim->nodes[0].ex, EXCHANGE_OFF, exsim_now(sim));
	g_assert_false(exsim_active(&sim->nodes[0]));
	g_assert_cmpint(exchange_due_ms(sim->nodes[0].ex, exsim_now(sim)), ==, INT64_MAX);
	exsim_release(sim);
}

/* A reader that has restarted after its clock was set back begins with lower sequence numbers. */
static void test_reader_clock_back(void)
{
	struct exsim *sim = fleet_new(10, 2000);
	struct exsim_node *node = &sim->nodes[1];
	peer_msg msg, copy;
	peer_credit_grant *grant = &copy.peer_msg_u.credit_grant;

	exsim_decode(node->last_grant, &msg, &copy);
	exsim_kill(&sim->nodes[0]);
	/* Its key is another one, so that the follower loses it and joins again. */
	exchange_set_role(node->ex, EXCHANGE_OFF, exsim_now(sim));
	exsim_run(sim, 1000);
	exchange_set_role(node->ex, EXCHANGE_FOLLOWER, exsim_now(sim));
	grant->sequence = 5;
	exchange_receive_grant(node->ex, EXSIM_SELF_IP, grant, exsim_now(sim));
	g_assert_true(exsim_active(node));
	exchange_receive_grant(node->ex, EXSIM_SELF_IP, grant, exsim_now(sim));
	g_assert_cmpuint(node->cs.counters.credit_dropped, ==, 1);
	peer_msg_release(&msg);
	exsim_release(sim);
}

static void test_two_readers(void)
{
	struct exsim *sim = fleet_new(10, 2000);

	for (unsigned int i = 5; i < sim->nr; i++)
		sim->nodes[i].reader = 5;
	exchange_set_role(sim->nodes[5].ex, EXCHANGE_READER, exsim_now(sim));
	for (unsigned int i = 6; i < sim->nr; i++)
		exchange_reset(sim->nodes[i].ex, exsim_now(sim));
	for (int round = 0; round < 100; round++) {
		exsim_run(sim, 50);
		g_assert_cmpuint(exsim_held_by(sim, 0, 5), <=, CREDITS_MAX + SLOTS);
		g_assert_cmpuint(exsim_held_by(sim, 5, sim->nr), <=, CREDITS_MAX + SLOTS);
	}
	g_assert_cmpuint(exsim_status(&sim->nodes[0]).members, ==, 5);
	g_assert_cmpuint(exsim_status(&sim->nodes[5]).members, ==, 5);
	exsim_release(sim);
}

static void test_follower_dies(void)
{
	struct exsim *sim = fleet_new(10, 3000);

	for (unsigned int i = 6; i < sim->nr; i++)
		exsim_kill(&sim->nodes[i]);
	exsim_run(sim, 1000);
	g_assert_cmpuint(exsim_status(&sim->nodes[0]).members, ==, FOLLOWERS + 1);
	exsim_run(sim, 1000);
	g_assert_cmpuint(exsim_status(&sim->nodes[0]).members, ==, FOLLOWERS - 3);
	/* Without the credits of the dead four, about 24 would be held; see test_grants(). */
	g_assert_cmpuint(exsim_held_by(sim, 0, 6), >=, 2 * SLOTS - TARGETS);
	exsim_release(sim);
}

static void test_paused_follower(void)
{
	struct exsim *sim = fleet_new(10, 3000);
	struct exsim_node *node = &sim->nodes[4];

	node->paused = true;
	exsim_run(sim, 5000);
	g_assert_cmpuint(exsim_status(&sim->nodes[0]).members, ==, FOLLOWERS);
	node->paused = false;
	exchange_reset(node->ex, exsim_now(sim));
	/* The grants of the pause are in the socket; the latest is 4 s old. */
	exsim_run(sim, 100);
	g_assert_false(exsim_active(node));
	exsim_run(sim, 900);
	g_assert_true(exsim_active(node));
	g_assert_cmpuint(exsim_status(&sim->nodes[0]).members, ==, FOLLOWERS + 1);
	exsim_release(sim);
}

static void test_paused_reader(void)
{
	struct exsim *sim = fleet_new(10, 3000);
	struct exsim_node *reader = &sim->nodes[0];

	reader->paused = true;
	exsim_run(sim, 3000);
	g_assert_false(exsim_active(&sim->nodes[1]));
	reader->paused = false;
	exchange_reset(reader->ex, exsim_now(sim));
	g_assert_false(exsim_active(reader));
	exsim_run(sim, 100);
	/* Queued reports do not count, and there is no allocation from a part of the members. */
	g_assert_cmpuint(exsim_status(reader).members, ==, 0);
	exsim_run(sim, 1400);
	for (unsigned int i = 0; i < sim->nr; i++)
		g_assert_cmpuint(exsim_held(&sim->nodes[i]), >, 0);
	exsim_release(sim);
}

static void test_death(void)
{
	struct exsim *sim = fleet_new(10, 3000);
	struct exsim_node *node = &sim->nodes[4];
	struct reg_target *tgt = registry_by_id(node->cs.registry, "home-3");
	int64_t found;

	exsim_target(sim, "home-3")->dead = true;
	exsim_run(sim, 100);
	tgt->trust = TRUST_DEAD;
	credit_note_dead(node->cs.credit, tgt);
	found = sim->now_ms;
	exsim_run(sim, 70);
	g_assert_cmpint(node->report_sent_ms, >, found);
	g_assert_cmpint(node->report_sent_ms - found, <=, 60);
	exsim_run(sim, EXSIM_INTERVAL_MS + 2 * EXSIM_LINK_MS);
	for (unsigned int i = 1; i < sim->nr; i++)
		g_assert_false(g_hash_table_contains(sim->nodes[i].granted, &tgt->digest));
	exsim_release(sim);
}

static void test_stop(void)
{
	struct exsim *sim = fleet_new(10, 3000);
	struct exsim_node *node = &sim->nodes[4];
	uint64_t sent;

	exchange_stop(node->ex);
	sent = node->cs.counters.credit_reports_out;
	exsim_run(sim, 1000);
	g_assert_cmpuint(node->cs.counters.credit_reports_out, ==, sent);
	/* Its credits are kept for it until it is dropped, so it may use them. */
	g_assert_true(exsim_active(node));
	exsim_run(sim, 2500);
	g_assert_false(exsim_active(node));
	exchange_stop(sim->nodes[0].ex);
	sent = sim->nodes[0].cs.counters.credit_grants_out;
	exsim_run(sim, 2000);
	g_assert_cmpuint(sim->nodes[0].cs.counters.credit_grants_out, ==, sent);
	g_assert_false(exsim_active(&sim->nodes[1]));
	exsim_release(sim);
}

struct part_case {
	const char *name;
	uint32_t per_s; /* of each instance */
	uint32_t reused_per_s;
	bool no_goal;
	bool takes_part;
	unsigned int nr; /* of instances, 0 for 10 */
};

static const struct part_case parts[] = {
	{ "no-openings", 0, 0, false, false }, { "openings", 2, 0, false, true },
	{ "few-reused", 20, 1, false, true },  { "many-reused", 20, 6, false, false },
	{ "no-goal", 20, 0, true, false },
};

static void test_part(gconstpointer data)
{
	const struct part_case *c = data;
	struct exsim *sim = g_new(struct exsim, 1);
	struct exsim_node *reader;

	exsim_init(sim);
	sim->no_goal = c->no_goal;
	exsim_add_targets(sim, "home", TARGETS);
	for (unsigned int i = 0; i < (c->nr ? c->nr : 10); i++) {
		reader = exsim_add_node(sim, "home", 0, i ? EXCHANGE_FOLLOWER : EXCHANGE_READER,
					c->per_s);
		reader->reused_per_s = c->reused_per_s;
	}
	reader = &sim->nodes[0];
	exsim_run(sim, 5000);
	g_assert_cmpuint(exsim_status(reader).services, ==, c->takes_part);
	for (unsigned int i = 0; i < sim->nr; i++)
		g_assert_true(exsim_active(&sim->nodes[i]) == c->takes_part);
	if (!c->takes_part)
		g_assert_cmpuint(reader->cs.counters.credit_grants_out, ==, 0);
	/* The end of taking part ends the grants, and then there are no more of them. */
	for (unsigned int i = 0; i < sim->nr; i++)
		sim->nodes[i].per_s = 0;
	exsim_run(sim, 3000);
	for (unsigned int i = 0; i < sim->nr; i++)
		g_assert_false(exsim_active(&sim->nodes[i]));
	exsim_run(sim, 2000);
	reader->bytes_out = 0;
	exsim_run(sim, 2000);
	g_assert_cmpuint(reader->bytes_out, ==, 0);
	exsim_release(sim);
}

/* Changes to a valid message that must make it ineffective. */
enum spoiling {
	SPOIL_NOTHING,
	SPOIL_REPEATED,
	SPOIL_SEQUENCE_BACK,
	SPOIL_INTERVAL,
	SPOIL_INDEX,
	SPOIL_OTHER_DATA_CENTRE,
	SPOIL_WANTED,
	SPOIL_WANTED_TOO_MUCH,
	SPOIL_LENT_INDEX,
	SPOIL_NO_CREDITS,
	SPOIL_SPEED,
	SPOIL_TWICE,
	SPOIL_FLAG,
};

struct spoil_case {
	const char *name;
	enum spoiling what;
	bool accepted;
};

static const struct spoil_case spoiled_reports[] = {
	{ "valid", SPOIL_NOTHING, true },
	{ "repeated", SPOIL_REPEATED },
	{ "sequence-back", SPOIL_SEQUENCE_BACK },
	{ "long-interval", SPOIL_INTERVAL },
	{ "index-out-of-range", SPOIL_INDEX },
	{ "other-data-centre-wants-nothing", SPOIL_OTHER_DATA_CENTRE },
	{ "own-data-centre-wants-credits", SPOIL_WANTED },
	{ "wants-too-much", SPOIL_WANTED_TOO_MUCH },
};

static const struct spoil_case spoiled_grants[] = {
	{ "valid", SPOIL_NOTHING, true },
	{ "repeated", SPOIL_REPEATED },
	{ "sequence-back", SPOIL_SEQUENCE_BACK },
	{ "index-out-of-range", SPOIL_INDEX },
	{ "lent-index-out-of-range", SPOIL_LENT_INDEX },
	{ "other-data-centre", SPOIL_OTHER_DATA_CENTRE },
	{ "entry-without-credits", SPOIL_NO_CREDITS },
	{ "speed-out-of-range", SPOIL_SPEED },
	{ "target-twice", SPOIL_TWICE },
	{ "for-a-borrower", SPOIL_FLAG },
};

static char other_data_centre[] = "away";

static void spoil_report(peer_credit_report *msg, enum spoiling what)
{
	msg->sequence++;
	g_assert_cmpuint(msg->observations.observations_len, >, 0);
	switch (what) {
	case SPOIL_REPEATED:
		msg->sequence--;
		break;
	case SPOIL_SEQUENCE_BACK:
		msg->sequence -= 3;
		break;
	case SPOIL_INTERVAL:
		msg->interval_ms = 100000;
		break;
	case SPOIL_INDEX:
		msg->observations.observations_val[0].service = msg->demands.demands_len;
		break;
	case SPOIL_OTHER_DATA_CENTRE:
		msg->data_centre = other_data_centre;
		break;
	case SPOIL_WANTED:
		msg->demands.demands_val[0].wanted_milli = 1;
		break;
	case SPOIL_WANTED_TOO_MUCH:
		msg->data_centre = other_data_centre;
		msg->demands.demands_val[0].wanted_milli = UINT32_MAX;
		break;
	default:
		break;
	}
}

static void spoil_grant(peer_credit_grant *msg, enum spoiling what)
{
	peer_credit_entry *entry = msg->entries.entries_val;
	static peer_credit_entry lent = { 1, 1u << 24 | 1000, 9 };

	msg->sequence++;
	g_assert_cmpuint(msg->entries.entries_len, >, 1);
	switch (what) {
	case SPOIL_REPEATED:
		msg->sequence--;
		break;
	case SPOIL_SEQUENCE_BACK:
		msg->sequence -= 100;
		break;
	case SPOIL_INDEX:
		entry->service = msg->services.services_len;
		break;
	case SPOIL_LENT_INDEX:
		msg->lent.lent_len = 1;
		msg->lent.lent_val = &lent;
		break;
	case SPOIL_OTHER_DATA_CENTRE:
		msg->data_centre = other_data_centre;
		break;
	case SPOIL_NO_CREDITS:
		entry->amounts = 1000;
		break;
	case SPOIL_SPEED:
		entry->amounts |= UINT16_MAX;
		break;
	case SPOIL_TWICE:
		entry[1].target = entry[0].target;
		break;
	case SPOIL_FLAG:
		msg->flags |= PEER_CREDIT_LENT;
		break;
	default:
		break;
	}
}

static void test_spoiled_report(gconstpointer data)
{
	const struct spoil_case *c = data;
	struct exsim *sim = fleet_new(10, 3000);
	struct exsim_node *reader = &sim->nodes[0];
	struct exchange_status before = exsim_status(reader);
	uint64_t in;
	peer_msg msg, copy;

	exsim_run(sim, 20);
	in = reader->cs.counters.credit_reports_in;
	exsim_decode(sim->nodes[1].last_report, &msg, &copy);
	spoil_report(&copy.peer_msg_u.credit_report, c->what);
	exchange_receive_report(reader->ex, EXSIM_SELF_IP + 1, &copy.peer_msg_u.credit_report,
				exsim_now(sim));
	g_assert_cmpuint(reader->cs.counters.credit_dropped, ==, !c->accepted);
	g_assert_cmpuint(reader->cs.counters.credit_reports_in, ==, in + c->accepted);
	/* Nor does it add a member, whoever sends it. */
	if (!c->accepted && c->what != SPOIL_REPEATED && c->what != SPOIL_SEQUENCE_BACK) {
		exchange_receive_report(reader->ex, EXSIM_SELF_IP + 100,
					&copy.peer_msg_u.credit_report, exsim_now(sim));
		g_assert_cmpuint(exsim_status(reader).members, ==, before.members);
		g_assert_cmpuint(reader->cs.counters.credit_dropped, ==, 2);
	}
	peer_msg_release(&msg);
	exsim_release(sim);
}

static void test_spoiled_grant(gconstpointer data)
{
	const struct spoil_case *c = data;
	struct exsim *sim = fleet_new(10, 3000);
	struct exsim_node *node = &sim->nodes[1];
	struct exchange_status before;
	peer_msg msg, copy;

	exsim_run(sim, 20);
	before = exsim_status(node);
	exsim_decode(node->last_grant, &msg, &copy);
	spoil_grant(&copy.peer_msg_u.credit_grant, c->what);
	exchange_receive_grant(node->ex, EXSIM_SELF_IP, &copy.peer_msg_u.credit_grant,
			       exsim_now(sim));
	g_assert_cmpuint(node->cs.counters.credit_dropped, ==, !c->accepted);
	g_assert_cmpuint(exsim_held(node), ==, before.held);
	if (!c->accepted)
		g_assert_cmpint(exsim_status(node).age_ms, ==, before.age_ms);
	else
		g_assert_cmpint(exsim_status(node).age_ms, ==, 0);
	peer_msg_release(&msg);
	exsim_release(sim);
}

/* Unknown services and targets have no effect, and nothing grows with their number. */
static void test_unknown_names(void)
{
	struct exsim *sim = fleet_new(10, 3000);
	struct exsim_node *reader = &sim->nodes[0];
	guint symbols = reader->cs.symbols.names->len;
	peer_credit_observation obs = { .completed_rejected = 5 << 16, .flags = PEER_CREDIT_DEAD };
	char name[32];
	peer_credit_demand demand = { .service = name, .openings = { 50 } };
	peer_credit_report msg = {
		.interval_ms = 250,
		.data_centre = (char[]){ "home" },
		.demands = { 1, &demand },
		.observations = { 1, &obs },
	};

	for (unsigned int i = 0; i < 100; i++) {
		g_snprintf(name, sizeof(name), "unknown-%u", i);
		obs.target = i;
		msg.sequence = UINT64_MAX / 2 + i;
		exchange_receive_report(reader->ex, EXSIM_SELF_IP + 1, &msg, exsim_now(sim));
	}
	g_strlcpy(name, EXSIM_SERVICE, sizeof(name));
	msg.sequence++;
	exchange_receive_report(reader->ex, EXSIM_SELF_IP + 1, &msg, exsim_now(sim));
	g_assert_cmpuint(reader->cs.counters.credit_dropped, ==, 0);
	g_assert_cmpuint(reader->cs.symbols.names->len, ==, symbols);
	exsim_run(sim, 300);
	g_assert_cmpuint(exsim_status(reader).services, ==, 1);
	exsim_release(sim);
}

/* Short intervals and repeated services must not make a demand larger than plausible. */
static void test_nonsense_demand(void)
{
	struct exsim *sim = fleet_new(10, 3000);
	struct exsim_node *reader = &sim->nodes[0];
	peer_credit_demand demands[PEER_MAX_CREDIT_SERVICES];
	peer_credit_report msg = {
		.sequence = UINT64_MAX / 2,
		.data_centre = (char[]){ "home" },
		.demands = { G_N_ELEMENTS(demands), demands },
	};
	char name[] = EXSIM_SERVICE;
	uint32_t held = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(demands); i++)
		demands[i] =
			(peer_credit_demand){ .service = name,
					      .openings = { [1] = UINT32_MAX, [2] = UINT32_MAX } };
	for (int round = 0; round < 200; round++) {
		msg.interval_ms = round % 2 ? 1 : 60000;
		msg.sequence++;
		exchange_receive_report(reader->ex, EXSIM_SELF_IP + 1, &msg, exsim_now(sim));
		exsim_run(sim, 50);
		g_assert_cmpuint(exsim_status(reader).services, ==, 1);
		if (round >= 100)
			held += exsim_held_by(sim, 0, 1) + exsim_held_by(sim, 2, sim->nr);
	}
	g_test_message("the others hold %.1f credits on average", held / 100.0);
	g_assert_cmpuint(held, >=, 100 * 4);
	exsim_release(sim);
}

static void test_many_members(void)
{
	struct exsim *sim = fleet_new(10, 3000);
	struct exsim_node *reader = &sim->nodes[0];
	peer_credit_report msg = { .sequence = 1, .interval_ms = 250 };

	msg.data_centre = (char[]){ "home" };
	for (unsigned int i = 0; i < 600; i++)
		exchange_receive_report(reader->ex, 0x0b000000u + i, &msg, exsim_now(sim));
	g_assert_cmpuint(exsim_status(reader).members, ==, 512);
	g_assert_cmpuint(reader->cs.counters.credit_dropped, ==, 600 + FOLLOWERS + 1 - 512);
	exsim_release(sim);
}

/* A whole fleet's messages at the largest planned size of a data centre, with a margin. */
static void test_cost(void)
{
	struct exsim *sim = g_new(struct exsim, 1);
	struct exsim_node *reader;
	uint64_t sent;
	gsize largest_report = 0;
	const int64_t ms = 5000;

	exsim_init(sim);
	exsim_add_targets(sim, "home", 400);
	exsim_add_node(sim, "home", 0, EXCHANGE_READER, 60);
	for (unsigned int i = 0; i < 100; i++)
		exsim_add_node(sim, "home", 0, EXCHANGE_FOLLOWER, 60);
	exsim_run(sim, 3000);
	reader = &sim->nodes[0];
	reader->bytes_out = 0;
	sent = reader->cs.counters.credit_grants_out;
	exsim_run(sim, ms);
	sent = reader->cs.counters.credit_grants_out - sent;
	for (unsigned int i = 1; i < sim->nr; i++)
		largest_report = MAX(largest_report, sim->nodes[i].largest);
	g_print("# %llu grants in %lld ms of %llu bytes on average, the largest %u; largest report "
		"%zu; the reader sends %llu bytes a second\n",
		(unsigned long long)sent, (long long)ms,
		(unsigned long long)(reader->bytes_out / sent - EXSIM_OVERHEAD_BYTES),
		reader->largest, largest_report,
		(unsigned long long)(reader->bytes_out * 1000 / ms));
	g_assert_cmpuint(sent, >, 100 * 2 * (ms / 1000) - 100);
	g_assert_cmpuint(reader->bytes_out * 1000 / ms, <, 300000);
	exsim_release(sim);
}

/* Grants are cut at the size of a datagram, and reports are continued in further messages. */
static void test_large_grant(void)
{
	struct exsim *sim = g_new(struct exsim, 1);

	exsim_init(sim);
	exsim_add_targets(sim, "home", 300);
	exsim_add_node(sim, "home", 0, EXCHANGE_READER, 1);
	exsim_add_node(sim, "home", 0, EXCHANGE_FOLLOWER, 900);
	exsim_run(sim, 3000);
	g_assert_cmpuint(sim->nodes[0].largest, >, VIEW_MAX_MESSAGE_BYTES - 32);
	g_assert_cmpuint(g_hash_table_size(sim->nodes[1].granted), >, 70);
	g_assert_cmpuint(sim->nodes[1].largest, >, VIEW_MAX_MESSAGE_BYTES - 32);
	g_assert_cmpuint(sim->nodes[1].cs.counters.credit_reports_out, >, 3000 / EXSIM_INTERVAL_MS);
	g_assert_cmpuint(sim->nodes[0].cs.counters.credit_reports_in, >, 3000 / EXSIM_INTERVAL_MS);
	g_assert_cmpuint(sim->nodes[0].cs.counters.credit_dropped, ==, 0);
	exsim_release(sim);
}

static void count_grant(struct exchange_out *out, uint32_t id, const peer_msg *msg)
{
	GByteArray *encoded = g_byte_array_new();

	(void)id;
	g_assert_cmpint(peer_msg_encode(msg, encoded), ==, 0);
	((struct exsim_node *)out)->bytes_out += encoded->len + EXSIM_OVERHEAD_BYTES;
	g_byte_array_unref(encoded);
}

/* Sends the reader a report of an instance with 15 openings at targets of its own. */
static void report_as(struct exsim *sim, uint32_t member, uint64_t sequence)
{
	peer_credit_observation obs[15];
	peer_credit_demand demand = { .service = (char[]){ EXSIM_SERVICE }, .openings = { 0, 15 } };
	peer_credit_report msg = {
		.sequence = sequence,
		.interval_ms = EXSIM_INTERVAL_MS,
		.data_centre = (char[]){ "home" },
		.demands = { 1, &demand },
		.observations = { G_N_ELEMENTS(obs), obs },
	};
	struct exsim_node *reader = &sim->nodes[0];

	for (uint32_t i = 0; i < G_N_ELEMENTS(obs); i++) {
		const char *id = sim->targets[(member * 15 + i) % sim->nr_targets].id;

		obs[i] = (peer_credit_observation){
			.target = registry_by_id(reader->cs.registry, id)->digest,
			.completed_rejected = 1u << 16,
			.busy_ms = 50,
		};
	}
	exchange_receive_report(reader->ex, EXSIM_SELF_IP + member, &msg, exsim_now(sim));
}

/* A round must not hold up the loop of the largest reader for longer than 5 ms. */
static void test_round_time(void)
{
	struct exchange_out_ops ops = exsim_out_ops;
	struct exsim *sim = g_new(struct exsim, 1);
	struct exsim_node *reader;
	double least_ms = 1000;

	exsim_init(sim);
	exsim_add_targets(sim, "home", 1200);
	reader = exsim_add_node(sim, "home", 0, EXCHANGE_READER, 60);
	ops.grant = count_grant;
	reader->out.ops = &ops;
	for (uint64_t round = 1; round <= 20; round++) {
		clock_t start;

		for (uint32_t member = 1; member < 467; member++)
			report_as(sim, member, round);
		sim->now_ms += EXSIM_INTERVAL_MS;
		start = clock();
		exchange_timer(reader->ex, exsim_now(sim));
		if (round > 10)
			least_ms = MIN(least_ms, (double)(clock() - start) * 1000 / CLOCKS_PER_SEC);
	}
	g_assert_cmpuint(exsim_status(reader).members, ==, 467);
	g_test_message("a round of 467 members and 1,200 targets takes %.2f ms; %" G_GUINT64_FORMAT
		       " bytes sent",
		       least_ms, reader->bytes_out);
#ifndef __SANITIZE_ADDRESS__
	/* Instrumented code takes 8 ms. */
	g_assert_cmpfloat(least_ms, <=, 5);
#endif
	exsim_release(sim);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (sodium_init() < 0)
		return 1;
	g_test_add_func("/exchange/grants", test_grants);
	g_test_add_func("/exchange/lost-and-late", test_lost_and_late);
	g_test_add_func("/exchange/reader-dies", test_reader_dies);
	g_test_add_func("/exchange/role-ends", test_role_ends);
	g_test_add_func("/exchange/reader-clock-back", test_reader_clock_back);
	g_test_add_func("/exchange/two-readers", test_two_readers);
	g_test_add_func("/exchange/follower-dies", test_follower_dies);
	g_test_add_func("/exchange/paused-follower", test_paused_follower);
	g_test_add_func("/exchange/paused-reader", test_paused_reader);
	g_test_add_func("/exchange/death", test_death);
	g_test_add_func("/exchange/stop", test_stop);
	g_test_add_func("/exchange/unknown-names", test_unknown_names);
	g_test_add_func("/exchange/nonsense-demand", test_nonsense_demand);
	g_test_add_func("/exchange/many-members", test_many_members);
	g_test_add_func("/exchange/cost", test_cost);
	g_test_add_func("/exchange/large-grant", test_large_grant);
	g_test_add_func("/exchange/round-time", test_round_time);
#define ADD_CASES(prefix, cases, fn)                                                               \
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {                                         \
		char *path = g_strconcat("/exchange/" prefix "/", (cases)[i].name, NULL);          \
		g_test_add_data_func(path, &(cases)[i], fn);                                       \
		g_free(path);                                                                      \
	}
	ADD_CASES("takes-part", parts, test_part);
	ADD_CASES("report", spoiled_reports, test_spoiled_report);
	ADD_CASES("grant", spoiled_grants, test_spoiled_grant);
	return g_test_run();
}
