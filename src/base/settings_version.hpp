#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Version of the settings tree; each accepted change increases it by at least one.
using settings_version = strong_id<struct settings_version_tag, std::uint64_t>;

} // namespace damaskladder::base
