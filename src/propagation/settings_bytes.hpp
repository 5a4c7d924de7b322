#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::propagation {

/// Encoded settings or an encoded difference; opaque to this module.
using settings_bytes = base::strong_id<struct settings_bytes_tag, std::string>;

} // namespace damaskladder::propagation
