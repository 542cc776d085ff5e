#include "loop.h"

#include <errno.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "dataplane.h"
#include "log.h"
#include "probe.h"
#include "rawsource.h"

#define PEER_BUFFER_BYTES 65536
/* Limits the batches read from one socket before other sockets are served. */
#define MAX_BATCHES_PER_WAKEUP 4

struct loop_transport {
	struct peer_transport base;
	struct loop *loop;
};

struct loop_handler {
	struct peer_handler base;
	struct loop *loop;
};

/* A socket of the loop. */
struct loop_socket {
	struct rawsource raw; /* first member, for the cast in source_readable() */
	struct loop *loop;
	void (*readable)(struct loop *loop);
};

struct loop {
	const struct settings *set;
	struct clock *clock;
	struct core *core;
	struct peer *peer;
	struct loop_transport transport;
	struct loop_handler handler;
	struct lws_context *context;
	struct lws_vhost *vhost;
	struct lws_sorted_usec_list timer;
	struct probes *probes;
	struct watcher *watcher;
	struct loop_socket packets;
	struct loop_socket answers;
	struct loop_socket peers;
	struct loop_socket signals;
	struct dataplane dp;
	struct udp_in peers_in;
	struct actions acts;
	struct http_pages admin_pages;
	bool executing;
	bool leaving;
	bool stopped; /* after ACTION_STOP */
	bool platform_reachable;
	struct timespec start;
	struct timespec exit_deadline; /* of a planned stop; after ACTION_STOP, of the watcher */
	uint64_t logged_members_version;
	uint64_t logged_config_count;
	uint64_t health_config_digest;
	GHashTable *health; /* endpoint_key() of a target -> struct endpoint for its probes */
};

struct timespec loop_now(struct loop *loop)
{
	return clock_now(loop->clock);
}

static uint64_t endpoint_key(struct endpoint ep)
{
	return (uint64_t)ep.ip << 16 | ep.port;
}

static void add_service_health(struct service *svc, void *arg)
{
	GHashTable *health = arg;

	for (guint i = 0; i < svc->targets->len; i++) {
		const struct target_config *tgt =
			&g_array_index(svc->targets, struct target_config, i);
		uint64_t key = endpoint_key(tgt->ep);

		g_hash_table_insert(health, g_memdup2(&key, sizeof(key)),
				    g_memdup2(&tgt->health, sizeof(tgt->health)));
	}
}

/* Looks up the target's health endpoint in the configuration in force and starts a probe of it. */
static void start_probe(struct loop *loop, struct endpoint target)
{
	const struct config *cfg = core_config(loop->core);
	uint64_t digest = config_digest(cfg);
	uint64_t key = endpoint_key(target);
	const struct endpoint *health;

	if (digest != loop->health_config_digest) {
		g_hash_table_remove_all(loop->health);
		config_each_service(cfg, add_service_health, loop->health);
		loop->health_config_digest = digest;
	}
	health = g_hash_table_lookup(loop->health, &key);
	if (health)
		probe_start(loop->probes, target, *health);
}

static void post_health_report(void *arg, const struct health_report *rep)
{
	struct loop *loop = arg;
	struct event ev = { .type = EVENT_HEALTH, .now = loop_now(loop), .health = *rep };

	loop_post(loop, &ev);
}

static void stop_complete(struct loop *loop)
{
	if (loop->stopped)
		return;
	loop->stopped = true;
	loop->exit_deadline = ts_add_ms(loop_now(loop), WATCHER_IDLE_TIMEOUT_MS);
	log_event(LOG_LEVEL_INFO, "event=handed_over");
	if (loop->watcher)
		loop->watcher->ops->leaving(loop->watcher, true);
}

