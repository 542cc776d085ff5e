/*
 * Runs the demo's processes on loopback under other failures than the demo's own. Guards against
 * faults that only real processes show: a balancer that is killed or that sleeps through its leases
 * while its sockets stay open, and a platform that is away when a balancer dies.
 */
#include <glib.h>

static void test_failure(gconstpointer data)
{
	char **env = g_environ_setenv(g_get_environ(), "DEMO_FAILURE", data, TRUE);
	char *args[] = { (char *)"scripts/demo", NULL };
	GError *error = NULL;
	char *out = NULL;
	char *err = NULL;
	int status = -1;

	/* Ports of its own, so that a demo beside it does not clash. */
	env = g_environ_setenv(env, "DEMO_PORT", "23000", TRUE);
	g_spawn_sync(NULL, args, env, G_SPAWN_DEFAULT, NULL, NULL, &out, &err, &status, &error);
	g_assert_no_error(error);
	g_test_message("%s%s", out, err);
	g_assert_nonnull(g_strstr_len(out, -1, " lost=0 crossed=0 broken_flows=0"));
	g_assert_true(g_spawn_check_wait_status(status, NULL));
	g_strfreev(env);
	g_free(out);
	g_free(err);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/processes/kill", "kill", test_failure);
	g_test_add_data_func("/processes/pause", "pause", test_failure);
	g_test_add_data_func("/processes/platform", "platform", test_failure);
	return g_test_run();
}
