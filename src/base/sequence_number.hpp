#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Orders the messages that one incarnation of a process sends.
using sequence_number = strong_id<struct sequence_number_tag, std::uint64_t>;

} // namespace damaskladder::base
