#pragma once

#include <cstdint>

namespace damaskladder::consensus {

/// What a replica does at present. halted: storage failed, nothing is acknowledged any more.
enum class replica_role : std::uint8_t { follower, pre_candidate, candidate, leader, halted };

} // namespace damaskladder::consensus
