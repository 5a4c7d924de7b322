#pragma once

#include "base/importance.hpp"
#include "base/retry_count.hpp"
#include "node/exchange_id.hpp"
#include "node/transfer_id.hpp"
#include "routing/load_report.hpp"

#include <optional>

namespace damaskladder::node {

/// Effect: sends the answer of a transfer to the caller of an exchange, as it arrives.
struct relay_response {
    exchange_id exchange;
    transfer_id transfer;
    /// Keep a copy of the whole answer, up to the bound of retry::repeat_options, for
    /// response_finished.
    bool keep_copy = false;
    /// Unused extra attempts, for answers between nodes.
    std::optional<base::retry_count> allowance_left;
    /// Importance level shed now, for answers between nodes.
    std::optional<base::importance> shed;
    /// How full the backend server is, for answers between nodes.
    std::optional<routing::load_report> load = std::nullopt;
};

} // namespace damaskladder::node
