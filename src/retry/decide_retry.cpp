#include "retry/decide_retry.hpp"

#include <algorithm>

namespace damaskladder::retry {
namespace {

base::duration random_backoff(int attempts, const retry_options& options)
{
    const int doublings = std::clamp(attempts - 1, 0, 16);
    const std::int64_t factor = std::int64_t{1} << doublings;
    const base::duration max_delay =
        std::min<base::duration>(options.max_backoff, options.initial_backoff * factor);
    const auto range = static_cast<std::uint64_t>(std::max<std::int64_t>(1, max_delay.count()));
    return base::duration(static_cast<std::int64_t>(options.random() % range));
}

bool is_safe_to_retry(const failed_attempt& failed)
{
    switch (failed.kind) {
    case failure_class::not_run_elsewhere:
    case failure_class::not_run_shed:
        return true;
    case failure_class::may_have_run:
        return failed.idempotent;
    case failure_class::permanent:
        return false;
    }
    return false;
}

} // namespace

std::optional<base::duration> decide_retry(const failed_attempt& failed,
                                           const retry_options& options)
{
    if (!is_safe_to_retry(failed) || !failed.body_can_be_resent) {
        return std::nullopt;
    }
    const auto backoff = failed.kind == failure_class::not_run_elsewhere
                             ? base::duration::zero()
                             : random_backoff(failed.attempts, options);
    if (backoff + failed.time_needed >= failed.time_left) {
        return std::nullopt;
    }
    return backoff;
}

} // namespace damaskladder::retry
