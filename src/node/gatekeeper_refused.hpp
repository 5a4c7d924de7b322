#pragma once

#include "base/importance.hpp"
#include "base/load_fraction.hpp"
#include "base/retry_count.hpp"
#include "node/outcome.hpp"
#include "node/refusal_reason.hpp"
#include "node/transfer_id.hpp"
#include "routing/load_report.hpp"

#include <optional>

namespace damaskladder::node {

/// Event: the gatekeeper itself refused a transfer.
struct gatekeeper_refused {
    transfer_id transfer;
    outcome reported_outcome = outcome::unknown;
    refusal_reason reason = refusal_reason::backend_failed;
    /// Unused extra attempts; empty if the response does not state them.
    std::optional<base::retry_count> allowance_left;
    /// Importance level that the gatekeeper is shedding.
    std::optional<base::importance> shed;
    /// Load of the backend server; empty if the response does not state it.
    std::optional<routing::load_report> load = std::nullopt;
    /// Pressure of the route of the call; empty if the response does not state it.
    std::optional<base::load_fraction> pressure = std::nullopt;
};

} // namespace damaskladder::node
