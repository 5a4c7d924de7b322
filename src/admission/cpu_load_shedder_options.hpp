#pragma once

#include "base/time.hpp"

#include <chrono>

namespace damaskladder::admission {

struct cpu_load_shedder_options {
    /// Window over which utilization is measured; several iterations of an overloaded loop.
    base::duration window{std::chrono::milliseconds(100)};
    /// The shed fraction increases above high_utilization and decreases below low_utilization.
    double high_utilization = 0.95;
    double low_utilization = 0.85;
    /// Change of the shed fraction per window.
    double increase_step = 0.08;
    double decrease_step = 0.04;
    /// Some requests always pass, so that the end of the overload can be measured.
    double max_shed_fraction = 0.9;
};

} // namespace damaskladder::admission
