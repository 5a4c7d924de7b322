#pragma once

#include "base/time.hpp"

#include <chrono>

namespace damaskladder::admission {

/// Options of a processor_guard.
struct cpu_load_shedder_options {
    /// Time over which the use is judged; several rounds of an overloaded loop.
    base::duration window{std::chrono::milliseconds(100)};
    /// The shed part grows above the first use and falls below the second.
    double high_utilization = 0.95;
    double low_utilization = 0.85;
    /// Change of the shed part in one window.
    double increase_step = 0.08;
    double decrease_step = 0.04;
    /// Never sheds all, so that the answers of those that pass show that it is over.
    double max_shed_fraction = 0.9;
};

} // namespace damaskladder::admission
