#pragma once

#include "settings/domain_share.hpp"

#include <vector>

namespace damaskladder::settings {

/// Whether the shares sum to exactly 1. False also when their common denominator exceeds 10^15,
/// which needs unrelated denominators that no person would choose.
bool sums_to_one(const std::vector<domain_share>& shares);

} // namespace damaskladder::settings
