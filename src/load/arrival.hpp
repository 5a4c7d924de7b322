#pragma once

#include "load/run_offset.hpp"
#include "load/stream_index.hpp"

namespace damaskladder::load {

/// One scheduled request.
struct arrival {
    run_offset due{0};
    stream_index stream;

    friend bool operator==(const arrival&, const arrival&) = default;
};

} // namespace damaskladder::load
