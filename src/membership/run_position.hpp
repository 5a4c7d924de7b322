#pragma once

#include <compare>
#include <cstdint>

namespace damaskladder::membership {

/// Orders what a backend server says of itself: by its start, then by its own count. All zero for a
/// server that states neither; its messages are taken in the order of their arrival.
struct run_position {
    /// Start of the run, in milliseconds of the calendar; only compared.
    std::uint64_t started_ms = 0;
    /// Grows with each message of the run.
    std::uint64_t sequence = 0;

    friend auto operator<=>(const run_position&, const run_position&) = default;
};

} // namespace damaskladder::membership
