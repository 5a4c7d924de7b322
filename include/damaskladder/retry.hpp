#pragma once

/// \file
/// retry: decides whether to retry a failed attempt, and deduplicates requests that callers repeat.
///
///     ledger.open(call, base::retry_count(3));
///     auto delegated = ledger.delegate(call, onward_attempt); // sent with the onward call
///     ledger.return_unused(call, onward_attempt, unused);     // received with its answer
///     auto backoff = retry::decide_retry(failed, options);
///     if (backoff && budget.try_spend(now) && ledger.spend(call)) {
///         ... next attempt after the backoff ...
///     }
///
/// allowance_ledger limits the extra attempts of a whole call tree. budget limits the retries of a
/// node to a tenth of its recent successes, with a minimum of 5 per second. decide_retry permits
/// retries only of attempts that certainly did not run or are idempotent, and only within the
/// deadline. dedup_table attaches a repeated request (same workspace and request id) to the running
/// one, or replays its cached answer.
///
/// Contract. Calls and attempts are identified by call ids that are generated for each attempt.
/// Timestamps must not decrease. Unknown ids are ignored, so a late or duplicate return has no
/// effect.
///
/// Limits (dedup_options): answers of up to 64 KiB are cached for 30 s, 8 MiB in total; up to 16
/// repeats wait for one request. A request that exceeds a limit gets a verdict; this is not an
/// error.

#include "retry/allowance_ledger.hpp"
#include "retry/budget.hpp"
#include "retry/decide_retry.hpp"
#include "retry/dedup_table.hpp"
