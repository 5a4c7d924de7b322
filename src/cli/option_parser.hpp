#pragma once

#include <memory>
#include <string>
#include <vector>

namespace damaskladder::cli {

/// Parses the options and arguments of one sub-command with popt. Prints the help text for --help
/// and a one-line error for an unknown option.
class option_parser {
public:
    /// usage lists the positional arguments in the help text, for example "FILE".
    option_parser(std::string command, std::string usage);
    ~option_parser();
    option_parser(const option_parser&) = delete;
    option_parser& operator=(const option_parser&) = delete;

    /// If the option is not given, the bound variable keeps its value as the default. The variable
    /// must outlive the parser.
    void add(std::string name, std::string& into, std::string help, std::string value_name);
    void add(std::string name, long long& into, std::string help, std::string value_name);
    void add(std::string name, double& into, std::string help, std::string value_name);
    void add_flag(std::string name, bool& into, std::string help);

    /// Prints an error and returns false if the arguments are invalid. --help prints the help text
    /// and ends the process with exit code 0.
    bool parse(const std::vector<std::string>& arguments);

    const std::vector<std::string>& positional() const { return m_positional; }

private:
    struct option;

    void add_option(std::unique_ptr<option> added);

    std::string m_command;
    std::string m_usage;
    std::vector<std::unique_ptr<option>> m_options;
    std::vector<std::string> m_positional;
};

} // namespace damaskladder::cli
