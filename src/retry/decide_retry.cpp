#include "retry/decide_retry.hpp"

#include <algorithm>

namespace damaskladder::retry {
namespace {

base::duration draw_pause(int attempts, const retry_options& options)
{
    const int doublings = std::clamp(attempts - 1, 0, 16);
    const std::int64_t factor = std::int64_t{1} << doublings;
    const base::duration upper =
        std::min<base::duration>(options.longest_pause, options.first_pause * factor);
    const auto range = static_cast<std::uint64_t>(std::max<std::int64_t>(1, upper.count()));
    return base::duration(static_cast<std::int64_t>(options.random() % range));
}

bool is_safe(const failed_attempt& failed)
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
    if (!is_safe(failed) || !failed.body_can_be_resent) {
        return std::nullopt;
    }
    const auto pause = failed.kind == failure_class::not_run_elsewhere
                           ? base::duration::zero()
                           : draw_pause(failed.attempts, options);
    if (pause + failed.time_needed >= failed.time_left) {
        return std::nullopt;
    }
    return pause;
}

} // namespace damaskladder::retry
