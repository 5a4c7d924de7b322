#include "cli/program.hpp"

#include "cli/load_command.hpp"
#include "cli/operator_commands.hpp"
#include "cli/process_commands.hpp"

#include <iomanip>
#include <iostream>

namespace damaskladder::cli {

namespace {

std::vector<sub_command> all_commands()
{
    auto commands = process_commands();
    for (const auto& group : {load_commands(), operator_commands()}) {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    return commands;
}

void print_commands(std::ostream& out, const std::vector<sub_command>& commands)
{
    constexpr int name_width = 20;
    out << "Usage: damaskladder COMMAND [OPTION...]; damaskladder COMMAND --help\n\n";
    for (const auto& command : commands) {
        out << "  " << std::left << std::setw(name_width) << command.name << command.summary
            << '\n';
    }
}

} // namespace

int run_program(int argc, char** argv)
{
    const auto commands = all_commands();
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "help") {
        print_commands(arguments.empty() ? std::cerr : std::cout, commands);
        return static_cast<int>(arguments.empty() ? exit_code::usage : exit_code::ok);
    }
    for (const auto& command : commands) {
        if (command.name == arguments.front()) {
            return static_cast<int>(command.run({arguments.begin() + 1, arguments.end()}));
        }
    }
    std::cerr << "unknown command: " << arguments.front() << '\n';
    print_commands(std::cerr, commands);
    return static_cast<int>(exit_code::usage);
}

} // namespace damaskladder::cli
