#pragma once

#include <cstdint>

namespace damaskladder::consensus {

/// How a leader sends to a follower. probing: one request at a time until the logs are known to
/// meet. replicating: several requests in flight. snapshotting: a snapshot transfer is under way.
enum class progress_state : std::uint8_t { probing, replicating, snapshotting };

} // namespace damaskladder::consensus
