/*
 * Connects a balancer to the platform: registers and renews its own entry in the list of
 * instances, reads that list, and watches the configuration objects while feed_watch() enables
 * it. Emits EVENT_OBJECT, EVENT_INSTANCES and EVENT_PLATFORM, and EVENT_SHUTDOWN when the fleet
 * operator has ordered this instance to drain ("jujubestage instance drain").
 */
#ifndef FEED_H
#define FEED_H

#include "platform.h"

/*
 * Load on the platform from 1,400 instances in groups of 61: 47 renewals and 47 reads of a group's
 * list a second for the whole fleet, and 400 bytes a second for each instance; reads of the whole
 * list, 280 KB each, add 470 bytes a second for each instance.
 */
#define RENEW_INTERVAL_MS      30000
#define LIST_GROUP_INTERVAL_MS 30000
#define LIST_ALL_INTERVAL_MS   600000
#define GONE_RETENTION_MS      600000 /* time for which a removed instance is reported as gone */
#define FEED_RETRY_MIN_MS      200
#define FEED_RETRY_MAX_MS      10000

struct feed;

struct feed_options {
	struct lws_context *context;
	struct platform *platform;
	struct clock *clock;
	struct random *random;
	struct instance_info self;
	struct endpoint admin;	  /* address of its status pages, for operators' tools */
	const uint8_t *fleet_key; /* verifies orders to drain; NULL ignores them */
	/* Called from the loop; the event's pointers are valid during the call. */
	void (*event)(void *arg, const struct event *ev);
	void *arg;
};

/* Starts to register and to read the list. Everything in @opts must outlive the feed. */
struct feed *feed_new(const struct feed_options *opts);
void feed_free(struct feed *feed);

/* ACTION_WATCH: starts (lists, then watches) or stops following the configuration objects. */
void feed_watch(struct feed *feed, bool on);

/* Writes the phase into the instance's entry: INSTANCE_LEAVING, then INSTANCE_GONE at the end. */
void feed_set_phase(struct feed *feed, enum instance_phase phase);
/* Whether the platform's entry has the phase set last. Shutdown need not wait for this. */
bool feed_phase_written(const struct feed *feed);

/* Convert an instance from and to the platform's JSON. Returns false when @obj is malformed. */
bool instance_from_json(json_object *obj, struct instance_info *info, struct endpoint *admin);
json_object *instance_to_json(const struct instance_info *info, struct endpoint admin);

#endif
