#pragma once

#include "base/attempt_id.hpp"
#include "claims/claim_outcome.hpp"

#include <unordered_set>

namespace damaskladder::claims {

/// Tracks attempts whose caller disconnected before the claim was decided. A grant that arrives
/// later must be released: otherwise the claim stays held, and every repeat of the request gets the
/// answer unknown.
///
/// claim_client gives exactly one outcome for each begin(), so every entry is removed eventually.
class abandoned_attempts {
public:
    /// Records that claim_client::begin() is called for the attempt.
    void on_begin(base::attempt_id attempt) { m_pending.insert(attempt); }

    /// Abandons the attempt. Returns true if its outcome is still pending; false if it has the
    /// claim, which the caller must then release.
    bool abandon(base::attempt_id attempt)
    {
        if (!m_pending.contains(attempt)) {
            return false;
        }
        m_abandoned.insert(attempt);
        return true;
    }

    /// Records the outcome. Returns true if the attempt was abandoned before: the outcome is then
    /// not reported to the traffic side, and a granted claim must be released.
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
