#pragma once

#include <cstdint>

namespace damaskladder::retry {

/// Decision on a request with a request id.
enum class dedup_verdict : std::uint8_t {
    /// The first request with this id: run it.
    run,
    /// Waits for the answer of the running request.
    joined,
    /// Already answered: send the cached answer.
    replay,
    /// The request id was already used with different content.
    conflict,
    /// Too many callers wait for the running request.
    too_many,
};

} // namespace damaskladder::retry
