#pragma once

#include "base/load_fraction.hpp"
#include "base/route_id.hpp"

namespace damaskladder::admission {

/// Pressure of a root route and the fraction of its requests that is shed, for metrics and logs.
struct route_pressure {
    base::route_id route;
    base::load_fraction pressure;
    /// Of requests of normal importance.
    double shed = 0;
};

} // namespace damaskladder::admission
