/* Starts the platform stand-in as a child process of a test, on its own loopback port. */
#ifndef STANDIN_CHILD_H
#define STANDIN_CHILD_H

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#include "address.h"

struct standin_child {
	pid_t pid;
	char listen[32]; /* address and port */
	struct endpoint ep;
};

static inline void standin_child_start(struct standin_child *child)
{
	int fds[2];
	FILE *out;

	g_assert_cmpint(pipe(fds), ==, 0);
	child->pid = fork();
	g_assert_cmpint(child->pid, >=, 0);
	if (!child->pid) {
		dup2(fds[1], STDOUT_FILENO);
		close(fds[0]);
		close(fds[1]);
		execl("build/standin", "standin", "platform", "--seconds", "120", NULL);
		_exit(127);
	}
	close(fds[1]);
	out = fdopen(fds[0], "r");
	g_assert_nonnull(fgets(child->listen, sizeof(child->listen), out));
	fclose(out);
	g_strchomp(child->listen);
	g_assert_true(endpoint_parse(child->listen, &child->ep));
}

static inline void standin_child_stop(struct standin_child *child)
{
	kill(child->pid, SIGTERM);
	waitpid(child->pid, NULL, 0);
}

#endif
