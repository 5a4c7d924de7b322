#pragma once

#include "base/time.hpp"
#include "base/workspace_id.hpp"
#include "quota/holder_id.hpp"
#include "quota/tokens.hpp"
#include "quota/transfer_number.hpp"

namespace damaskladder::quota {

/// Tokens that the lender debited for the borrower.
struct transfer {
    holder_id lender;
    holder_id borrower;
    transfer_number number;
    base::workspace_id workspace;
    tokens amount;
    /// What the lender has left.
    tokens available;
    /// How long the tokens may count in the lender's bound, from the sending of the ask.
    base::duration valid_for{};

    friend bool operator==(const transfer&, const transfer&) = default;
};

} // namespace damaskladder::quota
