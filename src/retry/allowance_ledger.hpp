#pragma once

#include "base/call_id.hpp"
#include "base/retry_count.hpp"
#include "retry/call_allowance.hpp"

#include <unordered_map>

namespace damaskladder::retry {

/// Extra attempts of the calls that run on this node.
///
/// The extra attempts of a whole call tree never exceed the allowance of its root: what a call
/// lends it no longer has, a loan comes back at most once, by the identity of the onward attempt,
/// and a loan whose answer is lost counts as spent.
class allowance_ledger {
public:
    /// A call starts with what it was lent. A call that is open already stays as it is.
    void open(base::call_id call, base::retry_count amount);

    /// Lends part of what a call has left to one onward attempt: half, rounded up, so that
    /// parallel onward calls all get some. Zero for calls that are not open, and for a second
    /// loan to the same attempt.
    base::retry_count delegate(base::call_id call, base::call_id onward);

    /// Lends all that a call has left but the number kept back.
    base::retry_count delegate_all_but(base::call_id call, base::call_id onward,
                                       base::retry_count reserved);

    /// An onward attempt ended and did not use this much. Counted once, never above the loan, and
    /// only while the call is open.
    void return_unused(base::call_id call, base::call_id onward, base::retry_count unused);

    /// The answer of an onward attempt is lost: all it had been lent counts as spent.
    void forfeit(base::call_id call, base::call_id onward);

    /// Spends one extra attempt of a call, if it has one.
    bool spend(base::call_id call);

    base::retry_count remaining(base::call_id call) const;

    /// The call is answered. Returns what it did not use; loans still out count as spent.
    base::retry_count close(base::call_id call);

private:
    base::retry_count delegate_amount(call_allowance& allowance, base::call_id onward,
                                      base::retry_count amount);

    std::unordered_map<base::call_id, call_allowance> m_calls;
};

} // namespace damaskladder::retry
