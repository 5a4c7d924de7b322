#pragma once

#include "control/reply.hpp"
#include "control/submission_refused.hpp"

#include <string>

namespace damaskladder::daemon {

/// JSON text of an answer to an operator's command:
///     {"verdict", "version", "proposal", "conflict": {...}, "problems": [...]}
std::string to_json(const control::change_reply& answer);

/// JSON text of a refusal: {"error", "leader", "outcome": "not_done" | "unknown"}
std::string to_json(const control::submission_refused& refusal);

} // namespace damaskladder::daemon
