#pragma once

#include "load/request_count.hpp"

namespace damaskladder::load {

/// Requests due in one second of the run, and those of them with a whole answer within the
/// timeout.
struct second_count {
    request_count demand;
    request_count good;

    friend bool operator==(const second_count&, const second_count&) = default;
};

} // namespace damaskladder::load
