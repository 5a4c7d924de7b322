#pragma once

#include "base/time.hpp"

#include <chrono>

namespace damaskladder::routing {

/// Average run time of the recent calls of a backend server. Samples lose weight with their age, so
/// that a server that becomes slow is visible after a few hundred milliseconds; an idle server
/// keeps its last average.
class run_time_average {
public:
    void add(base::duration run_time, base::time_point now);

    /// Zero until there is a sample.
    base::duration typical() const;

private:
    /// Age at which the weight of a sample has dropped to 1/e. About 100 samples at 300 calls/s,
    /// which is 10% noise with exponential run times.
    static constexpr base::duration lifetime = std::chrono::milliseconds(300);

    double m_sum_us = 0;
    double m_weight = 0;
    base::time_point m_updated;
};

} // namespace damaskladder::routing
