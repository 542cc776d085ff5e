#include "edge-snapshot.h"

#include <errno.h>
#include <string.h>

#include "bootstrap.h"
#include "httpcall.h"
#include "jsontext.h"
#include "snapshot.h"

#define SNAPSHOT_PATH	   "/snapshot"
#define SNAPSHOT_MAX_BYTES JSON_MAX_BYTES

/* Argument of the call that reads the snapshot of a seed. */
struct seed_call {
	struct edge_snapshot *owner;
	size_t seed;
};

struct edge_snapshot {
	struct bootstrap_out out; /* first member */
	struct edge_snapshot_options opts;
	struct bootstrap *bootstrap; /* NULL without seeds */
	struct http_client *client;
	struct endpoint seeds[EDGE_SEEDS_MAX]; /* without this instance */
	struct seed_call calls[EDGE_SEEDS_MAX];
};

unsigned int edge_snapshot_page(void *arg, const char *path, GString *body, const char **type)
{
	struct edge_snapshot *es = arg;
	bool ready = es->opts.ready(es->opts.arg);

	*type = "application/json";
	if (strcmp(path, SNAPSHOT_PATH) != 0) {
		g_string_append(body, "{\"error\":\"not found\"}\n");
		return HTTP_STATUS_NOT_FOUND;
	}
	if (ready)
		snapshot_write(es->opts.control_state, body, clock_now(es->opts.clock));
	if (ready && body->len <= SNAPSHOT_MAX_BYTES)
		return HTTP_STATUS_OK;
	g_string_assign(body, ready ? "{\"error\":\"too long\"}\n" : "{\"error\":\"not ready\"}\n");
	return HTTP_STATUS_SERVICE_UNAVAILABLE;
}

static void seed_answered(void *arg, const struct http_response *response)
{
	const struct seed_call *call = arg;
	struct edge_snapshot *es = call->owner;
	bool ok = response->error == HTTP_RESPONDED && response->status == HTTP_STATUS_OK;
	const char *why = response->error == HTTP_RESPONDED ? "not ready" : "no answer";

	bootstrap_answered(es->bootstrap, call->seed, ok ? response->body : NULL, response->len,
			   why, clock_now(es->opts.clock));
	es->opts.answered(es->opts.arg);
}

static void out_ask(struct bootstrap_out *out, size_t seed, uint32_t deadline_ms)
{
	struct edge_snapshot *es = (struct edge_snapshot *)out;
	struct http_request req = {
		.server = es->seeds[seed],
		.method = "GET",
		.path = SNAPSHOT_PATH,
		.deadline_ms = deadline_ms,
		.max_response_bytes = SNAPSHOT_MAX_BYTES,
		.done = seed_answered,
		.arg = &es->calls[seed],
	};

	http_call_start(es->client, &req);
}

static const struct bootstrap_out_ops out_ops = { out_ask };

static int open_seeds(struct edge_snapshot *es)
{
	const struct edge_settings *set = es->opts.set;
	struct bootstrap_options opts = {
		.control_state = es->opts.control_state,
		.out = &es->out,
		.random = es->opts.random,
		.seeds = es->seeds,
	};

	for (size_t i = 0; i < set->nr_seeds; i++) {
		if (endpoint_equal(set->seeds[i], set->snapshot))
			continue;
		es->seeds[opts.nr_seeds] = set->seeds[i];
		es->calls[opts.nr_seeds] = (struct seed_call){ es, opts.nr_seeds };
		opts.nr_seeds++;
	}
	if (!opts.nr_seeds)
		return 0;
	es->out.ops = &out_ops;
	es->client = http_client_new(es->opts.context);
	if (!es->client)
		return -ENOMEM;
	es->bootstrap = bootstrap_new(&opts);
	return 0;
}

int edge_snapshot_new(const struct edge_snapshot_options *opts, struct edge_snapshot **res)
{
	struct edge_snapshot *es = g_new0(struct edge_snapshot, 1);
	int ret;

	es->opts = *opts;
	ret = open_seeds(es);
	if (ret)
		edge_snapshot_free(es);
	else
		*res = es;
	return ret;
}

void edge_snapshot_free(struct edge_snapshot *es)
{
	if (!es)
		return;
	http_client_free(es->client);
	bootstrap_free(es->bootstrap);
	g_free(es);
}

bool edge_snapshot_timer(struct edge_snapshot *es, struct timespec now)
{
	return es->bootstrap && bootstrap_timer(es->bootstrap, now);
}

int64_t edge_snapshot_due_ms(const struct edge_snapshot *es, struct timespec now)
{
	return es->bootstrap ? bootstrap_due_ms(es->bootstrap, now) : INT64_MAX;
}
