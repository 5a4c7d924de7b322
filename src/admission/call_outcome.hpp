#pragma once

#include <cstdint>

namespace damaskladder::admission {

/// Result of a started call, classified by what it shows about the backend server's capacity.
enum class call_outcome : std::uint8_t {
    /// The backend server answered; the latency is a sample.
    served,
    /// The backend server failed; the latency is not a sample.
    failed,
    /// The backend server shed the call.
    overloaded,
    /// The deadline passed while the call ran; the latency is a sample, as a lower bound.
    timed_out,
    /// The call ended for a reason unrelated to the backend server.
    cancelled,
};

} // namespace damaskladder::admission
