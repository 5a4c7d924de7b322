#pragma once

#include "propagation/domain_report.hpp"

#include <vector>

namespace damaskladder::propagation {

/// Report of a relay on the nodes that poll it, directly or through other relays.
struct report {
    std::vector<domain_report> domains;

    friend bool operator==(const report&, const report&) = default;
};

} // namespace damaskladder::propagation
