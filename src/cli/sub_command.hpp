#pragma once

#include "cli/exit_code.hpp"

#include <functional>
#include <string>
#include <vector>

namespace damaskladder::cli {

/// One sub-command of the program.
struct sub_command {
    std::string name;
    /// One line for the list of commands.
    std::string summary;
    /// Arguments without the program's and the command's name.
    std::function<exit_code(const std::vector<std::string>&)> run;
};

} // namespace damaskladder::cli
