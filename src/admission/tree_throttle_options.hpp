#pragma once

#include "admission/pressure_meter_options.hpp"
#include "base/time.hpp"

#include <chrono>
#include <cstddef>

namespace damaskladder::admission {

struct tree_throttle_options {
    /// Interval between the adjustments of a shed fraction.
    base::duration step{std::chrono::milliseconds(100)};
    /// Above this pressure the fraction is raised by raise_gain times the excess.
    double target = 1.0;
    double raise_gain = 0.03;
    double max_raise = 0.05;
    /// Below this pressure the fraction is lowered by a fixed part and in proportion to the
    /// distance, so that it is 0 about two seconds after a surge.
    double low_water = 0.9;
    double lower = 0.02;
    double lower_gain = 0.05;
    /// Part of the fraction that is given up in each step. Without it, two routes to the same
    /// scarce service could keep different fractions, since only their sum is controlled.
    double leak = 0.02;
    /// The rest is admitted, so that no kind is starved and the pressure stays known.
    double cap = 0.8;
    /// Additional fraction of requests below normal importance: a part of the fraction, up to a
    /// maximum. More than 0.05 would count as unfair to workspaces of low importance.
    double low_extra_part = 0.1;
    double low_extra_max = 0.04;
    /// Retry-After of refusals at fraction 0 and at the cap, before the random part is added.
    base::duration min_retry_after{std::chrono::milliseconds(500)};
    base::duration max_retry_after{std::chrono::seconds(2)};
    /// Routes beyond this number are not shed; bounds memory.
    std::size_t max_routes = 256;
    pressure_meter_options meter{.valid_for = std::chrono::seconds(2)};
};

} // namespace damaskladder::admission
