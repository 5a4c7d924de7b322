#pragma once

#include "load/experiment.hpp"
#include "load/goodput_counts.hpp"
#include "load/recovery.hpp"

#include <vector>

namespace damaskladder::load {

/// Time from `cause_end` to the start of the first whole second from which goodput stays at 95% of
/// demand or above until `until`; nothing if there is no such second. A second without demand
/// counts as recovered.
std::optional<base::duration> recovery_time(const std::vector<goodput_counts>& seconds,
                                            run_offset cause_end, run_offset until);

/// Recovery after each surge and each command with ends_cause, ordered by the end of the cause.
std::vector<recovery> recoveries(const experiment& plan,
                                 const std::vector<goodput_counts>& seconds);

} // namespace damaskladder::load
