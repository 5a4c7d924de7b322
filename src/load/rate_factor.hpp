#pragma once

#include "base/quantity.hpp"

namespace damaskladder::load {

/// Factor by which a surge multiplies the rate of a stream.
using rate_factor = base::quantity<struct rate_factor_tag, double>;

} // namespace damaskladder::load
