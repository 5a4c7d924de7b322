#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Sequence number of a segment file in a data folder, in the order of creation, from 1.
using segment_number = base::strong_id<struct segment_number_tag, std::uint64_t>;

constexpr segment_number next_segment(segment_number number)
{
    return segment_number(number.value() + 1);
}

} // namespace damaskladder::consensus
