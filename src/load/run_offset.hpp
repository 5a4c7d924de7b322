#pragma once

#include "base/time.hpp"

namespace damaskladder::load {

/// Time since the start of the run.
using run_offset = base::duration;

} // namespace damaskladder::load
