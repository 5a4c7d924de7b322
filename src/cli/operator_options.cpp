#include "cli/operator_options.hpp"

#include "cli/text_file.hpp"

#include <cstdlib>
#include <iostream>

namespace damaskladder::cli {

namespace {

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

} // namespace

operator_options::operator_options(option_parser& parser)
    : m_control(environment("DAMASKLADDER_CONTROL")),
      m_token_file(environment("DAMASKLADDER_TOKEN_FILE"))
{
    parser.add("control", m_control, "operator addresses of the control replicas", "IP:PORT,...");
    parser.add("token-file", m_token_file, "file that holds the operator's token", "FILE");
}

std::optional<std::vector<http::address>> operator_options::replicas() const
{
    std::vector<http::address> found;
    std::size_t start = 0;
    while (start < m_control.size()) {
        const auto end = std::min(m_control.find(',', start), m_control.size());
        const auto text = m_control.substr(start, end - start);
        const bool parsed = base::handle_failure(
            [&]() -> base::result<bool> {
                BOOST_LEAF_AUTO(address, http::parse_address(text));
                found.push_back(address);
                return true;
            },
            [&](const base::failure& error) {
                std::cerr << "--control: " << to_string(error) << '\n';
                return false;
            });
        if (!parsed) {
            return std::nullopt;
        }
        start = end + 1;
    }
    if (found.empty()) {
        std::cerr << "--control: expected the operator address of at least one control replica\n";
        return std::nullopt;
    }
    return found;
}

std::optional<std::string> operator_options::token() const
{
    auto text = read_text_file(m_token_file);
    if (!text) {
        std::cerr << "--token-file: cannot read file: " << m_token_file << '\n';
        return std::nullopt;
    }
    while (!text->empty() && (text->back() == '\n' || text->back() == '\r')) {
        text->pop_back();
    }
    return text;
}

} // namespace damaskladder::cli
