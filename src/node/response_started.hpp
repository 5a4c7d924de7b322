#pragma once

#include "base/importance.hpp"
#include "base/retry_count.hpp"
#include "node/response_class.hpp"
#include "node/transfer_id.hpp"
#include "routing/load_report.hpp"

#include <optional>

namespace damaskladder::node {

/// Event: the status and the headers of a backend server's answer arrived, directly at the
/// gatekeeper or through it at the entry node.
struct response_started {
    transfer_id transfer;
    response_class response = response_class::served;
    /// Unused extra attempts, as the gatekeeper says; always nothing at the gatekeeper itself.
    std::optional<base::retry_count> allowance_left;
    /// Importance level that the gatekeeper sheds now; always nothing at the gatekeeper itself.
    std::optional<base::importance> shed;
    /// How full the backend server is; always nothing at the gatekeeper itself.
    std::optional<routing::load_report> load = std::nullopt;
};

} // namespace damaskladder::node
