#pragma once

#include "base/random_source.hpp"

namespace damaskladder::routing {

/// Returns a uniform random number from 0 up to but not including 1.
inline double uniform_fraction(const base::random_source& random)
{
    constexpr int unused_bits = 11;
    constexpr double unit = 0x1p-53;
    return static_cast<double>(random() >> unused_bits) * unit;
}

} // namespace damaskladder::routing
