#pragma once

#include <cstddef>
#include <optional>

namespace damaskladder::routing {

/// Load of a group of backend servers of one service: those of the own failure domain, or all
/// others.
struct domain_load {
    /// Servers that may be chosen.
    std::size_t servers = 0;
    /// Mean of completion_estimate::slowdown() at the servers that a choice selects now; nullopt if
    /// no server of the group has reported recently.
    std::optional<double> slowdown;
    /// Running and queued calls.
    double busy = 0;
    /// Calls that fit before the servers are nearly full, as far as recent reports show it.
    double room = 0;
};

} // namespace damaskladder::routing
