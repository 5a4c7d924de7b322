#pragma once

#include "base/random_source.hpp"
#include "base/request_id.hpp"
#include "base/time.hpp"

namespace damaskladder::load {

/// Generates a new request id: "<unix seconds>-<16 hexadecimal digits>".
base::request_id make_request_id(base::wall_time now, const base::random_source& random);

} // namespace damaskladder::load
