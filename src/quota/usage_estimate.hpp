#pragma once

#include "base/time.hpp"
#include "quota/token_rate.hpp"

namespace damaskladder::quota {

/// Estimates the recent rate of use. The estimate rises within the window of the use and decays
/// over the following windows.
class usage_estimate {
public:
    /// Adds use. `now` must not decrease between calls.
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
