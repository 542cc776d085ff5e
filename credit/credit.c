#include "credit/credit.h"

void credit_report_init(struct credit_report *rep)
{
	*rep = (struct credit_report){
		.demands = g_array_new(FALSE, FALSE, sizeof(struct credit_demand)),
		.observations = g_array_new(FALSE, FALSE, sizeof(struct credit_observation)),
	};
}

void credit_report_release(struct credit_report *rep)
{
	g_array_unref(rep->demands);
	g_array_unref(rep->observations);
}

static void release_service(void *arg)
{
	g_array_unref(((struct credit_service_grant *)arg)->entries);
}

void credit_grant_init(struct credit_grant *grant)
{
	grant->services = g_array_new(FALSE, FALSE, sizeof(struct credit_service_grant));
	g_array_set_clear_func(grant->services, release_service);
}

void credit_grant_release(struct credit_grant *grant)
{
	g_array_unref(grant->services);
}

struct credit_service_grant *credit_grant_add(struct credit_grant *grant, uint32_t service)
{
	struct credit_service_grant svc = {
		.service = service,
		.entries = g_array_new(FALSE, FALSE, sizeof(struct credit_entry)),
	};

	g_array_append_val(grant->services, svc);
	return &g_array_index(grant->services, struct credit_service_grant,
			      grant->services->len - 1);
}
