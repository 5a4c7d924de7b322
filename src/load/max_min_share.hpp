#pragma once

#include "load/workspace_report.hpp"

#include <vector>

namespace damaskladder::load {

/// Divides what was served in total by weighted max-min fairness: no workspace gets more than its
/// demand, and what one leaves goes to the others by weight.
void compute_max_min_shares(std::vector<workspace_report>& workspaces);

} // namespace damaskladder::load
