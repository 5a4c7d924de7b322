#pragma once

#include "consensus/command.hpp"
#include "consensus/configuration.hpp"
#include "consensus/no_operation.hpp"

#include <variant>

namespace damaskladder::consensus {

/// Payload of a log entry.
using entry_payload = std::variant<no_operation, command, configuration>;

} // namespace damaskladder::consensus
