#include "http/address.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace damaskladder::http {

base::result<address> parse_address(std::string_view text)
{
    const auto invalid = [&](std::string reason) {
        return base::fail(base::failure_kind::invalid_argument, "parse address",
                          std::string(text.substr(0, 64)), std::move(reason));
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid("expected IP:PORT");
    }
    address parsed;
    parsed.ip = std::string(text.substr(0, colon));
    in_addr unused{};
    if (inet_pton(AF_INET, parsed.ip.c_str(), &unused) != 1) {
        return invalid("expected an IPv4 address before the colon");
    }
    const auto port = text.substr(colon + 1);
    const auto parse = std::from_chars(port.data(), port.data() + port.size(), parsed.port);
    if (parse.ec != std::errc() || parse.ptr != port.data() + port.size()) {
        return invalid("expected a port from 0 to 65535 after the colon");
    }
    return parsed;
}

std::string to_string(const address& endpoint)
{
    return endpoint.ip + ":" + std::to_string(endpoint.port);
}

} // namespace damaskladder::http
