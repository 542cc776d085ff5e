#include "builtin.h"

const struct builtin builtins[] = {
	{ "run", "run a balancer", cmd_run },
	{ "edge", "run a balancer that steers by marks", cmd_edge },
	{ "check", "check settings, documents, templates and requests", cmd_check },
	{ "keygen", "make keys", cmd_keygen },
	{ "template", "list and show templates", cmd_template },
	{ "grants", "set and show what each organisation may use", cmd_grants },
	{ "org", "create, change and show organisations", cmd_org },
	{ "target", "drain and undrain targets", cmd_target },
	{ "dc", "withdraw and restore data centres", cmd_dc },
	{ "instance", "drain an instance", cmd_instance },
	{ "status", "show the instances", cmd_status },
	{ "explain", "explain from logs what became of a request or flow", cmd_explain },
	{ "burn", "report how fast services spend their error budgets", cmd_burn },
	{ "replay", "run a recorded trace through the decision core", cmd_replay },
	{ "help", "list the commands", cmd_help },
	{ "version", "print the version", cmd_version },
};

const unsigned int nr_builtins = sizeof(builtins) / sizeof(builtins[0]);
