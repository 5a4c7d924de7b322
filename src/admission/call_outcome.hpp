#pragma once

#include <cstdint>

namespace damaskladder::admission {

/// How a started call ended, as far as it says something about the backend server's capacity.
enum class call_outcome : std::uint8_t {
    /// The backend server answered; its latency counts.
    served,
    /// The backend server failed; its latency does not count.
    failed,
    /// The backend server shed the call.
    overloaded,
    /// The deadline passed while the call ran; its latency counts as a lower bound.
    timed_out,
    /// The call ended for a reason that says nothing about the backend server.
    cancelled,
};

} // namespace damaskladder::admission
