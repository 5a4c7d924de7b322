#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Orders the messages sent by one incarnation of a process.
using sequence_number = strong_id<struct sequence_number_tag, std::uint64_t>;

} // namespace damaskladder::base
