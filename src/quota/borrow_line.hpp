#pragma once

#include "base/sequence_number.hpp"
#include "base/time.hpp"
#include "base/workspace_id.hpp"
#include "quota/session_number.hpp"
#include "quota/tokens.hpp"

namespace damaskladder::quota {

/// State and token request of one workspace at a node. Totals are cumulative since the session
/// began, so a lost line is covered by the next one and a duplicate changes nothing.
struct borrow_line {
    base::workspace_id workspace;
    session_number session;
    /// Numbers the lines of the session.
    base::sequence_number sequence;
    tokens received_total;
    tokens used_total;
    tokens returned_total;
    /// Tokens that were reported as used for requests that did not run.
    tokens refunded_total;
    /// The line that first reported the earliest use among the refunds not yet confirmed.
    base::sequence_number refund_since;
    /// Time between the latest use and the sending of this line.
    base::duration used_age{};
    /// Tokens for the requests that are waiting.
    tokens demand;
    /// Additional tokens requested in advance of demand.
    tokens prefetch;
    /// The node has ended the session and uses no more of its tokens.
    bool closed = false;

    friend bool operator==(const borrow_line&, const borrow_line&) = default;
};

} // namespace damaskladder::quota
