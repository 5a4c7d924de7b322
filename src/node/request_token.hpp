#pragma once

#include "base/time.hpp"
#include "base/workspace_id.hpp"
#include "node/exchange_id.hpp"

namespace damaskladder::node {

/// Effect: asks for one rate token of a workspace. Answered by token_granted or token_refused; a
/// grant that comes after the exchange ended is given back.
struct request_token {
    exchange_id exchange;
    base::workspace_id workspace;
    /// Until when an answer is of use.
    base::time_point deadline;
};

} // namespace damaskladder::node
