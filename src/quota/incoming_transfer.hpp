#pragma once

#include "base/time.hpp"
#include "quota/transfer.hpp"
#include "quota/transfer_ack.hpp"

namespace damaskladder::quota {

/// A received transfer, kept until duplicates of it would arrive too late to be credited.
struct incoming_transfer {
    transfer message;
    base::time_point received_at;
    /// When the lender may stop counting the transfer in its bound.
    base::time_point deadline;
    /// Part that counts in the lender's bound and not yet in the borrower's.
    tokens unabsorbed;
    tokens returned;
    /// Since when there was headroom for the absorbed part in the borrower's bound; may precede the
    /// arrival.
    base::time_point absorbed_since;

    transfer_ack ack(base::time_point now) const;
};

inline transfer_ack incoming_transfer::ack(base::time_point now) const
{
    return {message.lender,
            message.borrower,
            message.number,
            message.workspace,
            message.amount - unabsorbed - returned,
            now - absorbed_since,
            unabsorbed == tokens(0),
            returned};
}

} // namespace damaskladder::quota
