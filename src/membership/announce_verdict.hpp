#pragma once

#include <string_view>

namespace damaskladder::membership {

/// Answer to an announcement, a withdrawal or a drain.
enum class announce_verdict {
    accepted,
    /// A name, port or count is empty, zero or beyond the limits.
    invalid,
    /// The credential does not name the service.
    not_permitted,
    /// The VM already has as many backend servers as a node announces.
    too_many,
    /// Nothing is announced for this service and port.
    unknown,
    /// An earlier message of the run, or of an earlier run at this port, that came late.
    outdated,
};

/// Stable lower-case name.
std::string_view to_string(announce_verdict verdict);

} // namespace damaskladder::membership
