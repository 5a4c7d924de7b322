#pragma once

#include "base/share_weight.hpp"
#include "base/workspace_id.hpp"
#include "load/command_settings.hpp"
#include "load/stream_settings.hpp"
#include "load/surge_settings.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace damaskladder::load {

/// An experiment, parsed from an INI file:
///
///     [experiment]      seed, duration (whole seconds), targets (list of IP:PORT of entry nodes,
///                       used in turn), max_outstanding, timeout
///     [streams/NAME]    path, workspace, rate (N/s), and optionally key_file, importance, method,
///                       non_idempotent (yes or no), retries, within_rate (yes or no)
///     [surges/NAME]     stream, start, length, factor
///     [commands/NAME]   at, target (IP:PORT), path, and optionally method, ends_cause (yes or no)
///     [workspaces/NAME] weight, for the max-min shares of the report; 1 if there is no section
struct experiment {
    /// Maximum number of attempts in one run, including surges and retries.
    static constexpr double max_requests = 5e6;
    static constexpr unsigned max_outstanding_limit = 20'000;

    std::uint64_t seed = 1;
    base::duration duration{0};
    std::vector<http::address> targets;
    /// Maximum number of concurrent outstanding requests. A request that is due while the limit is
    /// reached is not sent and is counted as withheld.
    unsigned max_outstanding = max_outstanding_limit;
    /// Time after the intended send time at which a request times out.
    base::duration timeout = std::chrono::seconds(2);
    std::vector<stream_settings> streams;
    std::vector<surge_settings> surges;
    std::vector<command_settings> commands;
    std::map<base::workspace_id, base::share_weight> weights;
};

} // namespace damaskladder::load
