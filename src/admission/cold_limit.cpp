#include "admission/cold_limit.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace damaskladder::admission {

namespace {

/// Sends are counted over more than a second, because the times at which requests reach the server
/// vary by several milliseconds: of two bursts sent a second apart, the first may arrive late.
constexpr base::duration window = std::chrono::milliseconds(1100);
/// Kept free for requests that are delayed on their way by more than the window allows for.
constexpr std::int64_t margin = 2;
/// Part of the bound that each level of importance leaves to the level above it.
constexpr double reserve_per_level = 0.15;

} // namespace

void cold_limit::set(std::optional<base::request_count> most, base::time_point logged_since)
{
    m_most = most;
    m_unlogged = std::max(m_unlogged, logged_since);
}

bool cold_limit::allows(base::importance level, base::time_point now) const
{
    if (!m_most) {
        return true;
    }
    const auto levels_above =
        static_cast<double>(base::importance::critical) - static_cast<double>(level);
    // A bound of one request has no room for a reserve.
    const auto reserve = std::llround(
        std::floor(reserve_per_level * levels_above * static_cast<double>(usable() - 1)));
    return sent_lately(now) < usable() - reserve;
}

void cold_limit::take(base::time_point now)
{
    if (!m_most) {
        m_unlogged = std::max(m_unlogged, now);
        m_sent.clear();
        return;
    }
    while (!m_sent.empty() && m_sent.front() + window <= now) {
        m_sent.pop_front();
    }
    m_sent.push_back(now);
}

double cold_limit::used_share(base::time_point now) const
{
    if (!m_most) {
        return 0;
    }
    return std::min(1.0, static_cast<double>(sent_lately(now)) / static_cast<double>(usable()));
}

std::int64_t cold_limit::usable() const
{
    return std::max<std::int64_t>(1, m_most->value() - margin);
}

std::int64_t cold_limit::sent_lately(base::time_point now) const
{
    const base::time_point from = now - window;
    if (m_unlogged > from) {
        return usable();
    }
    return m_sent.end() - std::upper_bound(m_sent.begin(), m_sent.end(), from);
}

} // namespace damaskladder::admission
