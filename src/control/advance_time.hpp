#pragma once

namespace damaskladder::control {

/// Moves log time on without any other effect, so that proposals and claims expire on a quiet log.
struct advance_time {
    friend bool operator==(const advance_time&, const advance_time&) = default;
};

} // namespace damaskladder::control
