#pragma once

#include "base/call_id.hpp"
#include "base/retry_count.hpp"
#include "retry/call_allowance.hpp"

#include <unordered_map>

namespace damaskladder::retry {

/// Tracks the retry allowance of the calls that run on this node.
///
/// The extra attempts of a whole call tree never exceed the allowance of its root: delegating
/// allowance to an onward attempt removes it from the call, the unused part is returned at most
/// once per onward attempt, and a delegation whose answer is lost counts as spent.
class allowance_ledger {
public:
    /// Registers a call with the allowance delegated to it. No effect if the call is already open.
    void open(base::call_id call, base::retry_count amount);

    /// Delegates half of a call's remaining allowance, rounded up, to an onward attempt, so that
    /// parallel onward calls all get a part. Returns zero if the call is not open or has already
    /// delegated to this attempt.
    base::retry_count delegate(base::call_id call, base::call_id onward);

    /// Delegates the remaining allowance of a call except for the reserved amount.
    base::retry_count delegate_all_but(base::call_id call, base::call_id onward,
                                       base::retry_count reserved);

    /// Returns the unused allowance of a finished onward attempt to the call. Applied at most once
    /// per attempt, up to the delegated amount, and only while the call is open.
    void return_unused(base::call_id call, base::call_id onward, base::retry_count unused);

    /// Marks all allowance delegated to an onward attempt as spent, because its answer is lost.
    void forfeit(base::call_id call, base::call_id onward);

    /// Uses one extra attempt of a call. Returns false if none is left.
    bool spend(base::call_id call);

    base::retry_count remaining(base::call_id call) const;

    /// Removes an answered call and returns its unused allowance; outstanding delegations count as
    /// spent.
    base::retry_count close(base::call_id call);

private:
    base::retry_count delegate_amount(call_allowance& allowance, base::call_id onward,
                                      base::retry_count amount);

    std::unordered_map<base::call_id, call_allowance> m_calls;
};

} // namespace damaskladder::retry
