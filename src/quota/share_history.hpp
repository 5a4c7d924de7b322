#pragma once

#include "base/time.hpp"
#include "quota/domain_share.hpp"

#include <vector>

namespace damaskladder::quota {

/// Current and recent shares of one domain. A domain uses the smallest of its latest share and the
/// shares it had within the preceding delay, so that a decrease takes effect at once and an
/// increase only after every other domain has applied its decrease.
class share_history {
public:
    explicit share_history(base::duration delay) : m_delay(delay) {}

    void change(domain_share share, base::time_point now);

    /// Removes expired shares. Returns whether any was removed.
    bool remove_expired(base::time_point now);

    tokens of(tokens amount) const;
    token_rate of(token_rate rate) const;

    base::time_point next_time() const;

private:
    struct former_share {
        domain_share share;
        base::time_point until;
    };

    base::duration m_delay;
    bool m_known = false;
    domain_share m_latest;
    std::vector<former_share> m_former;
};

} // namespace damaskladder::quota
