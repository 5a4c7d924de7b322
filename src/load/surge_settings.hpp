#pragma once

#include "load/cause_name.hpp"
#include "load/rate_factor.hpp"
#include "load/run_offset.hpp"
#include "load/stream_name.hpp"

namespace damaskladder::load {

/// A period during which the rate of a stream is multiplied.
struct surge_settings {
    cause_name name;
    stream_name stream;
    run_offset start{0};
    base::duration length{0};
    rate_factor factor{1};
};

} // namespace damaskladder::load
