#pragma once

#include "base/time.hpp"
#include "node/exchange_id.hpp"

namespace damaskladder::node {

/// Event: no rate token was granted because the workspace is above its rate.
struct token_refused {
    exchange_id exchange;
    /// Time until a token is expected to be available.
    base::duration retry_after{};
};

} // namespace damaskladder::node
