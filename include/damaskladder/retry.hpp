#pragma once

/// \file
/// retry: whether a failed attempt is made again, and what becomes of a caller's own repeats.
///
///     ledger.open(call, base::retry_count(3));
///     auto lent = ledger.lend(call, onward_attempt);       // goes out with the onward call
///     ledger.give_back(call, onward_attempt, unused);      // comes back with its answer
///     auto pause = retry::decide_retry(failed, options);
///     if (pause && budget.try_spend(now) && ledger.spend(call)) { ... attempt after the pause ...
///     }
///
/// allowance_ledger bounds the extra attempts of a whole call tree. budget bounds the retries of a
/// node to a tenth of its recent successes, with a floor of 5 a second. decide_retry permits only
/// what certainly did not run or is idempotent, within the deadline. repeat_table lets a caller's
/// repeat of a request (same workspace and request id) join the running one or get its kept answer.
///
/// Contract. Calls and attempts are named by call ids drawn anew for each attempt. Times never go
/// back. Unknown ids are ignored: a late or repeated return changes nothing.
///
/// Limits: kept answers of 64 KiB for 30 s, 8 MiB together, 16 waiting repeats for one request
/// (repeat_options). Passing one is an ordinary verdict.

#include "retry/allowance_ledger.hpp"
#include "retry/budget.hpp"
#include "retry/decide_retry.hpp"
#include "retry/dedup_table.hpp"
