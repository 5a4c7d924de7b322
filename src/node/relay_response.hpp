#pragma once

#include "base/importance.hpp"
#include "base/load_fraction.hpp"
#include "base/retry_count.hpp"
#include "node/exchange_id.hpp"
#include "node/transfer_id.hpp"
#include "routing/load_report.hpp"

#include <optional>

namespace damaskladder::node {

/// Effect: streams the response of a transfer to the caller of an exchange.
struct relay_response {
    exchange_id exchange;
    transfer_id transfer;
    /// Keep a copy of the whole response for response_finished, up to the size limit of
    /// retry::dedup_options.
    bool keep_copy = false;
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
