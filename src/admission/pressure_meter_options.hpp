#pragma once

#include "base/time.hpp"

#include <chrono>
#include <optional>

namespace damaskladder::admission {

struct pressure_meter_options {
    /// Long enough to hide the bursts of single calls of about 40 ms, short enough that the delay
    /// of several hops stays below a second.
    base::duration smoothing{std::chrono::milliseconds(150)};
    /// Without a sample for this long, the value decays linearly to 0 in the same time. Empty if a
    /// sample stays valid until the next one.
    std::optional<base::duration> valid_for = std::nullopt;
};

} // namespace damaskladder::admission
