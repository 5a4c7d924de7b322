#pragma once

#include "base/time.hpp"

#include <chrono>

namespace damaskladder::admission {

struct entry_throttle_options {
    /// Fraction of the throttled requests that is sent anyway, to detect recovery.
    double probe_fraction = 0.02;
    /// Requests are refused for a random time in this range after the last report.
    base::duration min_hold{std::chrono::milliseconds(150)};
    base::duration max_hold{std::chrono::milliseconds(350)};
    /// Then the fraction that is let through rises linearly over a random time in this range.
    base::duration min_ramp{std::chrono::milliseconds(300)};
    base::duration max_ramp{std::chrono::milliseconds(900)};
};

} // namespace damaskladder::admission
