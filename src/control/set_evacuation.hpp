#pragma once

#include "base/failure_domain_id.hpp"
#include "control/command_header.hpp"

#include <vector>

namespace damaskladder::control {

/// Starts or ends the evacuation of a failure domain. Requires no base version, as a repeat has no
/// effect.
struct set_evacuation {
    command_header header;
    base::failure_domain_id domain;
    bool evacuated = false;
    /// Failure domains of the fleet. If empty, those of fleet/domains.
    std::vector<base::failure_domain_id> known_domains;

    friend bool operator==(const set_evacuation&, const set_evacuation&) = default;
};

} // namespace damaskladder::control
