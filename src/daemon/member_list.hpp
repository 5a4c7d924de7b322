#pragma once

#include "base/time.hpp"
#include "consensus/replica_status.hpp"

#include <nlohmann/json_fwd.hpp>

namespace damaskladder::daemon {

/// Members of the replicated log for the status query: name, and whether the member votes or only
/// follows the log as a standby. On the leader, which alone hears from all, also for how many
/// milliseconds a member has been silent, and whether it counts as missing, which is from 2 s on.
nlohmann::ordered_json member_list(const consensus::replica_status& status, base::time_point now);

} // namespace damaskladder::daemon
