#pragma once

#include "base/time.hpp"
#include "base/workspace_id.hpp"
#include "quota/holder_id.hpp"
#include "quota/tokens.hpp"
#include "quota/transfer_number.hpp"

namespace damaskladder::quota {

/// From the holder that lends to the one that borrows: tokens debited from the lender's balance.
struct transfer {
    holder_id lender;
    holder_id borrower;
    transfer_number number;
    base::workspace_id workspace;
    tokens amount;
    /// The lender's remaining balance.
    tokens available;
    /// How long the tokens may count in the lender's bound, counted from the sending of the
    /// request.
    base::duration valid_for{};

    friend bool operator==(const transfer&, const transfer&) = default;
};

} // namespace damaskladder::quota
