#pragma once

#include "node/token_grant_id.hpp"

namespace damaskladder::node {

/// Effect: the request of this token did not run.
struct give_token_back {
    token_grant_id grant;
};

} // namespace damaskladder::node
