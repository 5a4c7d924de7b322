#pragma once

#include "cli/exit_code.hpp"

#include <functional>
#include <string>
#include <vector>

namespace damaskladder::cli {

/// One sub-command of the program.
struct sub_command {
    std::string name;
    /// One-line description for the list of commands.
    std::string summary;
    /// Runs the command. The arguments exclude the names of the program and the command.
    std::function<exit_code(const std::vector<std::string>&)> run;
};

} // namespace damaskladder::cli
