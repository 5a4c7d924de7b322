#pragma once

#include "settings/domain_share.hpp"

#include <vector>

namespace damaskladder::settings {

/// Whether the shares sum to exactly 1. Also false if their common denominator exceeds 10^15, which
/// occurs only with many unrelated denominators, an implausible configuration.
bool sums_to_one(const std::vector<domain_share>& shares);

} // namespace damaskladder::settings
