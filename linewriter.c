#include "linewriter.h"

#include <errno.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

void linewriter_init(struct linewriter *lw, int fd, size_t max_pending_bytes)
{
	struct stat st;

	*lw = (struct linewriter){
		.fd = fd,
		.flags = fcntl(fd, F_GETFL),
		.pending = g_string_new(NULL),
		.max_pending_bytes = max_pending_bytes,
	};
	/* Not for terminals: the flag would also apply to the shell that shares the descriptor. */
	if (lw->flags >= 0 && !fstat(fd, &st) && (S_ISFIFO(st.st_mode) || S_ISSOCK(st.st_mode)))
		fcntl(fd, F_SETFL, lw->flags | O_NONBLOCK);
}

void linewriter_flush(struct linewriter *lw)
{
	while (lw->pending->len) {
		ssize_t done = write(lw->fd, lw->pending->str, lw->pending->len);

		if (done < 0 && errno == EINTR)
			continue;
		if (done <= 0)
			return;
		g_string_erase(lw->pending, 0, done);
	}
}

void linewriter_release(struct linewriter *lw)
{
	linewriter_flush(lw);
	if (lw->flags >= 0)
		fcntl(lw->fd, F_SETFL, lw->flags);
	g_string_free(lw->pending, TRUE);
	lw->pending = NULL;
}

void linewriter_write(struct linewriter *lw, const char *line, size_t len)
{
	if (lw->pending->len + len > lw->max_pending_bytes)
		linewriter_flush(lw);
	if (lw->pending->len + len > lw->max_pending_bytes) {
		lw->lost_lines++;
		return;
	}
	g_string_append_len(lw->pending, line, (gssize)len);
	if (!lw->deferred)
		linewriter_flush(lw);
}
