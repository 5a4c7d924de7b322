#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::propagation {

/// Matches an answer to its poll; unique at the poller.
using poll_id = base::strong_id<struct poll_id_tag, std::uint64_t>;

} // namespace damaskladder::propagation
