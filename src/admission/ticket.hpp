#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::admission {

/// Identifies one call offered to a controller; assigned by the controller's owner, never reused.
using ticket = base::strong_id<struct ticket_tag, std::uint64_t>;

} // namespace damaskladder::admission
