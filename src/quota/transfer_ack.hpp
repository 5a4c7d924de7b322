#pragma once

#include "base/time.hpp"
#include "base/workspace_id.hpp"
#include "quota/holder_id.hpp"
#include "quota/tokens.hpp"
#include "quota/transfer_number.hpp"

namespace damaskladder::quota {

/// From the borrower: acknowledges a transfer and reports how much of it counts in the borrower's
/// bound or was used. Resent with larger totals until `final`.
struct transfer_ack {
    holder_id lender;
    holder_id borrower;
    transfer_number number;
    base::workspace_id workspace;
    tokens absorbed_total;
    /// Time for which there has been headroom for the absorbed part in the borrower's bound.
    base::duration absorbed_age{};
    bool final = false;
    /// If final: the part that the borrower debited and the lender credits.
    tokens returned;

    friend bool operator==(const transfer_ack&, const transfer_ack&) = default;
};

} // namespace damaskladder::quota
