#pragma once

#include <cstdint>

namespace damaskladder::consensus {

/// A learner receives the log but neither votes nor counts towards a quorum.
enum class member_role : std::uint8_t { learner = 0, voter = 1 };

} // namespace damaskladder::consensus
