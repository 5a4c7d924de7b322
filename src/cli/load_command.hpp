#pragma once

#include "cli/sub_command.hpp"

#include <vector>

namespace damaskladder::cli {

/// Returns the sub-command `load`.
std::vector<sub_command> load_commands();

} // namespace damaskladder::cli
