#pragma once

namespace damaskladder::control {

/// Advances log time without any other effect, so that proposals and claims expire while no other
/// commands are committed.
struct advance_time {
    friend bool operator==(const advance_time&, const advance_time&) = default;
};

} // namespace damaskladder::control
