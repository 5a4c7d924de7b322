#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::control {

enum class proposal_state : std::uint8_t {
    pending,
    approved,
    refused,
    expired,
    /// The settings it is based on changed before it was approved.
    conflict,
};

inline constexpr std::uint8_t proposal_state_count = 5;

std::string_view to_string(proposal_state state);

} // namespace damaskladder::control
