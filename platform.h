/*
 * Client of the platform's object API, in the Kubernetes style of REST: GET, PUT with
 * resourceVersion, and watches with one JSON event a line. Every call has its own deadline, and
 * a watch is reopened when it receives nothing for WATCH_SILENCE_TIMEOUT_MS.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include <json-c/json.h>
#include <stdint.h>

#include "counters.h"
#include "event.h"
#include "httpcall.h"
#include "random.h"

#define PLATFORM_CALL_MS	 5000
#define WATCH_SILENCE_TIMEOUT_MS 30000 /* bookmarks come every 10 s */
#define WATCH_RETRY_MIN_MS	 200
/* With this limit, the 138 watches of 23 groups make 92 calls a second during an outage. */
#define WATCH_RETRY_MAX_MS   2000
#define PLATFORM_KIND_GRANTS "grants"
#define PLATFORM_KIND_ORGS   "organisations"
#define PLATFORM_KIND_DCS    "data-centres"
#define PLATFORM_KIND_INSTS  "instances"

struct platform;
struct platform_call;
struct platform_watch;

struct platform_result {
	/*
	 * CALL_TIMEOUT: no response arrived, a write may have taken effect. CALL_CONFLICT: the
	 * object has another version, or exists although no version was given. CALL_FAILED: the
	 * request was not carried out.
	 */
	enum call_status status;
	const char *version; /* of the object or, after a list, of the collection; "" on failure */
	json_object *body;   /* borrowed; NULL on failure */
};

typedef void (*platform_done_fn)(void *arg, const struct platform_result *res);

enum watch_event {
	WATCH_CHANGED, /* an object was added or modified */
	WATCH_DELETED,
	WATCH_UP,	  /* the watch was opened */
	WATCH_DOWN,	  /* the watch ended or was silent too long; the client reopens it */
	WATCH_LIST_AGAIN, /* the version is too old and the watch has ended: list and watch again */
};

typedef void (*platform_watch_fn)(void *arg, enum watch_event what, json_object *obj);

struct platform_ops {
	/* @query is appended after "?" when it is not NULL. Deadlines are in milliseconds. */
	struct platform_call *(*get)(struct platform *pf, const char *kind, const char *name,
				     uint32_t deadline_ms, platform_done_fn done, void *arg);
	struct platform_call *(*list)(struct platform *pf, const char *kind, const char *query,
				      uint32_t deadline_ms, platform_done_fn done, void *arg);
	/* Replaces only @version of the object; "" writes only when there is no such object. */
	struct platform_call *(*put)(struct platform *pf, const char *kind, const char *name,
				     const char *version, json_object *obj, uint32_t deadline_ms,
				     platform_done_fn done, void *arg);
	/* Ends a call without calling its @done. */
	void (*cancel)(struct platform *pf, struct platform_call *call);
	struct platform_watch *(*watch)(struct platform *pf, const char *kind, const char *version,
					platform_watch_fn fn, void *arg);
	void (*unwatch)(struct platform *pf, struct platform_watch *watch);
	void (*free)(struct platform *pf);
};

struct platform {
	const struct platform_ops *ops;
};

/*
 * Client over HTTP on a context of libwebsockets, which must outlive it. @counters may be NULL.
 * Returns NULL when libwebsockets has no memory.
 */
struct platform *platform_http_new(struct lws_context *context, struct endpoint server,
				   struct random *random, struct counters *counters);

/* Replaces WATCH_SILENCE_TIMEOUT_MS. Open watches apply it from the next data that they receive. */
void platform_http_set_silence_timeout(struct platform *pf, uint32_t silence_timeout_ms);

static inline void platform_free(struct platform *pf)
{
	if (pf)
		pf->ops->free(pf);
}

/* Name of a kind in the platform's API, one of PLATFORM_KIND_*. */
const char *platform_kind(peer_object_kind kind);
/* Returns metadata.resourceVersion, or "". */
const char *platform_version(json_object *obj);
/* Returns metadata.name, or "". */
const char *platform_name(json_object *obj);
/*
 * Reads the fields document and signature of a platform object. The strings stay owned by @obj.
 * Returns false when they are missing or malformed, or the document has no generation.
 */
bool platform_signed_object(json_object *obj, peer_object_kind kind, struct object *out);

#endif
