#pragma once

#include "base/time.hpp"
#include "retry/failed_attempt.hpp"
#include "retry/retry_options.hpp"

#include <optional>

namespace damaskladder::retry {

/// Returns the backoff before the next attempt, or nullopt if the attempt must not be retried.
/// Callers check allowance and budget afterwards, so that these are spent only on attempts that are
/// made.
std::optional<base::duration> decide_retry(const failed_attempt& failed,
                                           const retry_options& options);

} // namespace damaskladder::retry
