#include "relay-internal.h"

#include <string.h>

bool relay_entry_is_older(const struct relay *relay, const struct reader_entry *entry)
{
	const struct kept *kept = &relay->opts.control_state->kept;

	/* A reader that was paused has no followers left: another one may have registered. */
	if (!kept->active || !kept->known || !relay_followers(relay))
		return false;
	if (!entry)
		return true;
	/* An own entry with another key is from before a restart. */
	return (!endpoint_equal(entry->ep, relay->opts.self) ||
		memcmp(entry->key, relay->own_entry.key, PEER_KEY_BYTES) != 0) &&
	       store_version_cmp(entry->revision, kept->first) <= 0;
}

bool relay_entry_may_be_lost(struct relay *relay)
{
	const struct kept *kept = &relay->opts.control_state->kept;

	if (relay->era == kept->era)
		return false;
	relay->era = kept->era;
	return relay->role == RELAY_READING && kept->active && kept->known;
}

bool relay_claim_again(struct relay *relay, const struct reader_entry *entry)
{
	const struct control_state *cs = relay->opts.control_state;

	if (relay->claim_pending || cs->store_lost || !control_state_ready(cs))
		return false;
	relay->own_entry.revision = entry ? entry->revision : STORE_VERSION_NONE;
	relay->claim_pending = true;
	relay->opts.upstream->ops->claim(relay->opts.upstream, &relay->own_entry);
	return true;
}
