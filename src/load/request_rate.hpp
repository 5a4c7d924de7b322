#pragma once

#include "base/quantity.hpp"

namespace damaskladder::load {

/// Requests per second.
using request_rate = base::quantity<struct request_rate_tag, double>;

} // namespace damaskladder::load
