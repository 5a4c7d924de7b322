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
    /// All tokens lent since the session began.
    tokens lent_total;
    /// How long the session's tokens may be used, from the sending of the line that is answered.
    base::duration valid_for{};
    /// When to ask again, if the demand was not met.
    base::duration retry_after{};

    friend bool operator==(const lend_line&, const lend_line&) = default;
};

} // namespace damaskladder::quota
