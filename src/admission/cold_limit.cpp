#include "admission/cold_limit.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace damaskladder::admission {

namespace {

/// Sends are counted over more than a second, because the times at which requests reach the server
/// vary by several milliseconds: of two bursts sent a second apart, the first may arrive late.
constexpr base::duration window = std::chrono::milliseconds(1100);
/// Kept free for requests that are delayed on their way by more than the window allows for.
constexpr std::int64_t margin = 2;
/// Part of the bound that each level of importance leaves to the level above it at least, and part
/// that all levels may leave together at most. With the smallest reserve alone, half of the
/// critical requests were refused in cold_fleets, since others had used the bound before they
/// arrived.
constexpr double reserve_per_level = 0.15;
constexpr double max_reserve = 0.9;

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
    const std::int64_t sent = sent_lately(base::importance::background, now);
    std::int64_t kept = min_reserve(level);
    for (auto each = level; each < base::importance::critical;) {
        const std::int64_t expected = expected_above(each, now);
        each = static_cast<base::importance>(static_cast<int>(each) + 1);
        kept = std::max(kept, expected - sent_lately(each, now));
    }
    return sent + kept < usable();
}

void cold_limit::offered(base::importance level, base::time_point now)
{
    const double decay = decay_until(now);
    for (double& count : m_offered) {
        count *= decay;
    }
    m_offered_at = now;
    m_offered.at(static_cast<std::size_t>(level)) += 1;
}

void cold_limit::take(base::importance level, base::time_point now)
{
    if (!m_most) {
        m_unlogged = std::max(m_unlogged, now);
        m_sent.clear();
        return;
    }
    while (!m_sent.empty() && m_sent.front().at + window <= now) {
        m_sent.pop_front();
    }
    m_sent.push_back({now, level});
}

double cold_limit::used_share(base::time_point now) const
{
    if (!m_most) {
        return 0;
    }
    return std::min(1.0, static_cast<double>(sent_lately(base::importance::background, now)) /
                             static_cast<double>(usable()));
}

std::int64_t cold_limit::usable() const
{
    return std::max<std::int64_t>(1, m_most->value() - margin);
}

std::int64_t cold_limit::min_reserve(base::importance level) const
{
    const auto levels_above =
        static_cast<double>(base::importance::critical) - static_cast<double>(level);
    // A bound of one request has no room for a reserve.
    return std::llround(
        std::floor(reserve_per_level * levels_above * static_cast<double>(usable() - 1)));
}

std::int64_t cold_limit::expected_above(base::importance level, base::time_point now) const
{
    const auto first_above = static_cast<std::ptrdiff_t>(level) + 1;
    const double asked =
        decay_until(now) * std::accumulate(m_offered.begin() + first_above, m_offered.end(), 0.0);
    // Twice, because entry nodes that were refused within the last second do not ask. Arrivals vary
    // by about the square root of their number.
    const double highest = max_reserve * static_cast<double>(usable() - 1);
    return std::llround(std::floor(std::min(2 * asked + std::sqrt(asked), highest)));
}

double cold_limit::decay_until(base::time_point now) const
{
    const std::chrono::duration<double> passed = now - m_offered_at;
    return std::exp(-std::max(0.0, passed / std::chrono::duration<double>(window)));
}

std::int64_t cold_limit::sent_lately(base::importance lowest, base::time_point now) const
{
    const base::time_point from = now - window;
    if (m_unlogged > from) {
        return usable();
    }
    return std::count_if(m_sent.begin(), m_sent.end(), [&](const sent_request& sent) {
        return sent.at > from && sent.level >= lowest;
    });
}

} // namespace damaskladder::admission
