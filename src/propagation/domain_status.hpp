#pragma once

#include "base/time.hpp"
#include "propagation/domain_report.hpp"

#include <optional>

namespace damaskladder::propagation {

/// What `status` shows of one failure domain.
struct domain_status {
    domain_report counts;
    /// Time from the latest change until all nodes that report had it in force; none while some
    /// lack it. Includes the way of the reports.
    std::optional<base::duration> rollout_time;

    friend bool operator==(const domain_status&, const domain_status&) = default;
};

} // namespace damaskladder::propagation
