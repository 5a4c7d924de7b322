#pragma once

#include "base/importance.hpp"
#include "base/load_fraction.hpp"
#include "base/node_id.hpp"
#include "base/retry_count.hpp"
#include "base/service_id.hpp"
#include "base/time.hpp"
#include "node/exchange_id.hpp"
#include "node/outcome.hpp"
#include "node/refusal_reason.hpp"
#include "node/status_code.hpp"
#include "routing/load_report.hpp"

#include <optional>

namespace damaskladder::node {

/// Effect: sends a refusal as the response of an exchange and ends the exchange.
struct refuse {
    exchange_id exchange;
    status_code status;
    outcome reported_outcome = outcome::unknown;
    refusal_reason reason = refusal_reason::backend_failed;
    /// Set with refusal_reason::rate.
    std::optional<base::duration> retry_after;
    /// For logs: target service, gatekeeper of the last attempt, and number of attempts.
    base::service_id service;
    base::node_id gatekeeper;
    int attempts = 0;
    /// Unused extra attempts, for responses between nodes.
    std::optional<base::retry_count> allowance_left;
    /// Importance level being shed, for responses between nodes.
    std::optional<base::importance> shed;
    /// Load of the backend server, for responses between nodes.
    std::optional<routing::load_report> load = std::nullopt;
    /// Pressure of the route of the call, for responses between nodes.
    std::optional<base::load_fraction> pressure = std::nullopt;
};

} // namespace damaskladder::node
