#pragma once

#include "node/token_grant_id.hpp"

namespace damaskladder::node {

/// Effect: returns the rate token of a request that did not run.
struct return_token {
    token_grant_id grant;
};

} // namespace damaskladder::node
