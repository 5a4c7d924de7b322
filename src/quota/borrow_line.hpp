#pragma once

#include "base/sequence_number.hpp"
#include "base/time.hpp"
#include "base/workspace_id.hpp"
#include "quota/session_number.hpp"
#include "quota/tokens.hpp"

namespace damaskladder::quota {

/// State of one workspace at a node, and what it asks for. All totals count since the session
/// began, so a line that is lost is made good by the next one and a repeated one changes nothing.
struct borrow_line {
    base::workspace_id workspace;
    session_number session;
    /// Numbers the lines of the session.
    base::sequence_number sequence;
    tokens received_total;
    tokens used_total;
    tokens returned_total;
    /// Tokens of requests that were reported as used and did not run.
    tokens refunded_total;
    /// The first line that reported the earliest use among refunds not yet confirmed.
    base::sequence_number refund_since;
    /// Time from the latest use to the sending of this line.
    base::duration used_age{};
    /// Tokens for requests that wait now.
    tokens demand;
    /// Further tokens wanted ahead of demand.
    tokens prefetch;
    /// The node will not use the tokens of this session any more.
    bool closed = false;

    friend bool operator==(const borrow_line&, const borrow_line&) = default;
};

} // namespace damaskladder::quota
