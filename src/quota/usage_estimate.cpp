#include "quota/usage_estimate.hpp"

namespace damaskladder::quota {

void usage_estimate::add(tokens amount, base::time_point now)
{
    const auto passed = (now - m_window_start) / window;
    if (passed > 0) {
        m_average = decayed(m_average, m_in_window, passed);
        m_in_window = tokens(0);
        m_window_start += passed * window;
    }
    m_in_window = std::min(max_tokens, m_in_window + amount);
}

token_rate usage_estimate::rate(base::time_point now) const
{
    const auto passed = (now - m_window_start) / window;
    const auto average =
        passed > 0 ? decayed(m_average, m_in_window, passed) : std::max(m_average, m_in_window);
    constexpr auto per_second = std::chrono::seconds(1) / window;
    return std::min(max_token_rate, token_rate(average.value() * per_second));
}

tokens usage_estimate::decayed(tokens average, tokens latest, std::int64_t windows)
{
    if (windows > max_idle_windows) {
        return tokens(0);
    }
    // The latest window has a weight of one half, so one idle window halves the estimate.
    average = tokens((average.value() + latest.value()) / 2);
    return tokens(average.value() >> (windows - 1));
}

} // namespace damaskladder::quota
