#pragma once

#include "base/workspace_id.hpp"
#include "quota/token_rate.hpp"
#include "quota/tokens.hpp"

namespace damaskladder::quota {

/// Rate and burst of one workspace, over the whole fleet.
struct workspace_quota {
    base::workspace_id workspace;
    token_rate rate;
    tokens burst;

    friend bool operator==(const workspace_quota&, const workspace_quota&) = default;
};

} // namespace damaskladder::quota
