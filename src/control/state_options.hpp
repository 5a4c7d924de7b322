#pragma once

#include "base/byte_count.hpp"
#include "base/time.hpp"
#include "control/table_limits.hpp"

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
    /// Total row_size of the pending proposals, above which further ones are refused.
    base::byte_count max_pending_proposals_size{16 << 20};
    /// Closed proposals kept for queries.
    table_limits closed_proposals{500, base::byte_count(16 << 20)};
    /// Field changes per command.
    std::size_t max_changes_per_command = 20'000;
    /// Versions kept with their differences: three days at 3,500 changes a day.
    table_limits history{10'000, base::byte_count(16 << 20)};
    /// Replies kept for resends: three days at 3,500 changes a day.
    table_limits cached_replies{10'000, base::byte_count(16 << 20)};
    /// Audit records kept in the state; older ones remain in the audit files on the control VMs.
    table_limits audit_records{50'000, base::byte_count(16 << 20)};
};

} // namespace damaskladder::control
