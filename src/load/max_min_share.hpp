#pragma once

#include "load/workspace_service.hpp"

#include <vector>

namespace damaskladder::load {

/// Divides what was served in total by weighted max-min fairness: no workspace gets more than its
/// demand, and what one leaves goes to the others by weight.
void fill_max_min_shares(std::vector<workspace_service>& workspaces);

} // namespace damaskladder::load
