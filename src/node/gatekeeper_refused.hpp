#pragma once

#include "base/importance.hpp"
#include "base/retry_count.hpp"
#include "node/outcome.hpp"
#include "node/refusal_reason.hpp"
#include "node/transfer_id.hpp"
#include "routing/load_report.hpp"

#include <optional>

namespace damaskladder::node {

/// Event: the gatekeeper answered a transfer with a refusal of its own.
struct gatekeeper_refused {
    transfer_id transfer;
    outcome reported_outcome = outcome::unknown;
    refusal_reason reason = refusal_reason::backend_failed;
    /// Unused extra attempts; nothing if the answer does not say.
    std::optional<base::retry_count> allowance_left;
    /// Importance level that the gatekeeper sheds now.
    std::optional<base::importance> shed;
    /// How full the backend server is; nothing if the answer does not say.
    std::optional<routing::load_report> load = std::nullopt;
};

} // namespace damaskladder::node
