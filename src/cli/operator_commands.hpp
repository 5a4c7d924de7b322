#pragma once

#include "cli/sub_command.hpp"

#include <vector>

namespace damaskladder::cli {

/// Returns the operators' sub-commands: apply, propose, approve, refuse, withdraw-key,
/// evacuate, end-evacuation, evacuations, create-credential, remove-credential, get, list, export,
/// diff, history, pending, answer, audit, status, watch.
std::vector<sub_command> operator_commands();

} // namespace damaskladder::cli
