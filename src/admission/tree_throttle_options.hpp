#pragma once

#include "admission/pressure_meter_options.hpp"
#include "base/time.hpp"

#include <chrono>
#include <cstddef>

namespace damaskladder::admission {

struct tree_throttle_options {
    /// Interval between the adjustments of a shed fraction.
    base::duration step{std::chrono::milliseconds(100)};
    /// Pressure that is aimed at.
    double target = 1.0;
    /// In each step the admitted fraction moves by this part, on a logarithmic scale, of the way to
    /// the fraction that would lead to the target.
    double gain = 0.4;
    /// Below this pressure the fraction falls by at least this much in each step. Shortens the
    /// recovery after a surge, when most of the load is of kinds that are not shed.
    double low_water = 0.6;
    double lower = 0.1;
    /// Bounds of the pressure used. A full queue says nothing about the size of the excess, so
    /// higher values are not taken as a measure of it.
    double min_used = 0.1;
    double max_used = 2.5;
    /// Steps until a change of the fraction shows in the reported pressure: the smoothing at both
    /// ends and the time until an answer.
    std::size_t feedback_steps = 10;
    /// Part of the fraction that is given up in each step. Without it, two routes to the same
    /// scarce service could keep different fractions, since only their sum is controlled.
    double leak = 0.01;
    /// Steps of the fraction of critical requests. Raised slowly, because that of the others has
    /// just reached its cap and the effect has not been reported yet.
    double critical_raise = 0.01;
    double critical_lower = 0.1;
    /// The rest is admitted, so that no kind is starved and the pressure stays known.
    double cap = 0.85;
    /// Additional fraction of requests below normal importance: a part of the fraction, up to a
    /// maximum. More than 0.05 would count as unfair to workspaces of low importance.
    double low_extra_part = 0.1;
    double low_extra_max = 0.04;
    /// Retry-After of refusals at fraction 0 and at the cap, before the random part is added.
    base::duration min_retry_after{std::chrono::milliseconds(500)};
    base::duration max_retry_after{std::chrono::seconds(2)};
    /// Routes beyond this number are not shed; bounds memory.
    std::size_t max_routes = 256;
    /// Shorter than at the gatekeeper, since a node has only a few answers per second and route.
    pressure_meter_options meter{.smoothing = std::chrono::milliseconds(50),
                                 .valid_for = std::chrono::seconds(2)};
};

} // namespace damaskladder::admission
