#pragma once

#include "base/time.hpp"
#include "quota/transfer.hpp"

namespace damaskladder::quota {

/// A transfer that still counts in its lender's bound.
struct outgoing_transfer {
    transfer message;
    /// From then on the borrower uses no part of it that does not count in the borrower's own
    /// bound.
    base::time_point write_off_at;
    base::time_point resend_at;
    /// The borrower has it; no need to send it again.
    bool received = false;
    /// Part that counts in the borrower's bound.
    tokens absorbed;

    /// Part that counts in the lender's bound.
    tokens counted() const { return message.amount - absorbed; }
};

} // namespace damaskladder::quota
