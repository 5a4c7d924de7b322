#pragma once

#include "base/workspace_id.hpp"
#include "quota/holder_id.hpp"
#include "quota/tokens.hpp"
#include "quota/transfer_number.hpp"

namespace damaskladder::quota {

/// From the holder of one domain to that of another: requests tokens.
struct transfer_request {
    holder_id borrower;
    holder_id lender;
    transfer_number number;
    base::workspace_id workspace;
    /// Tokens for the requests that are waiting.
    tokens demand;
    /// Additional tokens requested in advance of demand.
    tokens prefetch;

    friend bool operator==(const transfer_request&, const transfer_request&) = default;
};

} // namespace damaskladder::quota
