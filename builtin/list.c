#include "builtin.h"

const struct builtin builtins[] = {
	{ "run", "run a balancer", cmd_run },
	{ "help", "list the commands", cmd_help },
	{ "version", "print the version", cmd_version },
	{ "burn", "report how fast services spend their error budgets", cmd_burn },
	{ "check", "check settings, documents, templates and requests", cmd_check },
	{ "dc", "withdraw and restore data centres", cmd_dc },
	{ "grants", "set and show what each organisation may use", cmd_grants },
	{ "instance", "drain an instance", cmd_instance },
	{ "keygen", "make keys", cmd_keygen },
	{ "org", "create, change and show organisations", cmd_org },
	{ "status", "show the instances", cmd_status },
	{ "target", "drain and undrain targets", cmd_target },
	{ "template", "list and show templates", cmd_template },
};

const unsigned int nr_builtins = sizeof(builtins) / sizeof(builtins[0]);
