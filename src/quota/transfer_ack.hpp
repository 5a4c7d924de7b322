#pragma once

#include "base/time.hpp"
#include "base/workspace_id.hpp"
#include "quota/holder_id.hpp"
#include "quota/tokens.hpp"
#include "quota/transfer_number.hpp"

namespace damaskladder::quota {

/// From the borrower: the transfer arrived, and this much of it counts in the borrower's bound now,
/// or was used. Sent again with larger totals until `final`.
struct transfer_ack {
    holder_id lender;
    holder_id borrower;
    transfer_number number;
    base::workspace_id workspace;
    tokens absorbed_total;
    /// Since when the absorbed part has its place in the borrower's bound.
    base::duration absorbed_age{};
    bool final = false;
    /// With final: part that the borrower debited again and the lender credits.
    tokens returned;

    friend bool operator==(const transfer_ack&, const transfer_ack&) = default;
};

} // namespace damaskladder::quota
