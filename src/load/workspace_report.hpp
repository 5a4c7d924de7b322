#pragma once

#include "base/share_weight.hpp"
#include "base/workspace_id.hpp"
#include "load/goodput_counts.hpp"

namespace damaskladder::load {

/// Demand and service of one workspace, and what its max-min share of the total service was.
struct workspace_report {
    base::workspace_id workspace;
    base::share_weight weight{1};
    goodput_counts total;
    /// Part of the total service, in requests, filled in by compute_max_min_shares().
    double share = 0;

    /// Service as a part of the share; 1 if the share is 0.
    double ratio() const { return share > 0 ? static_cast<double>(total.good.value()) / share : 1; }
};

} // namespace damaskladder::load
