#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::consensus {

/// Current role of a replica. halted: storage failed, so the replica no longer acknowledges
/// anything.
enum class replica_role : std::uint8_t { follower, pre_candidate, candidate, leader, halted };

/// Stable lower-case name, as used in status output.
std::string_view to_string(replica_role role);

} // namespace damaskladder::consensus
