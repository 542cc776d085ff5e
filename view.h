/*
 * Encoding of the reader's store data as pages of one datagram each, and their application by its
 * followers. Targets are sent as changes since a revision of the store, or as a whole list.
 * Performs no I/O and reads no clock.
 */
#ifndef VIEW_H
#define VIEW_H

#include "beliefs.h"
#include "peer.h"
#include "wire.h"

/* Longest encoded message whose datagram instances receive. */
#define VIEW_MAX_MESSAGE_BYTES (WIRE_MAX_BYTES - SEAL_OVERHEAD_BYTES - PEER_RPC_HEADER_BYTES)

/* The changes to write. */
struct view_range {
	uint64_t session;	   /* of the receiver */
	uint32_t reader;	   /* PEER_READER_* */
	struct store_version base; /* from view_base_revision() */
	const char *after;	   /* write targets with identifiers above this one */
	const GPtrArray *changed;  /* from registry_changed_since() */
	unsigned int max_pages;
};

/*
 * Returns the revision from which to send changes to an instance that is complete up to @known:
 * none, for a whole list, if removed targets have been deleted from the registry since, or if it is
 * of an era before.
 */
struct store_version view_base_revision(const struct control_state *cs, struct store_version known);

typedef void (*view_send_fn)(void *arg, const peer_msg *msg);

/* Sends the pages of a range, at least one. Returns whether the last page was among them. */
bool view_write(const struct control_state *cs, const struct view_range *range, struct timespec now,
		view_send_fn send, void *arg);

/* Progress of applying a series of pages. */
struct view_progress {
	bool active;
	struct store_version base;
	struct store_version first_revision; /* of the reader at the first page */
	GString *after;			     /* identifier of the last target applied */
};

enum view_result {
	VIEW_MALFORMED,
	VIEW_GAP,      /* a page before this one is missing */
	VIEW_BEHIND,   /* the reader is at an older revision than this instance */
	VIEW_NEW_ERA,  /* the store's era is a new one: a whole list is required */
	VIEW_APPLIED,  /* applied; further pages follow */
	VIEW_COMPLETE, /* applied; the series is complete */
};

void view_progress_init(struct view_progress *vp);
void view_progress_release(struct view_progress *vp);
void view_progress_reset(struct view_progress *vp);

/*
 * Whether the reader has newer data of @kind than @cs, which its page does not carry. False for
 * CONTROL_TARGETS, whose changes are all in pages.
 */
bool view_lacks(const struct control_state *cs, const peer_view_page *page, enum control_kind kind);

/* Applies a page. Withdrawals are applied after VIEW_GAP too, targets are not. */
enum view_result view_apply(struct control_state *cs, struct view_progress *vp,
			    const peer_view_page *page, struct timespec now);

#endif
