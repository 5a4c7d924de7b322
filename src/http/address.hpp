#pragma once

#include "base/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace damaskladder::http {

/// IPv4 address and port. The system uses numeric addresses only; host names are not resolved.
struct address {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;

    friend auto operator<=>(const address&, const address&) = default;
};

/// Parses "IP:PORT". Fails with invalid_argument on anything else.
base::result<address> parse_address(std::string_view text);

/// Formats the address as "IP:PORT".
std::string to_string(const address& endpoint);

} // namespace damaskladder::http
