#pragma once

#include "base/strong_id.hpp"

#include <cstddef>

namespace damaskladder::load {

/// Position of a stream in experiment::streams.
using stream_index = base::strong_id<struct stream_index_tag, std::size_t>;

} // namespace damaskladder::load
