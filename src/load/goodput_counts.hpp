#pragma once

#include "load/request_count.hpp"

namespace damaskladder::load {

/// Number of requests due in a period of the run, and number of those that succeeded within the
/// timeout.
struct goodput_counts {
    request_count demand;
    request_count good;

    friend bool operator==(const goodput_counts&, const goodput_counts&) = default;
};

} // namespace damaskladder::load
