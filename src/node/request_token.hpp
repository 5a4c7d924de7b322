#pragma once

#include "base/time.hpp"
#include "base/workspace_id.hpp"
#include "node/exchange_id.hpp"

namespace damaskladder::node {

/// Effect: requests one rate token of a workspace. The reply is token_granted or token_refused. A
/// token granted after the exchange ended is returned.
struct request_token {
    exchange_id exchange;
    base::workspace_id workspace;
    /// A reply after this time is of no use.
    base::time_point deadline;
};

} // namespace damaskladder::node
