#pragma once

#include <cstdint>

namespace damaskladder::admission {

/// Decision on an offered call.
enum class verdict_kind : std::uint8_t {
    /// Start the call now. The owner reports its end with finished().
    start,
    /// No capacity for the call's importance or its workspace's share.
    shed,
    /// The deadline has passed, or will have passed before the call can start.
    deadline,
    /// The backend server accepts no new calls.
    closed,
};

} // namespace damaskladder::admission
