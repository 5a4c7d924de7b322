#pragma once

#include "base/importance.hpp"
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

/// Effect: answers an exchange with a refusal and ends it.
struct refuse {
    exchange_id exchange;
    status_code status;
    outcome reported_outcome = outcome::unknown;
    refusal_reason reason = refusal_reason::backend_failed;
    /// Set with refusal_reason::rate.
    std::optional<base::duration> retry_after;
    /// For logs: where the request was to run, who refused it last, and after how many attempts.
    base::service_id service;
    base::node_id gatekeeper;
    int attempts = 0;
    /// Unused extra attempts, for answers between nodes.
    std::optional<base::retry_count> allowance_left;
    /// Importance level shed now, for answers between nodes.
    std::optional<base::importance> shed;
    /// How full the backend server is, for answers between nodes.
    std::optional<routing::load_report> load = std::nullopt;
};

} // namespace damaskladder::node
