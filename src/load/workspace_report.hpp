#pragma once

#include "base/share_weight.hpp"
#include "base/workspace_id.hpp"
#include "load/goodput_counts.hpp"

namespace damaskladder::load {

/// Demand and goodput of one workspace, and its max-min fair share of the total goodput.
struct workspace_report {
    base::workspace_id workspace;
    base::share_weight weight{1};
    goodput_counts total;
    /// Fair share of the total goodput, in requests, set by compute_max_min_shares().
    double share = 0;

    /// Goodput divided by the share; 1 if the share is 0.
    double ratio() const { return share > 0 ? static_cast<double>(total.good.value()) / share : 1; }
};

} // namespace damaskladder::load
