#include "admission/rate_limit.hpp"

#include <algorithm>
#include <chrono>

namespace damaskladder::admission {

namespace {

// A server that names a rate of zero still gets a request now and then, because only its answers
// tell that the limit has ended.
constexpr double min_requests_per_second = 0.25;
constexpr double bucket_seconds = 1;
constexpr double min_bucket = 1;
/// Part of the bucket that each level of importance leaves to the level above it.
constexpr double reserve_per_level = 0.15;

double seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void rate_limit::set(std::optional<requests_per_second> rate, base::time_point now)
{
    const bool starts = rate && !m_rate;
    const double kept = m_rate ? tokens_at(now) : 0;
    m_rate = rate;
    m_updated = now;
    m_tokens = starts ? size() : std::min(kept, size());
}

bool rate_limit::allows(base::importance level, base::time_point now) const
{
    return !m_rate || tokens_at(now) >= required(level);
}

void rate_limit::take(base::time_point now)
{
    m_tokens = std::max(0.0, tokens_at(now) - 1);
    m_updated = std::max(m_updated, now);
}

base::duration rate_limit::time_until_allowed(base::importance level, base::time_point now) const
{
    const double missing = m_rate ? required(level) - tokens_at(now) : 0;
    if (missing <= 0) {
        return base::duration::zero();
    }
    const std::chrono::duration<double> wait(missing / rate_per_second());
    return std::chrono::ceil<base::duration>(wait);
}

double rate_limit::used_share(base::time_point now) const
{
    return m_rate ? 1 - tokens_at(now) / size() : 0;
}

double rate_limit::rate_per_second() const
{
    return m_rate ? std::max(m_rate->value, min_requests_per_second) : 0;
}

double rate_limit::size() const
{
    return std::max(min_bucket, rate_per_second() * bucket_seconds);
}

double rate_limit::tokens_at(base::time_point now) const
{
    const auto passed = std::max(now - m_updated, base::duration::zero());
    return std::min(size(), m_tokens + seconds(passed) * rate_per_second());
}

double rate_limit::required(base::importance level) const
{
    const auto levels_above =
        static_cast<double>(base::importance::critical) - static_cast<double>(level);
    // A bucket of one request has no room for a reserve.
    return 1 + reserve_per_level * levels_above * std::max(0.0, size() - 1);
}

} // namespace damaskladder::admission
