#pragma once

#include "load/workspace_report.hpp"

#include <vector>

namespace damaskladder::load {

/// Computes the weighted max-min fair share of the total goodput for each workspace: no share
/// exceeds the workspace's demand, and capacity that one workspace does not use is divided among
/// the others by weight.
void compute_max_min_shares(std::vector<workspace_report>& workspaces);

} // namespace damaskladder::load
