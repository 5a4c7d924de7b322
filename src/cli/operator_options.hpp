#pragma once

#include "cli/option_parser.hpp"
#include "http/address.hpp"

#include <optional>
#include <string>
#include <vector>

namespace damaskladder::cli {

/// Options common to all operators' commands: addresses of the control replicas and the operator's
/// token.
class operator_options {
public:
    /// Adds --control and --token-file. Their defaults come from the environment variables
    /// DAMASKLADDER_CONTROL and DAMASKLADDER_TOKEN_FILE.
    explicit operator_options(option_parser& parser);

    /// Addresses in the order in which to try them. Prints an error and returns nothing on failure.
    std::optional<std::vector<http::address>> replicas() const;
    /// Content of the token file. Prints an error and returns nothing if it cannot be read.
    std::optional<std::string> token() const;

private:
    std::string m_control;
    std::string m_token_file;
};

} // namespace damaskladder::cli
