#pragma once

#include "cli/option_parser.hpp"
#include "http/address.hpp"

#include <optional>
#include <string>
#include <vector>

namespace damaskladder::cli {

/// Options that all operators' commands share: where the control replicas are and who asks.
class operator_options {
public:
    /// Adds --control and --token-file. Their defaults come from the environment variables
    /// DAMASKLADDER_CONTROL and DAMASKLADDER_TOKEN_FILE.
    explicit operator_options(option_parser& parser);

    /// Addresses in the order to try; nothing after an error, which has been printed.
    std::optional<std::vector<http::address>> replicas() const;
    /// Content of the token file; nothing after an error, which has been printed.
    std::optional<std::string> token() const;

private:
    std::string m_control;
    std::string m_token_file;
};

} // namespace damaskladder::cli
