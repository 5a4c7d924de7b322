#pragma once

#include "base/failure_domain_id.hpp"
#include "base/node_id.hpp"
#include "settings/domain_share.hpp"
#include "settings/region_name.hpp"

#include <vector>

namespace damaskladder::settings {

/// Compiled settings of a failure domain.
struct domain_settings {
    base::failure_domain_id id;
    /// Shares of all failure domains sum to 1; equal by default.
    domain_share share;
    region_name region;
    /// Nodes that vote on the lease to accrue tokens: 1, 3 or 5.
    std::vector<base::node_id> lease_voters;
};

} // namespace damaskladder::settings
