#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::consensus {

/// What a replica does at present. halted: storage failed, nothing is acknowledged any more.
enum class replica_role : std::uint8_t { follower, pre_candidate, candidate, leader, halted };

/// Stable lower-case name.
std::string_view to_string(replica_role role);

} // namespace damaskladder::consensus
