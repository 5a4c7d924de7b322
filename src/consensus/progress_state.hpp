#pragma once

#include <cstdint>

namespace damaskladder::consensus {

/// How a leader replicates to a follower. probing: one request at a time until a matching log
/// position is found. replicating: several requests in flight. snapshotting: a snapshot transfer is
/// in progress.
enum class progress_state : std::uint8_t { probing, replicating, snapshotting };

} // namespace damaskladder::consensus
