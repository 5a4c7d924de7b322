#pragma once

#include "base/time.hpp"
#include "propagation/domain_report.hpp"

#include <optional>

namespace damaskladder::propagation {

/// State of one failure domain as `status` shows it.
struct domain_status {
    domain_report counts;
    /// Time from the latest change until all reporting nodes had applied it, including the delay of
    /// the reports; none while some have not.
    std::optional<base::duration> rollout_time;

    friend bool operator==(const domain_status&, const domain_status&) = default;
};

} // namespace damaskladder::propagation