static void execute_action(struct loop *loop, const struct action *act)
{
	const uint8_t *bytes = action_bytes(&loop->acts, act);

	switch (act->type) {
	case ACTION_FORWARD:
	case ACTION_ANSWER:
	case ACTION_REFUSE:
		dataplane_execute(&loop->dp, &loop->acts, act);
		break;
	case ACTION_PEER_SEND:
		peer_send(loop->peer, act->dst, bytes, act->len);
		break;
	case ACTION_PEER_CALL:
		peer_call(loop->peer, loop_now(loop), act->dst, act->call_id, act->timeout_ms,
			  act->tries, bytes, act->len);
		break;
	case ACTION_PEER_REPLY:
		peer_send_reply(loop->peer, act->dst, act->xid, bytes, act->len);
		break;
	case ACTION_PROBE:
		start_probe(loop, act->target);
		break;
	case ACTION_WATCH:
		if (loop->watcher)
			loop->watcher->ops->watch(loop->watcher, act->on);
		break;
	case ACTION_STOP:
		stop_complete(loop);
		break;
	}
}

/*
 * Executes and clears the actions. An event that is posted meanwhile, such as by a probe that fails
 * at once, only appends actions to the list; they are executed in the same pass.
 */
static void execute(struct loop *loop)
{
	loop->executing = true;
	for (size_t i = 0; i < loop->acts.list->len; i++) {
		struct action act = *actions_at(&loop->acts, i);

		execute_action(loop, &act);
	}
	dataplane_flush(&loop->dp, &loop->acts);
	actions_reset(&loop->acts);
	loop->executing = false;
}

void loop_post(struct loop *loop, const struct event *ev)
{
	if (ev->type == EVENT_PLATFORM && ev->platform.reachable != loop->platform_reachable) {
		loop->platform_reachable = ev->platform.reachable;
		log_event(LOG_LEVEL_INFO, "event=platform reachable=%d", ev->platform.reachable);
	}
	core_handle(loop->core, ev, &loop->acts);
	if (!loop->executing)
		execute(loop);
}

static void packets_readable(struct loop *loop)
{
	int nr = UDP_BATCH;

	for (int round = 0; round < MAX_BATCHES_PER_WAKEUP && nr == UDP_BATCH; round++) {
		nr = dataplane_read_packets(&loop->dp, loop_now(loop), &loop->acts);
		execute(loop);
	}
}

static void answers_readable(struct loop *loop)
{
	int nr = UDP_BATCH;

	for (int round = 0; round < MAX_BATCHES_PER_WAKEUP && nr == UDP_BATCH; round++) {
		nr = dataplane_read_answers(&loop->dp, loop_now(loop), &loop->acts);
		execute(loop);
	}
}

static void peers_readable(struct loop *loop)
{
	const uint8_t *bytes;
	struct endpoint src;
	size_t len;

	for (int round = 0, nr = UDP_BATCH; round < MAX_BATCHES_PER_WAKEUP && nr == UDP_BATCH;
	     round++) {
		nr = udp_in_receive(&loop->peers_in, loop->peers.raw.fd);
		for (int i = 0; i < nr; i++) {
			if (udp_in_at(&loop->peers_in, i, &bytes, &len, &src))
				peer_receive(loop->peer, src, bytes, len);
			else
				core_counters(loop->core)->peer_bad++;
		}
		execute(loop);
	}
}

static void peer_transmit(struct peer_transport *tr, struct endpoint dst, const uint8_t *bytes,
			  size_t len)
{
	struct loop *loop = ((struct loop_transport *)tr)->loop;
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(dst.ip),
		.sin_port = htons(dst.port),
	};

	/* A datagram that the kernel does not accept is lost; peer calls are retransmitted. */
	sendto(loop->peers.raw.fd, bytes, len, MSG_DONTWAIT, (struct sockaddr *)&sa, sizeof(sa));
}

static const struct peer_transport_ops transport_ops = {
	.send = peer_transmit,
};

static void peer_message(struct peer_handler *handler, uint32_t src, uint32_t xid,
			 const peer_msg *msg)
{
	struct loop *loop = ((struct loop_handler *)handler)->loop;
	struct event ev = {
		.type = EVENT_PEER,
		.now = loop_now(loop),
		.peer = { .src = src, .xid = xid, .msg = msg },
	};

	core_handle(loop->core, &ev, &loop->acts);
}

