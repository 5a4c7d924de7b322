#pragma once

#include <string_view>

namespace damaskladder::base {

/// Category of an error, by which a caller decides how to handle it.
enum class failure_kind {
    invalid_argument,
    not_found,
    conflict,
    permission_denied,
    not_leader,
    unavailable,
    timeout,
    too_large,
    corrupt,
    io,
    /// The disk is full. The operation may succeed once there is room.
    no_space,
    cancelled,
    internal,
};

/// Stable lower-case name, used in logs and in the output of the command line.
std::string_view to_string(failure_kind kind);

} // namespace damaskladder::base
