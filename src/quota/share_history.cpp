#include "quota/share_history.hpp"

#include <algorithm>

namespace damaskladder::quota {

void share_history::change(domain_share share, base::time_point now)
{
    if (m_known && !(share == m_latest)) {
        m_former.push_back({m_latest, now + m_delay});
    }
    m_latest = share;
    m_known = true;
}

bool share_history::remove_expired(base::time_point now)
{
    return std::erase_if(m_former, [&](const auto& former) { return now >= former.until; }) > 0;
}

tokens share_history::of(tokens amount) const
{
    auto least = m_latest.of(amount);
    for (const auto& former : m_former) {
        least = std::min(least, former.share.of(amount));
    }
    return least;
}

token_rate share_history::of(token_rate rate) const
{
    auto least = m_latest.of(rate);
    for (const auto& former : m_former) {
        least = std::min(least, former.share.of(rate));
    }
    return least;
}

base::time_point share_history::next_time() const
{
    auto time = base::time_point::max();
    for (const auto& former : m_former) {
        time = std::min(time, former.until);
    }
    return time;
}

} // namespace damaskladder::quota
