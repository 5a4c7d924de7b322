#pragma once

#include "base/time.hpp"
#include "quota/domain_share.hpp"

#include <vector>

namespace damaskladder::quota {

/// Shares that may still be in use somewhere. A domain uses the least of its latest share and those
/// it had within the delay before, so that a decrease counts at once and an increase only when
/// every other domain knows of its decrease.
class share_history {
public:
    explicit share_history(base::duration delay) : m_delay(delay) {}

    void change(domain_share share, base::time_point now);

    /// Removes shares whose time has passed. Returns whether that changed anything.
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
