#pragma once

#include "cli/sub_command.hpp"

#include <vector>

namespace damaskladder::cli {

/// run, check, standin, hash-key and hash-token.
std::vector<sub_command> process_commands();

} // namespace damaskladder::cli
