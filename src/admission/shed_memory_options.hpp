#pragma once

#include "base/time.hpp"

#include <chrono>

namespace damaskladder::admission {

/// Options of a shed memory.
struct shed_memory_options {
    /// Part of the held-back requests that goes through to learn of recovery.
    double trickle = 0.02;
    /// After the last report, requests stay held back for a random time in this range.
    base::duration shortest_hold{std::chrono::milliseconds(150)};
    base::duration longest_hold{std::chrono::milliseconds(350)};
    /// Then they return evenly over a random time in this range.
    base::duration shortest_return{std::chrono::milliseconds(300)};
    base::duration longest_return{std::chrono::milliseconds(900)};
};

} // namespace damaskladder::admission
