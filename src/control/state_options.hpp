#pragma once

#include "base/time.hpp"

#include <chrono>
#include <cstddef>

namespace damaskladder::control {

/// Limits of the replicated state. They must be equal on all replicas; otherwise the replicas'
/// states diverge.
struct state_options {
    /// A claim is kept until the time in its request id plus this duration.
    base::duration claim_retention = std::chrono::minutes(10);
    /// Request ids may be this far ahead of log time, to tolerate callers with fast clocks.
    base::duration claim_max_ahead = std::chrono::minutes(2);
    std::size_t max_claims = 500'000;
    /// Released attempts remembered per request.
    std::size_t max_released_attempts = 16;
    std::size_t max_credentials = 2'000;
    std::size_t max_pending_proposals = 500;
    /// Closed proposals kept for queries.
    std::size_t max_closed_proposals = 500;
    /// Field changes per command.
    std::size_t max_changes_per_command = 20'000;
    /// Versions kept with their differences: three days at 3,500 changes a day.
    std::size_t max_history = 10'000;
    /// Field changes kept in the history; bounds its memory after large imports.
    std::size_t max_history_changes = 100'000;
    /// Replies kept for resends: three days at 3,500 changes a day.
    std::size_t max_cached_replies = 10'000;
    /// Audit records kept in the state; older ones remain in the audit files on the control VMs.
    std::size_t max_audit_records = 50'000;
};

} // namespace damaskladder::control
