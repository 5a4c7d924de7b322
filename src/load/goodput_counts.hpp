#pragma once

#include "load/request_count.hpp"

namespace damaskladder::load {

/// Requests due in one second of the run, and those of them with a whole answer within the
/// timeout.
struct goodput_counts {
    request_count demand;
    request_count good;

    friend bool operator==(const goodput_counts&, const goodput_counts&) = default;
};

} // namespace damaskladder::load
