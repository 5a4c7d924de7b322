#pragma once

#include "base/incarnation.hpp"
#include "base/sequence_number.hpp"
#include "base/time.hpp"
#include "quota/borrow_line.hpp"
#include "quota/session_number.hpp"
#include "quota/tokens.hpp"

#include <array>

namespace damaskladder::quota {

/// A holder's state of one session of a node for one workspace.
struct node_session {
    /// The time of use that is assumed for the tokens a line reported as used.
    struct report {
        base::sequence_number sequence;
        base::time_point used_by;
    };

    static constexpr std::size_t kept_reports = 16;

    base::incarnation incarnation;
    session_number session;
    base::sequence_number sequence;
    tokens lent;
    tokens used;
    tokens returned;
    tokens refunded;
    /// From then on the node cannot use its tokens.
    base::time_point valid_until;
    /// Until then the node counts as recently refused, for the calculation of retry times.
    base::time_point starved_until;
    /// The session has ended; its outstanding tokens are lost.
    bool ended = false;
    /// The demand and prefetch of the latest line, less the tokens in flight, are not yet answered.
    bool pending = false;
    base::time_point pending_since;
    tokens demand;
    tokens prefetch;
    std::array<report, kept_reports> reports{};

    /// Tokens that the node may still use.
    tokens outstanding() const { return ended ? tokens(0) : lent - used - returned; }
};

} // namespace damaskladder::quota
