#pragma once

#include "cli/sub_command.hpp"

#include <vector>

namespace damaskladder::cli {

/// load.
std::vector<sub_command> load_commands();

} // namespace damaskladder::cli
