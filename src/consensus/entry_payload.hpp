#pragma once

#include "consensus/command.hpp"
#include "consensus/configuration.hpp"
#include "consensus/no_operation.hpp"

#include <variant>

namespace damaskladder::consensus {

/// What an entry of the log holds.
using entry_payload = std::variant<no_operation, command, configuration>;

} // namespace damaskladder::consensus
