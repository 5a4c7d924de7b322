#pragma once

#include "propagation/domain_report.hpp"

#include <vector>

namespace damaskladder::propagation {

/// A relay reports on those who poll it.
struct report {
    std::vector<domain_report> domains;

    friend bool operator==(const report&, const report&) = default;
};

} // namespace damaskladder::propagation
