#pragma once

#include "base/time.hpp"
#include "retry/failed_attempt.hpp"
#include "retry/retry_options.hpp"

#include <optional>

namespace damaskladder::retry {

/// Pause before another attempt, or nothing if there must be none. Allowance and budget are asked
/// afterwards, so that they are spent only on attempts that are made.
std::optional<base::duration> decide_retry(const failed_attempt& failed,
                                           const retry_options& options);

} // namespace damaskladder::retry
