/*
 * world --dir DIR [--binary FILE] [--instances N] [--callers N] [--seconds S] [--no-relay]
 * [--faults] [--seed N]
 *     [--net N] [--watch-pause MS] [--only FAULT,...] [--work MS] [--full-notice MS]
 *     [--one-request]
 *
 * Writes to DIR the settings and logs of the instances and failed-tries.txt: a line for each try of
 * a request that was not answered, with the time, the request's id, the caller's address and port,
 * and how it ended.
 *
 * Plays a day before real instances. With --faults, a seed decides which faults strike when; they
 * come in series and overlap, and the last QUIET_S seconds are left to recover. Prints a report and
 * exits 0 only if no promise was broken and nearly all requests of the last seconds were served.
 * Ends only processes that it has started, by their ids.
 */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "world.h"

#define TICK_MS	       10
#define READY_EVERY_MS 500
#define READY_MISSES   2
#define RESTART_MS     300
#define GRACE_S	       4
#define WARM_UP_MS     1500 /* instances start before callers do */
#define QUIET_S	       7    /* recovery of the promises is 4 s, 3 s are measured */
#define MEASURED_S     2    /* seconds in which nearly all must be served again */
#define SERVED_PERCENT 95   /* of the measured seconds */
#define FAULT_GAP_MS   1200 /* between faults, at most */
#define MAX_STALE_MS   3000 /* age of stale reads on the platform's bench */

struct options {
	const char *binary;
	const char *dir;
	unsigned int instances;
	unsigned int callers;
	unsigned int seconds;
	unsigned int watch_pause_ms;
	unsigned int confirm_ms;
	bool no_relay; /* each instance reads the store alone */
	bool faults;
	bool only[FAULT_KINDS]; /* the kinds that strike */
	uint64_t seed;
};

uint32_t wrandom(struct world *w, uint32_t bound)
{
	w->random = w->random * 6364136223846793005ull + 1442695040888963407ull;
	return (uint32_t)(w->random >> 33) % bound;
}

static double seconds(const struct world *w)
{
	return (double)(w->now_ms - w->start_ms) / 1000;
}

void breach(struct world *w, const char *format, ...)
{
	va_list args;

	w->nr_breaches++;
	g_string_append_printf(w->breaches, "%7.2f s  ", seconds(w));
	va_start(args, format);
	g_string_append_vprintf(w->breaches, format, args);
	va_end(args);
	g_string_append_c(w->breaches, '\n');
}

void note_event(struct world *w, const char *format, ...)
{
	va_list args;

	g_string_append_printf(w->timeline, "%7.2f s  ", seconds(w));
	va_start(args, format);
	g_string_append_vprintf(w->timeline, format, args);
	va_end(args);
	g_string_append_c(w->timeline, '\n');
}

struct instance *instance_by_ip(struct world *w, uint32_t ip)
{
	for (guint i = 0; i < w->instances->len; i++) {
		struct instance *inst = g_ptr_array_index(w->instances, i);

		if (inst->ip == ip)
			return inst;
	}
	return NULL;
}

bool instance_calm(const struct world *w, const struct instance *inst)
{
	return w->now_ms >= inst->disturbed_ms && w->now_ms >= inst->store_disturbed_ms;
}

static int64_t monotonic_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void disturb(const struct world *w, struct instance *inst, int64_t ms)
{
	inst->disturbed_ms = MAX(inst->disturbed_ms, w->now_ms + ms + CONTACT_MS);
}

