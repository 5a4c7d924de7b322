#pragma once

#include "base/quantity.hpp"

namespace damaskladder::base {

/// Load as a fraction of the capacity; 1 means that the capacity is exactly used.
using load_fraction = quantity<struct load_fraction_tag, double>;

} // namespace damaskladder::base
