#pragma once

#include "base/time.hpp"
#include "quota/token_rate.hpp"

namespace damaskladder::quota {

/// Recent rate of use: rises within the window that the use falls in, and decays over the next
/// ones.
class usage_estimate {
public:
    /// Adds use at a time that does not go back.
    void add(tokens amount, base::time_point now);

    token_rate rate(base::time_point now) const;

private:
    static constexpr base::duration window = std::chrono::milliseconds(100);
    /// After this many windows without use the estimate is zero.
    static constexpr std::int64_t max_idle_windows = 16;

    static tokens decayed(tokens average, tokens latest, std::int64_t windows);

    base::time_point m_window_start;
    tokens m_in_window;
    /// Smoothed use per window.
    tokens m_average;
};

} // namespace damaskladder::quota
