#pragma once

#include "base/result.hpp"
#include "consensus/membership_change.hpp"
#include "control/command.hpp"

#include <string_view>

namespace damaskladder::daemon {

/// Parses an operator's command in the JSON format of the operator API. Fails with
/// invalid_argument; the text names the member and what was expected.
///
///     {"verb": "apply", "change": ID, "path": PATH, "based_on": VERSION, "ini": TEXT}
///     {"verb": "propose", ... as apply, "lifetime_s": SECONDS}
///     {"verb": "approve" | "refuse", "change": ID, "proposal": NUMBER, "reason": TEXT}
///     {"verb": "withdraw-key", "change": ID, "key": NAME}
///     {"verb": "create-credential", "change": ID, "name": NAME, "role": ROLE, "path": PATH,
///      "token_hash": HEX}
///     {"verb": "remove-credential", "change": ID, "name": NAME}
base::result<control::command>
parse_operator_command(std::string_view text, const base::operator_id& author, base::wall_time now);

/// Parses a change of the replicas: {"verb": "add-replica" | "remove-replica", "name", "identity"}.
/// The identity is the number shown in the replica's status; it is not needed for a removal.
base::result<consensus::membership_change> parse_replica_change(std::string_view text);

} // namespace damaskladder::daemon
