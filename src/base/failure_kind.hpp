#pragma once

#include <string_view>

namespace damaskladder::base {

/// What went wrong, in the terms a caller can act on.
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
    cancelled,
    internal,
};

/// Stable lower-case name, as printed in logs and by the command line.
std::string_view to_string(failure_kind kind);

} // namespace damaskladder::base
