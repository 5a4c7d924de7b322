#pragma once

#include <memory>
#include <string>
#include <vector>

namespace damaskladder::cli {

/// Options and arguments of one sub-command, read with popt. Prints help for --help and a one-line
/// error for anything unknown.
class option_parser {
public:
    /// usage is what follows the command's name, for example "FILE".
    option_parser(std::string command, std::string usage);
    ~option_parser();
    option_parser(const option_parser&) = delete;
    option_parser& operator=(const option_parser&) = delete;

    /// The bound variable keeps its value, the default, if the option is not given. It must live
    /// as long as the parser.
    void add(std::string name, std::string& into, std::string help, std::string value_name);
    void add(std::string name, long long& into, std::string help, std::string value_name);
    void add(std::string name, double& into, std::string help, std::string value_name);
    void add_flag(std::string name, bool& into, std::string help);

    /// False after an error, which has been printed. --help prints and ends the process with 0.
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
