#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::base {

/// TCP port on the local VM.
using port_number = strong_id<struct port_number_tag, std::uint16_t>;

} // namespace damaskladder::base
