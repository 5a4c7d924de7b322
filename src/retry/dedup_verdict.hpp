#pragma once

#include <cstdint>

namespace damaskladder::retry {

/// What becomes of a request with a request id.
enum class dedup_verdict : std::uint8_t {
    /// The first one: run it.
    run,
    /// Waits for the answer of the running one.
    joined,
    /// Has been answered: the kept answer is at hand.
    replay,
    /// The request id was used with other content.
    conflict,
    /// Too many wait for the running one.
    too_many,
};

} // namespace damaskladder::retry
