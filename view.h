/*
 * Views: what an instance that reads the store tells others of its beliefs, in pages of one
 * datagram each, and how they take it over. Targets travel as changes since a revision of the
 * store, or as a whole list; makes no I/O and reads no clock.
 */
#ifndef VIEW_H
#define VIEW_H

#include "beliefs.h"
#include "proto/peer.h"

/* Which changes are written. */
struct view_range {
	uint64_t session;	  /* of the receiver */
	uint32_t reader;	  /* PEER_READER_* */
	int64_t base;		  /* from view_base() */
	const char *after;	  /* targets beyond this identifier */
	const GPtrArray *changed; /* of registry_changed_since() */
	unsigned int max_pages;
};

/*
 * The revision since which changes can be told to an instance that knows all up to @known: 0, for a
 * whole list, when targets have been forgotten since.
 */
int64_t view_base(const struct control_state *bel, int64_t known);

typedef void (*view_send)(void *arg, const peer_msg *msg);

/* Sends the pages of a range, at least one. Returns whether the last page was among them. */
bool view_write(const struct control_state *bel, const struct view_range *range,
		struct timespec now, view_send send, void *arg);

/* How far the pages of a series have been taken. */
struct view_progress {
	bool active;
	int64_t base;
	int64_t first; /* revision of the reader at the first page */
	GString *after;
};

enum view_result {
	VIEW_MALFORMED,
	VIEW_GAP,    /* a page before this one is missing */
	VIEW_BEHIND, /* the reader knows less than this instance */
	VIEW_TAKEN,  /* further pages follow */
	VIEW_COMPLETE,
};

void view_progress_init(struct view_progress *vp);
void view_progress_release(struct view_progress *vp);
void view_progress_reset(struct view_progress *vp);

enum view_result view_take(struct control_state *bel, struct view_progress *vp,
			   const peer_view_page *page, struct timespec now);

#endif
