#pragma once

#include <string_view>

namespace damaskladder::membership {

/// Result of an announcement, withdrawal or drain request.
enum class announce_verdict {
    accepted,
    /// A name, port or count is empty, zero or beyond the limits.
    invalid,
    /// The credential is not valid for the service.
    not_permitted,
    /// The node already announces the maximum number of backend servers.
    too_many,
    /// No backend server is announced for this service and port, or under this instance id.
    unknown,
    /// The message arrived after a newer one of the same run, after the end of its run, or after a
    /// message of a later run at this port.
    outdated,
    /// The node is leaving the fleet, so nobody would remember the end of the run.
    leaving,
    /// The other members of the group have not confirmed in time that they keep the end of the run.
    unconfirmed,
};

/// Stable lower-case name.
std::string_view to_string(announce_verdict verdict);

} // namespace damaskladder::membership