static void peer_result(struct peer_handler *handler, uint32_t src, uint64_t call_id,
			enum call_status status, const peer_msg *msg)
{
	struct loop *loop = ((struct loop_handler *)handler)->loop;
	struct event ev = {
		.type = EVENT_PEER_REPLY,
		.now = loop_now(loop),
		.reply = { .src = src, .call_id = call_id, .status = status, .msg = msg },
	};

	core_handle(loop->core, &ev, &loop->acts);
}

static bool peer_endpoint(struct peer_handler *handler, uint32_t id, struct endpoint *ep)
{
	struct loop *loop = ((struct loop_handler *)handler)->loop;

	return members_endpoint(core_members(loop->core), id, ep);
}

static const struct peer_handler_ops handler_ops = {
	.message = peer_message,
	.result = peer_result,
	.endpoint = peer_endpoint,
};

static void log_changes(struct loop *loop)
{
	uint64_t members = members_version(core_members(loop->core));
	uint64_t configs = core_counters(loop->core)->config_accepted;

	if (members != loop->logged_members_version)
		log_event(LOG_LEVEL_INFO, "event=members version=%" PRIu64 " count=%u", members,
			  members_count(core_members(loop->core)));
	if (configs != loop->logged_config_count)
		log_event(LOG_LEVEL_INFO, "event=config digest=%016" PRIx64,
			  config_digest(core_config(loop->core)));
	loop->logged_members_version = members;
	loop->logged_config_count = configs;
}

static void timer_expired(struct lws_sorted_usec_list *sul)
{
	struct loop *loop = lws_container_of(sul, struct loop, timer);
	struct event ev = { .type = EVENT_TIMER, .now = loop_now(loop) };

	lws_sul_schedule(loop->context, 0, &loop->timer, timer_expired,
			 (lws_usec_t)TIMER_INTERVAL_MS * LWS_US_PER_MS);
	peer_timer(loop->peer, ev.now);
	loop_post(loop, &ev);
	log_changes(loop);
}

static void signals_readable(struct loop *loop)
{
	struct signalfd_siginfo info;

	while (read(loop->signals.raw.fd, &info, sizeof(info)) == sizeof(info)) {
		log_event(LOG_LEVEL_INFO, "event=signal number=%u", info.ssi_signo);
		loop_stop(loop);
	}
}

static void source_readable(struct rawsource *raw)
{
	struct loop_socket *src = (struct loop_socket *)raw;

	src->readable(src->loop);
}

static int add_socket(struct loop *loop, struct loop_socket *src, int fd,
		      void (*readable)(struct loop *))
{
	src->loop = loop;
	src->readable = readable;
	return rawsource_adopt(loop->vhost, &src->raw, fd, source_readable);
}

int loop_catch_signals(struct loop *loop)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	if (sigprocmask(SIG_BLOCK, &set, NULL))
		return -errno;
	return add_socket(loop, &loop->signals, signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC),
			  signals_readable);
}

static int open_context(struct loop *loop)
{
	int ret = rawsource_context(&loop->context, &loop->vhost);

	if (ret)
		return ret;
	loop->probes = probes_new(loop->context, post_health_report, loop);
	return loop->probes ? 0 : -ENOMEM;
}

static int open_sockets(struct loop *loop)
{
	const struct settings *set = loop->set;
	int ret = add_socket(loop, &loop->packets, udp_open(set->packets), packets_readable);

	if (!ret)
		ret = add_socket(loop, &loop->answers, udp_open(set->answers), answers_readable);
	if (!ret)
		ret = add_socket(loop, &loop->peers, udp_open(set->peers), peers_readable);
	return ret;
}

static struct core *make_core(const struct loop_options *opts, struct timespec start)
{
	const struct settings *set = opts->set;
	struct core_options core = {
		.members = {
			.self = set->id,
			.group = set->group->str,
			.data_centre = set->data_centre->str,
			.incarnation = opts->incarnation,
			.peer = set->peers,
			.seeds = (const struct instance_info *)(void *)set->seeds->data,
			.nr_seeds = set->seeds->len,
		},
		.max_flows = set->max_flows,
		.fleet_key = set->fleet_key,
		.random = opts->random,
		.start = start,
	};

