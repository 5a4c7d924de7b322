#pragma once

#include "base/attempt_id.hpp"
#include "claims/claim_outcome.hpp"

#include <unordered_set>

namespace damaskladder::claims {

/// Attempts whose caller left while their claim was still asked for. Without it a grant that comes
/// later would be held by nobody, and each repeat of the request answered with unknown.
///
/// claim_client gives exactly one outcome for each begin(), so every entry goes again.
class abandoned_attempts {
public:
    /// The attempt begins to ask.
    void on_begin(base::attempt_id attempt) { m_pending.insert(attempt); }

    /// The attempt is given up. True if its outcome is still to come; false if it has the claim,
    /// which the caller then releases.
    bool abandon(base::attempt_id attempt)
    {
        if (!m_pending.contains(attempt)) {
            return false;
        }
        m_abandoned.insert(attempt);
        return true;
    }

    /// Takes the outcome. True if the attempt was given up meanwhile: the outcome concerns nobody,
    /// and a granted claim is to be released.
    bool on_outcome(const claim_outcome& outcome)
    {
        m_pending.erase(outcome.attempt);
        return m_abandoned.erase(outcome.attempt) != 0;
    }

    std::size_t size() const { return m_pending.size(); }

private:
    std::unordered_set<base::attempt_id> m_pending;
    std::unordered_set<base::attempt_id> m_abandoned;
};

} // namespace damaskladder::claims
