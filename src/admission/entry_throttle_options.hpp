#pragma once

#include "base/time.hpp"

#include <chrono>

namespace damaskladder::admission {

/// Options of a shed memory.
struct entry_throttle_options {
    /// Part of the held-back requests that goes through to learn of recovery.
    double probe_fraction = 0.02;
    /// After the last report, requests stay held back for a random time in this range.
    base::duration min_hold{std::chrono::milliseconds(150)};
    base::duration max_hold{std::chrono::milliseconds(350)};
    /// Then they return evenly over a random time in this range.
    base::duration min_ramp{std::chrono::milliseconds(300)};
    base::duration max_ramp{std::chrono::milliseconds(900)};
};

} // namespace damaskladder::admission
