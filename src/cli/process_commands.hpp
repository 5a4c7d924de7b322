#pragma once

#include "cli/sub_command.hpp"

#include <vector>

namespace damaskladder::cli {

/// Returns the sub-commands run, check, standin, hash-key and hash-token.
std::vector<sub_command> process_commands();

} // namespace damaskladder::cli
