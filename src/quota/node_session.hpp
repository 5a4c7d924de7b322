#pragma once

#include "base/incarnation.hpp"
#include "base/sequence_number.hpp"
#include "base/time.hpp"
#include "quota/borrow_line.hpp"
#include "quota/session_number.hpp"
#include "quota/tokens.hpp"

#include <array>

namespace damaskladder::quota {

/// What a holder knows of one session of a node for one workspace.
struct node_session {
    /// When the use that a line reported counts as having happened.
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
    /// From then on the node cannot use what it has.
    base::time_point valid_until;
    /// The node's waiting requests were refused lately, until this time.
    base::time_point starved_until;
    /// The session has ended; its outstanding tokens are lost.
    bool ended = false;
    /// The demand of the latest line, less what was on its way; waits to be served.
    bool pending = false;
    base::time_point pending_since;
    tokens demand;
    tokens prefetch;
    std::array<report, kept_reports> reports{};

    /// Tokens that the node may still use.
    tokens outstanding() const { return ended ? tokens(0) : lent - used - returned; }
};

} // namespace damaskladder::quota
