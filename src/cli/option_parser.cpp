#include "cli/option_parser.hpp"

#include <popt.h>

#include <cstdlib>
#include <functional>
#include <iostream>

namespace damaskladder::cli {

/// Storage that popt writes to, and the function that copies the value to the bound variable.
struct option_parser::option {
    std::string name;
    std::string help;
    std::string value_name;
    unsigned kind = POPT_ARG_STRING;
    char* text = nullptr;
    long long number = 0;
    double real = 0;
    int flag = 0;
    std::function<void()> store;

    void* target()
    {
        switch (kind) {
        case POPT_ARG_LONGLONG:
            return &number;
        case POPT_ARG_DOUBLE:
            return &real;
        case POPT_ARG_NONE:
            return &flag;
        default:
            return static_cast<void*>(&text);
        }
    }
};

option_parser::option_parser(std::string command, std::string usage)
    : m_command(std::move(command)), m_usage(std::move(usage))
{
}

option_parser::~option_parser() = default;

void option_parser::add_option(std::unique_ptr<option> added)
{
    m_options.push_back(std::move(added));
}

void option_parser::add(std::string name, std::string& into, std::string help,
                        std::string value_name)
{
    auto added = std::make_unique<option>();
    added->name = std::move(name);
    added->help = std::move(help);
    added->value_name = std::move(value_name);
    added->store = [&into, raw = added.get()] {
        if (raw->text != nullptr) {
            into = raw->text;
            // popt allocates with malloc.
            std::free(raw->text); // NOLINT(cppcoreguidelines-no-malloc)
            raw->text = nullptr;
        }
    };
    add_option(std::move(added));
}

void option_parser::add(std::string name, long long& into, std::string help, std::string value_name)
{
    auto added = std::make_unique<option>();
    added->name = std::move(name);
    added->help = std::move(help);
    added->value_name = std::move(value_name);
    added->kind = POPT_ARG_LONGLONG;
    added->number = into;
    added->store = [&into, raw = added.get()] { into = raw->number; };
    add_option(std::move(added));
}

void option_parser::add(std::string name, double& into, std::string help, std::string value_name)
{
    auto added = std::make_unique<option>();
    added->name = std::move(name);
    added->help = std::move(help);
    added->value_name = std::move(value_name);
    added->kind = POPT_ARG_DOUBLE;
    added->real = into;
    added->store = [&into, raw = added.get()] { into = raw->real; };
    add_option(std::move(added));
}

void option_parser::add_flag(std::string name, bool& into, std::string help)
{
    auto added = std::make_unique<option>();
    added->name = std::move(name);
    added->help = std::move(help);
    added->kind = POPT_ARG_NONE;
    added->store = [&into, raw = added.get()] { into = raw->flag != 0; };
    add_option(std::move(added));
}

bool option_parser::parse(const std::vector<std::string>& arguments)
{
    std::vector<poptOption> table;
    for (const auto& added : m_options) {
        table.push_back({added->name.c_str(), '\0', added->kind, added->target(), 0,
                         added->help.c_str(),
                         added->value_name.empty() ? nullptr : added->value_name.c_str()});
    }
    table.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, static_cast<void*>(poptHelpOptions), 0,
                     "Help:", nullptr});
    table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
    const std::string program = "damaskladder " + m_command;
    std::vector<const char*> argv = {program.c_str()};
    for (const auto& argument : arguments) {
        argv.push_back(argument.c_str());
    }
    poptContext context =
        poptGetContext(nullptr, static_cast<int>(argv.size()), argv.data(), table.data(), 0);
    poptSetOtherOptionHelp(context, ("[OPTION...] " + m_usage).c_str());
    const int end = poptGetNextOpt(context);
    if (end < -1) {
        std::cerr << program << ": " << poptBadOption(context, POPT_BADOPTION_NOALIAS) << ": "
                  << poptStrerror(end) << " (see --help)\n";
    }
    while (const char* argument = poptGetArg(context)) {
        m_positional.emplace_back(argument);
    }
    for (const auto& added : m_options) {
        added->store();
    }
    poptFreeContext(context);
    return end >= -1;
}

} // namespace damaskladder::cli
