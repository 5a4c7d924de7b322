#pragma once

#include "base/time.hpp"
#include "node/exchange_id.hpp"

namespace damaskladder::node {

/// Event: the workspace is above its rate.
struct token_refused {
    exchange_id exchange;
    /// When a token is expected.
    base::duration retry_after{};
};

} // namespace damaskladder::node
