#pragma once

#include <cstdint>

namespace damaskladder::admission {

/// What becomes of an offered call.
enum class verdict_kind : std::uint8_t {
    /// Hand it over now. The user reports its end with finished().
    start,
    /// No capacity for its importance or its workspace's share.
    shed,
    /// Its deadline passed, or will have passed before its turn.
    deadline,
    /// The backend server takes no new calls.
    closed,
};

} // namespace damaskladder::admission
