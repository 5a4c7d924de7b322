#pragma once

#include "base/importance.hpp"
#include "base/load_fraction.hpp"
#include "base/retry_count.hpp"
#include "node/response_class.hpp"
#include "node/transfer_id.hpp"
#include "routing/load_report.hpp"

#include <optional>

namespace damaskladder::node {

/// Event: the status and the headers of a backend server's response arrived, either at the
/// gatekeeper directly or at the entry node through the gatekeeper.
struct response_started {
    transfer_id transfer;
    response_class response = response_class::served;
    /// Unused extra attempts that the gatekeeper returns; empty at the gatekeeper itself.
    std::optional<base::retry_count> allowance_left;
    /// Importance level that the gatekeeper is shedding; empty at the gatekeeper itself.
    std::optional<base::importance> shed;
    /// Load of the backend server; empty at the gatekeeper itself.
    std::optional<routing::load_report> load = std::nullopt;
    /// Pressure of the route of the call; empty at the gatekeeper itself.
    std::optional<base::load_fraction> pressure = std::nullopt;
};

} // namespace damaskladder::node
