#pragma once

#include "control/reply.hpp"
#include "control/submission_refused.hpp"

#include <string>

namespace damaskladder::daemon {

/// Returns the reply to an operator's command as JSON:
///     {"verdict", "version", "proposal", "conflict": {...}, "problems": [...]}
std::string to_json(const control::change_reply& answer);

/// Returns a refusal as JSON: {"error", "leader", "outcome": "not_done" | "unknown"}
std::string to_json(const control::submission_refused& refusal);

} // namespace damaskladder::daemon
