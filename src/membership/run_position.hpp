#pragma once

#include <compare>
#include <cstdint>

namespace damaskladder::membership {

/// Orders the messages of a backend server: by the start of the run, then by sequence number. Both
/// are zero for a server that reports neither; its messages apply in order of arrival.
struct run_position {
    /// Wall-clock start time of the run in milliseconds; only used for comparison.
    std::uint64_t started_ms = 0;
    /// Increases with each message of the run.
    std::uint64_t sequence = 0;

    friend auto operator<=>(const run_position&, const run_position&) = default;
};

} // namespace damaskladder::membership
