#pragma once

#include "daemon/process_settings.hpp"

#include <optional>

namespace damaskladder::daemon {

/// Returns the messages address of a control replica; nullopt if it is unknown.
inline std::optional<http::address> replica_address(const process_settings& settings,
                                                    const base::node_id& replica)
{
    const auto listed = settings.replicas.find(replica);
    if (listed != settings.replicas.end()) {
        return listed->second;
    }
    if (settings.discovers_replicas) {
        return http::address{replica.value(), settings.messages_port};
    }
    return std::nullopt;
}

} // namespace damaskladder::daemon