static void start_process(struct world *w, const struct options *opts, struct instance *inst)
{
	int log = open(inst->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

	disturb(w, inst, 0);
	inst->pid = fork();
	if (!inst->pid) {
		/* No instance outlives the emulator. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(log, STDOUT_FILENO);
		dup2(log, STDERR_FILENO);
		execl(opts->binary, opts->binary, "edge", "--settings", inst->settings, NULL);
		_exit(127);
	}
	close(log);
}

/* The snapshot addresses of the first instances, separated by commas. */
static char *seeds_text(const struct options *opts)
{
	GString *text = g_string_new(NULL);
	char address[ADDRESS_TEXT];

	for (unsigned int nr = 0; nr < MIN(opts->instances, (unsigned int)SEEDS); nr++)
		g_string_append_printf(text, "%s%s", nr ? "," : "",
				       world_address(PART_INSTANCE, nr % DATA_CENTRES, nr + 1,
						     SNAPSHOT_PORT, address));
	return g_string_free(text, FALSE);
}

static void add_instance(struct world *w, const struct options *opts, unsigned int nr)
{
	struct instance *inst = g_new0(struct instance, 1);
	char addresses[6][ADDRESS_TEXT];
	char *seeds = seeds_text(opts);
	char peers[ADDRESS_TEXT + 32] = "";
	char *text;

	inst->nr = nr;
	inst->dc = nr % DATA_CENTRES;
	inst->ip = world_ip(PART_INSTANCE, inst->dc, nr + 1);
	inst->ready_fd = -1;
	inst->settings = g_strdup_printf("%s/edge-%u.json", opts->dir, nr);
	inst->log = g_strdup_printf("%s/edge-%u.log", opts->dir, nr);
	if (!opts->no_relay)
		g_snprintf(peers, sizeof(peers), "\"peers\":\"%s\",\"credits\":\"on\",",
			   world_address(PART_INSTANCE, inst->dc, nr + 1, PEER_PORT, addresses[4]));
	text = g_strdup_printf(
		"// Written by the emulator.\n{\"name\":\"edge-%u\",\"data_centre\":\"dc%u\","
		"\"packets\":\"%s\",\"ready\":\"%s\",\"metrics\":\"%s\",\"store\":\"%s\","
		"\"snapshot\":\"%s\",\"seeds\":\"%s\","
		"%s\"stop_s\":%d,\"watch_pause_ms\":%u,\"confirm_ms\":%u}\n",
		nr, inst->dc,
		world_address(PART_INSTANCE, inst->dc, nr + 1, UDP_PORT, addresses[0]),
		world_address(PART_INSTANCE, inst->dc, nr + 1, READY_PORT, addresses[1]),
		world_address(PART_INSTANCE, inst->dc, nr + 1, METRICS_PORT, addresses[2]),
		world_address(PART_STORE, 0, nr, STORE_PORT, addresses[3]),
		world_address(PART_INSTANCE, inst->dc, nr + 1, SNAPSHOT_PORT, addresses[5]), seeds,
		peers, GRACE_S, opts->watch_pause_ms, opts->confirm_ms);
	if (!g_file_set_contents(inst->settings, text, -1, NULL))
		g_error("cannot write %s", inst->settings);
	g_free(seeds);
	g_free(text);
	g_ptr_array_add(w->instances, inst);
}

static void put_config(struct world *w)
{
	GString *text = g_string_new(NULL);
	unsigned int weight = 1 + wrandom(w, 9);

	w->config_version += 1 + wrandom(w, 5);
	g_string_printf(text,
			"{\"version\":%u,\"routes\":[{\"name\":\"r1\",\"hostname\":\"198.18.0.1\","
			"\"path_prefix\":\"/%u/\",\"type\":\"idempotent\",\"timeout_ms\":1000,"
			"\"priority\":1,%s\"traffic_split\":[{\"service\":\"web\",\"weight\":%u},"
			"{\"service\":\"web2\",\"weight\":%u}]}",
			w->config_version, w->route_port, w->one_request ? "\"slo_ms\":500," : "",
			weight, 10 - weight);
	if (w->extra_port)
		g_string_append_printf(text,
				       ",{\"name\":\"r2\",\"hostname\":\"198.18.0.1\","
				       "\"path_prefix\":\"/%u/\",\"type\":\"download\","
				       "\"service\":\"docs\"}",
				       w->extra_port);
	g_string_append(text,
			"],\"services\":[{\"name\":\"web\",\"cold_per_s\":0.0},{\"name\":\"web2\"},"
			"{\"name\":\"docs\"}],\"limits\":{\"idle_timeout_ms\":15000}}");
	store_put(w, "config", "main", text->str);
	g_string_free(text, TRUE);
}

/* Asks each instance twice a second whether it is ready, without waiting for the answer. */
static void ask_ready(struct world *w, struct instance *inst)
{
	static const char question[] =
		"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
	char answer[64] = "";
	bool ok = false;

	if (w->now_ms < inst->ready_ms)
		return;
	inst->ready_ms = w->now_ms + READY_EVERY_MS;
	if (inst->ready_fd >= 0) {
		ok = read(inst->ready_fd, answer, sizeof(answer) - 1) > 0 && strstr(answer, " 200");
		close(inst->ready_fd);
	}
	inst->misses = ok ? 0 : inst->misses + 1;
	if (ok)
		inst->in_rotation = true;
	else if (inst->misses >= READY_MISSES)
		inst->in_rotation = false;
	inst->ready_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	{
		uint32_t ip = GUINT32_TO_BE(inst->ip);
		uint16_t port = GUINT16_TO_BE(READY_PORT);
		struct sockaddr sa = { .sa_family = AF_INET };

		memcpy(sa.sa_data, &port, sizeof(port));
		memcpy(sa.sa_data + 2, &ip, sizeof(ip));
		/* On loopback the connection is made or refused at once. */
		if (connect(inst->ready_fd, &sa, sizeof(sa)) ||
		    send(inst->ready_fd, question, sizeof(question) - 1, MSG_NOSIGNAL) < 0) {
			close(inst->ready_fd);
			inst->ready_fd = -1;
			return;
		}
	}
	fcntl(inst->ready_fd, F_SETFL, O_NONBLOCK);
}

static void run_instance(struct world *w, const struct options *opts, struct instance *inst)
{
	int status;

	if (inst->pid > 0 && waitpid(inst->pid, &status, WNOHANG) == inst->pid) {
		if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL)
			breach(w, "EXIT: instance %u ended by signal %d", inst->nr,
			       WTERMSIG(status));
		else if (WIFEXITED(status) && WEXITSTATUS(status))
			breach(w, "EXIT: instance %u ended with %d", inst->nr, WEXITSTATUS(status));
		inst->pid = 0;
		disturb(w, inst, RESTART_MS);
		inst->restart_ms = w->now_ms + RESTART_MS;
	}
	if (!inst->pid && w->now_ms >= inst->restart_ms)
		start_process(w, opts, inst);
	if (inst->resume_ms && w->now_ms >= inst->resume_ms) {
		inst->resume_ms = 0;
		inst->resumed_ms = w->now_ms;
		kill(inst->pid, SIGCONT);
		disturb(w, inst, 0);
	}
	if (inst->store_mode != STORE_WELL) {
		inst->store_disturbed_ms = w->now_ms + CONTACT_MS;
		if (w->now_ms >= inst->store_until_ms)
			inst->store_mode = STORE_WELL;
	}
	ask_ready(w, inst);
}

static struct instance *any_instance(struct world *w)
{
	return g_ptr_array_index(w->instances, wrandom(w, w->instances->len));
}

static struct target *any_target(struct world *w)
{
	for (int i = 0; i < 20; i++) {
		struct target *tgt = g_ptr_array_index(w->targets, wrandom(w, w->targets->len));

		if (target_takes_faults(tgt))
			return tgt;
	}
	return NULL;
}

static void signal_instance(struct world *w, enum fault_kind kind)
{
	struct instance *inst = any_instance(w);

	if (!inst->pid || inst->resume_ms)
		return;
	switch (kind) {
	case FAULT_KILL:
		note_event(w, "kill -9 of instance %u", inst->nr);
		kill(inst->pid, SIGKILL);
		break;
	case FAULT_PAUSE:
		inst->resume_ms = w->now_ms + w->pause_ms / 6 + wrandom(w, w->pause_ms * 5 / 6);
		note_event(w, "instance %u paused for %d ms", inst->nr,
			   (int)(inst->resume_ms - w->now_ms));
		kill(inst->pid, SIGSTOP);
		disturb(w, inst, inst->resume_ms - w->now_ms);
		return;
	case FAULT_TERM:
		note_event(w, "planned stop of instance %u", inst->nr);
		kill(inst->pid, SIGTERM);
		break;
	default:
		note_event(w, "SIGHUP to instance %u", inst->nr);
		kill(inst->pid, SIGHUP);
		return;
	}
	disturb(w, inst, 0);
}

static void fault_store(struct world *w, enum fault_kind kind)
{
	static const enum store_mode modes[] = {
		[FAULT_STORE_SILENT] = STORE_SILENT,
		[FAULT_STORE_BUSY] = STORE_BUSY,
		[FAULT_STORE_RESET] = STORE_RESET,
		[FAULT_STORE_SLOW] = STORE_SLOW,
	};
	static const char *const names[] = { "well", "silent", "busy", "resetting", "slow" };
	bool all = wrandom(w, 3) == 0;
	struct instance *one = any_instance(w);
	int64_t until = w->now_ms + 800 + wrandom(w, 3500);

	for (guint i = 0; i < w->instances->len; i++) {
		struct instance *inst = g_ptr_array_index(w->instances, i);

		if (!all && inst != one)
			continue;
		inst->store_mode = modes[kind];
		inst->store_until_ms = until;
		inst->store_disturbed_ms = until + CONTACT_MS;
	}
	note_event(w, "store %s to %s for %d ms", names[modes[kind]], all ? "all" : "one instance",
		   (int)(until - w->now_ms));
}

static void disturb_stores(struct world *w, int64_t until)
{
	for (guint i = 0; i < w->instances->len; i++) {
		struct instance *inst = g_ptr_array_index(w->instances, i);

		inst->store_disturbed_ms = MAX(inst->store_disturbed_ms, until + CONTACT_MS);
	}
}

/* Faults of the store's answers, for all instances alike. */
static void fault_answers(struct world *w, enum fault_kind kind)
{
	int64_t until = w->now_ms + 1000 + wrandom(w, MAX_STALE_MS - 1000);

	if (kind == FAULT_STORE_STALE)
		store_freeze_reads(w, until);
	else
		store_lose_answers(w, until);
	disturb_stores(w, until);
	note_event(w,
		   kind == FAULT_STORE_STALE ? "reads of the store stand still for %d ms"
					     : "the store loses answers for %d ms",
		   (int)(until - w->now_ms));
}

static void fault_target(struct world *w, enum fault_kind kind)
{
	struct target *tgt = any_target(w);
	static const char *const services[] = { "web", "web2", "docs" };

	if (!tgt)
		return;
	switch (kind) {
	case FAULT_TARGET_DARK:
	case FAULT_TARGET_REFUSING:
		note_event(w, "target %s crashes%s", target_id(tgt),
			   kind == FAULT_TARGET_DARK ? " and is silent" : "");
		target_crash(w, tgt, kind == FAULT_TARGET_DARK);
		break;
	case FAULT_TARGET_RELEASE:
		note_event(w, "target %s drains", target_id(tgt));
		target_drain(w, tgt);
		break;
	case FAULT_TARGET_SLOW:
		note_event(w, "target %s is slow", target_id(tgt));
		target_slow_down(tgt, 50 + wrandom(w, 600), w->now_ms + 500 + wrandom(w, 2500));
		return;
	case FAULT_TARGET_HANGS:
		note_event(w, "target %s hangs half of its requests", target_id(tgt));
		target_hang(tgt, w->now_ms + 1000 + wrandom(w, 3000));
		return;
	case FAULT_TARGET_FULL:
		note_event(w, "the queue of target %s is full", target_id(tgt));
		target_fill(w, tgt, w->now_ms + w->full_notice_ms + 500 + wrandom(w, 2500));
		return;
	default:
		note_event(w, "target %s restarts under its id", target_id(tgt));
		target_restart_same(w, tgt);
		return;
	}
	/* Another one takes its place. */
	target_start(w, services[wrandom(w, 3)], wrandom(w, DATA_CENTRES));
}

static void change_config(struct world *w)
{
	if (w->extra_port) {
		w->dropped_port = w->extra_port;
		w->dropped_ms = w->now_ms;
		w->extra_port = 0;
	} else if (w->now_ms > w->dropped_ms + APPLY_MS + CONTACT_MS) {
		w->extra_port = (uint16_t)(9000 + wrandom(w, 900));
	}
	put_config(w);
	note_event(w, "configuration %u, extra route %u", w->config_version, w->extra_port);
}

static void withdraw(struct world *w)
{
	char name[8];

	if (w->withdrawn_dc >= 0)
		return;
	w->withdrawn_dc = (int)wrandom(w, DATA_CENTRES);
	w->withdrawn_ms = w->now_ms;
	w->withdrawn_until_ms = w->now_ms + 2000 + wrandom(w, 6000);
	g_snprintf(name, sizeof(name), "dc%d", w->withdrawn_dc);
	store_put(w, "evacuations", name, "{}");
	note_event(w, "%s withdrawn for %d ms", name, (int)(w->withdrawn_until_ms - w->now_ms));
}

/* All instances at once, while two targets drain and a route may go. */
static void pause_all(struct world *w)
{
	if (w->all_paused_ms && w->now_ms < w->all_paused_ms + w->pause_ms + CONTACT_MS)
		return;
	w->all_paused_ms = w->now_ms;
	note_event(w, "all instances paused for %u ms", w->pause_ms);
	for (guint i = 0; i < w->instances->len; i++) {
		struct instance *inst = g_ptr_array_index(w->instances, i);

		if (!inst->pid || inst->resume_ms)
			continue;
		inst->resume_ms = w->now_ms + w->pause_ms;
		kill(inst->pid, SIGSTOP);
		disturb(w, inst, w->pause_ms);
	}
	fault_target(w, FAULT_TARGET_RELEASE);
	fault_target(w, FAULT_TARGET_RELEASE);
	change_config(w);
}

#define ODD_SPEC(service, addr, slots)                                                             \
	"{\"service\":\"" service "\",\"addr\":\"" addr "\",\"zone\":\"dc0\",\"version\":\"v1\","  \
	"\"slots\":" slots ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":7}"
#define ARRAYS_10(value) "[[[[[[[[[[" value "]]]]]]]]]]"
#define BYTES_40	 "a-service-of-which-nothing-is-configured"

#define HUGE_BYTES   1000000
#define HUGE_ENTRIES 10

/* Entries of another writer, which name nothing to use. */
static const struct odd_entry {
	const char *kind;
	const char *name;
	const char *spec;
} odd_entries[] = {
	{ "servers", "i-bad", "\"text\"" },
	{ "servers", "i-bad", "{\"service\":7}" },
	{ "servers", "i-d0", "{\"service\":" ARRAYS_10(ARRAYS_10(ARRAYS_10(ARRAYS_10("1")))) "}" },
	{ "servers", "i-d1", ODD_SPEC(BYTES_40 BYTES_40 BYTES_40 BYTES_40, "127.0.0.9:9", "2") },
	{ "servers", "i-d2", ODD_SPEC(BYTES_40 BYTES_40, "127.0.0.9:9", "2") },
	{ "servers", "i-d3", ODD_SPEC("web", "127.0.0.9:99999", "2") },
	{ "servers", "i-d4", ODD_SPEC("web", "127.0.0.9:9", "99999999999999999999") },
	{ "servers", "i-d&after=z 5", "[]" },
	{ "evacuations", BYTES_40 BYTES_40 BYTES_40 BYTES_40, "{}" },
	{ "evacuations", "i-d&after=z 5", "{\"x\":" ARRAYS_10(ARRAYS_10(ARRAYS_10("1"))) "}" },
};

static void put_odd_entry(struct world *w)
{
	const struct odd_entry *odd = &odd_entries[wrandom(w, G_N_ELEMENTS(odd_entries))];

	store_put(w, odd->kind, odd->name, odd->spec);
	note_event(w, "an odd entry, %s \"%s\"", odd->kind, odd->name);
}

/* At once more bytes of events than an instance takes as one answer. */
static void put_huge_entries(struct world *w)
{
	GString *spec = g_string_new("{\"service\":\"");

	while (spec->len < HUGE_BYTES)
		g_string_append(spec, BYTES_40);
	g_string_append_printf(spec, "\",\"seq\":%u}", wrandom(w, 1000));
	for (unsigned int i = 0; i < HUGE_ENTRIES; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "i-huge-%u", i);
		store_put(w, "servers", name, spec->str);
	}
	g_string_free(spec, TRUE);
	note_event(w, "%u entries of %u bytes", HUGE_ENTRIES, HUGE_BYTES);
}

static void inject(struct world *w, const bool *only)
{
	enum fault_kind nr = FAULT_LOSSY + 1;
	enum fault_kind kind;

	/* Kinds after FAULT_LOSSY came later; days without them draw as they did before. */
	for (kind = nr; kind < FAULT_KINDS; kind++) {
		if (only[kind])
			nr = kind + 1;
	}
	kind = wrandom(w, nr);
	while (!only[kind])
		kind = (kind + 1) % nr;
	switch (kind) {
	case FAULT_KILL:
	case FAULT_PAUSE:
	case FAULT_TERM:
	case FAULT_HUP:
		signal_instance(w, kind);
		break;
	case FAULT_TARGET_DARK:
	case FAULT_TARGET_REFUSING:
	case FAULT_TARGET_RELEASE:
	case FAULT_TARGET_REBORN:
	case FAULT_TARGET_SLOW:
	case FAULT_TARGET_HANGS:
	case FAULT_TARGET_FULL:
		fault_target(w, kind);
		break;
	case FAULT_STORE_SILENT:
	case FAULT_STORE_BUSY:
	case FAULT_STORE_RESET:
	case FAULT_STORE_SLOW:
		fault_store(w, kind);
		break;
	case FAULT_STORE_STALE:
	case FAULT_STORE_LOST:
		fault_answers(w, kind);
		break;
	case FAULT_SHIFT:
		callers_shift(w);
		note_event(w, "half of the callers move to the other data centre");
		break;
	case FAULT_STORE_FORGETS:
		store_forget();
		note_event(w, "the store forgets its history");
		break;
	case FAULT_STORE_MALFORMED:
		put_odd_entry(w);
		break;
	case FAULT_CONFIG:
		change_config(w);
		break;
	case FAULT_WITHDRAW:
		withdraw(w);
		break;
	case FAULT_LOSSY:
		w->loss_permille = 5 + wrandom(w, 60);
		w->loss_until_ms = w->now_ms + 1000 + wrandom(w, 3000);
		note_event(w, "callers' links lose %u in a thousand", w->loss_permille);
		break;
	case FAULT_PAUSE_ALL:
		pause_all(w);
		break;
	case FAULT_STORE_HUGE:
		put_huge_entries(w);
		break;
	case FAULT_KINDS:
		break;
	}
}

static void run_world(struct world *w)
{
	char name[8];

	if (w->withdrawn_dc >= 0 && w->now_ms >= w->withdrawn_until_ms) {
		g_snprintf(name, sizeof(name), "dc%d", w->withdrawn_dc);
		store_delete(w, "evacuations", name);
		note_event(w, "%s restored", name);
		w->withdrawn_dc = -1;
	}
	if (w->loss_permille && w->now_ms >= w->loss_until_ms)
		w->loss_permille = 0;
}

static void dispatch(struct world *w, GArray *fds)
{
	guint stores;
	guint targets;

	g_array_set_size(fds, 0);
	store_fds(w, fds);
	stores = fds->len;
	targets_fds(w, fds);
	targets = fds->len;
	callers_fds(w, fds);
	poll((struct pollfd *)(void *)fds->data, fds->len, TICK_MS);
	w->now_ms = monotonic_ms();
	for (guint i = 0; i < fds->len; i++) {
		const struct pollfd *fd = &g_array_index(fds, struct pollfd, i);

		if (!fd->revents)
			continue;
		if (i < stores)
			store_ready(w, fd);
		else if (i < targets)
			targets_ready(w, fd);
		else
			callers_ready(w, fd);
	}
}

static void play(struct world *w, const struct options *opts)
{
	GArray *fds = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	int64_t quiet_ms = w->end_ms - QUIET_S * 1000;
	int64_t next_fault_ms = w->start_ms + WARM_UP_MS + 1000;
	bool started = false;

	while (w->now_ms < w->end_ms) {
		dispatch(w, fds);
		for (guint i = 0; i < w->instances->len; i++)
			run_instance(w, opts, g_ptr_array_index(w->instances, i));
		store_timer(w);
		targets_timer(w);
		run_world(w);
		if (!started && w->now_ms >= w->start_ms + WARM_UP_MS) {
			for (unsigned int i = 0; i < opts->callers; i++)
				caller_start(w, i, i % DATA_CENTRES);
			started = true;
		}
		callers_timer(w);
		if (opts->faults && w->now_ms >= next_fault_ms && w->now_ms < quiet_ms) {
			inject(w, opts->only);
			next_fault_ms = w->now_ms + wrandom(w, FAULT_GAP_MS);
		}
	}
	g_array_unref(fds);
}

/* Requests of the last seconds that could still be answered. */
static void measured(const struct world *w, const struct options *opts, unsigned int *asked,
		     unsigned int *served)
{
	unsigned int last = opts->seconds - 2; /* a request has 1.5 s */

	*asked = 0;
	*served = 0;
	for (unsigned int i = last - MEASURED_S; i < last && i < G_N_ELEMENTS(w->second_asked);
	     i++) {
		*asked += w->second_asked[i];
		*served += w->second_served[i];
	}
}

static void print_report(const struct world *w, const struct options *opts, unsigned int asked,
			 unsigned int served)
{
	printf("seed %llu, %u instances, %u callers, %u s\n\nwhat was injected\n%s\nservice\n",
	       (unsigned long long)opts->seed, opts->instances, opts->callers, opts->seconds,
	       w->timeline->str);
	for (unsigned int i = 0; i < opts->seconds && i < G_N_ELEMENTS(w->second_asked); i++) {
		unsigned int of_fifty =
			w->second_asked[i] ? 50 * w->second_served[i] / w->second_asked[i] : 0;

		printf("%4u s  %4u of %4u  %.*s\n", i, w->second_served[i], w->second_asked[i],
		       (int)of_fifty, "##################################################");
	}
	printf("\nbroken promises\n%s\n", w->nr_breaches ? w->breaches->str : "none\n");
	printf("seed=%llu asked=%u served=%u failed=%u refused=%u breaches=%u last_asked=%u "
	       "last_served=%u\n",
	       (unsigned long long)opts->seed, w->asked, w->served, w->failed, w->refused,
	       w->nr_breaches, asked, served);
}

static void write_failed_tries(const struct world *w, const struct options *opts)
{
	char *path = g_strdup_printf("%s/failed-tries.txt", opts->dir);

	if (!g_file_set_contents(path, w->failed_tries->str, -1, NULL))
		g_error("cannot write %s", path);
	g_free(path);
}

static const char *const fault_names[FAULT_KINDS] = {
	[FAULT_KILL] = "kill",
	[FAULT_PAUSE] = "pause",
	[FAULT_TERM] = "stop",
	[FAULT_HUP] = "hup",
	[FAULT_TARGET_DARK] = "target-dark",
	[FAULT_TARGET_REFUSING] = "target-refusing",
	[FAULT_TARGET_RELEASE] = "target-release",
	[FAULT_TARGET_REBORN] = "target-reborn",
	[FAULT_STORE_SILENT] = "store-silent",
	[FAULT_STORE_BUSY] = "store-busy",
	[FAULT_STORE_RESET] = "store-reset",
	[FAULT_STORE_SLOW] = "store-slow",
	[FAULT_STORE_FORGETS] = "store-forgets",
	[FAULT_STORE_MALFORMED] = "store-malformed",
	[FAULT_CONFIG] = "config",
	[FAULT_WITHDRAW] = "withdraw",
	[FAULT_LOSSY] = "lossy",
	[FAULT_STORE_STALE] = "store-stale",
	[FAULT_STORE_LOST] = "store-lost",
	[FAULT_TARGET_SLOW] = "target-slow",
	[FAULT_SHIFT] = "shift",
	[FAULT_PAUSE_ALL] = "pause-all",
	[FAULT_STORE_HUGE] = "store-huge",
	[FAULT_TARGET_HANGS] = "target-hangs",
	[FAULT_TARGET_FULL] = "target-full",
};

/* Names separated by commas; all kinds for "". Returns false when none is known. */
static bool parse_faults(const char *names, bool *only)
{
	char **list = g_strsplit(names, ",", 0);
	bool any = false;

	for (int i = 0; i < FAULT_KINDS; i++) {
		only[i] = (!*names && i < FAULT_STORE_HUGE) ||
			  g_strv_contains((const char *const *)list, fault_names[i]);
		any |= only[i];
	}
	g_strfreev(list);
	return any;
}

static const char *option(int argc, char **argv, const char *name, const char *def)
{
	for (int i = 1; i + 1 < argc; i++) {
		if (!strcmp(argv[i], name))
			return argv[i + 1];
	}
	return def;
}

static bool flag(int argc, char **argv, const char *name)
{
	for (int i = 1; i < argc; i++) {
		if (!strcmp(argv[i], name))
			return true;
	}
	return false;
}

static void end_processes(struct world *w)
{
	for (guint i = 0; i < w->instances->len; i++) {
		struct instance *inst = g_ptr_array_index(w->instances, i);

		if (inst->ready_fd >= 0)
			close(inst->ready_fd);
		if (inst->pid > 0) {
			kill(inst->pid, SIGKILL);
			waitpid(inst->pid, NULL, 0);
		}
		g_free(inst->settings);
		g_free(inst->log);
	}
}

int main(int argc, char **argv)
{
	struct options opts = {
		.binary = option(argc, argv, "--binary", "./jujubestage"),
		.dir = option(argc, argv, "--dir", NULL),
		.instances = (unsigned int)atoi(option(argc, argv, "--instances", "4")),
		.callers = (unsigned int)atoi(option(argc, argv, "--callers", "24")),
		.seconds = (unsigned int)atoi(option(argc, argv, "--seconds", "12")),
		.seed = strtoull(option(argc, argv, "--seed", "1"), NULL, 10),
		.faults = flag(argc, argv, "--faults"),
		.no_relay = flag(argc, argv, "--no-relay"),
		.watch_pause_ms = (unsigned int)atoi(option(argc, argv, "--watch-pause", "700")),
		.confirm_ms = (unsigned int)atoi(option(argc, argv, "--confirm", "500")),
	};
	static struct world w;
	unsigned int asked;
	unsigned int served;
	bool ok;

	if (!parse_faults(option(argc, argv, "--only", ""), opts.only) || !opts.dir ||
	    opts.instances < 1 || opts.instances > 64 || opts.seconds < 8) {
		fprintf(stderr, "usage: world --dir DIR [--binary FILE] [--instances N] "
				"[--callers N] [--seconds S] [--no-relay] [--faults] [--seed N]\n");
		return 2;
	}
	world_net = (unsigned int)atoi(option(argc, argv, "--net", "0")) % 30;
	signal(SIGPIPE, SIG_IGN);
	w.random = opts.seed;
	w.pause_ms = (unsigned int)atoi(option(argc, argv, "--pause", "3000"));
	w.work_ms = (unsigned int)atoi(option(argc, argv, "--work", "5"));
	w.full_notice_ms = (unsigned int)atoi(option(argc, argv, "--full-notice", "1000"));
	w.one_request = flag(argc, argv, "--one-request");
	w.now_ms = monotonic_ms();
	w.start_ms = w.now_ms;
	w.end_ms = w.start_ms + (int64_t)opts.seconds * 1000;
	w.instances = g_ptr_array_new_with_free_func(g_free);
	w.targets = g_ptr_array_new();
	w.callers = g_ptr_array_new();
	w.ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w.breaches = g_string_new(NULL);
	w.timeline = g_string_new(NULL);
	w.failed_tries = g_string_new(NULL);
	w.route_port = 443;
	w.extra_port = 8443;
	w.withdrawn_dc = -1;
	w.dropped_ms = -CONTACT_MS - APPLY_MS;
	for (unsigned int i = 0; i < opts.instances; i++)
		add_instance(&w, &opts, i);
	store_init(&w);
	put_config(&w);
	for (unsigned int i = 0; i < 9; i++) {
		static const char *const services[] = { "web", "web2", "docs" };

		target_start(&w, services[i % 3], i / 3 % DATA_CENTRES);
	}
	play(&w, &opts);
	end_processes(&w);
	measured(&w, &opts, &asked, &served);
	print_report(&w, &opts, asked, served);
	write_failed_tries(&w, &opts);
	ok = !w.nr_breaches && asked && served * 100 >= asked * SERVED_PERCENT;
	for (guint i = 0; i < w.callers->len; i++)
		caller_free(g_ptr_array_index(w.callers, i));
	for (guint i = 0; i < w.targets->len; i++)
		target_free(g_ptr_array_index(w.targets, i));
	store_release();
	return ok ? 0 : 1;
}
