#pragma once

#include "base/sequence_number.hpp"
#include "base/time.hpp"
#include "base/workspace_id.hpp"
#include "quota/session_number.hpp"
#include "quota/tokens.hpp"

namespace damaskladder::quota {

/// Answer to a borrow_line.
struct lend_line {
    base::workspace_id workspace;
    session_number session;
    /// The line that is answered.
    base::sequence_number sequence;
    /// Total of the tokens lent since the session began.
    tokens lent_total;
    /// How long the session's tokens are valid, counted from the sending of the answered line.
    base::duration valid_for{};
    /// If the demand was not met: when to ask again.
    base::duration retry_after{};

    friend bool operator==(const lend_line&, const lend_line&) = default;
};

} // namespace damaskladder::quota
