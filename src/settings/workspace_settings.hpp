#pragma once

#include "base/share_weight.hpp"
#include "base/team_id.hpp"
#include "base/workspace_id.hpp"
#include "settings/token_count.hpp"
#include "settings/token_rate.hpp"

#include <cstdint>

namespace damaskladder::settings {

/// Compiled settings of a workspace. Rate and burst apply to the fleet as a whole.
struct workspace_settings {
    base::workspace_id id;
    base::team_id team;
    token_rate rate;
    token_count burst;
    base::share_weight weight{1};
    /// Workspaces with a lower rank have precedence over those with a higher one.
    std::int64_t rank = 0;
};

} // namespace damaskladder::settings
