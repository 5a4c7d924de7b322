#include "control/claim_time.hpp"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace damaskladder::control {

namespace {

constexpr std::size_t max_seconds_digits = 11;
constexpr std::size_t max_opaque_length = 100;

bool is_valid_opaque(std::string_view text)
{
    if (text.empty() || text.size() > max_opaque_length) {
        return false;
    }
    for (char c : text) {
        if (c <= ' ' || c > '~') {
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<base::wall_time> parse_claim_time(const base::request_id& id)
{
    std::string_view text = id.value();
    auto dash = text.find('-');
    if (dash == std::string_view::npos || dash == 0 || dash > max_seconds_digits) {
        return std::nullopt;
    }
    std::int64_t seconds = 0;
    for (char c : text.substr(0, dash)) {
        if (c < '0' || c > '9') {
            return std::nullopt;
        }
        seconds = seconds * 10 + (c - '0');
    }
    if (!is_valid_opaque(text.substr(dash + 1))) {
        return std::nullopt;
    }
    return base::wall_time(std::chrono::seconds(seconds));
}

} // namespace damaskladder::control
