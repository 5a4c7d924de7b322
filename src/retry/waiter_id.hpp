#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::retry {

/// Identifies a caller that sent a request or a repeat of it.
using waiter_id = base::strong_id<struct waiter_id_tag, std::uint64_t>;

} // namespace damaskladder::retry
