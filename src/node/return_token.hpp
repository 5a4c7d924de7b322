#pragma once

#include "node/token_grant_id.hpp"

namespace damaskladder::node {

/// Effect: the request of this token did not run.
struct return_token {
    token_grant_id grant;
};

} // namespace damaskladder::node
