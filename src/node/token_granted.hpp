#pragma once

#include "node/exchange_id.hpp"
#include "node/token_grant_id.hpp"

namespace damaskladder::node {

/// Event: the request was granted a rate token of its workspace.
struct token_granted {
    exchange_id exchange;
    token_grant_id grant;
};

} // namespace damaskladder::node
