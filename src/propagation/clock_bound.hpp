#pragma once

#include "base/time.hpp"

namespace damaskladder::propagation {

/// Upper bound on the real time that passed while a local clock, whose rate error is at most 1 in
/// 1,000, measured the given time.
constexpr base::duration max_real_time(base::duration counted)
{
    constexpr base::duration::rep min_rate_per_mille = 999;
    return base::duration(counted.count() + counted.count() / min_rate_per_mille + 1);
}

} // namespace damaskladder::propagation