	memcpy(core.flow_key, set->flow_key, sizeof(core.flow_key));
	return core_new(&core);
}

int loop_new(const struct loop_options *opts, struct loop **res)
{
	struct loop *loop = g_new0(struct loop, 1);
	struct peer_options peer;
	int ret;

	loop->set = opts->set;
	loop->clock = opts->clock;
	loop->start = loop_now(loop);
	loop->transport = (struct loop_transport){ { &transport_ops }, loop };
	loop->handler = (struct loop_handler){ { &handler_ops }, loop };
	loop->health = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	loop->core = make_core(opts, loop->start);
	peer = (struct peer_options){
		.self = opts->set->id,
		.incarnation = opts->incarnation,
		.keys = opts->set->peer_keys,
		.nr_keys = opts->set->nr_peer_keys,
		.transport = &loop->transport.base,
		.handler = &loop->handler.base,
		.random = opts->random,
		.counters = core_counters(loop->core),
	};
	loop->peer = peer_new(&peer);
	actions_init(&loop->acts);
	udp_in_init(&loop->peers_in, PEER_BUFFER_BYTES);
	ret = open_context(loop);
	if (!ret)
		ret = open_sockets(loop);
	if (ret) {
		loop_free(loop);
		return ret;
	}
	dataplane_init(&loop->dp, loop->core, opts->set->egress, loop->packets.raw.fd,
		       loop->answers.raw.fd);
	lws_sul_schedule(loop->context, 0, &loop->timer, timer_expired, 1);
	*res = loop;
	return 0;
}

void loop_free(struct loop *loop)
{
	if (!loop)
		return;
	lws_sul_cancel(&loop->timer);
	if (loop->probes)
		probes_stop(loop->probes);
	if (loop->context)
		lws_context_destroy(loop->context);
	probes_free(loop->probes);
	peer_free(loop->peer);
	core_free(loop->core);
	g_hash_table_unref(loop->health);
	dataplane_release(&loop->dp);
	udp_in_release(&loop->peers_in);
	actions_release(&loop->acts);
	g_free(loop);
}

void loop_stop(struct loop *loop)
{
	struct event ev = { .type = EVENT_SHUTDOWN, .now = loop_now(loop) };

	if (loop->leaving)
		return;
	loop->leaving = true;
	loop->exit_deadline = ts_add_ms(ev.now, STOP_TIMEOUT_MS);
	log_event(LOG_LEVEL_INFO, "event=leaving");
	if (loop->watcher)
		loop->watcher->ops->leaving(loop->watcher, false);
	loop_post(loop, &ev);
}

bool loop_serve(struct loop *loop)
{
	if (lws_service(loop->context, 0) < 0)
		return false;
	if (!loop->leaving)
		return true;
	if (ts_cmp(loop_now(loop), loop->exit_deadline) >= 0)
		return false;
	return !loop->stopped || (loop->watcher && !loop->watcher->ops->idle(loop->watcher));
}

int loop_run(struct loop *loop)
{
	while (loop_serve(loop))
		;
	if (loop->stopped)
		return 0;
	log_event(LOG_LEVEL_ERROR, "event=stop_incomplete");
	return -ETIMEDOUT;
}

void loop_set_watcher(struct loop *loop, struct watcher *watcher)
{
	loop->watcher = watcher;
}

struct lws_context *loop_context(struct loop *loop)
{
	return loop->context;
}

struct core *loop_core(struct loop *loop)
{
	return loop->core;
}

const struct settings *loop_settings(const struct loop *loop)
{
	return loop->set;
}

struct http_pages *loop_admin_pages(struct loop *loop)
{
	return &loop->admin_pages;
}

void loop_get_status(const struct loop *loop, struct loop_status *st)
{
	*st = (struct loop_status){
		.leaving = loop->leaving,
		.platform_reachable = loop->platform_reachable,
		.lost_packets = dataplane_lost(&loop->dp),
		.calls_open = peer_calls_open(loop->peer),
		.traffic = peer_traffic(loop->peer),
		.start = loop->start,
	};
}
